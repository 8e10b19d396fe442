"""Each checker of requests, membership and load, with a fault planted for it."""

from dataclasses import replace

import pytest

from oakbridge.lab.checks.check import NEVER_S
from oakbridge.lab.checks.judge import FIGURES, judge
from oakbridge.lab.fleet import build_fleet
from oakbridge.lab.history import History, MemberChange, PerformedStep
from oakbridge.lab.schedule import StepKind, draw_schedule

S = 1_000_000


def good(plan) -> History:
    """A run in which all held: one node killed at 5 s, a site cut off from 10 to 30 s."""
    fleet = build_fleet(plan)
    history = History(plan, fleet, draw_schedule(plan, fleet, 1), 1000 * S, 60 * S)
    dead = history.schedule.steps[0].names[0]
    history.performed_steps = [
        PerformedStep(5 * S, StepKind.KILL, (dead,)),
        PerformedStep(10 * S, StepKind.LINK, ()),
        PerformedStep(30 * S, StepKind.UNLINK, ()),
    ]
    site = {h.name: h.site for h in fleet.nodes}
    for who in site:
        for about in set(site) - {who}:
            history.member_changes.append(MemberChange(-10 * S, who, about, "", "alive"))
            if about == dead and who != dead:
                history.member_changes.append(MemberChange(8 * S, who, about, "suspect", "failed"))
            elif site[who] != site[about] and dead not in (who, about):
                history.member_changes.append(MemberChange(15 * S, who, about, "suspect", "failed"))
                history.member_changes.append(MemberChange(31 * S, who, about, "failed", "alive"))
    for n in range(600):
        due = 1000 * S + n * S // 10
        node = next(h.number for h in fleet.nodes if h.name != dead)
        request = {
            "due": due,
            "class": n % 2,
            "site": 0,
            "node": node,
            "status": 200,
            "took": 20_000,
            "tries": 1,
        }
        history.requests.append({**request, "request": f"r{n}", "aim": S})
        history.executions.append(
            {
                "server": n % 6,
                "request": f"r{n}",
                "came": due,
                "ended": due + 15_000,
                "status": 200,
                "begun": True,
            }
        )
    return history


def figures(history: History) -> dict[str, float | None]:
    return {check.name: check.figure for check in judge(history)}


def test_a_good_run_holds(plan):
    found = figures(good(plan))
    assert all(check.holds for check in judge(good(plan)))
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


def no_answer(history):
    history.requests[7]["status"] = 0


def far_too_late(history):
    history.requests[7]["took"] = 3 * S


def unasked(history):
    history.unsolicited_responses = 1


def two_out(history):
    row = history.executions[8]
    history.executions.append(
        {**row, "came": row["came"] - 200_000, "ended": row["ended"] + 200_000}
    )


def unsafe_again(history):
    row = history.executions[9]  # of the unsafe class
    history.executions.append({**row, "came": row["ended"] + S, "ended": row["ended"] + 2 * S})


def crashed(history):
    history.crashes.append("n001 ended with 1")


@pytest.mark.parametrize(
    ("fault", "name"),
    [
        (no_answer, "one answer"), (far_too_late, "one answer"), (unasked, "one answer"),
        (two_out, "no effect twice"), (unsafe_again, "no effect twice"), (crashed, "crashes"),
    ],
)  # fmt: skip
def test_a_broken_rule_is_caught(plan, fault, name):
    history = good(plan)
    fault(history)
    assert [check.name for check in judge(history) if not check.holds] == [name]


def test_a_safe_request_may_run_again_after_the_first_has_ended(plan):
    history = good(plan)
    row = history.executions[8]
    history.executions.append({**row, "came": row["ended"] + S, "ended": row["ended"] + 2 * S})
    assert figures(history)["no effect twice"] == 0


@pytest.mark.parametrize(
    ("across", "second", "broken"), [(True, 20, 0), (True, 40, 1), (False, 20, 1)]
)
def test_what_was_called_off_across_a_cut_is_not_judged_by_what_the_server_saw(
    plan, across, second, broken
):
    history = good(plan)
    fleet = history.fleet
    home = fleet.nodes[history.requests[0]["node"]].site
    rows = history.executions[10 * second :: 2]  # of the safe class
    row = next(r for r in rows if (fleet.servers[r["server"]].site != home) == across)
    history.executions.append(
        {**row, "came": row["came"] - 200_000, "ended": row["ended"] + 200_000}
    )
    assert figures(history)["no effect twice"] == broken


def test_what_was_lost_with_its_node_is_no_broken_rule(plan):
    history = good(plan)
    dead = history.performed_steps[0].names[0]
    number = next(h.number for h in history.fleet.nodes if h.name == dead)
    history.requests.append(
        {**history.requests[49], "node": number, "status": 0, "due": history.begin_us + 4_990_000}
    )
    assert figures(history)["one answer"] == 0


def one_late(history):
    history.member_changes = [
        replace(c, at_us=20 * S) if c.observer == "n001" and c.at_us == 8 * S else c
        for c in history.member_changes
    ]


def one_never(history):
    history.member_changes = [
        c for c in history.member_changes if c.observer != "n001" or c.at_us != 8 * S
    ]


def slander(history):
    history.member_changes.append(MemberChange(50 * S, "n001", "n003", "suspect", "failed"))
    history.member_changes.append(MemberChange(52 * S, "n001", "n003", "failed", "alive"))


def never_healed(history):
    history.member_changes = [
        c for c in history.member_changes if c.observer != "n001" or c.at_us != 31 * S
    ]


@pytest.mark.parametrize(
    ("fault", "name", "figure"),
    [
        (one_late, "last learns", 15), (one_never, "last learns", NEVER_S), (slander, "healthy called failed", 1),
        (slander, "views right", 22), (never_healed, "views right", NEVER_S),
    ],
)  # fmt: skip
def test_a_wrong_view_is_caught(plan, fault, name, figure):
    history = good(plan)
    fault(history)
    assert figures(history)[name] == figure


def test_flapping_uneven_and_refused_are_counted(plan):
    history = good(plan)
    before = figures(history)
    for n in range(20):
        history.member_changes.append(
            MemberChange(
                40 * S + n, "n001", "n005", ("failed", "alive")[n % 2], ("alive", "failed")[n % 2]
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


def test_a_figure_that_is_asked_for_has_to_hold(plan):
    for name in FIGURES:
        assert name in {c.name for c in judge(good(plan))}
    wanted = plan.model_copy(
        update={"checks": [type("C", (), {"name": "served", "most": 0.5, "least": None})()]}
    )
    history = good(plan)
    history.plan = wanted
    assert [c.name for c in judge(history) if not c.holds] == ["served"]
