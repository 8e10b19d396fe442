"""The checks of lost sites: each finds the fault planted for it in a faultless history."""

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
    """Return a run without faults: 80 requests per second, at a capacity of 120.

    Without site c the capacity is 80, so that the other sites can serve everything at once.
    """
    (tmp_path / "plan.toml").write_text(PLAN)
    plan = load_plan(tmp_path / "plan.toml")
    fleet = build_fleet(plan)
    faultless = History(plan, fleet, draw_schedule(plan, fleet, 1), 0, 40 * S)
    for number in range(40 * 80):
        at_us, class_number = number * S // 80, int(number % 4 == 0)
        running = [
            host.number
            for host in fleet.servers
            if host.site != "c" or not 10 * S <= at_us < 20 * S
        ]
        faultless.requests.append({
            "due": at_us, "class": class_number, "site": number % 3, "node": number % 6,
            "status": 200, "took": S // 5, "tries": 1, "request": str(number), "aim": S,
        })  # fmt: skip
        faultless.executions.append({
            "server": running[number % len(running)], "request": str(number), "came": at_us,
            "ended": at_us + S // 10, "status": 200,
            "begun": True,
        })  # fmt: skip
    for at_s, state in ((11, "lost"), (22, "well")):
        faultless.site_changes.append(SiteChange(at_s * S, "n000", "c", "", state))
    return faultless


def figures(history):
    return {name: figure(history) for name, figure in site_loss.FIGURES.items()}


def test_figures_of_a_faultless_run(history):
    found = figures(history)
    assert found["kept"] == pytest.approx(1.0, abs=0.01)
    assert found["moved"] == 0
    assert found["carries"] == 0
    assert found["overload"] <= 1.05
    assert found["storm"] == pytest.approx(1.0, abs=0.02)
    assert found["out of order"] is None
    assert found["site changes"] == 1.0


def set_status(history, seconds, status=0, class_number=None):
    """Set the status of all requests of these seconds, or only of those of one class."""
    for row in history.requests:
        if row["due"] // S in seconds and (class_number is None or row["class"] == class_number):
            row["status"] = status


def set_server(history, seconds, server):
    for row in history.executions:
        if row["came"] // S in seconds:
            row["server"] = server


def triple_executions(history):
    history.executions += [
        dict(row) for row in history.executions if row["came"] // S == 12 for _ in range(2)
    ]


@pytest.mark.parametrize(
    ("plant_fault", "name", "minimum"),
    [
        (lambda run: set_status(run, range(10, 16)), "moved", 6),
        (lambda run: set_server(run, range(20, 30), 0), "carries", 8),
        (lambda run: set_server(run, range(25, 30), 0), "overload", 3),
        (lambda run: set_status(run, range(10, 20), 503, class_number=1), "out of order", 0.99),
        (triple_executions, "storm", 2.9),
        (lambda run: run.site_changes.extend(run.site_changes * 2), "site changes", 3),
    ],
)
def test_each_check_finds_the_fault_planted_for_it(history, plant_fault, name, minimum):
    plant_fault(history)
    assert figures(history)[name] >= minimum


def test_avoidable_rejections_lower_the_kept_weight(history):
    set_status(history, range(10, 20), 503, class_number=1)
    assert figures(history)["kept"] < 0.5
    set_status(history, range(10, 20), 503)
    assert figures(history)["kept"] == 0


def test_cut_divides_the_sites_into_reachable_groups(tmp_path):
    (tmp_path / "plan.toml").write_text(PLAN.replace("servers down", "cut"))
    plan = load_plan(tmp_path / "plan.toml")
    fleet = build_fleet(plan)
    truth = GroundTruth(History(plan, fleet, draw_schedule(plan, fleet, 1), 0, 40 * S))
    assert truth.reachable_groups(5 * S) == [frozenset("abc")]
    assert set(truth.reachable_groups(15 * S)) == {
        frozenset("ab"),
        frozenset("c"),
    }
