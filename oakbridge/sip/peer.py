"""Transport addresses, and the destination of responses.  No I/O."""

from __future__ import annotations

from typing import NamedTuple

from oakbridge.sip.uri import DEFAULT_PORT
from oakbridge.sip.via import Via


class Peer(NamedTuple):
    """The source or destination of a message."""

    transport: str  # UDP or TCP
    host: str
    port: int
    connection: int = 0  # the front's number of a TCP connection; 0 for UDP

    @property
    def reliable(self) -> bool:
        """Whether the transport is reliable, so that only a closed connection loses messages."""
        return self.transport != "UDP"


def via_with_source(via: Via, source: Peer) -> Via:
    """Add a request's source address to its topmost Via (section 18.2.1; RFC 3581)."""
    has_rport = via.param("rport") is not None
    params: dict[str, str] = {}
    if via.host != source.host or has_rport:
        params["received"] = source.host
    if has_rport:
        params["rport"] = str(source.port)
    return via.with_params(**params) if params else via


def response_destination(via: Via, source: Peer) -> Peer:
    """Return the destination of responses to a request (section 18.2.2; RFC 3581, section 4).

    ``via`` is the topmost Via as :func:`via_with_source` returns it.
    """
    if source.reliable:
        return source
    if via.param("rport"):
        return Peer("UDP", source.host, source.port)
    return Peer("UDP", source.host, via.port or DEFAULT_PORT)
