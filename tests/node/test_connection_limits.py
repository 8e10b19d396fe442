"""The limit on client connections, and the eviction of connections."""

import pytest
from peers import RunningNode, ScriptedServer, reply, run, until
from raw_client import REQUEST, raw_client, read_to_end, serve_one_request

from oakbridge.node import connection_limits


def test_client_is_served_although_silent_clients_fill_the_limit(monkeypatch):
    """Silent clients are evicted, oldest first, long before their deadline."""
    monkeypatch.setattr(connection_limits, "CLIENT_TIMEOUT_US", 60_000_000)
    monkeypatch.setattr(connection_limits, "MIN_IDLE_US", 60_000_000)

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200, b"car")) as server,
            RunningNode(server) as node,
        ):
            node.node.server.limits.max_connections = 8
            kept = await node.client()
            kept.send()
            assert (await kept.read_response())[0] == 200
            for _ in range(60):
                await node.client()
            late = await node.client()
            # The kept connection is still open, as it has not been idle for MIN_IDLE_US.
            for client in (late, kept):
                client.send()
                assert (await client.read_response())[0] == 200
            max_connections = 8 + connection_limits.MAX_EXCESS_CONNECTIONS
            assert len(node.node.server.limits.connections) <= max_connections

    run(scenario())


def test_clients_that_keep_a_connection_after_one_request_do_not_fill_the_limit():
    """Guards against a limit filled by idle connections that must not be closed before 2 s."""

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200, b"car")) as server,
            RunningNode(server) as node,
        ):
            node.node.server.limits.max_connections = 8
            for _ in range(60):
                client = await node.client()
                client.send()
                status, headers, body = await client.read_response()
                assert (status, body) == (200, b"car")
            assert headers["connection"] == "close"
            assert len(node.node.server.limits.connections) <= 8

    run(scenario())


@pytest.mark.parametrize("first", ["", "served"])
def test_client_with_an_unread_request_is_not_evicted(monkeypatch, first):
    """The client is new or was idle; a silent client is evicted although it connected later."""
    monkeypatch.setattr(connection_limits, "MIN_IDLE_US", 0)
    monkeypatch.setattr(connection_limits, "MIN_SILENCE_US", 0)

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200, b"car")) as server,
            RunningNode(server) as node,
        ):
            sock = raw_client(node)
            if first:
                await serve_one_request(node, sock)
            await until(lambda: len(node.node.server.limits.connections) == 1)
            silent = raw_client(node)
            await until(lambda: len(node.node.server.limits.connections) == 2)
            sock.sendall(REQUEST % b"second" + b"Connection: close\r\n\r\n")
            assert node.node.server.limits.evict()
            assert not node.node.server.limits.evict()
            assert (await read_to_end(sock)).endswith(b"car")
            assert await read_to_end(silent) == b""
            silent.close()
            sock.close()

    run(scenario())
