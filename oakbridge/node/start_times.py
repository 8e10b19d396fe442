"""When servers started, on this node's clock, although wall clocks may be stepped.

Discovery tells a server's start by its own wall clock, and the node's clock began at this
machine's.  Either may have been stepped, so that a server that has just started looks as if it had
run for an hour, and would get more than its slow start allows, or as if it were to start in an hour,
and would count as cold for that long.  What this node saw itself bounds the error:

- nothing that is listed starts in the future;
- a start that comes as news is about as old as the news can be late; one that looks older counts
  as of now, the latest that is possible.

Of the first list nothing is known but the first bound.  Pure; times are in microseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace

from oakbridge.node.endpoint_list import ListedEndpoint
from oakbridge.policy.events import EndpointState

# A server may be listed so long after its start, beside what the list itself was late.
MAX_LISTING_DELAY_US = 10_000_000
# Two clocks that were stepped by an hour, in opposite ways, are so far apart.
MAX_CLOCK_SKEW_US = 2 * 3_600_000_000
MAX_REMEMBERED = 4096  # starts; those of servers that left the list go first


@dataclass(frozen=True, slots=True)
class KnownStart:
    """A start as discovery told it, and as it counts here."""

    told: int
    assumed: int


class StartTimes:
    """Assigns each start that discovery tells a time on the node's clock, once."""

    def __init__(self) -> None:
        self._known: OrderedDict[str, KnownStart] = OrderedDict()
        self._ahead = 0  # by which discovery's clock is ahead of this one, at least

    def adjust(
        self, endpoints: Iterable[ListedEndpoint], now: int, staleness: int | None
    ) -> list[ListedEndpoint]:
        """Return endpoints with their starts on the node's clock.

        ``staleness``: how old the list before was when this one came; None if these are no news, as
        in the first list, or come from a source that is no clock's.
        """
        found = list(endpoints)
        for endpoint in found:
            ahead = endpoint.server.started_at - now
            if endpoint.server.state is not EndpointState.REMOVED and ahead <= MAX_CLOCK_SKEW_US:
                self._ahead = max(self._ahead, ahead)
        return [self._adjust_one(endpoint, now, staleness) for endpoint in found]

    def _adjust_one(
        self, endpoint: ListedEndpoint, now: int, staleness: int | None
    ) -> ListedEndpoint:
        server = endpoint.server
        if not server.started_at or server.state is EndpointState.REMOVED:
            return endpoint
        known = self._known.get(server.id)
        if known is None or known.told != server.started_at:
            assumed = self._assumed_start(server.started_at, now, staleness)
            known = KnownStart(server.started_at, assumed)
            self._remember(server.id, known)
        if known.assumed == server.started_at:
            return endpoint
        return ListedEndpoint(replace(server, started_at=known.assumed), endpoint.address)

    def _assumed_start(self, told: int, now: int, staleness: int | None) -> int:
        start = min(now, told - self._ahead)
        if staleness is None or start >= now - staleness - MAX_LISTING_DELAY_US:
            return start
        return now

    def _remember(self, name: str, known: KnownStart) -> None:
        self._known[name] = known
        self._known.move_to_end(name)
        if len(self._known) > MAX_REMEMBERED:
            self._known.popitem(last=False)
