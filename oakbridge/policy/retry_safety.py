"""Whether an attempt or a rejection is safe (rules 1 and 2); nothing else decides this."""

from dataclasses import dataclass

from oakbridge.policy.events import NEVER_RAN
from oakbridge.policy.records import Attempt, OpenRequest, Server
from oakbridge.policy.settings import Settings

# Retries stop this long before servers forget an idempotency key: a number of ticks and a fraction
# of the time for which they remember the key.
MARGIN_TICKS = 4
MARGIN_DIVISOR = 20  # a twentieth
MIN_BODY_BYTES_PER_S = 64_000  # the lowest rate at which a server may read a body
_US_PER_S = 1_000_000


def transfer_time(body_bytes: int) -> int:
    """Return how long a server may take to read a body, in microseconds."""
    return body_bytes * _US_PER_S // MIN_BODY_BYTES_PER_S


@dataclass(eq=False)
class RetrySafety:
    """Allows no attempt after one that may have run, unless a duplicate is harmless or dropped."""

    settings: Settings
    oldest_version: float = 0.0  # lowest ``listed_since`` of all listed servers

    @staticmethod
    def may_have_run(request: OpenRequest) -> list[Attempt]:
        """Return the attempts that may have run or may still run."""
        return [attempt for attempt in request.attempts if attempt.result not in NEVER_RAN]

    def allows_attempt(self, request: OpenRequest, server: Server | None, now: int) -> bool:
        """Whether another attempt is allowed at the given server; None: at any server."""
        if request.in_flight and not self.settings.hedging_allowed:
            return False
        return self.allows_retry(request, server, now)

    def allows_retry(self, request: OpenRequest, server: Server | None, now: int) -> bool:
        """Whether another attempt is allowed once none is in flight; server as above."""
        if not request.attempts:
            return True
        settings, klass = self.settings, request.klass
        if request.is_streamed or len(request.attempts) >= settings.max_attempts:
            return False
        listed_since = server.listed_since if server else self.oldest_version
        if settings.pin_endpoint_list and request.list_version < listed_since:
            return False  # not listed continuously since the first attempt
        ran = [] if request.is_idempotent else self.may_have_run(request)
        if not ran or not request.has_key:
            return not ran
        # With a key, only servers that drop duplicates may be used, while they remember the key.
        if now >= self.latest_start(request, ran[0]):
            return False
        if server is None or klass.dedup_scope == "all":
            return True
        zone, cell = ran[0].zone, ran[0].cell
        return server.zone == zone if klass.dedup_scope == "zone" else server.cell == cell

    def latest_start(self, request: OpenRequest, first: Attempt) -> int:
        """Return the deadline for the start of a retry by key, given the first attempt.

        A server runs it once it has read the whole body, and must remember the key then.
        """
        window = request.klass.dedup_window
        margin = MARGIN_TICKS * self.settings.tick + window // MARGIN_DIVISOR
        return first.sent_at + window - margin - transfer_time(request.body_bytes)

    def start_within(self, request: OpenRequest, now: int) -> int:
        """Return the time within which a retry by key must start, in microseconds; 0: no limit."""
        ran = self.may_have_run(request) if request.has_key else []
        return max(1, self.latest_start(request, ran[0]) - now) if ran else 0

    def allows_rejection(self, request: OpenRequest) -> bool:
        """Whether the request may be rejected, which tells the client that it may safely retry."""
        if request.is_idempotent or not self.may_have_run(request):
            return True
        return request.has_key and request.klass.dedup_scope == "all"
