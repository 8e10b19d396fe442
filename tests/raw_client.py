"""A client's socket that is driven without the loop, so that what it does is there before the node looks."""

import asyncio
import socket

from peers import soon, until

REQUEST = b"GET /api HTTP/1.1\r\nHost: a\r\nX-Request-ID: %b\r\nX-Priority-Class: look\r\n"


def raw_client(node) -> socket.socket:
    """A client's socket that is driven without the loop, so that what it does is there before the node looks."""
    sock = socket.create_connection(("127.0.0.1", node.port))
    sock.settimeout(30)
    return sock


async def received(sock: socket.socket) -> bytes:
    """All that comes up to the end of the connection; a reset raises."""

    def read() -> bytes:
        found = []
        while data := sock.recv(65536):
            found.append(data)
        return b"".join(found)

    return await soon(asyncio.to_thread(read))


async def served_once(node, sock: socket.socket):
    """Have one request answered on it; returns the node's end of that connection, which rests."""
    sock.sendall(REQUEST % b"first" + b"\r\n")
    assert (await soon(asyncio.to_thread(sock.recv, 65536))).startswith(b"HTTP/1.1 200 ")
    [found] = node.node.server.limits.connections
    await until(found.is_idle)
    return found
