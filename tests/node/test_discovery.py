"""Discovery as a source, over loopback: polls, watches, and what becomes of either when it fails."""

import asyncio
import json
import time

import pytest
from peers import (
    SETTINGS,
    RunningNode,
    ScriptedDiscovery,
    ScriptedServer,
    endpoint,
    listing,
    reply,
    run,
    until,
    with_timeout,
)

from oakbridge.node import list_refresh
from oakbridge.node.discovery_http import STALL_TIMEOUT_S
from oakbridge.node.endpoint_list_json import parse_endpoint_list

TEN = SETTINGS | {"invariants": SETTINGS["invariants"] | {"ask-within": 10_000_000}}


def waits(url: str) -> int:
    """How many milliseconds a call to discovery waits for news."""
    return int(url.partition("timeout_ms=")[2])


def test_a_watch_that_fell_silent_is_begun_anew_at_once(monkeypatch):
    """Guards against a wait after a silence, which has taken its time already."""
    monkeypatch.setattr(list_refresh, "MAX_WATCH_S", 0.6)

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as one,
            ScriptedServer(lambda _: reply(200)) as two,
            RunningNode(one, two, settings=TEN) as node,
        ):
            await with_timeout(node.discovery.requests.get())
            node.discovery.put(listing(4, is_complete=False))
            watch = await with_timeout(
                node.discovery.requests.get()
            )  # nothing is ever answered on this one
            began = time.monotonic()
            again = await with_timeout(node.discovery.requests.get())
            assert time.monotonic() - began < 0.6 + list_refresh.WATCH_GRACE_S + 0.3
            assert again.connection != watch.connection
            assert again.url.startswith("/api/targets?since=4&timeout_ms=")
            node.discovery.answers.put_nowait(b"")  # the silent one takes its turn at the stand-in
            node.discovery.put(listing(5, endpoint("s-0", one.port, "draining"), is_complete=False))
            assert "since=5&" in (await with_timeout(node.discovery.requests.get())).url
            caller = await node.client()
            for _ in range(4):
                caller.send()
                assert (await caller.read_response())[0] == 200
            assert (one.requests.qsize(), two.requests.qsize()) == (0, 4)

    run(scenario())


def test_an_answer_that_stops_half_way_is_asked_for_again_before_its_watch_ends():
    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as peer,
            RunningNode(peer, settings=TEN) as node,
        ):
            await with_timeout(node.discovery.requests.get())
            node.discovery.put(listing(4, is_complete=False))
            watch = await with_timeout(node.discovery.requests.get())
            whole = reply(200, json.dumps(listing(5, endpoint("s-0", peer.port))).encode())
            node.discovery.put(whole[:100])
            began = time.monotonic()
            again = await with_timeout(node.discovery.requests.get())
            assert again.connection != watch.connection
            assert time.monotonic() - began < STALL_TIMEOUT_S + 0.3

    run(scenario())


def test_watches_end_apart_and_so_early_that_silence_can_be_mended_in_time():
    """Guards against nodes that heard the same news, whose watches would all end, or be found silent, together."""

    async def scenario():
        async with RunningNode(settings=TEN) as node:
            found = []
            await with_timeout(node.discovery.requests.get())  # the first call does not wait
            node.discovery.put(listing(2, is_complete=False))
            for index in range(3, 43):
                found.append(waits((await with_timeout(node.discovery.requests.get())).url))
                node.discovery.put(listing(index, is_complete=False))
            assert 500 <= min(found) < 800 < 1700 < max(found) <= 2000
            assert len(set(found)) > 30
            left = list_refresh.MAX_LIST_AGE_S - max(found) / 1000 - list_refresh.WATCH_GRACE_S
            assert (
                left >= 3.5
            )  # for a line at discovery of all nodes whose watches fell silent at once

    run(scenario())


def test_changes_older_than_what_was_asked_for_are_no_news_and_the_whole_list_is_asked_for():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as peer, RunningNode(peer) as node:
            await with_timeout(node.discovery.requests.get())
            node.discovery.put(listing(5, is_complete=False))
            assert "since=5&" in (await with_timeout(node.discovery.requests.get())).url
            node.discovery.put(listing(3, endpoint("s-0", peer.port, "gone"), is_complete=False))
            assert "since=-1&" in (await with_timeout(node.discovery.requests.get())).url
            caller = await node.client()
            caller.send()
            assert (await caller.read_response())[0] == 200

    run(scenario())


def test_a_move_leaves_the_call_that_is_out_and_a_lower_version_has_the_whole_list_asked_for():
    """Discovery that is asked is one service: a place in its line that is given up costs an answer."""

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as one,
            ScriptedServer(lambda _: reply(200)) as two,
            ScriptedDiscovery() as other,
            RunningNode(one, settings=TEN) as node,
        ):
            await with_timeout(node.discovery.requests.get())
            node.discovery.put(listing(5, is_complete=False))
            await with_timeout(
                node.discovery.requests.get()
            )  # a watch is on; the moves come under it
            for _ in range(3):
                node.node.source.move(("127.0.0.1", other.port))
            node.discovery.put(listing(6, endpoint("s-0", one.port, "draining"), is_complete=False))
            assert "since=6&" in (await with_timeout(other.requests.get())).url
            assert (node.discovery.requests.qsize(), other.requests.qsize()) == (0, 0)
            assert not node.node.endpoints._pool.endpoints
            other.put(listing(2, is_complete=False))
            assert "since=-1&" in (await with_timeout(other.requests.get())).url
            other.put(listing(2, endpoint("s-1", two.port)))
            assert "since=2&" in (await with_timeout(other.requests.get())).url
            caller = await node.client()
            caller.send()
            assert (await caller.read_response())[0] == 200
            assert (one.requests.qsize(), two.requests.qsize()) == (0, 1)

    run(scenario())


def test_a_list_of_the_nodes_other_process_is_used_if_it_is_newer_and_its_age_goes_on():
    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as one,
            ScriptedServer(lambda _: reply(200)) as two,
            RunningNode(one, two, settings=TEN) as node,
        ):
            source, read = node.node.source, []
            source.read_listeners.append(lambda: read.append(source.version))
            await with_timeout(node.discovery.requests.get())
            node.discovery.put(listing(4, is_complete=False))
            await with_timeout(node.discovery.requests.get())
            entries = endpoint("s-0", one.port), endpoint("s-1", two.port, "draining")
            source.adopt(parse_endpoint_list(listing(6, *entries)), 1_500_000)
            assert set(node.node.pool.endpoints) == {"s-0"}
            assert source.list_age_us() < 1_500_000  # it had been up to date more lately
            source.adopt(parse_endpoint_list(listing(5, endpoint("s-1", two.port))), 0)
            assert set(node.node.pool.endpoints) == {"s-0"}
            assert read == [4]
            node.discovery.put(listing(7, endpoint("s-1", two.port), is_complete=False))
            assert "since=7&" in (await with_timeout(node.discovery.requests.get())).url
            assert read == [4, 7]

    run(scenario())


@pytest.mark.parametrize("agent", ["answers", "silent"])
def test_a_process_sends_nothing_by_its_saved_list_before_its_agent_had_time_to_answer(agent):
    pushed = TEN | {"discovery": "pushed"}

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as one,
            ScriptedServer(lambda _: reply(200)) as two,
            RunningNode(one, two, settings=pushed) as node,
        ):
            began = time.monotonic()
            caller = await node.client()
            caller.send()
            await with_timeout(node.discovery.requests.get())
            await asyncio.sleep(0.2)
            assert (one.requests.qsize(), two.requests.qsize()) == (0, 0)
            if agent == "answers":
                node.discovery.put(
                    listing(4, endpoint("s-0", one.port, "draining"), is_complete=False)
                )
            assert (await caller.read_response())[0] == 200
            if agent == "answers":
                assert (one.requests.qsize(), two.requests.qsize()) == (0, 1)
            else:
                assert 0.7 < time.monotonic() - began < 2.0

    run(scenario())


def test_drain_is_applied_at_once_and_the_watch_goes_on_from_its_index():
    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as one,
            ScriptedServer(lambda _: reply(200)) as two,
            RunningNode(one, two) as node,
        ):
            caller = await node.client()
            await with_timeout(node.discovery.requests.get())
            node.discovery.put(listing(5, endpoint("s-0", one.port, "draining"), is_complete=False))
            assert "since=5&" in (await with_timeout(node.discovery.requests.get())).url
            for i in range(6):
                caller.send(X_Request_ID=f"r-{i}")
                assert (await caller.read_response())[0] == 200
            assert (one.requests.qsize(), two.requests.qsize()) == (0, 6)
            node.discovery.put(
                listing(
                    6,
                    endpoint("s-0", one.port),
                    endpoint("s-1", two.port, "gone"),
                    is_complete=False,
                )
            )
            assert "since=6&" in (await with_timeout(node.discovery.requests.get())).url
            caller.send()
            assert (await caller.read_response())[0] == 200
            assert one.requests.qsize() == 1

    run(scenario())


@pytest.mark.parametrize(
    "broken",
    [
        reply(503),
        reply(200, b"{"),
        reply(200, b"[" * 100_000),
        reply(200, b'{"index":2}'),
        reply(
            200,
            json.dumps(
                listing(2, {"name": "s-9", "address": "nowhere", "status": "ready"})
            ).encode(),
        ),
        "close",
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{", "close"),
        b"no HTTP at all\r\n\r\n",
    ],
)
def test_watch_that_breaks_is_lost_and_begun_anew_with_the_list_kept(broken):
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as peer, RunningNode(peer) as node:
            await with_timeout(node.discovery.requests.get())
            node.discovery.put(broken)
            assert "since=1&" in (await with_timeout(node.discovery.requests.get())).url
            caller = await node.client()
            caller.send()
            assert (await caller.read_response())[0] == 200

    run(scenario())


def test_a_list_that_could_not_be_applied_is_asked_for_again():
    """Guards against a watch that ends untold, which would hide every drain from then on.

    And against a list that counts as read although it is not in use.
    """

    async def scenario():
        async with RunningNode() as node:
            await with_timeout(node.discovery.requests.get())
            listed, calls = node.node.source._on_list, []

            def fails_once(listing):
                calls.append(listing)
                if len(calls) == 1:
                    raise RuntimeError("unforeseen")
                listed(listing)

            node.node.source._on_list = fails_once
            node.discovery.put(listing(2))
            assert "since=1&" in (await with_timeout(node.discovery.requests.get())).url
            assert node.node.source.list_age_us() is None
            node.discovery.put(listing(2))
            assert "since=2&" in (await with_timeout(node.discovery.requests.get())).url
            assert len(calls) == 2

    run(scenario())


def test_a_source_that_was_stopped_makes_no_call_whatever_still_asks_for_one():
    """A balancer's timer may go off while its node closes."""

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as peer,
            RunningNode(peer, settings=TEN) as node,
        ):
            await with_timeout(node.discovery.requests.get())
            source = node.node.source
            node.node.close()
            before = asyncio.all_tasks()
            source.watch(True)
            source.move(("127.0.0.1", node.discovery.port))
            source.fetch()
            await asyncio.sleep(0.05)
            assert asyncio.all_tasks() <= before
            assert node.discovery.requests.empty()

    run(scenario())


def test_status_tells_the_lists_age_what_is_due_and_what_failed_last():
    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as peer,
            RunningNode(peer, settings=TEN) as node,
        ):
            source = node.node.source
            await with_timeout(node.discovery.requests.get())
            before = source.status()
            assert (before.list_age_s, before.open_requests, before.last_failure) == (None, 1, "")
            node.discovery.put(listing(4, is_complete=False))
            await with_timeout(node.discovery.requests.get())
            told = source.status()
            assert (told.version, told.open_requests) == (4, 1)
            assert 0 <= told.list_age_s < 1.0
            assert 5.0 < told.due_in_s <= 6.0
            node.discovery.put(reply(500))
            await until(lambda: source.status().last_failure)
            failed = source.status()
            detail = "response: expected status 200, got 500"
            assert failed.last_failure == f"renewal call refused: {detail}"
            assert failed.last_failure_age_s < 1.0
            assert failed.open_requests == 0

    run(scenario())
