"""The node: creates, connects, starts and stops its parts."""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from oakbridge.node import reload
from oakbridge.node.clock import Clock
from oakbridge.node.config import Config
from oakbridge.node.connection_pool import ConnectionPool
from oakbridge.node.discovery import DiscoverySource
from oakbridge.node.dispatcher import Dispatcher, Front
from oakbridge.node.endpoint_list import EndpointList
from oakbridge.node.endpoint_list_json import parse_endpoint_list
from oakbridge.node.endpoint_source import EndpointSource
from oakbridge.node.endpoint_updates import EndpointUpdates
from oakbridge.node.errors import ConfigError, EndpointListError
from oakbridge.node.http_server import HttpServer
from oakbridge.node.memory_account import MemoryAccount, memory_limit
from oakbridge.node.observer import NodeObserver
from oakbridge.node.offline_servers import OfflineServers
from oakbridge.node.request_forwarder import RequestForwarder
from oakbridge.policy.balancer import Balancer
from oakbridge.policy.events import Event, SettingsChanged
from oakbridge.policy.settings import Settings

# Descriptors reserved for discovery, the event loop, files and clients beyond the connection limit.
RESERVED_DESCRIPTORS = 64
# Fraction of the other descriptors that connections to servers may take.
SERVER_CONNECTIONS_FRACTION = 0.4
# Idle timeout of connections to servers, if the settings have none.
DEFAULT_IDLE_TIMEOUT_US = 60_000_000
# Delay before the saved endpoint list is applied, unless discovery's list arrives earlier.  An agent
# that pushes lists responds within milliseconds.
SAVED_LIST_DELAY_S = 0.75


@dataclass(frozen=True, slots=True)
class ListenOptions:
    """How a node listens for clients."""

    enabled: bool = True  # False: another process accepts, and passes the connections on
    inherited: Sequence[socket.socket] = ()  # listening sockets of the predecessor
    reuse_port: bool = False  # other processes may listen at the same addresses


class Node:
    """The balancer, the connections to clients and servers, and the source of endpoint lists."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        source: Callable[[Clock], EndpointSource] | None = None,
        *,
        listening: ListenOptions | None = None,
        offline_servers: OfflineServers | None = None,
        clock_offset: int | None = None,
    ) -> None:
        """Open the listening sockets, and load the saved endpoint list.  Raise ConfigError, OSError.

        ``source``: creates the source of endpoint lists; None: discovery is the source.
        ``offline_servers``: servers that operators took offline in the predecessor.
        ``clock_offset``: the offset of the predecessor's clock in microseconds; None: a new clock.
        """
        self.config = config
        self.settings = config.settings
        self._loop = loop
        self.clock = Clock(loop, clock_offset)
        self.ids = itertools.count(1)  # the balancer's request numbers, shared by all fronts
        self.offline_servers = offline_servers or OfflineServers()
        self.balancer = Balancer(config.settings, config.seed)
        self.memory = MemoryAccount(memory_limit(config.memory_mb))
        self.pool = self._make_pool(loop)
        self.source = source(self.clock) if source is not None else self._make_discovery()
        self.dispatcher = Dispatcher(self.balancer, self.clock)
        self.endpoints = EndpointUpdates(
            loop, self.clock, self.dispatcher, self.pool, self.offline_servers
        )
        self.forwarder = RequestForwarder(
            config.settings,
            self.clock,
            self.pool,
            self.endpoints,
            self.dispatcher.post,
            self.ids,
            self.dispatcher,
        )
        self.dispatcher.attach(self.forwarder, self.source)
        self.server = self._make_server(loop, listening or ListenOptions())
        self.forwarder.invariants = self.server.invariants
        self.source.attach(self.endpoints)
        if source is None:
            self._apply_saved_list()

    def _make_pool(self, loop: asyncio.AbstractEventLoop) -> ConnectionPool:
        return ConnectionPool(
            loop,
            self.clock,
            self.settings.connect_timeout,
            _idle_timeout(self.settings),
            _max_server_connections(self.config.sockets),
            self.memory,
        )

    def _make_discovery(self) -> DiscoverySource:
        if self.config.discovery is None:
            raise ConfigError("discovery: missing, and there is no other source of servers")
        return DiscoverySource(
            self.config.discovery,
            pushed=not self.settings.poll_discovery,
            poll_interval_us=self.settings.poll_interval,
            seed=self.config.seed,
        )

    def _make_server(self, loop: asyncio.AbstractEventLoop, listening: ListenOptions) -> HttpServer:
        config = self.config
        return HttpServer(
            loop,
            self.clock,
            self.forwarder,
            (config.listen, *config.also_listen) if listening.enabled else (),
            config.sockets - RESERVED_DESCRIPTORS - self.pool.max_connections,
            self.memory,
            config.memory_mb,
            listening.inherited,
            reuse_port=listening.reuse_port,
        )

    def _apply_saved_list(self) -> None:
        """Load the saved endpoint list, which may be outdated; without one, use an empty list.

        If discovery pushes lists, a saved list with endpoints is applied after a delay only.
        """
        saved = EndpointList(0, True, [])
        try:
            if self.config.saved_list is not None:
                saved = parse_endpoint_list(self.config.saved_list)
                if isinstance(self.source, DiscoverySource):
                    self.source.use_saved_version(saved.version)
        except EndpointListError as error:
            self.server.close()
            raise ConfigError(f"known: {error}") from None
        if self.settings.poll_discovery or not saved.endpoints:
            self.endpoints.on_endpoint_list(saved, saved=True)
        else:
            self.endpoints.hold_back(saved)

    # ---- start, reload and shutdown

    def start(self) -> None:
        """Start the source of endpoint lists, and start accepting connections."""
        self.source.start()
        self.server.start()
        self._loop.call_later(SAVED_LIST_DELAY_S, self.endpoints.release)

    def reload(self, config: Config) -> None:
        """Apply a new configuration while serving; see :mod:`oakbridge.node.reload`."""
        reload.apply_config(self, config)

    def configure(self, settings: Settings) -> None:
        """Apply new settings to all parts of the node."""
        self.settings = settings
        self.forwarder.configure(settings)
        if isinstance(self.source, DiscoverySource):
            self.source.configure(settings.poll_interval)
        self.pool.configure(settings.connect_timeout, _idle_timeout(settings))
        self.dispatcher.post(SettingsChanged(settings))

    async def shut_down(self) -> None:
        """Shut down gracefully: respond to the accepted requests, then close."""
        await self.server.shut_down(
            max(request_class.deadline for request_class in self.settings.classes)
        )
        self.forwarder.abandon_all()
        await self.server.flush()
        self.close()
        self.forwarder.unserved.log_new()
        self.server.invariants.log_summary()

    def close(self) -> None:
        """Close all connections and the source of endpoint lists at once."""
        self.source.stop()
        self.server.close()
        self.pool.close()

    # ---- for operators' commands, the control socket and other fronts

    def has_usable_server(self) -> bool:
        """Return whether there is a server that requests may be sent to."""
        return self.endpoints.has_usable()

    @property
    def served(self) -> int:
        """Requests that a server has responded to, since the start."""
        return self.forwarder.served

    @property
    def rejected(self) -> int:
        """Requests that were rejected because no server was available in time, since the start."""
        return self.forwarder.rejected

    @property
    def failed(self) -> int:
        """Requests that failed, since the start."""
        return self.forwarder.failed

    def post(self, event: Event) -> None:
        """Pass an event to the balancer."""
        self.dispatcher.post(event)

    def add_front(self, front: Front) -> None:
        """Add the front of another protocol, which uses the same balancer."""
        self.endpoints.add_front(front)

    def observe(self, observer: NodeObserver) -> None:
        """Set the observer of all parts of the node."""
        self.dispatcher.observer = observer
        self.pool.observer = observer
        if isinstance(self.source, DiscoverySource):
            self.source.observer = observer

    def take_offline(self, server: str) -> bool | None:
        """Take a server offline for operators; False if it was offline, None if it is unknown."""
        return self.endpoints.take_offline(server)

    def bring_online(self, server: str) -> bool | None:
        """Bring a server back online; False if it was not offline, None if it is unknown."""
        return self.endpoints.bring_online(server, self.settings.slow_start_window)

    def share_limits(self, predecessor_descriptors: int, predecessor_memory: int | None) -> None:
        """Reduce the limits by the descriptors and the memory that the predecessor still holds.

        ``predecessor_memory``: bytes that it takes beyond an idle process; None: it has exited.
        """
        self.server.memory_monitor.reserve_for_predecessor(predecessor_memory)
        total = self.config.sockets - predecessor_descriptors
        self.pool.max_connections = _max_server_connections(total)
        max_clients = total - RESERVED_DESCRIPTORS - self.pool.max_connections
        self.server.limits.max_connections = max(1, max_clients)


def _max_server_connections(descriptors: int) -> int:
    return int((descriptors - RESERVED_DESCRIPTORS) * SERVER_CONNECTIONS_FRACTION)


def _idle_timeout(settings: Settings) -> int:
    return settings.connection_idle_timeout or DEFAULT_IDLE_TIMEOUT_US
