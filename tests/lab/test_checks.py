"""The checks of requests, membership and load, each with a fault planted for it."""

from dataclasses import replace

import pytest

from oakbridge.lab.checks.check import NEVER_S
from oakbridge.lab.checks.judge import FIGURES, judge
from oakbridge.lab.fleet import build_fleet
from oakbridge.lab.history import History, MemberChange, PerformedStep
from oakbridge.lab.schedule import StepKind, draw_schedule

S = 1_000_000


def faultless_history(plan) -> History:
    """Return a run in which all checks hold: a node killed at 5 s, a site cut from 10 to 30 s."""
    fleet = build_fleet(plan)
    history = History(plan, fleet, draw_schedule(plan, fleet, 1), 1000 * S, 60 * S)
    killed = history.schedule.steps[0].names[0]
    history.performed_steps = [
        PerformedStep(5 * S, StepKind.KILL, (killed,)),
        PerformedStep(10 * S, StepKind.LINK, ()),
        PerformedStep(30 * S, StepKind.UNLINK, ()),
    ]
    sites = {host.name: host.site for host in fleet.nodes}
    for observer in sites:
        for member in set(sites) - {observer}:
            history.member_changes.append(MemberChange(-10 * S, observer, member, "", "alive"))
            if member == killed and observer != killed:
                history.member_changes.append(
                    MemberChange(8 * S, observer, member, "suspect", "failed")
                )
            elif sites[observer] != sites[member] and killed not in (observer, member):
                history.member_changes.append(
                    MemberChange(15 * S, observer, member, "suspect", "failed")
                )
                history.member_changes.append(
                    MemberChange(31 * S, observer, member, "failed", "alive")
                )
    for number in range(600):
        due = 1000 * S + number * S // 10
        node = next(host.number for host in fleet.nodes if host.name != killed)
        request = {
            "due": due,
            "class": number % 2,
            "site": 0,
            "node": node,
            "status": 200,
            "took": 20_000,
            "tries": 1,
        }
        history.requests.append({**request, "request": f"r{number}", "aim": S})
        history.executions.append(
            {
                "server": number % 6,
                "request": f"r{number}",
                "came": due,
                "ended": due + 15_000,
                "status": 200,
                "begun": True,
            }
        )
    return history


def figures(history: History) -> dict[str, float | None]:
    return {check.name: check.figure for check in judge(history)}


def test_all_checks_of_a_faultless_run_hold(plan):
    found = figures(faultless_history(plan))
    assert all(check.holds for check in judge(faultless_history(plan)))
    assert (
        found["one answer"],
        found["no effect twice"],
        found["served"],
        found["worth served"],
    ) == (
        0,
        0,
        1,
        1,
    )
    assert (found["first learns"], found["last learns"], found["views right"]) == (3, 3, 1)
    assert (found["healthy called failed"], found["attempts"], found["uneven"]) == (
        0,
        1,
        pytest.approx(1, abs=0.1),
    )
    assert found["idle"] == pytest.approx(1 - 600 * 0.015 / 360, abs=0.001)


def lose_response(history):
    history.requests[7]["status"] = 0


def delay_response(history):
    history.requests[7]["took"] = 3 * S


def add_unsolicited_response(history):
    history.unsolicited_responses = 1


def add_concurrent_attempt(history):
    row = history.executions[8]
    history.executions.append(
        {**row, "came": row["came"] - 200_000, "ended": row["ended"] + 200_000}
    )


def repeat_unsafe_request(history):
    row = history.executions[9]  # of the unsafe class
    history.executions.append({**row, "came": row["ended"] + S, "ended": row["ended"] + 2 * S})


def crash_node(history):
    history.crashes.append("n001 ended with 1")


@pytest.mark.parametrize(
    ("plant_fault", "name"),
    [
        (lose_response, "one answer"),
        (delay_response, "one answer"),
        (add_unsolicited_response, "one answer"),
        (add_concurrent_attempt, "no effect twice"),
        (repeat_unsafe_request, "no effect twice"),
        (crash_node, "crashes"),
    ],
)
def test_each_violation_of_a_rule_is_found(plan, plant_fault, name):
    history = faultless_history(plan)
    plant_fault(history)
    assert [check.name for check in judge(history) if not check.holds] == [name]


def test_safe_request_may_execute_again_after_the_first_execution(plan):
    history = faultless_history(plan)
    row = history.executions[8]
    history.executions.append({**row, "came": row["ended"] + S, "ended": row["ended"] + 2 * S})
    assert figures(history)["no effect twice"] == 0


@pytest.mark.parametrize(
    ("is_across_cut", "second", "violations"), [(True, 20, 0), (True, 40, 1), (False, 20, 1)]
)
def test_concurrent_attempts_across_a_cut_are_not_violations(
    plan, is_across_cut, second, violations
):
    history = faultless_history(plan)
    fleet = history.fleet
    node_site = fleet.nodes[history.requests[0]["node"]].site
    rows = history.executions[10 * second :: 2]  # of the safe class
    row = next(
        candidate
        for candidate in rows
        if (fleet.servers[candidate["server"]].site != node_site) == is_across_cut
    )
    history.executions.append(
        {**row, "came": row["came"] - 200_000, "ended": row["ended"] + 200_000}
    )
    assert figures(history)["no effect twice"] == violations


def test_request_lost_with_its_killed_node_is_no_violation(plan):
    history = faultless_history(plan)
    killed = history.performed_steps[0].names[0]
    number = next(host.number for host in history.fleet.nodes if host.name == killed)
    history.requests.append(
        {**history.requests[49], "node": number, "status": 0, "due": history.begin_us + 4_990_000}
    )
    assert figures(history)["one answer"] == 0


def delay_one_verdict(history):
    history.member_changes = [
        replace(change, at_us=20 * S)
        if change.observer == "n001" and change.at_us == 8 * S
        else change
        for change in history.member_changes
    ]


def remove_one_verdict(history):
    history.member_changes = [
        change
        for change in history.member_changes
        if change.observer != "n001" or change.at_us != 8 * S
    ]


def add_false_verdict(history):
    history.member_changes.append(MemberChange(50 * S, "n001", "n003", "suspect", "failed"))
    history.member_changes.append(MemberChange(52 * S, "n001", "n003", "failed", "alive"))


def remove_recovery(history):
    history.member_changes = [
        change
        for change in history.member_changes
        if change.observer != "n001" or change.at_us != 31 * S
    ]


@pytest.mark.parametrize(
    ("plant_fault", "name", "figure"),
    [
        (delay_one_verdict, "last learns", 15),
        (remove_one_verdict, "last learns", NEVER_S),
        (add_false_verdict, "healthy called failed", 1),
        (add_false_verdict, "views right", 22),
        (remove_recovery, "views right", NEVER_S),
    ],
)
def test_each_wrong_view_is_found(plan, plant_fault, name, figure):
    history = faultless_history(plan)
    plant_fault(history)
    assert figures(history)[name] == figure


def test_flapping_members_uneven_load_and_rejections_are_counted(plan):
    history = faultless_history(plan)
    before = figures(history)
    for number in range(20):
        history.member_changes.append(
            MemberChange(
                40 * S + number,
                "n001",
                "n005",
                ("failed", "alive")[number % 2],
                ("alive", "failed")[number % 2],
            )
        )
    for row in history.requests[:60]:
        row["status"] = 503
    for row in history.executions[:300]:
        row["server"] = 0
    after = figures(history)
    assert after["changes"] > 3 * before["changes"]
    assert after["served"] == 0.9
    assert after["uneven"] > 3
    assert after["idle"] > before["idle"] - 0.01


def test_bounded_figure_must_hold(plan):
    for name in FIGURES:
        assert name in {check.name for check in judge(faultless_history(plan))}
    bounded_plan = plan.model_copy(
        update={"checks": [type("C", (), {"name": "served", "most": 0.5, "least": None})()]}
    )
    history = faultless_history(plan)
    history.plan = bounded_plan
    assert [check.name for check in judge(history) if not check.holds] == ["served"]
