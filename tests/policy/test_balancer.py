"""Each part of the module, and each failure found so far, without a bench."""

import dataclasses
import subprocess
import sys

import pytest

from oakbridge.policy.actions import (
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)
from oakbridge.policy.admission import BURST, CROWDED_START_LIMIT, MAX_WAITING, START_LIMIT
from oakbridge.policy.balancer import Balancer
from oakbridge.policy.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointListReceived,
    EndpointState,
    PeerFailureReports,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from oakbridge.policy.latency import LatencyAverages
from oakbridge.policy.membership import Membership
from oakbridge.policy.outlier_detection import OutlierDetection
from oakbridge.policy.records import Server
from oakbridge.policy.retry_budget import RetryBudget
from oakbridge.policy.settings import (
    Idempotency,
    Prices,
    RequestClass,
    Settings,
    SettingsError,
    Tenant,
    WeightSource,
)
from oakbridge.policy.timers import SECOND_US as SECOND

RATIO, FLOOR_PER_S, WINDOW_S = 0.2, 0.1, 10  # the settings' own
BUDGET = Settings(
    (RequestClass("any", 1, 2),),
    retry_ratio=RATIO,
    retry_floor=FLOOR_PER_S,
    retry_window=WINDOW_S,
)
READ = RequestClass("read", 1_000_000, 4_000_000, 1, 0.5, Idempotency.IDEMPOTENT)
PAY = RequestClass("pay", 1_000_000, 4_000_000, 5, 0.5, Idempotency.NOT_IDEMPOTENT)


class Driver:
    """Feeds a balancer, fires its timers when due, and keeps what it sent."""

    def __init__(self, servers: int = 4, seed: int = 1, entries=None, **options) -> None:
        options.setdefault("classes", (READ, PAY))
        self.b = Balancer(Settings(**options), seed)
        self.now, self.timers, self.actions, self.id = 0, [], [], 0
        self.feed(EndpointListReceived(entries or [Endpoint(f"s{i}") for i in range(servers)]))

    def feed(self, event):
        got = self.b.handle(self.now, event)
        self.timers += [(self.now + a.delay, a.token) for a in got if isinstance(a, SetTimer)]
        self.actions += [(self.now, a) for a in got]
        return got

    def run_to(self, when):
        while self.timers and min(self.timers)[0] <= when:
            first = min(self.timers)
            self.timers.remove(first)
            self.now = first[0]
            self.feed(TimerFired(first[1]))
        self.now = when

    def ask(self, klass="read", left=4_000_000, tenant=""):
        self.id += 1
        return self.feed(RequestReceived(self.id, klass, left, tenant))

    def end(self, send, result, number=0, latency=20_000):
        done = result == AttemptResult.OK
        return self.feed(AttemptEnded(send.request_id, number, send.server, result, latency, done))

    def of(self, kind):
        return [a for _, a in self.actions if isinstance(a, kind)]

    def serve(self, count, latency=20_000, gap=25_000, fails=(), klass="read"):
        """Requests one after another, answered OK unless the server is in ``fails``; returns the servers."""
        used = []
        for _ in range(count):
            self.run_to(self.now + gap)
            for send in [a for a in self.ask(klass) if isinstance(a, SendAttempt)]:
                used.append(send.server)
                self.now += latency
                self.end(send, AttemptResult.ERROR if send.server in fails else AttemptResult.OK, 0, latency)
        return used


# ---- the retry budget


def test_budget_is_ratio_plus_floor_over_the_window():
    budget = RetryBudget(BUDGET)
    for _ in range(50):
        budget.window.add_first(0)
    allowed = RATIO * 50 + FLOOR_PER_S * WINDOW_S
    taken = sum(budget.take(0, "", 1.0) for _ in range(50))
    assert taken == int(allowed)
    assert not budget.take((WINDOW_S - 1) * SECOND, "", 1.0)
    assert budget.left(WINDOW_S * SECOND) == FLOOR_PER_S * WINDOW_S  # the window has moved on


def test_one_tenants_failing_burst_leaves_half_of_the_budget():
    budget = RetryBudget(BUDGET)
    for _ in range(100):
        budget.window.add_first(0)
    greedy = sum(budget.take(0, "greedy", 1.0) for _ in range(100))
    other = sum(budget.take(0, "other", 1.0) for _ in range(5))
    assert greedy <= (RATIO * 100 + FLOOR_PER_S * WINDOW_S) / 2 + 1
    assert other == 5


def test_retries_do_not_multiply():
    """With every server failing, attempts stay near 1 + the ratio for each first try."""
    d = Driver(servers=6)
    for _ in range(300):
        d.run_to(d.now + 20_000)
        for send in [a for a in d.ask() if isinstance(a, SendAttempt)]:
            d.end(send, AttemptResult.ERROR)
        for send in d.of(SendAttempt)[-3:]:
            d.feed(AttemptEnded(send.request_id, 1, send.server, AttemptResult.ERROR, 5))
    assert len(d.of(SendAttempt)) <= 300 * (1 + RATIO) + FLOOR_PER_S * WINDOW_S + 1


# ---- delays


def test_retry_delays_are_random_and_grow():
    first, second = [], []
    for seed in range(40):
        d = Driver(seed=seed, max_attempts=6)
        d.serve(60)
        sent = next(a for a in d.ask() if isinstance(a, SendAttempt))
        at = d.now
        d.end(sent, AttemptResult.ERROR)
        d.run_to(at + 200_000)
        again = [
            (t, a) for t, a in d.actions if isinstance(a, SendAttempt) and a.request_id == sent.request_id
        ][1]
        first.append(again[0] - at)
        at = d.now
        d.end(again[1], AttemptResult.ERROR, 1)
        d.run_to(at + 400_000)
        second.append(
            [t for t, a in d.actions if isinstance(a, SendAttempt) and a.request_id == sent.request_id][2]
            - at
        )
    assert min(first) > 0 and len(set(first)) > 20
    assert sum(second) > 1.5 * sum(first)


# ---- the subset


def test_subset_widens_under_load_and_narrows_when_quiet():
    d = Driver(servers=40, replica_count=40)
    d.b.admission.limit = 99.0
    least = len(d.b.members.subset)
    assert least < 40
    sent = []
    for _ in range(60):
        d.run_to(d.now + 600_000 // 10)
        sent += [a for a in d.ask() if isinstance(a, SendAttempt)]
    wide = len(d.b.members.subset)
    assert wide > least
    for send in sent:
        d.end(send, AttemptResult.OK)
    d.serve(40, gap=600_000)
    assert len(d.b.members.subset) < wide


# ---- health


@pytest.mark.parametrize("pieces", [1, 4])
def test_new_servers_are_in_as_many_copies_subsets_as_old_ones(pieces):
    """Zone day at 200 nodes: of 67 servers 20 that were back got a tenth of their part for seconds."""
    counts = {"old": 0, "new": 0}
    for seed in range(150):
        d = Driver(servers=40, seed=seed, replica_count=40)
        d.serve(3)
        new = [Endpoint(f"n{i}") for i in range(20)]
        for n in range(pieces):
            part = new[n * 20 // pieces : (n + 1) * 20 // pieces]
            d.feed(EndpointListReceived(part, complete=False, more_follow=n + 1 < pieces))
        for s in d.b.members.subset.items(with_inactive=True):
            counts["new" if s.id[0] == "n" else "old"] += 1
    assert 0.8 < counts["new"] / 20 / (counts["old"] / 40) < 1.25


def test_instant_errors_lose_picks():
    d = Driver(servers=5)
    d.serve(40)
    used = d.serve(200, latency=1_000, fails={"s0"})
    assert used.count("s0") <= 12


def test_a_tier_that_fails_as_a_whole_ejects_nobody():
    outliers = OutlierDetection(Membership(""), LatencyAverages())
    servers = [Server(id=f"s{i}") for i in range(6)]
    now = 0
    for n in range(600):
        now += 50_000
        outliers.update_score(servers[n % 6], n % 5 < 4, now)
    late = [s for s in servers if s.ejected_until > now]
    assert not late


@pytest.mark.parametrize(("doubt", "failures"), [(0.0, 2), (0.4, 1), (1.0, 1), (9.0, 1)])
def test_others_word_spares_own_failures_and_ejects_nobody(doubt, failures):
    d = Driver(servers=4)
    s = d.b.servers[d.serve(40)[-1]]
    for _ in range(50):
        d.b.handle(d.now, PeerFailureReports({s.id: doubt, "unheard of": 1.0}))
    before = s.score
    assert s.id in d.serve(40, gap=20_000) and s.score == before  # used as before
    for _ in range(failures):
        assert not s.ejected_until
        d.b.outliers.update_score(s, True, d.now)
    assert s.ejected_until > d.now


def test_a_tier_slow_as_a_whole_ejects_nobody():
    d = Driver(servers=5)
    d.serve(60)
    d.serve(100, latency=900_000)
    assert all(not s.ejected_until for s in d.b.servers.values())


def test_an_ejected_server_is_tried_with_one_repeatable_call():
    d = Driver(servers=3)
    d.serve(30)
    s = d.b.servers["s0"]
    s.ejected_until = d.now + 1_000_000
    assert "s0" not in d.serve(20)
    d.run_to(s.ejected_until + 1)
    pays = d.serve(6, klass="pay", gap=0)
    assert pays and "s0" not in pays  # nothing that can't be repeated
    reads = [a for _ in range(5) for a in d.ask("read") if isinstance(a, SendAttempt)]
    assert [a.server for a in reads].count("s0") == 1


def test_ejection_has_a_floor():
    d = Driver(servers=3)
    d.serve(20)
    for s in d.b.servers.values():
        s.ejected_until = d.now + 10_000_000
        d.b.members.update_ejection(s, d.now)
    assert [a for a in d.ask() if isinstance(a, SendAttempt)]


def test_a_hung_server_is_passed_over():
    d = Driver(servers=4)
    d.serve(40)
    hung = next(a for a in d.ask() if isinstance(a, SendAttempt))
    d.serve(40)
    assert hung.server not in d.serve(30)


# ---- slow start


def test_a_cold_server_gets_its_capped_share():
    d = Driver(servers=4, slow_start_window=10 * SECOND, slow_start_minimum=0.2, overload_factor=2.5)
    d.serve(200)
    d.feed(EndpointListReceived([Endpoint("new", started_at=d.now)], complete=False))
    used = d.serve(100)  # 4.5 s
    can_do = (
        len(used)
        / 5
        * sum(d.b.slow_start.capacity_share(d.b.servers["new"], t) for t in (d.now - 4_500_000, d.now))
        / 2
    )
    assert 0 < used.count("new") < 2.5 * can_do


def test_copies_do_not_hit_a_cold_server_together():
    sent_at_once = 0
    for seed in range(20):
        d = Driver(servers=1, seed=seed, slow_start_window=10 * SECOND, slow_start_minimum=0.2)
        d.serve(20)
        d.feed(EndpointListReceived([Endpoint("new", started_at=d.now)], complete=False))
        sent_at_once += any(isinstance(a, SendAttempt) and a.server == "new" for a in d.ask())
    assert sent_at_once < 10


# ---- the server list


def test_nothing_goes_to_what_drains_and_a_returned_server_starts_clean():
    d = Driver(servers=2)
    d.serve(10)
    d.feed(EndpointListReceived([Endpoint("s0", EndpointState.DRAINING)], complete=False))
    assert set(d.serve(20)) == {"s1"}
    d.b.endpoints.known["s0"].score = 5.0
    d.feed(EndpointListReceived([Endpoint("s0", started_at=1)], complete=False))
    assert d.b.servers["s0"].score < 0


@pytest.mark.parametrize("out", [False, True])
def test_servers_that_are_gone_are_forgotten_once_no_call_is_out(out):
    """Guards against growth on a long day, on which servers are replaced under ever new ids."""
    d = Driver(servers=0)
    for i in range(50):
        d.feed(EndpointListReceived([Endpoint(f"new{i}", started_at=1)], complete=i % 2 == 0))
        sends = [a for a in d.ask() if isinstance(a, SendAttempt)]
        if not out:
            d.end(sends[0], AttemptResult.OK)
        d.feed(EndpointListReceived([Endpoint(f"new{i}", EndpointState.GONE)], complete=False))
        if out:
            assert f"new{i}" in d.b.endpoints.known
            d.end(sends[0], AttemptResult.OK)
    assert d.b.endpoints.known == d.b.servers == d.b.slow_start.warming == {}
    assert not d.b.members.subset
    assert not d.b.members.reserve


@pytest.mark.parametrize(("most", "tier"), [(0, 0), (SECOND, 0), (SECOND, 1)])
def test_refusal_says_when_to_come_back_where_clients_may_be_told(most, tier):
    d = Driver(servers=2, max_retry_after=most, tier=tier, tier_count=2)
    overload(d, 600, 2_000)
    d.run_to(d.now + 5 * SECOND)
    advice = [a.retry_after for a in d.of(RejectRequest)]
    assert advice
    if most and not tier:
        assert all(0 < x <= most for x in advice)
        assert len(set(advice)) > len(advice) // 4  # not all at once
    else:
        assert set(advice) == {0}


def test_an_empty_list_holds_requests_and_answers_them_in_time():
    d = Driver(servers=0, entries=[])
    d.ask(left=500_000)
    assert not d.of(SendAttempt)
    d.run_to(500_000)
    assert [a.request_id for a in d.of(RejectRequest)] == [1]
    d.ask()
    d.feed(EndpointListReceived([Endpoint("late")]))
    assert [a.server for a in d.of(SendAttempt)] == ["late"]


@pytest.mark.parametrize("left", [0, 1, 500])
def test_no_time_left_is_answered_at_once(left):
    d = Driver()
    assert [type(a) for a in d.ask(left=left)] == [RejectRequest]


def asked_after(seed, **lost):
    """How long a copy waits before it asks again, the first time and the tenth."""
    d = Driver(seed=seed, poll_discovery=True, poll_interval=10 * SECOND)
    d.run_to(20 * SECOND)
    assert len(d.of(WatchEndpoints)) == 1
    gaps = []
    for _ in range(10):
        before = d.now
        d.feed(EndpointListReceived(failed=True, **lost))
        d.run_to(d.now + 6 * SECOND)
        gaps.append([t for t, a in d.actions if isinstance(a, WatchEndpoints)][-1] - before)
    assert len(d.of(WatchEndpoints)) == 11
    return gaps[0], gaps[-1]


@pytest.mark.parametrize(
    ("lost", "least", "most"),
    [
        ({}, 0.3, 4.5),  # a watch that was on: all copies' may have broken
        ({"waited": 20_000}, 2.5, 4.5),  # turned away at once: the line is full, and this list is young
        ({"waited": 20_000, "staleness": 2 * SECOND}, 0.5, 2.5),
        ({"waited": 20_000, "staleness": 5 * SECOND}, 0.3, 1.0),  # first of all
        ({"waited": SECOND}, 3, 5),  # it stood in line, and cost discovery as much as an answer
        ({"waited": 2 * SECOND, "staleness": 5 * SECOND}, 3, 5),
    ],
)
def test_copies_that_lose_discovery_at_once_ask_again_apart_and_the_oldest_lists_first(lost, least, most):
    """Discovery works off calls in turn, and news counts as told after six seconds: no wait grows with failures."""
    for gaps in zip(*(asked_after(seed, **lost) for seed in range(60)), strict=True):
        began = [gap + lost.get("waited", 0) for gap in gaps]
        assert least * SECOND <= min(began) and max(began) <= most * SECOND + 1000
        third = (most - least) / 3
        for i in range(3):
            assert sum(i * third <= b / SECOND - least < (i + 1) * third for b in began) >= 8


# ---- admission


def overload(d, count, gap, klass="read", tenant=""):
    for _ in range(count):
        d.run_to(d.now + gap)
        d.ask(klass, tenant=tenant)


def test_calls_that_cannot_make_the_aim_are_refused_before_it():
    """Incident i2e7f05: the oldest first made every answer late."""
    d = Driver(servers=2)
    d.serve(60, latency=100_000)
    d.b.admission.limit = 1.0
    start = d.now
    overload(d, 40, 1_000)
    d.run_to(start + 999_000)
    assert len(d.of(RejectRequest)) >= 30


def test_more_than_have_a_turn_are_refused_at_once_the_oldest_of_least_worth_first():
    """Zone day at 200 nodes: 2,000 calls waited for 600 places, were refused too late to come again, and held
    connections that 2,474 others did not get."""
    d = Driver(servers=2)
    d.serve(60)
    d.b.admission.limit = 40.0
    out = [a for _ in range(40) for a in d.ask("pay") if isinstance(a, SendAttempt)]
    room = int(MAX_WAITING * 40)
    waiting = [(d.ask("read"), d.id)[1] for _ in range(room // 2)] + [
        (d.ask("pay"), d.id)[1] for _ in range(room - room // 2)
    ]
    assert len(out) == 40 and not d.of(RejectRequest)
    for n in range(3):
        d.ask("pay")
        assert [a.request_id for a in d.of(RejectRequest)] == waiting[: n + 1]  # reads
    before = len(d.of(RejectRequest))
    d.b.admission.in_flight = 10  # it is not the limit that they wait for, but servers: all may be served yet
    overload(d, room, 1)
    assert len(d.of(RejectRequest)) == before


def test_worth_and_share_decide_who_waits():
    d = Driver(servers=2, over_quota_weight=0.1, tenants=(Tenant("big", 1.0), Tenant("small", 1000.0)))
    d.serve(70)
    d.b.admission.limit = BURST
    first, *_ = (
        a for _ in range(int(BURST)) for a in d.ask("read", tenant="small") if isinstance(a, SendAttempt)
    )
    for _ in range(5):
        d.ask("pay", tenant="big")  # beyond its share from the third on
    read, pay = d.ask("read", tenant="small"), d.ask("pay", tenant="small")
    assert not [a for a in read + pay if isinstance(a, SendAttempt)]
    order = []
    send = first
    for _ in range(7):
        [send] = [a for a in d.end(send, AttemptResult.OK) if isinstance(a, SendAttempt)]
        order.append(send.request_id)
    assert order.index(d.id) < order.index(d.id - 1)  # the dearer class first
    assert set(order[-3:]) == {78, 79, 80}  # what is over the share goes last


def test_a_server_that_turns_away_gets_no_more_than_it_had():
    d = Driver(servers=1)
    d.serve(20)
    d.b.admission.limit = 9.0
    sent = [a for _ in range(4) for a in d.ask() if isinstance(a, SendAttempt)]
    d.end(sent[-1], AttemptResult.REJECTED)
    assert d.b.servers["s0"].max_in_flight == 3
    assert d.b.servers["s0"].score < 0  # full is not sick


def test_calls_given_up_count_as_out_for_a_while():
    """Incident i9a1a82: where a time-out stops no work, the node filled servers it took for idle."""
    d = Driver(servers=2)
    d.serve(30, latency=100_000)
    send = next(a for a in d.ask() if isinstance(a, SendAttempt))
    d.end(send, AttemptResult.TIMEOUT)
    assert len(d.b.endpoints.known[send.server].in_flight) == 1
    d.run_to(d.now + 200_000)
    assert not d.b.endpoints.known[send.server].in_flight


def test_members_above_their_even_part_are_passed_over():
    d = Driver(servers=8)
    d.serve(20)
    used = [a.server for _ in range(8) for a in d.ask() if isinstance(a, SendAttempt)]
    assert len(set(used)) == 8


# ---- time


@pytest.mark.parametrize("tier", [0, 1, 2])
def test_inner_tiers_leave_time_for_their_callers(tier):
    once = RequestClass("once", 1_000_000, 4_000_000, 1, 0.0, Idempotency.NOT_IDEMPOTENT)
    d = Driver(tier=tier, tier_count=3, classes=(once,))
    [send] = [a for a in d.ask("once") if isinstance(a, SendAttempt)]
    assert send.timeout <= 1_000_000 * (1 - tier / 6)
    d.run_to(1_000_000)
    assert [a.request_id for a in d.of(FailRequest)] == [1]


def test_many_copies_have_no_more_out_than_servers_bear():
    """Each of 300 copies may have one call out at 40 servers where answers are late, not several."""
    d = Driver(servers=40, replica_count=300)
    d.serve(900, latency=3_000_000)
    assert d.b.admission.limit < 3


def test_nothing_is_probed():
    """No deployment lets servers report on probes cheaply, and asking first is not the design's choice."""
    d = Driver(report_names=("in_flight",), probes=True)
    d.serve(30)
    kinds = {type(action) for _, action in d.actions}
    assert kinds <= {SendAttempt, SetTimer, WatchEndpoints}


# ---- settings


@pytest.mark.parametrize(
    ("field", "told_as", "value"),
    [
        ("classes", "classes", ()),
        ("replica_count", "instances", 0),
        ("tier", "tier", 3),
        ("max_attempts", "max_attempts", 0),
        ("slow_start_minimum", "cold_from", 0.0),
        ("poll_interval", "ask_within", 0),
    ],
)
def test_impossible_settings_are_named(field, told_as, value):
    with pytest.raises(SettingsError, match=f"^{told_as}: expected "):
        Settings(**{"classes": (READ,), field: value})


def test_actions_do_not_depend_on_the_hash_seed():
    code = (
        "import sys; sys.path.insert(0, 'tests/policy')\n"
        "from test_rules import World\n"
        "w = World(5, {'hedging_allowed': True, 'replica_count': 3})\n"
        "for _ in range(400): w.step()\n"
        "print(w.log)"
    )
    outs = {
        subprocess.run([sys.executable, "-c", code], env={"PYTHONHASHSEED": h}, capture_output=True).stdout
        for h in ("0", "1", "2")
    }
    assert len(outs) == 1 and len(outs.pop()) > 1000


def test_a_keyed_repeat_says_until_when_it_may_begin_and_a_first_attempt_does_not():
    keyed = RequestClass(
        "keyed", 1_000_000, 4_000_000, 1, 0.5, Idempotency.IDEMPOTENT_WITH_KEY, "all", 500_000
    )
    d = Driver(classes=(keyed,))
    d.serve(40, klass="keyed")
    sent = next(a for a in d.ask("keyed") if isinstance(a, SendAttempt))
    assert sent.start_within == 0
    d.now += 20_000
    d.end(sent, AttemptResult.NOT_SENT)
    d.run_to(d.now + 50_000)
    again = d.of(SendAttempt)[-1]
    assert (again.request_id, again.start_within) == (sent.request_id, 0)  # the first one never ran
    first = next(t for t, a in d.actions if a is again)
    d.end(again, AttemptResult.RESET, number=1)
    d.run_to(d.now + 200_000)
    at, last = next((t, a) for t, a in d.actions if a is d.of(SendAttempt)[-1])
    assert last.request_id == sent.request_id and last is not again
    assert first + 400_000 < at + last.start_within < first + 500_000


def test_keyed_repeats_stay_in_their_group_and_window():
    keyed = RequestClass(
        "keyed", 1_000_000, 4_000_000, 1, 0.5, Idempotency.IDEMPOTENT_WITH_KEY, "zone", 500_000
    )
    entries = [Endpoint("a", zone="x"), Endpoint("b", zone="y"), Endpoint("c", zone="x")]
    for seed in range(10):
        d = Driver(seed=seed, entries=entries, classes=(keyed,))
        d.serve(40, klass="keyed")
        send = next(a for a in d.ask("keyed") if isinstance(a, SendAttempt))
        d.end(send, AttemptResult.RESET)
        d.run_to(d.now + 100_000)
        again = [a for a in d.of(SendAttempt) if a.request_id == send.request_id][1:]
        assert all({send.server, a.server} <= {"a", "c"} or a.server == send.server for a in again)


@pytest.mark.parametrize(("copies", "allowed"), [(True, True), (False, False)])
def test_a_second_copy_needs_the_sites_leave(copies, allowed):
    d = Driver(hedging_allowed=copies)
    d.ask()
    [call] = d.b.requests.values()
    assert d.b.safety.allows_attempt(call, None, d.now) is allowed


@pytest.mark.parametrize(("part", "well"), [(0.2, True), (0.4, True), (0.8, False)])
def test_calls_may_take_a_good_part_of_the_aim_before_the_limit_falls(part, well):
    """Days of replaced servers: two in five were turned away at 0.95 s a call, where 2.5 s are in time."""
    d = Driver(servers=4)
    d.serve(40)
    d.serve(100, latency=int(part * READ.latency_objective))
    assert (d.b.admission.latency_ratio <= 1) is well


def test_the_limit_shrinks_and_grows_with_the_list():
    """Incident i2a22b9: most of a tier was taken away, and the rest got what all had carried."""
    d = Driver(servers=12)
    d.serve(40)
    d.b.admission.capacity, d.b.admission.limit = 24.0, 36.0
    d.feed(
        EndpointListReceived([Endpoint(f"s{i}", EndpointState.GONE) for i in range(4, 12)], complete=False)
    )
    assert (d.b.admission.capacity, d.b.admission.limit) == (8.0, 12.0)
    d.feed(EndpointListReceived([Endpoint(f"new{i}") for i in range(8)], complete=False))
    assert (d.b.admission.capacity, d.b.admission.limit) == (24.0, 36.0)
    d.feed(EndpointListReceived([]))
    d.feed(EndpointListReceived([Endpoint("s0")]))
    assert len([a for a in d.ask() if isinstance(a, SendAttempt)]) == 1


def test_one_connect_failure_ejects_a_silent_server_but_not_one_that_answers():
    """Incident i516c0e: every inner copy found every dead server twice, a quarter of a second each time."""
    d = Driver(servers=4)
    d.serve(30)
    d.run_to(d.now + 2 * SECOND)
    send = next(a for a in d.ask() if isinstance(a, SendAttempt))
    d.end(send, AttemptResult.CONNECT_FAILED)
    assert d.b.endpoints.known[send.server].ejected_until > d.now
    d = Driver(servers=1)
    d.serve(30)
    sends = [a for _ in range(3) for a in d.ask() if isinstance(a, SendAttempt)]
    d.end(sends[0], AttemptResult.CONNECT_FAILED)
    assert not d.b.endpoints.known["s0"].ejected_until and d.b.endpoints.known["s0"].max_in_flight == 2


def test_replaced_timers_set_no_further_ones():
    d = Driver(8)
    d.serve(300, latency=400_000, gap=1000)  # each request's alarms are earlier than the one that is armed
    for i in range(300):  # many are out at once, and each failure brings a nearer alarm
        d.run_to(d.now + 5000)
        for a in d.ask():
            if isinstance(a, SendAttempt):
                d.end(a, AttemptResult.ERROR if i % 2 else AttemptResult.OK)
    d.run_to(d.now + 60_000_000)
    assert len(d.of(SetTimer)) < 3 * d.id
    assert not d.timers  # and an idle copy has none


def test_slow_server_gets_fewer_calls_and_is_tried_again_later():
    d = Driver(4)
    for _ in range(400):  # one server takes five times as long, and calls never overlap
        d.run_to(d.now + 100_000)
        sent = [a for a in d.ask() if isinstance(a, SendAttempt)]
        d.now += 50_000
        for a in sent:
            d.end(a, AttemptResult.OK, 0, 50_000 if a.server == "s0" else 10_000)
    late = [a.server for t, a in d.actions if isinstance(a, SendAttempt) and t > 20_000_000]
    assert 0 < late.count("s0") < 0.15 * len(late)


def test_tier_slow_as_a_whole_is_used_evenly():
    d = Driver(4)
    used = d.serve(100) + d.serve(600, latency=200_000)
    assert min(used[-400:].count(f"s{i}") for i in range(4)) > 50


def test_a_failed_connect_gives_no_idle_connection_back():
    """Day reykjavik big-1: new connections were slow everywhere, and giving back the good ones left none."""
    d = Driver(2)
    d.serve(20)
    d.b.admission.limit = 9.0
    first, second = (next(a for a in d.ask() if isinstance(a, SendAttempt)) for _ in range(2))
    third = next(a for a in d.ask() if isinstance(a, SendAttempt))
    d.end(
        third, AttemptResult.CONNECT_FAILED
    )  # though that server has answered just now and has a call of ours
    d.end(first, AttemptResult.OK)
    d.end(second, AttemptResult.OK)
    d.serve(20)
    assert {type(action) for _, action in d.actions} <= {SendAttempt, SetTimer, WatchEndpoints}


def test_limit_does_not_sink_while_answers_come_in_good_time():
    """Incident i662b88: the limit held the rate down, and the lower rate brought the limit down further."""
    d = Driver(8, classes=(dataclasses.replace(READ, latency_objective=4_000_000),), tier_count=3)
    waiting = []
    for tick in range(4500):  # answers take twice the least latency from second 4 on, whatever the load
        d.run_to(tick * 5000)
        waiting += [
            (d.now + (50_000 if tick < 800 else 120_000), a) for a in d.ask() if isinstance(a, SendAttempt)
        ]
        while waiting and waiting[0][0] <= d.now:
            due, send = waiting.pop(0)
            latency = 50_000 if tick < 800 else 120_000
            more = d.end(send, AttemptResult.OK, 0, latency)
            waiting += [(d.now + latency, a) for a in more if isinstance(a, SendAttempt)]
        if tick == 2000:
            early = d.b.admission.limit
    assert d.b.admission.limit > 0.7 * early


def test_start_is_limited_by_this_copys_part_of_the_servers():
    """Incident i874b61: each copy rushed in before its first answers, and servers turned slow for good."""
    for servers, instances, each in ((10, 20, CROWDED_START_LIMIT), (40, 10, START_LIMIT)):
        d = Driver(servers=servers, replica_count=instances)
        assert d.b.admission.limit == each * servers / instances
        sent = sum(isinstance(a, SendAttempt) for _ in range(90) for a in d.ask())
        assert sent == max(BURST, each * servers / instances)


def test_limits_below_a_call_hold_on_average():
    """Day hanoi big-1: hundreds of copies with one call each out filled every server past what it bears."""
    d = Driver(servers=10, replica_count=100)
    d.b.admission.limit = d.b.admission.min_limit = 0.5
    busy, waiting = 0, []
    for tick in range(20_000):  # far more is asked for than the limit lets through
        d.run_to(tick * 1000)
        for due, send in [w for w in waiting if w[0] <= d.now]:
            waiting.remove((due, send))
            d.end(send, AttemptResult.OK, 0, 200_000)
        if tick % 20 == 0:
            d.ask(left=900_000)
        out = {a.request_id for a in d.of(SendAttempt)} - {a.request_id for _, a in waiting}
        waiting += [
            (d.now + 200_000, a)
            for a in d.of(SendAttempt)
            if a.request_id in out and a.request_id > d.id - 40
        ]
        d.b.admission.limit = 0.5
        busy += d.b.admission.in_flight
    assert 0.3 < busy / 20_000 < 0.75


def test_larger_servers_get_more_calls():
    """Day hanoi rough-1: the slow half of the servers got as many calls and turned slow at half load."""
    entries = [Endpoint(f"s{i}", weight=2.0 if i < 3 else 1.0) for i in range(6)]
    used = Driver(entries=entries, weight_source=WeightSource.NOMINAL).serve(600)
    large = sum(u in ("s0", "s1", "s2") for u in used)
    assert 1.3 < large / (len(used) - large) < 2.7
    used = Driver(entries=[*entries, Endpoint("odd", weight=0.0)]).serve(700)  # sizes mean nothing here
    assert 250 < sum(u in ("s0", "s1", "s2") for u in used) < 350
    assert (
        Driver(entries=[Endpoint("odd", weight=0.0)], weight_source=WeightSource.NOMINAL).serve(5)
        == ["odd"] * 5
    )


def test_the_own_zone_comes_first_where_crossing_has_a_price_and_spills_when_busy():
    """Every dakar day paid 0.05 to 0.09 for crossing rooms: the subset and its pairs were drawn blindly."""
    entries = [Endpoint(f"{zone}{i}", zone=zone) for zone in "abcd" for i in range(4)]
    options = {"zone": "a", "zones": tuple("abcd"), "replica_count": 8, "report_names": ("queued",)}
    d = Driver(entries=entries, prices=Prices(cross_zone=0.04), **options)
    near = sum(s.startswith("a") for s in d.serve(200))
    assert near > 180
    d = Driver(entries=entries, **options)  # crossing costs nothing
    assert sum(s.startswith("a") for s in d.serve(200)) < 120
    d = Driver(entries=entries, prices=Prices(cross_zone=0.04), **options)
    far = 0
    for _ in range(200):  # the own zone's servers say that work waits there
        d.run_to(d.now + 25_000)
        for send in [a for a in d.ask() if isinstance(a, SendAttempt)]:
            far += not send.server.startswith("a")
            report = {"queued": 9.0 if send.server.startswith("a") else 0.0}
            d.feed(AttemptEnded(send.request_id, 0, send.server, AttemptResult.OK, 20_000, True, report))
    assert far > 60


def test_a_zone_that_no_server_is_in_changes_nothing():
    entries = [Endpoint(f"s{i}", zone="elsewhere") for i in range(4)]
    d = Driver(entries=entries, zone="here", zones=("here", "there"), prices=Prices(cross_zone=0.04))
    assert len(set(d.serve(200))) == 4


def test_dear_calls_may_overdraw_a_limit_below_a_call():
    """Every dakar day: a copy with few calls has no queue in which the class worth most could come first."""
    dear = dataclasses.replace(READ, name="dear", priority_weight=30)
    d = Driver(servers=10, replica_count=100, classes=(READ, dear))
    d.serve(40)
    d.b.admission.limit, d.b.admission.credit = 0.5, 0.0
    assert not [a for a in d.ask("read") if isinstance(a, SendAttempt)]
    assert [a.request_id for a in d.ask("dear") if isinstance(a, SendAttempt)] == [d.id]
    d.b.admission.credit = -0.5  # overdrawn
    assert not [a for a in d.ask("dear") if isinstance(a, SendAttempt)]


def test_what_is_out_is_called_off_when_the_client_leaves():
    """Days of reykjavik's retry_abuse: clients left, and servers worked on for nobody."""
    for cancel in (True, False):
        d = Driver(cancellation_allowed=cancel)
        send = next(a for a in d.ask() if isinstance(a, SendAttempt))
        d.feed(ClientDisconnected(send.request_id))
        assert d.of(CancelAttempt) == ([CancelAttempt(send.request_id, 0)] if cancel else [])
        d.end(send, AttemptResult.CANCELLED)
        d.feed(ClientDisconnected(send.request_id))  # once more, late
        assert not d.of(RejectRequest) + d.of(FailRequest)


def test_an_answer_that_streams_is_not_called_off():
    """Found by ``lbsim check``: the cancel of what is out also hit the attempt that the client now reads."""
    d = Driver(cancellation_allowed=True, classes=(dataclasses.replace(READ, streamed=True),))
    send = next(a for a in d.ask() if isinstance(a, SendAttempt))
    d.feed(ResponseStarted(send.request_id, 0))
    d.run_to(d.now + 9 * SECOND)
    assert not d.of(CancelAttempt) + d.of(RejectRequest) + d.of(FailRequest)
    assert not d.b.requests


def test_servers_that_answer_do_not_hang():
    """Guards against a tier that stands still because each server has one call stuck in the tier behind."""
    d = Driver(servers=2)
    stuck = {d.ask()[-1].server, d.ask()[-1].server}
    assert stuck == {"s0", "s1"}
    for step in range(1, 26):
        d.run_to(step * SECOND // 10)
        sends = [a for a in d.ask() if isinstance(a, SendAttempt)]
        assert len(sends) == 1  # it did not have to wait
        d.end(sends[0], AttemptResult.OK)
    server = d.b.servers[sends[0].server]
    assert not d.b.outliers.is_hung(server, d.now)
    server.answered_at = next(
        iter(server.in_flight.values())
    ).sent_at  # but one that has answered nothing since does
    assert d.b.outliers.is_hung(server, d.now)


# ---- many copies: what one copy does that is harmless alone


@pytest.mark.parametrize(("replaced", "count"), [(10, 10), (3, 6)])
def test_cold_servers_get_what_comes_in_as_far_as_they_bear_it(replaced, count):
    """Guards against a share that shrinks with what the shares themselves hold back, and against too large a one."""
    d = Driver(servers=count, slow_start_window=24 * SECOND, slow_start_minimum=0.13, overload_factor=2.5)
    d.serve(100, gap=100_000, latency=200_000)
    new = [Endpoint(f"new{i}", started_at=d.now) for i in range(replaced)]
    gone = [Endpoint(f"s{i}", EndpointState.GONE) for i in range(replaced)]
    d.feed(EndpointListReceived(new + gone, complete=False))
    used = [d.serve(20, gap=100_000, latency=200_000) for _ in range(4)]  # 24 s in all
    assert [len(part) for part in used[1:]] == [20, 20, 20]
    cold = sum(name.startswith("new") for part in used[:3] for name in part)  # each can do one after another
    can_do = sum(
        5 * d.b.slow_start.capacity_share(d.b.servers["new0"], d.now - (t + 6) * SECOND) for t in range(18)
    )
    assert 0 < cold < 2.5 * replaced * can_do


def test_a_server_that_turns_away_a_copy_with_nothing_out_there_rests():
    """Guards against one that says "full" at once: with no call out it looks idle, and would get all retries."""
    d = Driver(servers=4)
    d.serve(40)
    d.actions.clear()
    tried = 0
    for _ in range(200):  # 10 s
        d.run_to(d.now + 50_000)
        d.ask()
        while sends := [a for _, a in d.actions if isinstance(a, SendAttempt)]:
            d.actions.clear()
            for send in sends:
                tried += send.server == "s0"
                number = len(d.b.requests[send.request_id].attempts) - 1
                d.end(send, AttemptResult.REJECTED if send.server == "s0" else AttemptResult.OK, number)
            d.run_to(d.now + 30_000)
    assert 1 <= tried <= 6


def test_a_slow_servers_even_part_of_calls_is_a_smaller_one():
    """Day disco+zone+huge: three servers that did 2 a second held as many calls as those that did 20."""
    d = Driver(servers=4)
    d.serve(60, gap=100_000)
    d.b.admission.limit = 100.0
    while min(len(s.in_flight) for s in d.b.servers.values()) < 2:
        d.ask()
    slow = d.b.servers["s0"]
    d.run_to(d.now + 50_000)
    for (request, number), attempt in list(slow.in_flight.items())[1:]:
        d.feed(AttemptEnded(request, number, "s0", AttemptResult.OK, 50_000, True))
        assert attempt.result == AttemptResult.OK
    slow.slowness, slow.slowness_at = 6.0, d.now
    assert len(slow.in_flight) == 1 < min(len(s.in_flight) for s in d.b.servers.values() if s is not slow)
    sent = [a for _ in range(4) for a in d.ask() if isinstance(a, SendAttempt)]
    assert len(sent) == 4 and all(a.server != "s0" for a in sent)


def test_what_is_called_off_late_tells_that_its_server_is_slow():
    """Clients leave after three seconds: a server that needs five would never be heard of."""
    d = Driver(servers=2, cancellation_allowed=True)
    d.serve(60)
    for _ in range(4):
        sent = next(a for a in d.ask() if isinstance(a, SendAttempt))
        server = d.b.servers[sent.server]
        before = d.b.selection.slowness(server, d.now)
        d.run_to(d.now + 200_000)
        d.feed(ClientDisconnected(sent.request_id))
        d.feed(AttemptEnded(sent.request_id, 0, sent.server, AttemptResult.CANCELLED, 200_000))
        assert d.b.selection.slowness(server, d.now) > before
    quick = next(a for a in d.ask() if isinstance(a, SendAttempt))
    server = d.b.servers[quick.server]
    before = d.b.selection.slowness(server, d.now)
    d.feed(AttemptEnded(quick.request_id, 0, quick.server, AttemptResult.CANCELLED, 100))
    assert d.b.selection.slowness(server, d.now) <= before  # called off at once it tells nothing


@pytest.mark.parametrize(("klass", "goes_on"), [("read", True), ("pay", False)])
def test_what_waits_at_a_server_that_hangs_goes_elsewhere_if_it_may(klass, goes_on):
    """Wide days: calls stuck at three servers of the last tier filled the limits of both tiers above."""
    d = Driver(servers=4, cancellation_allowed=True)
    d.serve(60)
    stuck = next(a for a in d.ask(klass) if isinstance(a, SendAttempt))
    d.serve(60)
    off = [a for a in d.of(CancelAttempt) if a.request_id == stuck.request_id]
    assert off == ([CancelAttempt(stuck.request_id, 0)] if goes_on else [])
    if goes_on:
        d.feed(AttemptEnded(stuck.request_id, 0, stuck.server, AttemptResult.CANCELLED, 1_000_000))
        d.run_to(d.now + 100_000)
        again = [a for a in d.of(SendAttempt) if a.request_id == stuck.request_id]
        assert len(again) == 2 and again[1].server != stuck.server
        called_off = next(when for when, a in d.actions if isinstance(a, CancelAttempt))
        used = [
            a.server for when, a in d.actions if isinstance(a, SendAttempt) and 0 < when - called_off < SECOND
        ]
        assert used and stuck.server not in used  # nothing new goes there for a while


def test_a_late_answer_clears_its_server_before_the_look_for_what_hangs():
    d = Driver(servers=4, cancellation_allowed=True)
    d.serve(60)
    late = next(a for a in d.ask() if isinstance(a, SendAttempt))
    d.b.reviewed_at = d.now
    d.serve(12, gap=20_000)  # just under half a second: the answer itself brings the next look
    d.now += 30_000
    d.end(late, AttemptResult.OK, latency=510_000)
    assert d.b.reviewed_at == d.now
    assert not d.of(CancelAttempt) and not d.b.members.ejected_count()


def test_no_more_is_called_off_in_one_look_than_may_be_tried_again():
    d = Driver(servers=4, cancellation_allowed=True, retry_ratio=0.0, retry_floor=0.2)  # two in ten seconds
    d.serve(60)
    d.b.admission.limit = 100.0
    while sum(len(s.in_flight) for s in d.b.servers.values()) < 16:
        d.ask()
    answered = [s for s in d.b.servers.values() if s.id != "s0"]
    for (number, _), _ in [item for s in answered for item in list(s.in_flight.items())]:
        d.feed(
            AttemptEnded(
                number, 0, d.b.requests[number].attempts[0].server.id, AttemptResult.OK, 20_000, True
            )
        )
    d.run_to(d.now + SECOND)
    d.ask()
    assert len(d.b.servers["s0"].in_flight) > 2 == len(d.of(CancelAttempt))


def test_nothing_is_called_off_while_all_wait_alike():
    """A tier that has become slow as a whole must not get its calls twice."""
    d = Driver(servers=4, cancellation_allowed=True)
    d.serve(60)
    for _ in range(8):
        d.ask()
    d.run_to(d.now + 2_000_000)
    d.ask()
    assert not d.of(CancelAttempt)
