"""The connection pool over loopback: what is kept, used again, closed, and bounded."""

import asyncio

from peers import ScriptedServer, reply, run, silent_listener, with_timeout
from pool_harness import GET, LONG_US, PoolHarness, accept, listening_socket

from oakbridge.node.attempt import Attempt
from oakbridge.node.connection_pool import MIN_IDLE_US
from oakbridge.policy.events import AttemptResult


def test_connection_is_kept_and_used_again():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as peer:
            bench = PoolHarness(peer.port)
            for _ in range(3):
                assert await bench.result() == AttemptResult.OK
                await asyncio.sleep(2 * MIN_IDLE_US / 1e6)
            assert peer.connections == 1

    run(scenario())


def test_kept_connection_that_the_server_has_just_closed_is_no_reset(monkeypatch):
    """The loop has not read the end yet, but nothing may be written to that connection."""
    monkeypatch.setattr("oakbridge.node.connection_pool.MIN_IDLE_US", 0)

    async def scenario():
        with listening_socket() as listener:
            bench = PoolHarness(listener.getsockname()[1])
            _, end = bench.send()
            with await accept(listener) as sock:
                sock.recv(1000)
                sock.sendall(reply(200))
                assert (await with_timeout(end)).result == AttemptResult.OK
            _, end = bench.send()  # in the same round of the loop as the close
            with await accept(listener) as sock:
                assert sock.recv(1000) == GET
                sock.sendall(reply(200))
                assert (await with_timeout(end)).result == AttemptResult.OK

    run(scenario())


def test_drained_server_gets_nothing_new():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as peer:
            bench = PoolHarness(peer.port)
            assert await bench.result() == AttemptResult.OK
            bench.list_servers()
            assert (
                await with_timeout(peer.closed_connections.get()) == 1
            )  # the kept connection is given back
            assert await bench.result() == AttemptResult.CONNECT_FAILED
            assert peer.connections == 1

    run(scenario())


def test_attempt_that_still_connects_ends_with_the_drain():
    async def scenario():
        listener, fillers = silent_listener()
        bench = PoolHarness(listener.getsockname()[1])
        _, connecting = bench.send()
        bench.list_servers()
        assert (await with_timeout(connecting)).result == AttemptResult.CONNECT_FAILED
        for sock in [listener, *fillers]:
            sock.close()

    run(scenario())


def test_attempt_that_is_out_outlives_the_drain_but_its_connection_does_not():
    async def scenario():
        async def held():
            await peer.release.wait()
            return reply(200)

        async with ScriptedServer(lambda _: held()) as peer:
            bench = PoolHarness(peer.port)
            _, out = bench.send()
            await with_timeout(peer.requests.get())
            bench.list_servers()
            peer.release.set()
            assert (await with_timeout(out)).result == AttemptResult.OK
            assert await with_timeout(peer.closed_connections.get()) == 1

    run(scenario())


def test_restarted_server_gets_fresh_connections():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as peer:
            bench = PoolHarness(peer.port)
            assert await bench.result() == AttemptResult.OK
            bench.list_servers("s", started=5)
            assert await bench.result() == AttemptResult.OK
            assert [peer.requests.get_nowait().connection for _ in range(2)] == [1, 2]

    run(scenario())


def test_idle_connection_is_closed_before_the_server_would():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as peer:
            bench = PoolHarness(peer.port, idle=100_000)
            assert await bench.result() == AttemptResult.OK
            assert await with_timeout(peer.closed_connections.get()) == 1
            assert bench.pool.connection_count == 0

    run(scenario())


def test_connections_are_bounded():
    """At the bound an idle connection to any server goes first; with none, nothing is sent."""

    async def scenario():
        async with ScriptedServer(lambda seen: None if seen.url == "/hold" else reply(200)) as peer:
            bench = PoolHarness(peer.port, max_connections=1)
            bench.list_servers("s", "t")
            assert await bench.result() == AttemptResult.OK
            end = bench.loop.create_future()
            hold = b"GET /hold HTTP/1.1\r\n\r\n"
            bench.pool.send(
                Attempt("t", lambda _: hold, bench.clock.now() + LONG_US, end.set_result)
            )
            assert await with_timeout(peer.closed_connections.get()) == 1
            assert await bench.result() == AttemptResult.CONNECT_FAILED
            assert not end.done()
            bench.pool.close()

    run(scenario())


def test_second_copy_right_behind_an_answer_serves_nobody(monkeypatch):
    """Guards against a connection that is used again before what comes behind its answer could show."""
    monkeypatch.setattr("oakbridge.node.connection_pool.MIN_IDLE_US", LONG_US)

    async def scenario():
        with listening_socket() as listener:
            bench = PoolHarness(listener.getsockname()[1])
            _, first = bench.send()
            with await accept(listener) as one:
                assert one.recv(1000) == GET
                one.sendall(reply(200, b"first"))
                assert (await with_timeout(first)).body == b"first"
                _, second = bench.send()
                one.sendall(reply(200, b"first"))
                with await accept(listener) as two:
                    assert two.recv(1000) == GET
                    two.sendall(reply(200, b"second"))
                    assert (await with_timeout(second)).body == b"second"

    run(scenario())


def test_a_connection_on_which_nothing_was_served_is_not_kept():
    """Guards against one that the server took above its limit: it turns away all that comes on it."""

    async def main() -> None:
        full = reply(503, b"", "X-Not-Processed: 1")
        script = iter([full, full, reply(200), full, full])
        async with ScriptedServer(lambda _: next(script)) as server:
            bench = PoolHarness(server.port)
            results = []
            for _ in range(5):
                results.append(await bench.result())
                await asyncio.sleep(2 * MIN_IDLE_US / 1e6)
            assert results == [
                AttemptResult.REJECTED,
                AttemptResult.REJECTED,
                AttemptResult.OK,
                AttemptResult.REJECTED,
                AttemptResult.REJECTED,
            ]
            assert server.connections == 3
            assert (
                bench.pool.connection_count == 1
            )  # the one that has served, and turned two away since
            bench.pool.close()

    run(main())
