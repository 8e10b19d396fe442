"""Tests of choosing among many servers.

The pools are compared with a model, the choice with a reference that looks at all servers, and the
cost is counted in executed lines.
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
WEIGHT_CHOICES = (0.001, 0.5, 1.0, 1.0, 3.0, 1000.0)


class Pools(RuleBasedStateMachine):
    """Servers that are added, removed, changed and ejected; the model is a plain dict."""

    def __init__(self) -> None:
        super().__init__()
        self.members, self.now, self.version = Membership("a"), 0, 1
        self.model: dict[str, Server] = {}
        self.random = random.Random(1)

    @rule(
        name=st.integers(0, 5),
        zone=st.sampled_from("abc"),
        weight=st.sampled_from(WEIGHT_CHOICES),
        is_moved=st.booleans(),
    )
    def list_server(self, name, zone, weight, is_moved):
        entry = Endpoint(str(name), zone=zone, cell=name % 7, address="x" if is_moved else "")
        self.members.version = self.version
        if (server := self.model.get(str(name))) is not None:
            self.members.update_entry(server, entry, weight, self.now)
        else:
            server = self.model[str(name)] = Server(
                id=entry.id, started_at=entry.started_at, address=entry.address
            )
            self.members.update_entry(server, entry, weight, self.now)
            server.listed_since = self.version
            self.members.add(server, self.members.reserve, self.now)
        self.version += 1

    @precondition(lambda self: self.model)
    @rule(
        data=st.data(),
        operation=st.sampled_from(["remove", "widen", "narrow", "eject", "eject", "readmit"]),
    )
    def change_server(self, data, operation):
        server = self.model[data.draw(st.sampled_from(sorted(self.model)))]
        if operation == "remove":
            self.members.remove(self.model.pop(server.id))
        elif operation in ("widen", "narrow"):
            self.members.move(
                server,
                self.members.subset if operation == "widen" else self.members.reserve,
                self.now,
            )
        else:
            server.ejected_until = (
                self.now + self.random.randrange(1, 30) if operation == "eject" else 0
            )
            self.members.update_ejection(server, self.now)

    @rule(delay=st.integers(0, 20))
    def wait(self, delay):
        self.now += delay
        self.members.end_ejections(self.now)

    @invariant()
    def pools_and_indexes_match_the_model(self):
        partitions = (self.members.subset, self.members.reserve)
        assert (
            sorted(
                server.id
                for partition in partitions
                for server in partition.items(with_inactive=True)
            )
            == sorted(self.model)
            == sorted(self.members.servers)
        )
        assert self.members.ejected_count() == sum(
            server.ejected_until > self.now for server in self.model.values()
        )
        for partition in partitions:
            for pool, is_near, is_ejected in zip(
                partition.pools(with_inactive=True), (1, 0, 1, 0), (0, 0, 1, 1), strict=True
            ):
                members = [server for group in pool.groups.values() for server in group]
                assert all(
                    (server.zone == "a") == is_near
                    and (server.ejected_until > self.now) == is_ejected
                    for server in members
                )
                assert all(
                    pool.groups[exponent][server.slot] is server
                    for exponent, group in pool.groups.items()
                    for server in group
                )
                assert pool.count == len(members)
                assert math.isclose(
                    pool.total, sum(server.weight for server in members), abs_tol=1e-9, rel_tol=1e-9
                )
                if members:
                    assert pool.draw(self.random) in members
        assert self.members.oldest_version() == min(
            (server.listed_since for server in self.model.values()), default=math.inf
        )
        for index, key in (
            (self.members.by_zone, "zone"),
            (self.members.by_cell, "cell"),
            (self.members.by_version, "listed_since"),
        ):
            indexed = {value: sorted(group) for value, group in index.items()}
            expected: dict = {}
            for server in self.model.values():
                expected.setdefault(getattr(server, key), []).append(server.id)
            assert indexed == {value: sorted(names) for value, names in expected.items()}


Pools.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestPools = Pools.TestCase


def reference_pair(balancer: Balancer, request, now) -> list[Server]:
    """Choose candidates from the whole subset in weighted random order, then from the reserve."""
    tried = {attempt.server.id for attempt in request.attempts}
    fair_share = math.ceil(
        (balancer.admission.in_flight + 1) / max(1, len(balancer.members.subset))
    )
    for members, max_load in (
        (balancer.members.subset, fair_share),
        (balancer.members.subset, math.inf),
        (balancer.members.reserve, math.inf),
    ):
        order = sorted(
            members.items(with_inactive=True),
            key=lambda server: balancer.random.expovariate(server.weight),
        )
        local = [
            i
            for i, server in enumerate(order)
            if server.zone == balancer.members.local_zone and server.ejected_until <= now
        ]
        first = local[0] if balancer.members.local_zone and local else 0
        order.insert(0, order.pop(first)) if first else None
        pair = []
        for server in order:
            if (
                server.id not in tried
                and len(server.in_flight) < max_load
                and balancer.safety.allows_attempt(request, server, now)
                and balancer.selection.is_usable(server, request, now)
            ):
                pair.append(server)
                if len(pair) == 2:
                    break
        if pair:
            return pair
    return []


def balancer_and_request(count: int, seed: int, **options) -> tuple[Balancer, OpenRequest]:
    """Return a balancer whose servers differ in weight, zone, load and ejection; and a request."""
    klass = RequestClass(
        "look", 2 * SECOND, 6 * SECOND, idempotency=options.pop("idempotency", "safe")
    )
    balancer = Balancer(Settings(classes=(klass,), replica_count=2, **options), seed)
    rng = random.Random(seed)
    entries = [
        Endpoint(f"s{i}", zone="ab"[i % 2], cell=i // 2, weight=rng.choice((0.2, 1.0, 1.0, 4.0)))
        for i in range(count)
    ]  # fmt: skip
    balancer.handle(SECOND, EndpointListReceived(entries))
    for server in balancer.servers.values():
        for k in range(rng.choice((0, 0, 1, 2))):
            server.in_flight[-k - 1, 0] = Attempt(server, SECOND, 0, server.zone, server.cell)
            balancer.admission.in_flight += 1
        if rng.random() < 0.2:
            server.ejected_until = 9 * SECOND
            balancer.members.update_ejection(server, SECOND)
    return balancer, OpenRequest(1, klass, "", SECOND, is_streamed=False)


ZONES = {"zone": "a", "zones": ("a", "b"), "prices": Prices(cross_zone=1.0)}


@pytest.mark.parametrize(
    "options",
    [{}, {"weight_source": WeightSource.NOMINAL}, ZONES | {"weight_source": WeightSource.NOMINAL}],
)
@pytest.mark.parametrize(("count", "seed"), [(2, 1), (5, 2), (12, 3), (60, 4), (300, 5)])
def test_choices_have_the_distribution_of_the_reference(count, seed, options):
    """Compare how often each server is a candidate, by a chi-square test of two samples (1e-4)."""
    balancer, request = balancer_and_request(count, seed, **options)
    rounds = 4000
    samples: list[Counter] = []
    for choose in (
        lambda: balancer.selection.choose_candidates(request, balancer.admission.in_flight, SECOND),
        lambda: reference_pair(balancer, request, SECOND),
    ):
        counts: Counter = Counter()
        for _ in range(rounds):
            pair = choose()
            counts.update({server.id: 1 for server in pair})
            counts[
                "",
                len(pair),
                tuple(server.zone for server in pair) if balancer.members.local_zone else "",
            ] += 1
        samples.append(counts)
    statistic = freedom = 0.0
    for key in samples[0].keys() | samples[1].keys():
        first, second = samples[0][key], samples[1][key]
        if first + second >= 10:
            statistic += (first - second) ** 2 / (first + second)
            freedom += 1
    # The normal approximation of chi-square's upper quantile (Wilson and Hilferty), 3.72 for 1e-4.
    bound = freedom * (1 - 2 / (9 * freedom) + 3.72 * math.sqrt(2 / (9 * freedom))) ** 3
    assert statistic < bound, (statistic, freedom)


class LineCounter:
    """Counts the executed lines of the policy, a cost that is the same on every machine."""

    def __enter__(self) -> "LineCounter":
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


def serve(balancer: Balancer, now: int, number: int) -> int:
    """Send a request and let its attempt succeed; return the number of attempts, 0 or 1."""
    sent = [
        action
        for action in balancer.handle(now, RequestReceived(number, "look", 3 * SECOND))
        if isinstance(action, SendAttempt)
    ]
    for action in sent:
        balancer.handle(
            now + 900,
            AttemptEnded(number, 0, action.server, AttemptResult.OK, 900, request_finished=True),
        )
    return len(sent)


def eject_all_but(balancer: Balancer, now: int, count: int) -> None:
    for server in list(balancer.servers.values())[count:]:
        server.ejected_until = now + 60 * SECOND
        balancer.members.update_ejection(server, now)


def cost(
    count: int, prepare=lambda balancer, now: None, entries=None, **options
) -> tuple[float, int]:
    """Return the executed lines per request, and how many of a hundred requests were sent."""
    balancer = Balancer(
        Settings(
            classes=(RequestClass("look", 2 * SECOND, 6 * SECOND, idempotency="safe"),), **options
        ),
        5,
    )
    balancer.handle(
        1, EndpointListReceived(entries or [Endpoint(f"s{i}", zone="b") for i in range(count)])
    )
    now = 2 * SECOND
    for i in range(20):
        serve(balancer, now := now + 1000, i)
    prepare(balancer, now)
    with LineCounter() as counter:
        sent = sum(serve(balancer, now := now + 1000, 100 + i) for i in range(100))
    return counter.count / 100, sent


WEIGHTED_ENDPOINTS = [
    Endpoint(f"s{i}", weight=10.0 ** random.Random(i).uniform(-3, 3)) for i in range(10_000)
]


@pytest.mark.parametrize(
    ("prepare", "options", "max_ratio"),
    [
        (lambda balancer, now: None, {"replica_count": 4}, 1.5),
        (
            lambda balancer, now: None,
            {"replica_count": 4, "weight_source": WeightSource.NOMINAL},
            2.5,
        ),
        (lambda balancer, now: None, ZONES | {"replica_count": 2000}, 3),
        (lambda balancer, now: eject_all_but(balancer, now, 3), {"replica_count": 4}, 3),
    ],
    ids=["plain", "weights", "all in another zone", "all but three ejected"],
)
def test_a_decision_costs_the_same_with_ten_thousand_servers(prepare, options, max_ratio):
    small, _ = cost(10, **options)
    large, sent = cost(
        10_000, prepare, WEIGHTED_ENDPOINTS if "weight_source" in options else None, **options
    )
    assert sent == 100
    assert large < max_ratio * small, (small, large)


def test_the_cost_is_bounded_while_all_servers_are_starting():
    entries = [Endpoint(f"s{i}", started_at=SECOND) for i in range(10_000)]
    lines, sent = cost(
        10_000, entries=entries, slow_start_window=60 * SECOND, slow_start_minimum=0.1
    )
    assert lines < 40 * (24 + SCAN_LENGTH) * 3
    assert sent > 0


def test_changes_cost_by_their_number_and_a_complete_list_by_its_length():
    def lines(count: int, entries, is_complete: bool) -> int:
        balancer = Balancer(
            Settings(
                classes=(RequestClass("x", 10, 20),), replica_count=100, pin_endpoint_list=True
            ),
            3,
        )
        balancer.handle(1, EndpointListReceived([Endpoint(f"s{i}") for i in range(count)]))
        with LineCounter() as counter:
            balancer.handle(2, EndpointListReceived(entries, complete=is_complete))
        return counter.count

    changes = [Endpoint("new"), Endpoint("s1", state=EndpointState.REMOVED)]
    assert lines(10_000, changes, False) < 1.2 * lines(100, changes, False)
    costs = [
        lines(n, [Endpoint(f"s{i}") for i in range(n // 2, n + n // 2)], True) for n in (200, 2000)
    ]
    assert costs[1] < 12 * costs[0]


def test_a_list_in_batches_has_the_same_effect_as_at_once_and_each_batch_is_cheap():
    """Replace half of ten thousand servers, with some draining.

    The resulting servers, versions, limits and records are the same.
    """
    rng = random.Random(8)
    listed = [
        Endpoint(
            f"s{i}",
            EndpointState.DRAINING if rng.random() < 0.1 else EndpointState.UP,
            started_at=i,
        )
        for i in range(5_000, 15_000)
    ]
    listing = EndpointList(
        7,
        True,
        [ListedEndpoint(server, ("127.0.0.1", 1)) for server in rng.sample(listed, len(listed))],
    )
    results, max_cost = [], 0
    for is_split in (False, True):
        balancer = Balancer(
            Settings(
                classes=(RequestClass("x", 10, 20),), replica_count=100, pin_endpoint_list=True
            ),
            3,
        )
        balancer.handle(
            1, EndpointListReceived([Endpoint(f"s{i}", started_at=i) for i in range(10_000)])
        )
        balancer.admission.capacity = 500.0
        batches = split_into_batches(listing, balancer.members.servers) if is_split else [listing]
        for n, batch in enumerate(batches):
            event = EndpointListReceived(
                [entry.server for entry in batch.endpoints],
                complete=batch.complete,
                more_follow=n + 1 < len(batches),
            )
            with LineCounter() as counter:
                balancer.handle(2, event)
            max_cost = max(max_cost, counter.count) if is_split else max_cost
        states = {
            server.id: (server.listed_since, server.started_at, server.delisted)
            for server in balancer.endpoints.known.values()
        }
        results.append(
            (
                set(balancer.servers),
                states,
                balancer.members.version,
                balancer.admission.capacity,
                balancer.safety.oldest_version,
            )
        )
    assert results[0] == results[1]
    assert len(batches) > 20
    assert max_cost < 150 * BATCH_SIZE
    assert (
        split_into_batches(
            EndpointList(8, False, listing.endpoints[:BATCH_SIZE]), balancer.members.servers
        )[0].endpoints
        == listing.endpoints[:BATCH_SIZE]
    )


def test_a_retry_by_key_finds_the_other_server_of_its_cell():
    """Of ten thousand servers in cells of two, a retry may use one only, even from the reserve."""
    klass = RequestClass(
        "look",
        2 * SECOND,
        6 * SECOND,
        idempotency="keyed",
        dedup_scope="cell",
        dedup_window=60 * SECOND,
    )
    balancer = Balancer(Settings(classes=(klass,), replica_count=500), 5)
    balancer.handle(
        1, EndpointListReceived([Endpoint(f"s{i}", cell=i // 2) for i in range(10_000)])
    )
    found = 0
    for number in range(20):
        now = SECOND * (2 + number)
        (send,) = [
            action
            for action in balancer.handle(now, RequestReceived(number, "look", 5 * SECOND))
            if isinstance(action, SendAttempt)
        ]
        balancer.handle(now + 1000, AttemptEnded(number, 0, send.server, AttemptResult.RESET, 1000))
        for _ in range(3):
            retries = []
            while not retries and balancer.timers.callbacks.next_due < now + SECOND:
                timer = TimerFired(balancer.timers.token)
                retries = [
                    action
                    for action in balancer.handle(balancer.timers.callbacks.next_due, timer)
                    if isinstance(action, SendAttempt)
                ]
            found += sum(
                int(action.server[1:]) // 2 == int(send.server[1:]) // 2 for action in retries
            )
            assert all(action.server != send.server for action in retries)
            if retries:
                break
    assert found >= 4  # the retry budget allows a fifth of the requests, and a floor
