"""Nodes whose discovery moves, is overloaded or loses responses learn of a drain in time.

Guards against nodes that send to a draining server for a second and more after the 6 s in which
they must know a change.  This happened when the configuration was reloaded several times within
seconds, each time with another address of discovery, while discovery was overloaded:

- Timeouts, delays and reloads each started to count the 6 s again.
- Each reload left the timer of an earlier delay running, so a node sent more requests with each
  reload, at intervals below the minimum of 0.3 s.  Discovery only refused requests from then on.
- Each reload gave up the node's place in discovery's queue, and a watch that was up to date.
- The request that opened a watch waited for a change before its first response, 7 s in all.
"""

import asyncio
import signal
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

import pytest
from discovery_standin import (
    AnswerFault,
    MovedAddress,
    NodeDiscovery,
    PublishedList,
    RequestQueue,
)
from node_process import NodeProcess, node_settings
from peers import Client, ScriptedServer, endpoint, reply, run, with_timeout

MAX_LIST_AGE_S = 6.0  # a node must know a change this long after discovery had it
GRACE_S = 0.25 + 0.05  # time to stop sending after a drain is known, and a tolerance
MAX_LIST_AGE_AFTER_MOVE_S = 4.0  # where lists are pushed
MIN_REFUSED_INTERVAL_S = 0.3  # minimum time between two refused requests of a node
SERVERS = 4
DRAINED = "s-0"


@dataclass
class FleetUnderTest:
    """Nodes with one discovery service, and when each node last sent to the draining server."""

    nodes: list[NodeProcess]
    discoveries: list[NodeDiscovery]
    published: PublishedList
    draining: set[str]
    last_sent: dict[int, float] = field(default_factory=dict)

    def drain(self) -> float:
        """Have discovery publish a drain; return when it did."""
        self.draining.add(DRAINED)
        self.published.publish()
        return time.monotonic()

    async def move(self, number: int) -> None:
        """Move discovery for one node, and have it reload its configuration."""
        node = self.nodes[number]
        node.reconfigure(discovery=f"127.0.0.1:{await self.discoveries[number].move()}")
        node.signal(signal.SIGHUP)

    async def send_requests(self, number: int) -> None:
        """Send requests one after another, and record when one goes to the draining server."""
        client = await Client.connect(self.nodes[number].port)
        try:
            while True:
                sent_at = time.monotonic()
                client.send()
                if (await client.read_response())[2] == DRAINED.encode():
                    self.last_sent[number] = sent_at
                await asyncio.sleep(0.02)
        finally:
            client.close()


async def start_fleet(
    stack: AsyncExitStack, folder, size: int, queue=None, discovery="on_request"
) -> FleetUnderTest:
    """Start nodes, and wait until each has a list and a watch."""
    names = [f"s-{number}" for number in range(SERVERS)]
    servers = [
        await stack.enter_async_context(
            ScriptedServer(lambda _, name=name: reply(200, name.encode()))
        )
        for name in names
    ]
    draining: set[str] = set()

    def entries() -> list[dict]:
        return [
            endpoint(name, server.port, "draining" if name in draining else "ready")
            for name, server in zip(names, servers, strict=True)
        ]

    published = PublishedList(entries)
    settings = node_settings(discovery=discovery)
    settings["invariants"] |= {"ask-within": 10_000_000}
    settings["instances"] = size
    fleet = FleetUnderTest([], [], published, draining)
    for number in range(size):
        source = NodeDiscovery(published, queue)
        await source.start()
        stack.callback(source.close)
        node = NodeProcess(
            folder,
            [server.port for server in servers],
            name=f"n{number}",
            seed=number + 1,
            settings=settings,
            discovery=source.port,
        )
        await node.start(wait=False)
        stack.push_async_callback(node.stop)
        fleet.nodes.append(node)
        fleet.discoveries.append(source)
    await asyncio.gather(*(with_timeout(node.ready()) for node in fleet.nodes))
    async with asyncio.timeout(15):
        while not all(source.runs[0].written_at for source in fleet.discoveries):
            await asyncio.sleep(0.05)
    return fleet


def stop_senders(senders: list[asyncio.Task[None]]) -> None:
    """Stop the tasks that send requests, all of which must still be running."""
    for sender in senders:
        assert not sender.done(), sender
        sender.cancel()


def late_sends(fleet: FleetUnderTest, drained_at: float, must_know_at: float) -> list[str]:
    """Return which nodes sent to the draining server too late, and how long after the drain."""
    return [
        f"n{number}: {sent_at - drained_at:.2f} s after the drain"
        for number, sent_at in sorted(fleet.last_sent.items())
        if sent_at > must_know_at + GRACE_S
    ]


@pytest.mark.parametrize("previous", [MovedAddress.SERVES, MovedAddress.CLOSES])
def test_drain_is_known_in_time_while_a_series_of_reloads_moves_an_overloaded_discovery(
    tmp_path, previous
):
    async def scenario():
        async with AsyncExitStack() as stack:
            queue = RequestQueue()
            fleet = await start_fleet(stack, tmp_path, 8, queue)
            queue.answer_s, queue.refusal_s = 0.25, 0.0125
            senders = [asyncio.create_task(fleet.send_requests(n)) for n in range(8)]
            queue.fill(7.5)  # discovery can respond to all nodes within 5.7 s after the drain
            for discovery in fleet.discoveries:
                discovery.moved_address = previous
                discovery.reset_calls()
            await asyncio.sleep(5.0)
            await asyncio.gather(*(fleet.move(number) for number in range(8)))
            drained_at = fleet.drain()
            for delay_s in (0.3, 0.4, 0.9):
                await asyncio.sleep(delay_s)
                await asyncio.gather(*(fleet.move(number) for number in range(8)))
            moved_at = time.monotonic()
            await asyncio.sleep(drained_at + MAX_LIST_AGE_S + GRACE_S + 1.5 - time.monotonic())
            stop_senders(senders)
            assert not late_sends(fleet, drained_at, drained_at + MAX_LIST_AGE_S)
            for discovery in fleet.discoveries:
                requests = [at for at in discovery.calls if moved_at + 0.5 < at < moved_at + 3.5]
                assert len(requests) <= 3.0 / MIN_REFUSED_INTERVAL_S + 1

    run(scenario())


@pytest.mark.parametrize("discovery", ["on_request", "pushed"])
@pytest.mark.parametrize("fault", [AnswerFault.LOST, AnswerFault.HALF])
def test_drain_is_known_in_time_though_responses_are_lost_while_reloads_move_discovery(
    tmp_path, fault, discovery
):
    async def scenario():
        async with AsyncExitStack() as stack:
            fleet = await start_fleet(stack, tmp_path, 4, discovery=discovery)
            senders = [asyncio.create_task(fleet.send_requests(n)) for n in range(4)]
            for source in fleet.discoveries:
                source.start_fault(fault)
            drained_at = fleet.drain()
            moves = 1 if discovery == "pushed" else 4
            for number in range(moves):
                await asyncio.sleep(0.1 + 0.4 * number)
                await asyncio.gather(*(fleet.move(n) for n in range(4)))
                moved_at = time.monotonic()
            await asyncio.sleep(drained_at + 2.9 - time.monotonic())
            for source in fleet.discoveries:
                source.stop_fault()
            await asyncio.sleep(drained_at + MAX_LIST_AGE_S + GRACE_S + 2.0 - time.monotonic())
            stop_senders(senders)
            must_know_at = drained_at + MAX_LIST_AGE_S
            if discovery == "pushed":
                must_know_at = moved_at + MAX_LIST_AGE_AFTER_MOVE_S
            assert not late_sends(fleet, drained_at, must_know_at)

    run(scenario())
