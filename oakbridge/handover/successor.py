"""The process that was started: take the node over from the one that runs, or serve alone."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

from oakbridge.handover import state_machine
from oakbridge.handover.channel import Channel
from oakbridge.handover.messages import CALL, CALLER, WELCOME, Message
from oakbridge.handover.unix_socket import connect
from oakbridge.node.node import Node
from oakbridge.policy import state
from oakbridge.policy.vocabulary import Elsewhere

log = logging.getLogger(__name__)

REPLY_TIMEOUT_S = 1.0  # for the other process to answer: one that takes longer is frozen, and is done without

CommandHandler = Callable[[str, str], None]  # an operator's word and the id it names


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
