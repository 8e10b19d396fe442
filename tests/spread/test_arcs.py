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
def test_overlaps_add_up_to_each_servers_weight_and_each_replicas_share(replicas, servers, rings):
    by_server, by_replica = Counter(), Counter()
    for replica, server, length in overlaps(replicas, servers, rings):
        by_server[server] += length
        by_replica[replica] += length
    for lengths, weights in ((by_server, servers), (by_replica, replicas)):
        total = sum(weights.values())
        for name, weight in weights.items():
            assert lengths[name] == pytest.approx(weight / total, abs=1e-9)


@settings(max_examples=60, deadline=None)
@given(WEIGHTS, WEIGHTS, RINGS)
def test_a_replicas_subset_follows_from_its_overlaps(replicas, servers, rings):
    for own_name in list(replicas)[:3]:
        own_lengths = Counter()
        for replica, server, length in overlaps(replicas, servers, rings):
            own_lengths[server] += length * (replica == own_name)
        fractions = subset_weights(own_name, replicas, servers, rings)
        weights = {name: fraction * servers[name] for name, fraction in fractions.items()}
        for name, weight in weights.items():
            expected = own_lengths[name] / sum(own_lengths.values())
            assert weight / sum(weights.values()) == pytest.approx(expected, abs=0.03 * rings)
        assert max(fractions.values()) == 1.0
        assert set(fractions) <= {name for name, length in own_lengths.items() if length > 0}


def test_small_differences_between_views_reduce_evenness_only_a_little():
    """Each replica holds a tenth of the others' shares a step off, and lacks a hundredth."""
    rng = random.Random(3)
    shares, servers = random_shares(200, 0.5, 1), dict.fromkeys(numbered_names("s", 200), 1.0)
    load, exact_load = Counter(), Counter()
    for own_name, share in shares.items():
        inexact_shares = {
            name: true_share * rng.choice((1,) * 9 + (1.41,))
            for name, true_share in shares.items()
            if name == own_name or rng.random() > 0.01
        }
        for added, held in ((load, inexact_shares), (exact_load, shares)):
            weights = subset_weights(own_name, held, servers, 4)
            for name, weight in weights.items():
                added[name] += share * weight / sum(weights.values())
    mean = sum(shares.values()) / 200
    p99, exact_p99 = (
        sorted(loads[server] / mean for server in servers)[197] for loads in (load, exact_load)
    )
    assert exact_p99 < 1.1 < p99 < 1.9  # with random subsets the p99 is above 1.9
