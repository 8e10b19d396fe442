"""The successor's side: take the node over from a predecessor, or serve without one."""

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
    ApplyRequestIds,
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
    RelayedCommand,
    RemainingLoad,
    TakeOver,
    Welcome,
)
from oakbridge.handover.shared_lists import SharedLists
from oakbridge.handover.shared_request_ids import SharedRequestIds
from oakbridge.handover.state_machine import SuccessorState, SuccessorStateMachine
from oakbridge.handover.unix_socket import connect
from oakbridge.node.node import Node
from oakbridge.policy import state as policy_state
from oakbridge.policy.events import PredecessorInFlight

log = logging.getLogger(__name__)

# A predecessor that takes longer to reply counts as frozen, and the successor goes on without it.
REPLY_TIMEOUT_S = 1.0


class Successor:
    """Carries the actions of a :class:`SuccessorStateMachine` out on the node and its sockets.

    Attributes:
        path: The path of the predecessor's Unix socket.
        welcome: The node's state from the predecessor; None if there is no predecessor.
        listeners: The predecessor's listening sockets, which the node takes over.
    """

    def __init__(self, node_name: str, path: Path) -> None:
        self.path = path
        self.welcome: Welcome | None = None
        self.listeners: list[socket.socket] = []
        self._loop = asyncio.get_running_loop()
        self._machine = SuccessorStateMachine(node_name)
        self._progress = asyncio.Event()  # set after each event that may change the state
        self._channel: Channel | None = None
        self._node: Node | None = None
        self._lists: SharedLists | None = None
        self._request_ids: SharedRequestIds | None = None
        self._apply_command: Callable[[str, str], None] | None = None
        self._early_commands: list[RelayedCommand] = []  # received before attach()
        self._early_connections: list[socket.socket] = []  # received before serving

    async def connect(self) -> None:
        """Wait for the predecessor's welcome, or until it is known that no predecessor replies."""
        sock = connect(self.path)
        if sock is None:
            self._perform(self._machine.disconnected())
            return
        self._channel = Channel(self._loop, sock, self._on_message, self._on_disconnect)
        self._perform(self._machine.connected())
        await self._wait_until(lambda: self._machine.state is not SuccessorState.CONNECTING)

    def attach(self, node: Node, apply_command: Callable[[str, str], None]) -> None:
        """Use the node that was built, and carry out the commands received meanwhile.

        ``apply_command``: carries out an operator's command, given its verb and its server's id.
        """
        self._node = node
        self._lists = SharedLists(node, lambda: self._machine.relays_lists, self._send)
        self._request_ids = SharedRequestIds(
            node, lambda: self._machine.relays_request_ids, self._send, self._has_backlog
        )
        self._apply_command = apply_command
        for command in self._early_commands:
            apply_command(command.verb, command.server_id)
        self._early_commands = []

    async def take_over(self) -> None:
        """Have the predecessor stop accepting connections, then serve in its place."""
        self._perform(self._machine.node_built())
        await self._wait_until(lambda: self._machine.state is SuccessorState.SERVING)

    def relay_command(self, verb: str, server_id: str) -> None:
        """Send an operator's command that this process carried out to the predecessor."""
        if self._machine.relays_commands:
            self._send(RelayedCommand(verb, server_id))

    def close(self) -> None:
        """Close the connection to the predecessor."""
        if self._channel is not None:
            if self._request_ids is not None:
                self._request_ids.flush()
            self._channel.close()

    async def _wait_until(self, condition: Callable[[], bool]) -> None:
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                while not condition():
                    self._progress.clear()
                    await self._progress.wait()
        except TimeoutError:
            log.warning("predecessor did not reply in time: going on without it")
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
                    os.close(descriptor)  # other messages have no descriptors
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
                    self._start_serving(action.take_over)
                case ReserveForPredecessor():
                    load = action.load
                    self._reserve_for_predecessor(load, load.memory_bytes or 0)
                case ApplyEndpointList() | ApplyRequestIds():
                    self._apply_update(action)
                case ApplyCommand():
                    self._apply(action.command)
                case Disconnect():
                    self._disconnect()
        self._progress.set()

    def _send(self, message: Message) -> None:
        if self._channel is not None:
            self._channel.send(message)

    def _has_backlog(self) -> bool:
        return self._channel is not None and self._channel.has_backlog()

    def _disconnect(self) -> None:
        if self._channel is not None:
            self._channel.close()
            self._channel = None
            if self._request_ids is not None:
                self._request_ids.on_disconnect()
            self._reserve_for_predecessor(RemainingLoad(attempts=0, connections=0), None)

    def _reserve_for_predecessor(self, load: RemainingLoad, memory_bytes: int | None) -> None:
        if self._node is not None:
            self._node.share_limits(load.connections, memory_bytes)
            self._node.post(PredecessorInFlight(load.attempts))

    def _apply_update(self, action: ApplyEndpointList | ApplyRequestIds) -> None:
        match action:
            case ApplyEndpointList() if self._lists is not None:
                self._lists.apply(action.update)
            case ApplyRequestIds() if self._request_ids is not None:
                self._request_ids.apply(action.update)

    def _apply(self, command: RelayedCommand) -> None:
        if self._apply_command is None:
            self._early_commands.append(command)
        else:
            self._apply_command(command.verb, command.server_id)

    def _start_serving(self, take_over: TakeOver | None) -> None:
        node = self._node
        assert node is not None
        if take_over is not None:
            self._take_over_list(node, take_over)
            self._restore_policy_state(node, take_over.policy_state)
            log.info("node taken over from the predecessor")
        for sock in self._early_connections:
            node.server.admit(sock)
        self._early_connections = []

    def _take_over_list(self, node: Node, take_over: TakeOver) -> None:
        """Continue with the predecessor's list, which may be newer than that of its welcome.

        The list keeps its age: the limit on the age of a list would otherwise start anew with each
        process and so would not be a limit.
        """
        if self._lists is not None and take_over.endpoint_list is not None:
            self._lists.apply(EndpointListUpdate(take_over.endpoint_list, take_over.list_age_us))
        if node.settings.poll_discovery:
            node.source.watch(True)

    @staticmethod
    def _restore_policy_state(node: Node, saved_state: JsonObject) -> None:
        try:
            policy_state.restore(node.balancer, saved_state, node.clock.now())
        except (KeyError, TypeError, ValueError) as error:
            log.warning("invalid policy state from the predecessor: error=%s", error)
