"""One server connection over loopback: dials, writes, deadlines, and if a request may have run."""

import asyncio
import socket

import pytest
from peers import ScriptedServer, reply, run, silent_listener, until, with_timeout
from pool_harness import GET, LONG_US, PoolHarness, accept, late_listener, listening_socket

from oakbridge.node.attempt import Attempt
from oakbridge.policy.events import AttemptResult


def test_missing_response_times_out_and_closes_the_connection():
    async def scenario():
        async with ScriptedServer(lambda _: None) as server:
            assert await PoolHarness(server.port).result(timeout=50_000) == AttemptResult.TIMEOUT
            assert await with_timeout(server.closed_connections.get()) == 1

    run(scenario())


def test_refused_connection_means_that_the_request_has_not_run():
    async def scenario():
        with listening_socket() as listener:
            port = listener.getsockname()[1]
        assert await PoolHarness(port).result() == AttemptResult.CONNECT_FAILED

    run(scenario())


@pytest.mark.parametrize(("connect_timeout", "timeout"), [(50_000, LONG_US), (LONG_US, 50_000)])
def test_dial_that_times_out_means_that_the_request_has_not_run(connect_timeout, timeout):
    async def scenario():
        listener, fillers = silent_listener()
        harness = PoolHarness(listener.getsockname()[1], connect_timeout)
        assert await harness.result(timeout=timeout) == AttemptResult.CONNECT_FAILED
        assert harness.pool.connection_count == 0
        for sock in [listener, *fillers]:
            sock.close()

    run(scenario())


@pytest.mark.parametrize("breaks", [True, False])
def test_request_whose_last_byte_was_never_written_has_not_run(breaks):
    """Only bytes that the socket has taken count as written."""

    async def scenario():
        with listening_socket() as listener:
            _, end = PoolHarness(listener.getsockname()[1]).send(
                b"x" * 50_000_000, LONG_US if breaks else 100_000
            )
            with await accept(listener) as sock:
                sock.recv(1000)
                if not breaks:
                    assert (await with_timeout(end)).result == AttemptResult.CONNECT_FAILED
            assert (await with_timeout(end)).result == AttemptResult.CONNECT_FAILED

    run(scenario())


def test_cancelled_attempt_has_its_connection_closed_at_once():
    """Not in the loop's next iteration: the next attempt may be sent before that."""

    async def scenario():
        with listening_socket() as listener:
            harness = PoolHarness(listener.getsockname()[1])
            attempt, end = harness.send()
            with await accept(listener) as sock:
                assert sock.recv(1000) == GET
                harness.pool.cancel(attempt)
                assert sock.recv(1000) == b""  # the loop has not run in between
                assert end.result().result == AttemptResult.CANCELLED

    run(scenario())


def test_response_before_the_request_is_written_is_not_used():
    """It can't be the response to this request, which has not run."""

    async def scenario():
        with listening_socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            _, end = PoolHarness(listener.getsockname()[1]).send(
                GET[:-2] + b"\r\n" + b"x" * 8_000_000
            )
            with await accept(listener) as sock:
                sock.sendall(reply(200, b"early"))
                assert (await with_timeout(end)).result == AttemptResult.CONNECT_FAILED

    run(scenario())


def test_timeout_written_to_the_server_accounts_for_a_slow_dial():
    async def scenario():
        async with late_listener() as (port, accept_all):
            harness = PoolHarness(port)
            timeouts_us, due = [], harness.clock.now() + LONG_US
            attempt = Attempt(
                "s", lambda timeout_us: timeouts_us.append(timeout_us) or GET, due, lambda end: None
            )
            harness.pool.send(attempt)
            await asyncio.sleep(0.1)
            assert not timeouts_us
            accepted_at = harness.clock.now()
            accept_all()
            await until(lambda: timeouts_us)
            assert due - harness.clock.now() <= timeouts_us[0] <= due - accepted_at
            harness.pool.cancel(attempt)

    run(scenario())


def test_retry_is_not_written_if_its_dial_takes_too_long():
    """Servers may have forgotten the first attempt by then, and would run the request twice."""

    async def scenario():
        async with late_listener() as (port, accept_all):
            harness = PoolHarness(port)
            timeouts_us, end = [], harness.loop.create_future()
            now = harness.clock.now()
            attempt = Attempt(
                "s",
                lambda timeout_us: timeouts_us.append(timeout_us) or GET,
                now + LONG_US,
                end.set_result,
                start_by=now + 50_000,
            )
            harness.pool.send(attempt)
            await asyncio.sleep(0.1)
            accept_all()
            assert (await with_timeout(end)).result == AttemptResult.CONNECT_FAILED
            assert not timeouts_us
            assert harness.pool.connection_count == 0

    run(scenario())
