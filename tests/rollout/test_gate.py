"""The gate fails harmful changes and passes harmless ones despite random variation."""

import random

from oakbridge.fleet.health import health_problem
from oakbridge.rollout.gate import GateRules, ResponseCounts, Verdict, evaluate


def verdict(
    changed_served: int,
    changed_total: int,
    baseline_served: int,
    baseline_total: int,
    *,
    window_ended: bool = True,
    require_traffic: bool = False,
) -> Verdict:
    changed = {"a": ResponseCounts(changed_served, 0, changed_total - changed_served)}
    baseline = {"b": ResponseCounts(baseline_served, 0, baseline_total - baseline_served)}
    rules = GateRules(require_traffic=require_traffic)
    return evaluate(changed, baseline, {}, rules, window_ended=window_ended).verdict


def test_a_clearly_lower_share_fails_at_once_and_an_equal_one_passes_at_the_window_end():
    assert verdict(900, 1000, 9990, 10_000, window_ended=False) is Verdict.FAIL
    assert verdict(998, 1000, 9990, 10_000, window_ended=False) is Verdict.PENDING
    assert verdict(998, 1000, 9990, 10_000) is Verdict.PASS
    assert verdict(1000, 1000, 9990, 10_000) is Verdict.PASS


def test_too_few_responses_pass_at_the_window_end_unless_traffic_is_required():
    assert verdict(0, 50, 9990, 10_000, window_ended=False) is Verdict.PENDING
    assert verdict(0, 50, 9990, 10_000) is Verdict.PASS
    assert verdict(0, 50, 9990, 10_000, require_traffic=True) is Verdict.FAIL


def test_an_unhealthy_instance_fails_the_gate_whatever_it_served():
    result = evaluate(
        {"a": ResponseCounts(500)},
        {"b": ResponseCounts(500)},
        {"n2": "silent", "n1": "crash loop"},
        GateRules(),
        window_ended=False,
    )
    assert result.verdict is Verdict.FAIL
    assert result.reason == "n1: crash loop (and 1 more)"


def test_health_problems_of_an_instance():
    healthy_report = {
        "change": "settled",
        "drained": False,
        "crash_loop": False,
        "process": "running",
        "last_exit": "",
        "answers": True,
        "generation": 7,
    }
    assert health_problem(healthy_report, 7) == ""
    assert health_problem(None, 7) == "its agent does not answer"
    for difference, problem in (
        ({"crash_loop": True}, "crash loop"),
        ({"process": "waiting", "last_exit": "exit 1"}, "waiting (exit 1)"),
        ({"answers": False}, "silent"),
        ({"change": "undoing"}, "undoing"),
        ({"process": "stopped"}, "stopped"),
        ({"process": "stopped", "drained": True}, ""),
        ({"generation": 6}, "it runs generation 6"),
    ):
        assert health_problem(healthy_report | difference, 7) == problem


def test_counts_since_a_restart_are_all_counts():
    assert ResponseCounts(10, 1, 0).since(ResponseCounts(500, 3, 3)) == ResponseCounts(10, 1, 0)
    assert ResponseCounts(510, 4, 3).since(ResponseCounts(500, 3, 3)) == ResponseCounts(10, 1, 0)


def test_harmful_changes_fail_and_harmless_ones_pass():
    """With seeded draws, about alpha of harmless changes fail, and few harmful ones pass."""
    rng = random.Random(5)

    def draw_counts(share: float, count: int) -> ResponseCounts:
        served = sum(rng.random() < share for _ in range(count))
        return ResponseCounts(served, 0, count - served)

    rules = GateRules(alpha=0.01, margin=0.005)

    def gate_fails(changed_share: float) -> bool:
        changed, baseline = {"a": draw_counts(changed_share, 600)}, {"b": draw_counts(0.98, 3000)}
        return evaluate(changed, baseline, {}, rules, window_ended=True).verdict is Verdict.FAIL

    harmless_failed = sum(gate_fails(0.98) for _ in range(300))
    harmful_failed = sum(gate_fails(0.93) for _ in range(100))
    assert harmless_failed <= 6
    assert harmful_failed >= 97
