"""The process that was started: it takes the node over from a predecessor, or serves alone."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable, Sequence
from pathlib import Path

from oakbridge.handover.actions import (
    ApplyCommand,
    ApplyEndpointList,
    BuildNode,
    Disconnect,
    ReserveForPredecessor,
    Send,
    StartServing,
    SuccessorAction,
)
from oakbridge.handover.channel import Channel
from oakbridge.handover.messages import (
    ClientConnection,
    EndpointListUpdate,
    JsonObject,
    Message,
    OperatorCommand,
    RemainingLoad,
    TakeOver,
    Welcome,
)
from oakbridge.handover.shared_lists import SharedLists
from oakbridge.handover.state_machine import SuccessorState, SuccessorStateMachine
from oakbridge.handover.unix_socket import connect
from oakbridge.node.node import Node
from oakbridge.policy import state as policy_state
from oakbridge.policy.events import PredecessorInFlight

log = logging.getLogger(__name__)

REPLY_TIMEOUT_S = 1.0  # a predecessor that takes longer to answer is frozen, and is done without


class Successor:
    """Carries the actions of a :class:`SuccessorStateMachine` out on the node and its sockets.

    Attributes:
        path: Where the predecessor listens.
        welcome: The node as the predecessor has it; None if there is no predecessor.
        listeners: The predecessor's listening sockets, for the node to own.
    """

    def __init__(self, node_name: str, path: Path) -> None:
        self.path = path
        self.welcome: Welcome | None = None
        self.listeners: list[socket.socket] = []
        self._loop = asyncio.get_running_loop()
        self._machine = SuccessorStateMachine(node_name)
        self._progress = asyncio.Event()  # set after each event that may have changed the state
        self._channel: Channel | None = None
        self._node: Node | None = None
        self._lists: SharedLists | None = None
        self._apply_command: Callable[[str, str], None] | None = None
        self._early_commands: list[OperatorCommand] = []  # received before the node was there
        self._early_connections: list[socket.socket] = []  # received before it served

    async def connect(self) -> None:
        """Receive the predecessor's welcome, or find that there is no predecessor that answers."""
        sock = connect(self.path)
        if sock is None:
            self._perform(self._machine.disconnected())
            return
        self._channel = Channel(self._loop, sock, self._on_message, self._on_disconnect)
        self._perform(self._machine.connected())
        await self._wait_until(lambda: self._machine.state is not SuccessorState.CONNECTING)

    def attach(self, node: Node, apply_command: Callable[[str, str], None]) -> None:
        """Go on with the node, once it is built.

        ``apply_command`` carries out an operator's command, given its verb and the server it names.
        """
        self._node = node
        self._lists = SharedLists(node, lambda: self._machine.relays_lists, self._send)
        self._apply_command = apply_command
        for command in self._early_commands:
            apply_command(command.verb, command.server_id)
        self._early_commands = []

    async def take_over(self) -> None:
        """Have the predecessor stop accepting, and serve in its place from then on."""
        self._perform(self._machine.node_built())
        await self._wait_until(lambda: self._machine.state is SuccessorState.SERVING)

    def relay_command(self, verb: str, server_id: str) -> None:
        """Have an operator's command that came in here carried out in the predecessor too."""
        if self._machine.relays_commands:
            self._send(OperatorCommand(verb, server_id))

    def close(self) -> None:
        """Leave the predecessor alone."""
        if self._channel is not None:
            self._channel.close()

    async def _wait_until(self, condition: Callable[[], bool]) -> None:
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                while not condition():
                    self._progress.clear()
                    await self._progress.wait()
        except TimeoutError:
            log.warning("the process that runs does not answer: going on without it")
            self._perform(self._machine.timed_out())

    def _on_message(self, _channel: Channel, message: Message, descriptors: list[int]) -> None:
        match message:
            case ClientConnection():
                for descriptor in descriptors:
                    self._accept_connection(socket.socket(fileno=descriptor))
                return
            case Welcome():
                self.listeners = [socket.socket(fileno=descriptor) for descriptor in descriptors]
            case _:
                for descriptor in descriptors:
                    os.close(descriptor)  # none is expected
        self._perform(self._machine.receive(message))

    def _on_disconnect(self, _channel: Channel) -> None:
        self._perform(self._machine.disconnected())

    def _accept_connection(self, sock: socket.socket) -> None:
        if self._node is not None and self._machine.state is SuccessorState.SERVING:
            self._node.server.admit(sock)
        else:
            self._early_connections.append(sock)

    def _perform(self, actions: Sequence[SuccessorAction]) -> None:
        for action in actions:
            match action:
                case Send():
                    self._send(action.message)
                case BuildNode():
                    self.welcome = action.welcome
                case StartServing():
                    self._start_serving(action.predecessor)
                case ReserveForPredecessor():
                    self._reserve_for_predecessor(action.load)
                case ApplyEndpointList():
                    if self._lists is not None:
                        self._lists.apply(action.update)
                case ApplyCommand():
                    self._apply(action.command)
                case Disconnect():
                    self._disconnect()
        self._progress.set()

    def _send(self, message: Message) -> None:
        if self._channel is not None:
            self._channel.send(message)

    def _disconnect(self) -> None:
        if self._channel is not None:
            self._channel.close()
            self._channel = None
            self._reserve_for_predecessor(RemainingLoad(attempts=0, connections=0))

    def _reserve_for_predecessor(self, load: RemainingLoad) -> None:
        if self._node is not None:
            self._node.share_descriptors(load.connections)
            self._node.post(PredecessorInFlight(load.attempts))

    def _apply(self, command: OperatorCommand) -> None:
        if self._apply_command is None:
            self._early_commands.append(command)
        else:
            self._apply_command(command.verb, command.server_id)

    def _start_serving(self, predecessor: TakeOver | None) -> None:
        node = self._node
        assert node is not None
        if predecessor is not None:
            self._take_over_list(node, predecessor)
            self._restore_policy_state(node, predecessor.policy_state)
            log.info("taken over")
        for sock in self._early_connections:
            node.server.admit(sock)
        self._early_connections = []

    def _take_over_list(self, node: Node, predecessor: TakeOver) -> None:
        """Go on from the predecessor's list, which may be newer than the one of its welcome.

        The list's age goes on too: a bound that began anew with each process would not be one.
        """
        if self._lists is not None and predecessor.endpoint_list is not None:
            self._lists.apply(EndpointListUpdate(predecessor.endpoint_list, predecessor.list_age))
        if node.settings.poll_discovery:
            node.source.watch(True)

    @staticmethod
    def _restore_policy_state(node: Node, learned: JsonObject) -> None:
        try:
            policy_state.restore(node.balancer, learned, node.clock.now())
        except (KeyError, TypeError, ValueError) as e:
            log.warning("unusable policy state from the predecessor: error=%s", e)
