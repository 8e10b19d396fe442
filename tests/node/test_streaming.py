"""Long responses and bodies are streamed; each request has one response or a broken one."""

import asyncio
import contextlib
import socket

import pytest
from peers import SETTINGS, RunningNode, ScriptedServer, reply, run, until, with_timeout

from oakbridge.node import connection_limits, request_parser, server_connection
from oakbridge.node.connection_pool import MIN_IDLE_US
from oakbridge.node.request_body import STREAM_WINDOW_BYTES
from oakbridge.node.settings import read_settings
from oakbridge.node.transient_error_socket import TransientErrorSocket

BIG = 3_000_000
PART = bytes(range(256)) * 256


def head(
    method: str = "POST",
    url: str = "/api",
    *lines: str,
    priority_class: str = "book",
    ident: str = "big-1",
) -> bytes:
    first = [
        f"{method} {url} HTTP/1.1",
        "Host: a",
        f"X-Request-ID: {ident}",
        f"X-Priority-Class: {priority_class}",
        *lines,
    ]
    return ("\r\n".join(first) + "\r\n\r\n").encode()


class RawServer:
    """A server whose every byte a test decides: one handler for each connection."""

    def __init__(self, handle) -> None:
        self.handle, self.connections, self.writers = handle, 0, []

    async def __aenter__(self) -> "RawServer":
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await self.handle(reader, writer)

    async def __aexit__(self, *_) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


# ---- answers


@pytest.mark.parametrize("framing", ["length", "chunked", "close"])
@pytest.mark.parametrize("old", [False, True])
def test_a_long_response_is_streamed_before_it_is_complete(framing, old):  # noqa: C901
    more = asyncio.Event()

    async def handle(reader, writer):
        while True:
            await reader.readuntil(b"\r\n\r\n")
            line = {
                "length": f"Content-Length: {BIG}\r\n",
                "chunked": "Transfer-Encoding: chunked\r\n",
                "close": "",
            }
            writer.write(f"HTTP/1.1 200 OK\r\n{line[framing]}\r\n".encode())
            for half in (b"a" * (BIG // 2), b"b" * (BIG // 2)):
                writer.write(b"%x\r\n%b\r\n" % (len(half), half) if framing == "chunked" else half)
                await writer.drain()
                await more.wait()
            if framing == "chunked":
                writer.write(b"0\r\nX-Trailer: t\r\n\r\n")
            if framing == "close":
                return writer.close()

    async def scenario():
        async with RawServer(handle) as server, RunningNode(server) as node:
            caller = await node.client()
            said = head("GET", priority_class="look")
            caller.writer.write(said.replace(b"HTTP/1.1", b"HTTP/1.0") if old else said)
            first = await with_timeout(caller.reader.readuntil(b"\r\n\r\n"))
            assert first.startswith(b"HTTP/1.1 200 ")
            chunked = b"transfer-encoding: chunked" in first
            assert chunked == (framing != "length" and not old)
            body = b""

            async def read(length: int) -> None:
                nonlocal body
                while len(body) < length:
                    if chunked:
                        size = int(await with_timeout(caller.reader.readuntil(b"\r\n")), 16)
                        body += (await with_timeout(caller.reader.readexactly(size + 2)))[:-2]
                    else:
                        body += await with_timeout(caller.reader.read(65536))

            await read(BIG // 2)
            assert body == b"a" * (BIG // 2)
            more.set()
            await read(BIG)
            assert body == b"a" * (BIG // 2) + b"b" * (BIG // 2)
            if chunked:
                assert await with_timeout(caller.reader.readexactly(5)) == b"0\r\n\r\n"
            if framing == "length" and not old:  # and the connection is kept on both sides
                await until(
                    lambda: not node.node.balancer.admission.in_flight
                )  # the node has read the server's end, too
                # A connection is idle for so long before it is used again.
                await asyncio.sleep(2 * MIN_IDLE_US / 1e6)
                before = server.connections  # two where the first was slow to come up
                caller.send()
                assert (await caller.read_response())[0] == 200
                assert server.connections == before

    run(scenario())


def test_a_response_that_is_short_enough_is_retried_if_it_breaks():
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
            caller = await node.client()
            for _ in range(12):  # firsts that the retry budget counts
                caller.send()
                status, _, body = await caller.read_response()
                assert (status, body.strip(b"y")) in ((200, b""), (503, b""))

    run(scenario())


@pytest.mark.parametrize("how", ["close", "reset", "garbage"])
@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_a_streamed_response_that_breaks_is_seen_to_break_and_not_retried(how, framing):
    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        line = f"Content-Length: {BIG}" if framing == "length" else "Transfer-Encoding: chunked"
        part = b"x" * 200_000
        writer.write(f"HTTP/1.1 200 OK\r\n{line}\r\n\r\n".encode())
        writer.write(b"%x\r\n%b\r\n" % (len(part), part) if framing == "chunked" else part)
        await writer.drain()
        if how == "garbage" and framing == "chunked":
            writer.write(b"no size\r\n")
            await writer.drain()
        (writer.transport.abort if how == "reset" else writer.close)()

    async def scenario():
        async with RawServer(handle) as server, RunningNode(server) as node:
            caller = await node.client()
            caller.send()
            with contextlib.suppress(ConnectionResetError):
                got = await with_timeout(caller.reader.read())
                assert len(got) < BIG
                assert not got.endswith(b"0\r\n\r\n")
            assert server.connections == 1
            assert not node.node.forwarder.requests

    run(scenario())


def test_a_client_that_goes_away_ends_the_servers_work_at_once():
    left = asyncio.Event()

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n" + PART * 4)
        with contextlib.suppress(ConnectionError):
            while not writer.transport.is_closing():
                writer.write(PART)
                await writer.drain()
        left.set()

    async def scenario():
        async with RawServer(handle) as server, RunningNode(server) as node:
            caller = await node.client()
            caller.send()
            await with_timeout(caller.reader.readuntil(b"\r\n\r\n"))
            caller.close()
            await with_timeout(left.wait())
            await until(
                lambda: not (node.node.forwarder.requests or node.node.pool.connection_count)
            )

    run(scenario())


def test_slow_readers_hold_bounded_memory_and_the_server_is_held_back(monkeypatch):
    """Back-pressure: what a server has ready for a slow client stays with the server."""
    monkeypatch.setattr(connection_limits, "CLIENT_TIMEOUT_US", 200_000)

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 32000000\r\n\r\n")
        for _ in range(500):
            writer.write(b"x" * 64_000)
            await writer.drain()

    async def scenario():
        async with RawServer(handle) as server, RunningNode(server) as node:
            caller = await node.client()
            caller.writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, 65536
            )
            caller.send()
            await with_timeout(caller.reader.readuntil(b"\r\n\r\n"))
            caller.writer.transport.pause_reading()
            [one] = node.node.server.limits.connections
            await until(lambda: one.write_blocked)
            [[connection]] = [server.busy for server in node.node.pool.servers.values()]
            assert connection.paused  # what the server still writes stays with it
            assert one.transport.get_write_buffer_size() < 2 * server_connection.READ_BYTES + 65536
            caller.writer.transport.resume_reading()
            got = 0
            # Slowly, but it goes on: the client is kept beyond its patience.
            for _ in range(60):
                got += len(await with_timeout(caller.reader.read(65536)))
                await asyncio.sleep(0.01)
            assert node.node.server.limits.connections == {one}
            assert one.transport.get_write_buffer_size() < 2 * server_connection.READ_BYTES + 65536
            caller.writer.transport.pause_reading()  # and one that reads nothing more is cut off
            await until(lambda: not node.node.server.limits.connections)

    run(scenario())


def test_the_head_of_a_response_that_breaks_reaches_a_client_whose_writes_are_held_up(monkeypatch):
    """Guards against a reset that takes a head along: the client would see no answer at all."""
    held_up, broken = True, asyncio.Event()
    send = TransientErrorSocket.send

    def send_later(self, *given):
        if held_up:
            raise BlockingIOError
        return send(self, *given)

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BIG + b"x" * 20_000)
        await writer.drain()
        await asyncio.sleep(0.1)
        writer.transport.abort()
        broken.set()

    async def scenario():
        nonlocal held_up
        async with RawServer(handle) as server, RunningNode(server) as node:
            caller = await node.client()
            monkeypatch.setattr(TransientErrorSocket, "send", send_later)
            caller.send()
            await with_timeout(broken.wait())
            await until(lambda: not node.node.forwarder.requests)
            held_up = False
            head = await with_timeout(caller.reader.readuntil(b"\r\n\r\n"))
            assert head.startswith(b"HTTP/1.1 200 ")
            with contextlib.suppress(ConnectionError):
                assert len(await with_timeout(caller.reader.read())) < BIG

    run(scenario())


def test_a_long_response_is_not_aborted_at_the_requests_deadline():
    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 640000\r\n\r\n")
        for _ in range(10):
            writer.write(b"x" * 64_000)
            await asyncio.sleep(0.1)

    async def scenario():
        async with RawServer(handle) as server, RunningNode(server) as node:
            caller = await node.client()
            caller.send(priority_class="brief", X_Timeout="400m")  # 1 s of writing
            assert len((await caller.read_response())[2]) == 640_000

    run(scenario())


def test_an_error_that_is_too_long_to_buffer_is_no_response():
    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(500, b"x" * 100_000)) as peer,
            RunningNode(peer) as node,
        ):
            caller = await node.client()
            caller.send(priority_class="book", method="POST", body=b"x")
            assert (await caller.read_response())[0] == 502

    run(scenario())


# ---- bodies


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("size", [100, 70_000, 600_000, BIG])
def test_a_body_of_any_size_reaches_the_server_unchanged(chunked, size):
    got = asyncio.Queue()

    async def handle(reader, writer):
        while True:
            first = await reader.readuntil(b"\r\n\r\n")
            body = b""
            if b"transfer-encoding: chunked" in first:
                while length := int(await reader.readuntil(b"\r\n"), 16):
                    body += await reader.readexactly(length)
                    assert await reader.readexactly(2) == b"\r\n"
                await reader.readexactly(2)
            else:
                length = int(first.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                body = await reader.readexactly(length)
            got.put_nowait((first, body))
            writer.write(reply(200, b"ok"))

    async def scenario():
        body = (bytes(range(251)) * (size // 251 + 1))[:size]
        async with RawServer(handle) as server, RunningNode(server) as node:
            caller = await node.client()
            for i in range(2):  # the connection is kept
                line = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {size}"
                caller.writer.write(head("POST", "/api", line, ident=f"big-{i}"))
                if chunked:
                    for at in range(0, size, 50_000):
                        part = body[at : at + 50_000]
                        caller.writer.write(b"%x;ext=1\r\n%b\r\n" % (len(part), part))
                    caller.writer.write(b"0\r\nX-Trailer: t\r\n\r\n")
                else:
                    caller.writer.write(body)
                assert (await caller.read_response())[0] == 200
                first, seen = await with_timeout(got.get())
                assert seen == body
                assert b"x-trailer" not in first
            assert node.node.server.body_buffers.used == 0

    run(scenario())


@pytest.mark.parametrize("gone", [False, True])
def test_a_long_body_is_streamed_before_it_is_complete_and_its_time_counts_from_its_end(gone):
    began = asyncio.Event()

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(500_000)
        began.set()
        await reader.readexactly(BIG - 500_000)
        writer.write(reply(200))

    async def scenario():
        async with RawServer(handle) as server, RunningNode(server) as node:
            caller = await node.client()
            caller.writer.write(
                head(
                    "POST",
                    "/api",
                    f"Content-Length: {BIG}",
                    "X-Timeout: 300m",
                    priority_class="brief",
                )
            )
            caller.writer.write(b"x" * 1_000_000)
            await with_timeout(began.wait())
            await asyncio.sleep(0.6)  # longer than the request may take, once it is whole
            if gone:  # the request keeps the time that it was taken with
                classes = [c for c in SETTINGS["classes"] if c["name"] != "brief"]
                node.node.configure(read_settings(SETTINGS | {"classes": classes}))
            caller.writer.write(b"x" * (BIG - 1_000_000))
            assert (await caller.read_response())[0] == 200

    run(scenario())


@pytest.mark.parametrize("end", ["stall", "close", "reset"])
def test_a_body_that_never_becomes_complete_never_becomes_a_request(monkeypatch, end):
    monkeypatch.setattr(connection_limits, "CLIENT_TIMEOUT_US", 300_000)
    short, begun, left = [], asyncio.Event(), asyncio.Event()

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        begun.set()
        try:
            await reader.readexactly(BIG)
        except (asyncio.IncompleteReadError, ConnectionError) as e:
            short.append(getattr(e, "partial", b""))
        left.set()

    async def scenario():
        async with RawServer(handle) as server, RunningNode(server) as node:
            caller = await node.client()
            caller.writer.write(head("POST", "/api", f"Content-Length: {BIG}"))
            caller.writer.write(b"x" * (BIG - 1))
            await with_timeout(begun.wait())  # for a client that ended before, nothing would begin
            if end == "close":
                caller.writer.write_eof()
            elif end == "reset":
                caller.close()
            await with_timeout(left.wait())
            assert len(short) == 1
            if end == "stall":
                assert (await with_timeout(caller.reader.read())).startswith(b"HTTP/1.1 408 ")
            await until(
                lambda: not (node.node.forwarder.requests or node.node.server.limits.connections)
            )

    run(scenario())


@pytest.mark.parametrize(
    ("said", "status"),
    [
        (reply(503, b"", "X-Not-Processed: 1"), 503),
        (b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", 503),
    ],
)
def test_a_request_that_is_answered_before_its_body_is_complete_is_answered_at_once_and_not_retried(
    said, status
):
    """Turned away, or broken off before its last byte: it never ran, and its body is gone."""

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(said)
        await reader.read(100_000)

    async def scenario():
        async with RawServer(handle) as server, RunningNode(server) as node:
            caller = await node.client()
            caller.writer.write(head("POST", "/api", f"Content-Length: {BIG}"))
            caller.writer.write(b"x" * (BIG // 2))
            first = await with_timeout(caller.reader.readuntil(b"\r\n\r\n"))
            assert first.startswith(b"HTTP/1.1 %d " % status)
            caller.writer.write(
                b"x" * (BIG // 2)
            )  # what still comes is read, so that nothing resets the answer
            await caller.writer.drain()
            assert await caller.read_until_close() == b""
            assert server.connections == 1

    run(scenario())


def test_a_client_that_writes_while_the_server_does_not_read_is_held_back_and_not_given_up(
    monkeypatch,
):
    monkeypatch.setattr(connection_limits, "CLIENT_TIMEOUT_US", 200_000)
    go = asyncio.Event()

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.transport.pause_reading()
        await go.wait()
        writer.transport.resume_reading()
        await reader.readexactly(20_000_000)
        writer.write(reply(200))

    async def scenario():
        async with RawServer(handle) as server, RunningNode(server) as node:
            caller = await node.client()
            caller.writer.write(head("POST", "/api", "Content-Length: 20000000"))
            caller.writer.write(b"x" * 20_000_000)
            await until(lambda: node.node.server.limits.connections)
            [one] = node.node.server.limits.connections
            await until(lambda: one.parser.body_is_held_back())
            await asyncio.sleep(0.7)
            assert (
                one.parser.streamed_request.streamed_body.buffered_bytes
                < STREAM_WINDOW_BYTES
                + server_connection.READ_BYTES
                + request_parser.MAX_BUFFERED_BODY_BYTES
            )
            go.set()
            assert (await caller.read_response())[0] == 200

    run(scenario())


def test_many_bodies_are_buffered_within_a_limit_then_streamed():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as peer, RunningNode(peer) as node:
            node.node.server.body_buffers.limit = 300_000
            all_ = [await node.client() for _ in range(8)]
            for i, caller in enumerate(all_):
                caller.writer.write(head("POST", "/api", "Content-Length: 200000", ident=f"h-{i}"))
                caller.writer.write(b"x" * 199_999)
            await until(
                lambda: (
                    not (
                        node.node.server.body_buffers.used < 150_000
                        or len(node.node.forwarder.requests) < 5
                    )
                )
            )
            assert node.node.server.body_buffers.used <= 500_000
            for caller in all_:
                caller.writer.write(b"x")
                assert (await caller.read_response())[0] == 200
            assert node.node.server.body_buffers.used == 0

    run(scenario())


# ---- forms of HTTP/1.1


def test_a_client_that_expects_100_gets_it_before_its_body_and_behind_earlier_responses():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as peer, RunningNode(peer) as node:
            caller = await node.client()
            expects = head("POST", "/api", "Content-Length: 4", "Expect: 100-continue")
            caller.writer.write(expects)
            assert (
                await with_timeout(caller.reader.readuntil(b"\r\n\r\n"))
                == b"HTTP/1.1 100 Continue\r\n\r\n"
            )
            caller.writer.write(b"body")
            assert (await caller.read_response())[0] == 200
            assert "expect" not in (await with_timeout(peer.requests.get())).headers
            caller.writer.write(
                head("GET", priority_class="look", ident="a") + expects.replace(b"big-1", b"big-2")
            )
            assert (await caller.read_response())[0] == 200
            assert (
                await with_timeout(caller.reader.readuntil(b"\r\n\r\n"))
                == b"HTTP/1.1 100 Continue\r\n\r\n"
            )
            caller.writer.write(b"body")
            assert (await caller.read_response())[0] == 200

    run(scenario())


def test_requests_in_pieces_of_one_byte_with_space_round_values_are_served():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200, b"car")) as peer, RunningNode(peer) as node:
            caller = await node.client()
            raw = head(
                "GET", "http://app.svc/api?x=1", "X-Timeout: \t 5000m ", priority_class="look \t"
            )
            for at in range(len(raw)):
                caller.writer.write(raw[at : at + 1])
                await caller.writer.drain()
                if at % 10 == 0:
                    await asyncio.sleep(0)
            assert (await caller.read_response())[2] == b"car"
            assert (await with_timeout(peer.requests.get())).url == "/api?x=1"

    run(scenario())


def test_an_old_client_that_keeps_its_connection_is_told_so():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200, b"car")) as peer, RunningNode(peer) as node:
            caller = await node.client()
            for i in range(2):
                raw = head(
                    "GET", "/api", "Connection: keep-alive", priority_class="look", ident=f"o-{i}"
                )
                caller.writer.write(raw.replace(b"HTTP/1.1", b"HTTP/1.0"))
                status, headers, _ = await caller.read_response()
                assert (status, headers["connection"]) == (200, "keep-alive")
            caller.writer.write(
                head("GET", priority_class="look", ident="o-3").replace(b"HTTP/1.1", b"HTTP/1.0")
            )
            assert (await caller.read_response())[1]["connection"] == "close"
            assert await caller.read_until_close() == b""

    run(scenario())


def test_a_server_that_writes_its_answer_in_slow_pieces_is_waited_for():
    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 103 Early Hints\r\n\r\n")
        for byte in b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nslow!":
            writer.write(bytes([byte]))
            await asyncio.sleep(0.02)

    async def scenario():
        async with RawServer(handle) as server, RunningNode(server) as node:
            caller = await node.client()
            caller.send(priority_class="book", method="POST", body=b"x")
            assert (await caller.read_response())[2] == b"slow!"

    run(scenario())
