"""Places for clients: who gets in where they run short, and who is evicted."""

import pytest
from peers import RunningNode, ScriptedServer, reply, run, until
from raw_client import REQUEST, raw_client, read_to_end, serve_one_request

from oakbridge.node import connection_limits


def test_usual_client_gets_in_past_many_silent_ones(monkeypatch):
    """Silent clients are evicted, the oldest first, long before their deadline."""
    monkeypatch.setattr(connection_limits, "CLIENT_TIMEOUT_US", 60_000_000)
    monkeypatch.setattr(connection_limits, "MIN_IDLE_US", 60_000_000)

    async def scenario():
        async with ScriptedServer(lambda _: reply(200, b"car")) as peer, RunningNode(peer) as node:
            node.node.server.limits.max_connections = 8
            usual = await node.client()
            usual.send()
            assert (await usual.read_response())[0] == 200
            for _ in range(60):
                await node.client()
            late = await node.client()
            for caller in (
                late,
                usual,
            ):  # the kept one is there still: it has not been idle for 2 s
                caller.send()
                assert (await caller.read_response())[0] == 200
            most = 8 + connection_limits.MAX_EXCESS_CONNECTIONS
            assert len(node.node.server.limits.connections) <= most

    run(scenario())


def test_many_that_ask_once_and_stay_leave_places_for_others():
    """Guards against places all taken by idle connections that may not be closed for 2 s yet."""

    async def scenario():
        async with ScriptedServer(lambda _: reply(200, b"car")) as peer, RunningNode(peer) as node:
            node.node.server.limits.max_connections = 8
            for _ in range(60):
                caller = await node.client()
                caller.send()
                status, headers, body = await caller.read_response()
                assert (status, body) == (200, b"car")
            assert headers["connection"] == "close"
            assert len(node.node.server.limits.connections) <= 8

    run(scenario())


@pytest.mark.parametrize("first", ["", "served"])
def test_client_whose_request_is_not_read_yet_is_not_evicted(monkeypatch, first):
    """It is new, or was idle until now; the silent one goes, though it came later."""
    monkeypatch.setattr(connection_limits, "MIN_IDLE_US", 0)
    monkeypatch.setattr(connection_limits, "MIN_SILENCE_US", 0)

    async def scenario():
        async with ScriptedServer(lambda _: reply(200, b"car")) as peer, RunningNode(peer) as node:
            sock = raw_client(node)
            if first:
                await serve_one_request(node, sock)
            await until(lambda: len(node.node.server.limits.connections) == 1)
            quiet = raw_client(node)
            await until(lambda: len(node.node.server.limits.connections) == 2)
            sock.sendall(REQUEST % b"second" + b"Connection: close\r\n\r\n")
            assert node.node.server.limits.evict()
            assert not node.node.server.limits.evict()
            assert (await read_to_end(sock)).endswith(b"car")
            assert await read_to_end(quiet) == b""
            quiet.close()
            sock.close()

    run(scenario())
