"""An invalid response of discovery leaves the list as it is, and the next list is known in time."""

import asyncio
import json
import time
import tracemalloc

import pytest
from peers import endpoint, listing, read_message, reply, run, with_timeout

from oakbridge.node.discovery import DiscoverySource
from oakbridge.node.list_refresh import MAX_LIST_AGE_S

CHUNK = b"x" * 65_536
HEAD = b"HTTP/1.1 200 OK\r\n"
MAX_GROWTH_BYTES = 16 * 1024 * 1024


def list_response(version: int) -> bytes:
    return reply(200, json.dumps(listing(version, endpoint("s", version))).encode())


async def write_endlessly(writer: asyncio.StreamWriter, start: bytes, part: bytes) -> None:
    writer.write(start)
    while True:
        writer.write(part)
        await writer.drain()


async def write_slowly(writer: asyncio.StreamWriter) -> None:
    for byte in list_response(2):
        writer.write(bytes([byte]))
        await asyncio.sleep(0.3)


async def write(writer: asyncio.StreamWriter, response: bytes) -> None:
    writer.write(response)
    await writer.drain()


def response_with_body(body: bytes):
    return lambda writer: write(writer, reply(200, body))


def response_with_length(length: int, body: bytes):
    head = HEAD + b"Content-Length: %d\r\n\r\n" % length
    return lambda writer: write(writer, head + body)


INVALID_RESPONSES = {
    "no JSON": (response_with_body(b"no list"), "Expecting value"),
    "no text": (response_with_body(b"\xff\xff\xff\xff"), "utf-8"),
    "nested too deep": (response_with_body(b"[" * 100_000), "recursion"),
    "no object": (response_with_body(b"[]"), "expected an object with a list of endpoints"),
    "a name twice": (
        response_with_body(json.dumps(listing(2, endpoint("s", 1), endpoint("s", 2))).encode()),
        "expected each name once, got 's' 2 times",
    ),
    "an address that can't be used": (
        response_with_body(json.dumps(listing(2, endpoint("s", 70_000))).encode()),
        r"endpoints[0].address: expected a port below 65536",
    ),
    "a weight that is no number": (
        response_with_body(
            json.dumps(listing(2, endpoint("s", 1) | {"weight": float("nan")})).encode()
        ),
        r"endpoints[0].weight: expected",
    ),
    "another status": (lambda writer: write(writer, reply(500)), "expected status 200, got 500"),
    "no HTTP": (lambda writer: write(writer, b"SSH-2.0-server\r\n"), "expected HTTP/1.1"),
    "a length that is too short": (response_with_length(10, list_response(2)), ""),
    "a length that is too long": (response_with_length(10_000, b'{"index": 2}'), "TimeoutError"),
    "a length that is no number": (
        lambda writer: write(writer, HEAD + b"Content-Length: ten\r\n\r\n"),
        "expected HTTP/1.1",
    ),
    "an endless head": (
        lambda writer: write_endlessly(writer, HEAD, b"X-A: " + CHUNK + b"\r\n"),
        "",
    ),
    "an endless header": (lambda writer: write_endlessly(writer, HEAD + b"X-A: ", CHUNK), ""),
    "endless interim responses": (
        lambda writer: write_endlessly(writer, b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
        "bytes",
    ),
    "an endless body": (lambda writer: write_endlessly(writer, HEAD + b"\r\n", CHUNK), "bytes"),
    "a byte now and then": (write_slowly, "TimeoutError"),
}


class DiscoveryWithOneInvalidResponse:
    """Responds to the first request with version 1, to the second invalidly, to others with 3."""

    def __init__(self, write_invalid_response) -> None:
        self._write_invalid_response = write_invalid_response
        self.requests = 0
        self.invalid_at = 0.0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await read_message(reader)
            self.requests += 1
            if self.requests == 2:
                self.invalid_at = time.monotonic()
                await self._write_invalid_response(writer)
                await asyncio.sleep(10.0)
            await write(writer, list_response(1 if self.requests == 1 else 3))
        except (OSError, EOFError):
            pass
        finally:
            writer.close()


class ListRecorder:
    """Records the versions of received lists."""

    def __init__(self) -> None:
        self.versions: list[int] = []
        self.newest_at = 0.0
        self.has_newest = asyncio.Event()

    def prepare(self, endpoints) -> None:
        """Do nothing: endpoint lists may name any server."""

    def on_endpoint_list(self, new, *, saved=False) -> None:
        if new.version not in self.versions:
            self.versions.append(new.version)
        if new.version == 3:
            self.newest_at = time.monotonic()
            self.has_newest.set()


@pytest.mark.parametrize("name", INVALID_RESPONSES)
def test_list_before_an_invalid_response_stays_and_the_next_is_known_in_time(name, caplog):
    write_invalid_response, expected_error = INVALID_RESPONSES[name]

    async def scenario():
        discovery, lists = DiscoveryWithOneInvalidResponse(write_invalid_response), ListRecorder()
        server = await asyncio.start_server(discovery.serve, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        source = DiscoverySource(address, pushed=False, poll_interval_us=10_000_000)
        source.attach(lists)
        tracemalloc.start()
        source.watch(True)
        await with_timeout(lists.has_newest.wait())
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        source.stop()
        server.close()
        assert lists.versions == [1, 3]
        assert lists.newest_at - discovery.invalid_at < MAX_LIST_AGE_S
        assert peak_bytes < MAX_GROWTH_BYTES

    run(scenario())
    messages = [record.getMessage() for record in caplog.records]
    failures = [text for text in messages if text.startswith("discovery request failed:")]
    assert len(failures) == 1
    assert expected_error in failures[0]
