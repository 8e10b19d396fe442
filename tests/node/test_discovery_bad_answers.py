"""Discovery that answers with what is no list: the list before it stays, and the next one is known in time."""

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


def whole(index: int) -> bytes:
    return reply(200, json.dumps(listing(index, endpoint("s", index))).encode())


async def endless(writer: asyncio.StreamWriter, begin: bytes, part: bytes) -> None:
    writer.write(begin)
    while True:
        writer.write(part)
        await writer.drain()


async def slow(writer: asyncio.StreamWriter) -> None:
    for byte in whole(2):
        writer.write(bytes([byte]))
        await asyncio.sleep(0.3)


async def write(writer: asyncio.StreamWriter, answer: bytes) -> None:
    writer.write(answer)
    await writer.drain()


def body_answer(body: bytes):
    return lambda writer: write(writer, reply(200, body))


def length_answer(told: int, body: bytes):
    head = HEAD + b"Content-Length: %d\r\n\r\n" % told
    return lambda writer: write(writer, head + body)


BAD_ANSWERS = {
    "no JSON": (body_answer(b"no list"), "Expecting value"),
    "no text": (body_answer(b"\xff\xff\xff\xff"), "utf-8"),
    "nested too deep": (body_answer(b"[" * 100_000), "recursion"),
    "no object": (body_answer(b"[]"), "expected an object with a list of endpoints"),
    "a name twice": (
        body_answer(json.dumps(listing(2, endpoint("s", 1), endpoint("s", 2))).encode()),
        "expected each name once, got 's' 2 times",
    ),
    "an address that can't be used": (
        body_answer(json.dumps(listing(2, endpoint("s", 70_000))).encode()),
        r"endpoints[0].address: expected a port below 65536",
    ),
    "a weight that is no number": (
        body_answer(json.dumps(listing(2, endpoint("s", 1) | {"weight": float("nan")})).encode()),
        r"endpoints[0].weight: expected",
    ),
    "another status": (lambda writer: write(writer, reply(500)), "expected status 200, got 500"),
    "no HTTP": (lambda writer: write(writer, b"SSH-2.0-server\r\n"), "expected HTTP/1.1"),
    "a length that is too short": (length_answer(10, whole(2)), ""),
    "a length that is too long": (length_answer(10_000, b'{"index": 2}'), "TimeoutError"),
    "a length that is no number": (
        lambda writer: write(writer, HEAD + b"Content-Length: ten\r\n\r\n"),
        "expected HTTP/1.1",
    ),
    "an endless head": (lambda writer: endless(writer, HEAD, b"X-A: " + CHUNK + b"\r\n"), ""),
    "an endless header": (lambda writer: endless(writer, HEAD + b"X-A: ", CHUNK), ""),
    "endless interim answers": (
        lambda writer: endless(writer, b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
        "bytes",
    ),
    "an endless body": (lambda writer: endless(writer, HEAD + b"\r\n", CHUNK), "bytes"),
    "a byte now and then": (slow, "TimeoutError"),
}


class BadOnce:
    """Answers a call with version 1, one badly, and those after it with version 3."""

    def __init__(self, answer) -> None:
        self._answer = answer
        self.calls = 0
        self.bad_at = 0.0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await read_message(reader)
            self.calls += 1
            if self.calls == 2:
                self.bad_at = time.monotonic()
                await self._answer(writer)
                await asyncio.sleep(10.0)
            await write(writer, whole(1 if self.calls == 1 else 3))
        except (OSError, EOFError):
            pass
        finally:
            writer.close()


class Lists:
    """Keeps the lists that come."""

    def __init__(self) -> None:
        self.versions: list[int] = []
        self.newest_at = 0.0
        self.has_newest = asyncio.Event()

    def prepare(self, endpoints) -> None:
        """Ready for any."""

    def on_endpoint_list(self, new, *, saved=False) -> None:
        if new.version not in self.versions:
            self.versions.append(new.version)
        if new.version == 3:
            self.newest_at = time.monotonic()
            self.has_newest.set()


@pytest.mark.parametrize("name", BAD_ANSWERS)
def test_list_before_a_bad_answer_stays_and_the_next_is_known_in_time(name, caplog):
    answer, expectation = BAD_ANSWERS[name]

    async def scenario():
        discovery, lists = BadOnce(answer), Lists()
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
        assert lists.newest_at - discovery.bad_at < MAX_LIST_AGE_S
        assert peak_bytes < MAX_GROWTH_BYTES

    run(scenario())
    messages = [record.getMessage() for record in caplog.records]
    failures = [text for text in messages if text.startswith("discovery request failed:")]
    assert len(failures) == 1
    assert expectation in failures[0]
