"""The connection between the two processes of a node: messages with descriptors, in order."""

from __future__ import annotations

import array
import asyncio
import errno
import logging
import os
import socket
from collections import deque
from collections.abc import Callable, Sequence

from oakbridge.handover.errors import HandoverMessageError
from oakbridge.handover.messages import Message, decode, encode
from oakbridge.handover.packets import MAX_PACKET_BYTES, PacketAssembler, split_into_packets
from oakbridge.node.system_errors import RESOURCE_ERRORS

log = logging.getLogger(__name__)

MAX_DESCRIPTORS = 8  # that come with one packet
MAX_PACKETS_PER_TURN = 32  # read in one turn of the loop
MAX_QUEUED_PACKETS = 4096  # waiting to be written; a process that leaves more unread counts as gone

WRITE_RETRY_S = 0.02  # after a write for which the system had no room

# The system is short of buffers, or too many descriptors are on their way.
_PASSING_WRITE_ERRORS = RESOURCE_ERRORS | {errno.ETOOMANYREFS}
_TRUNCATED = socket.MSG_TRUNC | socket.MSG_CTRUNC

OnMessage = Callable[["Channel", Message, list[int]], None]
OnDisconnect = Callable[["Channel"], None]


class Channel:
    """One connection between the two processes.  It owns its socket."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        on_message: OnMessage,
        on_disconnect: OnDisconnect,
    ) -> None:
        """Begin to read.

        Args:
            loop: The loop in which this is called, and calls back.
            sock: A connected socket of type SOCK_SEQPACKET that does not block.
            on_message: Called with each message and its descriptors, which the callee closes.
            on_disconnect: Called once when the other process has closed or broken the connection.
        """
        self.closed = False
        self._loop = loop
        self._sock = sock
        self._on_message = on_message
        self._on_disconnect = on_disconnect
        self._assembler = PacketAssembler()
        self._received_descriptors: list[int] = []  # of packets whose message is not complete yet
        self._unsent: deque[tuple[bytes, list[int]]] = deque()
        self._write_blocked = False
        loop.add_reader(sock, self._read)

    def send(self, message: Message, descriptors: Sequence[int] = ()) -> bool:
        """Send a message, now or once the other process has room; False if the connection is over.

        The descriptors are closed here once they are sent; after False they are the caller's.
        """
        if self.closed or len(self._unsent) > MAX_QUEUED_PACKETS:
            return False
        *continued, last = split_into_packets(encode(message))
        self._unsent.extend((packet, []) for packet in continued)
        self._unsent.append((last, list(descriptors)))
        if self._write_blocked or self._write_unsent():
            return True
        self._unsent.pop()  # the caller keeps its descriptors; what waited before is told of
        self.close()
        self._loop.call_soon(self._on_disconnect, self)
        return False

    def take_unsent_descriptors(self) -> list[int]:
        """Give up all that waits to be sent, and return its descriptors for the caller to close."""
        unsent = [descriptor for _, descriptors in self._unsent for descriptor in descriptors]
        self._unsent.clear()
        return unsent

    def close(self) -> None:
        """Close the connection; :meth:`take_unsent_descriptors` still returns what was not sent."""
        if self.closed:
            return
        self.closed = True
        self._loop.remove_reader(self._sock)
        if self._write_blocked:
            self._loop.remove_writer(self._sock)
        self._sock.close()
        for descriptor in self._received_descriptors:
            os.close(descriptor)
        self._received_descriptors = []

    def _write(self) -> None:
        if not self.closed and not self._write_unsent():
            self._disconnect()

    def _write_unsent(self) -> bool:
        """Write what the other process has room for; return False if the connection is broken."""
        while self._unsent:
            packet, descriptors = self._unsent[0]
            try:
                self._sock.sendmsg([packet], _as_ancillary_data(descriptors))
            except BlockingIOError:
                self._write_once_possible()
                return True
            except OSError as error:
                if error.errno not in _PASSING_WRITE_ERRORS:
                    return False
                self._loop.call_later(WRITE_RETRY_S, self._write)
                return True
            self._unsent.popleft()
            for descriptor in descriptors:
                os.close(descriptor)
        if self._write_blocked:
            self._write_blocked = False
            self._loop.remove_writer(self._sock)
        return True

    def _write_once_possible(self) -> None:
        if not self._write_blocked:
            self._write_blocked = True
            self._loop.add_writer(self._sock, self._write)

    def _read(self) -> None:
        for _ in range(MAX_PACKETS_PER_TURN):
            if self.closed:
                return
            try:
                received = socket.recv_fds(self._sock, MAX_PACKET_BYTES, MAX_DESCRIPTORS)
            except OSError as error:
                # Nothing has come, or what came can't be read for a moment: the loop calls again.
                if error.errno not in RESOURCE_ERRORS:
                    self._disconnect()
                return
            packet, descriptors, flags, _ = received
            self._received_descriptors += descriptors
            if not packet or flags & _TRUNCATED:
                self._disconnect()
                return
            self._receive(packet)

    def _receive(self, packet: bytes) -> None:
        try:
            text = self._assembler.add(packet)
            message = None if text is None else decode(text)
        except HandoverMessageError as e:
            log.warning("unusable hand-over message: error=%s", e)
            self._disconnect()
            return
        if message is not None:
            descriptors = self._received_descriptors
            self._received_descriptors = []
            self._on_message(self, message, descriptors)

    def _disconnect(self) -> None:
        if not self.closed:
            self.close()
            self._on_disconnect(self)


def _as_ancillary_data(descriptors: list[int]) -> list[tuple[int, int, array.array[int]]]:
    if not descriptors:
        return []
    return [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", descriptors))]
