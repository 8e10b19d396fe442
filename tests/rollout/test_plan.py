"""Waves: every instance in exactly one of them, spread over zones and agents."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oakbridge.rollout.plan import PlanError, Target, WaveOptions, interleave, plan_waves


def fleet(agents: int, each: int, zones: int = 3) -> list[Target]:
    return [Target(f"h{a}", f"n{i}", f"z{a % zones}") for a in range(agents) for i in range(each)]


def test_a_canary_then_growing_shares():
    assert [len(w) for w in plan_waves(fleet(10, 2), WaveOptions())] == [1, 1, 8, 10]
    assert [len(w) for w in plan_waves(fleet(1, 1), WaveOptions())] == [1]
    assert [len(w) for w in plan_waves(fleet(10, 2), WaveOptions(canary=0, shares=(1.0,)))] == [20]


def test_a_wave_is_spread_over_zones_and_hosts():
    first = interleave(fleet(6, 2))[:6]
    assert sorted(t.zone for t in first) == ["z0", "z0", "z1", "z1", "z2", "z2"]
    assert len({t.agent for t in first}) == 6


def test_by_zone_no_wave_but_the_canary_has_two():
    waves = plan_waves(fleet(9, 2), WaveOptions(canary=3, shares=(0.5, 1.0), by_zone=True))
    assert len({t.zone for t in waves[0]}) == 3
    assert all(len({t.zone for t in wave}) == 1 for wave in waves[1:])


@given(
    st.sets(st.tuples(st.integers(0, 9), st.integers(0, 4)), min_size=1),
    st.integers(0, 7),
    st.booleans(),
    st.lists(st.floats(0.01, 0.99), unique=True, max_size=4),
)
@settings(derandomize=True, max_examples=200)
def test_each_instance_is_in_exactly_one_wave(names, canary, by_zone, shares):
    targets = [Target(f"h{a}", f"n{i}", f"z{a % 3}") for a, i in names]
    waves = plan_waves(targets, WaveOptions(canary, (*sorted(shares), 1.0), by_zone=by_zone))
    flat = [t for wave in waves for t in wave]
    assert sorted(flat) == sorted(targets)
    assert all(waves)
    assert (
        plan_waves(
            list(reversed(targets)), WaveOptions(canary, (*sorted(shares), 1.0), by_zone=by_zone)
        )
        == waves
    )


@pytest.mark.parametrize(
    ("made", "says"),
    [
        (lambda: WaveOptions(canary=-1), "canary"),
        (lambda: WaveOptions(max_unavailable=0), "unavailable"),
        (lambda: WaveOptions(shares=()), "shares"),
        (lambda: WaveOptions(shares=(0.5, 0.4, 1.0)), "shares"),
        (lambda: WaveOptions(shares=(0.5,)), "end at 1"),
        (lambda: plan_waves([], WaveOptions()), "at least one"),
        (
            lambda: plan_waves([Target("a", "b"), Target("a", "b", "z")], WaveOptions()),
            "each instance once",
        ),
    ],
)
def test_a_plan_that_can_not_be_made_is_named(made, says):
    with pytest.raises(PlanError, match=says):
        made()
