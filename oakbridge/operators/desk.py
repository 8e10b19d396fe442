"""The operators' calls, carried out on a node; with two processes of one node alive, on both."""

from __future__ import annotations

from collections.abc import Callable

from oakbridge.node.node import Node
from oakbridge.operators.calls import Refused


class NodeDesk:
    """Carries calls out on this process's node, and tells whoever shares it of what has changed."""

    def __init__(self, node: Node, started: bool = False) -> None:
        """``changed``: told the word and the id of each call that holds for the whole node."""
        self.node, self.started = node, started
        self.changed: Callable[[str, str], None] | None = None

    def _tell(self, word: str, server: str = "") -> None:
        if self.changed is not None:
            self.changed(word, server)

    def health(self) -> str:
        """Whether this process can serve; a lame duck can, and so can one whose servers are all held out."""
        node = self.node
        if not self.started:
            raise Refused("this process does not serve yet")
        if not node.serving() and not node.outages.out():
            raise Refused("no server is known yet")
        out = node.outages.out()
        held = f", {len(out)} held out" if out else ""
        return f"{node.server.lifecycle.phase.value}, {len(node.pool.endpoints)} servers in use{held}"

    def offline(self, server: str) -> str:
        """Take a server out, from now on and whatever lists say."""
        if self.node.outages.full() and not self.node.outages.holds(server):
            raise Refused("as many servers are held out as can be")
        taken = self.node.take_out(server)
        if taken is None:
            raise Refused(f"no server {server} is listed")
        self._tell("OFFLINE", server)
        return f"{server} is out" if taken else f"{server} was out already"

    def online(self, server: str) -> str:
        """Use a server again, however often it was taken out."""
        back = self.node.put_back(server)
        if back is None:
            raise Refused(f"no server {server} is listed or held out")
        self._tell("ONLINE", server)
        return f"{server} is back" if back else f"{server} was not out"

    def drain(self) -> str:
        """Empty the node."""
        changed = self.node.server.drain()
        self._tell("LEAVE")
        return "the node empties" if changed else "the node was emptied already"

    def join(self) -> str:
        """End the drain."""
        changed = self.node.server.undrain()
        self._tell("JOIN")
        return "the node takes callers again" if changed else "the node was not emptied"
