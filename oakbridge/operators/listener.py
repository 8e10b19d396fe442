"""The operators' address: a listener apart from callers, bounded in connections, bytes and time.

Nobody who holds a connection with half a line or none can keep another's call waiting: all are read in the node's one
loop, and where places run out the one that has said nothing for longest makes room.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from oakbridge.node.listener import open_listener
from oakbridge.node.listing import Address
from oakbridge.operators import calls

log = logging.getLogger(__name__)

PLACES = 24  # connections at once, from the descriptors that the node keeps in reserve
PATIENCE_S = 10.0  # for a whole line: somebody may type it
LINGER_S = 1.0  # for the caller to read its answer and close


class _Call(asyncio.Protocol):
    """One connection: one line, one answer."""

    def __init__(self, listener: Listener) -> None:
        self.listener, self.read, self.answered = listener, bytearray(), False
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.listener.came(self)
        self._limit(PATIENCE_S)

    def _limit(self, wait: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.listener.loop.call_later(wait, self.abort)

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return  # one line to a connection: what follows it is read and dropped
        self.read += data
        line, end, rest = bytes(self.read).partition(b"\n")
        if end and rest.strip():
            self._answer(calls.refusal("expected one line to a connection"))
        elif end:
            self._answer(self.listener.answer(line))
        elif len(self.read) > calls.LINE_MOST:
            self._answer(calls.refusal(f"expected a line of at most {calls.LINE_MOST} bytes"))

    def eof_received(self) -> bool:
        if not self.answered:  # a line may end with the connection's sending; nothing at all is no call
            if self.read:
                self._answer(self.listener.answer(bytes(self.read)))
            else:
                return False
        return True

    def _answer(self, line: bytes) -> None:
        self.answered = True
        self.read.clear()
        if self.transport is not None:
            self.transport.write(line)
            self.transport.write_eof()  # not closed yet: bytes still unread would reset it, and the answer with it
            self._limit(LINGER_S)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.listener.gone(self)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Listener:
    """Listens for operators' calls and has them answered, one line each."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, address: Address, answer: Callable[[bytes], bytes]
    ) -> None:
        self.loop, self._handle = loop, answer
        self._calls: dict[_Call, None] = {}  # oldest first
        self._attaching: set[asyncio.Task[None]] = set()
        self.sock: socket.socket = open_listener(address)
        self.address: Address = self.sock.getsockname()

    def start(self) -> None:
        """Accept."""
        self.loop.add_reader(self.sock, self._accept)
        log.info("operators call at %s:%d", *self.address)

    def _accept(self) -> None:
        for _ in range(PLACES):
            try:
                sock, _ = self.sock.accept()
            except OSError:  # nobody waits; or no descriptor is left, and there will be one in a moment
                return
            sock.setblocking(False)
            task = self.loop.create_task(self._attach(sock))
            self._attaching.add(task)
            task.add_done_callback(self._attaching.discard)

    async def _attach(self, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: _Call(self), sock)
        except Exception:  # contained: one call must not end the node
            log.exception("an operator's connection failed")
            sock.close()

    def came(self, call: _Call) -> None:
        """Count a connection; past the bound the one that has been silent for longest makes room."""
        self._calls[call] = None
        if len(self._calls) > PLACES:
            next(iter(self._calls)).abort()

    def gone(self, call: _Call) -> None:
        """A connection has ended."""
        self._calls.pop(call, None)

    def answer(self, line: bytes) -> bytes:
        """The answer to a line; a fault in the node is a no, and ends nothing."""
        try:
            said = self._handle(line)
        except Exception:
            log.exception("an operator's call failed")
            said = calls.refusal("the node failed on this call; its log says why")
        log.info("operator: %s: %s", line[:80].decode("utf-8", "replace").strip(), said.decode().strip())
        return said

    def close(self) -> None:
        """Take no more calls."""
        self.loop.remove_reader(self.sock)
        self.sock.close()
        for call in list(self._calls):
            call.abort()
