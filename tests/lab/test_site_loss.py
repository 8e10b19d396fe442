"""The checkers of lost sites: a history in which all went well, and a fault planted in it for each of them."""

import pytest

from oakbridge.lab.checks import site_loss
from oakbridge.lab.checks.ground_truth import GroundTruth
from oakbridge.lab.fleet import build_fleet
from oakbridge.lab.history import History, SiteChange
from oakbridge.lab.plan import load_plan
from oakbridge.lab.schedule import draw_schedule

S = 1_000_000
PLAN = """
[lab]
lasts = "40s"
[servers]
workers = 2
time = "100ms"
cold_for = "2s"
[[class]]
name = "look"
aim = "1s"
deadline = "2s"
rate = 60.0
[[class]]
name = "book"
aim = "1s"
deadline = "2s"
worth = 5.0
rate = 20.0
[[fault]]
at = "10s"
kind = "servers down"
site = "c"
lasts = "10s"
""" + "".join(f'[[site]]\nname = "{name}"\nnodes = 2\nservers = 2\n' for name in "abc")


@pytest.fixture
def history(tmp_path):
    """80 a second of 120 that can be done; without site c 80 can: all goes on at once."""
    (tmp_path / "plan.toml").write_text(PLAN)
    plan = load_plan(tmp_path / "plan.toml")
    fleet = build_fleet(plan)
    found = History(plan, fleet, draw_schedule(plan, fleet, 1), 0, 40 * S)
    for n in range(40 * 80):
        at, klass = n * S // 80, int(n % 4 == 0)
        up = [h.number for h in fleet.servers if h.site != "c" or not 10 * S <= at < 20 * S]
        found.requests.append({
            "due": at, "class": klass, "site": n % 3, "node": n % 6, "status": 200, "took": S // 5, "tries": 1,
            "request": str(n), "aim": S,
        })  # fmt: skip
        found.executions.append({
            "server": up[n % len(up)], "request": str(n), "came": at, "ended": at + S // 10, "status": 200,
            "begun": True,
        })  # fmt: skip
    for at, state in ((11, "lost"), (22, "well")):
        found.site_changes.append(SiteChange(at * S, "n000", "c", "", state))
    return found


def figures(history):
    return {name: figure(history) for name, figure in site_loss.FIGURES.items()}


def test_all_went_well(history):
    found = figures(history)
    assert found["kept"] == pytest.approx(1.0, abs=0.01)
    assert found["moved"] == 0
    assert found["carries"] == 0
    assert found["overload"] <= 1.05
    assert found["storm"] == pytest.approx(1.0, abs=0.02)
    assert found["out of order"] is None
    assert found["site changes"] == 1.0


def lost(history, seconds, status=0, klass=None):
    """Answers of these seconds become this status."""
    for row in history.requests:
        if row["due"] // S in seconds and (klass is None or row["class"] == klass):
            row["status"] = status


def served_by(history, seconds, server):
    for row in history.executions:
        if row["came"] // S in seconds:
            row["server"] = server


def doubled(history):
    history.executions += [
        dict(e) for e in history.executions if e["came"] // S == 12 for _ in range(2)
    ]


@pytest.mark.parametrize(
    ("plant", "name", "least"),
    [
        (lambda h: lost(h, range(10, 16)), "moved", 6),
        (lambda h: served_by(h, range(20, 30), 0), "carries", 8),
        (lambda h: served_by(h, range(25, 30), 0), "overload", 3),
        (lambda h: lost(h, range(10, 20), 503, klass=1), "out of order", 0.99),
        (doubled, "storm", 2.9),
        (lambda h: h.site_changes.extend(h.site_changes * 2), "site changes", 3),
    ],
)
def test_each_checker_finds_the_fault_that_is_planted_for_it(history, plant, name, least):
    plant(history)
    assert figures(history)[name] >= least


def test_worth_that_a_policy_with_the_truth_would_have_kept_is_missed(history):
    lost(history, range(10, 20), 503, klass=1)
    assert figures(history)["kept"] < 0.5
    lost(history, range(10, 20), 503)
    assert figures(history)["kept"] == 0


def test_the_truth_is_told_by_parts_that_reach_each_other(tmp_path):
    (tmp_path / "plan.toml").write_text(PLAN.replace("servers down", "cut"))
    plan = load_plan(tmp_path / "plan.toml")
    fleet = build_fleet(plan)
    truth = GroundTruth(History(plan, fleet, draw_schedule(plan, fleet, 1), 0, 40 * S))
    assert truth.reachable_groups(5 * S) == [frozenset("abc")]
    assert set(truth.reachable_groups(15 * S)) == {
        frozenset("ab"),
        frozenset("c"),
    }
