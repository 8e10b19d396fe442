"""Requests that offer to continue in another protocol: they are served as if no offer were made."""

import asyncio
import itertools
from types import SimpleNamespace

import pytest
from peers import RunningNode, reply, run, with_timeout
from raw_server import RawServer, head

from oakbridge.node.memory_account import MemoryAccount
from oakbridge.node.request_parser import MAX_BUFFERED_BODY_BYTES, RequestParser

H2C = ("Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c", "HTTP2-Settings: AAMAAABkAAQAAP__")
WEBSOCKET = ("connection: keep-alive, upgrade", "UPGRADE: WebSocket", "Sec-WebSocket-Version: 13")
PROXY = ("Upgrade: TLS/1.0, HTTP/2.0", "Proxy-Connection: Upgrade")
SEVERAL = ("Upgrade: a", "Upgrade: b", "Connection: upgrade", "Connection: keep-alive")
OFFERS = [H2C, WEBSOCKET, PROXY, SEVERAL]
SHORT_BODY = b"a booking of a car"
LONG_BODY = bytes(range(250)) * (MAX_BUFFERED_BODY_BYTES // 250 + 400)


def with_body(lines, body: bytes, *, chunked: bool, request_id: str) -> list[bytes]:
    """Return the parts of a request: its head, and its body in pieces."""
    pieces = [body[at : at + 100_000] for at in range(0, len(body), 100_000)]
    if not chunked:
        return [
            head("POST", "/api", *lines, f"Content-Length: {len(body)}", request_id=request_id),
            *pieces,
        ]
    chunks = [b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces]
    request_head = head("POST", "/api", *lines, "Transfer-Encoding: chunked", request_id=request_id)
    return [request_head, *chunks, b"0\r\n\r\n"]


class RecordingServer(RawServer):
    """A server that keeps the heads and bodies of its requests, and responds 200 to each."""

    def __init__(self) -> None:
        super().__init__(self._respond)
        self.heads: list[bytes] = []
        self.bodies: list[bytes] = []

    async def _respond(self, reader, writer) -> None:
        while True:
            self.heads.append((await reader.readuntil(b"\r\n\r\n")).lower())
            self.bodies.append(await self._body(reader))
            writer.write(reply(200, b"%d" % len(self.bodies[-1])))

    async def _body(self, reader) -> bytes:
        if b"transfer-encoding: chunked" not in self.heads[-1]:
            length = self.heads[-1].partition(b"content-length: ")[2].partition(b"\r\n")[0]
            return await reader.readexactly(int(length or b"0"))
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
        return body


@pytest.mark.parametrize("offer", OFFERS)
@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("body", [b"", SHORT_BODY, LONG_BODY], ids=["empty", "short", "long"])
@pytest.mark.parametrize("late", [False, True])
def test_request_with_an_offer_is_served_with_its_whole_body(offer, chunked, body, late):
    """Guards against a booking that runs with an empty body, is answered 200, and is lost."""

    async def scenario():
        async with RecordingServer() as server, RunningNode(server) as node:
            client = await node.client()
            for i in range(2):  # both on one connection
                for part in with_body(offer, body, chunked=chunked, request_id=f"r-{i}"):
                    client.writer.write(part)
                    if late:
                        await client.writer.drain()
                        await asyncio.sleep(0.01)
                status, _, text = await client.read_response()
                assert (status, text) == (200, b"%d" % len(body))
            client.send(Connection="close")
            assert (await client.read_until_close()).count(b"HTTP/1.1 ") == 1
            assert server.bodies == [body, body, b""]
            assert not any(b"\r\nupgrade:" in request_head for request_head in server.heads)

    run(scenario())


def test_client_with_an_offer_gets_100_continue_before_it_sends_the_body():
    async def scenario():
        async with RecordingServer() as server, RunningNode(server) as node:
            client = await node.client()
            [request_head, body] = with_body(
                [*H2C, "Expect: 100-continue"], SHORT_BODY, chunked=False, request_id="r-1"
            )
            client.writer.write(request_head)
            interim = await with_timeout(client.reader.readuntil(b"\r\n\r\n"))
            assert interim == b"HTTP/1.1 100 Continue\r\n\r\n"
            client.writer.write(body)
            assert (await client.read_response())[0] == 200
            assert server.bodies == [SHORT_BODY]

    run(scenario())


def test_pipelined_requests_with_and_without_offers_are_all_served():
    async def scenario():
        async with RecordingServer() as server, RunningNode(server) as node:
            client = await node.client()
            offers = [(), H2C, WEBSOCKET, (), PROXY, H2C]
            requests = [
                with_body(offer, b"%d" % i * (i + 1), chunked=i % 2 == 0, request_id=f"r-{i}")
                for i, offer in enumerate(offers)
            ]
            client.writer.write(b"".join(itertools.chain.from_iterable(requests)))
            for i in range(len(offers)):
                assert (await client.read_response())[::2] == (200, b"%d" % (i + 1))
            assert server.bodies == [b"%d" % i * (i + 1) for i in range(len(offers))]

    run(scenario())


@pytest.mark.parametrize("lines", [(), ("Content-Length: 4",), H2C, ("Expect: 100-continue",)])
def test_connect_gets_one_405_and_what_follows_is_not_taken_for_requests(lines):
    """Guards against bytes of a tunnel that run as a request, and a second response."""

    async def scenario():
        async with RecordingServer() as server, RunningNode(server) as node:
            client = await node.client()
            [first] = with_body((), b"", chunked=False, request_id="r-1")
            [hidden] = with_body((), b"", chunked=False, request_id="r-2")
            connect = head("CONNECT", "db.svc:5432", *lines, request_id="r-3")
            client.writer.write(first + connect + b"abcd" + hidden)
            assert (await client.read_response())[0] == 200
            rest = (await client.read_until_close()).removeprefix(b"HTTP/1.1 100 Continue\r\n\r\n")
            assert rest.startswith(b"HTTP/1.1 405 ")
            assert b"connection: close" in rest
            assert rest.count(b"HTTP/1.1 ") == 1
            assert len(server.bodies) == 1
            assert node.node.server.invariants.total() == 0

    run(scenario())


class ParsedRequests:
    """Stands in for a client's connection, and keeps what the parser passes on."""

    def __init__(self, pieces) -> None:
        self.requests: list[tuple] = []
        self.read_delay = SimpleNamespace(last_sent_at=lambda: 0)
        parser = RequestParser(self, MemoryAccount())
        for piece in pieces:
            parser.feed(memoryview(piece))
        assert (parser.error_status, parser.in_progress()) == (0, False)

    def on_head(self) -> None:
        self.requests.append(("head",))

    def on_request(self, request) -> None:
        headers = [h for h in request.headers if h[0] not in (b"upgrade", b"connection")]
        framing = (request.keep_alive, request.http10)
        self.requests.append((request.method, request.target, headers, request.body, framing))


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
def test_offer_changes_nothing_wherever_the_reads_divide_a_request(chunked, version):
    plain, offering = (
        b"".join(
            itertools.chain.from_iterable(
                with_body(headers, SHORT_BODY, chunked=chunked, request_id=f"r-{i}")
                for i in range(2)
            )
        ).replace(b"HTTP/1.1", version)
        for headers in (
            ["Connection: keep-alive"],
            ["Connection: keep-alive, Upgrade", "Upgrade: h2c"],
        )
    )
    expected = ParsedRequests([plain]).requests
    assert [request[3] for request in expected if len(request) > 1] == [SHORT_BODY, SHORT_BODY]
    for at in range(1, len(offering)):
        assert ParsedRequests([offering[:at], offering[at:]]).requests == expected
    assert ParsedRequests([offering[i : i + 1] for i in range(len(offering))]).requests == expected
