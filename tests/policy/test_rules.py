"""The four rules, stated apart from the module and checked on arbitrary legal event sequences."""

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
BY_NAME = {c.name: c for c in CLASSES}
RESULTS = [r for r in AttemptResult if r != AttemptResult.OK] + [AttemptResult.OK] * 4


class World:
    """Plays clients, servers and discovery by a seed, and holds each action against the rules."""

    def __init__(self, seed: int, options: dict) -> None:
        self.rng = random.Random(seed)
        usual = {
            "classes": CLASSES,
            "tenants": (Tenant("a", 20.0), Tenant("b", 5.0)),
            "tier_count": 3,
            "tick": 1000,
            "slow_start_window": 2 * SECOND,
            "slow_start_minimum": 0.3,
        }
        self.settings = Settings(**usual | options)
        self.now = 1000
        self.servers: dict[str, Endpoint] = {}
        self.next_id = 0
        self.log: list[object] = []
        self.start()

    def start(self) -> None:
        """A new life of the instance: everything it held is void."""
        self.balancer = Balancer(self.settings, self.rng.randrange(2**32))
        self.open: dict[int, dict] = {}  # requests that are owed an answer
        self.out: list[tuple[int, int, str]] = []
        self.attempts: dict[int, list[dict]] = defaultdict(list)
        self.timers: list[tuple[int, int]] = []
        self.told: set[str] = set()  # may be sent to, by the lists this life was given
        self.give_list(saved=True)

    def feed(self, event: Event) -> None:
        for action in self.balancer.handle(self.now, event):
            self.log.append((self.now, repr(action)))
            self.check(action)

    def check(self, a: Action) -> None:
        if isinstance(a, SendAttempt):
            request = self.open.get(a.request_id)
            assert request is not None, "sent after the end"
            assert self.now < request["by"], "sent after the client's time"
            assert a.server in self.told, (
                "sent to a server that drains, is gone or was never listed"
            )
            assert 0 < a.timeout <= request["by"] - self.now
            earlier = self.attempts[a.request_id]
            assert len(earlier) < self.settings.max_attempts
            waiting = [e for e in earlier if e["result"] is None]
            assert self.settings.hedging_allowed or not waiting, "two at once"
            klass = request["klass"]
            ran = [e for e in earlier if e["result"] not in NEVER_RAN]
            if ran and klass.idempotency != Idempotency.IDEMPOTENT:
                assert klass.idempotency == Idempotency.IDEMPOTENT_WITH_KEY, (
                    "an unsafe request was repeated"
                )
                here, there = self.servers[a.server], ran[0]["entry"]
                assert klass.dedup_scope == "all" or getattr(here, klass.dedup_scope) == getattr(
                    there, klass.dedup_scope
                )
                assert self.now <= ran[0]["sent"] + klass.dedup_window, "sent after the window"
                latest = self.now + a.start_within
                assert self.now < latest < ran[0]["sent"] + klass.dedup_window, (
                    "a slow dial may begin too late"
                )
            earlier.append({"result": None, "sent": self.now, "entry": self.servers[a.server]})
            self.out.append((a.request_id, len(earlier) - 1, a.server))
        elif isinstance(a, (RejectRequest, FailRequest)):
            request = self.open.pop(a.request_id, None)
            assert request is not None, "a second final answer"
            assert self.now <= request["by"], "the final answer was late"
            klass = request["klass"]
            ran = [e for e in self.attempts[a.request_id] if e["result"] not in NEVER_RAN]
            if isinstance(a, RejectRequest) and ran and klass.idempotency != Idempotency.IDEMPOTENT:
                # What may have run is refused only where a repeat by its key is dropped anywhere.
                assert klass.idempotency == Idempotency.IDEMPOTENT_WITH_KEY
                assert klass.dedup_scope == "all"
        elif isinstance(a, SetTimer):
            assert a.delay > 0
            self.timers.append((self.now + a.delay, a.token))
        elif isinstance(a, CancelAttempt):
            assert self.settings.cancellation_allowed
            assert a.attempt < len(self.attempts[a.request_id]), "cancelled what was never sent"
        elif isinstance(a, WatchEndpoints):
            assert self.settings.poll_discovery

    def give_list(self, saved: bool = False) -> None:
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
        whole = saved or rng.random() < 0.3
        if whole:  # some are no longer listed at all
            for name in [n for n in self.servers if rng.random() < 0.1]:
                self.told.discard(name)
                self.servers[name] = Endpoint(name, EndpointState.REMOVED, self.servers[name].zone)
        listed = [s for s in self.servers.values() if s.state != EndpointState.REMOVED or not whole]
        names = {s.id for s in listed if s.state == EndpointState.UP}
        self.told = names if whole else (self.told | names)
        self.told -= {s.id for s in self.servers.values() if s.state != EndpointState.UP}
        self.feed(EndpointListReceived(listed, complete=whole, cached=saved))

    def step(self) -> None:
        rng = self.rng
        target = self.now + rng.choice([0, 1000, 5000, 20_000, 60_000])
        while self.timers and min(self.timers)[0] <= target:  # each timer fires when it is due
            first = min(self.timers)
            self.timers.remove(first)
            self.now = max(self.now, first[0])
            self.feed(TimerFired(first[1]))
        self.now = target
        for request in [r for r, x in self.open.items() if self.now > x["by"]]:
            raise AssertionError(f"request {request} was never answered")
        kind = rng.random()
        if kind < 0.4:
            klass = rng.choice(self.settings.classes)
            left = rng.choice([0, 1, 1500, 30_000, 200_000, klass.deadline])
            self.next_id += 1
            self.open[self.next_id] = {"klass": klass, "by": self.now + left + self.settings.tick}
            self.feed(RequestReceived(self.next_id, klass.name, left, rng.choice(["a", "b", ""])))
        elif kind < 0.75 and self.out:
            self.finish(self.out.pop(rng.randrange(len(self.out))))
        elif kind < 0.8 and self.open:
            gone = rng.choice(sorted(self.open))
            del self.open[gone]
            self.feed(ClientDisconnected(gone))
        elif kind < 0.9:
            self.give_list()
        elif kind < 0.97:  # stale and unknown things are passed over
            self.feed(AttemptEnded(10**6, 0, "s0", AttemptResult.OK, 5))
            self.feed(AttemptEnded(1, 0, "nobody", AttemptResult.ERROR, 5))
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
        over = request not in self.open
        if result == AttemptResult.OK and not over:
            over = True
            del self.open[request]
        self.feed(
            AttemptEnded(request, number, server, result, self.rng.randrange(1, 90_000), over)
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
def test_rules_hold_on_any_legal_day(seed, options):
    world = World(seed, options)
    for _ in range(250):
        world.step()


def only(repeat, aim=300_000, deadline=900_000, worth=1.0, group="all", window=400_000):
    return (RequestClass("only", aim, deadline, worth, 0.0, repeat, group, window),)


@pytest.mark.parametrize(
    "options",
    [
        pytest.param({"classes": only(Idempotency.IDEMPOTENT)}, id="one class"),
        pytest.param(
            {"classes": only(Idempotency.NOT_IDEMPOTENT), "max_attempts": 1}, id="one attempt"
        ),
        pytest.param(
            {"classes": only(Idempotency.IDEMPOTENT, 100_000, 300_000)}, id="deadline of 0.3 s"
        ),
        pytest.param(
            {"classes": only(Idempotency.IDEMPOTENT_WITH_KEY, window=120_000)},
            id="a window below a second",
        ),
        pytest.param(
            {"classes": only(Idempotency.IDEMPOTENT_WITH_KEY, window=1000, group="cell")},
            id="a window of a tick",
        ),
        pytest.param({"classes": only(Idempotency.IDEMPOTENT, worth=0.0)}, id="worth nothing"),
        pytest.param(
            {"classes": only(Idempotency.IDEMPOTENT, 30 * SECOND, 60 * SECOND)}, id="a minute"
        ),
        pytest.param({"tenants": ()}, id="no tenants, though requests name some"),
        pytest.param({"tenants": tuple(Tenant(f"t{i}", 0.0) for i in range(40))}, id="no quotas"),
        pytest.param(
            {"zone": "north", "zones": ("north",), "prices": Prices(cross_zone=1.0)}, id="one zone"
        ),
        pytest.param({"prices": Prices(), "over_quota_weight": 0.0}, id="prices of zero"),
        pytest.param(
            {"slow_start_window": 0, "slow_start_minimum": 1.0, "drain_grace": 0}, id="never cold"
        ),
        pytest.param({"poll_interval": 1000, "poll_discovery": True}, id="asked all the time"),
        pytest.param({"replica_count": 192}, id="many copies"),
    ],
)
def test_rules_hold_with_what_a_customer_could_set(options):
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


def test_the_check_notices_a_broken_rule(monkeypatch):
    """The statement of the rules above can fail.

    Without the one place that guards repeats, it does.
    """
    from oakbridge.policy.retry_safety import RetrySafety

    monkeypatch.setattr(RetrySafety, "allows_attempt", lambda *a: True)

    def play() -> None:
        for seed in range(20):
            world = World(seed, {"max_attempts": 3})
            for _ in range(400):
                world.step()

    with pytest.raises(AssertionError):
        play()
