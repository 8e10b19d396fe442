"""A node that operators call and replace: its control address, and handing over from one process to the next."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import replace

from oakbridge.handover.predecessor import Predecessor
from oakbridge.handover.successor import Successor
from oakbridge.handover.unix_socket import socket_path
from oakbridge.node.config import Config, load, made
from oakbridge.node.listing import ConfigError
from oakbridge.node.node import Node
from oakbridge.node.outages import Outages
from oakbridge.node.settings import missing_key
from oakbridge.operators.calls import Refused, answer, carry_out
from oakbridge.operators.desk import NodeDesk
from oakbridge.operators.listener import Listener

log = logging.getLogger(__name__)


class Service:
    """One process's part in such a node."""

    def __init__(self, environment: Mapping[str, str]) -> None:
        self.environment = environment
        self.successor: Successor | None = None

    async def build(self, loop: asyncio.AbstractEventLoop) -> Node:
        """The node, as it was in the process that runs, if there is one.  Raises ConfigError, OSError."""
        config, fault = None, None
        try:
            config = load(self.environment)
        except ConfigError as e:
            fault = e
        name = config.name if config is not None else self.environment.get("NODE_NAME")
        if not name:
            raise fault or ConfigError("NODE_NAME: missing")
        self.successor = Successor(name, socket_path(name, self.environment.get("TMPDIR")))
        await self.successor.connect()
        config = self._configured(config, fault)
        welcome = self.successor.welcome or {}
        outages = Outages()
        outages.restore(welcome.get("outages", {}))
        return Node(config, loop, doors=self._doors(config), shared=True, outages=outages)

    def _configured(self, config: Config | None, fault: ConfigError | None) -> Config:
        """The file's configuration, or that of the process that runs where the file is broken now."""
        assert self.successor is not None
        welcome = self.successor.welcome
        if welcome is None:
            if config is None:
                raise fault or ConfigError("NODE_CONFIG: missing")
            return config
        if config is None or missing_key(welcome["file"], config.raw):
            log.error(
                "the configuration can't be used, the running process's is: %s", fault or "it lacks a key"
            )
            config = made(self.environment, welcome["file"])
        return replace(config, known=welcome["known"])

    def _doors(self, config: Config) -> list[socket.socket]:
        """The running process's listening sockets, if they are where this node listens."""
        assert self.successor is not None
        doors, self.successor.listeners = self.successor.listeners, []
        if doors and doors[0].getsockname() == config.listen:
            for door in doors:
                door.setblocking(False)
            return doors
        for door in doors:
            door.close()
        return []

    @asynccontextmanager
    async def beside(self, node: Node) -> AsyncIterator[None]:
        """The operators' address, and both sides of a hand-over, for as long as the node lives."""
        assert node.config.control is not None and self.successor is not None
        successor = self.successor
        desk = NodeDesk(node)

        def apply(word: str, server: str) -> None:
            """Carry out a call that came in at the other process; it was answered there."""
            try:
                carry_out(NodeDesk(node, started=True), word, server)
            except Refused as e:
                log.warning("a call at the node's other process: %s %s: %s", word, server, e)

        predecessor = Predecessor(node, apply, successor.path)

        def tell(word: str, server: str) -> None:
            successor.relay_command(word, server)
            predecessor.relay_command(word, server)

        desk.changed = tell
        if successor.welcome is not None and successor.welcome["draining"]:
            node.server.drain()
        listener = Listener(asyncio.get_running_loop(), node.config.control, lambda line: answer(desk, line))
        listener.start()
        try:
            successor.attach(node, apply)
            await successor.take_over()
            predecessor.listen()
            desk.started = True
            yield
        finally:
            listener.close()
            predecessor.close()
            successor.close()
