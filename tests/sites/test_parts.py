"""The plan for lost sites, part by part: evidence, the machine, the pace, the level, the plan."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from site_text import SITES

from oakbridge.config.errors import ConfigFileError
from oakbridge.peers.messages import SiteObservation, SiteOverride, SiteReport
from oakbridge.peers.view_state import ClusterView, ViewState
from oakbridge.policy.view import ZoneView
from oakbridge.sites import level, pace, planning, scheme
from oakbridge.sites.core import Heard, Own, Sites, UnknownSite
from oakbridge.sites.machine import CUT_OFF, DOUBTED, HELD_OUT, LOST, RETURNING, WARMING, WELL, Site
from oakbridge.sites.words import FRESH, Evidence, Voice, evidence

S = 1_000_000
HALF = S // 2
GOOD, REFUSED, SILENT = Evidence(9, 0, 0, 5, 5), Evidence(0, 0, 9, 5, 5), Evidence(0, 9, 0, 5, 5)
ONE_SLOW = Evidence(8, 2, 0, 5, 5)
NOTHING = Evidence(0, 0, 0, 0, 5)


def voice(name, site, good=0, mute=0, dead=0, age=0, about="x"):
    return Voice(name, site, age, (SiteObservation(about, good, mute, dead),))


@pytest.mark.parametrize(
    ("voices", "share", "enough", "elsewhere"),
    [
        ([], 0.0, False, False),
        ([voice("a1", "a", dead=2)], 1.0, True, False),  # nobody else is there to ask
        ([voice("a1", "a", dead=2), voice("a2", "a", age=FRESH + 1, dead=2)], 1.0, True, False),
        ([voice("a1", "a", dead=2), voice("a2", "a"), voice("a3", "a")], 1.0, False, False),  # two met nobody
        ([voice(f"a{n}", "a", 3, 1) for n in range(4)], 0.25, True, False),
        ([*(voice(f"a{n}", "a", dead=1) for n in range(3)), voice("x1", "x", good=50)], 1.0, True, False),
        ([voice("a1", "a", mute=3), *(voice(f"b{n}", "b", 3) for n in range(3))], 0.25, True, False),
        (
            [*(voice(f"a{n}", "a", 0, 3) for n in range(3)), voice("b1", "b", 3)],
            1.0,
            True,
            True,
        ),  # one side is missing
    ],
)
def test_evidence_is_pooled_over_fresh_voices_those_of_the_own_site_first(voices, share, enough, elsewhere):
    found = evidence("x", "a", voices)
    assert (round(found.share, 2), found.enough, found.elsewhere) == (share, enough, elsewhere)


def play(site, *steps):
    """Steps of (evidence, seconds, others troubled); returns the states passed through, from a time of its own."""
    now, passed = play.now.get(id(site), 0), [site.state]
    for found, seconds, *troubled in steps:
        for _ in range(round(2 * seconds)):
            now += HALF
            site.hear(now, found, False, bool(troubled), False)
            if site.state != passed[-1]:
                passed.append(site.state)
    play.now[id(site)] = now
    return passed


play.now = {}


@pytest.mark.parametrize(
    ("steps", "states"),
    [
        ([(ONE_SLOW, 20), (NOTHING, 20)], [WELL]),
        ([(REFUSED, 1.5)], [WELL, DOUBTED, LOST]),
        ([(SILENT, 1.5)], [WELL, DOUBTED]),
        ([(SILENT, 3)], [WELL, DOUBTED, CUT_OFF]),
        ([(SILENT, 1), (GOOD, 3)], [WELL, DOUBTED, WELL]),
        ([(REFUSED, 0.5), (NOTHING, 5), (REFUSED, 0.5)], [WELL, DOUBTED, LOST]),  # none calls
        ([(REFUSED, 0.5), (NOTHING, 20)], [WELL, DOUBTED, WELL]),
        ([(REFUSED, 2), (NOTHING, 60)], [WELL, DOUBTED, LOST]),
        ([(REFUSED, 2), (ONE_SLOW, 9)], [WELL, DOUBTED, LOST]),  # words of before: they would end it at once
        ([(REFUSED, 2), (GOOD, 30)], [WELL, DOUBTED, LOST, RETURNING, WARMING, WELL]),
        ([(REFUSED, 2), (GOOD, 4), (REFUSED, 1)], [WELL, DOUBTED, LOST, RETURNING, LOST]),
        (
            [(REFUSED, 2), (GOOD, 30, "troubled")],
            [WELL, DOUBTED, LOST, RETURNING],
        ),  # a second site stops the return
    ],
)
def test_a_site_passes_through_its_states(steps, states):
    assert play(Site("x", False, warm_up=5 * S), *steps) == states


def test_each_loss_on_the_way_back_doubles_the_wait():
    site, waits = Site("x", True), []
    play(site, (REFUSED, 2))
    for _ in range(4):
        began = play.now[id(site)]
        while site.state != RETURNING:
            play(site, (GOOD, 0.5))
        waits.append(play.now[id(site)] - began)
        play(site, (REFUSED, 0.5))
        assert site.state == LOST and site.part() == 0
    assert all(2 * a - S <= b <= 2 * a + S for a, b in zip(waits[1:], waits[2:], strict=False))


def test_nodes_of_the_site_go_first_on_its_way_back():
    own, other = (pace.Pace(own) for own in (True, False))
    parts = []
    for one in (own, other):
        one.begin(0)
        steps = []
        for n in range(1, 10):
            steps.append(one.part())
            one.advance(n * pace.STEP, True, 0.0, False)
        parts.append(steps)
    assert all(a >= b for a, b in zip(*parts, strict=True)) and parts[0] != parts[1]
    assert parts[0][-1] == parts[1][-1] == 1.0 and own.done and other.done


@pytest.mark.parametrize("after", [0.5, 1.5, 30])
def test_operators_drain_in_steps_and_may_take_it_back_at_each(after):
    site, now, parts = Site("x", False, warm_up=S), 0, [1.0]
    for _ in range(round(2 * after)):
        now += HALF
        site.hear(now, GOOD, True, False, False)
        parts.append(site.part())
    assert site.state == HELD_OUT and parts == sorted(parts, reverse=True)
    assert (parts[-1] == 0) == (after == 30)
    site.hear(now, GOOD, False, False, False)
    assert site.state == (WELL if parts[-1] >= 0.3 else RETURNING)


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from([GOOD, REFUSED, SILENT, ONE_SLOW, NOTHING]), st.booleans(), st.booleans())
    )
)
def test_whatever_comes_a_lost_site_gets_nothing_and_comes_back_only_in_steps(course):
    site, now, before = Site("x", False, warm_up=S), 0, 1.0
    for found, held, troubled in course:
        now += HALF
        state = site.state
        site.hear(now, found, held, troubled, False)
        part = site.part()
        assert 0 <= part <= 1 and (not site.gone or part == 0)
        if state in (LOST, CUT_OFF):
            assert part <= pace.STEPS[0]
        if state == RETURNING == site.state:
            assert part <= before or pace.STEPS.index(part) <= (pace.STEPS.index(before) + 1 if before else 0)
        before = part


ROWS = level.order({"look": 1.0, "status": 2.0, "book": 5.0}, True)


def test_the_level_refuses_in_order_of_worth():
    assert [r.name for r in ROWS] == ["", "look", "status", "book"]
    assert level.refused(ROWS, 0.0) == {}
    found = level.refused(ROWS, 2.25)
    assert found == {"": 1.0, "look": 1.0, "status": 0.25}
    mix = [0.1, 0.4, 0.3, 0.2]
    for share in (0.0, 0.05, 0.1, 0.3, 0.65, 0.9):
        assert level.share_of(level.level_of(share, mix), mix) == pytest.approx(share)


@pytest.mark.parametrize("much", [1.0, 1.2, 2.0, 5.0])
def test_feedback_finds_what_does_not_fit_and_lets_go_of_it(much):
    """Nothing is known of the room but what finds none: within 20 s refusals by the level leave under 10% to chance."""
    one, mix, now = level.Level(ROWS), [0.1, 0.4, 0.3, 0.2], 0
    late, shares = [], []
    for second in range(150):
        now += S
        offered = much if second < 100 else 0.8
        let_in = offered * (1 - level.share_of(one.now, mix))
        pressed = max(0.0, 1 - 1 / let_in) if let_in else 0.0
        late.append(pressed)
        shares.append(level.share_of(one.now, mix))
        one.set(now, "me", pressed, mix)
    assert max(late[40:100]) < 1.2 * level.LEFT and shares[-1] < 0.02
    steps = [abs(b - a) for a, b in zip(shares[30:100], shares[31:100], strict=False)]
    assert max(steps, default=0) < 0.1  # no class comes and goes by the second


def sites_file(tmp_path, text=SITES):
    (tmp_path / "sites.toml").write_text(text)
    return scheme.load_sites(tmp_path / "sites.toml")


def test_a_plan_keeps_most_worth_is_checked_and_kept_whole(tmp_path):
    file, digest = sites_file(tmp_path)
    plan = planning.make(file, digest)
    assert scheme.check_plan(plan, file, digest) == [] and len(plan.scenarios) == 1 + 3 + 3
    calm, lost_a = plan.scenario(()), plan.scenario(["a"])
    assert calm.worth == pytest.approx(calm.offered) and calm.shares["a"] == {"a": pytest.approx(1.0)}
    # 90 + 40 is left for 110 + 30 of work: what gives way is the class worth less for its work.
    assert lost_a.refused["book"] == pytest.approx(0, abs=1e-6) and lost_a.refused["look"] == pytest.approx(
        10 / 110
    )
    scheme.save_plan(tmp_path / "plan.json", plan)
    assert scheme.load_plan(tmp_path / "plan.json") == plan
    assert plan.scenario(["a", "gone since"]) == lost_a


def test_all_mistakes_of_a_sites_file_are_told_at_once_with_their_lines(tmp_path):
    text = SITES.replace('site = "c"\nclass = "book"', 'site = "d"\nclass = "cook"').replace(
        'b = "c"', 'b = "a"'
    )
    with pytest.raises(ConfigFileError) as caught:
        sites_file(tmp_path, text + '[[site]]\nname = "a"\ncapacity = 1.0\n')
    told = [(p.line, p.field_name(), p.expected[:26]) for p in caught.value.problems]
    assert [where for _, where, _ in told] == ["load[2].site", "load[2].class", "distance[0]", "site[3]"]
    assert all(line and SITES.splitlines() for line, _, _ in told)


def test_a_plan_that_is_wrong_in_itself_is_not_used(tmp_path):
    file, digest = sites_file(tmp_path)
    plan = planning.make(file, digest)
    broken = scheme.msgspec.structs.replace(plan.scenarios[1], shares={"b": {"a": 0.7}}, refused={"x": 1.2})
    plan = scheme.msgspec.structs.replace(plan, scenarios=(broken, *plan.scenarios[2:]))
    scheme.save_plan(tmp_path / "plan.json", plan)
    with pytest.raises(ConfigFileError) as caught:
        scheme.load_plan(tmp_path / "plan.json")
    assert len(caught.value.problems) == 5
    assert scheme.check_plan(planning.make(file, digest), file, "another")[0].startswith("version")


@pytest.mark.parametrize("seed", range(5))
def test_a_plan_never_keeps_less_than_passing_on_by_free_capacity(seed):
    file = random_sites(random.Random(seed), 5)
    problem = planning.Problem(file)
    for lost in scheme.losses(problem.sites):
        assert planning.solve(problem, lost).worth >= planning.proportional(problem, lost) - 1e-6


def random_sites(rng, many):
    names, classes = [f"s{n}" for n in range(many)], ["look", "status", "book"]
    return scheme.SitesFile.model_validate({
        "version": 1,
        "site": [{"name": n, "capacity": rng.uniform(50, 500), "keep_free": rng.uniform(0, 0.2)} for n in names],
        "class": [{"name": c, "worth": rng.uniform(0.5, 10), "work": rng.uniform(0.5, 2)} for c in classes],
        "load": [{"site": n, "class": c, "rate": rng.uniform(0, 100)} for n in names for c in classes],
        "distance": [{"a": names[0], "b": n, "cost": rng.uniform(0, 5)} for n in names[1:]],
    })  # fmt: skip


# ---- one node's part


def whole(**more):
    return ClusterView(**{"state": ViewState.COMPLETE, "known": 9, "unreachable": 0, **more})


def own(pressure=0.0, **zones):
    return Own(
        [ZoneView(z, 9, *seen) for z, seen in zones.items()], 50.0, pressure, {"look": 0.7, "book": 0.3}
    )


def node(plan=None, me="n1"):
    return Sites(me, "a", {"look": 1.0, "book": 5.0}, False, 1, plan=plan)


WELL_SEEN = {"a": (3, 0, 0), "b": (3, 0, 0), "c": (3, 0, 0)}


def others(names="n2 n3 n4", site="a", **words):
    told = tuple(SiteObservation(z, *seen) for z, seen in words.items())
    return [Heard(n, site, S, SiteReport(told, 50)) for n in names.split()]


def after(sites, seconds, stance=None, heard=(), seen=WELL_SEEN, start=0, **more):
    for n in range(2 * seconds):
        decision = sites.look(
            start + n * HALF, 10_000 + n * 500, stance or whole(), list(heard), own(**seen, **more)
        )
    return decision


def test_what_others_meet_is_enough_to_close_a_site_that_this_node_never_met():
    sites = node()
    after(sites, 1)
    decision = after(sites, 3, heard=others(c=(0, 0, 4)), seen={**WELL_SEEN, "c": (0, 0, 0)})
    assert decision.parts == {"c": 0.0} and sites.why("c", 4 * S)[-1]["after"] == LOST


@pytest.mark.parametrize(
    ("stance", "parts"),
    [
        (
            whole(state=ViewState.PARTITIONED, unreachable=3, is_larger_part=True, unreachable_sites=("c",)),
            {"b": 0.0, "c": 0.0},
        ),
        (
            whole(
                state=ViewState.PARTITIONED, unreachable=6, is_larger_part=False, unreachable_sites=("b", "c")
            ),
            {"b": 0.0, "c": 0.0},
        ),
        (whole(state=ViewState.ISOLATED, unreachable=8, is_larger_part=False), {"b": 0.0, "c": 0.0}),
    ],
)
def test_who_is_in_the_smaller_part_keeps_to_its_own_site(stance, parts):
    sites = node()
    after(sites, 1)
    decision = after(sites, 4, stance, seen={"a": (3, 0, 0), "b": (0, 3, 0), "c": (0, 3, 0)})
    assert decision.parts == parts
    if not stance.is_larger_part:  # it has judged nobody
        assert {s.state for s in sites.sites.values()} == {WELL}
        assert after(sites, 1).parts == {}


def test_a_verdict_goes_on_speaking_once_nobody_meets_the_site_any_more():
    """Whoever closes a site early has no fresh word on it: late ones would never be three that have met it."""
    early = {name: node(me=name) for name in ("n2", "n3")}
    for one in early.values():
        after(one, 3, heard=others("m1 m2 m3", c=(0, 0, 4)))
        after(one, 9, seen={**WELL_SEEN, "c": (0, 0, 0)}, start=3 * S)
    said = [Heard(name, "a", S, one.say()) for name, one in early.items()]
    late = node()
    after(late, 1)
    assert after(late, 2, heard=said, seen={**WELL_SEEN, "c": (0, 0, 1)}).parts == {"c": 0.0}
    # It says nothing against a return: fresh good words alone decide that.
    after(late, 3, heard=said, seen=WELL_SEEN, start=3 * S)
    assert late.sites["c"].state == RETURNING


def test_with_every_site_lost_all_are_used_again():
    sites = node()
    after(sites, 1)
    assert after(sites, 3, seen=dict.fromkeys("abc", (0, 0, 3))).parts == {}


def test_a_lost_site_is_looked_at_by_a_few_calls_of_all_nodes_together():
    sites, looks = node(), 0
    after(sites, 1)
    heard = others(" ".join(f"m{n}" for n in range(49)), c=(0, 0, 4))
    for n in range(400):
        looks += len(after(sites, 1, heard=heard, seen={**WELL_SEEN, "c": (0, 0, 0)}, start=n * S).look)
    assert (
        15 < looks < 70
    )  # 50 nodes, 5 a second by all: 40 in 400 s by each (of every second look one is seen here)


def test_an_operators_word_spreads_and_the_later_one_counts():
    here, there = node(), node(me="n2")
    for one in (here, there):
        after(one, 1)
    here.operate(5_000, "b", True, "kari")
    assert here.operate(6_000, "b", True, "ola").operator == "kari"  # said twice it changes nothing
    decision = after(there, 30, heard=[Heard("n1", "a", 0, here.say())])
    assert decision.parts == {"b": 0.0} and there.describe(0)["sites"][1]["held_by"] == "kari"
    there.operate(1_000, "b", False, "ola")  # by a clock that is behind
    after(here, 1, heard=[Heard("n2", "a", 0, there.say())])
    assert not here.held["b"].drained
    far = SiteReport(overrides=(SiteOverride("b", 10**15, True, "x"),))
    after(here, 1, heard=[Heard("n9", "a", 0, far)])
    assert not here.held["b"].drained
    with pytest.raises(UnknownSite, match="expected one of a, b, c"):
        here.operate(0, "d", True, "")
    for site in "bc":
        here.operate(9_000, site, True, "")
    after(here, 1)
    with pytest.raises(UnknownSite, match="the last one"):
        here.operate(9_000, "a", True, "")


def test_all_nodes_of_a_part_follow_one_that_sets_the_level():
    names = [f"n{n}" for n in range(6)]
    nodes = {n: node(me=n) for n in names}
    for second in range(12):
        said = {n: sites.say() for n, sites in nodes.items()}
        for n, sites in nodes.items():
            heard = [Heard(m, "a", S, said[m]) for m in names if m != n]
            after(sites, 1, heard=heard, start=second * S, pressure=0.5)
    levels = {round(s.level.now, 2) for s in nodes.values()}
    assert len({s.level.by for s in nodes.values()}) == 1 and max(levels) - min(levels) < 0.15 < min(levels)
    away = nodes["n0"].decision.away
    assert away["look"] > 0 and away.get("book", 0) < away["look"]


def test_in_trouble_all_tell_the_one_that_sets_the_level_and_it_tells_all():
    names = [f"n{i}" for i in range(6)]
    told = {}
    for name in names:
        sites = node(me=name)
        after(sites, 1)
        others_ = [n for n in names if n != name]
        assert sites.tell_to(others_) == []
        after(sites, 3, seen={**WELL_SEEN, "c": (0, 0, 3)}, start=S)
        told[name] = sites.tell_to(others_)
    leader = level.first(names)
    assert all(told[n] == ([n2 for n2 in names if n2 != n] if n == leader else [leader]) for n in names)


def test_old_words_do_not_move_the_level():
    sites = node()
    old = [Heard(f"m{n}", "a", FRESH + 1, SiteReport((), 50, 900)) for n in range(9)]
    after(sites, 30, heard=old)
    assert sites.pressure == 0 and sites.level.now == 0


def test_a_plan_says_where_a_lost_sites_load_goes_and_what_is_refused_from_the_first_moment(tmp_path):
    file, digest = sites_file(tmp_path)
    plan = planning.make(file, digest)
    sites = node(plan)
    after(sites, 1)
    decision = after(sites, 3, heard=others(a=(0, 0, 4)), seen={**WELL_SEEN, "a": (0, 0, 3)})
    shares = plan.scenario(["a"]).shares
    assert (
        decision.parts["a"] == 0 and "a" not in shares
    )  # its nodes have no part of their own in the plan then
    assert decision.away.get("look", 0) > 0
    assert sites.describe(0)["plan"] == 7
