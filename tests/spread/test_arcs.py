"""Deterministic subsetting by arcs of rings."""

import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oakbridge.spread.arcs import overlaps, subset_weights
from oakbridge.spread.subset_forecast import numbered_names, random_shares

NAMES = st.text("abcdef", min_size=1, max_size=4)
WEIGHTS = st.dictionaries(NAMES, st.floats(0.01, 100), min_size=1, max_size=30)
RINGS = st.integers(1, 8)


@settings(max_examples=150, deadline=None)
@given(WEIGHTS, WEIGHTS, RINGS)
def test_each_server_gets_its_weights_share_and_each_replica_gives_its_own(
    replicas, servers, rings
):
    received, given_away = Counter(), Counter()
    for replica, server, length in overlaps(replicas, servers, rings):
        received[server] += length
        given_away[replica] += length
    for found, wanted in ((received, servers), (given_away, replicas)):
        total = sum(wanted.values())
        for name, weight in wanted.items():
            assert found[name] == pytest.approx(weight / total, abs=1e-9)


@settings(max_examples=60, deadline=None)
@given(WEIGHTS, WEIGHTS, RINGS)
def test_a_replicas_subset_is_its_part_of_the_overlaps(replicas, servers, rings):
    for own_name in list(replicas)[:3]:
        own = Counter()
        for replica, server, length in overlaps(replicas, servers, rings):
            own[server] += length * (replica == own_name)
        fractions = subset_weights(own_name, replicas, servers, rings)
        weights = {name: fraction * servers[name] for name, fraction in fractions.items()}
        for name, weight in weights.items():
            expected = own[name] / sum(own.values())
            assert weight / sum(weights.values()) == pytest.approx(expected, abs=0.03 * rings)
        assert max(fractions.values()) == 1.0
        assert set(fractions) <= {name for name, length in own.items() if length > 0}


def test_views_that_differ_a_little_cost_a_little_evenness():
    """Of the others' shares each holds one in ten a step off, and one in a hundred not at all."""
    rng = random.Random(3)
    truth, servers = random_shares(200, 0.5, 1), dict.fromkeys(numbered_names("s", 200), 1.0)
    load, exact_load = Counter(), Counter()
    for own_name, share in truth.items():
        seen = {
            name: s * rng.choice((1,) * 9 + (1.41,))
            for name, s in truth.items()
            if name == own_name or rng.random() > 0.01
        }
        for found, held in ((load, seen), (exact_load, truth)):
            weights = subset_weights(own_name, held, servers, 4)
            for name, weight in weights.items():
                found[name] += share * weight / sum(weights.values())
    mean = sum(truth.values()) / 200
    busiest, exact_busiest = (sorted(c[n] / mean for n in servers)[197] for c in (load, exact_load))
    assert exact_busiest < 1.1 < busiest < 1.9  # random subsets: over 1.9
