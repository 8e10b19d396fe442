"""A Unix socket between the two processes of one node: packets with descriptors, in order, never waited for."""

from __future__ import annotations

import array
import asyncio
import contextlib
import logging
import os
import socket
from collections import deque
from collections.abc import Callable, Iterator
from pathlib import Path

from oakbridge.handover.message import PACKET, BadMessage, Message, Reader, pack

log = logging.getLogger(__name__)

DOORS = 8  # descriptors that come with one message at most
TURNS = 32  # packets read in one turn of the loop
QUEUE = 4096  # packets that wait to be written; a process that reads none of so many is taken for gone


@contextlib.contextmanager
def short(path: Path) -> Iterator[str]:
    """A name under which a socket in a long folder can be bound: a Unix address holds 107 bytes."""
    if len(os.fsencode(path)) <= 100:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


def listen(path: Path) -> socket.socket:
    """A Unix socket that listens under this name, in place of whatever has it.  Raises OSError."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
    try:
        with contextlib.suppress(FileNotFoundError):
            path.unlink()
        with short(path) as name:
            sock.bind(name)
        path.chmod(0o600)
        sock.listen(4)
    except OSError:
        sock.close()
        raise
    return sock


def connect(path: Path) -> socket.socket | None:
    """A connection to the process that listens there; None if there is none: no file, or one that a process left."""
    if not path.exists():
        return None
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
    try:
        with short(path) as name:
            sock.connect(name)
    except OSError as e:
        sock.close()
        log.info("nobody hands over at %s: %s", path.name, e.strerror)
        return None
    return sock


class Channel:
    """One connection between the two."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        heard: Callable[[Channel, Message, list[int]], None],
        lost: Callable[[Channel], None],
    ) -> None:
        """``heard``: told of each message, with descriptors that are its own to close; ``lost``: of the end, once."""
        self.loop, self.sock, self._heard, self._lost = loop, sock, heard, lost
        self._reader = Reader()
        self._fds: list[int] = []  # that came with the packets of a message that is not whole yet
        self._queue: deque[tuple[bytes, list[int]]] = deque()
        self._waits = self.closed = False
        loop.add_reader(sock, self._readable)

    def say(self, message: Message, fds: tuple[int, ...] = ()) -> bool:
        """Send a message; its descriptors are closed here once they are sent.  False if the connection is over."""
        if self.closed or len(self._queue) > QUEUE:
            return False
        packets = pack(message)
        self._queue.extend((packet, []) for packet in packets[:-1])
        self._queue.append((packets[-1], list(fds)))
        if not self._waits:
            self._write()
        return not self.closed

    def unsent(self) -> list[int]:
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
                if not self._waits:
                    self._waits = True
                    self.loop.add_writer(self.sock, self._write)
                return
            except OSError:
                return self._end()
            self._queue.popleft()
            for fd in fds:
                os.close(fd)
        if self._waits:
            self._waits = False
            self.loop.remove_writer(self.sock)

    def _readable(self) -> None:
        for _ in range(TURNS):
            if self.closed:
                return
            try:
                packet, fds, flags, _ = socket.recv_fds(self.sock, PACKET + 1, DOORS)
            except BlockingIOError:
                return
            except OSError:
                return self._end()
            self._fds += fds
            if not packet or flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
                return self._end()
            try:
                message = self._reader.take(packet)
            except BadMessage as e:
                log.warning("the other process of this node: %s", e)
                return self._end()
            if message is not None:
                fds, self._fds = self._fds, []
                self._heard(self, message, fds)

    def _end(self) -> None:
        if not self.closed:
            self.close()
            self._lost(self)

    def close(self) -> None:
        """Close it; what was not sent stays in :meth:`unsent`."""
        if self.closed:
            return
        self.closed = True
        self.loop.remove_reader(self.sock)
        if self._waits:
            self.loop.remove_writer(self.sock)
        self.sock.close()
        for fd in self._fds:
            os.close(fd)
        self._fds = []
