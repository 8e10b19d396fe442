"""The fault schedule drawn from a plan and a seed."""

from oakbridge.lab.fleet import build_fleet
from oakbridge.lab.plan import scale_down
from oakbridge.lab.schedule import Span, StepKind, draw_schedule

S = 1_000_000


def test_schedule_depends_only_on_plan_and_seed(plan):
    fleet = build_fleet(plan)
    assert [host.name for host in fleet.nodes if host.site == "a"] == [
        "n000",
        "n002",
        "n004",
        "n006",
    ]
    first, second, other = (draw_schedule(plan, fleet, seed) for seed in (1, 1, 2))
    assert first == second
    assert first.steps != other.steps
    assert [step.kind.value for step in first.steps] == ["kill", "kill", "link", "unlink"]
    assert first.fault_spans == (Span(5 * S, 60 * S), Span(10 * S, 30 * S))
    scaled_down = scale_down(plan)
    assert [(site.nodes, site.servers) for site in scaled_down.sites] == [(2, 2), (2, 2)]


def test_starved_node_is_stopped_and_continued_until_the_fault_ends(plan):
    fault = plan.faults[0].model_copy(update={"kind": "starve", "lasts": 10 * S, "share": 0.1})
    schedule = draw_schedule(plan.model_copy(update={"faults": [fault]}), build_fleet(plan), 1)
    assert [step.kind.value for step in schedule.steps[:4]] == [
        "stop",
        "continue",
        "stop",
        "continue",
    ]
    assert schedule.steps[-1].kind is StepKind.CONTINUE
    assert schedule.steps[-1].at_us == 15 * S
    assert not schedule.node_outages
