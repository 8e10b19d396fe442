"""A client's blocking socket: what it does has happened before the node's loop runs."""

import asyncio
import socket

from peers import until, with_timeout

REQUEST = b"GET /api HTTP/1.1\r\nHost: a\r\nX-Request-ID: %b\r\nX-Priority-Class: look\r\n"


def raw_client(node) -> socket.socket:
    """Return a connected socket that is driven without the loop."""
    sock = socket.create_connection(("127.0.0.1", node.port))
    sock.settimeout(30)
    return sock


async def read_to_end(sock: socket.socket) -> bytes:
    """Return all that comes up to the end of the connection; a reset raises."""

    def read() -> bytes:
        found = []
        while data := sock.recv(65536):
            found.append(data)
        return b"".join(found)

    return await with_timeout(asyncio.to_thread(read))


async def serve_one_request(node, sock: socket.socket):
    """Have one request answered on it; return the node's end of that connection, which is idle."""
    sock.sendall(REQUEST % b"first" + b"\r\n")
    assert (await with_timeout(asyncio.to_thread(sock.recv, 65536))).startswith(b"HTTP/1.1 200 ")
    [found] = node.node.server.limits.connections
    await until(found.is_idle)
    return found
