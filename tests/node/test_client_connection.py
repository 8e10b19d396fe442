"""Callers that send what can't be read, say nothing or never end: each is told or closed."""

import asyncio
import socket

import pytest
from peers import RunningNode, ScriptedServer, reply, run, until, with_timeout
from raw_client import REQUEST, raw_client, read_to_end, serve_one_request

from oakbridge.node import connection_limits

HEAD = b"POST /api HTTP/1.1\r\nHost: a\r\nX-Request-ID: rude\r\nX-Priority-Class: look\r\n"


@pytest.fixture
def impatient(monkeypatch):
    """Limits that a test need not wait for."""
    monkeypatch.setattr(connection_limits, "CLIENT_TIMEOUT_US", 400_000)


@pytest.mark.usefixtures("impatient")
@pytest.mark.parametrize(
    ("said", "status"),
    [
        (b"", None),
        (b"\r\n", b"408"),
        (b"GET /api HT", b"408"),
        (b"\r\n" * 10_000, b"431"),
        (HEAD, b"408"),
        (HEAD + b"Content-Length: 9\r\n\r\nabc", b"408"),
    ],
)
def test_client_that_does_not_come_to_an_end_is_told_or_closed(said, status):
    """Guards against half requests and silent connections that take places for good."""

    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as peer, RunningNode(peer) as node:
            caller = await node.client()
            caller.writer.write(said)
            told = await caller.read_until_close()
            assert told == b"" if status is None else told.startswith(b"HTTP/1.1 " + status)
            assert peer.requests.empty()

    run(scenario())


@pytest.mark.usefixtures("impatient")
def test_partial_request_behind_a_complete_one_waits_for_its_response_only():
    async def scenario():
        async def held():
            await peer.release.wait()
            return reply(200, b"car")

        async with ScriptedServer(lambda _: held()) as peer, RunningNode(peer) as node:
            caller = await node.client()
            caller.send()
            caller.writer.write(b"GET /half")
            await with_timeout(peer.requests.get())
            [one] = node.node.server.limits.connections
            await until(lambda: one.parser.error_status)
            peer.release.set()
            assert (await caller.read_response())[2] == b"car"
            assert (await caller.read_until_close()).startswith(b"HTTP/1.1 408 ")

    run(scenario())


@pytest.mark.usefixtures("impatient")
def test_client_that_never_reads_its_responses_is_aborted(monkeypatch):
    """Guards against responses that pile up and a connection that never ends."""
    monkeypatch.setattr(
        connection_limits, "IDLE_TIMEOUT_US", 3600_000_000
    )  # that it reads nothing is what ends it

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200, b"x" * 60_000)) as peer,
            RunningNode(peer) as node,
        ):
            caller = await node.client()
            caller.writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, 4096
            )
            caller.writer.transport.pause_reading()
            while node.node.server.limits.connections or not peer.requests.qsize():
                if not caller.writer.transport.is_closing() and peer.requests.qsize() < 300:
                    caller.send()
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
        (HEAD + b"Content-Length: 4\r\nExpect: a-word\r\n\r\nbody", b"417"),
    ],
)
def test_what_is_too_large_or_ambiguous_is_rejected_at_its_head(raw, status):
    """Guards against requests hidden in bodies: the hidden one never reaches a server."""
    hidden = b"GET /hidden HTTP/1.1\r\nHost: a\r\nX-Request-ID: h\r\nX-Priority-Class: look\r\n\r\n"

    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as peer, RunningNode(peer) as node:
            caller = await node.client()
            caller.writer.write(raw + hidden)
            caller.writer.write_eof()
            assert (await caller.read_until_close()).startswith(b"HTTP/1.1 " + status)
            caller = await node.client()
            caller.send(url="/usual")
            assert (await caller.read_response())[0] == 200
            assert [peer.requests.get_nowait().url for _ in range(peer.requests.qsize())] == [
                "/usual"
            ]

    run(scenario())


def test_trailer_does_not_change_what_was_read_at_the_head():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as peer, RunningNode(peer) as node:
            caller = await node.client()
            caller.writer.write(
                HEAD
                + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-Request-ID: other\r\n\r\n"
            )
            assert (await caller.read_response())[0] == 200
            seen = peer.requests.get_nowait()
            assert (seen.headers["x-request-id"], seen.body) == ("rude", b"a")

    run(scenario())


def test_id_of_an_open_request_is_rejected_and_is_free_again_after_it():
    """Guards against a second copy that is out beside the first; a resend after a close is good."""

    async def scenario():
        async with (
            ScriptedServer(lambda seen: None if seen.url == "/held" else reply(200)) as peer,
            RunningNode(peer) as node,
        ):
            first, copy = await node.client(), await node.client()
            first.send(url="/held", X_Request_ID="same")
            await with_timeout(peer.requests.get())
            copy.send(X_Request_ID="same")
            assert (await copy.read_response())[0] == 409
            assert await copy.read_until_close() == b""
            first.close()
            assert await with_timeout(peer.closed_connections.get()) == 1
            again = await node.client()
            again.send(X_Request_ID="same")
            assert (await again.read_response())[0] == 200
            assert not node.node.forwarder.open_ids

    run(scenario())


def test_request_that_a_server_has_no_use_for_is_not_retried_elsewhere():
    """Guards against rude requests that use up the retry budget and put healthy servers out."""

    async def scenario():
        async with ScriptedServer(lambda _: reply(404, b"no")) as peer, RunningNode(peer) as node:
            [server] = node.node.balancer.servers.values()
            score, left = server.score, node.node.balancer.budget.left(node.node.clock.now())
            caller = await node.client()
            caller.send()
            assert (await caller.read_response())[0] == 404
            assert await caller.read_until_close() == b""
            assert peer.requests.qsize() == 1
            assert (server.score, server.in_flight) == (score, {})
            assert node.node.balancer.budget.left(node.node.clock.now()) >= left
            assert not node.node.balancer.requests

    run(scenario())


def test_429_of_a_server_is_no_refusal():
    """Guards against passing on a promise that nobody can keep: the request may have run."""

    async def scenario():
        async with ScriptedServer(lambda _: reply(429)) as peer, RunningNode(peer) as node:
            caller = await node.client()
            caller.send("book", "POST")
            assert (await caller.read_response())[0] == 502

    run(scenario())


def test_idle_connection_is_closed_after_its_timeout(monkeypatch):
    """Guards against clients that never close, also once the node has ended its side."""
    monkeypatch.setattr(connection_limits, "IDLE_TIMEOUT_US", 50_000)
    monkeypatch.setattr(connection_limits, "CLIENT_TIMEOUT_US", 200_000)

    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as peer, RunningNode(peer) as node:
            caller = await node.client()
            caller.send()
            assert (await caller.read_response())[0] == 200
            assert await caller.read_until_close() == b""  # the client's own side stays open
            assert not len(node.node.server.limits.idle)
            await until(lambda: not node.node.server.limits.connections)

    run(scenario())


# ---- ends that something crosses: the loop does not run between the two


def test_request_that_crosses_the_end_of_an_idle_connection_is_served():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200, b"car")) as peer, RunningNode(peer) as node:
            sock = raw_client(node)
            resting = await serve_one_request(node, sock)
            sock.sendall(REQUEST % b"second" + b"Connection: close\r\n\r\n")
            resting.close()
            assert (await read_to_end(sock)).endswith(b"car")
            assert peer.requests.qsize() == 2
            sock.close()

    run(scenario())


def test_request_behind_the_end_of_an_idle_connection_is_discarded_without_a_reset():
    """The client sees an end between two requests, and may send the second one elsewhere."""

    async def scenario():
        async with ScriptedServer(lambda _: reply(200, b"car")) as peer, RunningNode(peer) as node:
            sock = raw_client(node)
            resting = await serve_one_request(node, sock)
            resting.close()
            sock.sendall(REQUEST % b"second" + b"\r\n")
            assert await read_to_end(sock) == b""
            sock.close()
            await until(lambda: not node.node.server.limits.connections)
            assert peer.requests.qsize() == 1

    run(scenario())


def test_last_response_is_not_lost_by_what_the_client_goes_on_sending():
    said = b"x" * 60_000

    async def scenario():
        async def held():
            await peer.release.wait()
            return reply(200, said)

        async with ScriptedServer(lambda _: held()) as peer, RunningNode(peer) as node:
            sock = raw_client(node)
            sock.sendall(REQUEST % b"first" + b"Connection: close\r\n\r\n")
            await with_timeout(peer.requests.get())
            [mine] = node.node.server.limits.connections
            mine.transport.pause_reading()
            # Lies unread when the last response is written.
            sock.sendall(REQUEST % b"second" + b"\r\n")
            peer.release.set()
            await until(mine.is_closing)
            got = await read_to_end(sock)
            assert got.endswith(b"\r\n\r\n" + said)
            assert got.count(b"HTTP/1.1") == 1
            sock.close()
            await until(lambda: not node.node.server.limits.connections)
            assert peer.requests.empty()

    run(scenario())


def test_nothing_begins_for_a_client_that_has_gone_behind_its_request():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as peer, RunningNode(peer) as node:
            sock = raw_client(node)
            sock.sendall(REQUEST % b"first" + b"\r\n")
            sock.close()
            await until(lambda: not node.node.server.limits.connections)
            assert await node_is_empty(node)
            assert peer.requests.empty()

    run(scenario())


def test_nothing_begins_for_a_client_that_has_gone_behind_bytes_that_are_not_read():
    """Its second request waited behind the first; reading was paused when it left."""

    async def scenario():
        async def held():
            await peer.release.wait()
            return reply(200)

        async with ScriptedServer(lambda _: held()) as peer, RunningNode(peer) as node:
            sock = raw_client(node)
            sock.sendall(REQUEST % b"first" + b"\r\n" + REQUEST % b"second" + b"\r\n")
            await with_timeout(peer.requests.get())
            [mine] = node.node.server.limits.connections
            await until(lambda: len(mine.pending) == 1)
            mine.transport.pause_reading()
            sock.sendall(REQUEST % b"third" + b"\r\n")
            sock.shutdown(socket.SHUT_WR)
            peer.release.set()
            await until(lambda: not node.node.server.limits.connections)
            assert await node_is_empty(node)
            assert peer.requests.empty()
            sock.close()

    run(scenario())


async def node_is_empty(node) -> bool:
    """Return whether nothing is retained of any request, once the balancer has had all events."""
    await until(lambda: not node.node.forwarder.requests)
    balancer = node.node.balancer
    return (
        not node.node.forwarder.open_ids
        and not balancer.requests
        and balancer.admission.in_flight == 0
    )


def test_what_follows_a_request_that_is_said_to_be_the_last_is_no_request():
    """No response is owed for it, and none is counted as missing."""

    async def scenario():
        async with ScriptedServer(lambda _: reply(200, b"car")) as peer, RunningNode(peer) as node:
            caller = await node.client()
            caller.send(Connection="close")
            caller.send()
            assert (await caller.read_response())[2] == b"car"
            assert await caller.read_until_close() == b""
            assert peer.requests.qsize() == 1
            assert node.node.server.invariants.total() == 0

    run(scenario())
