"""A node with operators' commands and hot restart.

A new process gets the node's state and listening sockets from the running process, its predecessor,
and takes over from it; later it hands over to its own successor.  While both processes run, each
carries out the commands that the other one receives.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import AsyncIterator, Mapping
from contextlib import ExitStack, asynccontextmanager
from dataclasses import replace
from typing import Any

from oakbridge.handover.messages import Welcome
from oakbridge.handover.predecessor import Predecessor
from oakbridge.handover.successor import Successor
from oakbridge.handover.unix_socket import socket_path
from oakbridge.node.address import Address
from oakbridge.node.config import Config, load_config, parse_config
from oakbridge.node.discovery_client import BEFORE_ALL_VERSIONS
from oakbridge.node.errors import ConfigError
from oakbridge.node.node import ListenOptions, Node
from oakbridge.node.offline_servers import OfflineServers
from oakbridge.node.settings import missing_key
from oakbridge.operators.executor import NodeCommandExecutor
from oakbridge.operators.listener import OperatorListener
from oakbridge.operators.protocol import CommandRejectedError, OperatorCommand, Verb, respond

log = logging.getLogger(__name__)


class OperatedNodeService:
    """One process of a node with operators' commands and hot restart."""

    def __init__(self, environment: Mapping[str, str]) -> None:
        self._environment = environment
        self._successor: Successor | None = None

    async def build(self, loop: asyncio.AbstractEventLoop) -> Node:
        """Return the node, with the state of its predecessor if there is one.

        Raises ConfigError or OSError.
        """
        config, config_error = None, None
        try:
            config = load_config(self._environment)
        except ConfigError as error:
            config_error = error
        name = config.name if config is not None else self._environment.get("NODE_NAME")
        if not name:
            raise config_error or ConfigError("NODE_NAME: missing")
        successor = Successor(name, socket_path(name, self._environment.get("TMPDIR")))
        self._successor = successor
        await successor.connect()
        inherited = successor.welcome
        if inherited is not None:
            config = self._inherit_config(config, config_error, inherited)
        elif config is None:
            raise config_error or ConfigError("NODE_CONFIG: missing")
        offline_servers = OfflineServers()
        if inherited is not None:
            offline_servers.restore(inherited.offline_servers)
        listeners, successor.listeners = successor.listeners, []
        inherited_sockets = _inherit_listeners(listeners, config.listen)
        listening = ListenOptions(inherited=inherited_sockets, reuse_port=True)
        clock_offset = None if inherited is None else inherited.clock_offset_us
        node = Node(
            config,
            loop,
            listening=listening,
            offline_servers=offline_servers,
            clock_offset=clock_offset,
        )
        if inherited is not None and _lacks_version(inherited.endpoint_list):
            node.source.fetch()
        return node

    def _inherit_config(
        self, config: Config | None, config_error: ConfigError | None, inherited: Welcome
    ) -> Config:
        """Return the configuration with the endpoint list of the predecessor.

        If the configuration file is invalid, or lacks a key that the predecessor's configuration
        has, the predecessor's configuration is used.
        """
        if config is None or missing_key(inherited.configuration, config.raw):
            reason = config_error or "a key of the predecessor's configuration is missing"
            log.error("configuration is invalid, using the predecessor's: error=%s", reason)
            config = parse_config(self._environment, inherited.configuration)
        saved_list = inherited.endpoint_list
        if _lacks_version(saved_list):
            saved_list = saved_list | {"index": 0}
        return replace(config, saved_list=saved_list)

    @asynccontextmanager
    async def lifespan(self, node: Node) -> AsyncIterator[None]:
        """Accept commands, take over from a predecessor, and listen for a successor until exit."""
        address, successor = node.config.control, self._successor
        assert address is not None
        assert successor is not None

        def apply(verb: str, server_id: str) -> None:
            _apply_relayed_command(node, verb, server_id)

        def relay(command: OperatorCommand) -> None:
            successor.relay_command(command.verb.value, command.server_id)
            predecessor.relay_command(command.verb.value, command.server_id)

        predecessor = Predecessor(node, apply, successor.path)
        executor = NodeCommandExecutor(node, on_executed=relay)
        if successor.welcome is not None and successor.welcome.is_draining:
            node.server.drain()
        with ExitStack() as stack:
            stack.callback(successor.close)
            stack.callback(predecessor.close)
            listener = OperatorListener(
                asyncio.get_running_loop(), address, lambda line: respond(line, executor.execute)
            )
            stack.callback(listener.close)
            listener.start()
            successor.attach(node, apply)
            await successor.take_over()
            predecessor.listen()
            executor.is_started = True
            yield


def _inherit_listeners(listeners: list[socket.socket], address: Address) -> list[socket.socket]:
    """Return the predecessor's listening sockets if bound to ``address``; else close them."""
    if listeners and listeners[0].getsockname() == address:
        for listener in listeners:
            listener.setblocking(False)
        return listeners
    for listener in listeners:
        listener.close()
    return []


def _apply_relayed_command(node: Node, verb: str, server_id: str) -> None:
    """Carry out a command that the node's other process received and responded to."""
    try:
        command = OperatorCommand(Verb(verb), server_id)
    except ValueError:
        log.warning(
            "unknown command from the node's other process: verb=%s server=%s", verb, server_id
        )
        return
    try:
        NodeCommandExecutor(node, is_started=True).execute(command)
    except CommandRejectedError as error:
        log.warning("relayed command rejected: verb=%s server=%s error=%s", verb, server_id, error)


def _lacks_version(endpoint_list: dict[str, Any]) -> bool:
    """Return whether a predecessor's list has no version that discovery knows.

    It is so while the predecessor waits for a complete list, for example after a move of discovery.
    """
    return endpoint_list.get("index") == BEFORE_ALL_VERSIONS
