"""How servers are divided: rings, what is told, stances, the module's part, and the outlook."""

import random
from collections import Counter

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from oakbridge.cli.main import cli
from oakbridge.lab.simulation.clients import Outcome
from oakbridge.lab.simulation.event_queue import SECOND_US as SECOND
from oakbridge.lab.simulation.fleet import SimulatedFleet
from oakbridge.peers.view_state import ClusterView, ViewState
from oakbridge.policy.balancer import Balancer
from oakbridge.policy.events import (
    Endpoint,
    EndpointListReceived,
    EndpointState,
    SubsetAssignment,
    ZoneWeights,
)
from oakbridge.policy.settings import Idempotency, RequestClass, Settings
from oakbridge.policy.view import listed
from oakbridge.spread import outlook
from oakbridge.spread.core import PARTED_FOR, Copy, Rate, Spread
from oakbridge.spread.ring import cut, tiles

SIZES = st.dictionaries(
    st.text("abcdef", min_size=1, max_size=4), st.floats(0.01, 100), min_size=1, max_size=30
)


@settings(max_examples=150, deadline=None)
@given(SIZES, SIZES, st.integers(1, 8))
def test_each_server_gets_its_sizes_part_and_each_copy_gives_its_own(copies, servers, rings):
    got, given_ = Counter(), Counter()
    for copy, server, length in tiles(copies, servers, rings):
        got[server] += length
        given_[copy] += length
    for found, wanted in ((got, servers), (given_, copies)):
        whole = sum(wanted.values())
        assert all(found[n] == pytest.approx(size / whole, abs=1e-9) for n, size in wanted.items())


@settings(max_examples=60, deadline=None)
@given(SIZES, SIZES, st.integers(1, 8))
def test_a_copys_own_cut_is_its_part_of_the_tiles(copies, servers, rings):
    for me in list(copies)[:3]:
        mine = Counter()
        for copy, server, length in tiles(copies, servers, rings):
            mine[server] += length * (copy == me)
        parts = cut(me, copies, servers, rings)
        weights = {name: part * servers[name] for name, part in parts.items()}
        for name, weight in weights.items():
            assert weight / sum(weights.values()) == pytest.approx(
                mine[name] / sum(mine.values()), abs=0.03 * rings
            )
        assert max(parts.values()) == 1.0 and set(parts) <= {n for n, length in mine.items() if length > 0}


@pytest.mark.parametrize(("nodes", "servers"), [(300, 300), (200, 10), (10, 1000), (1, 5), (2, 2)])
def test_outlooks_by_members_are_even_at_any_size(nodes, servers):
    by_members, by_chance = outlook.outlook(nodes, servers, nodes + 1, servers, 4, 0.5, 1)
    assert by_members.most == pytest.approx(1) and by_members.least == pytest.approx(1)
    assert by_members.copies_most <= max(nodes, 1) and by_chance.most >= by_members.most - 1e-9
    if nodes == 300:
        assert by_chance.p99 > 1.8 and by_members.moved < 0.75


def test_views_that_differ_a_little_cost_a_little_evenness():
    """Each holds the others' parts as they were: one in ten has another step, one in a hundred is not known."""
    rng = random.Random(3)
    truth, servers = outlook.loads(200, 0.5, 1), dict.fromkeys(outlook.named("s", 200), 1.0)
    load, exact = Counter(), Counter()
    for me, part in truth.items():
        seen = {
            n: p * rng.choice((1,) * 9 + (1.41,)) for n, p in truth.items() if n == me or rng.random() > 0.01
        }
        for found, held in ((load, seen), (exact, truth)):
            parts = cut(me, held, servers, 4)
            for name, weight in parts.items():
                found[name] += part * weight / sum(parts.values())
    mean = sum(truth.values()) / 200
    spread, best = (sorted(c[n] / mean for n in servers)[197] for c in (load, exact))
    assert best < 1.1 < spread < 1.9  # random subsets: over 1.9


def test_a_rate_is_told_in_steps_that_hardly_ever_change():
    rate, rng, count, told = Rate(), random.Random(1), 0, []
    for second in range(1200):
        count += sum(rng.random() < 0.1 for _ in range(100)) * (1 if second < 600 else 4)
        told.append(rate.note(second * SECOND, count))
    assert len(set(told[60:600])) <= 2 and len(set(told[900:])) <= 2
    assert 2.5 < told[-1] / told[599] < 6 and min(told) >= 1


def whole(state=ViewState.COMPLETE, **more):
    return ClusterView(state, 4, 0, **more)


COPIES = {f"n{i}": Copy("a" if i % 2 else "b", 10) for i in range(4)}
SERVERS = {f"s{i:02d}": ("a" if i % 2 else "b", 1.0) for i in range(12)}


def test_what_a_node_does_in_each_stance():
    spread = Spread("n1", "", 2)
    assert spread.look(0, whole(ViewState.STARTING), COPIES, SERVERS) is None
    first = spread.look(SECOND, whole(), COPIES, SERVERS)
    assert first and set(first) < set(SERVERS)
    fewer = {n: c for n, c in COPIES.items() if n != "n2"}
    assert spread.look(2 * SECOND, whole(), fewer, SERVERS) is None  # not yet: they come and go in groups
    assert (
        spread.look(9 * SECOND, whole(ViewState.PARTITIONED), fewer, SERVERS) is None
    )  # who is cut off still has its part
    new = {**SERVERS, "s99": ("a", 9.0)}
    assert spread.look(
        9 * SECOND, whole(ViewState.PARTITIONED), fewer, new
    )  # but servers count as they are listed
    assert spread.look(
        10 * SECOND + PARTED_FOR, whole(ViewState.PARTITIONED), fewer, SERVERS
    )  # it lasts: by those in reach
    assert (
        spread.look(60 * SECOND, whole(ViewState.ISOLATED), {"n1": COPIES["n1"]}, SERVERS) is None
    )  # it may be cut off
    assert spread.look(90 * SECOND, whole(), {"n1": COPIES["n1"]}, SERVERS) == {} and spread.moves


def test_with_zones_each_zones_servers_are_divided_among_its_own_copies_and_among_the_others():
    seen = {}
    for me, copy in COPIES.items():
        spread = Spread(me, copy.site, 1)
        parts = spread.look(0, whole(), COPIES, SERVERS)
        seen[me] = {n for n in parts if SERVERS[n][0] == copy.site}
    for one, other in (("n0", "n2"), ("n1", "n3")):
        assert len(seen[one] | seen[other]) == 6 and len(seen[one] & seen[other]) <= 1
    told = spread.describe()
    assert all(row["load_over_fair"] == pytest.approx(1) and row["copies"] <= 2 for row in told["servers"])
    assert told["divided"] and not told["stand_out"]


def test_the_module_uses_its_part_and_keeps_to_it_as_lists_and_zones_change():
    classes = (RequestClass("look", 2_500_000, 6_000_000, 5, 0.3, Idempotency.IDEMPOTENT),)
    module = Balancer(Settings(classes, replica_count=10), 1)
    entries = [Endpoint(f"s{i:02d}", zone="ab"[i % 2]) for i in range(40)]
    module.handle(0, EndpointListReceived(entries))
    parts = {f"s{i:02d}": 1.0 - i / 10 for i in range(6)}
    module.handle(1, SubsetAssignment(parts))

    def used():
        return {s.id: round(s.weight, 6) for s in module.members.subset.items(with_inactive=True)}

    assert used() == {n: round(p, 6) for n, p in parts.items()} and module.subset.min_size() == 6
    module.handle(2, ZoneWeights({"a": 0.5}))
    assert used()["s00"] == 0.5 and used()["s01"] == 0.9
    assert listed(module) == {e.id: (e.zone, 1.0) for e in entries}
    module.handle(3, ZoneWeights({}))
    changed = [Endpoint("s00", EndpointState.GONE), Endpoint("new"), Endpoint("s99")]
    module.handle(4, EndpointListReceived(changed, complete=False))
    assert set(used()) == parts.keys() - {"s00"}
    module.handle(5, SubsetAssignment({"new": 0.5, "s99": 1.0}))
    assert used() == {"new": 0.5, "s99": 1.0}
    module.handle(6, SubsetAssignment({}))
    assert set(listed(module)) == {e.id for e in entries[1:]} | {"new", "s99"}
    assert {round(s.weight, 6) for s in module.servers.values()} == {1.0}


@pytest.mark.parametrize("lost", [0, 3])
def test_thin_traffic_is_even_by_members_and_is_not_by_chance(lost):
    """Sixty copies and servers, a request each other second at a copy: the same world with and without."""
    spreads = {}
    for rings in (4, 0):
        fleet = SimulatedFleet(60, 60, 5, subset_rings=rings)
        for n in range(lost):
            fleet.replace_server(f"s{n}", f"new{n}")
        fleet.schedule_requests(40, 60)
        fleet.run(60)
        counts = Counter(server for server, came, _ in fleet.pool.visits if came > 10 * SECOND)
        ours = [
            counts[fleet.pool.server_indexes[n]]
            for n in fleet.servers
            if n not in {f"s{i}" for i in range(lost)}
        ]
        mean = sum(ours) / len(ours)
        spreads[rings] = sum((c - mean) ** 2 for c in ours) / len(ours) / mean  # over Poisson's
        assert fleet.clients.outcomes[Outcome.SERVED] > 0.99 * fleet.clients.sent
    assert spreads[4] < 2.0 < spreads[0]


def test_operators_reckon_a_size_before_it_is_so():
    told = CliRunner().invoke(cli, ["spread", "plan", "--nodes", "30", "--servers", "30", "--to-nodes", "33"])
    assert told.exit_code == 0 and "by members" in told.output and "moved by the change" in told.output
    wrong = CliRunner().invoke(cli, ["spread", "plan", "--nodes", "20000", "--servers", "20000"])
    assert wrong.exit_code == 2 and "pairs" in wrong.output
