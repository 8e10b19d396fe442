"""Which servers operators hold out: applied between any list and the balancer, so that no list can undo it.

Pure: the caller passes the time and endpoints, and gets endpoints back.  An operator's command goes
before discovery: a server that is held out is listed as draining, wherever it goes and whatever
becomes of it, until it is put back.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from oakbridge.node.endpoint_list import ListedEndpoint
from oakbridge.policy.events import EndpointState

# Servers that are held out at once: each is kept, listed or not, until it is put back.
MAX_HELD_OUT = 4096


@dataclass(slots=True)
class Outage:
    """One server that is held out, or was put back and may have been restarted meanwhile."""

    taken_out_at: int
    put_back_at: int = 0  # 0: it is still out
    assumed_start: int = 0  # of one that was put back, until a list has a newer one


class OfflineServers:
    """The servers held out, and those put back of which no list has said yet that they were restarted.

    Times are the node's clock's, in microseconds.
    """

    def __init__(self) -> None:
        self._outages: dict[str, Outage] = {}

    def names(self) -> list[str]:
        """Return the ids held out, in the order in which they went."""
        return [name for name, outage in self._outages.items() if not outage.put_back_at]

    def is_offline(self, name: str) -> bool:
        """Return whether operators hold this server out."""
        outage = self._outages.get(name)
        return outage is not None and not outage.put_back_at

    def is_full(self) -> bool:
        """Return whether no more can be held out."""
        return len(self._outages) >= MAX_HELD_OUT

    def take_offline(self, name: str, now: int) -> bool:
        """Hold a server out; return False if it is out already: a second call changes nothing."""
        if self.is_offline(name):
            return False
        self._outages[name] = Outage(now)
        return True

    def bring_online(self, name: str, now: int) -> bool:
        """Hold a server out no more, however often it was taken out; return False if it was not out.

        It may have been restarted at any time since it was taken out.  Until a list says when, it
        counts as started now: the latest that is possible, as a server that gets more than its slow
        start allows would be overloaded.
        """
        outage = self._outages.get(name)
        if outage is None or outage.put_back_at:
            return False
        outage.put_back_at = now
        outage.assumed_start = now
        return True

    def apply(self, endpoint: ListedEndpoint) -> ListedEndpoint:
        """Return an endpoint as the balancer may see it."""
        server = endpoint.server
        outage = self._outages.get(server.id)
        if outage is None:
            return endpoint
        gone = server.state == EndpointState.REMOVED
        if not outage.put_back_at:
            return endpoint if gone else _replace_server(endpoint, state=EndpointState.DRAINING)
        if gone or server.started_at > outage.taken_out_at:
            del self._outages[server.id]  # the list itself tells of its restart, or of its end
            return endpoint
        return _replace_server(endpoint, started_at=outage.assumed_start)

    def apply_all(self, endpoints: Iterable[ListedEndpoint]) -> list[ListedEndpoint]:
        """Return a list's endpoints as the balancer may see them."""
        if not self._outages:
            return list(endpoints)
        return [self.apply(endpoint) for endpoint in endpoints]

    def forget_older(self, before: int) -> None:
        """Forget what was put back before a time: a server is warm by then, restarted or not."""
        offline_servers = self._outages.items()
        for name in [
            n for n, outage in offline_servers if outage.put_back_at and outage.put_back_at < before
        ]:
            del self._outages[name]

    # ---- over a hand-over

    def saved(self) -> dict[str, list[int]]:
        """Return all of it as plain values, for the process that takes over."""
        return {
            name: [outage.taken_out_at, outage.put_back_at, outage.assumed_start]
            for name, outage in self._outages.items()
        }

    def restore(self, saved: dict[str, list[int]]) -> None:
        """Go on with what another process held out."""
        self._outages = {name: Outage(*values) for name, values in saved.items()}


def _replace_server(endpoint: ListedEndpoint, **changes: object) -> ListedEndpoint:
    return ListedEndpoint(replace(endpoint.server, **changes), endpoint.address)  # type: ignore[arg-type]
