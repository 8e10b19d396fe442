"""The ids of requests that must not be served again: open ones, and ones that may have run.

They belong to the node.  While two of its processes run, each knows the ids that the other one has
open (see :mod:`oakbridge.handover.shared_request_ids`).
"""

from __future__ import annotations

from collections.abc import Callable

from oakbridge.node.recent_ids import RecentIds


class PeerRequestIds:
    """The ids that another process of the node has open."""

    def __init__(self, on_changed: Callable[[bytes], None]) -> None:
        """``on_changed``: called with each id of which the other process does not know the state."""
        self.open: dict[bytes, bool] = {}  # whether a request is idempotent, by id
        self.on_changed = on_changed


class RequestIds:
    """The ids that this process and the node's other processes know."""

    def __init__(self, now: Callable[[], int]) -> None:
        """``now``: returns the time in microseconds."""
        self._now = now
        self._open: dict[bytes, bool] = {}  # whether a request is idempotent, by id
        self._recent = RecentIds()  # of requests that are not idempotent
        self._peers: list[PeerRequestIds] = []

    def is_known(self, request_id: bytes) -> bool:
        """Return whether a request with this id is open, or may have run and must not run twice."""
        if request_id in self._open or any(request_id in peer.open for peer in self._peers):
            return True
        return self._recent.has(request_id, self._now())

    # ---- requests of this process

    def open_count(self) -> int:
        """Return how many requests of this process are open."""
        return len(self._open)

    def add_open(self, request_id: bytes, *, is_idempotent: bool) -> None:
        """Add the id of a request that this process has accepted."""
        self._open[request_id] = is_idempotent
        self._notify_peers(request_id)

    def remove_open(self, request_id: bytes) -> None:
        """Remove the id of a request that is finished."""
        self._open.pop(request_id, None)
        self._notify_peers(request_id)

    def add_recent(self, request_id: bytes) -> None:
        """Remember the id of a request that may have run and must not run twice."""
        self._recent.add(request_id, self._now())
        self._notify_peers(request_id)

    def _notify_peers(self, request_id: bytes, source: PeerRequestIds | None = None) -> None:
        for peer in self._peers:
            if peer is not source:
                peer.on_changed(request_id)

    # ---- requests of the node's other processes

    def add_peer(self, peer: PeerRequestIds) -> None:
        """Use the ids of another process, and tell it about changes; it may be added already."""
        if peer not in self._peers:
            self._peers.append(peer)

    def peer_opened(self, peer: PeerRequestIds, request_id: bytes, *, is_idempotent: bool) -> None:
        """Add the id of a request that another process has accepted."""
        peer.open[request_id] = is_idempotent
        self._notify_peers(request_id, peer)

    def peer_closed(self, peer: PeerRequestIds, request_id: bytes) -> None:
        """Remove the id of a request that another process has finished."""
        if peer.open.pop(request_id, None) is not None:
            self._notify_peers(request_id, peer)

    def peer_remembers(self, peer: PeerRequestIds, request_id: bytes, time_left: int) -> None:
        """Remember, for so many microseconds, an id that another process remembers."""
        self._recent.add(request_id, self._now(), time_left)
        self._notify_peers(request_id, peer)

    def remove_peer(self, peer: PeerRequestIds) -> None:
        """Remember the open ids of a process that has ended: their requests may have run."""
        if peer in self._peers:
            self._peers.remove(peer)
        lost, peer.open = peer.open, {}
        for request_id, is_idempotent in lost.items():
            if is_idempotent:
                self._notify_peers(request_id)
            else:
                self.add_recent(request_id)

    # ---- what other processes have to know

    def known_to_peer(self, peer: PeerRequestIds) -> list[bytes]:
        """Return all ids whose state another process does not learn elsewhere."""
        ids = dict.fromkeys(self._recent.ids())
        for other in self._peers:
            if other is not peer:
                ids |= dict.fromkeys(other.open)
        return list(ids | dict.fromkeys(self._open))

    def open_for(self, peer: PeerRequestIds, request_id: bytes) -> bool | None:
        """Return whether a request is idempotent; None if it is open in no process but ``peer``."""
        if request_id in self._open:
            return self._open[request_id]
        for other in self._peers:
            if other is not peer and request_id in other.open:
                return other.open[request_id]
        return None

    def remembered_for(self, request_id: bytes) -> int:
        """Return how long an id that may have run is remembered, in microseconds; 0: it is not."""
        return self._recent.time_left(request_id, self._now())
