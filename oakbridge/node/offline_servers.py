"""Servers that operators took offline; they stay offline whatever endpoint lists say.

An operator's command overrides discovery: an offline server counts as draining whenever it is
listed, whatever address and state the lists give it, until it is brought online.  This module does
no I/O: it is given the time and endpoints, and returns endpoints.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from oakbridge.node.endpoint_list import ListedEndpoint
from oakbridge.policy.events import EndpointState

# Maximum number of servers kept here: each is kept, listed or not, until it is brought online.
MAX_OFFLINE_SERVERS = 4096


@dataclass(slots=True)
class OfflineRecord:
    """A server that is offline, or is online again and may have been restarted meanwhile."""

    offline_at: int
    online_at: int = 0  # 0: it is still offline
    assumed_start: int = 0  # start of a server that is online again, until a list has a newer one


class OfflineServers:
    """The offline servers, and those online again whose restart no list has reported yet.

    Times are in microseconds of the node's clock.
    """

    def __init__(self) -> None:
        self._records: dict[str, OfflineRecord] = {}

    def names(self) -> list[str]:
        """Return the ids of the offline servers, in the order in which they were taken offline."""
        return [name for name, record in self._records.items() if not record.online_at]

    def is_offline(self, name: str) -> bool:
        """Return whether operators took this server offline."""
        record = self._records.get(name)
        return record is not None and not record.online_at

    def is_full(self) -> bool:
        """Return whether no more servers can be taken offline."""
        return len(self._records) >= MAX_OFFLINE_SERVERS

    def take_offline(self, name: str, now: int) -> bool:
        """Take a server offline; return False, and change nothing, if it is offline already."""
        if self.is_offline(name):
            return False
        self._records[name] = OfflineRecord(now)
        return True

    def bring_online(self, name: str, now: int) -> bool:
        """Bring a server online; return False if it was not offline.

        The server may have been restarted at any time while it was offline.  Until a list has its
        new start, it counts as started now, which is the latest possible start: a server that gets
        more than its slow start allows would be overloaded.
        """
        record = self._records.get(name)
        if record is None or record.online_at:
            return False
        record.online_at = now
        record.assumed_start = now
        return True

    def apply(self, endpoint: ListedEndpoint) -> ListedEndpoint:
        """Return an endpoint as the balancer is to see it."""
        server = endpoint.server
        record = self._records.get(server.id)
        if record is None:
            return endpoint
        is_removed = server.state == EndpointState.REMOVED
        if not record.online_at:
            return (
                endpoint if is_removed else _replace_server(endpoint, state=EndpointState.DRAINING)
            )
        if is_removed or server.started_at > record.offline_at:
            del self._records[server.id]  # the list itself has its restart or its removal
            return endpoint
        return _replace_server(endpoint, started_at=record.assumed_start)

    def apply_all(self, endpoints: Iterable[ListedEndpoint]) -> list[ListedEndpoint]:
        """Return the endpoints of a list as the balancer is to see them."""
        if not self._records:
            return list(endpoints)
        return [self.apply(endpoint) for endpoint in endpoints]

    def forget_before(self, before: int) -> None:
        """Forget servers brought online before a time: they are warm by now, restarted or not."""
        records = self._records.items()
        for name in [n for n, record in records if record.online_at and record.online_at < before]:
            del self._records[name]

    # ---- hot restart

    def saved(self) -> dict[str, list[int]]:
        """Return all records as plain values, for the successor process."""
        return {
            name: [record.offline_at, record.online_at, record.assumed_start]
            for name, record in self._records.items()
        }

    def restore(self, saved: dict[str, list[int]]) -> None:
        """Restore the records of the predecessor process."""
        self._records = {name: OfflineRecord(*values) for name, values in saved.items()}


def _replace_server(endpoint: ListedEndpoint, **changes: object) -> ListedEndpoint:
    return ListedEndpoint(replace(endpoint.server, **changes), endpoint.address)  # type: ignore[arg-type]
