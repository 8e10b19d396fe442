"""Streaming of long responses and bodies, and the forms of HTTP/1.1 messages."""

import asyncio
import contextlib
import socket

import pytest
from peers import SETTINGS, RunningNode, ScriptedServer, reply, run, until, with_timeout
from raw_server import RawServer, head

from oakbridge.node import connection_limits, request_parser, server_connection
from oakbridge.node.connection_pool import MIN_IDLE_US
from oakbridge.node.memory_account import CONNECTION_BYTES
from oakbridge.node.request_body import STREAM_WINDOW_BYTES
from oakbridge.node.settings import read_settings
from oakbridge.node.transient_error_socket import TransientErrorSocket

LONG_BODY_BYTES = 3_000_000
PART = bytes(range(256)) * 256


def holds_only_idle_connections(node) -> bool:
    """Return whether the node's memory account has nothing but its open connections."""
    connections = node.server.connection_count() + node.pool.connection_count
    return node.memory.held_bytes == connections * CONNECTION_BYTES


def received_bytes(node) -> int:
    """Return the bytes that were received on all open client connections."""
    return sum(c.progress.bytes_received for c in node.server.limits.connections)


# ---- responses


@pytest.mark.parametrize("framing", ["length", "chunked", "close"])
@pytest.mark.parametrize("http10", [False, True])
def test_long_response_is_streamed_before_it_is_complete(framing, http10):  # noqa: C901
    more = asyncio.Event()

    async def handle(reader, writer):
        while True:
            await reader.readuntil(b"\r\n\r\n")
            line = {
                "length": f"Content-Length: {LONG_BODY_BYTES}\r\n",
                "chunked": "Transfer-Encoding: chunked\r\n",
                "close": "",
            }
            writer.write(f"HTTP/1.1 200 OK\r\n{line[framing]}\r\n".encode())
            for half in (b"a" * (LONG_BODY_BYTES // 2), b"b" * (LONG_BODY_BYTES // 2)):
                writer.write(b"%x\r\n%b\r\n" % (len(half), half) if framing == "chunked" else half)
                await writer.drain()
                await more.wait()
            if framing == "chunked":
                writer.write(b"0\r\nX-Trailer: t\r\n\r\n")
            if framing == "close":
                return writer.close()

    async def scenario():
        async with RawServer(handle) as server, RunningNode(server) as node:
            client = await node.client()
            raw = head("GET", priority_class="look")
            client.writer.write(raw.replace(b"HTTP/1.1", b"HTTP/1.0") if http10 else raw)
            response_head = await with_timeout(client.reader.readuntil(b"\r\n\r\n"))
            assert response_head.startswith(b"HTTP/1.1 200 ")
            chunked = b"transfer-encoding: chunked" in response_head
            assert chunked == (framing != "length" and not http10)
            body = b""

            async def read(length: int) -> None:
                nonlocal body
                while len(body) < length:
                    if chunked:
                        size = int(await with_timeout(client.reader.readuntil(b"\r\n")), 16)
                        body += (await with_timeout(client.reader.readexactly(size + 2)))[:-2]
                    else:
                        body += await with_timeout(client.reader.read(65536))

            await read(LONG_BODY_BYTES // 2)
            assert body == b"a" * (LONG_BODY_BYTES // 2)
            more.set()
            await read(LONG_BODY_BYTES)
            assert body == b"a" * (LONG_BODY_BYTES // 2) + b"b" * (LONG_BODY_BYTES // 2)
            if chunked:
                assert await with_timeout(client.reader.readexactly(5)) == b"0\r\n\r\n"
            if framing == "length" and not http10:  # the connections on both sides are reused
                # The node has read the end of the server's response, too.
                await until(lambda: not node.node.balancer.admission.in_flight)
                # A connection must be idle for MIN_IDLE_US before it is reused.
                await asyncio.sleep(2 * MIN_IDLE_US / 1e6)
                before = server.connections  # two if the first was established late
                client.send()
                assert (await client.read_response())[0] == 200
                assert server.connections == before

    run(scenario())


def test_request_is_retried_if_a_buffered_response_is_truncated():
    async def handle(reader, writer):
        while True:
            await reader.readuntil(b"\r\n\r\n")
            if server.connections == 1:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + b"x" * 59_999)
                return writer.close()
            writer.write(reply(200, b"y" * 60_000))

    server = RawServer(handle)

    async def scenario():
        async with server, RunningNode(server) as node:
            client = await node.client()
            for _ in range(12):  # requests that fill the retry budget
                client.send()
                status, _, body = await client.read_response()
                assert (status, body.strip(b"y")) in ((200, b""), (503, b""))

    run(scenario())


@pytest.mark.parametrize("failure", ["close", "reset", "garbage"])
@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_truncated_streamed_response_is_detectable_and_its_request_not_retried(failure, framing):
    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        line = (
            f"Content-Length: {LONG_BODY_BYTES}"
            if framing == "length"
            else "Transfer-Encoding: chunked"
        )
        part = b"x" * 200_000
        writer.write(f"HTTP/1.1 200 OK\r\n{line}\r\n\r\n".encode())
        writer.write(b"%x\r\n%b\r\n" % (len(part), part) if framing == "chunked" else part)
        await writer.drain()
        if failure == "garbage" and framing == "chunked":
            writer.write(b"no size\r\n")
            await writer.drain()
        (writer.transport.abort if failure == "reset" else writer.close)()

    async def scenario():
        async with RawServer(handle) as server, RunningNode(server) as node:
            client = await node.client()
            client.send()
            with contextlib.suppress(ConnectionResetError):
                received = await with_timeout(client.reader.read())
                assert len(received) < LONG_BODY_BYTES
                assert not received.endswith(b"0\r\n\r\n")
            assert server.connections == 1
            assert not node.node.forwarder.requests

    run(scenario())


def test_attempt_of_a_streamed_response_is_cancelled_when_the_client_disconnects():
    closed = asyncio.Event()

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n" + PART * 4)
        with contextlib.suppress(ConnectionError):
            while not writer.transport.is_closing():
                writer.write(PART)
                await writer.drain()
        closed.set()

    async def scenario():
        async with RawServer(handle) as server, RunningNode(server) as node:
            client = await node.client()
            client.send()
            await with_timeout(client.reader.readuntil(b"\r\n\r\n"))
            client.close()
            await with_timeout(closed.wait())
            await until(
                lambda: not (node.node.forwarder.requests or node.node.pool.connection_count)
            )

    run(scenario())


def test_slow_client_takes_bounded_memory_and_the_node_stops_reading_from_the_server(monkeypatch):
    """Back-pressure: bytes that a slow client does not read stay at the server."""
    monkeypatch.setattr(connection_limits, "CLIENT_TIMEOUT_US", 200_000)

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 32000000\r\n\r\n")
        for _ in range(500):
            writer.write(b"x" * 64_000)
            await writer.drain()

    async def scenario():
        async with RawServer(handle) as server, RunningNode(server) as node:
            client = await node.client()
            client.writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, 65536
            )
            client.send()
            await with_timeout(client.reader.readuntil(b"\r\n\r\n"))
            client.writer.transport.pause_reading()
            [client_connection] = node.node.server.limits.connections
            await until(lambda: client_connection.write_blocked)
            [[connection]] = [server.busy for server in node.node.pool.servers.values()]
            assert connection.paused  # the node stops reading from the server
            assert (
                client_connection.transport.get_write_buffer_size()
                < 2 * server_connection.READ_BYTES + 65536
            )
            client.writer.transport.resume_reading()
            received = 0
            # The client reads slowly, but makes progress: it is kept beyond its timeout.
            for _ in range(60):
                received += len(await with_timeout(client.reader.read(65536)))
                await asyncio.sleep(0.01)
            assert node.node.server.limits.connections == {client_connection}
            assert (
                client_connection.transport.get_write_buffer_size()
                < 2 * server_connection.READ_BYTES + 65536
            )
            client.writer.transport.pause_reading()  # a client that reads nothing more is aborted
            await until(lambda: not node.node.server.limits.connections)

    run(scenario())


def test_head_of_a_truncated_response_is_sent_even_if_the_writes_are_delayed(monkeypatch):
    """Guards against a reset that discards the head: the client would see no response at all."""
    is_blocked, broken = True, asyncio.Event()
    send = TransientErrorSocket.send

    def send_unless_blocked(self, *args):
        if is_blocked:
            raise BlockingIOError
        return send(self, *args)

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG_BODY_BYTES + b"x" * 20_000
        )
        await writer.drain()
        await asyncio.sleep(0.1)
        writer.transport.abort()
        broken.set()

    async def scenario():
        nonlocal is_blocked
        async with RawServer(handle) as server, RunningNode(server) as node:
            client = await node.client()
            monkeypatch.setattr(TransientErrorSocket, "send", send_unless_blocked)
            client.send()
            await with_timeout(broken.wait())
            await until(lambda: not node.node.forwarder.requests)
            is_blocked = False
            head = await with_timeout(client.reader.readuntil(b"\r\n\r\n"))
            assert head.startswith(b"HTTP/1.1 200 ")
            with contextlib.suppress(ConnectionError):
                assert len(await with_timeout(client.reader.read())) < LONG_BODY_BYTES

    run(scenario())


def test_streamed_response_is_not_aborted_at_the_requests_deadline():
    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 640000\r\n\r\n")
        for _ in range(10):
            writer.write(b"x" * 64_000)
            await asyncio.sleep(0.1)

    async def scenario():
        async with RawServer(handle) as server, RunningNode(server) as node:
            client = await node.client()
            client.send(priority_class="brief", X_Timeout="400m")  # the server writes for 1 s
            assert len((await client.read_response())[2]) == 640_000

    run(scenario())


def test_error_response_too_long_to_buffer_becomes_502():
    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(500, b"x" * 100_000)) as server,
            RunningNode(server) as node,
        ):
            client = await node.client()
            client.send(priority_class="book", method="POST", body=b"x")
            assert (await client.read_response())[0] == 502

    run(scenario())


# ---- bodies


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("size", [100, 70_000, 600_000, LONG_BODY_BYTES])
def test_body_of_any_size_reaches_the_server_unchanged(chunked, size):
    received = asyncio.Queue()

    async def handle(reader, writer):
        while True:
            request_head = await reader.readuntil(b"\r\n\r\n")
            body = b""
            if b"transfer-encoding: chunked" in request_head:
                while length := int(await reader.readuntil(b"\r\n"), 16):
                    body += await reader.readexactly(length)
                    assert await reader.readexactly(2) == b"\r\n"
                await reader.readexactly(2)
            else:
                length = int(request_head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                body = await reader.readexactly(length)
            received.put_nowait((request_head, body))
            writer.write(reply(200, b"ok"))

    async def scenario():
        body = (bytes(range(251)) * (size // 251 + 1))[:size]
        async with RawServer(handle) as server, RunningNode(server) as node:
            client = await node.client()
            for i in range(2):  # both on one connection
                line = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {size}"
                client.writer.write(head("POST", "/api", line, request_id=f"big-{i}"))
                if chunked:
                    for at in range(0, size, 50_000):
                        part = body[at : at + 50_000]
                        client.writer.write(b"%x;ext=1\r\n%b\r\n" % (len(part), part))
                    client.writer.write(b"0\r\nX-Trailer: t\r\n\r\n")
                else:
                    client.writer.write(body)
                assert (await client.read_response())[0] == 200
                request_head, received_body = await with_timeout(received.get())
                assert received_body == body
                assert b"x-trailer" not in request_head
            await until(lambda: holds_only_idle_connections(node.node))

    run(scenario())


@pytest.mark.parametrize("class_removed", [False, True])
def test_long_body_is_streamed_and_the_timeout_starts_at_its_end(class_removed):
    began = asyncio.Event()

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(500_000)
        began.set()
        await reader.readexactly(LONG_BODY_BYTES - 500_000)
        writer.write(reply(200))

    async def scenario():
        async with RawServer(handle) as server, RunningNode(server) as node:
            client = await node.client()
            client.writer.write(
                head(
                    "POST",
                    "/api",
                    f"Content-Length: {LONG_BODY_BYTES}",
                    "X-Timeout: 300m",
                    priority_class="brief",
                )
            )
            client.writer.write(b"x" * 1_000_000)
            await with_timeout(began.wait())
            await asyncio.sleep(0.6)  # longer than the request's timeout
            if class_removed:  # the request keeps its timeout although its class is removed
                classes = [c for c in SETTINGS["classes"] if c["name"] != "brief"]
                node.node.configure(read_settings(SETTINGS | {"classes": classes}))
            client.writer.write(b"x" * (LONG_BODY_BYTES - 1_000_000))
            assert (await client.read_response())[0] == 200

    run(scenario())


# Guards against a body that is given up while its server takes it, before its client has sent it.
@pytest.mark.parametrize(("stops", "status"), [(False, 200), (True, 503)])
def test_time_of_a_very_long_body_runs_once_the_client_may_have_sent_it(stops, status):
    size, part = 30_000_000, 1_000_000

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        for _ in range(size // part):
            await reader.readexactly(part)
            await asyncio.sleep(0.07)
            if stops:
                await asyncio.Event().wait()
        writer.write(reply(200))

    async def scenario():
        loop = asyncio.get_running_loop()
        async with RawServer(handle) as server, RunningNode(server) as node:
            client = await node.client()
            length = f"Content-Length: {size}"
            client.writer.write(head("POST", "/api", length, "X-Timeout: 1700m"))
            client.writer.write(bytes(size))
            began = loop.time()
            response = await client.read_response()
            assert response[0] == status
            elapsed_s = loop.time() - began
            assert elapsed_s <= 1.7 + 0.5 if stops else elapsed_s > 1.7

    run(scenario())


@pytest.mark.parametrize("client_action", ["stall", "close", "reset"])
def test_incomplete_body_is_not_completed_towards_the_server(monkeypatch, client_action):
    monkeypatch.setattr(connection_limits, "CLIENT_TIMEOUT_US", 300_000)
    partial_bodies, begun, closed = [], asyncio.Event(), asyncio.Event()

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        begun.set()
        try:
            await reader.readexactly(LONG_BODY_BYTES)
        except (asyncio.IncompleteReadError, ConnectionError) as e:
            partial_bodies.append(getattr(e, "partial", b""))
        closed.set()

    async def scenario():
        async with RawServer(handle) as server, RunningNode(server) as node:
            client = await node.client()
            client.writer.write(head("POST", "/api", f"Content-Length: {LONG_BODY_BYTES}"))
            client.writer.write(b"x" * (LONG_BODY_BYTES - 1))
            # No attempt is sent for a client that closes before its request was dispatched.
            await with_timeout(begun.wait())
            if client_action == "close":
                client.writer.write_eof()
            elif client_action == "reset":
                client.close()
            await with_timeout(closed.wait())
            assert len(partial_bodies) == 1
            if client_action == "stall":
                assert (await with_timeout(client.reader.read())).startswith(b"HTTP/1.1 408 ")
            await until(
                lambda: not (node.node.forwarder.requests or node.node.server.limits.connections)
            )

    run(scenario())


@pytest.mark.parametrize(
    ("early_response", "status"),
    [
        (reply(503, b"", "X-Not-Processed: 1"), 503),
        (b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", 503),
    ],
)
def test_response_before_the_end_of_the_body_is_forwarded_at_once_and_the_request_not_retried(
    early_response, status
):
    """The request was not executed, and its body is not buffered for a retry."""

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(early_response)
        await reader.read(100_000)

    async def scenario():
        async with RawServer(handle) as server, RunningNode(server) as node:
            client = await node.client()
            client.writer.write(head("POST", "/api", f"Content-Length: {LONG_BODY_BYTES}"))
            client.writer.write(b"x" * (LONG_BODY_BYTES // 2))
            response_head = await with_timeout(client.reader.readuntil(b"\r\n\r\n"))
            assert response_head.startswith(b"HTTP/1.1 %d " % status)
            # The node reads the rest of the body, so that the response is not lost to a reset.
            client.writer.write(b"x" * (LONG_BODY_BYTES // 2))
            await client.writer.drain()
            assert await client.read_until_close() == b""
            assert server.connections == 1

    run(scenario())


def test_upload_is_paused_and_not_timed_out_while_the_server_does_not_read(
    monkeypatch,
):
    monkeypatch.setattr(connection_limits, "CLIENT_TIMEOUT_US", 200_000)
    may_read = asyncio.Event()

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.transport.pause_reading()
        await may_read.wait()
        writer.transport.resume_reading()
        await reader.readexactly(20_000_000)
        writer.write(reply(200))

    async def scenario():
        async with RawServer(handle) as server, RunningNode(server) as node:
            client = await node.client()
            client.writer.write(head("POST", "/api", "Content-Length: 20000000"))
            client.writer.write(b"x" * 20_000_000)
            await until(lambda: node.node.server.limits.connections)
            [client_connection] = node.node.server.limits.connections
            await until(lambda: client_connection.parser.body_is_held_back())
            await asyncio.sleep(0.7)
            assert (
                client_connection.parser.streamed_request.streamed_body.buffered_bytes
                < STREAM_WINDOW_BYTES
                + server_connection.READ_BYTES
                + request_parser.MAX_BUFFERED_BODY_BYTES
            )
            may_read.set()
            assert (await client.read_response())[0] == 200

    run(scenario())


def test_bodies_are_buffered_up_to_a_total_limit_and_then_streamed():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as server, RunningNode(server) as node:
            memory = node.node.memory
            memory.set_limit(700_000)
            clients = [await node.client() for _ in range(8)]
            for i, client in enumerate(clients):
                client.writer.write(
                    head("POST", "/api", "Content-Length: 200000", request_id=f"h-{i}")
                )
                client.writer.write(b"x" * 199_999)
                await until(lambda i=i: received_bytes(node.node) > (i + 1) * 199_999)
                assert memory.held_bytes <= 700_000
            # The first two are buffered; the others would exceed the limit.
            await until(lambda: len(node.node.forwarder.requests) == 6)
            assert memory.held_bytes > 400_000
            for client in clients:
                client.writer.write(b"x")
                assert (await client.read_response())[0] == 200
            await until(lambda: holds_only_idle_connections(node.node))

    run(scenario())


# ---- forms of HTTP/1.1


def test_client_that_expects_100_continue_gets_it_after_earlier_responses():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as server, RunningNode(server) as node:
            client = await node.client()
            expects = head("POST", "/api", "Content-Length: 4", "Expect: 100-continue")
            client.writer.write(expects)
            assert (
                await with_timeout(client.reader.readuntil(b"\r\n\r\n"))
                == b"HTTP/1.1 100 Continue\r\n\r\n"
            )
            client.writer.write(b"body")
            assert (await client.read_response())[0] == 200
            assert "expect" not in (await with_timeout(server.requests.get())).headers
            client.writer.write(
                head("GET", priority_class="look", request_id="a")
                + expects.replace(b"big-1", b"big-2")
            )
            assert (await client.read_response())[0] == 200
            assert (
                await with_timeout(client.reader.readuntil(b"\r\n\r\n"))
                == b"HTTP/1.1 100 Continue\r\n\r\n"
            )
            client.writer.write(b"body")
            assert (await client.read_response())[0] == 200

    run(scenario())


def test_request_in_single_bytes_with_space_around_values_is_served():
    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200, b"car")) as server,
            RunningNode(server) as node,
        ):
            client = await node.client()
            raw = head(
                "GET", "http://app.svc/api?x=1", "X-Timeout: \t 5000m ", priority_class="look \t"
            )
            for at in range(len(raw)):
                client.writer.write(raw[at : at + 1])
                await client.writer.drain()
                if at % 10 == 0:
                    await asyncio.sleep(0)
            assert (await client.read_response())[2] == b"car"
            assert (await with_timeout(server.requests.get())).url == "/api?x=1"

    run(scenario())


def test_http10_client_gets_keep_alive_if_it_asks_for_it():
    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200, b"car")) as server,
            RunningNode(server) as node,
        ):
            client = await node.client()
            for i in range(2):
                raw = head(
                    "GET",
                    "/api",
                    "Connection: keep-alive",
                    priority_class="look",
                    request_id=f"o-{i}",
                )
                client.writer.write(raw.replace(b"HTTP/1.1", b"HTTP/1.0"))
                status, headers, _ = await client.read_response()
                assert (status, headers["connection"]) == (200, "keep-alive")
            client.writer.write(
                head("GET", priority_class="look", request_id="o-3").replace(
                    b"HTTP/1.1", b"HTTP/1.0"
                )
            )
            assert (await client.read_response())[1]["connection"] == "close"
            assert await client.read_until_close() == b""

    run(scenario())


def test_response_that_a_server_writes_slowly_byte_by_byte_is_forwarded():
    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 103 Early Hints\r\n\r\n")
        for byte in b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nslow!":
            writer.write(bytes([byte]))
            await asyncio.sleep(0.02)

    async def scenario():
        async with RawServer(handle) as server, RunningNode(server) as node:
            client = await node.client()
            client.send(priority_class="book", method="POST", body=b"x")
            assert (await client.read_response())[2] == b"slow!"

    run(scenario())
