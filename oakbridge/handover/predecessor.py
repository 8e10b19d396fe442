"""The predecessor's side: listen for a successor, and hand the node over to it."""

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
    Disconnect,
    DrainToSuccessor,
    PredecessorAction,
    ResumeServing,
    Send,
    SendWelcome,
)
from oakbridge.handover.channel import Channel
from oakbridge.handover.messages import (
    ClientConnection,
    Decline,
    Message,
    RelayedCommand,
    RemainingLoad,
    TakeOver,
    Welcome,
)
from oakbridge.handover.shared_lists import SharedLists
from oakbridge.handover.shared_request_ids import SharedRequestIds
from oakbridge.handover.state_machine import (
    HAS_SUCCESSOR,
    PredecessorState,
    PredecessorStateMachine,
)
from oakbridge.handover.unix_socket import UnixListener, is_listening
from oakbridge.node.accepting import ACCEPT_RETRY_US, AcceptStatus
from oakbridge.node.discovery import DiscoverySource
from oakbridge.node.node import Node
from oakbridge.node.system_errors import is_resource_error
from oakbridge.policy import state as policy_state

log = logging.getLogger(__name__)

LOAD_REPORT_INTERVAL_S = 0.02  # between checks whether the remaining load has changed
LISTEN_RETRY_S = 0.2  # delay after a transient error of the listening socket
US_PER_S = 1e6


class Predecessor:
    """Carries the actions of a :class:`PredecessorStateMachine` out on the node and its sockets."""

    def __init__(self, node: Node, apply_command: Callable[[str, str], None], path: Path) -> None:
        """``path``: where to listen for a successor.

        ``apply_command``: carries out an operator's command, given its verb and its server's id.
        """
        self._node = node
        self._apply_command = apply_command
        self._path = path
        self._loop = asyncio.get_running_loop()
        self._machine = PredecessorStateMachine(node.config.name)
        self._listener: UnixListener | None = None
        self._listen_timer: asyncio.TimerHandle | None = None
        # To the successor, or to a process that asks to become the successor.
        self._channel: Channel | None = None
        self._lists = SharedLists(node, lambda: self._machine.relays_lists, self._send)
        self._request_ids = SharedRequestIds(
            node, lambda: self._machine.relays_request_ids, self._send, self._has_backlog
        )

    def listen(self) -> None:
        """Listen for a successor; retry after a transient error.

        A node that can't listen here still serves.  A new process then can't take over from it, but
        can listen on the same port through SO_REUSEPORT.
        """
        try:
            self._listener = UnixListener(self._path)
        except OSError as error:
            log.warning("hot restart unavailable: path=%s error=%s", self._path, error.strerror)
            if is_resource_error(error):
                self._listen_timer = self._loop.call_later(LISTEN_RETRY_S, self.listen)
            return
        self._watch_listener()

    def relay_command(self, verb: str, server_id: str) -> None:
        """Send an operator's command that this process carried out to the successor."""
        if self._machine.relays_commands:
            self._send(RelayedCommand(verb, server_id))

    def close(self) -> None:
        """Stop listening, and close the channel to the successor."""
        self._stop_listening()
        if self._channel is not None:
            self._request_ids.flush()
            self._channel.close()

    def _stop_listening(self) -> None:
        if self._listen_timer is not None:
            self._listen_timer.cancel()
            self._listen_timer = None
        if self._listener is not None:
            self._loop.remove_reader(self._listener)
            self._listener.close()
            self._listener = None

    def _listen_again(self) -> None:
        """Listen for another successor, as the one that listened in this process's place has gone.

        If it is alive and has only lost the connection, it keeps its place until it ends.
        """
        if self._listener is None or self._listener.owns_path():
            return
        if self._machine.state is not PredecessorState.SERVING:
            return
        if is_listening(self._path):
            self._listen_timer = self._loop.call_later(LISTEN_RETRY_S, self._listen_again)
            return
        self._stop_listening()
        self.listen()

    def _accept(self) -> None:
        assert self._listener is not None
        result = self._listener.accept()
        if result.connection is not None:
            # The event loop references the channel; its first message sets self._channel.
            Channel(self._loop, result.connection, self._on_message, self._on_disconnect)
        elif result.status is not AcceptStatus.QUEUE_EMPTY:
            self._loop.remove_reader(self._listener)  # accept would fail again at once
            self._loop.call_later(ACCEPT_RETRY_US / US_PER_S, self._watch_listener)

    def _watch_listener(self) -> None:
        if self._listener is not None:
            self._loop.add_reader(self._listener, self._accept)

    def _on_message(self, channel: Channel, message: Message, descriptors: list[int]) -> None:
        for descriptor in descriptors:
            os.close(descriptor)  # the protocol has none in this direction
        if self._channel not in (None, channel):
            channel.send(Decline(HAS_SUCCESSOR))
            channel.close()
            return
        self._channel = channel
        self._check_shutdown()
        self._perform(self._machine.receive(message))

    def _on_disconnect(self, channel: Channel) -> None:
        if channel is not self._channel:
            return
        for descriptor in channel.take_unsent_descriptors():
            self._node.server.admit(socket.socket(fileno=descriptor))
        self._check_shutdown()
        self._perform(self._machine.disconnected())

    def _check_shutdown(self) -> None:
        if self._node.server.shutting_down:
            self._machine.begin_shutdown()

    def _perform(self, actions: Sequence[PredecessorAction]) -> None:
        for action in actions:
            match action:
                case Send():
                    self._send(action.message)
                case SendWelcome():
                    self._send_welcome()
                case DrainToSuccessor():
                    self._drain_to_successor()
                case ResumeServing():
                    self._resume_serving()
                case ApplyEndpointList():
                    self._lists.apply(action.update)
                case ApplyRequestIds():
                    self._request_ids.apply(action.update)
                case ApplyCommand():
                    self._apply_command(action.command.verb, action.command.server_id)
                case Disconnect():
                    self._disconnect()

    def _send(self, message: Message, descriptors: Sequence[int] = ()) -> bool:
        return self._channel is not None and self._channel.send(message, descriptors)

    def _has_backlog(self) -> bool:
        return self._channel is not None and self._channel.has_backlog()

    def _disconnect(self) -> None:
        if self._channel is not None:
            self._channel.close()
            self._channel = None
            self._request_ids.on_disconnect()

    def _send_welcome(self) -> None:
        node = self._node
        welcome = Welcome(
            configuration=node.config.raw,
            endpoint_list=self._lists.update().endpoint_list,
            offline_servers=node.offline_servers.saved(),
            is_draining=node.server.lifecycle.draining,
            clock_offset_us=node.clock.offset,
            shares_lists=True,
            shares_request_ids=True,
        )
        try:
            descriptors = node.server.listener.duplicate_descriptors()
        except OSError as error:
            # Without a welcome the successor times out, and serves beside this process.
            log.warning("listening sockets can't be duplicated for the successor: error=%s", error)
            return
        if self._send(welcome, descriptors):
            log.info("welcome sent to the successor")
            return
        for descriptor in descriptors:
            os.close(descriptor)

    def _drain_to_successor(self) -> None:
        node = self._node
        node.server.hand_over(self._migrate_connection)
        node.pool.close_idle()
        self._request_ids.send_all()
        self._send(self._take_over_message())
        # docs/operations.md quotes this line.  The client connections migrate as they become idle.
        log.info(
            "node handed over to the successor: client_connections=%d",
            node.server.connection_count(),
        )
        self._report_load(None)
        node.server.hand_over_idle_connections()

    def _take_over_message(self) -> TakeOver:
        node = self._node
        saved_state = policy_state.save(node.balancer, node.clock.now())
        if not isinstance(node.source, DiscoverySource):
            return TakeOver(saved_state)
        update = self._lists.update()
        return TakeOver(saved_state, update.endpoint_list, update.list_age_us)

    def _migrate_connection(self, descriptor: int) -> bool:
        """Send an idle client connection to the successor; False if it has disconnected."""
        return self._send(ClientConnection(), [descriptor])

    def _report_load(self, last_report: RemainingLoad | None) -> None:
        """Report the remaining load to the successor now and, while draining, after each change.

        The node's limits apply to both processes together, so the successor needs the load.
        """
        if self._channel is None or self._machine.state is not PredecessorState.DRAINING:
            return
        node = self._node
        load = RemainingLoad(
            attempts=node.balancer.admission.in_flight,
            connections=node.server.connection_count() + node.pool.connection_count,
            memory_bytes=node.server.memory_monitor.used_bytes(),
        )
        if load != last_report:
            self._send(load)
        self._loop.call_later(LOAD_REPORT_INTERVAL_S, self._report_load, load)

    def _resume_serving(self) -> None:
        log.warning("successor disconnected: accepting connections again")
        self._node.balancer.slow_start.is_handed_over = False
        self._node.server.undo_hand_over()
        self._listen_again()
