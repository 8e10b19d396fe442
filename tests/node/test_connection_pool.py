"""The connection pool over loopback: which connections are reused and closed, and their limit."""

import asyncio

from peers import ScriptedServer, reply, run, silent_listener, with_timeout
from pool_harness import GET, LONG_US, PoolHarness, accept, listening_socket

from oakbridge.node.attempt import Attempt
from oakbridge.node.connection_pool import MIN_IDLE_US
from oakbridge.node.request_writer import EncodedRequest
from oakbridge.policy.events import AttemptResult


def test_idle_connection_is_reused():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as server:
            harness = PoolHarness(server.port)
            for _ in range(3):
                assert await harness.result() == AttemptResult.OK
                await asyncio.sleep(2 * MIN_IDLE_US / 1e6)
            assert server.connections == 1

    run(scenario())


def test_idle_connection_that_the_server_has_just_closed_is_not_reused(monkeypatch):
    """The loop has not reported the close yet; a request on the connection would end as a reset."""
    monkeypatch.setattr("oakbridge.node.connection_pool.MIN_IDLE_US", 0)

    async def scenario():
        with listening_socket() as listener:
            harness = PoolHarness(listener.getsockname()[1])
            _, end = harness.send()
            with await accept(listener) as sock:
                sock.recv(1000)
                sock.sendall(reply(200))
                assert (await with_timeout(end)).result == AttemptResult.OK
            _, end = harness.send()  # in the same iteration of the loop as the close
            with await accept(listener) as sock:
                assert sock.recv(1000) == GET
                sock.sendall(reply(200))
                assert (await with_timeout(end)).result == AttemptResult.OK

    run(scenario())


def test_drained_server_gets_no_new_attempts():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as server:
            harness = PoolHarness(server.port)
            assert await harness.result() == AttemptResult.OK
            harness.list_servers()
            # The idle connection is closed.
            assert await with_timeout(server.closed_connections.get()) == 1
            assert await harness.result() == AttemptResult.CONNECT_FAILED
            assert server.connections == 1

    run(scenario())


def test_attempt_that_is_still_connecting_fails_when_its_server_drains():
    async def scenario():
        listener, fillers = silent_listener()
        harness = PoolHarness(listener.getsockname()[1])
        _, connecting = harness.send()
        harness.list_servers()
        assert (await with_timeout(connecting)).result == AttemptResult.CONNECT_FAILED
        for sock in [listener, *fillers]:
            sock.close()

    run(scenario())


def test_written_attempt_finishes_after_a_drain_and_its_connection_is_closed():
    async def scenario():
        async def delayed_reply():
            await server.release.wait()
            return reply(200)

        async with ScriptedServer(lambda _: delayed_reply()) as server:
            harness = PoolHarness(server.port)
            _, end = harness.send()
            await with_timeout(server.requests.get())
            harness.list_servers()
            server.release.set()
            assert (await with_timeout(end)).result == AttemptResult.OK
            assert await with_timeout(server.closed_connections.get()) == 1

    run(scenario())


def test_restarted_server_gets_new_connections():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as server:
            harness = PoolHarness(server.port)
            assert await harness.result() == AttemptResult.OK
            harness.list_servers("s", started=5)
            assert await harness.result() == AttemptResult.OK
            assert [server.requests.get_nowait().connection for _ in range(2)] == [1, 2]

    run(scenario())


def test_idle_connection_is_closed_before_the_server_would():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as server:
            harness = PoolHarness(server.port, idle=100_000)
            assert await harness.result() == AttemptResult.OK
            assert await with_timeout(server.closed_connections.get()) == 1
            assert harness.pool.connection_count == 0

    run(scenario())


def test_number_of_connections_is_limited():
    """At the limit an idle connection to any server is closed; without one, the attempt fails."""

    async def scenario():
        async with ScriptedServer(
            lambda request: None if request.url == "/unanswered" else reply(200)
        ) as server:
            harness = PoolHarness(server.port, max_connections=1)
            harness.list_servers("s", "t")
            assert await harness.result() == AttemptResult.OK
            end = harness.loop.create_future()
            unanswered = EncodedRequest(b"GET /unanswered HTTP/1.1\r\n\r\n")
            harness.pool.send(
                Attempt("t", lambda _: unanswered, harness.clock.now() + LONG_US, end.set_result)
            )
            assert await with_timeout(server.closed_connections.get()) == 1
            assert await harness.result() == AttemptResult.CONNECT_FAILED
            assert not end.done()
            harness.pool.close()

    run(scenario())


def test_duplicate_of_a_response_is_not_read_as_the_response_to_the_next_request(monkeypatch):
    """Guards against reusing a connection before bytes after its last response can have arrived."""
    monkeypatch.setattr("oakbridge.node.connection_pool.MIN_IDLE_US", LONG_US)

    async def scenario():
        with listening_socket() as listener:
            harness = PoolHarness(listener.getsockname()[1])
            _, first = harness.send()
            with await accept(listener) as first_socket:
                assert first_socket.recv(1000) == GET
                first_socket.sendall(reply(200, b"first"))
                assert (await with_timeout(first)).body == b"first"
                _, second = harness.send()
                first_socket.sendall(reply(200, b"first"))
                with await accept(listener) as second_socket:
                    assert second_socket.recv(1000) == GET
                    second_socket.sendall(reply(200, b"second"))
                    assert (await with_timeout(second)).body == b"second"

    run(scenario())


def test_a_connection_on_which_nothing_was_served_is_not_reused():
    """Guards against a connection above the server's limit, on which it rejects every request."""

    async def scenario() -> None:
        rejection = reply(503, b"", "X-Not-Processed: 1")
        script = iter([rejection, rejection, reply(200), rejection, rejection])
        async with ScriptedServer(lambda _: next(script)) as server:
            harness = PoolHarness(server.port)
            results = []
            for _ in range(5):
                results.append(await harness.result())
                await asyncio.sleep(2 * MIN_IDLE_US / 1e6)
            assert results == [
                AttemptResult.REJECTED,
                AttemptResult.REJECTED,
                AttemptResult.OK,
                AttemptResult.REJECTED,
                AttemptResult.REJECTED,
            ]
            assert server.connections == 3
            # The connection that has served one request, and then rejected two.
            assert harness.pool.connection_count == 1
            harness.pool.close()

    run(scenario())
