"""Responses in which the server pauses: which are waited for, passed on early, or given up."""

import asyncio
from dataclasses import dataclass

import pytest
from peers import SETTINGS, RunningNode, reply, run, until, with_timeout
from raw_server import RawServer

from oakbridge.node import response_timers
from oakbridge.policy.actions import CancelAttempt

PAUSE_S = 1.5
LONG_BYTES = 100_000
FIRST_BYTES = 20_000
BODY_BYTES = 1_000_000  # more than is kept for a retry
BRIEF_S = 0.4  # deadline of the class "brief"
LATE_S = 0.5  # a response that is later than this after its time is lost


@dataclass
class PausingServer:
    """Writes the head and a part of each response, and the rest after a pause."""

    size: int
    first: int
    chunked: bool = False
    pause_s: float = PAUSE_S
    never_goes_on: bool = False
    runs: int = 0

    async def handle(self, reader, writer) -> None:
        while True:
            request = await reader.readuntil(b"\r\n\r\n")
            if b"content-length: 4\r\n" in request.lower():
                await reader.readexactly(4)
            self.runs += 1
            framing = (
                "Transfer-Encoding: chunked" if self.chunked else f"Content-Length: {self.size}"
            )
            writer.write(f"HTTP/1.1 200 OK\r\n{framing}\r\n\r\n".encode() + self._part(self.first))
            await asyncio.sleep(self.pause_s)
            if self.never_goes_on:
                await asyncio.Event().wait()
            writer.write(self._part(self.size - self.first) + b"0\r\n\r\n" * self.chunked)

    def _part(self, size: int) -> bytes:
        if not self.chunked or not size:
            return b"z" * size
        return b"%x\r\n%b\r\n" % (size, b"z" * size)


async def read_whole(client) -> tuple[int, int, float, float]:
    """Return a response's status, the size of its body, and when its first and last bytes came."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    response_head = (await with_timeout(client.reader.readuntil(b"\r\n\r\n"))).lower()
    first_s, received = loop.time() - began, 0
    if b"transfer-encoding: chunked" in response_head:
        while size := int(await with_timeout(client.reader.readuntil(b"\r\n")), 16):
            received += len(await with_timeout(client.reader.readexactly(size + 2))) - 2
        await with_timeout(client.reader.readexactly(2))
    else:
        size = int(response_head.split(b"content-length: ")[1].split(b"\r\n")[0])
        received = len(await with_timeout(client.reader.readexactly(size)))
    return int(response_head.split(b" ")[1]), received, first_s, loop.time() - began


async def ask(server: PausingServer, priority_class: str, **headers):
    """Send a request to a node before a pausing server; return what :func:`read_whole` does."""
    async with RawServer(server.handle) as listening, RunningNode(listening) as node:
        client = await node.client()
        client.send(priority_class, "POST", body=b"trip", **headers)
        return await read_whole(client)


FORMS = [
    PausingServer(LONG_BYTES, 0),
    PausingServer(LONG_BYTES, 0, chunked=True),
    PausingServer(LONG_BYTES, FIRST_BYTES, chunked=True),
    PausingServer(LONG_BYTES, LONG_BYTES - 1),
    PausingServer(FIRST_BYTES, 100),
    PausingServer(FIRST_BYTES, 100, chunked=True),
]


def name_of(server: PausingServer) -> str:
    return f"{'chunks' if server.chunked else 'length'}-{server.first}-of-{server.size}"


# Guards against a response that is cut off after a pause of one second, with time left, and against a
# safe request that is sent again and again while each server pauses.
@pytest.mark.parametrize("server", FORMS, ids=name_of)
@pytest.mark.parametrize("priority_class", ["book", "look"])
def test_response_is_whole_though_its_server_pauses(priority_class, server):
    server.runs = 0
    status, size, _, _ = run(ask(server, priority_class, X_Timeout="4000m"))
    assert (status, size) == (200, server.size)
    is_retried = priority_class == "look" and not server.chunked and server.size == FIRST_BYTES
    assert server.runs <= 3 if is_retried else server.runs == 1


# Guards against a long response that is given up at the deadline though it began in time.
@pytest.mark.parametrize(
    "server",
    [
        PausingServer(LONG_BYTES, 0, pause_s=1.2),
        PausingServer(LONG_BYTES, FIRST_BYTES, chunked=True, pause_s=0.6),
    ],
    ids=name_of,
)
def test_long_response_that_began_in_time_is_whole_though_its_server_pauses_at_the_deadline(server):
    status, size, first_s, _ = run(ask(server, "brief"))
    assert (status, size) == (200, server.size)
    assert first_s <= BRIEF_S


# Guards against the same where the class has less time than the client, and the body is streamed.
def test_long_response_to_a_long_body_is_whole_though_its_server_pauses_at_the_class_deadline():
    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(BODY_BYTES)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG_BYTES)
        await asyncio.sleep(1.2)
        writer.write(b"z" * LONG_BYTES)

    async def scenario():
        async with RawServer(handle) as server, RunningNode(server) as node:
            client = await node.client()
            client.send("brief", "POST", body=b"x" * BODY_BYTES, X_Timeout="5000m")
            assert (await read_whole(client))[:2] == (200, LONG_BYTES)

    run(scenario())


# Guards against a short response that is waited for after its time.
def test_short_response_is_failed_in_time_if_its_server_pauses():
    server = PausingServer(FIRST_BYTES, 100, never_goes_on=True)
    status, _, _, last_s = run(ask(server, "brief"))
    assert status == 502
    assert last_s <= BRIEF_S + LATE_S


# Guards against a response of unknown length that never ends and is never given up.
def test_response_of_unknown_length_is_ended_visibly_after_its_time_if_its_server_pauses():
    server = PausingServer(LONG_BYTES, FIRST_BYTES, chunked=True, never_goes_on=True)
    loop_times = []

    async def scenario():
        loop_times.append(asyncio.get_running_loop().time())
        with pytest.raises(asyncio.IncompleteReadError):
            await ask(server, "brief")
        loop_times.append(asyncio.get_running_loop().time())

    run(scenario())
    assert loop_times[1] - loop_times[0] <= BRIEF_S + LATE_S + 0.5  # the node starts, too


# Guards against a streamed response that a pause ends while its client has time left, or never.
@pytest.mark.parametrize("has_time", [True, False])
def test_pause_in_a_streamed_response_is_limited_after_the_deadline_alone(monkeypatch, has_time):
    monkeypatch.setattr(response_timers, "STREAM_STALL_TIMEOUT_US", 200_000)
    server = PausingServer(3 * LONG_BYTES, LONG_BYTES, never_goes_on=not has_time)

    async def scenario():
        if has_time:
            assert (await ask(server, "book"))[:2] == (200, 3 * LONG_BYTES)
            return
        with pytest.raises(asyncio.IncompleteReadError):
            await ask(server, "brief")

    run(scenario())


# Guards against a request whose one spoilt response takes all of its time.
def test_safe_request_is_retried_if_its_short_response_stops():
    async def handle(reader, writer):
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx"
                if server.connections == 1
                else reply()
            )

    server = RawServer(handle)

    async def scenario():
        async with server, RunningNode(server) as node:
            client = await node.client()
            for _ in range(10):  # requests that fill the retry budget
                client.send(X_Timeout="4000m")
                assert (await client.read_response())[0] == 200
            assert server.connections > 1

    run(scenario())


# Guards against the balancer's cancelling a hung attempt whose long response has begun.
@pytest.mark.parametrize(("size", "status"), [(LONG_BYTES, 200), (FIRST_BYTES, 503)])
def test_attempt_with_a_long_response_is_not_cancelled_for_a_retry(size, status):
    server = PausingServer(size, 0, pause_s=0.6)
    settings = SETTINGS | {"allowed": SETTINGS["allowed"] | {"max-attempts": 1}}

    def has_response(attempt) -> bool:
        connection = attempt and attempt.connection
        return bool(connection and connection._response.started)

    async def scenario():
        async with (
            RawServer(server.handle) as listening,
            RunningNode(listening, settings=settings) as node,
        ):
            client = await node.client()
            client.send("look", "POST", body=b"trip")
            forwarder = node.node.forwarder
            await until(lambda: any(has_response(r.attempt) for r in forwarder.requests.values()))
            [request_id] = forwarder.requests
            forwarder.cancel(CancelAttempt(request_id, 0))
            assert (await read_whole(client))[0] == status

    run(scenario())


# Guards against a node that asks again and again for a client that has gone.
def test_long_response_that_nobody_waits_for_is_given_up_at_its_deadline():
    server = PausingServer(LONG_BYTES, 0, never_goes_on=True)
    settings = SETTINGS | {"allowed": SETTINGS["allowed"] | {"cancelling": False}}

    async def scenario():
        async with (
            RawServer(server.handle) as listening,
            RunningNode(listening, settings=settings) as node,
        ):
            client = await node.client()
            client.send("brief", "POST", body=b"trip")
            await until(lambda: server.runs)
            client.close()
            await until(lambda: not node.node.pool.connection_count)

    run(scenario())
