"""The four rules, stated independently of the policy and checked on random event sequences."""

import random
from collections import defaultdict

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from oakbridge.policy.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)
from oakbridge.policy.balancer import Balancer
from oakbridge.policy.events import (
    NEVER_RAN,
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointListReceived,
    EndpointState,
    Event,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from oakbridge.policy.settings import Idempotency, Prices, RequestClass, Settings, Tenant

ZONES, SECOND = ["north", "south"], 1_000_000
CLASSES = (
    RequestClass("safe", 300_000, 900_000, 3, 0.2, Idempotency.IDEMPOTENT),
    RequestClass("all", 300_000, 900_000, 2, 0.0, Idempotency.IDEMPOTENT_WITH_KEY, "all", 400_000),
    RequestClass(
        "zone", 300_000, 900_000, 2, 0.3, Idempotency.IDEMPOTENT_WITH_KEY, "zone", 400_000
    ),
    RequestClass(
        "cell", 300_000, 900_000, 2, 0.3, Idempotency.IDEMPOTENT_WITH_KEY, "cell", 400_000
    ),
    RequestClass("unsafe", 300_000, 900_000, 5, 0.2, Idempotency.NOT_IDEMPOTENT),
)
BY_NAME = {klass.name: klass for klass in CLASSES}
RESULTS = [result for result in AttemptResult if result != AttemptResult.OK] + [
    AttemptResult.OK
] * 4


class World:
    """Simulates clients, servers and discovery from a seed, and checks each action by the rules."""

    def __init__(self, seed: int, options: dict) -> None:
        self.rng = random.Random(seed)
        defaults = {
            "classes": CLASSES,
            "tenants": (Tenant("a", 20.0), Tenant("b", 5.0)),
            "tier_count": 3,
            "tick": 1000,
            "slow_start_window": 2 * SECOND,
            "slow_start_minimum": 0.3,
        }
        self.settings = Settings(**defaults | options)
        self.now = 1000
        self.servers: dict[str, Endpoint] = {}
        self.next_id = 0
        self.log: list[object] = []
        self.start()

    def start(self) -> None:
        """Start the balancer anew, without any state."""
        self.balancer = Balancer(self.settings, self.rng.randrange(2**32))
        self.open: dict[int, dict] = {}  # requests without a final response
        self.in_flight: list[tuple[int, int, str]] = []  # request, attempt, server
        self.attempts: dict[int, list[dict]] = defaultdict(list)
        self.timers: list[tuple[int, int]] = []
        self.usable: set[str] = set()  # servers that may get attempts by the lists received
        self.send_list(is_cached=True)

    def feed(self, event: Event) -> None:
        for action in self.balancer.handle(self.now, event):
            self.log.append((self.now, repr(action)))
            self.check(action)

    def check(self, action: Action) -> None:
        if isinstance(action, SendAttempt):
            request = self.open.get(action.request_id)
            assert request is not None, "sent after the final response"
            assert self.now < request["deadline"], "sent after the deadline"
            assert action.server in self.usable, (
                "sent to a server that is draining, removed or was never listed"
            )
            assert 0 < action.timeout <= request["deadline"] - self.now
            earlier = self.attempts[action.request_id]
            assert len(earlier) < self.settings.max_attempts
            unfinished = [attempt for attempt in earlier if attempt["result"] is None]
            assert self.settings.hedging_allowed or not unfinished, "two in flight"
            klass = request["klass"]
            ran = [attempt for attempt in earlier if attempt["result"] not in NEVER_RAN]
            if ran and klass.idempotency != Idempotency.IDEMPOTENT:
                assert klass.idempotency == Idempotency.IDEMPOTENT_WITH_KEY, (
                    "a request that is not idempotent was retried"
                )
                entry, first_entry = self.servers[action.server], ran[0]["entry"]
                assert klass.dedup_scope == "all" or getattr(entry, klass.dedup_scope) == getattr(
                    first_entry, klass.dedup_scope
                )
                assert self.now <= ran[0]["sent"] + klass.dedup_window, (
                    "sent after the deduplication window"
                )
                latest = self.now + action.start_within
                assert self.now < latest < ran[0]["sent"] + klass.dedup_window, (
                    "a slow connect may start the attempt too late"
                )
            earlier.append({"result": None, "sent": self.now, "entry": self.servers[action.server]})
            self.in_flight.append((action.request_id, len(earlier) - 1, action.server))
        elif isinstance(action, (RejectRequest, FailRequest)):
            request = self.open.pop(action.request_id, None)
            assert request is not None, "a second final response"
            assert self.now <= request["deadline"], "the final response was late"
            klass = request["klass"]
            ran = [
                attempt
                for attempt in self.attempts[action.request_id]
                if attempt["result"] not in NEVER_RAN
            ]
            if (
                isinstance(action, RejectRequest)
                and ran
                and klass.idempotency != Idempotency.IDEMPOTENT
            ):
                # A request that may have run is rejected only if all servers drop its duplicates.
                assert klass.idempotency == Idempotency.IDEMPOTENT_WITH_KEY
                assert klass.dedup_scope == "all"
        elif isinstance(action, SetTimer):
            assert action.delay > 0
            self.timers.append((self.now + action.delay, action.token))
        elif isinstance(action, CancelAttempt):
            assert self.settings.cancellation_allowed
            assert action.attempt < len(self.attempts[action.request_id]), (
                "cancelled an attempt that was never sent"
            )
        elif isinstance(action, WatchEndpoints):
            assert self.settings.poll_discovery

    def send_list(self, is_cached: bool = False) -> None:
        rng = self.rng
        for _ in range(rng.randrange(4)):
            name = f"s{rng.randrange(8)}"
            state = rng.choice(
                [
                    EndpointState.UP,
                    EndpointState.UP,
                    EndpointState.UP,
                    EndpointState.DRAINING,
                    EndpointState.REMOVED,
                ]
            )
            started = self.now - rng.randrange(3 * SECOND) if rng.random() < 0.3 else 0
            self.servers[name] = Endpoint(
                name, state, rng.choice(ZONES), rng.randrange(2), 1.0, max(0, started)
            )
        is_complete = is_cached or rng.random() < 0.3
        if is_complete:  # some servers are no longer listed
            for name in [n for n in self.servers if rng.random() < 0.1]:
                self.usable.discard(name)
                self.servers[name] = Endpoint(name, EndpointState.REMOVED, self.servers[name].zone)
        listed = [
            server
            for server in self.servers.values()
            if server.state != EndpointState.REMOVED or not is_complete
        ]
        names = {server.id for server in listed if server.state == EndpointState.UP}
        self.usable = names if is_complete else (self.usable | names)
        self.usable -= {
            server.id for server in self.servers.values() if server.state != EndpointState.UP
        }
        self.feed(EndpointListReceived(listed, complete=is_complete, cached=is_cached))

    def step(self) -> None:
        rng = self.rng
        target = self.now + rng.choice([0, 1000, 5000, 20_000, 60_000])
        while self.timers and min(self.timers)[0] <= target:  # each timer fires when it is due
            first = min(self.timers)
            self.timers.remove(first)
            self.now = max(self.now, first[0])
            self.feed(TimerFired(first[1]))
        self.now = target
        for request in [
            request_id for request_id, item in self.open.items() if self.now > item["deadline"]
        ]:
            raise AssertionError(f"request {request} got no final response in time")
        kind = rng.random()
        if kind < 0.4:
            klass = rng.choice(self.settings.classes)
            left = rng.choice([0, 1, 1500, 30_000, 200_000, klass.deadline])
            self.next_id += 1
            self.open[self.next_id] = {
                "klass": klass,
                "deadline": self.now + left + self.settings.tick,
            }
            self.feed(RequestReceived(self.next_id, klass.name, left, rng.choice(["a", "b", ""])))
        elif kind < 0.75 and self.in_flight:
            self.finish(self.in_flight.pop(rng.randrange(len(self.in_flight))))
        elif kind < 0.8 and self.open:
            cancelled = rng.choice(sorted(self.open))
            del self.open[cancelled]
            self.feed(ClientDisconnected(cancelled))
        elif kind < 0.9:
            self.send_list()
        elif kind < 0.97:  # stale and unknown ids are ignored
            self.feed(AttemptEnded(10**6, 0, "s0", AttemptResult.OK, 5))
            self.feed(AttemptEnded(1, 0, "unknown", AttemptResult.ERROR, 5))
            self.feed(ClientDisconnected(10**6))
            self.feed(TimerFired(10**9))
            self.feed(ResponseStarted(10**6, 0))
            if self.settings.poll_discovery:
                self.feed(EndpointListReceived(failed=True))
        elif rng.random() < 0.2:
            self.start()

    def finish(self, attempt: tuple[int, int, str]) -> None:
        request, number, server = attempt
        result = self.rng.choice(RESULTS)
        self.attempts[request][number]["result"] = result
        is_finished = request not in self.open
        if result == AttemptResult.OK and not is_finished:
            is_finished = True
            del self.open[request]
        self.feed(
            AttemptEnded(
                request, number, server, result, self.rng.randrange(1, 90_000), is_finished
            )
        )


OPTIONS = st.fixed_dictionaries(
    {
        "hedging_allowed": st.booleans(),
        "cancellation_allowed": st.booleans(),
        "poll_discovery": st.booleans(),
        "max_attempts": st.sampled_from([1, 2, 6]),
        "tier": st.sampled_from([0, 1, 2]),
        "replica_count": st.sampled_from([1, 5]),
        "probes": st.booleans(),
        "report_names": st.sampled_from([(), ("in_flight", "queued")]),
    }
)


@settings(
    max_examples=150, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)
@given(seed=st.integers(0, 2**32), options=OPTIONS)
def test_rules_hold_for_random_events(seed, options):
    world = World(seed, options)
    for _ in range(250):
        world.step()


def one_class(
    idempotency, objective=300_000, deadline=900_000, weight=1.0, scope="all", window=400_000
):
    return (RequestClass("only", objective, deadline, weight, 0.0, idempotency, scope, window),)


@pytest.mark.parametrize(
    "options",
    [
        pytest.param({"classes": one_class(Idempotency.IDEMPOTENT)}, id="one class"),
        pytest.param(
            {"classes": one_class(Idempotency.NOT_IDEMPOTENT), "max_attempts": 1}, id="one attempt"
        ),
        pytest.param(
            {"classes": one_class(Idempotency.IDEMPOTENT, 100_000, 300_000)}, id="deadline of 0.3 s"
        ),
        pytest.param(
            {"classes": one_class(Idempotency.IDEMPOTENT_WITH_KEY, window=120_000)},
            id="a window below a second",
        ),
        pytest.param(
            {"classes": one_class(Idempotency.IDEMPOTENT_WITH_KEY, window=1000, scope="cell")},
            id="a window of a tick",
        ),
        pytest.param(
            {"classes": one_class(Idempotency.IDEMPOTENT, weight=0.0)}, id="weight of zero"
        ),
        pytest.param(
            {"classes": one_class(Idempotency.IDEMPOTENT, 30 * SECOND, 60 * SECOND)},
            id="deadline of a minute",
        ),
        pytest.param({"tenants": ()}, id="no tenants, though requests name some"),
        pytest.param(
            {"tenants": tuple(Tenant(f"t{i}", 0.0) for i in range(40))}, id="quotas of zero"
        ),
        pytest.param(
            {"zone": "north", "zones": ("north",), "prices": Prices(cross_zone=1.0)}, id="one zone"
        ),
        pytest.param({"prices": Prices(), "over_quota_weight": 0.0}, id="prices of zero"),
        pytest.param(
            {"slow_start_window": 0, "slow_start_minimum": 1.0, "drain_grace": 0},
            id="no slow start",
        ),
        pytest.param({"poll_interval": 1000, "poll_discovery": True}, id="shortest poll interval"),
        pytest.param({"replica_count": 192}, id="many replicas"),
    ],
)
def test_rules_hold_with_unusual_settings(options):
    for seed in range(12):
        world = World(seed, options)
        for _ in range(250):
            world.step()


def test_the_same_events_give_the_same_actions():
    def play() -> list[object]:
        world = World(
            77, {"hedging_allowed": True, "cancellation_allowed": True, "replica_count": 3}
        )
        for _ in range(800):
            world.step()
        return world.log

    assert play() == play()


def test_the_rules_fail_without_the_safety_checks(monkeypatch):
    """Guards against rules that cannot fail: without RetrySafety, they do."""
    from oakbridge.policy.retry_safety import RetrySafety

    monkeypatch.setattr(RetrySafety, "allows_attempt", lambda *arguments: True)

    def play() -> None:
        for seed in range(20):
            world = World(seed, {"max_attempts": 3})
            for _ in range(400):
                world.step()

    with pytest.raises(AssertionError):
        play()
