"""The supervisor's listening sockets, on which it accepts while a worker has capacity.

The supervisor accepts, rather than each worker with SO_REUSEPORT.  A worker that crashes then loses
only the connections that it has begun to read, and a small number of long-lived connections is
spread evenly (docs/design/workers.md).
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence

from oakbridge.node.accepting import ACCEPT_RETRY_US, AcceptFailureLog, AcceptStatus, accept
from oakbridge.node.address import Address
from oakbridge.node.listener import ACCEPT_BATCH, open_listener

US_PER_S = 1e6


class Acceptor:
    """Listens on a node's addresses; owns the sockets."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        addresses: Sequence[Address],
        *,
        has_capacity: Callable[[], bool],
        dispatch: Callable[[socket.socket], None],
    ) -> None:
        """Listen; accepting begins with ``accept_while_capacity``.

        ``has_capacity``: returns whether one more connection can be served; while it returns False,
        connections wait in the kernel's queues.  ``dispatch``: called with each accepted
        connection, and owns it from then on.  Raises OSError with the address in its text.
        """
        self._loop = loop
        self._has_capacity = has_capacity
        self._dispatch = dispatch
        self._accepting = False
        self._failures = AcceptFailureLog()
        self._sockets: list[socket.socket] = []
        try:
            for address in addresses:
                self._sockets.append(open_listener(address))
        except OSError:
            self.close()
            raise
        self.addresses: list[Address] = [sock.getsockname() for sock in self._sockets]

    def accept_while_capacity(self) -> None:
        """Start accepting if there is capacity, else stop accepting."""
        if self._has_capacity():
            self._start()
        else:
            self._stop()

    def accept_queued(self) -> bool:
        """Accept the connections in the kernel's queues; return whether the queues are empty.

        They are not after a transient error of accept, or if no worker has capacity.
        """
        are_empty = [self._accept_queue(sock) for sock in self._sockets]
        return all(are_empty)

    def _accept_queue(self, listening: socket.socket) -> bool:
        """Accept the connections in one socket's queue; return whether it is empty."""
        while self._has_capacity():
            result = accept(listening, self._failures)
            if result.connection is not None:
                self._dispatch(result.connection)
            elif result.status is AcceptStatus.QUEUE_EMPTY:
                return True
            elif result.status is AcceptStatus.UNAVAILABLE:
                return False
        return False

    def close(self) -> None:
        """Close the sockets; the kernel resets the connections still in their queues."""
        self._stop()
        for sock in self._sockets:
            sock.close()
        self._sockets = []

    def _start(self) -> None:
        if self._accepting or not self._sockets:
            return
        self._accepting = True
        for sock in self._sockets:
            self._loop.add_reader(sock, self._accept_batch, sock)

    def _stop(self) -> None:
        if not self._accepting:
            return
        self._accepting = False
        for sock in self._sockets:
            self._loop.remove_reader(sock)

    def _accept_batch(self, listening: socket.socket) -> None:
        for _ in range(ACCEPT_BATCH):
            if not self._has_capacity():
                self._stop()
                return
            result = accept(listening, self._failures)
            if result.connection is not None:
                self._dispatch(result.connection)
            elif result.status is AcceptStatus.QUEUE_EMPTY:
                return
            else:
                self._pause()
                return

    def _pause(self) -> None:
        """Stop accepting, and start again after a delay if there is capacity then."""
        self._stop()
        self._loop.call_later(ACCEPT_RETRY_US / US_PER_S, self.accept_while_capacity)
