"""Choice among many servers.

Pools against a model, the old rule as reference, and cost counted in lines run.
"""

import math
import random
import sys
from collections import Counter

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from oakbridge import Balancer
from oakbridge.node.endpoint_list import (
    BATCH_SIZE,
    EndpointList,
    ListedEndpoint,
    split_into_batches,
)
from oakbridge.policy.actions import SendAttempt
from oakbridge.policy.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointListReceived,
    EndpointState,
    RequestReceived,
    TimerFired,
)
from oakbridge.policy.membership import Membership
from oakbridge.policy.records import Attempt, OpenRequest, Server
from oakbridge.policy.settings import Prices, RequestClass, Settings, WeightSource
from oakbridge.policy.weighted_pool import SCAN_LENGTH

SECOND = 1_000_000
SIZES = (0.001, 0.5, 1.0, 1.0, 3.0, 1000.0)


class Pools(RuleBasedStateMachine):
    """Servers that come, go, change and are ejected; the model is a plain dict."""

    def __init__(self) -> None:
        super().__init__()
        self.m, self.now, self.version = Membership("a"), 0, 1
        self.model: dict[str, Server] = {}
        self.draw = random.Random(1)

    @rule(
        name=st.integers(0, 5),
        zone=st.sampled_from("abc"),
        size=st.sampled_from(SIZES),
        moved=st.booleans(),
    )
    def listed(self, name, zone, size, moved):
        entry = Endpoint(str(name), zone=zone, cell=name % 7, address="x" if moved else "")
        self.m.version = self.version
        if (s := self.model.get(str(name))) is not None:
            self.m.update_entry(s, entry, size, self.now)
        else:
            s = self.model[str(name)] = Server(
                id=entry.id, started_at=entry.started_at, address=entry.address
            )
            self.m.update_entry(s, entry, size, self.now)
            s.listed_since = self.version
            self.m.add(s, self.m.reserve, self.now)
        self.version += 1

    @precondition(lambda self: self.model)
    @rule(
        data=st.data(),
        what=st.sampled_from(["remove", "widen", "narrow", "eject", "eject", "forgive"]),
    )
    def change(self, data, what):
        s = self.model[data.draw(st.sampled_from(sorted(self.model)))]
        if what == "remove":
            self.m.remove(self.model.pop(s.id))
        elif what in ("widen", "narrow"):
            self.m.move(s, self.m.subset if what == "widen" else self.m.reserve, self.now)
        else:
            s.ejected_until = self.now + self.draw.randrange(1, 30) if what == "eject" else 0
            self.m.update_ejection(s, self.now)

    @rule(by=st.integers(0, 20))
    def wait(self, by):
        self.now += by
        self.m.end_ejections(self.now)

    @invariant()
    def all_is_where_it_belongs(self):
        sides = (self.m.subset, self.m.reserve)
        assert (
            sorted(s.id for side in sides for s in side.items(with_inactive=True))
            == sorted(self.model)
            == sorted(self.m.servers)
        )
        assert self.m.ejected_count() == sum(
            s.ejected_until > self.now for s in self.model.values()
        )
        for side in sides:
            for pool, near, out in zip(
                side.pools(with_inactive=True), (1, 0, 1, 0), (0, 0, 1, 1), strict=True
            ):
                members = [s for group in pool.groups.values() for s in group]
                assert all(
                    (s.zone == "a") == near and (s.ejected_until > self.now) == out for s in members
                )
                assert all(
                    pool.groups[rank][s.slot] is s for rank, g in pool.groups.items() for s in g
                )
                assert pool.count == len(members)
                assert math.isclose(
                    pool.total, sum(s.weight for s in members), abs_tol=1e-9, rel_tol=1e-9
                )
                if members:
                    assert pool.draw(self.draw) in members
        assert self.m.oldest_version() == min(
            (s.listed_since for s in self.model.values()), default=math.inf
        )
        for index, key in (
            (self.m.by_zone, "zone"),
            (self.m.by_cell, "cell"),
            (self.m.by_version, "listed_since"),
        ):
            told = {k: sorted(v) for k, v in index.items()}
            real: dict = {}
            for s in self.model.values():
                real.setdefault(getattr(s, key), []).append(s.id)
            assert told == {k: sorted(v) for k, v in real.items()}


Pools.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestPools = Pools.TestCase


def reference(b: Balancer, call, now) -> list[Server]:
    """The rule before: the whole subset in a weighted random order, then the spare servers."""
    tried = {a.server.id for a in call.attempts}
    even = math.ceil((b.admission.in_flight + 1) / max(1, len(b.members.subset)))
    for members, most in (
        (b.members.subset, even),
        (b.members.subset, math.inf),
        (b.members.reserve, math.inf),
    ):
        order = sorted(
            members.items(with_inactive=True), key=lambda s: b.random.expovariate(s.weight)
        )
        own = [
            i
            for i, s in enumerate(order)
            if s.zone == b.members.local_zone and s.ejected_until <= now
        ]
        near = own[0] if b.members.local_zone and own else 0
        order.insert(0, order.pop(near)) if near else None
        pair = []
        for s in order:
            if (
                s.id not in tried
                and len(s.in_flight) < most
                and b.safety.allows_attempt(call, s, now)
                and b.selection.is_usable(s, call, now)
            ):
                pair.append(s)
                if len(pair) == 2:
                    break
        if pair:
            return pair
    return []


def world(count: int, seed: int, **more) -> tuple[Balancer, OpenRequest]:
    """A balancer whose members differ in size, zone, calls out and health; and a call."""
    klass = RequestClass("look", 2 * SECOND, 6 * SECOND, idempotency=more.pop("repeat", "safe"))
    b = Balancer(Settings(classes=(klass,), replica_count=2, **more), seed)
    draw = random.Random(seed)
    entries = [
        Endpoint(f"s{i}", zone="ab"[i % 2], cell=i // 2, weight=draw.choice((0.2, 1.0, 1.0, 4.0)))
        for i in range(count)
    ]  # fmt: skip
    b.handle(SECOND, EndpointListReceived(entries))
    for s in b.servers.values():
        for k in range(draw.choice((0, 0, 1, 2))):
            s.in_flight[-k - 1, 0] = Attempt(s, SECOND, 0, s.zone, s.cell)
            b.admission.in_flight += 1
        if draw.random() < 0.2:
            s.ejected_until = 9 * SECOND
            b.members.update_ejection(s, SECOND)
    return b, OpenRequest(1, klass, "", SECOND, is_streamed=False)


ZONES = {"zone": "a", "zones": ("a", "b"), "prices": Prices(cross_zone=1.0)}


@pytest.mark.parametrize(
    "more",
    [{}, {"weight_source": WeightSource.NOMINAL}, ZONES | {"weight_source": WeightSource.NOMINAL}],
)
@pytest.mark.parametrize(("count", "seed"), [(2, 1), (5, 2), (12, 3), (60, 4), (300, 5)])
def test_choices_have_the_distribution_of_the_old_rule(count, seed, more):
    """Each server's part of pairs and first places, by a chi-square test of two samples (1e-4)."""
    b, call = world(count, seed, **more)
    rounds = 4000
    seen: list[Counter] = []
    for pick in (
        lambda: b.selection.choose_candidates(call, b.admission.in_flight, SECOND),
        lambda: reference(b, call, SECOND),
    ):
        counts: Counter = Counter()
        for _ in range(rounds):
            pair = pick()
            counts.update({s.id: 1 for s in pair})
            counts["", len(pair), tuple(s.zone for s in pair) if b.members.local_zone else ""] += 1
        seen.append(counts)
    statistic = freedom = 0.0
    for key in seen[0].keys() | seen[1].keys():
        x, y = seen[0][key], seen[1][key]
        if x + y >= 10:
            statistic += (x - y) ** 2 / (x + y)
            freedom += 1
    # The normal approximation of chi-square's upper quantile (Wilson and Hilferty), 3.72 for 1e-4.
    bound = freedom * (1 - 2 / (9 * freedom) + 3.72 * math.sqrt(2 / (9 * freedom))) ** 3
    assert statistic < bound, (statistic, freedom)


class Lines:
    """Counts the lines that the policy runs: a cost that is the same on every machine."""

    def __enter__(self) -> "Lines":
        self.count = 0
        self._before = sys.gettrace()
        sys.settrace(self._call)
        return self

    def __exit__(self, *_) -> None:
        sys.settrace(self._before)

    def _call(self, frame, event, _):
        return self._line if "policy" in frame.f_code.co_filename else None

    def _line(self, frame, event, _):
        self.count += event == "line"
        return self._line


def serve(b: Balancer, now: int, number: int) -> int:
    """One request and its good end, if it was sent; how often it was."""
    sent = [
        a
        for a in b.handle(now, RequestReceived(number, "look", 3 * SECOND))
        if isinstance(a, SendAttempt)
    ]
    for a in sent:
        b.handle(
            now + 900,
            AttemptEnded(number, 0, a.server, AttemptResult.OK, 900, request_finished=True),
        )
    return len(sent)


def eject_all_but(b: Balancer, now: int, few: int) -> None:
    for s in list(b.servers.values())[few:]:
        s.ejected_until = now + 60 * SECOND
        b.members.update_ejection(s, now)


def cost(count: int, prepare=lambda b, now: None, entries=None, **more) -> tuple[float, int]:
    """Lines a request, and how many of a hundred were sent."""
    b = Balancer(
        Settings(
            classes=(RequestClass("look", 2 * SECOND, 6 * SECOND, idempotency="safe"),), **more
        ),
        5,
    )
    b.handle(
        1, EndpointListReceived(entries or [Endpoint(f"s{i}", zone="b") for i in range(count)])
    )
    now = 2 * SECOND
    for i in range(20):
        serve(b, now := now + 1000, i)
    prepare(b, now)
    with Lines() as lines:
        sent = sum(serve(b, now := now + 1000, 100 + i) for i in range(100))
    return lines.count / 100, sent


WEIGHTS = [Endpoint(f"s{i}", weight=10.0 ** random.Random(i).uniform(-3, 3)) for i in range(10_000)]


@pytest.mark.parametrize(
    ("prepare", "more", "most"),
    [
        (lambda b, now: None, {"replica_count": 4}, 1.5),
        (lambda b, now: None, {"replica_count": 4, "weight_source": WeightSource.NOMINAL}, 2.5),
        (lambda b, now: None, ZONES | {"replica_count": 2000}, 3),
        (lambda b, now: eject_all_but(b, now, 3), {"replica_count": 4}, 3),
    ],
    ids=["plain", "weights", "all in another zone", "all but three ejected"],
)  # fmt: skip
def test_a_decision_costs_the_same_with_ten_thousand_servers(prepare, more, most):
    small, _ = cost(10, **more)
    large, sent = cost(10_000, prepare, WEIGHTS if "size_source" in more else None, **more)
    assert sent == 100
    assert large < most * small, (small, large)


def test_all_cold_at_once_costs_a_bounded_look():
    entries = [Endpoint(f"s{i}", started_at=SECOND) for i in range(10_000)]
    lines, sent = cost(
        10_000, entries=entries, slow_start_window=60 * SECOND, slow_start_minimum=0.1
    )
    assert lines < 40 * (24 + SCAN_LENGTH) * 3
    assert sent > 0


def test_a_delta_costs_by_its_size_and_a_long_list_by_its_length():
    def lines(count: int, entries, whole: bool) -> int:
        b = Balancer(
            Settings(
                classes=(RequestClass("x", 10, 20),), replica_count=100, pin_endpoint_list=True
            ),
            3,
        )
        b.handle(1, EndpointListReceived([Endpoint(f"s{i}") for i in range(count)]))
        with Lines() as traced:
            b.handle(2, EndpointListReceived(entries, complete=whole))
        return traced.count

    delta = [Endpoint("new"), Endpoint("s1", state=EndpointState.REMOVED)]
    assert lines(10_000, delta, False) < 1.2 * lines(100, delta, False)
    half = [
        lines(n, [Endpoint(f"s{i}") for i in range(n // 2, n + n // 2)], True) for n in (200, 2000)
    ]
    assert half[1] < 12 * half[0]


def test_a_list_in_pieces_comes_to_the_same_as_in_one_and_none_of_them_holds_up():
    """Half of ten thousand replaced, some draining.

    Servers, versions, limits and what is still known, and the cost.
    """
    draw = random.Random(8)
    listed = [
        Endpoint(
            f"s{i}",
            EndpointState.DRAINING if draw.random() < 0.1 else EndpointState.UP,
            started_at=i,
        )
        for i in range(5_000, 15_000)
    ]
    listing = EndpointList(
        7, True, [ListedEndpoint(s, ("127.0.0.1", 1)) for s in draw.sample(listed, len(listed))]
    )
    ends, worst = [], 0
    for split in (False, True):
        b = Balancer(
            Settings(
                classes=(RequestClass("x", 10, 20),), replica_count=100, pin_endpoint_list=True
            ),
            3,
        )
        b.handle(1, EndpointListReceived([Endpoint(f"s{i}", started_at=i) for i in range(10_000)]))
        b.admission.capacity = 500.0
        parts = split_into_batches(listing, b.members.servers) if split else [listing]
        for n, part in enumerate(parts):
            event = EndpointListReceived(
                [e.server for e in part.endpoints],
                complete=part.complete,
                more_follow=n + 1 < len(parts),
            )
            with Lines() as traced:
                b.handle(2, event)
            worst = max(worst, traced.count) if split else worst
        states = {
            s.id: (s.listed_since, s.started_at, s.delisted) for s in b.endpoints.known.values()
        }
        ends.append(
            (
                set(b.servers),
                states,
                b.members.version,
                b.admission.capacity,
                b.safety.oldest_version,
            )
        )
    assert ends[0] == ends[1]
    assert len(parts) > 20
    assert worst < 150 * BATCH_SIZE
    assert (
        split_into_batches(
            EndpointList(8, False, listing.endpoints[:BATCH_SIZE]), b.members.servers
        )[0].endpoints
        == listing.endpoints[:BATCH_SIZE]
    )


def test_a_keyed_call_finds_the_one_other_server_of_its_group():
    """Ten thousand servers in groups of two.

    A repeat may go to one alone, also where that is a spare one.
    """
    klass = RequestClass(
        "look",
        2 * SECOND,
        6 * SECOND,
        idempotency="keyed",
        dedup_scope="cell",
        dedup_window=60 * SECOND,
    )
    b = Balancer(Settings(classes=(klass,), replica_count=500), 5)
    b.handle(1, EndpointListReceived([Endpoint(f"s{i}", cell=i // 2) for i in range(10_000)]))
    found = 0
    for number in range(20):
        now = SECOND * (2 + number)
        (send,) = [
            a
            for a in b.handle(now, RequestReceived(number, "look", 5 * SECOND))
            if isinstance(a, SendAttempt)
        ]
        b.handle(now + 1000, AttemptEnded(number, 0, send.server, AttemptResult.RESET, 1000))
        for _ in range(3):
            again = []
            while not again and b.timers.callbacks.next_due < now + SECOND:
                timer = TimerFired(b.timers.token)
                again = [
                    a
                    for a in b.handle(b.timers.callbacks.next_due, timer)
                    if isinstance(a, SendAttempt)
                ]
            found += sum(int(a.server[1:]) // 2 == int(send.server[1:]) // 2 for a in again)
            assert all(a.server != send.server for a in again)
            if again:
                break
    assert found >= 4  # the retry budget allows a fifth and a floor
