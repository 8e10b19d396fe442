"""A whole node over loopback sockets: what callers get, what servers see."""

import asyncio
import errno
import os

import pytest
from peers import RunningNode, ScriptedServer, endpoint, listing, reply, run, until, with_timeout

from oakbridge.node import run as run_module
from oakbridge.node.client_request import parse_timeout
from oakbridge.node.connection_pool import MIN_IDLE_US
from oakbridge.node.errors import ConfigError, ConfigUnreadableError


def test_request_and_answer_go_through_unchanged():
    body, said = bytes(range(256)) * 8, bytes(range(255, -1, -1)) * 256

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200, said, "Content-Type: x/y")) as peer,
            RunningNode(peer) as node,
        ):
            caller = await node.client()
            caller.send(
                "book",
                "POST",
                "/api/trip?a=1&b=%20",
                body,
                X_Request_ID="r-1",
                Idempotency_Key="k-1",
                X_Timeout="5000m",
            )
            status, headers, got = await caller.read_response()
            assert (status, headers["content-type"], got) == (200, "x/y", said)
            seen = peer.requests.get_nowait()
            assert (seen.method, seen.url, seen.body) == ("POST", "/api/trip?a=1&b=%20", body)
            assert (seen.headers["x-request-id"], seen.headers["idempotency-key"]) == ("r-1", "k-1")
            assert 0 < parse_timeout(seen.headers["x-timeout"].encode()) <= 5_000_000

    run(scenario())


def test_connections_are_kept_on_both_sides():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as peer, RunningNode(peer) as node:
            caller = await node.client()
            for _ in range(3):
                caller.send()
                assert (await caller.read_response())[0] == 200
                await asyncio.sleep(2 * MIN_IDLE_US / 1e6)
            assert peer.connections == 1

    run(scenario())


def test_pipelined_requests_are_answered_one_by_one_in_order():
    async def scenario():
        async with (
            ScriptedServer(lambda seen: reply(200, seen.url.encode())) as peer,
            RunningNode(peer) as node,
        ):
            caller = await node.client()
            for i in range(40):
                caller.send(url=f"/{i}", X_Request_ID=f"r-{i}")
            for i in range(40):
                assert (await caller.read_response())[2] == b"/%d" % i

    run(scenario())


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"what is this\r\n\r\n", 400),
        (b"GET /api HTTP/1.1\r\nHost: a\r\n\r\n", 400),
        (b"GET /api HTTP/1.1\r\nX-Request-ID: 1\r\nX-Priority-Class: unheard\r\n\r\n", 400),
        (
            b"GET /api HTTP/1.1\r\nX-Request-ID: 1\r\nX-Priority-Class: look\r\nX-Timeout: soon\r\n\r\n",
            400,
        ),
        (b"GET /api HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (b"HEAD /api HTTP/1.1\r\nX-Request-ID: 1\r\nX-Priority-Class: look\r\n\r\n", 405),
        (b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", 405),
        (b"GET /api HTTP/1.1\r\nX-Long: " + b"x" * 200_000, 431),
        (b"POST /api HTTP/1.1\r\nContent-Length: 70000000\r\n\r\n" + b"x" * 70_000, 413),
    ],
)
def test_bad_input_gets_a_plain_answer_and_a_closed_connection(raw, status):
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as peer, RunningNode(peer) as node:
            caller = await node.client()
            caller.writer.write(raw)
            assert (await caller.read_until_close()).startswith(b"HTTP/1.1 %d " % status)
            caller = await node.client()
            caller.send()
            assert (await caller.read_response())[0] == 200
            assert peer.requests.qsize() == 1

    run(scenario())


def test_half_a_request_is_dropped_with_its_caller():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as peer, RunningNode(peer) as node:
            half = await node.client()
            half.writer.write(
                b"POST /api HTTP/1.1\r\nX-Request-ID: 1\r\nContent-Length: 9\r\n\r\nabc"
            )
            half.writer.write_eof()
            assert await half.read_until_close() == b""
            caller = await node.client()
            caller.send()
            assert (await caller.read_response())[0] == 200
            assert peer.requests.qsize() == 1

    run(scenario())


def test_bad_bytes_behind_a_request_wait_for_its_answer():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200, b"car")) as peer, RunningNode(peer) as node:
            caller = await node.client()
            caller.send()
            caller.writer.write(b"\0\0\0\r\n\r\n")
            assert (await caller.read_response())[2] == b"car"
            assert (await caller.read_until_close()).startswith(b"HTTP/1.1 400 ")

    run(scenario())


def test_caller_that_leaves_has_its_attempt_called_off():
    async def scenario():
        async with ScriptedServer(lambda _: None) as peer, RunningNode(peer) as node:
            caller = await node.client()
            caller.send()
            await with_timeout(peer.requests.get())
            caller.close()
            assert await with_timeout(peer.closed_connections.get()) == 1
            assert not node.node.forwarder.requests

    run(scenario())


@pytest.mark.parametrize("time_left", [{"X_Timeout": "300m"}, {"X_Timeout": "300000u"}, {}])
def test_one_answer_in_time_and_nothing_after_it(time_left):
    """A silent server: the call fails before its time is up, and the late answer reaches nobody."""

    async def scenario():
        async def late():
            await peer.release.wait()
            return reply(200, b"late")

        async with ScriptedServer(lambda _: late()) as peer, RunningNode(peer) as node:
            caller = await node.client()
            caller.send("brief", "POST", **time_left)
            assert (await caller.read_response())[0] == 502
            peer.release.set()
            assert await with_timeout(peer.closed_connections.get()) == 1  # it was told, too
            caller.send("brief", "POST", X_Timeout="20000m")
            assert (await caller.read_response())[2] == b"late"  # the answer to this one
            assert [peer.requests.get_nowait().connection for _ in range(2)] == [1, 2]

    run(scenario())


def test_unsafe_request_that_may_have_run_is_not_sent_again_and_not_refused():
    async def scenario():
        async with (
            ScriptedServer(lambda _: "close") as one,
            ScriptedServer(lambda _: "close") as two,
            RunningNode(one, two) as node,
        ):
            caller = await node.client()
            caller.send("book", "POST")
            assert (await caller.read_response())[0] == 502
            assert one.requests.qsize() + two.requests.qsize() == 1

    run(scenario())


def test_request_that_was_turned_away_is_sent_again():
    async def scenario():
        full = reply(503, b"", "X-Not-Processed: 1")
        said = iter([full, reply(200), reply(200)])
        async with (
            ScriptedServer(lambda _: next(said)) as one,
            ScriptedServer(lambda _: next(said)) as two,
            RunningNode(one, two) as node,
        ):
            caller = await node.client()
            caller.send("book", "POST")
            assert (await caller.read_response())[0] == 200
            assert one.requests.qsize() + two.requests.qsize() == 2

    run(scenario())


def test_ready_only_when_able_to_serve():
    async def scenario():
        async with RunningNode() as node:
            caller = await node.client()
            caller.writer.write(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            assert (await caller.read_response())[0] == 503
            async with ScriptedServer(lambda _: reply(200)) as peer:
                call = await with_timeout(node.discovery.requests.get())
                assert call.url.startswith("/api/targets?since=1&timeout_ms=")
                node.discovery.put(listing(2, endpoint("s-0", peer.port)))
                await with_timeout(
                    node.discovery.requests.get()
                )  # asks on: the list has been taken
                caller.writer.write(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                assert (await caller.read_response())[0] == 200

    run(scenario())


def test_callers_are_bounded(monkeypatch):
    """At the bound the caller that is idle longest goes; with none idle, one more is told to go elsewhere."""
    monkeypatch.setattr("oakbridge.node.connection_limits.MIN_IDLE_US", 0)

    async def scenario():
        async with ScriptedServer(lambda seen: None) as peer, RunningNode(peer) as node:
            node.node.server.limits.max_connections = 2
            idle, busy = await node.client(), await node.client()
            for caller in (idle, busy):
                caller.writer.write(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                assert (await caller.read_response())[0] == 200
            busy.send()
            await with_timeout(peer.requests.get())
            third = await node.client()
            assert await idle.read_until_close() == b""
            third.send()
            await with_timeout(peer.requests.get())
            fourth = await node.client()
            fourth.send()
            assert (await fourth.read_response())[0] == 503
            assert await fourth.read_until_close() == b""
            assert peer.requests.qsize() == 0

    run(scenario())


def test_request_whose_time_is_up_already_is_not_sent():
    """Guards against taking no time left for no time told."""

    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as peer, RunningNode(peer) as node:
            caller = await node.client()
            caller.send(X_Timeout="0m")
            assert (await caller.read_response())[0] in (502, 503)
            assert peer.requests.empty()

    run(scenario())


def test_end_fails_what_is_still_out_and_closes_late_silent_callers(monkeypatch):
    """Guards against SIGKILL finding a request unanswered, and against waiting for silent callers."""
    monkeypatch.setattr("oakbridge.node.lifecycle.MAX_DEADLINE_US", 500_000)
    monkeypatch.setattr("oakbridge.node.lifecycle.DRAIN_NOTICE_US", 100_000)

    async def scenario():
        async with ScriptedServer(lambda _: None) as peer, RunningNode(peer) as node:
            caller = await node.client()
            caller.send()
            await with_timeout(peer.requests.get())
            shutting_down = asyncio.ensure_future(node.node.shut_down())
            silent = await node.client()
            assert await silent.read_until_close() == b""
            assert (await caller.read_response())[0] == 500
            await with_timeout(shutting_down)

    run(scenario())


def test_configuration_that_can_not_be_read_for_a_moment_is_read_again(monkeypatch):
    """SIGHUP is not forgotten; a file that is broken is given up."""
    monkeypatch.setattr(run_module, "RELOAD_RETRY_S", 0.01)

    async def scenario():
        hangup, calls = asyncio.Event(), []

        def reload(node):
            calls.append(node)
            if len(calls) < 3:
                raise ConfigUnreadableError("NODE_CONFIG: Input/output error")
            raise ConfigError("NODE_CONFIG: not JSON")

        task = asyncio.create_task(run_module._reload_on_hangup("node", hangup, reload))
        hangup.set()
        await until(lambda: len(calls) == 3)
        await asyncio.sleep(0.05)
        assert len(calls) == 3
        task.cancel()

    run(scenario())


def test_connection_that_can_not_be_handed_over_for_want_of_a_descriptor_is_served(monkeypatch):
    """Guards against one that is read no more, neither here nor there."""

    async def scenario():
        async with ScriptedServer(lambda _: reply(200, b"car")) as peer, RunningNode(peer) as node:
            caller = await node.client()
            caller.send()
            assert (await caller.read_response())[0] == 200
            handed, dup = [], os.dup

            def no_descriptor(_):
                raise OSError(errno.EMFILE, "Too many open files")

            monkeypatch.setattr(os, "dup", no_descriptor)
            node.node.server.hand_over(lambda descriptor: handed.append(descriptor) or True)
            node.node.server.hand_over_idle_connections()
            caller.send()
            assert (await caller.read_response())[2] == b"car"
            monkeypatch.setattr(os, "dup", dup)
            await until(lambda: handed)
            os.close(handed[0])

    run(scenario())
