"""Transport addresses, and where responses are sent to. Pure."""

from __future__ import annotations

from typing import NamedTuple

from oakbridge.sip.uri import DEFAULT_PORT
from oakbridge.sip.via import Via


class Peer(NamedTuple):
    """The source or destination of a message."""

    transport: str  # UDP or TCP
    host: str
    port: int
    connection: int = 0  # number of a TCP connection, as the front counts them

    @property
    def reliable(self) -> bool:
        """Whether messages are lost only together with the connection."""
        return self.transport != "UDP"


def via_with_source(via: Via, source: Peer) -> Via:
    """Complete the topmost Via of a request by the packet's source (18.2.1, RFC 3581)."""
    asks_for_port = via.param("rport") is not None
    params: dict[str, str] = {}
    if via.host != source.host or asks_for_port:
        params["received"] = source.host
    if asks_for_port:
        params["rport"] = str(source.port)
    return via.with_params(**params) if params else via


def response_destination(via: Via, source: Peer) -> Peer:
    """Return where responses to a request are sent (18.2.2; RFC 3581, section 4).

    ``via`` is the topmost Via as :func:`via_with_source` completed it.
    """
    if source.reliable:
        return source
    if via.param("rport"):
        return Peer("UDP", source.host, source.port)
    return Peer("UDP", source.host, via.port or DEFAULT_PORT)
