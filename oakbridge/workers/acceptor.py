"""The supervisor's listening sockets, and the accepting on them while a worker has capacity.

The supervisor accepts, rather than each worker with SO_REUSEPORT: a worker that dies then takes
along only the connections that it had begun to read, and few long-lived connections are spread
evenly (docs/design/workers.md).
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
    """Listen on a node's addresses; owns the sockets."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        addresses: Sequence[Address],
        *,
        has_capacity: Callable[[], bool],
        dispatch: Callable[[socket.socket], None],
    ) -> None:
        """Listen, and accept once told to.  Raises OSError with the address in its text.

        ``has_capacity``: whether one more connection can be served; until then connections wait in
        the kernel's queues.  ``dispatch``: called with each accepted connection, which it owns from
        then on.
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
        """Accept if there is capacity, and stop if there is none."""
        if self._has_capacity():
            self._start()
        else:
            self._stop()

    def accept_waiting(self) -> bool:
        """Accept what waits in the kernel's queues; return whether all of it was.

        False: accept fails for a moment, or no worker has capacity.
        """
        emptied = [self._accept_queue(sock) for sock in self._sockets]
        return all(emptied)

    def _accept_queue(self, listening: socket.socket) -> bool:
        while self._has_capacity():
            outcome = accept(listening, self._failures)
            if outcome.connection is not None:
                self._dispatch(outcome.connection)
            elif outcome.status is AcceptStatus.QUEUE_EMPTY:
                return True
            elif outcome.status is AcceptStatus.UNAVAILABLE:
                return False
        return False

    def close(self) -> None:
        """Close the sockets; what still waits in their queues is reset."""
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
            outcome = accept(listening, self._failures)
            if outcome.connection is not None:
                self._dispatch(outcome.connection)
            elif outcome.status is AcceptStatus.QUEUE_EMPTY:
                return
            else:
                self._pause()
                return

    def _pause(self) -> None:
        """Accept again in a moment, if there is capacity then."""
        self._stop()
        self._loop.call_later(ACCEPT_RETRY_US / US_PER_S, self.accept_while_capacity)
