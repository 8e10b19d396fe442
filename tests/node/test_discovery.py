"""Discovery as a source of endpoint lists, over loopback: polls, watches and their failures."""

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

SETTINGS_10_S = SETTINGS | {"invariants": SETTINGS["invariants"] | {"ask-within": 10_000_000}}


def watch_length_ms(url: str) -> int:
    """Return how long discovery may wait for a change before it responds to this request."""
    return int(url.partition("timeout_ms=")[2])


def test_a_watch_that_timed_out_is_renewed_at_once(monkeypatch):
    """Guards against an additional delay after a timeout."""
    monkeypatch.setattr(list_refresh, "MAX_WATCH_S", 0.6)

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as first_server,
            ScriptedServer(lambda _: reply(200)) as second_server,
            RunningNode(first_server, second_server, settings=SETTINGS_10_S) as node,
        ):
            await with_timeout(node.discovery.requests.get())
            node.discovery.put(listing(4, is_complete=False))
            watch = await with_timeout(node.discovery.requests.get())  # gets no response
            started_at = time.monotonic()
            next_watch = await with_timeout(node.discovery.requests.get())
            assert time.monotonic() - started_at < 0.6 + list_refresh.WATCH_GRACE_S + 0.3
            assert next_watch.connection != watch.connection
            assert next_watch.url.startswith("/api/targets?since=4&timeout_ms=")
            node.discovery.answers.put_nowait(b"")  # taken by the watch that timed out
            node.discovery.put(
                listing(5, endpoint("s-0", first_server.port, "draining"), is_complete=False)
            )
            assert "since=5&" in (await with_timeout(node.discovery.requests.get())).url
            client = await node.client()
            for _ in range(4):
                client.send()
                assert (await client.read_response())[0] == 200
            assert (first_server.requests.qsize(), second_server.requests.qsize()) == (0, 4)

    run(scenario())


def test_a_response_that_stalls_is_requested_again_before_its_watch_times_out():
    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as server,
            RunningNode(server, settings=SETTINGS_10_S) as node,
        ):
            await with_timeout(node.discovery.requests.get())
            node.discovery.put(listing(4, is_complete=False))
            watch = await with_timeout(node.discovery.requests.get())
            response = reply(200, json.dumps(listing(5, endpoint("s-0", server.port))).encode())
            node.discovery.put(response[:100])
            started_at = time.monotonic()
            next_watch = await with_timeout(node.discovery.requests.get())
            assert next_watch.connection != watch.connection
            assert time.monotonic() - started_at < STALL_TIMEOUT_S + 0.3

    run(scenario())


def test_lengths_of_watches_have_jitter_and_leave_time_for_further_requests():
    """Guards against nodes that received the same change and then renew their watches all at once.

    Or that all notice at once that their watches broke.
    """

    async def scenario():
        async with RunningNode(settings=SETTINGS_10_S) as node:
            lengths_ms = []
            await with_timeout(node.discovery.requests.get())  # the first request does not wait
            node.discovery.put(listing(2, is_complete=False))
            for version in range(3, 43):
                lengths_ms.append(
                    watch_length_ms((await with_timeout(node.discovery.requests.get())).url)
                )
                node.discovery.put(listing(version, is_complete=False))
            assert 500 <= min(lengths_ms) < 800 < 1700 < max(lengths_ms) <= 2000
            assert len(set(lengths_ms)) > 30
            left_s = (
                list_refresh.MAX_LIST_AGE_S - max(lengths_ms) / 1000 - list_refresh.WATCH_GRACE_S
            )
            # For discovery's queue, if the watches of all nodes break at once.
            assert left_s >= 3.5

    run(scenario())


def test_changes_with_a_lower_version_are_not_applied_and_the_complete_list_is_requested():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as server, RunningNode(server) as node:
            await with_timeout(node.discovery.requests.get())
            node.discovery.put(listing(5, is_complete=False))
            assert "since=5&" in (await with_timeout(node.discovery.requests.get())).url
            node.discovery.put(listing(3, endpoint("s-0", server.port, "gone"), is_complete=False))
            assert "since=-1&" in (await with_timeout(node.discovery.requests.get())).url
            client = await node.client()
            client.send()
            assert (await client.read_response())[0] == 200

    run(scenario())


def test_a_move_keeps_the_open_request_and_a_lower_version_has_the_complete_list_requested():
    """Polled discovery is one service: a cancelled request would lose its place in the queue."""

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as first_server,
            ScriptedServer(lambda _: reply(200)) as second_server,
            ScriptedDiscovery() as new_discovery,
            RunningNode(first_server, settings=SETTINGS_10_S) as node,
        ):
            await with_timeout(node.discovery.requests.get())
            node.discovery.put(listing(5, is_complete=False))
            await with_timeout(node.discovery.requests.get())  # the watch that is open as it moves
            for _ in range(3):
                node.node.source.move(("127.0.0.1", new_discovery.port))
            node.discovery.put(
                listing(6, endpoint("s-0", first_server.port, "draining"), is_complete=False)
            )
            assert "since=6&" in (await with_timeout(new_discovery.requests.get())).url
            assert (node.discovery.requests.qsize(), new_discovery.requests.qsize()) == (0, 0)
            assert not node.node.endpoints._pool.endpoints
            new_discovery.put(listing(2, is_complete=False))
            assert "since=-1&" in (await with_timeout(new_discovery.requests.get())).url
            new_discovery.put(listing(2, endpoint("s-1", second_server.port)))
            assert "since=2&" in (await with_timeout(new_discovery.requests.get())).url
            client = await node.client()
            client.send()
            assert (await client.read_response())[0] == 200
            assert (first_server.requests.qsize(), second_server.requests.qsize()) == (0, 1)

    run(scenario())


def test_a_list_of_the_nodes_other_process_is_used_if_it_is_newer_and_keeps_its_age():
    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as first_server,
            ScriptedServer(lambda _: reply(200)) as second_server,
            RunningNode(first_server, second_server, settings=SETTINGS_10_S) as node,
        ):
            source, read_versions = node.node.source, []
            source.read_listeners.append(lambda: read_versions.append(source.version))
            await with_timeout(node.discovery.requests.get())
            node.discovery.put(listing(4, is_complete=False))
            await with_timeout(node.discovery.requests.get())
            entries = (
                endpoint("s-0", first_server.port),
                endpoint("s-1", second_server.port, "draining"),
            )
            source.adopt(parse_endpoint_list(listing(6, *entries)), 1_500_000)
            assert set(node.node.pool.endpoints) == {"s-0"}
            assert source.list_age_us() < 1_500_000  # the list before was up to date more recently
            source.adopt(parse_endpoint_list(listing(5, endpoint("s-1", second_server.port))), 0)
            assert set(node.node.pool.endpoints) == {"s-0"}
            assert read_versions == [4]
            node.discovery.put(listing(7, endpoint("s-1", second_server.port), is_complete=False))
            assert "since=7&" in (await with_timeout(node.discovery.requests.get())).url
            assert read_versions == [4, 7]

    run(scenario())


@pytest.mark.parametrize("agent", ["responds", "silent"])
def test_a_process_does_not_use_its_saved_list_before_its_agent_had_time_to_respond(agent):
    pushed = SETTINGS_10_S | {"discovery": "pushed"}

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as first_server,
            ScriptedServer(lambda _: reply(200)) as second_server,
            RunningNode(first_server, second_server, settings=pushed) as node,
        ):
            started_at = time.monotonic()
            client = await node.client()
            client.send()
            await with_timeout(node.discovery.requests.get())
            await asyncio.sleep(0.2)
            assert (first_server.requests.qsize(), second_server.requests.qsize()) == (0, 0)
            if agent == "responds":
                node.discovery.put(
                    listing(4, endpoint("s-0", first_server.port, "draining"), is_complete=False)
                )
            assert (await client.read_response())[0] == 200
            if agent == "responds":
                assert (first_server.requests.qsize(), second_server.requests.qsize()) == (0, 1)
            else:
                assert 0.7 < time.monotonic() - started_at < 2.0

    run(scenario())


def test_drain_is_applied_at_once_and_the_watch_continues_from_its_version():
    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as first_server,
            ScriptedServer(lambda _: reply(200)) as second_server,
            RunningNode(first_server, second_server) as node,
        ):
            client = await node.client()
            await with_timeout(node.discovery.requests.get())
            node.discovery.put(
                listing(5, endpoint("s-0", first_server.port, "draining"), is_complete=False)
            )
            assert "since=5&" in (await with_timeout(node.discovery.requests.get())).url
            for i in range(6):
                client.send(X_Request_ID=f"r-{i}")
                assert (await client.read_response())[0] == 200
            assert (first_server.requests.qsize(), second_server.requests.qsize()) == (0, 6)
            node.discovery.put(
                listing(
                    6,
                    endpoint("s-0", first_server.port),
                    endpoint("s-1", second_server.port, "gone"),
                    is_complete=False,
                )
            )
            assert "since=6&" in (await with_timeout(node.discovery.requests.get())).url
            client.send()
            assert (await client.read_response())[0] == 200
            assert first_server.requests.qsize() == 1

    run(scenario())


@pytest.mark.parametrize(
    "response",
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
def test_watch_that_fails_is_opened_again_and_the_list_is_kept(response):
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as server, RunningNode(server) as node:
            await with_timeout(node.discovery.requests.get())
            node.discovery.put(response)
            assert "since=1&" in (await with_timeout(node.discovery.requests.get())).url
            client = await node.client()
            client.send()
            assert (await client.read_response())[0] == 200

    run(scenario())


def test_a_list_that_could_not_be_applied_is_requested_again():
    """Guards against a watch that stops unnoticed, which would hide every drain from then on.

    Also guards against a list that counts as read although it is not in use.
    """

    async def scenario():
        async with RunningNode() as node:
            await with_timeout(node.discovery.requests.get())
            apply_list, received_lists = node.node.source._on_list, []

            def fail_once(new):
                received_lists.append(new)
                if len(received_lists) == 1:
                    raise RuntimeError("unexpected")
                apply_list(new)

            node.node.source._on_list = fail_once
            node.discovery.put(listing(2))
            assert "since=1&" in (await with_timeout(node.discovery.requests.get())).url
            assert node.node.source.list_age_us() is None
            node.discovery.put(listing(2))
            assert "since=2&" in (await with_timeout(node.discovery.requests.get())).url
            assert len(received_lists) == 2

    run(scenario())


def test_a_stopped_source_sends_no_requests():
    """The balancer's timers may still start a watch while the node closes."""

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as server,
            RunningNode(server, settings=SETTINGS_10_S) as node,
        ):
            await with_timeout(node.discovery.requests.get())
            source = node.node.source
            node.node.close()
            tasks_before = asyncio.all_tasks()
            source.watch(True)
            source.move(("127.0.0.1", node.discovery.port))
            source.fetch()
            await asyncio.sleep(0.05)
            assert asyncio.all_tasks() <= tasks_before
            assert node.discovery.requests.empty()

    run(scenario())


def test_status_has_the_lists_age_the_next_refresh_and_the_last_failure():
    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as server,
            RunningNode(server, settings=SETTINGS_10_S) as node,
        ):
            source = node.node.source
            await with_timeout(node.discovery.requests.get())
            before = source.status()
            assert (before.list_age_s, before.open_requests, before.last_failure) == (None, 1, "")
            node.discovery.put(listing(4, is_complete=False))
            await with_timeout(node.discovery.requests.get())
            up_to_date = source.status()
            assert (up_to_date.version, up_to_date.open_requests) == (4, 1)
            assert 0 <= up_to_date.list_age_s < 1.0
            assert 5.0 < up_to_date.due_in_s <= 6.0
            node.discovery.put(reply(500))
            await until(lambda: source.status().last_failure)
            failed = source.status()
            detail = "response: expected status 200, got 500"
            assert failed.last_failure == f"renewal call refused: {detail}"
            assert failed.last_failure_age_s < 1.0
            assert failed.open_requests == 0

    run(scenario())
