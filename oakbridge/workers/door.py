"""The supervisor's process: holds the listening sockets, starts workers, and hands each connection to one of them.

It accepts by itself, rather than each worker by SO_REUSEPORT: a worker that dies then takes along what it held and
nothing that still waits to be accepted, and few long-lived connections are spread evenly (docs/design/workers.md).
"""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import socket
import time
from collections import deque
from collections.abc import Callable, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

from oakbridge import __version__
from oakbridge.control.arguments import DEFAULT_STATUS_ROWS
from oakbridge.control.client import ControlClient
from oakbridge.control.errors import NodeUnreachableError, RequestRejectedError
from oakbridge.control.paths import worker_socket_path
from oakbridge.control.peers import PeerDirectory, handle_peer_request
from oakbridge.control.protocol import PEER_COMMANDS, ControlCommand, Request
from oakbridge.control.server import ControlServer
from oakbridge.node.address import Address
from oakbridge.node.listener import ACCEPT_BATCH, open_listener
from oakbridge.process import supervisor as sup
from oakbridge.workers import crew as c
from oakbridge.workers import wire
from oakbridge.workers.report import merge
from oakbridge.workers.spread import Handed, Spread

log = logging.getLogger(__name__)

CHANGEOVER_S = (
    0.4  # new connections go on coming for a while after a stop; workers wait 0.1 s longer for them
)
ASK_WITHIN_S = 2.0  # for a worker's account
NO_DESCRIPTORS_S = 0.1

Command = Callable[[int, int], Sequence[str]]  # a worker's number and its channel's descriptor


def now_us() -> int:
    """Monotonic time."""
    return time.monotonic_ns() // 1000


class Door:
    """One supervisor."""

    def __init__(
        self, name: str, addresses: Sequence[Address], workers: int, command: Command, control: Path | None
    ) -> None:
        """Listen.  Raises OSError with the address in its text."""
        self.name, self.control = name, control
        self.members: PeerDirectory | None = None  # one member for all workers
        self._loop = asyncio.get_running_loop()
        self._command = command
        self.crew, self.spread = c.Crew(workers), Spread()
        self._channels: dict[int, socket.socket] = {}
        self._handed: dict[int, Handed[socket.socket]] = {}  # by worker, in its present life
        self._back: deque[socket.socket] = deque()  # to be handed to another one, once one has room
        self._processes: dict[int, asyncio.subprocess.Process] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._accepting = False
        self._over: asyncio.Future[int] = self._loop.create_future()
        self._socks: list[socket.socket] = []
        self.started = time.time()
        try:
            for address in addresses:
                self._socks.append(open_listener(address))
        except OSError:
            self._close_door()
            raise
        self.addresses: list[Address] = [sock.getsockname() for sock in self._socks]

    def _close_door(self) -> None:
        self._accept_on(False)
        for sock in self._socks:
            sock.close()
        self._socks = []

    async def run(self) -> int:
        """Serve until told to end (SIGTERM, SIGINT); SIGHUP reloads, SIGUSR1 restarts one after the other."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self.end)
        self._loop.add_signal_handler(signal.SIGHUP, self.reload)
        self._loop.add_signal_handler(signal.SIGUSR1, lambda: self._do(self.crew.roll(now_us())))
        server = ControlServer(self.control, self._answer) if self.control is not None else None
        if server is not None:
            await server.start()
        try:
            where = ", ".join(f"{h}:{p}" for h, p in self.addresses)
            log.info("%s listens on %s with %d workers", self.name, where, len(self.crew.machines))
            self._do(self.crew.start(now_us()))
            return await self._over
        finally:
            if server is not None:
                server.close()
            self._close_door()
            for sock in (*self._back, *(sock for handed in self._handed.values() for sock in handed.left)):
                sock.close()
            for process in self._processes.values():
                with suppress(ProcessLookupError):
                    process.kill()

    def end(self) -> None:
        """Have all workers serve who is there, and end; new connections are handed on for a moment."""
        if not self.crew.ending:
            log.info("%s ends", self.name)
            self._loop.call_later(CHANGEOVER_S, self._last_call)
            self._do(self.crew.end(now_us()))

    def _last_call(self) -> None:
        """Hand the last that wait outside on, then close the door."""
        for sock in self._socks:
            self._accept(sock)
        self._close_door()

    def reload(self) -> None:
        """Have all workers read the configuration anew."""
        for worker in list(self._channels):
            self._send(worker, wire.RELOAD)

    # ---- what the crew asks for

    def _do(self, actions: list[c.Action]) -> None:
        for action in actions:
            if isinstance(action, c.Do):
                self._do_one(action.worker, action.action)
            elif isinstance(action, c.Join):
                self.spread.join(action.worker, action.most)
            elif isinstance(action, c.Part):
                self.spread.leave(action.worker)
            elif isinstance(action, c.Say):
                log.warning("%s", action.text)
            elif not self._over.done():
                self._over.set_result(action.code)
        self._room()

    def _room(self) -> None:
        """Hand on what came back from the dead, then accept while somebody has room."""
        while self._back and self.spread.room():
            self._hand(self._back.popleft())
        self._accept_on(self.spread.room())

    def _do_one(self, worker: int, action: sup.Action) -> None:
        if isinstance(action, sup.Start):
            task = self._loop.create_task(self._run(worker))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif isinstance(action, sup.Stop):
            self._send(worker, wire.LEAVE)
        elif isinstance(action, sup.Kill):
            if (process := self._processes.get(worker)) is not None:
                log.warning("worker %d does not end, and is killed", worker)
                with suppress(ProcessLookupError):
                    process.kill()
        else:
            wait = max(0, action.at - now_us()) / 1e6
            self._loop.call_later(wait, lambda: self._do(self.crew.tick(worker, now_us())))

    async def _run(self, worker: int) -> None:
        """One life of a worker's process."""
        ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        ours.setblocking(False)
        try:
            process = await asyncio.create_subprocess_exec(
                *self._command(worker, theirs.fileno()),
                pass_fds=[theirs.fileno()],
                stdin=asyncio.subprocess.DEVNULL,
            )
        except OSError as e:
            ours.close()
            return self._do(self.crew.exited(worker, f"could not be started: {e}", None, now_us()))
        finally:
            theirs.close()
        self._processes[worker], self._channels[worker] = process, ours
        handed = self._handed[worker] = Handed()
        self._loop.add_reader(ours, self._hear, worker, ours)
        if self.crew.machines[worker].state is sup.State.STOPPING:  # asked for while it was being started
            self._send(worker, wire.LEAVE)
        code = await process.wait()
        self._processes.pop(worker, None)
        while self._hear(worker, ours):  # its last accounts
            pass
        self._hang_up(worker, ours)
        self._back.extend(handed.left)
        handed.left.clear()
        how = f"exit code {code}" if code >= 0 else signal.Signals(-code).name
        self._do(self.crew.exited(worker, how, code if code >= 0 else None, now_us()))

    def _hang_up(self, worker: int, channel: socket.socket) -> None:
        self._loop.remove_reader(channel)
        channel.close()
        if self._channels.get(worker) is channel:
            del self._channels[worker]

    # ---- the channels

    def _hear(self, worker: int, channel: socket.socket) -> bool:
        """One packet; returns whether there was one."""
        try:
            packet = channel.recv(wire.MOST)
        except BlockingIOError:
            return False
        except OSError:
            packet = b""
        if not packet:  # its end is told by its process
            self._loop.remove_reader(channel)
            return False
        try:
            message = wire.decode(packet)
        except wire.BadPacket as e:
            log.error("worker %d: %s", worker, e)
            return True
        if isinstance(message, wire.Ready):
            log.info("worker %d is ready", worker)
            self._do(self.crew.ready(worker, message.most, now_us()))
        else:
            for sock in self._handed[worker].told(message.seen):
                sock.close()
            self.spread.told(worker, message.had, message.seen)
            self._room()
        return True

    def _send(self, worker: int, packet: bytes, *descriptors: int) -> bool:
        channel = self._channels.get(worker)
        if channel is None:
            return False
        try:
            socket.send_fds(channel, [packet], list(descriptors))
        except OSError as e:  # it is frozen and its queue is full, or it has just died
            log.warning("worker %d takes nothing: %s", worker, e)
            return False
        return True

    # ---- the door

    def _accept_on(self, on: bool) -> None:
        on = on and bool(self._socks)
        if on == self._accepting:
            return
        self._accepting = on
        for sock in self._socks:
            if on:
                self._loop.add_reader(sock, self._accept, sock)
            else:
                self._loop.remove_reader(sock)

    def _accept(self, door: socket.socket) -> None:
        for _ in range(ACCEPT_BATCH):
            if not self.spread.room():
                return self._accept_on(False)
            try:
                sock, _ = door.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as e:  # no descriptor is left
                log.error("accepting stops for a moment: %s", e)
                self._accept_on(False)
                self._loop.call_later(NO_DESCRIPTORS_S, lambda: self._accept_on(self.spread.room()))
                return
            self._hand(sock)

    def _hand(self, sock: socket.socket) -> None:
        """To the worker with the fewest; one that takes nothing is passed over until its process has ended."""
        while (worker := self.spread.pick()) is not None:
            if self._send(worker, wire.CONNECTION, sock.fileno()):
                return self._handed[worker].left.append(sock)  # kept until the worker has it in its hands
            self.spread.leave(worker)
        self._back.append(sock)

    # ---- the control socket

    async def _answer(self, request: Request) -> Any:
        assert self.control is not None
        if request.command in PEER_COMMANDS:
            return handle_peer_request(self.members, request)
        workers = list(self.crew.machines)
        asked = await asyncio.gather(*(asyncio.to_thread(self._ask, w, request) for w in workers))
        told: dict[int, Any] = dict(zip(workers, asked, strict=True))
        if request.command is ControlCommand.STATUS:
            return merge(self._own(), told, int(request.arguments.get("rows", DEFAULT_STATUS_ROWS)))
        refused = [f"worker {w}: {text}" for w, text in told.items() if isinstance(text, str)]
        if refused:
            raise RequestRejectedError("; ".join(refused))
        return told[workers[0]]

    def _ask(self, worker: int, request: Request) -> Any:
        """A worker's answer, or a text that says why there is none."""
        assert self.control is not None
        try:
            with ControlClient(worker_socket_path(self.control, worker), ASK_WITHIN_S) as client:
                return client.request(request.command, **request.arguments)
        except (NodeUnreachableError, RequestRejectedError) as e:
            machine = self.crew.machines[worker]
            return f"{machine.state.value}: {e}" + (
                f"; ended last: {machine.last_exit}" * bool(machine.last_exit)
            )

    def _own(self) -> dict[str, Any]:
        return {
            "name": self.name,
            "pid": os.getpid(),
            "version": __version__,
            "uptime_s": round(time.time() - self.started, 1),
            "listen": ["{}:{}".format(*address) for address in self.addresses],
            "handed": self.spread.counts(),
            "crashes": {w: machine.total_crashes for w, machine in self.crew.machines.items()},
        }
