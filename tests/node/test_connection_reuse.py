"""What a connection to a server keeps from one request to the next."""

import asyncio
import contextlib

import pytest
from peers import ScriptedServer, reply, run, with_timeout
from pool_harness import GET, LONG_US, PoolHarness

from oakbridge.node.attempt import Attempt
from oakbridge.node.connection_pool import MIN_IDLE_US
from oakbridge.node.request_writer import EncodedRequest
from oakbridge.policy.events import AttemptResult

LONG_BODY = b"z" * 100_000


class SlowSink:
    """A client that is full after each part, and reads all but the last ones in time."""

    def __init__(self, connection, *, resumes: bool) -> None:
        self._connection, self._resumes = connection, resumes
        self.received = 0
        self.paused_at_end = False

    def write_body(self, data: bytes) -> None:
        self.received += len(data)
        self._connection.pause()
        if self._resumes or self.received < len(LONG_BODY):
            self._connection.resume()

    def finish_response(self) -> None:
        self.paused_at_end = self._connection.paused

    def abort_response(self) -> None:
        raise AssertionError("the response was broken off")


async def read_long_response(harness: PoolHarness, *, resumes: bool) -> SlowSink:
    """Send a request whose response is streamed to a slow client; return that client."""
    end = asyncio.get_running_loop().create_future()
    sinks = []

    def open_sink(_, __, connection):
        sinks.append(SlowSink(connection, resumes=resumes))
        return sinks[-1]

    harness.pool.send(
        Attempt(
            "s",
            lambda _: EncodedRequest(GET),
            harness.clock.now() + LONG_US,
            end.set_result,
            on_response_start=open_sink,
        )
    )
    assert (await with_timeout(end)).result == AttemptResult.OK
    return sinks[0]


@contextlib.asynccontextmanager
async def connection_after_long_response(*, resumes: bool):
    """Give a pool whose one connection has carried a long response, and its server."""
    bodies = iter([LONG_BODY])
    async with ScriptedServer(lambda _: reply(200, next(bodies, b""))) as server:
        harness = PoolHarness(server.port)
        sink = await read_long_response(harness, resumes=resumes)
        assert (sink.received, sink.paused_at_end) == (len(LONG_BODY), not resumes)
        await asyncio.sleep(2 * MIN_IDLE_US / 1e6)
        yield harness, server


# Guards against a connection whose next response is not read, as it was paused for a slow client.
@pytest.mark.parametrize("resumes", [True, False])
def test_response_is_read_on_a_connection_that_a_slow_client_had_paused(resumes):
    async def scenario():
        async with connection_after_long_response(resumes=resumes) as (harness, server):
            assert await harness.result(timeout=2_000_000) == AttemptResult.OK
            assert server.connections == 1

    run(scenario())


# Guards against an idle connection that is not read: its server's close would not be noticed.
@pytest.mark.parametrize("resumes", [True, False])
@pytest.mark.parametrize("stray", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"])
def test_idle_connection_that_a_slow_client_had_paused_is_watched(stray, resumes):
    async def scenario():
        async with connection_after_long_response(resumes=resumes) as (harness, server):
            if stray:
                server.writers[0].write(stray)
            else:
                server.writers[0].write_eof()
            assert await with_timeout(server.closed_connections.get()) == 1
            assert harness.pool.connection_count == 0

    run(scenario())
