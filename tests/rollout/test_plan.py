"""Waves: each instance is in exactly one wave, and a wave is spread over zones and agents."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oakbridge.rollout.plan import PlanError, Target, WaveOptions, interleave, plan_waves


def fleet_targets(agents: int, instances_per_agent: int, zones: int = 3) -> list[Target]:
    return [
        Target(f"h{agent}", f"n{instance}", f"z{agent % zones}")
        for agent in range(agents)
        for instance in range(instances_per_agent)
    ]


def test_waves_are_a_canary_then_growing_shares():
    assert [len(w) for w in plan_waves(fleet_targets(10, 2), WaveOptions())] == [1, 1, 8, 10]
    assert [len(w) for w in plan_waves(fleet_targets(1, 1), WaveOptions())] == [1]
    assert [
        len(w) for w in plan_waves(fleet_targets(10, 2), WaveOptions(canary=0, shares=(1.0,)))
    ] == [20]


def test_a_wave_is_spread_over_zones_and_hosts():
    first_six = interleave(fleet_targets(6, 2))[:6]
    assert sorted(target.zone for target in first_six) == ["z0", "z0", "z1", "z1", "z2", "z2"]
    assert len({target.agent for target in first_six}) == 6


def test_by_zone_only_the_canary_has_several_zones():
    waves = plan_waves(fleet_targets(9, 2), WaveOptions(canary=3, shares=(0.5, 1.0), by_zone=True))
    assert len({target.zone for target in waves[0]}) == 3
    assert all(len({target.zone for target in wave}) == 1 for wave in waves[1:])


@given(
    st.sets(st.tuples(st.integers(0, 9), st.integers(0, 4)), min_size=1),
    st.integers(0, 7),
    st.booleans(),
    st.lists(st.floats(0.01, 0.99), unique=True, max_size=4),
)
@settings(derandomize=True, max_examples=200)
def test_each_instance_is_in_exactly_one_wave(names, canary, by_zone, shares):
    targets = [Target(f"h{agent}", f"n{instance}", f"z{agent % 3}") for agent, instance in names]
    waves = plan_waves(targets, WaveOptions(canary, (*sorted(shares), 1.0), by_zone=by_zone))
    planned = [target for wave in waves for target in wave]
    assert sorted(planned) == sorted(targets)
    assert all(waves)
    assert (
        plan_waves(
            list(reversed(targets)), WaveOptions(canary, (*sorted(shares), 1.0), by_zone=by_zone)
        )
        == waves
    )


@pytest.mark.parametrize(
    ("make", "problem"),
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
def test_invalid_options_and_targets_are_rejected(make, problem):
    with pytest.raises(PlanError, match=problem):
        make()
