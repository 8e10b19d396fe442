"""Carry out operators' commands on a node."""

from __future__ import annotations

from collections.abc import Callable
from typing import assert_never

from oakbridge.node.node import Node
from oakbridge.operators.protocol import CommandRejectedError, OperatorCommand, Verb


class NodeCommandExecutor:
    """Carry out commands on this process's node.

    The response texts are part of the operators' protocol and must not change.
    """

    def __init__(
        self,
        node: Node,
        *,
        is_started: bool = False,
        on_executed: Callable[[OperatorCommand], None] | None = None,
    ) -> None:
        """``is_started``: whether the node serves; HEALTH is rejected until then.

        ``on_executed``: called with each command that was carried out, except HEALTH.  During a
        hand-over it relays the command to the node's other process.
        """
        self.is_started = is_started
        self._node = node
        self._on_executed = on_executed

    def execute(self, command: OperatorCommand) -> str:
        """Carry out a command and return the text of its response.  Raises CommandRejectedError."""
        match command.verb:
            case Verb.HEALTH:
                return self._health()
            case Verb.OFFLINE:
                result = self._take_offline(command.server_id)
            case Verb.ONLINE:
                result = self._bring_online(command.server_id)
            case Verb.LEAVE:
                result = self._drain()
            case Verb.JOIN:
                result = self._undrain()
            case _:
                assert_never(command.verb)
        if self._on_executed is not None:
            self._on_executed(command)
        return result

    def _health(self) -> str:
        """Return the node's state.  Raises CommandRejectedError if it can't serve requests.

        A draining node counts as able to, and so does one whose servers are all offline.
        """
        node = self._node
        if not self.is_started:
            raise CommandRejectedError("this process does not serve yet")
        offline_ids = node.offline_servers.names()
        if not node.has_usable_server() and not offline_ids:
            raise CommandRejectedError("no server is known yet")
        suffix = f", {len(offline_ids)} held out" if offline_ids else ""
        return f"{node.server.lifecycle.phase.value}, {len(node.pool.endpoints)} servers in use{suffix}"

    def _take_offline(self, server_id: str) -> str:
        """Take a server offline until it is brought online, whatever endpoint lists contain."""
        offline_servers = self._node.offline_servers
        if offline_servers.is_full() and not offline_servers.is_offline(server_id):
            raise CommandRejectedError("as many servers are held out as can be")
        has_changed = self._node.take_offline(server_id)
        if has_changed is None:
            raise CommandRejectedError(f"no server {server_id} is listed")
        return f"{server_id} is out" if has_changed else f"{server_id} was out already"

    def _bring_online(self, server_id: str) -> str:
        """Bring a server back online, even if it was taken offline several times."""
        has_changed = self._node.bring_online(server_id)
        if has_changed is None:
            raise CommandRejectedError(f"no server {server_id} is listed or held out")
        return f"{server_id} is back" if has_changed else f"{server_id} was not out"

    def _drain(self) -> str:
        has_changed = self._node.server.drain()
        return "the node empties" if has_changed else "the node was emptied already"

    def _undrain(self) -> str:
        has_changed = self._node.server.undrain()
        return "the node takes callers again" if has_changed else "the node was not emptied"
