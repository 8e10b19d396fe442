"""One server connection over loopback: dials, writes, deadlines, and whether a request may have run."""

import asyncio
import socket

import pytest
from peers import ScriptedServer, reply, run, silent_listener, until, with_timeout
from pool_harness import GET, LONG_US, PoolHarness, accept, late_listener, listening_socket

from oakbridge.node.attempt import Attempt
from oakbridge.policy.events import AttemptResult


def test_silence_times_out_and_closes_the_connection():
    async def scenario():
        async with ScriptedServer(lambda _: None) as peer:
            assert await PoolHarness(peer.port).result(timeout=50_000) == AttemptResult.TIMEOUT
            assert await with_timeout(peer.closed_connections.get()) == 1

    run(scenario())


def test_refused_connection_never_ran():
    async def scenario():
        with listening_socket() as listener:
            port = listener.getsockname()[1]
        assert await PoolHarness(port).result() == AttemptResult.CONNECT_FAILED

    run(scenario())


@pytest.mark.parametrize(("connect_timeout", "timeout"), [(50_000, LONG_US), (LONG_US, 50_000)])
def test_connection_that_never_comes_up_never_ran(connect_timeout, timeout):
    async def scenario():
        listener, fillers = silent_listener()
        bench = PoolHarness(listener.getsockname()[1], connect_timeout)
        assert await bench.result(timeout=timeout) == AttemptResult.CONNECT_FAILED
        assert bench.pool.connection_count == 0
        for sock in [listener, *fillers]:
            sock.close()

    run(scenario())


@pytest.mark.parametrize("breaks", [True, False])
def test_request_whose_last_byte_was_never_written_never_ran(breaks):
    """What the socket did not take stays in our hands, whatever a buffer would have said."""

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
    """Not in the loop's next round: the next attempt may be sent before that."""

    async def scenario():
        with listening_socket() as listener:
            bench = PoolHarness(listener.getsockname()[1])
            attempt, end = bench.send()
            with await accept(listener) as sock:
                assert sock.recv(1000) == GET
                bench.pool.cancel(attempt)
                assert sock.recv(1000) == b""  # the loop has not run since
                assert end.result().result == AttemptResult.CANCELLED

    run(scenario())


def test_answer_before_the_request_is_written_serves_nobody():
    """It is none to this request, which has not run."""

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


def test_what_is_told_of_the_time_left_counts_a_slow_dial():
    async def scenario():
        async with late_listener() as (port, take):
            bench = PoolHarness(port)
            told, due = [], bench.clock.now() + LONG_US
            attempt = Attempt("s", lambda left: told.append(left) or GET, due, lambda reply: None)
            bench.pool.send(attempt)
            await asyncio.sleep(0.1)
            assert not told
            least = bench.clock.now()
            take()
            await until(lambda: told)
            assert due - bench.clock.now() <= told[0] <= due - least
            bench.pool.cancel(attempt)

    run(scenario())


def test_repeat_whose_dial_comes_up_too_late_is_not_begun():
    """Servers may have forgotten the first attempt by then, and would run it twice."""

    async def scenario():
        async with late_listener() as (port, take):
            bench = PoolHarness(port)
            told, end = [], bench.loop.create_future()
            now = bench.clock.now()
            attempt = Attempt(
                "s",
                lambda left: told.append(left) or GET,
                now + LONG_US,
                end.set_result,
                start_by=now + 50_000,
            )
            bench.pool.send(attempt)
            await asyncio.sleep(0.1)
            take()
            assert (await with_timeout(end)).result == AttemptResult.CONNECT_FAILED
            assert not told
            assert bench.pool.connection_count == 0

    run(scenario())
