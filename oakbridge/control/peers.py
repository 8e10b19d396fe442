"""Handle requests about a node's peers, the other members of its cluster."""

from __future__ import annotations

from typing import Any, Protocol

from oakbridge.control.arguments import PeerHistoryArguments
from oakbridge.control.errors import RequestRejectedError
from oakbridge.control.protocol import ControlCommand, JsonObject, Request


class PeerDirectory(Protocol):
    """The peers, as this node's membership has them."""

    def describe(self) -> dict[str, Any]:
        """Return all peers with their states."""

    def state_history(self, name: str) -> list[dict[str, Any]]:
        """Return the changes of a peer's state, oldest first.

        Raises KeyError for an unknown name.
        """


def handle_peer_request(peers: PeerDirectory | None, request: Request) -> JsonObject:
    """Return the result of one of PEER_COMMANDS.  Raises RequestRejectedError."""
    if peers is None:
        raise RequestRejectedError("this node knows no others: its configuration has no [peers]")
    if request.command is ControlCommand.PEERS:
        return peers.describe()
    name = PeerHistoryArguments.decode(request.arguments).name
    try:
        return {"name": name, "history": peers.state_history(name)}
    except KeyError:
        raise RequestRejectedError(f"no member of the name {name!r:.80} is known here") from None
