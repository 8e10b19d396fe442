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

from oakbridge.handover import state_machine
from oakbridge.handover.channel import Channel, connect, listen
from oakbridge.handover.messages import CALL, CALLER, OVER, STILL, WELCOME, Message
from oakbridge.node.discovery import Discovery
from oakbridge.node.listing import as_raw
from oakbridge.node.node import Node
from oakbridge.policy import state
from oakbridge.policy.vocabulary import Elsewhere

log = logging.getLogger(__name__)

LOAD_REPORT_INTERVAL_S = 0.02  # between two words of what the old process still has
REPLY_TIMEOUT_S = 1.0  # for the other process to answer: one that takes longer is frozen, and is done without

CommandHandler = Callable[[str, str], None]  # an operator's word and the id it names


def socket_path(name: str, folder: str | None = None) -> Path:
    """Where the processes of a node find one another."""
    safe = "".join(c if c.isalnum() or c in "-_" else "_" for c in name)[:64]
    return Path(folder or os.environ.get("TMPDIR") or "/tmp") / f"oakbridge-{safe}.sock"


class Predecessor:
    """The process that runs: listens for one that is started beside it, and hands over to it."""

    def __init__(self, node: Node, apply_command: CommandHandler, path: Path) -> None:
        self.node, self.apply_command, self.path = node, apply_command, path
        self.loop = asyncio.get_running_loop()
        self.machine = state_machine.PredecessorStateMachine(node.config.name)
        self.channel: Channel | None = None
        self._sock: socket.socket | None = None
        self._inode = 0

    def listen(self) -> None:
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
        Channel(self.loop, sock, self._on_message, self._on_disconnect)

    def _on_message(self, channel: Channel, message: Message, fds: list[int]) -> None:
        for fd in fds:
            os.close(fd)  # none is expected on this side
        if self.channel not in (None, channel):
            self._decline(channel)
            return
        self.channel = channel
        self._notice_shutdown()
        self._perform(self.machine.receive(message))

    def _notice_shutdown(self) -> None:
        """Whether this process was told to end meanwhile."""
        if self.node.server.leaving:
            self.machine.begin_shutdown()

    def _decline(self, channel: Channel) -> None:
        channel.send(Message("decline", {"why": "another process takes over"}))
        channel.close()

    def _on_disconnect(self, channel: Channel) -> None:
        if channel is self.channel:
            for fd in channel.take_unsent_descriptors():
                self.node.server.admit(socket.socket(fileno=fd))
            self._notice_shutdown()
            self._perform(self.machine.disconnected())

    def _perform(self, actions: list[state_machine.Action]) -> None:
        for action in actions:
            if isinstance(action, state_machine.Send):
                if action.kind == WELCOME:
                    self._welcome()
                else:
                    self._send(Message(action.kind, action.says))
            elif isinstance(action, state_machine.DrainToSuccessor):
                self._drain_to_successor()
            elif isinstance(action, state_machine.ResumeServing):
                log.warning("the process that took over is gone: serving again")
                self.node.balancer.retired = False
                self.node.server.take_back()
            elif isinstance(action, state_machine.ApplyCommand):
                self.apply_command(action.word, action.server)
            elif isinstance(action, state_machine.Disconnect) and self.channel is not None:
                channel, self.channel = self.channel, None
                channel.close()

    def _send(self, message: Message, fds: tuple[int, ...] = ()) -> bool:
        return self.channel is not None and self.channel.send(message, fds)

    def _welcome(self) -> None:
        node = self.node
        index = node.source.index if isinstance(node.source, Discovery) else None
        says = {
            "file": node.config.raw,
            "known": as_raw(index or 0, node.listed_now()),
            "outages": node.outages.saved(),
            "draining": node.server.life.draining,
        }
        self._send(Message(WELCOME, says), tuple(node.server.doors()))
        log.info("a process that takes over was told all")

    def _drain_to_successor(self) -> None:
        node = self.node
        node.server.hand_over(self._migrate_connection)
        node.pool.close_idle()
        learned = state.save(node.balancer, node.clock.now())
        self._send(Message(OVER, {"learned": learned}))
        log.info("handed over; %d callers move on as they rest", node.server.callers())
        self._report_load(())
        node.server.move_all()

    def _report_load(self, before: tuple[int, ...]) -> None:
        """Now and then say what this process still has: until it ends, the limits are for both together."""
        if self.channel is None or self.machine.state != state_machine.PredecessorState.DRAINING:
            return
        still = self.node.balancer.admission.out, self.node.server.callers() + self.node.pool.count
        if still != before:
            self._send(Message(STILL, {"out": still[0], "held": still[1]}))
        self.loop.call_later(LOAD_REPORT_INTERVAL_S, self._report_load, still)

    def _migrate_connection(self, fd: int) -> bool:
        """Send a caller's connection along."""
        return self._send(Message(CALLER), (fd,))

    def relay_command(self, word: str, server: str) -> None:
        """An operator's call that came in here holds in the other process too."""
        if self.machine.relays_commands():
            self._send(Message(CALL, {"word": word, "server": server}))

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


class Successor:
    """The process that was started: looks for one that runs, and takes over from it or serves alone."""

    def __init__(self, name: str, path: Path) -> None:
        self.machine = state_machine.SuccessorStateMachine(name)
        self.loop = asyncio.get_running_loop()
        self.path = path
        self.channel: Channel | None = None
        self.welcome: dict[str, Any] | None = None
        self.listeners: list[socket.socket] = []
        self.node: Node | None = None
        self.apply_command: CommandHandler | None = None
        self._progress = asyncio.Event()
        self._early_commands: list[tuple[str, str]] = []  # calls that came before the node was there
        self._early_connections: list[socket.socket] = []  # and callers before it served

    async def connect(self) -> None:
        """Have ``welcome`` and ``doors`` from the process that runs, or know that there is none to ask."""
        sock = connect(self.path)
        if sock is None:
            self.machine.is_connected = False
            self.machine.state = state_machine.SuccessorState.BUILDING
            return
        self.channel = Channel(
            self.loop, sock, self._on_message, lambda _: self._perform(self.machine.disconnected())
        )
        self._perform(self.machine.connected())
        await self._wait_until(lambda: self.machine.state != state_machine.SuccessorState.CONNECTING)

    async def _wait_until(self, done: Callable[[], bool]) -> None:
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                while not done():
                    self._progress.clear()
                    await self._progress.wait()
        except TimeoutError:
            log.warning("the process that runs does not answer: going on without it")
            self._perform(self.machine.timed_out())

    def attach(self, node: Node, apply_command: CommandHandler) -> None:
        """Have the node be as it was in the other process."""
        self.node, self.apply_command = node, apply_command
        for word, server in self._early_commands:
            apply_command(word, server)

    async def take_over(self) -> None:
        """The node could serve: have the other process hand over, and be the node from then on."""
        self._perform(self.machine.node_built())
        await self._wait_until(lambda: self.machine.state == state_machine.SuccessorState.SERVING)

    def _on_message(self, channel: Channel, message: Message, fds: list[int]) -> None:
        if message.kind == CALLER:
            for fd in fds:
                self._accept_connection(socket.socket(fileno=fd))
            return
        if message.kind == WELCOME:
            self.listeners = [socket.socket(fileno=fd) for fd in fds]
        else:
            for fd in fds:
                os.close(fd)
        self._perform(self.machine.receive(message))

    def _accept_connection(self, sock: socket.socket) -> None:
        if self.node is not None and self.machine.state == state_machine.SuccessorState.SERVING:
            self.node.server.admit(sock)
        else:
            self._early_connections.append(sock)

    def _perform(self, actions: list[state_machine.Action]) -> None:
        for action in actions:
            if isinstance(action, state_machine.Send) and self.channel is not None:
                self.channel.send(Message(action.kind, action.says))
            elif isinstance(action, state_machine.BuildNode):
                self.welcome = action.welcome
            elif isinstance(action, state_machine.StartServing):
                self._start_serving(action)
            elif isinstance(action, state_machine.ReserveForPredecessor):
                self._reserve_for_predecessor(action.out, action.held)
            elif isinstance(action, state_machine.ApplyCommand):
                if self.apply_command is None:
                    self._early_commands.append((action.word, action.server))
                else:
                    self.apply_command(action.word, action.server)
            elif isinstance(action, state_machine.Disconnect) and self.channel is not None:
                channel, self.channel = self.channel, None
                channel.close()
                self._reserve_for_predecessor(0, 0)
        self._progress.set()

    def _reserve_for_predecessor(self, out: int, held: int) -> None:
        if self.node is not None:
            self.node.share(held)
            self.node.post(Elsewhere(out))

    def _start_serving(self, action: state_machine.StartServing) -> None:
        node = self.node
        assert node is not None
        if action.learned is not None:
            try:
                state.restore(node.balancer, action.learned, node.clock.now())
            except (KeyError, TypeError, ValueError) as e:
                log.warning("what the other process learned can't be used: %s", e)
            if node.settings.must_ask:
                node.source.watch(True)
            log.info("taken over")
        for sock in self._early_connections:
            node.server.admit(sock)
        self._early_connections = []

    def relay_command(self, word: str, server: str) -> None:
        """An operator's call that came in here holds in the other process too."""
        if self.channel is not None and self.machine.relays_commands():
            self.channel.send(Message(CALL, {"word": word, "server": server}))

    def close(self) -> None:
        """Have nothing more to do with the other process."""
        if self.channel is not None:
            self.channel.close()
