"""Waves and gates: every instance in one wave, and a test that finds harm and lets chance pass."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oakbridge.fleet.health import health_problem
from oakbridge.rollout.gate import Counts, Rules, Word, judge
from oakbridge.rollout.plan import BadPlan, Target, Waves, plan, spread


def fleet(agents: int, each: int, zones: int = 3) -> list[Target]:
    return [Target(f"h{a}", f"n{i}", f"z{a % zones}") for a in range(agents) for i in range(each)]


def test_a_canary_then_growing_shares():
    assert [len(w) for w in plan(fleet(10, 2), Waves())] == [1, 1, 8, 10]
    assert [len(w) for w in plan(fleet(1, 1), Waves())] == [1]
    assert [len(w) for w in plan(fleet(10, 2), Waves(canary=0, shares=(1.0,)))] == [20]


def test_a_wave_is_spread_over_zones_and_hosts():
    first = spread(fleet(6, 2))[:6]
    assert sorted(t.zone for t in first) == ["z0", "z0", "z1", "z1", "z2", "z2"]
    assert len({t.agent for t in first}) == 6


def test_by_zone_no_wave_but_the_canary_has_two():
    waves = plan(fleet(9, 2), Waves(canary=3, shares=(0.5, 1.0), by_zone=True))
    assert len({t.zone for t in waves[0]}) == 3
    assert all(len({t.zone for t in wave}) == 1 for wave in waves[1:])


@given(
    st.sets(st.tuples(st.integers(0, 9), st.integers(0, 4)), min_size=1), st.integers(0, 7), st.booleans(),
    st.lists(st.floats(0.01, 0.99), unique=True, max_size=4),
)  # fmt: skip
@settings(derandomize=True, max_examples=200)
def test_each_instance_is_in_exactly_one_wave(names, canary, by_zone, shares):
    targets = [Target(f"h{a}", f"n{i}", f"z{a % 3}") for a, i in names]
    waves = plan(targets, Waves(canary, (*sorted(shares), 1.0), by_zone))
    flat = [t for wave in waves for t in wave]
    assert sorted(flat) == sorted(targets) and all(waves)
    assert plan(list(reversed(targets)), Waves(canary, (*sorted(shares), 1.0), by_zone)) == waves


@pytest.mark.parametrize(
    ("made", "says"),
    [
        (lambda: Waves(canary=-1), "canary"), (lambda: Waves(unavailable=0), "unavailable"),
        (lambda: Waves(shares=()), "shares"), (lambda: Waves(shares=(0.5, 0.4, 1.0)), "shares"),
        (lambda: Waves(shares=(0.5,)), "end at 1"), (lambda: plan([], Waves()), "at least one"),
        (lambda: plan([Target("a", "b"), Target("a", "b", "z")], Waves()), "each instance once"),
    ],
)  # fmt: skip
def test_a_plan_that_can_not_be_made_is_named(made, says):
    with pytest.raises(BadPlan, match=says):
        made()


def word(served, answered, others_served, others_answered, **rules) -> Word:
    over = rules.pop("over", True)
    mine, theirs = (
        Counts(served, 0, answered - served),
        Counts(others_served, 0, others_answered - others_served),
    )
    return judge({"a": mine}, {"b": theirs}, {}, Rules(**rules), over).word


def test_a_share_that_is_clearly_lower_fails_at_once_and_one_that_is_not_passes_at_the_end():
    assert word(900, 1000, 9990, 10_000, over=False) is Word.FAIL
    assert word(998, 1000, 9990, 10_000, over=False) is Word.WAIT
    assert word(998, 1000, 9990, 10_000) is Word.PASS
    assert word(1000, 1000, 9990, 10_000) is Word.PASS


def test_too_few_answers_say_nothing():
    assert word(0, 50, 9990, 10_000, over=False) is Word.WAIT
    assert word(0, 50, 9990, 10_000) is Word.PASS
    assert word(0, 50, 9990, 10_000, need_traffic=True) is Word.FAIL


def test_one_that_is_not_well_fails_whatever_it_served():
    got = judge({"a": Counts(500)}, {"b": Counts(500)}, {"n2": "silent", "n1": "crash loop"}, Rules(), False)
    assert got.word is Word.FAIL and got.reason == "n1: crash loop (and 1 more)"


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
    assert health_problem(well, 7) == ""
    assert health_problem(None, 7) == "its agent does not answer"
    for change, says in (
        ({"crash_loop": True}, "crash loop"), ({"process": "waiting", "last_exit": "exit 1"}, "waiting (exit 1)"),
        ({"answers": False}, "silent"), ({"change": "undoing"}, "undoing"), ({"process": "stopped"}, "stopped"),
        ({"process": "stopped", "drained": True}, ""), ({"generation": 6}, "it runs generation 6"),
    ):  # fmt: skip
        assert health_problem(well | change, 7) == says


def test_a_counter_that_began_anew_counts_from_its_start():
    assert Counts(10, 1, 0).since(Counts(500, 3, 3)) == Counts(10, 1, 0)
    assert Counts(510, 4, 3).since(Counts(500, 3, 3)) == Counts(10, 1, 0)


def test_harm_is_found_and_chance_is_let_pass():
    """By seed: of changes that do no harm about alpha at the most are halted; of those that do, nearly none passes."""
    rng = random.Random(5)

    def draws(share: float, count: int) -> Counts:
        served = sum(rng.random() < share for _ in range(count))
        return Counts(served, 0, count - served)

    rules = Rules(alpha=0.01, margin=0.005)
    false = sum(
        judge({"a": draws(0.98, 600)}, {"b": draws(0.98, 3000)}, {}, rules, True).word is Word.FAIL
        for _ in range(300)
    )
    found = sum(
        judge({"a": draws(0.93, 600)}, {"b": draws(0.98, 3000)}, {}, rules, True).word is Word.FAIL
        for _ in range(100)
    )
    assert false <= 6 and found >= 97
