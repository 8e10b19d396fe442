"""The lab's pure parts: the file, the course, the links, and each checker with a fault planted for it."""

import random
from dataclasses import replace

import pytest

from oakbridge.config.errors import ConfigFileError
from oakbridge.lab.checks.check import NEVER_S
from oakbridge.lab.checks.judge import FIGURES, judge
from oakbridge.lab.fleet import build_fleet
from oakbridge.lab.history import History, MemberChange, PerformedStep, SiteChange, read_changes
from oakbridge.lab.links import Links, Rule
from oakbridge.lab.node_selector import NodeSelector
from oakbridge.lab.plan import load_plan, scale_down
from oakbridge.lab.schedule import Schedule, Span, StepKind, draw_schedule
from oakbridge.lab.server_queue import ServerQueue

S = 1_000_000
PLAN = """
[lab]
lasts = "60s"
quick = 0.5
[[site]]
name = "a"
nodes = 4
servers = 4
[[site]]
name = "b"
nodes = 4
servers = 2
[[class]]
name = "read"
aim = "1s"
deadline = "2s"
rate = 10.0
[[class]]
name = "write"
aim = "1s"
deadline = "2s"
worth = 3.0
repeat = "unsafe"
rate = 10.0
[[fault]]
at = "5s"
kind = "kill"
share = 0.25
[[fault]]
at = "10s"
kind = "cut"
site = "a"
lasts = "20s"
"""


@pytest.fixture
def plan(tmp_path):
    (tmp_path / "plan.toml").write_text(PLAN)
    return load_plan(tmp_path / "plan.toml")


@pytest.mark.parametrize(
    ("more", "told"),
    [
        ('[[fault]]\nat = "1s"\nkind = "flood"\n', "kind"),
        ('[[fault]]\nat = "1s"\nkind = "freeze"\n', "lasts: expected a time where kind is freeze"),
        ('[[fault]]\nat = "1s"\nkind = "cut"\nsite = "x"\n', "expected one of the sites, got 'x'"),
        ('[[fault]]\nat = "61s"\nkind = "kill"\n', "expected a time before the course's end"),
        ('[[fault]]\nat = "1s"\nkind = "cut"\none_way = true\n', "site: expected one where"),
        ('[[check]]\nname = "beauty"\nmost = 1.0\n', "expected one of"),
        ('[[check]]\nname = "served"\n', "exactly one of most and least"),
        ("[labs]\n", "labs: unknown key"),
    ],
)
def test_mistakes_in_a_plan_are_named_with_their_line(tmp_path, more, told):
    path = tmp_path / "plan.toml"
    path.write_text(PLAN + more)
    with pytest.raises(ConfigFileError, match=told) as bad:
        load_plan(path)
    assert str(bad.value).startswith(f"{path}:")


def test_a_seed_draws_one_course(plan):
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


def test_links_follow_the_rules_in_force():
    links = Links({"a1": "a", "a2": "a", "b1": "b"}, delay=1, between=10, loss=0.5)
    assert links.link("a1", "a2").delay == 1
    assert links.link("a1", "b1").delay == 11
    links.put(Rule(1, frozenset({"a1"}), frozenset({"b1"}), both=False, cut=True))
    links.put(Rule(2, frozenset({"a1"}), frozenset({"b1"}), loss=0.5, doubled=1.0, jitter=5))
    assert links.link("a1", "b1").cut and not links.link("b1", "a1").cut
    assert links.link("b1", "a1").loss == 0.75
    rng = random.Random(1)
    arrived = [links.datagram("b1", "a1", rng) for _ in range(4000)]
    assert links.datagram("a1", "b1", rng) == []
    assert 0.22 < sum(map(bool, arrived)) / 4000 < 0.28
    assert {len(a) for a in arrived} == {0, 2}
    links.drop(1)
    links.drop(2)
    assert links.link("a1", "b1") == replace(links.link("b1", "a1"))
    rule = Rule(3, frozenset("x"), frozenset("y"), cut=True)
    assert Rule.from_json(rule.as_json()) == rule


def test_one_that_is_killed_and_frozen_is_not_back_when_thawed():
    history = History(None, None, Schedule((), {"x": []}), 0, 60 * S)
    history.performed_steps = [
        PerformedStep(at * S, StepKind(kind), ("x",))
        for at, kind in ((1, "stop"), (2, "kill"), (9, "continue"), (12, "start"))
    ]
    assert history.outages() == {"x": [Span(1 * S, 60 * S + 3600 * S)]}
    history.performed_steps.append(PerformedStep(14 * S, StepKind.READY, ("x",)))
    assert history.outages() == {"x": [Span(1 * S, 14 * S)]}


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
    assert (found["one answer"], found["no effect twice"], found["served"], found["worth served"]) == (
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
    history.unsolicited_answers = 1


def two_out(history):
    row = history.executions[8]
    history.executions.append({**row, "came": row["came"] - 200_000, "ended": row["ended"] + 200_000})


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


@pytest.mark.parametrize(("across", "second", "broken"), [(True, 20, 0), (True, 40, 1), (False, 20, 1)])
def test_what_was_called_off_across_a_cut_is_not_judged_by_what_the_server_saw(plan, across, second, broken):
    history = good(plan)
    fleet = history.fleet
    home = fleet.nodes[history.requests[0]["node"]].site
    rows = history.executions[10 * second :: 2]  # of the safe class
    row = next(r for r in rows if (fleet.servers[r["server"]].site != home) == across)
    history.executions.append({**row, "came": row["came"] - 200_000, "ended": row["ended"] + 200_000})
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
    history.member_changes = [c for c in history.member_changes if c.observer != "n001" or c.at_us != 8 * S]


def slander(history):
    history.member_changes.append(MemberChange(50 * S, "n001", "n003", "suspect", "failed"))
    history.member_changes.append(MemberChange(52 * S, "n001", "n003", "failed", "alive"))


def never_healed(history):
    history.member_changes = [c for c in history.member_changes if c.observer != "n001" or c.at_us != 31 * S]


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
            MemberChange(40 * S + n, "n001", "n005", ("failed", "alive")[n % 2], ("alive", "failed")[n % 2])
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


def test_changes_are_read_from_a_log_that_is_cut_short():
    lines = [
        '{"event": "x"}\n',
        '{"member": "n1", "at_us": 5000000, "before": "alive", "after": "failed", "by": "n2", "cause": ""}\n',
        '{"member": "n1", "at_us": 50',
    ]
    lines.insert(1, '{"site": "a", "at_us": 4000000, "was": "well", "state": "lost", "cause": ""}\n')
    found = (
        [MemberChange(3 * S, "n0", "n1", "alive", "failed")],
        [SiteChange(2 * S, "n0", "a", "well", "lost")],
    )
    assert read_changes(lines, "n0", 2 * S) == found


def test_a_server_works_queues_and_rejects(plan):
    servers = plan.servers.model_copy(update={"workers": 2, "queue": 2, "cold": 0.25, "cold_for": 4 * S})
    queue: ServerQueue[str] = ServerQueue(servers, 1.0, "seed")
    came = [queue.add(job, 0.0) for job in "abcde"]
    assert [t if t is None else bool(t) for t in came] == [True, True, False, False, None]
    job, takes = queue.complete(1.0, lambda waited: waited == "c")
    assert job == "d" and takes > 0
    assert queue.complete(1.0, lambda _: False) is None
    queue.cold_since_s = 10.0
    assert [queue.warmth(at) for at in (10.0, 12.0, 14.0, 99.0)] == [0.25, 0.625, 1.0, 1.0]


def test_nodes_are_selected_by_weight_and_avoided_for_a_while():
    rng, avoided_until_s = random.Random(1), {}
    selector = NodeSelector([0, 1, 2], {0: 1.0, 1: 3.0, 2: 0.0}, avoided_until_s)
    picks = [selector.select(0.0, (), rng) for _ in range(4000)]
    assert 2.6 < picks.count(1) / picks.count(0) < 3.4 and 2 not in picks
    selector.avoid(1, 0.0)
    assert {selector.select(1.0, (), rng) for _ in range(50)} == {0}
    assert selector.select(1.0, {0, 2}, rng) is None
    assert selector.select(3.0, {0}, rng) == 1
