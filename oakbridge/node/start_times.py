"""Start times of servers on this node's clock, corrected for stepped wall clocks.

Discovery gives a server's start by discovery's own wall clock, and the node's clock was set from
the wall clock of this machine.  Either clock may have been stepped.  A server that has just started
may then look as if it had run for an hour, and would get more than its slow start allows; or as if
it were to start in an hour, and would count as cold until then.  The node limits the error by what
it can observe:

- no listed server starts in the future;
- a start that is new in a list can't be older than the delay with which lists arrive; a start that
  looks older counts as now, which is the latest possible time.

For the first list only the first rule applies.  This module does no I/O; times are in microseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace

from oakbridge.node.endpoint_list import ListedEndpoint
from oakbridge.policy.events import EndpointState

# Maximum time from a server's start until it is listed, in addition to the delay of the list.
MAX_LISTING_DELAY_US = 10_000_000
# The difference of two clocks that were stepped by an hour in opposite directions.
MAX_CLOCK_SKEW_US = 2 * 3_600_000_000
MAX_KNOWN_STARTS = 4096  # the least recently added starts are forgotten first


@dataclass(frozen=True, slots=True)
class KnownStart:
    """A start as discovery reported it, and as it counts on the node's clock."""

    reported: int
    assumed: int


class StartTimes:
    """Assigns each start that discovery reports one fixed time on the node's clock."""

    def __init__(self) -> None:
        self._known: OrderedDict[str, KnownStart] = OrderedDict()
        self._ahead = 0  # lower bound of how far discovery's clock is ahead of the node's

    def adjust(
        self, endpoints: Iterable[ListedEndpoint], now: int, previous_age_us: int | None
    ) -> list[ListedEndpoint]:
        """Return endpoints with their starts on the node's clock.

        ``previous_age_us``: the age of the previous list when this one arrived; None if the age of
        changes is unknown, as in the first list, or if the source has no clock.
        """
        listed = list(endpoints)
        for endpoint in listed:
            ahead = endpoint.server.started_at - now
            if endpoint.server.state is not EndpointState.REMOVED and ahead <= MAX_CLOCK_SKEW_US:
                self._ahead = max(self._ahead, ahead)
        return [self._adjust_one(endpoint, now, previous_age_us) for endpoint in listed]

    def _adjust_one(
        self, endpoint: ListedEndpoint, now: int, previous_age_us: int | None
    ) -> ListedEndpoint:
        server = endpoint.server
        if not server.started_at or server.state is EndpointState.REMOVED:
            return endpoint
        known = self._known.get(server.id)
        if known is None or known.reported != server.started_at:
            assumed = self._assumed_start(server.started_at, now, previous_age_us)
            known = KnownStart(server.started_at, assumed)
            self._remember(server.id, known)
        if known.assumed == server.started_at:
            return endpoint
        return ListedEndpoint(replace(server, started_at=known.assumed), endpoint.address)

    def _assumed_start(self, reported: int, now: int, previous_age_us: int | None) -> int:
        start = min(now, reported - self._ahead)
        if previous_age_us is None or start >= now - previous_age_us - MAX_LISTING_DELAY_US:
            return start
        return now

    def _remember(self, name: str, known: KnownStart) -> None:
        self._known[name] = known
        self._known.move_to_end(name)
        if len(self._known) > MAX_KNOWN_STARTS:
            self._known.popitem(last=False)
