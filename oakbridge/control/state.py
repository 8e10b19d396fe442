"""What a node answers on its control socket."""

from __future__ import annotations

import dataclasses
import os
import time
from typing import Any, Protocol

from oakbridge import __version__
from oakbridge.control import protocol
from oakbridge.node.node import Node
from oakbridge.policy.view import view
from oakbridge.sources.files import FileSource

DEFAULT_ROWS = 200
MAX_ROWS = 100_000


class PeerDirectory(Protocol):
    """What is held of the other nodes."""

    def describe(self) -> dict[str, Any]:
        """All of it."""

    def why(self, name: str) -> list[dict[str, Any]]:
        """How one came to be held as it is.  Raises KeyError."""


def handle_peer_request(peers: PeerDirectory | None, request: protocol.Request) -> Any:
    """Answer a request about peers.  Raises :class:`protocol.RequestRejectedError`."""
    if peers is None:
        raise protocol.RequestRejectedError("this node knows no others: its configuration has no [peers]")
    if request.do == "peers":
        return peers.describe()
    name = request.arguments.get("name")
    if not isinstance(name, str):
        raise protocol.RequestRejectedError("name: expected a text")
    try:
        return {"name": name, "history": peers.why(name)}
    except KeyError:
        raise protocol.RequestRejectedError(f"no member of the name {name!r:.80} is known here") from None


class SiteController(Protocol):
    """What is held of the sites."""

    def describe(self) -> dict[str, Any]:
        """All of it."""

    def why(self, name: str) -> list[dict[str, Any]]:
        """How one came into its state.  Raises KeyError."""

    def operate(self, name: str, out: bool, by: str) -> dict[str, Any]:
        """Drain one, or return it.  Raises :class:`protocol.RequestRejectedError`."""


def handle_site_request(sites: SiteController | None, request: protocol.Request) -> Any:
    """Answer a request about sites.  Raises :class:`protocol.RequestRejectedError`."""
    if sites is None:
        raise protocol.RequestRejectedError(
            "this node has no plan for sites: its configuration has no [sites]"
        )
    if request.do == "sites":
        return sites.describe()
    name = request.arguments.get("site")
    if not isinstance(name, str):
        raise protocol.RequestRejectedError("site: expected a text")
    if request.do == "sites.why":
        try:
            return {"site": name, "history": sites.why(name)}
        except KeyError:
            raise protocol.RequestRejectedError(f"no site of the name {name!r:.80} is known here") from None
    out, by = request.arguments.get("out"), request.arguments.get("by", "")
    if not isinstance(out, bool) or not isinstance(by, str):
        raise protocol.RequestRejectedError("out: expected true or false; by: expected a text")
    return sites.operate(name, out, by)


class SpreadReporter(Protocol):
    """How servers are spread among the nodes of a tier."""

    def describe(self) -> dict[str, Any]:
        """All of it."""


class NodeControlHandler:
    """Answers for one node."""

    def __init__(
        self,
        node: Node,
        config_digest: str = "",
        peers: PeerDirectory | None = None,
        sites: SiteController | None = None,
        spread: SpreadReporter | None = None,
    ) -> None:
        """``config_digest``: of the configuration that the node was started with; ``members``: the others."""
        self._peers, self._sites, self._spread = peers, sites, spread
        self.node, self.started, self._digest = node, time.time(), config_digest

    def handle(self, request: protocol.Request) -> Any:
        """Answer one request.  Raises :class:`protocol.RequestRejectedError` or ValueError with the reason."""
        if request.do == "status":
            return self.status(request.arguments.get("rows", DEFAULT_ROWS))
        if request.do.startswith("peers"):
            return handle_peer_request(self._peers, request)
        if request.do.startswith("sites"):
            return handle_site_request(self._sites, request)
        if request.do == "spread":
            if self._spread is None:
                raise protocol.RequestRejectedError(
                    "this node divides no servers: its configuration has no [spread]"
                )
            return self._spread.describe()
        source = self.node.source
        if not isinstance(source, FileSource):
            raise protocol.RequestRejectedError("this node's servers do not come from files")
        if request.do == "servers.accept":
            digest = request.arguments.get("digest", "")
            if not isinstance(digest, str):
                raise protocol.RequestRejectedError("digest: expected a text")
            source.accept(digest)
        else:
            source.fetch()
        return {"source": source.describe()}

    def status(self, rows: object) -> dict[str, Any]:
        """All that the node believes."""
        if isinstance(rows, bool) or not isinstance(rows, int) or not 0 <= rows <= MAX_ROWS:
            raise protocol.RequestRejectedError(
                f"rows: expected a whole number from 0 to {MAX_ROWS}, got {rows!r:.40}"
            )
        node = self.node
        believed = dataclasses.asdict(view(node.balancer, node.clock.now(), rows))
        servers = believed.pop("rows")
        source = (
            node.source.describe()
            if isinstance(node.source, FileSource)
            else {"kind": type(node.source).__name__.removesuffix("Source").lower()}
        )
        return {
            "name": node.config.name,
            "pid": os.getpid(),
            "version": __version__,
            "config_digest": self._digest,
            "uptime_s": round(time.time() - self.started, 1),
            "listen": ["{}:{}".format(*address) for address in node.server.addresses],
            "ready": node.serving() and not node.server.shutting_down,
            "leaving": node.server.shutting_down,
            "callers": node.server.connection_count(),
            "connections": node.pool.connection_count,
            "answers": {"served": node.served, "refused": node.refused, "failed": node.failed},
            **believed,
            "source": source,
            "rows": servers,
        }
