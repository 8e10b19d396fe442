"""Listening sockets: opened or inherited, accepting in batches within the limit of connections."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable, Sequence

from oakbridge.node.address import Address
from oakbridge.node.clock import Clock, Timer
from oakbridge.node.connection_limits import MIN_SILENCE_US, ConnectionLimits
from oakbridge.node.lifecycle import Lifecycle, Phase

log = logging.getLogger(__name__)

BACKLOG = 1024
# Connections accepted in one turn of the loop, so that what they send is read in between.
ACCEPT_BATCH = 16


def open_listener(address: Address, *, reuse_port: bool = False) -> socket.socket:
    """Return a socket that listens; ``reuse_port``: other processes may listen there too.

    Raises OSError with the address in its text.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if reuse_port:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
    except OSError as e:
        sock.close()
        raise OSError(e.errno, f"{address[0]}:{address[1]}: {e.strerror}") from None
    return sock


class Listener:
    """The node's listening sockets, which it owns, and the accepting on them."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        lifecycle: Lifecycle,
        limits: ConnectionLimits,
        admit: Callable[[socket.socket], None],
    ) -> None:
        """``admit``: called with each accepted connection."""
        self._loop = loop
        self._clock = clock
        self._lifecycle = lifecycle
        self._limits = limits
        self._admit = admit
        self._sockets: list[socket.socket] = []
        self._accepting = False
        # Set while accepting waits for a connection to become evictable.
        self._resume_timer: Timer | None = None
        self.addresses: list[Address] = []

    def open(
        self, addresses: Sequence[Address], inherited: Sequence[socket.socket], *, reuse_port: bool
    ) -> None:
        """Listen on inherited sockets, or else on these addresses; raise OSError."""
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
        """Whether there are sockets that listen."""
        return bool(self._sockets)

    def duplicate_descriptors(self) -> list[int]:
        """Return copies of the sockets' descriptors, for the process that takes over."""
        return [os.dup(sock.fileno()) for sock in self._sockets]

    def start(self) -> None:
        """Accept, if the node's phase allows it."""
        if self._accepting or not self._sockets:
            return
        if self._lifecycle.accepts_connections(self._clock.now()):
            self._accepting = True
            for sock in self._sockets:
                self._loop.add_reader(sock, self._accept_batch, sock)

    def stop(self) -> None:
        """Stop accepting; new connections wait in the kernel's queue."""
        if self._accepting:
            self._accepting = False
            for sock in self._sockets:
                self._loop.remove_reader(sock)

    def close(self) -> None:
        """Close the sockets; connections in their queues are reset."""
        self.stop()
        for sock in self._sockets:
            sock.close()
        self._sockets = []

    def accept_all(self) -> None:
        """Accept all connections in the kernel's queues."""
        for sock in self._sockets:
            while self._accept_batch(sock):
                pass

    def resume_if_space(self) -> None:
        """Accept again after a connection has gone, unless a pause has still to pass."""
        if self._limits.is_excess_full() or self._resume_timer is not None:
            return
        if self._lifecycle.phase is not Phase.SHUTTING_DOWN:
            self.start()

    def _accept_batch(self, listening: socket.socket) -> bool:
        """Accept a few connections; return whether more may wait.

        Beyond the limit others are evicted; where none can be yet, a few more are accepted all the
        same, and rejected if all others are owed a response.  The rest wait in the kernel's queue.
        """
        for _ in range(ACCEPT_BATCH):
            if self._limits.is_excess_full() and not self._limits.evict():
                if not self._pause():
                    log.warning(
                        "accepting stops at the connection limit: clients=%d", len(self._limits)
                    )
                    self.stop()
                return False
            try:
                sock, _ = listening.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return False
            except OSError as e:  # no descriptor is left: accepting resumes when a client has left
                log.error("accepting stops: %s", e)  # noqa: TRY400 - the cause is told, its place is known
                if len(self._limits) > 0:
                    self.stop()
                return False
            self._admit(sock)
        return True

    def _pause(self) -> bool:
        """Accept nothing until a connection may have become evictable; False if none will."""
        if self._lifecycle.phase is Phase.SHUTTING_DOWN or not self._limits.may_evict_later():
            return False
        self.stop()
        if self._resume_timer is None:
            resume_at = self._clock.now() + MIN_SILENCE_US
            self._resume_timer = self._clock.call_at(resume_at, self._resume)
        return True

    def _resume(self) -> None:
        self._resume_timer = None
        if self._lifecycle.phase is not Phase.SHUTTING_DOWN:
            self.start()
