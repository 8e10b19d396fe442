"""Clients that send malformed, incomplete or no requests, that don't read, or that disconnect."""

import asyncio
import socket

import pytest
from peers import RunningNode, ScriptedServer, reply, run, until, with_timeout
from raw_client import REQUEST, raw_client, read_to_end, serve_one_request

from oakbridge.node import connection_limits

HEAD = b"POST /api HTTP/1.1\r\nHost: a\r\nX-Request-ID: rude\r\nX-Priority-Class: look\r\n"


@pytest.fixture
def short_client_timeout(monkeypatch):
    """Shorten the timeout of clients, so that tests take less time."""
    monkeypatch.setattr(connection_limits, "CLIENT_TIMEOUT_US", 400_000)


@pytest.mark.usefixtures("short_client_timeout")
@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"", None),
        (b"\r\n", b"408"),
        (b"GET /api HT", b"408"),
        (b"\r\n" * 10_000, b"431"),
        (HEAD, b"408"),
        (HEAD + b"Content-Length: 9\r\n\r\nabc", b"408"),
    ],
)
def test_client_without_a_complete_request_gets_408_or_is_closed(raw, status):
    """Guards against incomplete requests and silent connections that stay open forever."""

    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as server, RunningNode(server) as node:
            client = await node.client()
            client.writer.write(raw)
            received = await client.read_until_close()
            assert received == b"" if status is None else received.startswith(b"HTTP/1.1 " + status)
            assert server.requests.empty()

    run(scenario())


@pytest.mark.usefixtures("short_client_timeout")
def test_partial_request_after_a_complete_one_gets_408_after_the_first_response():
    async def scenario():
        async def held():
            await server.release.wait()
            return reply(200, b"car")

        async with ScriptedServer(lambda _: held()) as server, RunningNode(server) as node:
            client = await node.client()
            client.send()
            client.writer.write(b"GET /half")
            await with_timeout(server.requests.get())
            [connection] = node.node.server.limits.connections
            await until(lambda: connection.parser.error_status)
            server.release.set()
            assert (await client.read_response())[2] == b"car"
            assert (await client.read_until_close()).startswith(b"HTTP/1.1 408 ")

    run(scenario())


@pytest.mark.usefixtures("short_client_timeout")
@pytest.mark.parametrize("body_bytes", [100, 5_000, 60_000])
def test_pipelined_requests_behind_a_pause_in_reading_are_all_served(body_bytes):
    """Guards against a pause of the node that counts as the client's: 408, and requests lost."""

    async def respond_slowly():
        await asyncio.sleep(0.04)  # the first 16 together take longer than the client's timeout
        return reply(200)

    async def scenario():
        async with (
            ScriptedServer(lambda _: respond_slowly()) as server,
            RunningNode(server) as node,
        ):
            client = await node.client()
            for _ in range(40):
                client.send(method="POST", body=bytes(body_bytes))
            for _ in range(40):
                assert (await client.read_response())[0] == 200
            assert server.requests.qsize() == 40

    run(scenario())


# Guards against long requests that are taken for many, by the size of short ones before them.
def test_long_pipelined_requests_are_served_behind_many_short_ones():
    async def respond_slowly(request):
        await asyncio.sleep(0.02 if request.method == "POST" else 0)
        return reply(200)

    async def scenario():
        async with ScriptedServer(respond_slowly) as server, RunningNode(server) as node:
            client = await node.client()
            for _ in range(250):
                for _ in range(10):
                    client.send()
                for _ in range(10):
                    assert (await client.read_response())[0] == 200
            for _ in range(30):
                client.send(method="POST", body=bytes(60_000))
            for _ in range(30):
                assert (await client.read_response())[0] == 200

    run(scenario())


@pytest.mark.usefixtures("short_client_timeout")
def test_client_that_stops_within_a_request_behind_a_pause_in_reading_gets_408():
    async def respond_slowly():
        await asyncio.sleep(0.04)
        return reply(200)

    async def scenario():
        async with (
            ScriptedServer(lambda _: respond_slowly()) as server,
            RunningNode(server) as node,
        ):
            client = await node.client()
            for _ in range(16):
                client.send(method="POST", body=bytes(5_000))
            client.writer.write(HEAD + b"Content-Length: 9000\r\n\r\nabc")
            for _ in range(16):
                assert (await client.read_response())[0] == 200
            assert (await client.read_until_close()).startswith(b"HTTP/1.1 408 ")

    run(scenario())


@pytest.mark.usefixtures("short_client_timeout")
def test_client_that_never_reads_its_responses_is_aborted(monkeypatch):
    """Guards against buffered responses without a limit, and a connection that never closes."""
    # The client's timeout, and not the idle timeout, must close the connection.
    monkeypatch.setattr(connection_limits, "IDLE_TIMEOUT_US", 3600_000_000)

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200, b"x" * 60_000)) as server,
            RunningNode(server) as node,
        ):
            client = await node.client()
            client.writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, 4096
            )
            client.writer.transport.pause_reading()
            while node.node.server.limits.connections or not server.requests.qsize():
                if not client.writer.transport.is_closing() and server.requests.qsize() < 300:
                    client.send()
                await asyncio.sleep(0.005)

    run(scenario())


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (HEAD + b"Content-Length: 60000000\r\n\r\n", b"413"),
        (HEAD + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", b"400"),
        (HEAD + b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", b"400"),
        (HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", b"400"),
        (HEAD + b"Transfer-Encoding: identity\r\n\r\n", b"400"),
        (HEAD + b"Content-Length: 0\r\nContent-Length: 0\r\n\r\n", b"400"),
        (HEAD + b"Content-Length: +1\r\n\r\na", b"400"),
        (HEAD + b"Content-Length: 99999999999999999999\r\n\r\n", b"400"),
        (HEAD + b"X-A: a\r\n b\r\n\r\n", b"400"),
        (HEAD + b"X-A: a\rb\r\n\r\n", b"400"),
        (HEAD + b"X-A: a\nX-B: b\r\n\r\n", b"400"),
        (HEAD + b"X-Request-ID: other\r\n\r\n", b"400"),
        (HEAD + b"X-Timeout: 5m\r\nX-Timeout: 9m\r\n\r\n", b"400"),
        (HEAD + b"X-A: " + b"x" * 20_000, b"431"),
        (HEAD + b"X-A: " + b"x" * 20_000 + b"\r\n\r\n", b"431"),
        (
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1;" + b"e" * 150_000 + b"\r\nx\r\n",
            b"431",
        ),
        (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", b"400"),
        (HEAD + b"Content-Length: 4\r\nExpect: a-word\r\n\r\nbody", b"417"),
    ],
)
def test_too_large_or_ambiguous_request_is_rejected_at_its_head(raw, status):
    """Guards against request smuggling: the hidden request must not reach a server."""
    hidden = b"GET /hidden HTTP/1.1\r\nHost: a\r\nX-Request-ID: h\r\nX-Priority-Class: look\r\n\r\n"

    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as server, RunningNode(server) as node:
            client = await node.client()
            client.writer.write(raw + hidden)
            client.writer.write_eof()
            assert (await client.read_until_close()).startswith(b"HTTP/1.1 " + status)
            client = await node.client()
            client.send(url="/usual")
            assert (await client.read_response())[0] == 200
            assert [server.requests.get_nowait().url for _ in range(server.requests.qsize())] == [
                "/usual"
            ]

    run(scenario())


def test_trailer_does_not_override_a_header_of_the_head():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as server, RunningNode(server) as node:
            client = await node.client()
            client.writer.write(
                HEAD
                + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-Request-ID: other\r\n\r\n"
            )
            assert (await client.read_response())[0] == 200
            request = server.requests.get_nowait()
            assert (request.headers["x-request-id"], request.body) == ("rude", b"a")

    run(scenario())


def test_duplicate_id_of_an_open_request_is_rejected_and_accepted_after_it():
    """Guards against two requests with one id in flight; a resend after a disconnect is served."""

    async def scenario():
        async with (
            ScriptedServer(
                lambda request: None if request.url == "/held" else reply(200)
            ) as server,
            RunningNode(server) as node,
        ):
            first, duplicate = await node.client(), await node.client()
            first.send(url="/held", X_Request_ID="same")
            await with_timeout(server.requests.get())
            duplicate.send(X_Request_ID="same")
            assert (await duplicate.read_response())[0] == 409
            assert await duplicate.read_until_close() == b""
            first.close()
            assert await with_timeout(server.closed_connections.get()) == 1
            resending = await node.client()
            resending.send(X_Request_ID="same")
            assert (await resending.read_response())[0] == 200
            assert not node.node.forwarder.request_ids.open_count()

    run(scenario())


# Guards against a request that runs twice, as its id comes again after its client has left.
@pytest.mark.parametrize("leaves", ["before the response", "after the response"])
@pytest.mark.parametrize("key", [{}, {"Idempotency_Key": "k-1"}])
def test_unsafe_request_that_may_have_run_does_not_run_again_under_its_id(leaves, key):
    async def scenario():
        respond = leaves == "after the response"
        async with (
            ScriptedServer(lambda _: reply(200) if respond else None) as server,
            RunningNode(server) as node,
        ):
            first = await node.client()
            first.send("book", "POST", X_Request_ID="same", **key)
            await with_timeout(server.requests.get())
            if respond:
                assert (await first.read_response())[0] == 200
            first.close()
            await until(lambda: not node.node.forwarder.request_ids.open_count())
            again = await node.client()
            again.send("book", "POST", X_Request_ID="same", **key)
            assert (await again.read_response())[0] == 409
            assert server.requests.empty()

    run(scenario())


def test_404_is_not_retried_and_not_counted_as_a_failure_of_the_server():
    """Guards against bad requests that use up the retry budget and eject healthy servers."""

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(404, b"no")) as server,
            RunningNode(server) as node,
        ):
            [record] = node.node.balancer.servers.values()
            score, budget = record.score, node.node.balancer.budget.left(node.node.clock.now())
            client = await node.client()
            client.send()
            assert (await client.read_response())[0] == 404
            assert await client.read_until_close() == b""
            assert server.requests.qsize() == 1
            assert (record.score, record.in_flight) == (score, {})
            assert node.node.balancer.budget.left(node.node.clock.now()) >= budget
            assert not node.node.balancer.requests

    run(scenario())


def test_429_of_a_server_is_not_forwarded_as_a_rejection():
    """Guards against a wrong promise to the client: the request may have been executed."""

    async def scenario():
        async with ScriptedServer(lambda _: reply(429)) as server, RunningNode(server) as node:
            client = await node.client()
            client.send("book", "POST")
            assert (await client.read_response())[0] == 502

    run(scenario())


def test_idle_connection_is_closed_after_its_timeout(monkeypatch):
    """Guards against clients that never close, also after the node has closed its write side."""
    monkeypatch.setattr(connection_limits, "IDLE_TIMEOUT_US", 50_000)
    monkeypatch.setattr(connection_limits, "CLIENT_TIMEOUT_US", 200_000)

    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as server, RunningNode(server) as node:
            client = await node.client()
            client.send()
            assert (await client.read_response())[0] == 200
            assert await client.read_until_close() == b""  # the client's write side stays open
            assert not len(node.node.server.limits.idle)
            await until(lambda: not node.node.server.limits.connections)

    run(scenario())


# ---- a close and received bytes that cross: the event loop does not run between the two


def test_request_sent_before_the_close_of_an_idle_connection_is_served():
    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200, b"car")) as server,
            RunningNode(server) as node,
        ):
            sock = raw_client(node)
            connection = await serve_one_request(node, sock)
            sock.sendall(REQUEST % b"second" + b"Connection: close\r\n\r\n")
            connection.close()
            assert (await read_to_end(sock)).endswith(b"car")
            assert server.requests.qsize() == 2
            sock.close()

    run(scenario())


def test_request_sent_after_the_close_of_an_idle_connection_is_discarded_without_a_reset():
    """The client sees a close between two requests, and may send the second one elsewhere."""

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200, b"car")) as server,
            RunningNode(server) as node,
        ):
            sock = raw_client(node)
            connection = await serve_one_request(node, sock)
            connection.close()
            sock.sendall(REQUEST % b"second" + b"\r\n")
            assert await read_to_end(sock) == b""
            sock.close()
            await until(lambda: not node.node.server.limits.connections)
            assert server.requests.qsize() == 1

    run(scenario())


def test_last_response_is_not_lost_if_the_client_keeps_sending():
    body = b"x" * 60_000

    async def scenario():
        async def held():
            await server.release.wait()
            return reply(200, body)

        async with ScriptedServer(lambda _: held()) as server, RunningNode(server) as node:
            sock = raw_client(node)
            sock.sendall(REQUEST % b"first" + b"Connection: close\r\n\r\n")
            await with_timeout(server.requests.get())
            [connection] = node.node.server.limits.connections
            connection.transport.pause_reading()
            # This request is unread when the last response is written.
            sock.sendall(REQUEST % b"second" + b"\r\n")
            server.release.set()
            await until(connection.is_closing)
            received = await read_to_end(sock)
            assert received.endswith(b"\r\n\r\n" + body)
            assert received.count(b"HTTP/1.1") == 1
            sock.close()
            await until(lambda: not node.node.server.limits.connections)
            assert server.requests.empty()

    run(scenario())


def test_no_attempt_is_sent_for_a_client_that_closes_after_its_request():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as server, RunningNode(server) as node:
            sock = raw_client(node)
            sock.sendall(REQUEST % b"first" + b"\r\n")
            sock.close()
            await until(lambda: not node.node.server.limits.connections)
            assert await node_is_empty(node)
            assert server.requests.empty()

    run(scenario())


def test_no_attempt_is_sent_for_a_client_that_closes_while_bytes_are_unread():
    """Its second request is pending, and reading is paused when the client closes."""

    async def scenario():
        async def held():
            await server.release.wait()
            return reply(200)

        async with ScriptedServer(lambda _: held()) as server, RunningNode(server) as node:
            sock = raw_client(node)
            sock.sendall(REQUEST % b"first" + b"\r\n" + REQUEST % b"second" + b"\r\n")
            await with_timeout(server.requests.get())
            [connection] = node.node.server.limits.connections
            await until(lambda: len(connection.pending) == 1)
            connection.transport.pause_reading()
            sock.sendall(REQUEST % b"third" + b"\r\n")
            sock.shutdown(socket.SHUT_WR)
            server.release.set()
            await until(lambda: not node.node.server.limits.connections)
            assert await node_is_empty(node)
            assert server.requests.empty()
            sock.close()

    run(scenario())


# Guards against requests that are sent on after their client has closed, behind unread bytes.
@pytest.mark.parametrize("half", [True, False])
def test_close_behind_many_unread_requests_is_seen(half):
    async def scenario():
        async with ScriptedServer(lambda _: None) as server, RunningNode(server) as node:
            sock = raw_client(node)
            requests = [REQUEST % b"r-%d" % i + b"\r\n" for i in range(4_000)]
            await asyncio.to_thread(sock.sendall, b"".join(requests))
            await with_timeout(server.requests.get())
            if half:
                sock.shutdown(socket.SHUT_WR)
            else:
                sock.close()
            await until(lambda: not node.node.server.limits.connections)
            await until(lambda: not node.node.forwarder.requests)
            assert server.requests.empty()
            sock.close()

    run(scenario())


async def node_is_empty(node) -> bool:
    """Wait until no request is open; return whether the node and the balancer keep no state of any."""
    await until(lambda: not node.node.forwarder.requests)
    balancer = node.node.balancer
    return (
        not node.node.forwarder.request_ids.open_count()
        and not balancer.requests
        and balancer.admission.in_flight == 0
    )


def test_request_after_one_with_connection_close_is_ignored():
    """It gets no response, and is not counted as a request without a response."""

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200, b"car")) as server,
            RunningNode(server) as node,
        ):
            client = await node.client()
            client.send(Connection="close")
            client.send()
            assert (await client.read_response())[2] == b"car"
            assert await client.read_until_close() == b""
            assert server.requests.qsize() == 1
            assert node.node.server.invariants.total() == 0

    run(scenario())
