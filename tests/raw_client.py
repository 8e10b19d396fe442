"""A client with a blocking socket: its calls take effect before the node's event loop runs again."""

import asyncio
import socket

from peers import until, with_timeout

REQUEST = b"GET /api HTTP/1.1\r\nHost: a\r\nX-Request-ID: %b\r\nX-Priority-Class: look\r\n"


def raw_client(node) -> socket.socket:
    """Return a socket that is connected to the node and used without the event loop."""
    sock = socket.create_connection(("127.0.0.1", node.port))
    sock.settimeout(30)
    return sock


async def read_to_end(sock: socket.socket) -> bytes:
    """Return all bytes until the connection closes.  Raises ConnectionResetError at a reset."""

    def read() -> bytes:
        parts = []
        while data := sock.recv(65536):
            parts.append(data)
        return b"".join(parts)

    return await with_timeout(asyncio.to_thread(read))


async def serve_one_request(node, sock: socket.socket):
    """Send one request and read its response; return the node's connection, which is then idle."""
    sock.sendall(REQUEST % b"first" + b"\r\n")
    assert (await with_timeout(asyncio.to_thread(sock.recv, 65536))).startswith(b"HTTP/1.1 200 ")
    [connection] = node.node.server.limits.connections
    await until(connection.is_idle)
    return connection
