"""A whole node over loopback sockets: what callers get, what servers see, and what discovery changes."""

import asyncio
import json

import pytest
from peers import SETTINGS, Peer, Registry, Running, endpoint, listing, reply, run, soon, until

from oakbridge.node import discovery
from oakbridge.node.client_request import parse_timeout
from oakbridge.node.connection_pool import MIN_IDLE_US
from oakbridge.node.listing import BadList, parse
from oakbridge.node.node import parse_report
from oakbridge.policy.actions import Action, CancelAttempt, FailRequest, RejectRequest, SendAttempt
from oakbridge.policy.endpoint_list import AT_ONCE_US
from oakbridge.policy.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    EndpointState,
    Event,
    RequestReceived,
)


def test_request_and_answer_go_through_unchanged():
    body, said = bytes(range(256)) * 8, bytes(range(255, -1, -1)) * 256

    async def scenario():
        async with Peer(lambda _: reply(200, said, "Content-Type: x/y")) as peer, Running(peer) as node:
            caller = await node.caller()
            caller.send(
                "book",
                "POST",
                "/api/trip?a=1&b=%20",
                body,
                X_Request_ID="r-1",
                Idempotency_Key="k-1",
                X_Timeout="5000m",
            )
            status, headers, got = await caller.answer()
            assert (status, headers["content-type"], got) == (200, "x/y", said)
            seen = peer.seen.get_nowait()
            assert (seen.method, seen.url, seen.body) == ("POST", "/api/trip?a=1&b=%20", body)
            assert (seen.headers["x-request-id"], seen.headers["idempotency-key"]) == ("r-1", "k-1")
            assert 0 < parse_timeout(seen.headers["x-timeout"].encode()) <= 5_000_000

    run(scenario())


def test_connections_are_kept_on_both_sides():
    async def scenario():
        async with Peer(lambda _: reply(200)) as peer, Running(peer) as node:
            caller = await node.caller()
            for _ in range(3):
                caller.send()
                assert (await caller.answer())[0] == 200
                await asyncio.sleep(2 * MIN_IDLE_US / 1e6)
            assert peer.connections == 1

    run(scenario())


def test_pipelined_requests_are_answered_one_by_one_in_order():
    async def scenario():
        async with Peer(lambda seen: reply(200, seen.url.encode())) as peer, Running(peer) as node:
            caller = await node.caller()
            for i in range(40):
                caller.send(url=f"/{i}", X_Request_ID=f"r-{i}")
            for i in range(40):
                assert (await caller.answer())[2] == b"/%d" % i

    run(scenario())


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"what is this\r\n\r\n", 400),
        (b"GET /api HTTP/1.1\r\nHost: a\r\n\r\n", 400),
        (b"GET /api HTTP/1.1\r\nX-Request-ID: 1\r\nX-Priority-Class: unheard\r\n\r\n", 400),
        (b"GET /api HTTP/1.1\r\nX-Request-ID: 1\r\nX-Priority-Class: look\r\nX-Timeout: soon\r\n\r\n", 400),
        (b"GET /api HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (b"HEAD /api HTTP/1.1\r\nX-Request-ID: 1\r\nX-Priority-Class: look\r\n\r\n", 405),
        (b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", 405),
        (b"GET /api HTTP/1.1\r\nX-Long: " + b"x" * 200_000, 431),
        (b"POST /api HTTP/1.1\r\nContent-Length: 70000000\r\n\r\n" + b"x" * 70_000, 413),
    ],
)
def test_bad_input_gets_a_plain_answer_and_a_closed_connection(raw, status):
    async def scenario():
        async with Peer(lambda _: reply(200)) as peer, Running(peer) as node:
            caller = await node.caller()
            caller.writer.write(raw)
            assert (await caller.ended()).startswith(b"HTTP/1.1 %d " % status)
            caller = await node.caller()
            caller.send()
            assert (await caller.answer())[0] == 200
            assert peer.seen.qsize() == 1

    run(scenario())


def test_half_a_request_is_dropped_with_its_caller():
    async def scenario():
        async with Peer(lambda _: reply(200)) as peer, Running(peer) as node:
            half = await node.caller()
            half.writer.write(b"POST /api HTTP/1.1\r\nX-Request-ID: 1\r\nContent-Length: 9\r\n\r\nabc")
            half.writer.write_eof()
            assert await half.ended() == b""
            caller = await node.caller()
            caller.send()
            assert (await caller.answer())[0] == 200
            assert peer.seen.qsize() == 1

    run(scenario())


def test_bad_bytes_behind_a_request_wait_for_its_answer():
    async def scenario():
        async with Peer(lambda _: reply(200, b"car")) as peer, Running(peer) as node:
            caller = await node.caller()
            caller.send()
            caller.writer.write(b"\0\0\0\r\n\r\n")
            assert (await caller.answer())[2] == b"car"
            assert (await caller.ended()).startswith(b"HTTP/1.1 400 ")

    run(scenario())


def test_caller_that_leaves_has_its_attempt_called_off():
    async def scenario():
        async with Peer(lambda _: None) as peer, Running(peer) as node:
            caller = await node.caller()
            caller.send()
            await soon(peer.seen.get())
            caller.close()
            assert await soon(peer.left.get()) == 1
            assert not node.node.requests

    run(scenario())


@pytest.mark.parametrize("time_left", [{"X_Timeout": "300m"}, {"X_Timeout": "300000u"}, {}])
def test_one_answer_in_time_and_nothing_after_it(time_left):
    """A silent server: the call fails before its time is up, and the late answer reaches nobody."""

    async def scenario():
        async def late():
            await peer.release.wait()
            return reply(200, b"late")

        async with Peer(lambda _: late()) as peer, Running(peer) as node:
            caller = await node.caller()
            caller.send("brief", "POST", **time_left)
            assert (await caller.answer())[0] == 502
            peer.release.set()
            assert await soon(peer.left.get()) == 1  # it was told, too
            caller.send("brief", "POST", X_Timeout="20000m")
            assert (await caller.answer())[2] == b"late"  # the answer to this one
            assert [peer.seen.get_nowait().connection for _ in range(2)] == [1, 2]

    run(scenario())


def test_unsafe_request_that_may_have_run_is_not_sent_again_and_not_refused():
    async def scenario():
        async with Peer(lambda _: "close") as one, Peer(lambda _: "close") as two, Running(one, two) as node:
            caller = await node.caller()
            caller.send("book", "POST")
            assert (await caller.answer())[0] == 502
            assert one.seen.qsize() + two.seen.qsize() == 1

    run(scenario())


def test_request_that_was_turned_away_is_sent_again():
    async def scenario():
        full = reply(503, b"", "X-Not-Processed: 1")
        said = iter([full, reply(200), reply(200)])
        async with (
            Peer(lambda _: next(said)) as one,
            Peer(lambda _: next(said)) as two,
            Running(one, two) as node,
        ):
            caller = await node.caller()
            caller.send("book", "POST")
            assert (await caller.answer())[0] == 200
            assert one.seen.qsize() + two.seen.qsize() == 2

    run(scenario())


class Script:
    """A module by script, one answer for each request: the node's guards are held against one that errs."""

    def __init__(self, *answers) -> None:
        self.answers, self.events = list(answers), []

    def handle(self, _: int, event: Event) -> list[Action]:
        self.events.append(event)
        answer = self.answers.pop(0) if self.answers and isinstance(event, RequestReceived) else []
        if isinstance(answer, Exception):
            raise answer
        return answer


def test_module_that_fails_costs_one_request():
    async def scenario():
        async with Peer(lambda _: reply(200)) as peer, Running(peer) as node:
            module, node.node.balancer = node.node.balancer, Script(ValueError("boom"))
            caller = await node.caller()
            caller.send()
            assert (await caller.answer())[0] == 500
            node.node.balancer = module
            caller.send()
            assert (await caller.answer())[0] == 200

    run(scenario())


def test_request_that_the_module_forgets_is_failed_when_its_time_is_up():
    async def scenario():
        async with Peer(lambda _: None) as peer, Running(peer) as node:
            node.node.balancer = script = Script([SendAttempt(1, "s-0", 50_000_000)])
            caller = await node.caller()
            caller.send(X_Timeout="200m")
            assert (await caller.answer())[0] == 500
            assert await soon(peer.left.get()) == 1
            assert ClientDisconnected(1) in script.events

    run(scenario())


def test_two_attempts_are_never_out_at_once_and_none_is_sent_after_the_answer():
    async def scenario():
        async with Peer(lambda _: None) as peer, Running(peer) as node:
            send = SendAttempt(1, "s-0", 20_000_000)
            script = Script([send], [send, FailRequest(1), CancelAttempt(1, 0), send])
            node.node.balancer = script
            caller, other = await node.caller(), await node.caller()
            caller.send()
            await soon(peer.seen.get())
            other.send()  # the event at which the module errs
            assert (await caller.answer())[0] == 502
            assert await soon(peer.left.get()) == 1
            assert peer.seen.empty()
            ended = [(e.result, e.request_finished) for e in script.events if isinstance(e, AttemptEnded)]
            sent_not = AttemptResult.NOT_SENT
            assert sorted(ended) == [(AttemptResult.CANCELLED, True), (sent_not, False), (sent_not, True)]

    run(scenario())


@pytest.mark.parametrize(("advice", "expected"), [(0, None), (250_000, "0.250")])
def test_refusal_carries_the_modules_advice(advice, expected):
    async def scenario():
        async with Peer(lambda _: None) as peer, Running(peer) as node:
            node.node.balancer = Script([RejectRequest(1, advice)])
            caller = await node.caller()
            caller.send()
            status, headers, _ = await caller.answer()
            assert (status, headers.get("retry-after")) == (503, expected)

    run(scenario())


def test_ready_only_when_able_to_serve():
    async def scenario():
        async with Running() as node:
            caller = await node.caller()
            caller.writer.write(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            assert (await caller.answer())[0] == 503
            async with Peer(lambda _: reply(200)) as peer:
                call = await soon(node.registry.seen.get())
                assert call.url.startswith("/api/targets?since=1&timeout_ms=")
                node.registry.put(listing(2, endpoint("s-0", peer.port)))
                await soon(node.registry.seen.get())  # asks on: the list has been taken
                caller.writer.write(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                assert (await caller.answer())[0] == 200

    run(scenario())


TEN = SETTINGS | {"invariants": SETTINGS["invariants"] | {"ask-within": 10_000_000}}


def waits(url: str) -> int:
    """How many milliseconds a call to discovery waits for news."""
    return int(url.partition("timeout_ms=")[2])


def test_a_watch_that_fell_silent_is_begun_anew_at_once(monkeypatch):
    """The module, told of a loss, would let up to four seconds go by: the drain below has to be known long before."""
    monkeypatch.setattr(discovery, "WATCH_MOST_S", 0.6)

    async def scenario():
        async with (
            Peer(lambda _: reply(200)) as one,
            Peer(lambda _: reply(200)) as two,
            Running(one, two, settings=TEN) as node,
        ):
            lost = []
            node.node.source._lost = lambda *said: lost.append(said)
            await soon(node.registry.seen.get())
            node.registry.put(listing(4, whole=False))
            watch = await soon(node.registry.seen.get())  # nothing is ever answered on this one
            again = await soon(node.registry.seen.get())
            assert again.connection != watch.connection
            assert again.url.startswith("/api/targets?since=4&timeout_ms=")
            node.registry.answers.put_nowait(b"")  # the silent one takes its turn at the stand-in
            node.registry.put(listing(5, endpoint("s-0", one.port, "draining"), whole=False))
            assert "since=5&" in (await soon(node.registry.seen.get())).url
            caller = await node.caller()
            for _ in range(4):
                caller.send()
                assert (await caller.answer())[0] == 200
            assert (one.seen.qsize(), two.seen.qsize(), lost) == (0, 4, [])

    run(scenario())


def test_a_call_that_fails_says_how_long_it_waited_and_a_watch_that_breaks_says_nothing():
    async def scenario():
        async with Running(settings=TEN) as node:
            lost = asyncio.Queue()
            node.node.source._lost = lambda *said: lost.put_nowait(said)
            await soon(node.registry.seen.get())
            node.registry.put(reply(503))
            assert (await soon(lost.get()))[0] > 0
            node.node.source.watch(True)
            await soon(node.registry.seen.get())
            node.registry.put(listing(4, whole=False))
            await soon(node.registry.seen.get())
            node.registry.put(reply(503))  # it was not on yet: a call that was turned away, with a young list
            waited, stale = await soon(lost.get())
            assert 0 < waited < AT_ONCE_US and stale < AT_ONCE_US
            node.node.source.watch(True)
            await soon(node.registry.seen.get())
            node.registry.put(listing(5, whole=False))
            await soon(node.registry.seen.get())
            await asyncio.sleep(1.2 * AT_ONCE_US / 1e6)
            node.registry.put("close")
            waited, stale = await soon(lost.get())
            assert (waited, stale) == (0, 0) and node.node.source._watch is None

    run(scenario())


def test_watches_end_apart_and_so_early_that_silence_can_be_mended_in_time():
    """Guards against nodes that heard the same news, whose watches would all end, or be found silent, together."""

    async def scenario():
        async with Running(settings=TEN) as node:
            found = []
            for index in range(2, 42):
                found.append(waits((await soon(node.registry.seen.get())).url))
                node.registry.put(listing(index, whole=False))
            assert 500 <= min(found) < 1000 < 3500 < max(found) <= 4000
            assert len(set(found)) > 30
            left = 6.0 - max(found) / 1000 - discovery.LATE_S
            assert left >= 1.5  # for a line at discovery of all nodes whose watches fell silent at once

    run(scenario())


def test_changes_older_than_what_was_asked_for_are_no_news_and_the_whole_list_is_asked_for():
    async def scenario():
        async with Peer(lambda _: reply(200)) as peer, Running(peer) as node:
            await soon(node.registry.seen.get())
            node.registry.put(listing(5, whole=False))
            assert "since=5&" in (await soon(node.registry.seen.get())).url
            node.registry.put(listing(3, endpoint("s-0", peer.port, "gone"), whole=False))
            assert "since=-1&" in (await soon(node.registry.seen.get())).url
            caller = await node.caller()
            caller.send()
            assert (await caller.answer())[0] == 200

    run(scenario())


def test_a_move_goes_on_from_the_version_at_hand_and_a_lower_one_has_the_whole_list_asked_for():
    """Discovery that is asked is one service: a whole list and a watch for each node would fill its line."""

    async def scenario():
        async with (
            Peer(lambda _: reply(200)) as one,
            Peer(lambda _: reply(200)) as two,
            Registry() as other,
            Running(one, settings=TEN) as node,
        ):
            await soon(node.registry.seen.get())
            node.registry.put(listing(5, whole=False))
            await soon(node.registry.seen.get())  # a watch is on; the move comes under it
            node.node.source.move(("127.0.0.1", other.port))
            assert "since=5&" in (await soon(other.seen.get())).url
            other.put(listing(2, whole=False))
            await until(lambda: node.node.source._watch is None)
            node.node.source.watch(True)  # as the module does after a loss
            assert "since=-1&" in (await soon(other.seen.get())).url
            other.put(listing(2, endpoint("s-1", two.port)))
            assert "since=2&" in (await soon(other.seen.get())).url
            caller = await node.caller()
            caller.send()
            assert (await caller.answer())[0] == 200
            assert (one.seen.qsize(), two.seen.qsize()) == (0, 1)

    run(scenario())


def test_drain_is_applied_at_once_and_the_watch_goes_on_from_its_index():
    async def scenario():
        async with (
            Peer(lambda _: reply(200)) as one,
            Peer(lambda _: reply(200)) as two,
            Running(one, two) as node,
        ):
            caller = await node.caller()
            await soon(node.registry.seen.get())
            node.registry.put(listing(5, endpoint("s-0", one.port, "draining"), whole=False))
            assert "since=5&" in (await soon(node.registry.seen.get())).url
            for i in range(6):
                caller.send(X_Request_ID=f"r-{i}")
                assert (await caller.answer())[0] == 200
            assert (one.seen.qsize(), two.seen.qsize()) == (0, 6)
            node.registry.put(
                listing(6, endpoint("s-0", one.port), endpoint("s-1", two.port, "gone"), whole=False)
            )
            assert "since=6&" in (await soon(node.registry.seen.get())).url
            caller.send()
            assert (await caller.answer())[0] == 200
            assert one.seen.qsize() == 1

    run(scenario())


@pytest.mark.parametrize(
    "broken",
    [
        reply(503),
        reply(200, b"{"),
        reply(200, b"[" * 100_000),
        reply(200, b'{"index":2}'),
        reply(200, json.dumps(listing(2, {"name": "s-9", "address": "nowhere", "status": "ready"})).encode()),
        "close",
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{", "close"),
        b"no HTTP at all\r\n\r\n",
    ],
)
def test_watch_that_breaks_is_lost_and_begun_anew_with_the_list_kept(broken):
    async def scenario():
        async with Peer(lambda _: reply(200)) as peer, Running(peer) as node:
            await soon(node.registry.seen.get())
            node.registry.put(broken)
            assert "since=1&" in (await soon(node.registry.seen.get())).url
            caller = await node.caller()
            caller.send()
            assert (await caller.answer())[0] == 200

    run(scenario())


@pytest.mark.parametrize(
    "raw",
    [
        None,
        {},
        {"index": "2", "endpoints": []},
        {"index": 2, "endpoints": {}},
        {"index": 2, "endpoints": [7]},
        listing(2, endpoint("", 1)),
        listing(2, endpoint("s", 1, "resting")),
        listing(2, endpoint("s", 1) | {"status": ["ready"]}),
        listing(2, endpoint("s", 99_999)),
        listing(2, endpoint("s", 1) | {"since_ms": float("nan")}),
        listing(2, endpoint("s", 1) | {"weight": "big"}),
    ],
)
def test_list_that_can_not_be_read_is_refused_as_a_whole(raw):
    with pytest.raises(BadList):
        parse(raw)


def test_list_is_read():
    raw = listing(
        9, endpoint("s", 80, since_ms=1_700_000_000_000), {"name": "t", "status": "gone"}, whole=False
    )
    got = parse(raw)
    assert (got.index, got.whole) == (9, False)
    assert got.entries[0].address == ("127.0.0.1", 80)
    assert got.entries[0].server.started_at == 1_700_000_000_000_000
    assert [e.server.state for e in got.entries] == [EndpointState.UP, EndpointState.GONE]


def test_callers_are_bounded(monkeypatch):
    """At the bound the caller that is idle longest goes; with none idle, one more is told to go elsewhere."""
    monkeypatch.setattr("oakbridge.node.connection_limits.MIN_IDLE_US", 0)

    async def scenario():
        async with Peer(lambda seen: None) as peer, Running(peer) as node:
            node.node.server.limits.max_connections = 2
            idle, busy = await node.caller(), await node.caller()
            for caller in (idle, busy):
                caller.writer.write(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                assert (await caller.answer())[0] == 200
            busy.send()
            await soon(peer.seen.get())
            third = await node.caller()
            assert await idle.ended() == b""
            third.send()
            await soon(peer.seen.get())
            fourth = await node.caller()
            fourth.send()
            assert (await fourth.answer())[0] == 503
            assert await fourth.ended() == b""
            assert peer.seen.qsize() == 0

    run(scenario())


def test_request_whose_time_is_up_already_is_not_sent():
    """Guards against taking no time left for no time told."""

    async def scenario():
        async with Peer(lambda _: reply(200)) as peer, Running(peer) as node:
            caller = await node.caller()
            caller.send(X_Timeout="0m")
            assert (await caller.answer())[0] in (502, 503)
            assert peer.seen.empty()

    run(scenario())


def test_discovery_that_fails_in_an_unforeseen_way_is_a_lost_watch():
    """Guards against a watch that ends untold, which would hide every drain from then on."""

    async def scenario():
        async with Running() as node:
            await soon(node.registry.seen.get())
            listed, calls = node.node.source._listed, []

            def fails_once(listing):
                calls.append(listing)
                if len(calls) == 1:
                    raise RuntimeError("unforeseen")
                listed(listing)

            node.node.source._listed = fails_once
            node.registry.put(listing(2))
            assert "since=2&" in (await soon(node.registry.seen.get())).url

    run(scenario())


def test_end_fails_what_is_still_out_and_closes_late_silent_callers(monkeypatch):
    """Guards against SIGKILL finding a request unanswered, and against waiting for silent callers."""
    monkeypatch.setattr("oakbridge.node.lifecycle.MAX_DEADLINE_US", 500_000)
    monkeypatch.setattr("oakbridge.node.lifecycle.DRAIN_NOTICE_US", 100_000)

    async def scenario():
        async with Peer(lambda _: None) as peer, Running(peer) as node:
            caller = await node.caller()
            caller.send()
            await soon(peer.seen.get())
            leaving = asyncio.ensure_future(node.node.leave())
            silent = await node.caller()
            assert await silent.ended() == b""
            assert (await caller.answer())[0] == 500
            await soon(leaving)

    run(scenario())


def test_load_report_is_read():
    text = "TEXT inflight=7, queue=2, util=0.61, other=1, eps=nan, qps=x"
    assert parse_report(text) == {"in_flight": 7, "queued": 2, "utilisation": 0.61}


@pytest.mark.parametrize(
    ("text", "expected"), [(b"480m", 480_000), (b"480u", 480), (b"480", None), (b"-1m", None), (b"", None)]
)
def test_timeout_is_read(text, expected):
    assert parse_timeout(text) == expected
