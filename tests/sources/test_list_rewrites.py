"""A thousand rewrites of the server file under load, about 300 of them broken."""

import asyncio
from collections import Counter

from peers import run, with_timeout
from rewritten_files import BREAKAGE_KINDS, SEED, RewrittenFileWorld

from oakbridge.demo.load import Load
from oakbridge.policy.actions import UnservedReason

REWRITES = 1000
RATE = 150  # requests a second
BURST_PAUSE_US = 100_000  # what becomes due in a shorter pause has a turn at once
US_PER_S = 1_000_000
GRACE_US = 250_000  # in which a drain must have ended new work


def test_a_thousand_rewrites_under_load(tmp_path, monkeypatch):
    # Files with a checksum that doesn't match are awaited for 2 s; here, where there are many, for less.
    monkeypatch.setattr("oakbridge.sources.version_tracker.CHECKSUM_TIMEOUT_US", 20_000)

    async def scenario():
        async with RewrittenFileWorld(tmp_path) as world:
            load = Load(
                world.node.server.address, {"look": 10.0}, rate=RATE, seconds=600, seed=SEED
            )
            running = asyncio.create_task(load.run())
            ends, breakages = Counter(), Counter()
            for n in range(1, REWRITES + 1):
                good, kind = world.rewrite(n)
                ends[await world.settled(good)] += 1
                if not good:
                    breakages[kind] += 1
            load.stop()
            tally = await with_timeout(running)

            assert ends["used"] > 650
            assert ends["refused"] + ends["held"] > 250
            assert ends["held"] > 5
            assert len(breakages) == BREAKAGE_KINDS
            # Every request had one answer, served: none lost, none refused for want of servers.
            rejected = rejected_after_pause(world)
            assert tally.answered == Counter({200: tally.sent - rejected, 503: rejected})
            assert tally.lost == 0
            assert tally.sent > 500
            # Every attempt went to a server of exactly the version that its request keeps to.
            assert len(world.requests) > tally.sent + 10  # retries among them, across versions
            for version, name, place in world.requests:
                assert world.versions[version][name] == place
            assert len({v for v, _, _ in world.requests}) > 100
            # Nothing arrived to a dropped server later than the grace after its version was used.
            check_drops(world)

    run(scenario(), 180)


def rejected_after_pause(world: RewrittenFileWorld) -> int:
    """Return how many requests were rejected by the limit of those that wait.

    What becomes due while this process does not run, with node, servers and load in one, comes in
    one burst; no list has a part in that.  Nothing else may be rejected, nor more than came so.
    """
    unserved = world.node.forwarder.unserved.counts
    assert set(unserved) <= {UnservedReason.QUEUE_FULL}, unserved
    rejected = unserved[UnservedReason.QUEUE_FULL]
    assert not rejected or world.longest_pause > BURST_PAUSE_US, world.longest_pause
    assert rejected <= RATE * world.longest_pause / US_PER_S
    return rejected


def check_drops(world: RewrittenFileWorld) -> None:
    """For each drop of an address: what arrived there until it was listed again."""
    listed_at: dict[str, list[int]] = {}
    for place, at in world.dropped:
        listed_at.setdefault(place, []).append(at)
    assert len(world.dropped) > 500
    sent_by_place = Counter(place for _, _, place in world.requests)
    came_at_all = sum(len(s.arrived_at) for s in world.stand_ins.values())
    # What had not connected when its server was dropped never arrived there, and went elsewhere.
    assert 0 <= sum(sent_by_place.values()) - came_at_all < 100
    assert min(sent_by_place.values()) > 20  # all of them were in use
    late, grace = 0, GRACE_US + world.longest_pause  # what was sent in time is read after the pause
    for place, stand in world.stand_ins.items():
        returns = relisted_times(world, place)
        for dropped in listed_at.get(place, []):
            back = min((r for r in returns if r > dropped), default=1 << 62)
            late += sum(1 for arrived_at in stand.arrived_at if dropped + grace < arrived_at < back)
    assert late == 0


def relisted_times(world: RewrittenFileWorld, place: str) -> list[int]:
    return [at for at, places in world.listed_times if place in places]
