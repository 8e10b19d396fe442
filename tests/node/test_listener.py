"""Closing the listener: no connection in the kernel's accept queue is lost."""

import asyncio

from peers import RunningNode, ScriptedServer, reply, run, with_timeout
from raw_client import REQUEST, raw_client, read_to_end

from oakbridge.node import lifecycle, listener


def test_connections_in_the_accept_queue_are_served_when_the_listener_closes(monkeypatch):
    """Connections left in the kernel's accept queue when a listener closes would be reset."""
    monkeypatch.setattr(lifecycle, "DRAIN_NOTICE_US", 0)

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200, b"car")) as server,
            RunningNode(server) as node,
        ):
            node.node.server.listener.stop()
            socks = [raw_client(node) for _ in range(3 * listener.ACCEPT_BATCH)]
            for i, sock in enumerate(socks):
                sock.sendall(REQUEST % b"r-%d" % i + b"Connection: close\r\n\r\n")
            shutting_down = asyncio.create_task(node.node.shut_down())
            # A new balancer admits only a few requests; the others are rejected.
            for sock in socks:
                assert (await read_to_end(sock)).startswith((b"HTTP/1.1 200 ", b"HTTP/1.1 503 "))
                sock.close()
            await with_timeout(shutting_down)

    run(scenario())
