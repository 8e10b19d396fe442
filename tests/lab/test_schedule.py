"""The fault schedule that a seed draws."""

from oakbridge.lab.fleet import build_fleet
from oakbridge.lab.plan import scale_down
from oakbridge.lab.schedule import Span, StepKind, draw_schedule

S = 1_000_000


def test_a_seed_draws_one_schedule(plan):
    fleet = build_fleet(plan)
    assert [h.name for h in fleet.nodes if h.site == "a"] == ["n000", "n002", "n004", "n006"]
    first, second, other = (draw_schedule(plan, fleet, seed) for seed in (1, 1, 2))
    assert first == second
    assert first.steps != other.steps
    assert [s.kind.value for s in first.steps] == ["kill", "kill", "link", "unlink"]
    assert first.fault_spans == (Span(5 * S, 60 * S), Span(10 * S, 30 * S))
    small = scale_down(plan)
    assert [(s.nodes, s.servers) for s in small.sites] == [(2, 2), (2, 2)]


def test_starving_stops_and_continues_until_its_end(plan):
    fault = plan.faults[0].model_copy(update={"kind": "starve", "lasts": 10 * S, "share": 0.1})
    schedule = draw_schedule(plan.model_copy(update={"faults": [fault]}), build_fleet(plan), 1)
    assert [s.kind.value for s in schedule.steps[:4]] == ["stop", "continue", "stop", "continue"]
    assert schedule.steps[-1].kind is StepKind.CONTINUE
    assert schedule.steps[-1].at_us == 15 * S
    assert not schedule.node_outages
