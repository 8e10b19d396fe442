"""Gates: a test that finds harm and lets chance pass."""

import random

from oakbridge.fleet.health import health_problem
from oakbridge.rollout.gate import GateRules, ResponseCounts, Verdict, evaluate


def verdict(
    served: int,
    answered: int,
    others_served: int,
    others_answered: int,
    *,
    window_ended: bool = True,
    require_traffic: bool = False,
) -> Verdict:
    changed = {"a": ResponseCounts(served, 0, answered - served)}
    baseline = {"b": ResponseCounts(others_served, 0, others_answered - others_served)}
    rules = GateRules(require_traffic=require_traffic)
    return evaluate(changed, baseline, {}, rules, window_ended=window_ended).verdict


def test_a_share_that_is_clearly_lower_fails_at_once_and_one_that_is_not_passes_at_the_end():
    assert verdict(900, 1000, 9990, 10_000, window_ended=False) is Verdict.FAIL
    assert verdict(998, 1000, 9990, 10_000, window_ended=False) is Verdict.PENDING
    assert verdict(998, 1000, 9990, 10_000) is Verdict.PASS
    assert verdict(1000, 1000, 9990, 10_000) is Verdict.PASS


def test_too_few_answers_say_nothing():
    assert verdict(0, 50, 9990, 10_000, window_ended=False) is Verdict.PENDING
    assert verdict(0, 50, 9990, 10_000) is Verdict.PASS
    assert verdict(0, 50, 9990, 10_000, require_traffic=True) is Verdict.FAIL


def test_one_that_is_not_well_fails_whatever_it_served():
    got = evaluate(
        {"a": ResponseCounts(500)},
        {"b": ResponseCounts(500)},
        {"n2": "silent", "n1": "crash loop"},
        GateRules(),
        window_ended=False,
    )
    assert got.verdict is Verdict.FAIL
    assert got.reason == "n1: crash loop (and 1 more)"


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
        ({"crash_loop": True}, "crash loop"),
        ({"process": "waiting", "last_exit": "exit 1"}, "waiting (exit 1)"),
        ({"answers": False}, "silent"),
        ({"change": "undoing"}, "undoing"),
        ({"process": "stopped"}, "stopped"),
        ({"process": "stopped", "drained": True}, ""),
        ({"generation": 6}, "it runs generation 6"),
    ):
        assert health_problem(well | change, 7) == says


def test_a_counter_that_began_anew_counts_from_its_start():
    assert ResponseCounts(10, 1, 0).since(ResponseCounts(500, 3, 3)) == ResponseCounts(10, 1, 0)
    assert ResponseCounts(510, 4, 3).since(ResponseCounts(500, 3, 3)) == ResponseCounts(10, 1, 0)


def test_harm_is_found_and_chance_is_let_pass():
    """By seed: about alpha of harmless changes are halted, and nearly no harmful one passes."""
    rng = random.Random(5)

    def draws(share: float, count: int) -> ResponseCounts:
        served = sum(rng.random() < share for _ in range(count))
        return ResponseCounts(served, 0, count - served)

    rules = GateRules(alpha=0.01, margin=0.005)

    def is_halted(changed_share: float) -> bool:
        changed, baseline = {"a": draws(changed_share, 600)}, {"b": draws(0.98, 3000)}
        return evaluate(changed, baseline, {}, rules, window_ended=True).verdict is Verdict.FAIL

    false_alarms = sum(is_halted(0.98) for _ in range(300))
    found = sum(is_halted(0.93) for _ in range(100))
    assert false_alarms <= 6
    assert found >= 97
