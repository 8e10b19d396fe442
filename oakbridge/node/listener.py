"""Listening sockets."""

from __future__ import annotations

import socket

from oakbridge.node.listing import Address

BACKLOG = 1024
ACCEPTED = 16  # connections taken in one turn of the loop


def listen_on(address: Address, shared: bool = False) -> socket.socket:
    """A door that is open; ``shared``: others may listen there too.  Raises OSError with the address in its text."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
    except OSError as e:
        sock.close()
        raise OSError(e.errno, f"{address[0]}:{address[1]}: {e.strerror}") from None
    return sock
