"""Listening sockets, opened or inherited; accepts in batches, up to the connection limit."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable, Sequence
from enum import Enum

from oakbridge.node.accepting import ACCEPT_RETRY_US, AcceptFailureLog, AcceptStatus, accept
from oakbridge.node.address import Address
from oakbridge.node.clock import Clock, Timer
from oakbridge.node.connection_limits import MIN_SILENCE_US, ConnectionLimits
from oakbridge.node.lifecycle import Lifecycle
from oakbridge.node.startup import retry_resource_errors

log = logging.getLogger(__name__)

BACKLOG = 1024
# Connections accepted in one iteration of the event loop; requests are read between two batches.
ACCEPT_BATCH = 16


def open_listener(address: Address, *, reuse_port: bool = False) -> socket.socket:
    """Return a listening socket.

    ``reuse_port``: other processes may listen at the same address.  Blocks while the system is
    short of resources.  Raises OSError with the address in its text.
    """
    return retry_resource_errors(lambda: _open_listener(address, reuse_port), "listening")


def _open_listener(address: Address, reuse_port: bool) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if reuse_port:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
    except OSError as error:
        sock.close()
        raise OSError(error.errno, f"{address[0]}:{address[1]}: {error.strerror}") from None
    return sock


class BatchEnd(Enum):
    """Why no more connections were accepted in a batch."""

    BATCH_FULL = "batch full"  # the queue may hold more
    QUEUE_EMPTY = "queue empty"
    AT_LIMIT = "at the connection limit"
    UNAVAILABLE = "accept fails"


class Listener:
    """Owns the node's listening sockets, and accepts connections on them.

    Each client in the kernel's accept queue must get a response.  The listener therefore retries
    accept() after transient errors until it is closed, and a graceful close accepts all connections
    in the queues first.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        lifecycle: Lifecycle,
        limits: ConnectionLimits,
        admit: Callable[[socket.socket], None],
        on_closed: Callable[[], None] = lambda: None,
    ) -> None:
        """``admit``: called with each accepted connection.

        ``on_closed``: called when a timer, and not :meth:`close_when_empty` itself, closes the last
        socket.
        """
        self._loop = loop
        self._clock = clock
        self._lifecycle = lifecycle
        self._limits = limits
        self._admit = admit
        self._on_closed = on_closed
        self._sockets: list[socket.socket] = []
        self._accepting = False
        self._closing = False
        self._failure_log = AcceptFailureLog()
        # Set while accepting is paused: until a connection may be evicted, or after a failure.
        self._resume_timer: Timer | None = None
        self.addresses: list[Address] = []

    def open(
        self, addresses: Sequence[Address], inherited: Sequence[socket.socket], *, reuse_port: bool
    ) -> None:
        """Use the inherited sockets; without any, listen at ``addresses``.  Raises OSError."""
        self._sockets = [*inherited]
        try:
            for address in () if inherited else addresses:
                self._sockets.append(open_listener(address, reuse_port=reuse_port))
        except OSError:
            self.close()
            raise
        self.addresses = [sock.getsockname() for sock in self._sockets]

    @property
    def is_open(self) -> bool:
        """Whether any socket listens."""
        return bool(self._sockets)

    def duplicate_descriptors(self) -> list[int]:
        """Return duplicates of the sockets' descriptors, for the successor."""
        return [os.dup(sock.fileno()) for sock in self._sockets]

    def start(self) -> None:
        """Start accepting, if the node's lifecycle phase allows it and accepting is not paused."""
        if self._accepting or self._closing or self._resume_timer is not None:
            return
        if self._sockets and self._lifecycle.accepts_connections(self._clock.now()):
            self._accepting = True
            for sock in self._sockets:
                self._loop.add_reader(sock, self._accept_batch, sock)

    def stop(self) -> None:
        """Stop accepting; new connections wait in the kernel's accept queue."""
        if self._accepting:
            self._accepting = False
            for sock in self._sockets:
                self._loop.remove_reader(sock)

    def close(self) -> None:
        """Close the sockets now; the kernel resets the connections in their accept queues."""
        self.stop()
        self._closing = True
        for sock in self._sockets:
            sock.close()
        self._sockets = []

    def close_when_empty(self) -> None:
        """Accept all connections in the kernel's accept queues, then close the sockets.

        After a transient error accept() is retried, until the queues are empty.
        """
        self.stop()
        self._closing = True
        if self._resume_timer is None and self._sockets:
            self._close_empty_sockets()

    def resume_if_space(self) -> None:
        """Resume accepting after a connection was closed, unless a pause is still running."""
        if not self._limits.is_excess_full():
            self.start()

    def _close_empty_sockets(self) -> None:
        for sock in list(self._sockets):
            batch_end = BatchEnd.BATCH_FULL
            while batch_end is BatchEnd.BATCH_FULL:
                batch_end = self._accept_batch(sock)
            if batch_end is BatchEnd.QUEUE_EMPTY:
                sock.close()
                self._sockets.remove(sock)
        if self._sockets:
            self._resume_after(ACCEPT_RETRY_US)

    def _accept_batch(self, listening_socket: socket.socket) -> BatchEnd:
        """Accept up to :data:`ACCEPT_BATCH` connections; return why no more were accepted.

        At the connection limit, other connections are evicted.  If none can be evicted yet, a few
        excess connections are accepted all the same; their requests are rejected if every other
        connection is waiting for a response.  The rest stay in the kernel's accept queue.
        """
        accepted = 0
        for _ in range(ACCEPT_BATCH):
            if self._limits.is_excess_full() and not self._limits.evict():
                self._wait_for_space()
                return BatchEnd.AT_LIMIT
            result = accept(listening_socket, self._failure_log)
            if result.connection is not None:
                accepted += 1
                self._admit(result.connection)
            elif result.status is AcceptStatus.QUEUE_EMPTY:
                return BatchEnd.QUEUE_EMPTY
            elif result.status is AcceptStatus.UNAVAILABLE:
                self._resume_after(ACCEPT_RETRY_US)
                return BatchEnd.UNAVAILABLE
        if not accepted:  # every connection failed: the event loop has other work to do
            self._resume_after(ACCEPT_RETRY_US)
            return BatchEnd.UNAVAILABLE
        return BatchEnd.BATCH_FULL

    def _wait_for_space(self) -> None:
        """Accept nothing until a connection is closed, or may have become evictable."""
        if self._limits.may_evict_later():
            self._resume_after(MIN_SILENCE_US)
        elif self._accepting:
            log.warning("accepting stopped at connection limit: connections=%d", len(self._limits))
            self.stop()

    def _resume_after(self, delay_us: int) -> None:
        """Pause accepting for a delay in microseconds."""
        self.stop()
        if self._resume_timer is None:
            self._resume_timer = self._clock.call_at(self._clock.now() + delay_us, self._resume)

    def _resume(self) -> None:
        self._resume_timer = None
        if not self._closing:
            self.start()
        elif self._sockets:
            self._close_empty_sockets()
            if not self._sockets:
                self._on_closed()
