"""Execute the control socket's commands on a node."""

from __future__ import annotations

import os
import time
from typing import Any, Protocol, assert_never

from oakbridge import __version__
from oakbridge.control.arguments import AcceptServerListArguments, StatusArguments
from oakbridge.control.discovery_status import encode_discovery_status
from oakbridge.control.errors import RequestRejectedError
from oakbridge.control.peers import PeerDirectory, handle_peer_request
from oakbridge.control.protocol import ControlCommand, JsonObject, Request
from oakbridge.control.sites import SiteController, handle_site_request
from oakbridge.control.status import NodeStatus, ResponseCounts, encode_status
from oakbridge.node.discovery import DiscoverySource
from oakbridge.node.node import Node
from oakbridge.policy.view import balancer_view
from oakbridge.sources.file_source import FileSource
from oakbridge.sources.inline_source import InlineSource


class SpreadReporter(Protocol):
    """Describes how the servers are divided among the replicas of a tier."""

    def describe(self) -> dict[str, Any]:
        """Return each server with its replicas and its load."""


class NodeControlHandler:
    """Handles the requests to one node."""

    def __init__(
        self,
        node: Node,
        config_digest: str = "",
        peers: PeerDirectory | None = None,
        sites: SiteController | None = None,
        spread: SpreadReporter | None = None,
    ) -> None:
        """``config_digest``: the digest of the configuration that the node was started with.

        ``peers``, ``sites``, ``spread``: None if the configuration has no table of that name.
        """
        self._node = node
        self._config_digest = config_digest
        self._peers = peers
        self._sites = sites
        self._spread = spread
        self._started_at_s = time.monotonic()

    def handle(self, request: Request) -> JsonObject:
        """Execute a request and return its result.

        Raises RequestRejectedError or ValueError with the reason.
        """
        match request.command:
            case ControlCommand.STATUS:
                arguments = StatusArguments.decode(request.arguments)
                return encode_status(self._status(arguments.max_rows))
            case ControlCommand.PEERS | ControlCommand.PEER_HISTORY:
                return handle_peer_request(self._peers, request)
            case (
                ControlCommand.SITES
                | ControlCommand.SITE_HISTORY
                | ControlCommand.DRAIN_OR_RETURN_SITE
            ):
                return handle_site_request(self._sites, request)
            case ControlCommand.SPREAD:
                return self._describe_spread()
            case ControlCommand.ACCEPT_SERVER_LIST:
                return self._accept_server_list(request)
            case ControlCommand.FETCH_SERVER_LIST:
                return self._fetch_server_list()
            case _:
                assert_never(request.command)

    def _status(self, max_rows: int) -> NodeStatus:
        node = self._node
        return NodeStatus(
            name=node.config.name,
            pid=os.getpid(),
            version=__version__,
            config_digest=self._config_digest,
            uptime_s=round(time.monotonic() - self._started_at_s, 1),
            listen_addresses=tuple(node.server.addresses),
            is_ready=node.has_usable_server() and not node.server.shutting_down,
            is_shutting_down=node.server.shutting_down,
            client_connections=node.server.connection_count(),
            server_connections=node.pool.connection_count,
            responses=ResponseCounts(node.served, node.rejected, node.failed),
            balancer=balancer_view(node.balancer, node.clock.now(), max_rows),
            server_source=self._describe_source(),
        )

    def _describe_source(self) -> JsonObject:
        source = self._node.source
        if isinstance(source, FileSource):
            return source.describe()
        if isinstance(source, DiscoverySource):
            return encode_discovery_status(source.status())
        return {"kind": "inline" if isinstance(source, InlineSource) else "discovery"}

    def _describe_spread(self) -> JsonObject:
        if self._spread is None:
            raise RequestRejectedError(
                "this node divides no servers: its configuration has no [spread]"
            )
        return self._spread.describe()

    def _accept_server_list(self, request: Request) -> JsonObject:
        source = self._file_source()
        source.accept(AcceptServerListArguments.decode(request.arguments).digest)
        return {"source": source.describe()}

    def _fetch_server_list(self) -> JsonObject:
        source = self._file_source()
        source.fetch()
        return {"source": source.describe()}

    def _file_source(self) -> FileSource:
        source = self._node.source
        if not isinstance(source, FileSource):
            raise RequestRejectedError("this node's servers do not come from files")
        return source
