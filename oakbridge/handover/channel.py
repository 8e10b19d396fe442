"""The connection between the two processes of a node: it carries messages and file descriptors."""

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

MAX_DESCRIPTORS = 8  # received with one packet
MAX_PACKETS_PER_READ = 32  # read in one iteration of the event loop
# Packets waiting to be written.  A process that leaves more unread counts as disconnected.
MAX_QUEUED_PACKETS = 4096

WRITE_RETRY_S = 0.02  # delay after a transient write error

# The system is short of buffers, or too many descriptors are in transit.
_TRANSIENT_WRITE_ERRORS = RESOURCE_ERRORS | {errno.ETOOMANYREFS}
_TRUNCATED = socket.MSG_TRUNC | socket.MSG_CTRUNC

OnMessage = Callable[["Channel", Message, list[int]], None]
OnDisconnect = Callable[["Channel"], None]


class Channel:
    """One connection between the two processes of a node.  It owns its socket."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        on_message: OnMessage,
        on_disconnect: OnDisconnect,
    ) -> None:
        """Start to read messages.

        Args:
            loop: The event loop that runs this channel and its callbacks.
            sock: A connected, non-blocking socket of type SOCK_SEQPACKET.
            on_message: Called with each message and its descriptors, which the callback owns.
            on_disconnect: Called once when the other process closes the connection or it fails;
                not after :meth:`close`.
        """
        self.closed = False
        self._loop = loop
        self._sock = sock
        self._on_message = on_message
        self._on_disconnect = on_disconnect
        self._assembler = PacketAssembler()
        self._received_descriptors: list[int] = []  # with packets of an incomplete message
        self._unsent: deque[tuple[bytes, list[int]]] = deque()
        self._write_blocked = False
        loop.add_reader(sock, self._read)

    def send(self, message: Message, descriptors: Sequence[int] = ()) -> bool:
        """Send a message, or queue it while the socket's buffer is full.

        Returns False if the connection is closed or fails, or if too many packets are queued.  The
        channel closes the descriptors once they are sent; after False the caller still owns them.
        """
        if self.closed or len(self._unsent) > MAX_QUEUED_PACKETS:
            return False
        *continued, last = split_into_packets(encode(message))
        self._unsent.extend((packet, []) for packet in continued)
        self._unsent.append((last, list(descriptors)))
        if self._write_blocked or self._write_unsent():
            return True
        # The caller still owns these descriptors.  Those of earlier messages stay in the queue for
        # take_unsent_descriptors.
        self._unsent.pop()
        self.close()
        self._loop.call_soon(self._on_disconnect, self)
        return False

    def has_backlog(self) -> bool:
        """Return whether messages wait until the other process has read earlier ones."""
        return bool(self._unsent)

    def take_unsent_descriptors(self) -> list[int]:
        """Drop all queued packets and return their descriptors, which the caller then owns."""
        unsent = [descriptor for _, descriptors in self._unsent for descriptor in descriptors]
        self._unsent.clear()
        return unsent

    def close(self) -> None:
        """Close the connection; :meth:`take_unsent_descriptors` can still be called."""
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
        """Write packets until the socket's buffer is full; False if the connection failed."""
        while self._unsent:
            packet, descriptors = self._unsent[0]
            try:
                self._sock.sendmsg([packet], _as_ancillary_data(descriptors))
            except BlockingIOError:
                self._write_when_possible()
                return True
            except OSError as error:
                if error.errno not in _TRANSIENT_WRITE_ERRORS:
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

    def _write_when_possible(self) -> None:
        if not self._write_blocked:
            self._write_blocked = True
            self._loop.add_writer(self._sock, self._write)

    def _read(self) -> None:
        for _ in range(MAX_PACKETS_PER_READ):
            if self.closed:
                return
            try:
                received = socket.recv_fds(self._sock, MAX_PACKET_BYTES, MAX_DESCRIPTORS)
            except OSError as error:
                # After a transient error, also where no packet waits, the event loop calls again.
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
        except HandoverMessageError as error:
            log.warning("invalid hand-over message received: error=%s", error)
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
