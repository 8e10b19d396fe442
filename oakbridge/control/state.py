"""What a node answers on its control socket."""

from __future__ import annotations

import dataclasses
import os
import time
from typing import Any

from oakbridge import __version__
from oakbridge.control import protocol
from oakbridge.node.node import Node
from oakbridge.policy.view import view
from oakbridge.sources.files import FileSource

ROWS = 200
MOST_ROWS = 100_000


class NodeControl:
    """Answers for one node."""

    def __init__(self, node: Node, config_digest: str = "") -> None:
        """``config_digest``: of the configuration that the node was started with."""
        self.node, self.started, self._digest = node, time.time(), config_digest

    def handle(self, request: protocol.Request) -> Any:
        """Answer one request.  Raises :class:`protocol.Refusal` or ValueError with the reason."""
        if request.do == "status":
            return self.status(request.arguments.get("rows", ROWS))
        source = self.node.source
        if not isinstance(source, FileSource):
            raise protocol.Refusal("this node's servers do not come from files")
        if request.do == "servers.accept":
            digest = request.arguments.get("digest", "")
            if not isinstance(digest, str):
                raise protocol.Refusal("digest: expected a text")
            source.accept(digest)
        else:
            source.fetch()
        return {"source": source.describe()}

    def status(self, rows: object) -> dict[str, Any]:
        """All that the node believes."""
        if isinstance(rows, bool) or not isinstance(rows, int) or not 0 <= rows <= MOST_ROWS:
            raise protocol.Refusal(f"rows: expected a whole number from 0 to {MOST_ROWS}, got {rows!r:.40}")
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
            "ready": node.serving() and not node.server.leaving,
            "leaving": node.server.leaving,
            "callers": node.server.callers(),
            "connections": node.pool.count,
            "answers": {"served": node.served, "refused": node.refused, "failed": node.failed},
            **believed,
            "source": source,
            "rows": servers,
        }
