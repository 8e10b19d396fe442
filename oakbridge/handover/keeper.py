"""Both sides' shells: what the machines say is carried out on the node and its sockets."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

from oakbridge.handover import machine
from oakbridge.handover.channel import Channel, connect, listen
from oakbridge.handover.message import CALL, CALLER, OVER, STILL, WELCOME, Message
from oakbridge.node.discovery import Discovery
from oakbridge.node.listing import as_raw
from oakbridge.node.node import Node
from oakbridge.policy import state
from oakbridge.policy.vocabulary import Elsewhere

log = logging.getLogger(__name__)

REPORT_S = 0.02  # between two words of what the old process still has
ANSWER_S = 1.0  # for the other process to answer: one that takes longer is frozen, and is done without

Calls = Callable[[str, str], None]  # an operator's word and the id it names


def meeting_place(name: str, folder: str | None = None) -> Path:
    """Where the processes of a node find one another."""
    safe = "".join(c if c.isalnum() or c in "-_" else "_" for c in name)[:64]
    return Path(folder or os.environ.get("TMPDIR") or "/tmp") / f"oakbridge-{safe}.sock"


class Giver:
    """The process that runs: listens for one that is started beside it, and hands over to it."""

    def __init__(self, node: Node, apply: Calls, path: Path) -> None:
        self.node, self.apply, self.path = node, apply, path
        self.loop = asyncio.get_running_loop()
        self.machine = machine.Predecessor(node.config.name)
        self.channel: Channel | None = None
        self._sock: socket.socket | None = None
        self._inode = 0

    def start(self) -> None:
        """Listen; a node that can't be found goes on all the same, as SO_REUSEPORT lets another one in."""
        try:
            self._sock = listen(self.path)
            self._inode = self.path.stat().st_ino
        except OSError as e:
            log.warning("can't be handed over: %s: %s", self.path, e.strerror)
            return
        self.loop.add_reader(self._sock, self._accept)

    def _accept(self) -> None:
        assert self._sock is not None
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        sock.setblocking(False)
        Channel(self.loop, sock, self._heard, self._lost)

    def _heard(self, channel: Channel, message: Message, fds: list[int]) -> None:
        for fd in fds:
            os.close(fd)  # none is expected on this side
        if self.channel not in (None, channel):
            self._decline(channel)
            return
        self.channel = channel
        self._look()
        self._follow(self.machine.heard(message))

    def _look(self) -> None:
        """Whether this process was told to end meanwhile."""
        if self.node.server.shutting_down:
            self.machine.told_to_end()

    def _decline(self, channel: Channel) -> None:
        channel.say(Message("decline", {"why": "another process takes over"}))
        channel.close()

    def _lost(self, channel: Channel) -> None:
        if channel is self.channel:
            for fd in channel.unsent():
                self.node.server.admit(socket.socket(fileno=fd))
            self._look()
            self._follow(self.machine.lost())

    def _follow(self, steps: list[machine.Step]) -> None:
        for step in steps:
            if isinstance(step, machine.Say):
                if step.kind == WELCOME:
                    self._welcome()
                else:
                    self._say(Message(step.kind, step.says))
            elif isinstance(step, machine.HandOver):
                self._hand_over()
            elif isinstance(step, machine.TakeBack):
                log.warning("the process that took over is gone: serving again")
                self.node.balancer.retired = False
                self.node.server.take_back()
            elif isinstance(step, machine.Apply):
                self.apply(step.word, step.server)
            elif isinstance(step, machine.Part) and self.channel is not None:
                channel, self.channel = self.channel, None
                channel.close()

    def _say(self, message: Message, fds: tuple[int, ...] = ()) -> bool:
        return self.channel is not None and self.channel.say(message, fds)

    def _welcome(self) -> None:
        node = self.node
        index = node.source.index if isinstance(node.source, Discovery) else None
        says = {
            "file": node.config.raw,
            "known": as_raw(index or 0, node.listed_now()),
            "outages": node.outages.saved(),
            "draining": node.server.lifecycle.draining,
        }
        self._say(Message(WELCOME, says), tuple(node.server.listener.duplicate_descriptors()))
        log.info("a process that takes over was told all")

    def _hand_over(self) -> None:
        node = self.node
        node.server.hand_over(self._send)
        node.pool.close_idle()
        learned = state.save(node.balancer, node.clock.now())
        self._say(Message(OVER, {"learned": learned}))
        log.info("handed over; %d callers move on as they rest", node.server.connection_count())
        self._report(())
        node.server.hand_over_idle_connections()

    def _report(self, before: tuple[int, ...]) -> None:
        """Now and then say what this process still has: until it ends, the limits are for both together."""
        if self.channel is None or self.machine.state != machine.Old.OVER:
            return
        still = self.node.balancer.admission.out, self.node.server.connection_count() + self.node.pool.count
        if still != before:
            self._say(Message(STILL, {"out": still[0], "held": still[1]}))
        self.loop.call_later(REPORT_S, self._report, still)

    def _send(self, fd: int) -> bool:
        """Send a caller's connection along."""
        return self._say(Message(CALLER), (fd,))

    def tell(self, word: str, server: str) -> None:
        """An operator's call that came in here holds in the other process too."""
        if self.machine.shares():
            self._say(Message(CALL, {"word": word, "server": server}))

    def close(self) -> None:
        """Be found no more; the name may be another process's by now."""
        if self._sock is not None:
            self.loop.remove_reader(self._sock)
            self._sock.close()
            with contextlib.suppress(OSError):
                if self.path.stat().st_ino == self._inode:
                    self.path.unlink()
            self._sock = None
        if self.channel is not None:
            self.channel.close()


class Taker:
    """The process that was started: looks for one that runs, and takes over from it or serves alone."""

    def __init__(self, name: str, path: Path) -> None:
        self.machine = machine.Successor(name)
        self.loop = asyncio.get_running_loop()
        self.path = path
        self.channel: Channel | None = None
        self.welcome: dict[str, Any] | None = None
        self.doors: list[socket.socket] = []
        self.node: Node | None = None
        self.apply: Calls | None = None
        self._step = asyncio.Event()
        self._early: list[tuple[str, str]] = []  # calls that came before the node was there
        self._callers: list[socket.socket] = []  # and callers before it served

    async def ask(self) -> None:
        """Have ``welcome`` and ``doors`` from the process that runs, or know that there is none to ask."""
        sock = connect(self.path)
        if sock is None:
            self.machine.linked = False
            self.machine.state = machine.New.BUILDING
            return
        self.channel = Channel(self.loop, sock, self._heard, lambda _: self._follow(self.machine.lost()))
        self._follow(self.machine.begin())
        await self._wait(lambda: self.machine.state != machine.New.ASKING)

    async def _wait(self, done: Callable[[], bool]) -> None:
        try:
            async with asyncio.timeout(ANSWER_S):
                while not done():
                    self._step.clear()
                    await self._step.wait()
        except TimeoutError:
            log.warning("the process that runs does not answer: going on without it")
            self._follow(self.machine.late())

    def restore(self, node: Node, apply: Calls) -> None:
        """Have the node be as it was in the other process."""
        self.node, self.apply = node, apply
        for word, server in self._early:
            apply(word, server)

    async def take(self) -> None:
        """The node could serve: have the other process hand over, and be the node from then on."""
        self._follow(self.machine.built())
        await self._wait(lambda: self.machine.state == machine.New.SERVING)

    def _heard(self, channel: Channel, message: Message, fds: list[int]) -> None:
        if message.kind == CALLER:
            for fd in fds:
                self._caller(socket.socket(fileno=fd))
            return
        if message.kind == WELCOME:
            self.doors = [socket.socket(fileno=fd) for fd in fds]
        else:
            for fd in fds:
                os.close(fd)
        self._follow(self.machine.heard(message))

    def _caller(self, sock: socket.socket) -> None:
        if self.node is not None and self.machine.state == machine.New.SERVING:
            self.node.server.admit(sock)
        else:
            self._callers.append(sock)

    def _follow(self, steps: list[machine.Step]) -> None:
        for step in steps:
            if isinstance(step, machine.Say) and self.channel is not None:
                self.channel.say(Message(step.kind, step.says))
            elif isinstance(step, machine.Build):
                self.welcome = step.welcome
            elif isinstance(step, machine.Serve):
                self._serve(step)
            elif isinstance(step, machine.Share):
                self._share(step.out, step.held)
            elif isinstance(step, machine.Apply):
                if self.apply is None:
                    self._early.append((step.word, step.server))
                else:
                    self.apply(step.word, step.server)
            elif isinstance(step, machine.Part) and self.channel is not None:
                channel, self.channel = self.channel, None
                channel.close()
                self._share(0, 0)
        self._step.set()

    def _share(self, out: int, held: int) -> None:
        if self.node is not None:
            self.node.share(held)
            self.node.post(Elsewhere(out))

    def _serve(self, step: machine.Serve) -> None:
        node = self.node
        assert node is not None
        if step.learned is not None:
            try:
                state.restore(node.balancer, step.learned, node.clock.now())
            except (KeyError, TypeError, ValueError) as e:
                log.warning("what the other process learned can't be used: %s", e)
            if node.settings.must_ask:
                node.source.watch(True)
            log.info("taken over")
        for sock in self._callers:
            node.server.admit(sock)
        self._callers = []

    def tell(self, word: str, server: str) -> None:
        """An operator's call that came in here holds in the other process too."""
        if self.channel is not None and self.machine.shares():
            self.channel.say(Message(CALL, {"word": word, "server": server}))

    def close(self) -> None:
        """Have nothing more to do with the other process."""
        if self.channel is not None:
            self.channel.close()
