"""A worker's end of the channel to its supervisor: receives connections and sends load reports."""

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

REPORT_DELAY_S = 0.002  # all changes of the connection count within this time go into one report
RETRY_DELAY_S = 0.02  # before a message is sent again because the channel was full


class WorkerChannel:
    """The worker's end of the channel; owns its socket.

    If the supervisor exits, the worker shuts down, because no other process can send it
    connections, restart it or stop it.
    """

    def __init__(self, channel: socket.socket) -> None:
        """Take ownership of the socket; it is closed when the context ``attached`` exits."""
        self._channel = channel
        self._channel.setblocking(False)
        self._loop = asyncio.get_running_loop()
        self._node: Node | None = None
        self._unacknowledged: deque[socket.socket] = deque()  # no byte of these was read yet
        self._acknowledged_count = 0  # connections since the worker's start
        self._report_timer: asyncio.TimerHandle | None = None

    @contextmanager
    def attached(self, node: Node) -> Iterator[None]:
        """Have a node serve the received connections; close the channel when the context exits."""
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
        """Receive one packet and execute its command."""
        try:
            packet, descriptors, *_ = socket.recv_fds(self._channel, MAX_PACKET_BYTES, 1)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            packet, descriptors = b"", []
        if not packet:
            log.warning("channel to the supervisor closed; the worker shuts down")
            self._loop.remove_reader(self._channel)
            os.kill(os.getpid(), signal.SIGTERM)
            return
        try:
            self._execute(packet, descriptors)
        except PacketError as error:
            # A traceback adds nothing.
            log.error("packet from the supervisor is invalid: error=%s", error)  # noqa: TRY400
            for descriptor in descriptors:
                os.close(descriptor)

    def _execute(self, packet: bytes, descriptors: Sequence[int]) -> None:
        """Execute the command in a packet.  Raises PacketError."""
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
        """Acknowledge the received connections in a load report, and only then serve them.

        If this process exits, the supervisor sends unacknowledged connections to another worker.
        """
        assert self._node is not None
        unacknowledged_count = len(self._unacknowledged)
        report = LoadReport(
            open_connections=self._node.server.connection_count() + unacknowledged_count,
            received_connections=self._acknowledged_count + unacknowledged_count,
        )
        try:
            self._channel.send(encode_message(report))
        except BlockingIOError:
            self._loop.call_later(RETRY_DELAY_S, self._acknowledge)
            return
        except OSError:
            # The supervisor has exited, so no other worker can get these connections.
            pass
        while self._unacknowledged:
            self._acknowledged_count += 1
            self._node.server.admit(self._unacknowledged.popleft())

    def _schedule_report(self) -> None:
        if self._report_timer is None:
            self._report_timer = self._loop.call_later(REPORT_DELAY_S, self._report)

    def _report(self) -> None:
        self._report_timer = None
        if self._node is not None:
            self._send(LoadReport(self._node.server.connection_count(), self._acknowledged_count))

    def _send(self, message: WorkerMessage) -> None:
        try:
            self._channel.send(encode_message(message))
        except BlockingIOError:  # the channel is full; a newer report is sent after the delay
            self._report_timer = self._loop.call_later(RETRY_DELAY_S, self._report)
        except OSError:
            pass  # the supervisor has exited, and _receive shuts this worker down
