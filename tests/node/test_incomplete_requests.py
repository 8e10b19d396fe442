"""Whose incomplete requests are rejected when a node is short of memory."""

import asyncio

import pytest
from peers import RunningNode, ScriptedServer, reply, run, until
from raw_server import head

from oakbridge.node import memory_monitor
from oakbridge.node.incomplete_requests import MAX_REST_US, IncompleteRequest, rejection_order
from oakbridge.node.memory_account import BYTES_PER_MB, MemoryShare, memory_limit

SECOND_US = 1_000_000
FAST = IncompleteRequest(400_000, 300_000, 2 * SECOND_US, 0, is_in_head=False)
SLOW = IncompleteRequest(60_000, 50_000, 2 * SECOND_US, 0, is_in_head=False)
STOPPED = IncompleteRequest(60_000, 50_000, 2 * SECOND_US, SECOND_US, is_in_head=False)
STOPPED_LONG = IncompleteRequest(240_000, 240_000, 2 * SECOND_US, 1_100_000, is_in_head=False)
YOUNG = IncompleteRequest(1_000, 100, 400_000, 400_000, is_in_head=False)
HEAD = IncompleteRequest(60_000, 16_000, 1_900_000, 1_900_000, is_in_head=True)
OLD_HEAD = IncompleteRequest(60_000, 16_000, 2_100_000, 10_000, is_in_head=True)


@pytest.mark.parametrize(
    ("only_slow", "expected"),
    [
        (True, [STOPPED_LONG, STOPPED, OLD_HEAD, SLOW]),
        (False, [STOPPED_LONG, STOPPED, OLD_HEAD, SLOW, HEAD, YOUNG, FAST]),
    ],
)
def test_clients_slower_than_owed_are_rejected_first_by_what_they_hold_and_how_long_they_rest(
    only_slow, expected
):
    requests = [FAST, SLOW, STOPPED, STOPPED_LONG, YOUNG, HEAD, OLD_HEAD]
    assert rejection_order(requests, only_slow=only_slow) == expected


# Guards against a few clients that stop within a request and take the memory from all others.
def test_stopped_request_is_rejected_when_memory_is_short_and_others_are_served():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as server, RunningNode(server) as node:
            memory = node.node.memory
            memory.set_limit(500_000)
            memory.watched_bytes = 100_000
            stopped, good = await node.client(), await node.client()
            stopped.writer.write(head("POST", "/api", "Content-Length: 480000") + bytes(240_000))
            await until(lambda: memory.held_bytes > 240_000)
            await asyncio.sleep(MAX_REST_US / SECOND_US + 0.1)
            assert not stopped.reader.at_eof()
            share = MemoryShare(memory)
            share.set(200_000)  # memory is short now
            assert (await stopped.read_response())[0] == 503
            await until(lambda: memory.held_bytes < 220_000)
            good.send()
            assert (await good.read_response())[0] == 200
            assert node.node.rejected == 1

    run(scenario())


# Guards against a process that passes its memory limit by what no share counts.
def test_resident_memory_above_its_ceiling_lowers_the_limit_and_rejects(monkeypatch):
    resident = 26 * BYTES_PER_MB
    monkeypatch.setattr(memory_monitor, "resident_bytes", lambda: resident)
    monkeypatch.setattr(memory_monitor, "return_free_memory", lambda: None)

    async def scenario():
        nonlocal resident
        async with ScriptedServer(lambda _: reply(200)) as server, RunningNode(server) as node:
            memory, monitor = node.node.memory, node.node.server.memory_monitor
            monitor._memory_mb = 32
            memory.set_limit(memory_limit(32))
            client = await node.client()
            client.writer.write(head("POST", "/api", "Content-Length: 480000") + bytes(240_000))
            await until(lambda: memory.held_bytes > 240_000)
            resident = 32 * BYTES_PER_MB
            monitor.start()
            assert (await client.read_response())[0] == 503
            lowered = memory.limit_bytes
            assert lowered < memory_limit(32)
            resident = 26 * BYTES_PER_MB
            await until(lambda: memory.limit_bytes > 2 * lowered)

    run(scenario())
