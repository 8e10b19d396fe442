"""WaveOptions and gates: every instance in one wave, and a test that finds harm and lets chance pass."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oakbridge.fleet.health import unwell_because
from oakbridge.rollout.gate import GateRules, ResponseCounts, Verdict, evaluate
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
    st.sets(st.tuples(st.integers(0, 9), st.integers(0, 4)), min_size=1), st.integers(0, 7), st.booleans(),
    st.lists(st.floats(0.01, 0.99), unique=True, max_size=4),
)  # fmt: skip
@settings(derandomize=True, max_examples=200)
def test_each_instance_is_in_exactly_one_wave(names, canary, by_zone, shares):
    targets = [Target(f"h{a}", f"n{i}", f"z{a % 3}") for a, i in names]
    waves = plan_waves(targets, WaveOptions(canary, (*sorted(shares), 1.0), by_zone))
    flat = [t for wave in waves for t in wave]
    assert sorted(flat) == sorted(targets) and all(waves)
    assert plan_waves(list(reversed(targets)), WaveOptions(canary, (*sorted(shares), 1.0), by_zone)) == waves


@pytest.mark.parametrize(
    ("made", "says"),
    [
        (lambda: WaveOptions(canary=-1), "canary"), (lambda: WaveOptions(unavailable=0), "unavailable"),
        (lambda: WaveOptions(shares=()), "shares"), (lambda: WaveOptions(shares=(0.5, 0.4, 1.0)), "shares"),
        (lambda: WaveOptions(shares=(0.5,)), "end at 1"), (lambda: plan_waves([], WaveOptions()), "at least one"),
        (lambda: plan_waves([Target("a", "b"), Target("a", "b", "z")], WaveOptions()), "each instance once"),
    ],
)  # fmt: skip
def test_a_plan_that_can_not_be_made_is_named(made, says):
    with pytest.raises(PlanError, match=says):
        made()


def word(served, answered, others_served, others_answered, **rules) -> Verdict:
    over = rules.pop("over", True)
    mine, theirs = (
        ResponseCounts(served, 0, answered - served),
        ResponseCounts(others_served, 0, others_answered - others_served),
    )
    return evaluate({"a": mine}, {"b": theirs}, {}, GateRules(**rules), over).word


def test_a_share_that_is_clearly_lower_fails_at_once_and_one_that_is_not_passes_at_the_end():
    assert word(900, 1000, 9990, 10_000, over=False) is Verdict.FAIL
    assert word(998, 1000, 9990, 10_000, over=False) is Verdict.PENDING
    assert word(998, 1000, 9990, 10_000) is Verdict.PASS
    assert word(1000, 1000, 9990, 10_000) is Verdict.PASS


def test_too_few_answers_say_nothing():
    assert word(0, 50, 9990, 10_000, over=False) is Verdict.PENDING
    assert word(0, 50, 9990, 10_000) is Verdict.PASS
    assert word(0, 50, 9990, 10_000, need_traffic=True) is Verdict.FAIL


def test_one_that_is_not_well_fails_whatever_it_served():
    got = evaluate(
        {"a": ResponseCounts(500)},
        {"b": ResponseCounts(500)},
        {"n2": "silent", "n1": "crash loop"},
        GateRules(),
        False,
    )
    assert got.word is Verdict.FAIL and got.reason == "n1: crash loop (and 1 more)"


def test_what_makes_an_instance_unwell():
    well = {
        "change": "settled",
        "drained": False,
        "crash_loop": False,
        "process": "running",
        "last_exit": "",
        "answers": True,
        "generation": 7,
    }
    assert unwell_because(well, 7) == ""
    assert unwell_because(None, 7) == "its agent does not answer"
    for change, says in (
        ({"crash_loop": True}, "crash loop"), ({"process": "waiting", "last_exit": "exit 1"}, "waiting (exit 1)"),
        ({"answers": False}, "silent"), ({"change": "undoing"}, "undoing"), ({"process": "stopped"}, "stopped"),
        ({"process": "stopped", "drained": True}, ""), ({"generation": 6}, "it runs generation 6"),
    ):  # fmt: skip
        assert unwell_because(well | change, 7) == says


def test_a_counter_that_began_anew_counts_from_its_start():
    assert ResponseCounts(10, 1, 0).since(ResponseCounts(500, 3, 3)) == ResponseCounts(10, 1, 0)
    assert ResponseCounts(510, 4, 3).since(ResponseCounts(500, 3, 3)) == ResponseCounts(10, 1, 0)


def test_harm_is_found_and_chance_is_let_pass():
    """By seed: of changes that do no harm about alpha at the most are halted; of those that do, nearly none passes."""
    rng = random.Random(5)

    def draws(share: float, count: int) -> ResponseCounts:
        served = sum(rng.random() < share for _ in range(count))
        return ResponseCounts(served, 0, count - served)

    rules = GateRules(alpha=0.01, margin=0.005)
    false = sum(
        evaluate({"a": draws(0.98, 600)}, {"b": draws(0.98, 3000)}, {}, rules, True).word is Verdict.FAIL
        for _ in range(300)
    )
    found = sum(
        evaluate({"a": draws(0.93, 600)}, {"b": draws(0.98, 3000)}, {}, rules, True).word is Verdict.FAIL
        for _ in range(100)
    )
    assert false <= 6 and found >= 97
