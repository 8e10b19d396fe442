"""The one place that says whether an attempt or a rejection is safe (rules 1 and 2)."""

from dataclasses import dataclass

from oakbridge.policy.events import NEVER_RAN
from oakbridge.policy.records import Attempt, OpenRequest, Server
from oakbridge.policy.settings import Settings

MARGIN_TICKS = 4  # before servers forget an idempotency key,
MARGIN_DIVISOR = 20  # and this part of the time that they remember it


@dataclass(eq=False)
class RetrySafety:
    """Rules on repeats: no attempt after one that may have run, unless it is safe to repeat."""

    settings: Settings
    oldest_version: float = 0.0  # since which some server has been listed without a break

    @staticmethod
    def may_have_run(request: OpenRequest) -> list[Attempt]:
        """Return the attempts that may have run, or still may."""
        return [attempt for attempt in request.attempts if attempt.result not in NEVER_RAN]

    def allows_attempt(self, request: OpenRequest, server: Server | None, now: int) -> bool:
        """Whether one more attempt is allowed: at that server, or at any if None."""
        if not request.attempts:
            return True
        settings, klass = self.settings, request.klass
        if request.streamed or len(request.attempts) >= settings.max_attempts:
            return False
        if request.in_flight and not settings.hedging_allowed:
            return False
        listed_since = server.listed_since if server else self.oldest_version
        if settings.pin_endpoint_list and request.list_version < listed_since:
            return False  # not on the list that this request keeps to, or not without a break since
        ran = [] if request.idempotent else self.may_have_run(request)
        if not ran or not request.has_key:
            return not ran
        # With a key: among servers that drop repeats, and only while they still remember the first.
        if now >= self.deduplicated_until(request, ran[0]):
            return False
        if server is None or klass.dedup_scope == "all":
            return True
        zone, cell = ran[0].zone, ran[0].cell
        return server.zone == zone if klass.dedup_scope == "zone" else server.cell == cell

    def deduplicated_until(self, request: OpenRequest, first: Attempt) -> int:
        """Until when a repeat may begin to arrive, after a first attempt that may have run."""
        window = request.klass.dedup_window
        return first.sent_at + window - MARGIN_TICKS * self.settings.tick - window // MARGIN_DIVISOR

    def begin_within(self, request: OpenRequest, now: int) -> int:
        """Return how long a repeat by key may take to begin, in microseconds; 0: however long."""
        ran = self.may_have_run(request) if request.has_key else []
        return max(1, self.deduplicated_until(request, ran[0]) - now) if ran else 0

    def allows_rejection(self, request: OpenRequest) -> bool:
        """Whether the client may be told that trying again is harmless."""
        if request.idempotent or not self.may_have_run(request):
            return True
        return request.has_key and request.klass.dedup_scope == "all"
