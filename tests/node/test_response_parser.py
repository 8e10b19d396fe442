"""The results of attempts for the bytes that a server sends over loopback."""

import asyncio

import pytest
from peers import ScriptedServer, reply, run, with_timeout
from pool_harness import LONG_US, PoolHarness, accept, listening_socket

from oakbridge.node.response_timers import STALL_TIMEOUT_US
from oakbridge.policy.events import AttemptResult


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        (reply(200, b"car 7"), AttemptResult.OK),
        (reply(200), AttemptResult.OK),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + reply(200, b"car 7"), AttemptResult.OK),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ncar\r\n0\r\n\r\n",
            AttemptResult.OK,
        ),
        (reply(500), AttemptResult.ERROR),
        (reply(404), AttemptResult.ERROR),
        (reply(204), AttemptResult.ERROR),
        (reply(503, b"", "X-Not-Processed: 1"), AttemptResult.REJECTED),
        (reply(504, b"", "x-not-processed: 1"), AttemptResult.REJECTED),
        (reply(500, b"", "X-Not-Processed: 1"), AttemptResult.ERROR),
        (reply(503), AttemptResult.ERROR),
        ("close", AttemptResult.RESET),
        (b"SSH-2.0-what\r\n\r\n", AttemptResult.RESET),
        (b"HTTP/1.1 200 OK\r\nContent-Length: nine\r\n\r\n", AttemptResult.RESET),
        (reply(200, b"x" * (64 * 1024 + 1)), AttemptResult.RESET),
        (b"HTTP/1.1 101 Up\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", AttemptResult.ERROR),
        (b"HTTP/1.1 200 OK\r\nX-Long: " + b"x" * 200_000, AttemptResult.RESET),
    ],
)
def test_result_of_a_response(response, expected):
    async def scenario():
        async with ScriptedServer(lambda _: response) as server:
            assert await PoolHarness(server.port).result() == expected

    run(scenario())


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncar",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ncar\r\n",
        b"HTTP/1.1 200 OK\r\nX-Half",
    ],
)
def test_response_that_breaks_off_is_a_reset(response):
    async def scenario():
        with listening_socket() as listener:
            _, end = PoolHarness(listener.getsockname()[1]).send()
            with await accept(listener) as sock:
                sock.recv(1000)
                sock.sendall(response)
            assert (await with_timeout(end)).result == AttemptResult.RESET

    run(scenario())


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nabc", AttemptResult.RESET),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nabc", AttemptResult.RESET),
        (b"HTTP/1.1 200 OK\r\nX-Endless: ", AttemptResult.RESET),
        (b"HTTP/1.1 200 OK\r\n\r\nabc", AttemptResult.RESET),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            AttemptResult.RESET,
        ),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            AttemptResult.RESET,
        ),
        (b"HTTP/1.1 103 Early\r\n\r\n" * 5_000, AttemptResult.RESET),
        (b"HTTP/1.1 103 Early\r\nContent-Length: 7\r\n\r\n" + reply(200, b"car"), AttemptResult.OK),
    ],
)
def test_invalid_response_ends_its_attempt_long_before_the_deadline(response, expected):
    """Guards against waiting until the deadline for a response that will never be complete."""

    async def scenario():
        async with ScriptedServer(lambda _: response) as server:
            harness = PoolHarness(server.port)
            assert await harness.result(timeout=1000 * LONG_US, can_retry=True) == expected

    run(scenario())


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nX-Endless: ",
        b"HTTP/1.1 200 OK\r\n\r\nabc",
    ],
)
def test_incomplete_response_to_a_request_that_is_not_retried_is_waited_for(response):
    """Guards against an end before the deadline: the server may go on after a pause."""
    timeout_s = STALL_TIMEOUT_US / 1e6 + 0.3

    async def scenario():
        async with ScriptedServer(lambda _: response) as server:
            loop = asyncio.get_running_loop()
            began = loop.time()
            result = await PoolHarness(server.port).result(timeout=int(timeout_s * 1e6))
            assert result == AttemptResult.TIMEOUT
            assert loop.time() - began >= timeout_s

    run(scenario())


@pytest.mark.parametrize(
    "response", [reply(200, b"", "Connection: close"), reply(200) + b"more", reply(200) * 2]
)
def test_connection_is_not_reused_after_its_close_was_announced_or_with_extra_bytes(response):
    async def scenario():
        async with ScriptedServer(lambda _: response) as server:
            harness = PoolHarness(server.port)
            assert [await harness.result() for _ in range(2)] == [AttemptResult.OK] * 2
            assert server.connections == 2

    run(scenario())
