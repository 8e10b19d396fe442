"""A complete node over loopback sockets: requests, responses, limits, hand-over and shutdown."""

import asyncio
import errno
import os

import pytest
from peers import RunningNode, ScriptedServer, endpoint, listing, reply, run, until, with_timeout

from oakbridge.node import run as run_module
from oakbridge.node.client_request import parse_timeout
from oakbridge.node.connection_pool import MIN_IDLE_US
from oakbridge.node.errors import ConfigError, ConfigUnreadableError


def test_request_and_response_are_forwarded_unchanged():
    body, response_body = bytes(range(256)) * 8, bytes(range(255, -1, -1)) * 256

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200, response_body, "Content-Type: x/y")) as server,
            RunningNode(server) as node,
        ):
            client = await node.client()
            client.send(
                "book",
                "POST",
                "/api/trip?a=1&b=%20",
                body,
                X_Request_ID="r-1",
                Idempotency_Key="k-1",
                X_Timeout="5000m",
            )
            status, headers, received = await client.read_response()
            assert (status, headers["content-type"], received) == (200, "x/y", response_body)
            request = server.requests.get_nowait()
            assert (request.method, request.url, request.body) == (
                "POST",
                "/api/trip?a=1&b=%20",
                body,
            )
            assert (request.headers["x-request-id"], request.headers["idempotency-key"]) == (
                "r-1",
                "k-1",
            )
            assert 0 < parse_timeout(request.headers["x-timeout"].encode()) <= 5_000_000

    run(scenario())


def test_connections_to_client_and_server_are_reused():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as server, RunningNode(server) as node:
            client = await node.client()
            for _ in range(3):
                client.send()
                assert (await client.read_response())[0] == 200
                await asyncio.sleep(2 * MIN_IDLE_US / 1e6)
            assert server.connections == 1

    run(scenario())


def test_pipelined_requests_get_their_responses_in_order():
    async def scenario():
        async with (
            ScriptedServer(lambda request: reply(200, request.url.encode())) as server,
            RunningNode(server) as node,
        ):
            client = await node.client()
            for i in range(40):
                client.send(url=f"/{i}", X_Request_ID=f"r-{i}")
            for i in range(40):
                assert (await client.read_response())[2] == b"/%d" % i

    run(scenario())


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"what is this\r\n\r\n", 400),
        (b"GET /api HTTP/1.1\r\nHost: a\r\n\r\n", 400),
        (b"GET /api HTTP/1.1\r\nX-Request-ID: 1\r\nX-Priority-Class: unheard\r\n\r\n", 400),
        (
            b"GET /api HTTP/1.1\r\nX-Request-ID: 1\r\nX-Priority-Class: look\r\nX-Timeout: soon\r\n\r\n",
            400,
        ),
        (b"GET /api HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (b"HEAD /api HTTP/1.1\r\nX-Request-ID: 1\r\nX-Priority-Class: look\r\n\r\n", 405),
        (b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", 405),
        (b"GET /api HTTP/1.1\r\nX-Long: " + b"x" * 200_000, 431),
        (b"POST /api HTTP/1.1\r\nContent-Length: 70000000\r\n\r\n" + b"x" * 70_000, 413),
    ],
)
def test_malformed_request_gets_an_error_status_and_a_closed_connection(raw, status):
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as server, RunningNode(server) as node:
            client = await node.client()
            client.writer.write(raw)
            assert (await client.read_until_close()).startswith(b"HTTP/1.1 %d " % status)
            client = await node.client()
            client.send()
            assert (await client.read_response())[0] == 200
            assert server.requests.qsize() == 1

    run(scenario())


def test_incomplete_request_is_dropped_when_its_client_closes():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as server, RunningNode(server) as node:
            incomplete = await node.client()
            incomplete.writer.write(
                b"POST /api HTTP/1.1\r\nX-Request-ID: 1\r\nContent-Length: 9\r\n\r\nabc"
            )
            incomplete.writer.write_eof()
            assert await incomplete.read_until_close() == b""
            client = await node.client()
            client.send()
            assert (await client.read_response())[0] == 200
            assert server.requests.qsize() == 1

    run(scenario())


def test_malformed_bytes_after_a_request_get_400_after_its_response():
    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200, b"car")) as server,
            RunningNode(server) as node,
        ):
            client = await node.client()
            client.send()
            client.writer.write(b"\0\0\0\r\n\r\n")
            assert (await client.read_response())[2] == b"car"
            assert (await client.read_until_close()).startswith(b"HTTP/1.1 400 ")

    run(scenario())


def test_attempt_is_cancelled_when_the_client_disconnects():
    async def scenario():
        async with ScriptedServer(lambda _: None) as server, RunningNode(server) as node:
            client = await node.client()
            client.send()
            await with_timeout(server.requests.get())
            client.close()
            assert await with_timeout(server.closed_connections.get()) == 1
            assert not node.node.forwarder.requests

    run(scenario())


@pytest.mark.parametrize("timeout_header", [{"X_Timeout": "300m"}, {"X_Timeout": "300000u"}, {}])
def test_request_to_a_silent_server_fails_in_time_and_the_late_response_is_dropped(timeout_header):
    """The late response must not be taken for the response to the client's next request."""

    async def scenario():
        async def late():
            await server.release.wait()
            return reply(200, b"late")

        async with ScriptedServer(lambda _: late()) as server, RunningNode(server) as node:
            client = await node.client()
            client.send("brief", "POST", **timeout_header)
            assert (await client.read_response())[0] == 502
            server.release.set()
            assert await with_timeout(server.closed_connections.get()) == 1  # attempt cancelled
            client.send("brief", "POST", X_Timeout="20000m")
            assert (await client.read_response())[2] == b"late"  # the response to this request
            assert [server.requests.get_nowait().connection for _ in range(2)] == [1, 2]

    run(scenario())


def test_unsafe_request_that_may_have_been_executed_is_neither_retried_nor_rejected():
    async def scenario():
        async with (
            ScriptedServer(lambda _: "close") as one,
            ScriptedServer(lambda _: "close") as two,
            RunningNode(one, two) as node,
        ):
            client = await node.client()
            client.send("book", "POST")
            assert (await client.read_response())[0] == 502
            assert one.requests.qsize() + two.requests.qsize() == 1

    run(scenario())


def test_request_that_a_server_rejected_unprocessed_is_retried():
    async def scenario():
        rejection = reply(503, b"", "X-Not-Processed: 1")
        responses = iter([rejection, reply(200), reply(200)])
        async with (
            ScriptedServer(lambda _: next(responses)) as one,
            ScriptedServer(lambda _: next(responses)) as two,
            RunningNode(one, two) as node,
        ):
            client = await node.client()
            client.send("book", "POST")
            assert (await client.read_response())[0] == 200
            assert one.requests.qsize() + two.requests.qsize() == 2

    run(scenario())


def test_node_is_ready_only_while_it_has_a_usable_server():
    async def scenario():
        async with RunningNode() as node:
            client = await node.client()
            client.writer.write(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            assert (await client.read_response())[0] == 503
            async with ScriptedServer(lambda _: reply(200)) as server:
                watch = await with_timeout(node.discovery.requests.get())
                assert watch.url.startswith("/api/targets?since=1&timeout_ms=")
                node.discovery.put(listing(2, endpoint("s-0", server.port)))
                # The next discovery request shows that the list has been applied.
                await with_timeout(node.discovery.requests.get())
                client.writer.write(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                assert (await client.read_response())[0] == 200

    run(scenario())


def test_client_connections_are_limited(monkeypatch):
    """At the limit the longest idle connection is evicted; if none is idle, a request gets 503."""
    monkeypatch.setattr("oakbridge.node.connection_limits.MIN_IDLE_US", 0)

    async def scenario():
        async with ScriptedServer(lambda request: None) as server, RunningNode(server) as node:
            node.node.server.limits.max_connections = 2
            idle, busy = await node.client(), await node.client()
            for client in (idle, busy):
                client.writer.write(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                assert (await client.read_response())[0] == 200
            busy.send()
            await with_timeout(server.requests.get())
            third = await node.client()
            assert await idle.read_until_close() == b""
            third.send()
            await with_timeout(server.requests.get())
            fourth = await node.client()
            fourth.send()
            assert (await fourth.read_response())[0] == 503
            assert await fourth.read_until_close() == b""
            assert server.requests.qsize() == 0

    run(scenario())


def test_request_with_an_expired_timeout_is_not_sent():
    """Guards against treating X-Timeout 0 like a missing header."""

    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as server, RunningNode(server) as node:
            client = await node.client()
            client.send(X_Timeout="0m")
            assert (await client.read_response())[0] in (502, 503)
            assert server.requests.empty()

    run(scenario())


def test_shutdown_fails_open_requests_and_closes_silent_connections(monkeypatch):
    """Guards against open requests at SIGKILL, and against waiting for silent clients."""
    monkeypatch.setattr("oakbridge.node.lifecycle.MAX_DEADLINE_US", 500_000)
    monkeypatch.setattr("oakbridge.node.lifecycle.DRAIN_NOTICE_US", 100_000)

    async def scenario():
        async with ScriptedServer(lambda _: None) as server, RunningNode(server) as node:
            client = await node.client()
            client.send()
            await with_timeout(server.requests.get())
            shutting_down = asyncio.ensure_future(node.node.shut_down())
            silent = await node.client()
            assert await silent.read_until_close() == b""
            assert (await client.read_response())[0] == 500
            await with_timeout(shutting_down)

    run(scenario())


def test_reload_is_retried_after_a_transient_read_error(monkeypatch):
    """A transient error must not lose the SIGHUP; an invalid file is not retried."""
    monkeypatch.setattr(run_module, "RELOAD_RETRY_S", 0.01)

    async def scenario():
        hangup, calls = asyncio.Event(), []

        def reload(node):
            calls.append(node)
            if len(calls) < 3:
                raise ConfigUnreadableError("NODE_CONFIG: Input/output error")
            raise ConfigError("NODE_CONFIG: not JSON")

        task = asyncio.create_task(run_module._reload_on_hangup("node", hangup, reload))
        hangup.set()
        await until(lambda: len(calls) == 3)
        await asyncio.sleep(0.05)
        assert len(calls) == 3
        task.cancel()

    run(scenario())


def test_connection_is_served_if_no_descriptor_is_free_for_its_hand_over(monkeypatch):
    """Guards against a connection that neither the predecessor nor the successor reads."""

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200, b"car")) as server,
            RunningNode(server) as node,
        ):
            client = await node.client()
            client.send()
            assert (await client.read_response())[0] == 200
            handed_over, dup = [], os.dup

            def failing_dup(_):
                raise OSError(errno.EMFILE, "Too many open files")

            monkeypatch.setattr(os, "dup", failing_dup)
            node.node.server.hand_over(lambda descriptor: handed_over.append(descriptor) or True)
            node.node.server.hand_over_idle_connections()
            client.send()
            assert (await client.read_response())[2] == b"car"
            monkeypatch.setattr(os, "dup", dup)
            await until(lambda: handed_over)
            os.close(handed_over[0])

    run(scenario())
