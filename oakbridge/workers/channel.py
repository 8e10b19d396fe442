"""A worker's end: takes connections that the supervisor hands over, and tells how many it has."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import socket
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager

from oakbridge.node.node import Node
from oakbridge.workers import messages

log = logging.getLogger(__name__)

GATHER_S = 0.002  # accounts of connections that come and go together are one


class WorkerChannel:
    """The channel to the supervisor.  If that one dies, the worker ends in order: nobody hands it anything."""

    def __init__(self, channel: socket.socket) -> None:
        self._channel, self._seen = channel, 0
        channel.setblocking(False)
        self._loop = asyncio.get_running_loop()
        self._telling: asyncio.TimerHandle | None = None
        self._node: Node | None = None
        self._handed: deque[socket.socket] = deque()  # not accounted for yet, and not read from

    @contextmanager
    def attached(self, node: Node) -> Iterator[None]:
        """Hand what comes to this node, for a while."""
        self._node = node
        node.server.limits.on_change = self._changed
        self._loop.add_reader(self._channel, self._readable)
        self._loop.call_soon(self._tell, messages.Ready(node.server.limits.max_connections))
        try:
            yield
        finally:
            self._loop.remove_reader(self._channel)
            self._channel.close()

    def _readable(self) -> None:
        try:
            packet, descriptors, *_ = socket.recv_fds(self._channel, messages.MOST, 1)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            packet, descriptors = b"", []
        if not packet:
            log.warning("the supervisor is gone: this worker ends")
            self._loop.remove_reader(self._channel)
            os.kill(os.getpid(), signal.SIGTERM)
        elif packet == messages.CONNECTION and len(descriptors) == 1:
            self._handed.append(socket.socket(fileno=descriptors[0]))
            self._take()
        elif packet == messages.LEAVE:
            os.kill(os.getpid(), signal.SIGTERM)
        elif packet == messages.RELOAD:
            os.kill(os.getpid(), signal.SIGHUP)
        else:
            log.error("not understood from the supervisor: %r", packet[:80])
            for descriptor in descriptors:
                os.close(descriptor)

    def _take(self) -> None:
        """Account first, then read: what was not accounted for the supervisor hands on if this process dies."""
        assert self._node is not None
        account = messages.LoadReport(
            self._node.server.connection_count() + len(self._handed), self._seen + len(self._handed)
        )
        try:
            self._channel.send(messages.encode(account))
        except BlockingIOError:
            self._loop.call_later(10 * GATHER_S, self._take)
            return
        except OSError:
            pass  # the supervisor is gone, and with it whoever could hand these to another worker
        while self._handed:
            self._seen += 1
            self._node.server.admit(self._handed.popleft())

    def _changed(self) -> None:
        if self._telling is None:
            self._telling = self._loop.call_later(GATHER_S, self._account)

    def _account(self) -> None:
        self._telling = None
        if self._node is not None:
            self._tell(messages.LoadReport(self._node.server.connection_count(), self._seen))

    def _tell(self, message: messages.Ready | messages.LoadReport) -> None:
        try:
            self._channel.send(messages.encode(message))
        except BlockingIOError:  # the supervisor is behind: what is newer will be told then
            self._telling = self._loop.call_later(10 * GATHER_S, self._account)
        except OSError:
            pass  # it is gone, which the reader hears of
