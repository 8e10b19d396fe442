"""Accepts callers, and hands their requests on."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable, Sequence
from typing import Protocol

from oakbridge.node.client_connection import Caller
from oakbridge.node.client_request import Request, parse_timeout
from oakbridge.node.clock import Clock, Timer
from oakbridge.node.lifecycle import Lifecycle, Phase
from oakbridge.node.listener import ACCEPTED, listen_on
from oakbridge.node.listing import Address
from oakbridge.node.read_deadlines import Ages

log = logging.getLogger(__name__)


READY = b"/-/ready"
TURNED_AWAY = 32  # connections past the limit that are still told so, before accepting stops
CROWDED = 0.75  # of the places: from there on connections are not kept
READ = 64 * 1024
# How long a caller is awaited: with its first request, with a head that has begun, with the next part of a body, with
# reading its answers, or with ending what it still writes after the last of them.  A head may take 2 s.
PATIENCE = 2_500_000
HELD_PART = 8  # of the node's memory, that bodies may take while they are held
IDLE_MOST = 15_000_000  # how long a connection may rest between requests while there is room
IDLE_LEAST = 2_100_000  # and where there is none; it may not be closed before 2 s
GRACE = 20_000  # how long a caller that was accepted may say nothing before it makes room for another


class Taker(Protocol):
    """Who gets the requests: the node."""

    def serving(self) -> bool:
        """Whether requests can be served."""

    def knows(self, klass: str) -> bool:
        """Whether there is such a class of requests."""

    def has_open(self, name: bytes) -> bool:
        """Whether a request with this id is open."""

    def take(self, request: Request) -> None:
        """Take a request over; it is owed one answer."""

    def left(self, request: Request) -> None:
        """Hear that the caller of a request has gone away."""


class Server:
    """Accepts callers within a bound, and hands their requests on."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        taker: Taker,
        addresses: Sequence[Address],
        most: int,
        doors: Sequence[socket.socket] = (),
        shared: bool = False,
    ) -> None:
        """``addresses``: where to listen; none if connections are handed in (:meth:`admit`).

        ``doors``: sockets that listen there already, from another process; ``shared``: a further one may listen.
        """
        # Set while another process takes over: sends a caller's connection on; False if that process is gone.
        self.send_on: Callable[[int], bool] | None = None
        self.loop, self.clock, self.taker, self.most = loop, clock, taker, most
        self.life = Lifecycle()
        self.held, self.held_most = (
            0,
            16 * 1024 * 1024,
        )  # bytes of bodies kept until they are whole; see Caller.on_body
        self.soon: Callable[[Callable[[], None]], object] = loop.call_soon
        self._callers: set[Caller] = set()
        self.awaited = Ages(clock, PATIENCE, Caller.expire)
        self.idle = Ages(clock, IDLE_MOST, Caller.close)
        self.buffer = memoryview(bytearray(READ))
        self._again: Timer | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._accepting = False
        self._step: Timer | None = None  # the next of the life's steps
        self._ended: asyncio.Future[None] | None = None
        self._socks: list[socket.socket] = []
        try:
            self._socks = [*doors]
            for address in () if doors else addresses:
                self._socks.append(listen_on(address, shared))
        except OSError:
            self._close_door()
            raise
        self.addresses: list[Address] = [sock.getsockname() for sock in self._socks]
        self.changed: Callable[[], None] | None = None  # called when a connection comes or goes

    def _close_door(self) -> None:
        for sock in self._socks:
            sock.close()
        self._socks = []

    @property
    def address(self) -> Address:
        """Where it listens first."""
        return self.addresses[0]

    def callers(self) -> int:
        """How many connections callers have."""
        return len(self._callers)

    def start(self) -> None:
        """Accept."""
        if not self._accepting and self._socks and self.life.open(self.clock.now()):
            self._accepting = True
            for sock in self._socks:
                self.loop.add_reader(sock, self._accept, sock)

    def _stop(self) -> None:
        if self._accepting:
            self._accepting = False
            for sock in self._socks:
                self.loop.remove_reader(sock)

    def _accept(self, door: socket.socket) -> bool:
        """Take what waits, a few in a turn so that what they say is read in between; whether more may wait.

        Past the bound others make room; where none can yet, a few more are taken all the same, and told to
        go elsewhere if all others are owed an answer.  The rest wait outside.
        """
        for _ in range(ACCEPTED):
            if len(self._callers) >= self.most + TURNED_AWAY and not self._make_room():
                if not self._wait_for_room():
                    log.warning("%d callers: accepting stops", len(self._callers))
                    self._stop()
                return False
            try:
                sock, _ = door.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return False
            except OSError as e:  # no descriptor is left: accepting goes on when a caller has left
                log.error("accepting stops: %s", e)
                if self._callers:
                    self._stop()
                return False
            self.admit(sock)
        return True

    def admit(self, sock: socket.socket) -> None:
        """Serve on a connection, accepted here or by whoever holds the door."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        full = len(self._callers) >= self.most and not self._make_room()
        caller = Caller(self, sock, full and not self.idle.since and not self.awaited.since)
        self._callers.add(caller)
        self.awaited.add(caller)
        task = self.loop.create_task(self._attach(caller, sock))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if self.changed is not None:
            self.changed()

    async def _attach(self, caller: Caller, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: caller, sock)
        except Exception:  # contained: one caller's connection must not end the node
            log.exception("a caller's connection failed")
            sock.close()
            self.lost(caller)

    def _make_room(self) -> bool:
        """Part with a caller that is owed nothing: one that is awaited in vain before one that only rests."""
        caller = self.awaited.oldest(GRACE) or self.idle.oldest(IDLE_LEAST)
        if caller is None:
            return False
        self._remove(caller)  # its place is free at once, its descriptor is from the reserve
        caller.abort()
        return True

    def crowded(self) -> bool:
        """Whether places run short: then an answer is the last on its connection, which is free at once.

        Guards against hundreds that ask once and stay: none may be put out before it has rested for 2 s.
        """
        return len(self._callers) > self.most * CROWDED

    def _wait_for_room(self) -> bool:
        """Accept nothing for a moment, after which one that is awaited or rests may make room."""
        if self._ended is not None or not (self.awaited.since or self.idle.since):
            return False
        self._stop()
        if self._again is None:
            self._again = self.clock.call_at(self.clock.now() + GRACE, self._accept_again)
        return True

    def _accept_again(self) -> None:
        self._again = None
        if self._ended is None:
            self.start()

    def _remove(self, caller: Caller) -> None:
        self._callers.discard(caller)
        self.awaited.remove(caller)
        self.idle.remove(caller)
        if self.changed is not None:
            self.changed()

    def lost(self, caller: Caller) -> None:
        """A connection has ended."""
        self._remove(caller)
        if len(self._callers) < self.most + TURNED_AWAY and not self._ended and self._again is None:
            self.start()  # where it has to accept
        self._check_end()

    def handle(self, request: Request) -> None:
        """Answer what is the node's own or can't be read; hand on the rest, with the time it has left."""
        caller = request.caller
        if request.url.split(b"?", 1)[0] == READY:
            ready = self.taker.serving() and self.life.ready
            return caller.answer(request, 200 if ready else 503, [], b"ready\n" if ready else b"not ready\n")
        timeout = request.named.get(b"x-timeout")
        left = None if timeout is None else parse_timeout(timeout)
        if request.method in (b"HEAD", b"CONNECT"):
            return caller.answer(request, 405, [], b"")
        name = request.named.get(b"x-request-id")
        if not name or (left is None and timeout is not None):
            return caller.answer(request, 400, [], b"X-Request-ID or X-Timeout is missing or malformed\n")
        if not self.taker.knows(request.text(b"x-priority-class")):
            return caller.answer(request, 400, [], b"unknown X-Priority-Class\n")
        if self.taker.has_open(name):
            # Guards against a second copy: it would be out beside the first one, for whoever sent it.
            return caller.answer(request, 409, [], b"a request with this X-Request-ID is open\n")
        if caller.excess:
            return caller.answer(request, 503, [], b"")
        request.time_left = left
        request.due_by = self.life.last_answer
        try:
            self.taker.take(request)
        except Exception:  # contained: this request has failed, the others go on
            log.exception("a request failed")
            caller.answer(request, 500, [], b"")

    # ---- drains and the end

    @property
    def leaving(self) -> bool:
        """Whether the process ends."""
        return self.life.phase == Phase.ENDING

    def clearing(self) -> bool:
        """Whether an answer is the last on its connection."""
        return self.life.clears_at is not None and self.life.clearing(self.clock.now())

    def drain(self) -> bool:
        """Empty the node as a lame duck; False if that changes nothing."""
        changed = self.life.drain(self.clock.now())
        self._follow()
        return changed

    def join(self) -> bool:
        """Take a drain back; False if that changes nothing."""
        changed = self.life.join(self.clock.now())
        self._follow()
        return changed

    def doors(self) -> list[int]:
        """Copies of the listening sockets' descriptors, for the process that takes over."""
        return [os.dup(sock.fileno()) for sock in self._socks]

    def hand_over(self, send_on: Callable[[int], bool]) -> None:
        """Accept nothing more: another process does, at the same sockets."""
        self.life.hand_over()
        self._stop()
        self.send_on = send_on

    def move_all(self) -> None:
        """Send on the callers that rest; the others follow once they do."""
        for caller in list(self._callers):
            caller.move()

    def take_back(self) -> None:
        """The process that took over is gone: accept again."""
        self.send_on = None
        self.life.take_back()
        self.start()

    async def leave(self, longest: int) -> None:
        """Accept through the changeover, serve who is there for a while, and return when all is answered."""
        self._ended = self.loop.create_future()
        self.life.end(self.clock.now(), longest)
        self._follow()
        await self._ended

    def _follow(self) -> None:
        """Do what the life's phase asks for now, and look again when its next step is due."""
        if self._step is not None:
            self._step.cancel()
            self._step = None
        now = self.clock.now()
        if self.life.phase == Phase.ENDING and self._socks and not self.life.open(now):
            for sock in self._socks:
                while self._accept(sock):  # all that wait outside: what is left there would be reset
                    pass
            self._stop()
            self._close_door()
        if self.life.clearing(now):
            for caller in [*self.idle.since, *self.awaited.since]:
                if caller.resting():
                    caller.close()
        if self.life.last_answer is not None and now >= self.life.last_answer:
            self._give_up()
        self._check_end()
        step = self.life.next_step(now)
        if step is not None and (self._ended is None or not self._ended.done()):
            self._step = self.clock.call_at(step, self._follow)

    def _check_end(self) -> None:
        if self._ended is not None and not self._socks and not self._callers:
            self._give_up()

    def _give_up(self) -> None:
        if self._ended is not None and not self._ended.done():
            self._ended.set_result(None)

    def close(self) -> None:
        """Close all."""
        self._stop()
        self._close_door()
        self.awaited.stop()
        self.idle.stop()
        for caller in list(self._callers):
            caller.close()
