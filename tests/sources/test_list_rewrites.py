"""A thousand rewrites of the server file under load, of which about 300 are broken."""

import asyncio
from collections import Counter

from peers import run, with_timeout
from rewritten_files import BREAKAGE_KINDS, SEED, RewrittenFileHarness

from oakbridge.demo.load import LoadGenerator
from oakbridge.policy.actions import UnservedReason

REWRITES = 1000
RATE = 150  # requests a second
BURST_PAUSE_US = 100_000  # after a shorter pause, all requests due meanwhile are sent at once
US_PER_S = 1_000_000
GRACE_US = 250_000  # time for which sends to a draining or removed server may continue


def test_a_thousand_rewrites_under_load(tmp_path, monkeypatch):
    # A file with a wrong checksum is rejected after 2 s; with many such files, that takes too long.
    monkeypatch.setattr("oakbridge.sources.version_tracker.CHECKSUM_TIMEOUT_US", 20_000)

    async def scenario():
        async with RewrittenFileHarness(tmp_path) as harness:
            load = LoadGenerator(
                harness.node.server.address, {"look": 10.0}, rate=RATE, seconds=600, seed=SEED
            )
            running = asyncio.create_task(load.run())
            decisions, breakages = Counter(), Counter()
            for index in range(1, REWRITES + 1):
                is_valid, kind = harness.rewrite(index)
                decisions[await harness.wait_for_decision(is_valid)] += 1
                if not is_valid:
                    breakages[kind] += 1
            load.stop()
            tally = await with_timeout(running)

            assert decisions["used"] > 650
            assert decisions["refused"] + decisions["held"] > 250
            assert decisions["held"] > 5
            assert len(breakages) == BREAKAGE_KINDS
            # Every request got one response: none was lost or rejected for lack of servers.
            rejected = rejected_after_pause(harness)
            assert tally.answered == Counter({200: tally.sent - rejected, 503: rejected})
            assert tally.lost == 0
            assert tally.sent > 500
            # Every attempt went to a server of the version that its request is pinned to.
            assert len(harness.attempts) > tally.sent + 10  # with retries, also across versions
            for version, name, address in harness.attempts:
                assert harness.versions[version][name] == address
            assert len({attempt_version for attempt_version, _, _ in harness.attempts}) > 100
            # No request arrived at a removed server later than the grace time after its removal.
            check_removals(harness)

    run(scenario(), 180)


def rejected_after_pause(harness: RewrittenFileHarness) -> int:
    """Return how many requests were rejected because the queue was full.

    The node, the servers and the load run in this process.  Requests that become due while it does
    not run are sent in one burst, which no endpoint list causes.  Requests may be rejected for no
    other reason, and at most as many as become due in the longest pause.
    """
    unserved = harness.node.forwarder.unserved.counts
    assert set(unserved) <= {UnservedReason.QUEUE_FULL}, unserved
    rejected = unserved[UnservedReason.QUEUE_FULL]
    assert not rejected or harness.longest_pause_us > BURST_PAUSE_US, harness.longest_pause_us
    assert rejected <= RATE * harness.longest_pause_us / US_PER_S
    return rejected


def check_removals(harness: RewrittenFileHarness) -> None:
    """Check that no request arrives at a server after the grace time, until it is ready again."""
    removed_at: dict[str, list[int]] = {}
    for address, time_us in harness.removals:
        removed_at.setdefault(address, []).append(time_us)
    assert len(harness.removals) > 500
    sent_by_address = Counter(address for _, _, address in harness.attempts)
    arrived_count = sum(len(server.arrived_at) for server in harness.stand_ins.values())
    # Attempts that had not connected when their server was removed went to another server.
    assert 0 <= sum(sent_by_address.values()) - arrived_count < 100
    assert min(sent_by_address.values()) > 20  # every server was used
    # A request that was sent in time may be read only after a pause of this process.
    late_count, grace_us = 0, GRACE_US + harness.longest_pause_us
    for address, stand_in in harness.stand_ins.items():
        added_at = added_times(harness, address)
        for removal_us in removed_at.get(address, []):
            next_us = min(
                (added_us for added_us in added_at if added_us > removal_us), default=1 << 62
            )
            late_count += sum(
                1
                for arrived_at in stand_in.arrived_at
                if removal_us + grace_us < arrived_at < next_us
            )
    assert late_count == 0


def added_times(harness: RewrittenFileHarness, address: str) -> list[int]:
    """Return the times at which a list made the server with this address ready."""
    return [time_us for time_us, addresses in harness.additions if address in addresses]
