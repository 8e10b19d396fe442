"""A worker's end of the channel to its supervisor: receive connections, send load reports."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import socket
from collections import deque
from collections.abc import Iterator, Sequence
from contextlib import contextmanager

from oakbridge.node.node import Node
from oakbridge.workers.errors import PacketError
from oakbridge.workers.messages import (
    MAX_PACKET_BYTES,
    LoadReport,
    SupervisorCommand,
    WorkerMessage,
    WorkerReady,
    decode_command,
    encode_message,
)

log = logging.getLogger(__name__)

REPORT_DELAY_S = 0.002  # connections that come and go within it are told in one report
RETRY_DELAY_S = 0.02  # after which a message is sent again that the channel had no space for


class WorkerChannel:
    """The channel to the supervisor, which it owns.

    If the supervisor dies, the worker shuts down: nobody could send it connections, restart it or
    stop it.
    """

    def __init__(self, channel: socket.socket) -> None:
        """Take over the socket; it is closed when ``attached`` is left."""
        self._channel = channel
        self._channel.setblocking(False)
        self._loop = asyncio.get_running_loop()
        self._node: Node | None = None
        self._unacknowledged: deque[socket.socket] = deque()  # not read from yet
        self._acknowledged = 0  # connections, since the worker's start
        self._report_timer: asyncio.TimerHandle | None = None

    @contextmanager
    def attached(self, node: Node) -> Iterator[None]:
        """Have a node serve the connections that arrive, then close the channel."""
        self._node = node
        node.server.limits.on_change = self._schedule_report
        self._loop.add_reader(self._channel, self._receive)
        self._loop.call_soon(self._send, WorkerReady(node.server.limits.max_connections))
        try:
            yield
        finally:
            self._loop.remove_reader(self._channel)
            self._channel.close()

    def _receive(self) -> None:
        """Read one packet and act on it."""
        try:
            packet, descriptors, *_ = socket.recv_fds(self._channel, MAX_PACKET_BYTES, 1)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            packet, descriptors = b"", []
        if not packet:
            log.warning("the supervisor is gone: this worker ends")
            self._loop.remove_reader(self._channel)
            os.kill(os.getpid(), signal.SIGTERM)
            return
        try:
            self._execute(packet, descriptors)
        except PacketError as e:
            log.error("invalid packet from the supervisor: %s", e)  # noqa: TRY400 - its place is known
            for descriptor in descriptors:
                os.close(descriptor)

    def _execute(self, packet: bytes, descriptors: Sequence[int]) -> None:
        """Carry out a command.  Raises PacketError."""
        match decode_command(packet):
            case SupervisorCommand.SERVE_CONNECTION:
                if len(descriptors) != 1:
                    raise PacketError("one descriptor", packet)
                self._unacknowledged.append(socket.socket(fileno=descriptors[0]))
                self._acknowledge()
            case SupervisorCommand.SHUT_DOWN:
                os.kill(os.getpid(), signal.SIGTERM)
            case SupervisorCommand.RELOAD:
                os.kill(os.getpid(), signal.SIGHUP)

    def _acknowledge(self) -> None:
        """Report the connections that have arrived, and only then read from them.

        The supervisor sends what was not acknowledged to another worker if this process dies.
        """
        assert self._node is not None
        arrived = len(self._unacknowledged)
        report = LoadReport(
            open_connections=self._node.server.connection_count() + arrived,
            received_connections=self._acknowledged + arrived,
        )
        try:
            self._channel.send(encode_message(report))
        except BlockingIOError:
            self._loop.call_later(RETRY_DELAY_S, self._acknowledge)
            return
        except OSError:
            pass  # the supervisor is gone, and with it whoever could send these to another worker
        while self._unacknowledged:
            self._acknowledged += 1
            self._node.server.admit(self._unacknowledged.popleft())

    def _schedule_report(self) -> None:
        if self._report_timer is None:
            self._report_timer = self._loop.call_later(REPORT_DELAY_S, self._report)

    def _report(self) -> None:
        self._report_timer = None
        if self._node is not None:
            self._send(LoadReport(self._node.server.connection_count(), self._acknowledged))

    def _send(self, message: WorkerMessage) -> None:
        try:
            self._channel.send(encode_message(message))
        except BlockingIOError:  # the supervisor is behind: a newer report follows
            self._report_timer = self._loop.call_later(RETRY_DELAY_S, self._report)
        except OSError:
            pass  # the supervisor is gone, which _receive notices
