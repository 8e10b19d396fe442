"""The process that runs: hand the node over to the one that is started beside it."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
from collections.abc import Callable
from pathlib import Path

from oakbridge.handover import state_machine
from oakbridge.handover.channel import Channel
from oakbridge.handover.messages import CALL, CALLER, OVER, STILL, WELCOME, Message
from oakbridge.handover.unix_socket import listen
from oakbridge.node.discovery import Discovery
from oakbridge.node.listing import as_raw
from oakbridge.node.node import Node
from oakbridge.policy import state

log = logging.getLogger(__name__)

LOAD_REPORT_INTERVAL_S = 0.02  # between two words of what the old process still has

CommandHandler = Callable[[str, str], None]  # an operator's word and the id it names


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
        if self.node.server.shutting_down:
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
            "draining": node.server.lifecycle.draining,
        }
        self._send(Message(WELCOME, says), tuple(node.server.listener.duplicate_descriptors()))
        log.info("a process that takes over was told all")

    def _drain_to_successor(self) -> None:
        node = self.node
        node.server.hand_over(self._migrate_connection)
        node.pool.close_idle()
        learned = state.save(node.balancer, node.clock.now())
        self._send(Message(OVER, {"learned": learned}))
        log.info("handed over; %d callers move on as they rest", node.server.connection_count())
        self._report_load(())
        node.server.hand_over_idle_connections()

    def _report_load(self, before: tuple[int, ...]) -> None:
        """Now and then say what this process still has: until it ends, the limits are for both together."""
        if self.channel is None or self.machine.state != state_machine.PredecessorState.DRAINING:
            return
        still = (
            self.node.balancer.admission.out,
            self.node.server.connection_count() + self.node.pool.connection_count,
        )
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
