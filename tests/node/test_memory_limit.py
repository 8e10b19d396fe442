"""The memory that a node holds for requests and responses, and its limit.

Guards against a node that is killed for its memory, with all requests that it has.
"""

import asyncio

import pytest
from memory_load import measure
from peers import RunningNode, ScriptedServer, reply, run, until, with_timeout
from raw_server import head

from oakbridge.node.memory_account import (
    CONNECTION_BYTES,
    DEFAULT_LIMIT_BYTES,
    MIN_LIMIT_BYTES,
    PROCESS_BYTES,
    MemoryAccount,
    MemoryShare,
    memory_limit,
)
from oakbridge.node.memory_monitor import MemoryMonitor

BYTES_PER_MB = 1024 * 1024
LOAD_S = 2.5
# Python keeps the pages of small objects; long buffers are returned.
KEPT_MB = 8.0


@pytest.mark.parametrize(
    ("load", "memory_mb", "sockets", "clients"),
    [
        ("bodies", 192, 1024, 200),
        ("pipelined_bodies", 192, 1024, 150),
        ("bodies", 32, 256, 110),
        ("chunked_bodies", 32, 256, 110),
        ("tiny_chunks", 32, 256, 40),
        ("pipelined_bodies", 32, 256, 110),
        ("pipelined_heads", 32, 256, 110),
        ("many_headers", 32, 256, 110),
        ("responses_unread", 32, 256, 110),
        ("slow_readers", 32, 256, 110),
        ("long_streams", 32, 256, 110),
    ],
)
def test_process_stays_within_its_memory_and_returns_it_after_the_load(
    load, memory_mb, sockets, clients
):
    outcome = run(measure(load, clients, LOAD_S, memory_mb=memory_mb, sockets=sockets), limit=120.0)
    assert outcome.peak_mb <= memory_mb
    assert outcome.final_mb <= outcome.idle_mb + KEPT_MB
    served = {"many_headers": "incomplete", "responses_unread": "not read"}.get(load, "200")
    assert outcome.statuses[served] > 0


def test_request_above_the_limit_is_rejected_and_the_next_one_is_served():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as server, RunningNode(server) as node:
            memory = node.node.memory
            share = MemoryShare(memory)
            share.set(memory.limit_bytes)
            client, second = await node.client(), await node.client()
            for i in range(3):  # pipelined, with bodies that are discarded
                client.writer.write(
                    head("POST", "/api", "Content-Length: 300000", request_id=f"r-{i}")
                )
                client.writer.write(bytes(300_000))
            for _ in range(3):
                assert (await client.read_response())[0] == 503
            expecting = head("POST", "/api", "Content-Length: 9", "Expect: 100-continue")
            second.writer.write(expecting)
            assert (await second.read_response())[0] == 503
            client.send(url="/-/ready")
            assert (await client.read_response())[0] == 200
            assert server.requests.empty()
            assert memory.held_bytes < memory.limit_bytes + 100_000
            share.set(0)
            client.send()
            assert (await client.read_response())[0] == 200
            assert node.node.rejected == 3

    run(scenario())


def test_body_that_begins_below_the_limit_and_ends_above_it_is_rejected():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as server, RunningNode(server) as node:
            memory = node.node.memory
            client = await node.client()
            client.writer.write(head("POST", "/api", "Content-Length: 30000") + bytes(20_000))
            await until(lambda: memory.held_bytes > 20_000)
            share = MemoryShare(memory)
            share.set(memory.limit_bytes)
            client.writer.write(bytes(10_000))
            assert (await client.read_response())[0] == 503
            share.set(0)
            assert server.requests.empty()
            await until(lambda: memory.held_bytes == CONNECTION_BYTES)

    run(scenario())


def test_stream_goes_on_above_the_limit_as_its_server_takes_the_body():
    """Guards against streams that wait for each other's memory."""
    size = 3_000_000

    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as server, RunningNode(server) as node:
            memory = node.node.memory
            clients = [await node.client() for _ in range(4)]
            for i, client in enumerate(clients):
                client.writer.write(
                    head("POST", "/api", f"Content-Length: {size}", request_id=f"r-{i}")
                )
                client.writer.write(bytes(600_000))
            await until(lambda: len(node.node.forwarder.requests) == 4)
            share = MemoryShare(memory)
            share.set(memory.limit_bytes)
            for client in clients:
                client.writer.write(bytes(size - 600_000))
            for client in clients:
                assert (await client.read_response())[0] == 200
            received = [await with_timeout(server.requests.get()) for _ in clients]
            assert [len(request.body) for request in received] == [size] * 4

    run(scenario())


def test_response_is_streamed_in_small_parts_above_the_limit():
    body = bytes(range(250)) * 240

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200, body)) as server,
            RunningNode(server) as node,
        ):
            memory = node.node.memory
            client = await node.client()
            client.send()
            await with_timeout(server.requests.get())
            share = MemoryShare(memory)
            share.set(memory.limit_bytes)
            assert (await client.read_response())[::2] == (200, body)

    run(scenario())


@pytest.mark.parametrize("disconnects", [False, True])
def test_share_of_a_closed_connection_is_released(disconnects):
    """Guards against a limit that shrinks with each client that leaves."""

    async def scenario():
        async with ScriptedServer(lambda _: None) as server, RunningNode(server) as node:
            memory = node.node.memory
            parts = [
                head("POST", "/api", "Content-Length: 300000", request_id="r-1") + bytes(200_000),
                head("POST", "/api", "Content-Length: 900000", request_id="r-2") + bytes(700_000),
                head("POST", "/api", "Content-Length: 90000", request_id="r-3") + bytes(90_000),
                head("GET", "/api", request_id="r-4")[:-2],
            ]
            clients = [await node.client() for _ in parts]
            for client, part in zip(clients, parts, strict=True):
                client.writer.write(part)
            await until(lambda: memory.held_bytes > 290_000)
            if disconnects:
                for client in clients:
                    client.close()
            else:
                for connection in list(node.node.server.limits.connections):
                    connection.abort()
            await until(lambda: not node.node.server.connection_count())
            # The server still has the request that was written completely.
            await until(
                lambda: memory.held_bytes == node.node.pool.connection_count * CONNECTION_BYTES
            )

    run(scenario())


def test_limit_follows_from_the_platforms_limit():
    assert memory_limit(0) == DEFAULT_LIMIT_BYTES
    for memory_mb in (32, 64, 128, 192):
        limit = memory_limit(memory_mb)
        assert MIN_LIMIT_BYTES <= limit <= memory_mb * BYTES_PER_MB - PROCESS_BYTES
        other = memory_limit(memory_mb, other_bytes=100 * BYTES_PER_MB)
        assert other == MIN_LIMIT_BYTES or other < limit


def test_limit_is_shared_with_the_predecessor_until_it_exits():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as server, RunningNode(server) as node:
            memory = MemoryAccount(memory_limit(192))
            node.node.server.memory_monitor = MemoryMonitor(memory, node.node.clock, list, 192)
            node.node.share_limits(10, 50 * BYTES_PER_MB)
            assert memory.limit_bytes == memory_limit(
                192, other_bytes=PROCESS_BYTES + 50 * BYTES_PER_MB
            )
            node.node.share_limits(0, None)
            assert memory.limit_bytes == memory_limit(192)

    run(scenario())


def test_monitor_lowers_the_limit_by_what_the_process_takes_beside_the_account(monkeypatch):
    async def scenario():
        async with RunningNode() as node:
            memory = MemoryAccount(memory_limit(192))
            taken = 80 * BYTES_PER_MB
            monkeypatch.setattr(
                "oakbridge.node.memory_monitor.resident_bytes", lambda: taken + memory.held_bytes
            )
            MemoryMonitor(memory, node.node.clock, list, 192)
            share = MemoryShare(memory)
            share.set(memory.watched_bytes + 1)
            assert memory.limit_bytes < memory_limit(192, process_bytes=taken)
            share.set(0)
            await asyncio.sleep(0)

    run(scenario())
