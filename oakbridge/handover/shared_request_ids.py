"""Share the ids of requests between the two processes of a node during a hand-over.

A request that is open in one process, or may have run there, must not be served by the other one.
Changes are sent together, once in an iteration of the event loop, and as the state that an id has
then: so their order does not matter.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable

from oakbridge.handover.messages import RequestIdUpdate
from oakbridge.node.node import Node
from oakbridge.node.request_ids import PeerRequestIds

log = logging.getLogger(__name__)

BACKLOG_RETRY_S = 0.02  # until changes are sent that the other process was too slow to read


class SharedRequestIds:
    """Sends the ids of this process, and applies those that it receives."""

    def __init__(
        self,
        node: Node,
        should_relay: Callable[[], bool],
        send: Callable[[RequestIdUpdate], object],
        has_backlog: Callable[[], bool],
    ) -> None:
        """``should_relay``: returns whether the node has another process that accepts ids.

        ``has_backlog``: returns whether messages wait for the other process to read.
        """
        self._ids = node.forwarder.request_ids
        self._should_relay = should_relay
        self._send = send
        self._has_backlog = has_backlog
        self._loop = asyncio.get_running_loop()
        self._peer = PeerRequestIds(self._on_changed)
        self._changed: dict[bytes, None] = {}
        self._flush_handle: asyncio.Handle | None = None

    def send_all(self) -> None:
        """Send the state of all ids, as the other process begins to serve."""
        if self._should_relay():
            self._ids.add_peer(self._peer)
            self._send(self._update(self._ids.known_to_peer(self._peer)))

    def apply(self, update: RequestIdUpdate) -> None:
        """Apply the ids that the other process has sent; report those that are invalid."""
        try:
            opened, opened_idempotent, closed = (
                [_parse_id(text) for text in texts]
                for texts in (update.opened, update.opened_idempotent, update.closed)
            )
            remembered = [(_parse_id(text), int(time)) for text, time in update.remembered.items()]
        except (AttributeError, TypeError, ValueError) as error:
            log.warning("invalid request ids from the node's other process: error=%s", error)
            return
        self._ids.add_peer(self._peer)
        for request_id, time_left in remembered:
            self._ids.peer_remembers(self._peer, request_id, time_left)
        for request_id in closed:
            self._ids.peer_closed(self._peer, request_id)
        for request_id in opened:
            self._ids.peer_opened(self._peer, request_id, is_idempotent=False)
        for request_id in opened_idempotent:
            self._ids.peer_opened(self._peer, request_id, is_idempotent=True)

    def on_disconnect(self) -> None:
        """Handle that the other process has ended, or does not reply any more."""
        self._changed = {}
        self._ids.remove_peer(self._peer)

    def flush(self) -> None:
        """Send the changes that have not been sent yet."""
        if self._flush_handle is not None:
            self._flush_handle.cancel()
            self._flush_handle = None
        changed, self._changed = self._changed, {}
        if changed and self._should_relay():
            self._send(self._update(changed))

    def _on_changed(self, request_id: bytes) -> None:
        if not self._should_relay():
            return
        self._changed[request_id] = None
        if self._flush_handle is None:
            self._flush_handle = self._loop.call_soon(self._flush_unless_backlog)

    def _flush_unless_backlog(self) -> None:
        if self._changed and self._has_backlog():
            self._flush_handle = self._loop.call_later(BACKLOG_RETRY_S, self._flush_unless_backlog)
        else:
            self.flush()

    def _update(self, request_ids: Iterable[bytes]) -> RequestIdUpdate:
        update = RequestIdUpdate([], [], [], {})
        for request_id in request_ids:
            text = request_id.decode("latin-1")
            is_idempotent = self._ids.open_for(self._peer, request_id)
            if is_idempotent is None:
                update.closed.append(text)
            else:
                (update.opened_idempotent if is_idempotent else update.opened).append(text)
            if time_left := self._ids.remembered_for(request_id):
                update.remembered[text] = time_left
        return update


def _parse_id(text: str) -> bytes:
    return text.encode("latin-1")
