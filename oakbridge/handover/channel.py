"""A Unix socket between the two processes of one node: packets with descriptors, in order, never waited for."""

from __future__ import annotations

import array
import asyncio
import logging
import os
import socket
from collections import deque
from collections.abc import Callable

from oakbridge.handover.messages import PACKET, BadMessage, Message, Reader, pack

log = logging.getLogger(__name__)

MAX_DESCRIPTORS = 8  # descriptors that come with one message at most
PACKETS_PER_TURN = 32  # packets read in one turn of the loop
MAX_QUEUED_PACKETS = (
    4096  # packets that wait to be written; a process that reads none of so many is taken for gone
)


class Channel:
    """One connection between the two."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        on_message: Callable[[Channel, Message, list[int]], None],
        on_disconnect: Callable[[Channel], None],
    ) -> None:
        """``on_message``: told of each message, with descriptors that are its own to close.

        ``on_disconnect``: told of the end, once.
        """
        self.loop, self.sock, self._on_message, self._on_disconnect = loop, sock, on_message, on_disconnect
        self._reader = Reader()
        self._received_descriptors: list[
            int
        ] = []  # that came with the packets of a message that is not whole yet
        self._queue: deque[tuple[bytes, list[int]]] = deque()
        self._write_blocked = self.closed = False
        loop.add_reader(sock, self._read)

    def send(self, message: Message, fds: tuple[int, ...] = ()) -> bool:
        """Send a message; its descriptors are closed here once they are sent.  False if the connection is over."""
        if self.closed or len(self._queue) > MAX_QUEUED_PACKETS:
            return False
        packets = pack(message)
        self._queue.extend((packet, []) for packet in packets[:-1])
        self._queue.append((packets[-1], list(fds)))
        if not self._write_blocked:
            self._write()
        return not self.closed

    def take_unsent_descriptors(self) -> list[int]:
        """Take back the descriptors that were never sent."""
        fds = [fd for _, fds in self._queue for fd in fds]
        self._queue.clear()
        return fds

    def _write(self) -> None:
        while self._queue:
            packet, fds = self._queue[0]
            ancillary = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", fds))] if fds else []
            try:
                self.sock.sendmsg([packet], ancillary)
            except BlockingIOError:
                if not self._write_blocked:
                    self._write_blocked = True
                    self.loop.add_writer(self.sock, self._write)
                return
            except OSError:
                return self._disconnect()
            self._queue.popleft()
            for fd in fds:
                os.close(fd)
        if self._write_blocked:
            self._write_blocked = False
            self.loop.remove_writer(self.sock)

    def _read(self) -> None:
        for _ in range(PACKETS_PER_TURN):
            if self.closed:
                return
            try:
                packet, fds, flags, _ = socket.recv_fds(self.sock, PACKET + 1, MAX_DESCRIPTORS)
            except BlockingIOError:
                return
            except OSError:
                return self._disconnect()
            self._received_descriptors += fds
            if not packet or flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
                return self._disconnect()
            try:
                message = self._reader.take(packet)
            except BadMessage as e:
                log.warning("the other process of this node: %s", e)
                return self._disconnect()
            if message is not None:
                fds, self._received_descriptors = self._received_descriptors, []
                self._on_message(self, message, fds)

    def _disconnect(self) -> None:
        if not self.closed:
            self.close()
            self._on_disconnect(self)

    def close(self) -> None:
        """Close it; what was not sent stays in :meth:`take_unsent_descriptors`."""
        if self.closed:
            return
        self.closed = True
        self.loop.remove_reader(self.sock)
        if self._write_blocked:
            self.loop.remove_writer(self.sock)
        self.sock.close()
        for fd in self._received_descriptors:
            os.close(fd)
        self._received_descriptors = []
