"""Digests of decisions in simulated time: every action by its kind's number and its values.

No name of a class or a field enters a digest, so that renames leave it as it is.
"""

from __future__ import annotations

import hashlib
import heapq
import itertools
import json
import random
import sys
from collections.abc import Callable, Iterable
from typing import Any

from oakbridge.lab.simulation.fleet import SimulatedFleet
from oakbridge.policy import state, view
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
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointListReceived,
    EndpointsAnnounced,
    EndpointState,
    Event,
    LoadSheddingLevel,
    PeerFailureReports,
    PredecessorInFlight,
    RequestBodySent,
    RequestReceived,
    ResponseStarted,
    SettingsChanged,
    SubsetAssignment,
    TimerFired,
    ZoneWeights,
)
from oakbridge.policy.settings import Idempotency, Prices, RequestClass, Settings, Tenant

SECOND_US = 1_000_000
RESULTS = [
    (AttemptResult.OK, 60),
    (AttemptResult.ERROR, 6),
    (AttemptResult.REJECTED, 4),
    (AttemptResult.TIMEOUT, 4),
    (AttemptResult.CONNECT_FAILED, 4),
    (AttemptResult.RESET, 3),
    (AttemptResult.NOT_SENT, 2),
]


def values_of(action: Action) -> tuple[Any, ...]:
    """The kind's number and the values of an action; an action of no listed kind is an error."""
    match action:
        case SendAttempt():
            return 1, action.request_id, action.server, action.timeout, action.start_within
        case RejectRequest():
            return 2, action.request_id, action.retry_after
        case FailRequest():
            return 3, action.request_id
        case CancelAttempt():
            return 4, action.request_id, action.attempt
        case SetTimer():
            return 5, action.delay, action.token
        case WatchEndpoints():
            return 6, int(action.on)
    raise AssertionError(f"an action of a kind without a number: {action!r}")


class Digest:
    """A hash over lines of plain values."""

    def __init__(self) -> None:
        self._hash = hashlib.sha256()
        self.counts: dict[int, int] = {}  # of actions, by the number of their kind

    def add(self, where: int, now: int, actions: Iterable[Action]) -> None:
        """Take in what one balancer does at one time."""
        for action in actions:
            values = values_of(action)
            self.counts[values[0]] = self.counts.get(values[0], 0) + 1
            self._hash.update(json.dumps([where, now, *values]).encode())

    def add_values(self, values: Any) -> None:
        """Take in plain values; numbers to nine digits, as machines differ in the last ones."""
        rounded = json.loads(json.dumps(values), parse_float=lambda text: f"{float(text):.9g}")
        self._hash.update(json.dumps(rounded).encode())

    def text(self) -> str:
        """The digest so far."""
        return self._hash.hexdigest()[:20]


def record_fleet(fleet: SimulatedFleet) -> Digest:
    """Have all actions of a fleet's balancers enter a digest from now on."""
    digest = Digest()
    for number, balancer in enumerate(fleet.replicas):
        balancer.handle = _recorder(fleet, digest, number, balancer.handle)
    return digest


def _recorder(
    fleet: SimulatedFleet, digest: Digest, number: int, handle: Any
) -> Callable[[int, Any], Any]:
    def recording(now: int, event: Any) -> Any:
        actions = handle(now, event)
        digest.add(number, fleet.now, actions)
        return actions

    return recording


class RandomDriver:
    """One balancer under random events of every kind.

    Servers answer at random, timers fire when due.
    """

    def __init__(self, settings: Settings, seed: int, servers: int) -> None:
        self.settings, self.seed = settings, seed
        self.random = random.Random(seed)
        self.balancer = Balancer(settings, seed)
        self.digest = Digest()
        self.now = 60 * SECOND_US
        self.ids, self.places = itertools.count(1), itertools.count(1)
        self.pending: list[tuple[int, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.listed: dict[str, Endpoint] = {}
        self.numbers: dict[int, int] = {}  # attempts so far of each open request
        self.streamed: set[int] = set()
        self.out: dict[tuple[int, int], tuple[str, int]] = {}  # attempts without an outcome
        self.sick: set[str] = set()  # servers that fail
        self.silent: set[str] = set()  # servers that answer nothing
        self.usual = servers  # about so many are listed
        first = [self.new_server(old=True) for _ in range(servers)]
        self.feed(EndpointListReceived(first))

    # ---- simulated time

    def at(self, when: int, what: Callable[[], None]) -> None:
        heapq.heappush(self.pending, (when, next(self.order), what))

    def run(self, seconds: float, per_second: float, others_per_second: float = 4.0) -> None:
        """Requests and other events at random times."""
        until = self.now + int(seconds * SECOND_US)
        self._repeat(until, per_second, self.ask)
        self._repeat(until, others_per_second, self.anything)
        while self.pending and self.pending[0][0] <= until:
            self.now, _, what = heapq.heappop(self.pending)
            what()
        self.now = until

    def _repeat(self, until: int, per_second: float, what: Callable[[], None]) -> None:
        when = float(self.now)
        while (when := when + self.random.expovariate(per_second / SECOND_US)) < until:
            self.at(int(when), what)

    def feed(self, event: Event) -> None:
        """One event, and what the balancer does."""
        balancer = self.balancer
        actions = balancer.handle(self.now, event)
        self.digest.add(0, self.now, actions)
        for action in actions:
            if isinstance(action, SetTimer):
                self.at(self.now + action.delay, self._timer(balancer, action.token))
            elif isinstance(action, SendAttempt):
                self.begin(action)
            elif isinstance(action, CancelAttempt):
                key = action.request_id, action.attempt
                late = self.random.randrange(3000)
                self.at(self.now + late, lambda key=key: self.end(key, AttemptResult.CANCELLED))
            elif isinstance(action, RejectRequest | FailRequest):
                self.numbers.pop(action.request_id, None)
            elif isinstance(action, WatchEndpoints):
                self.at(self.now + self.random.randrange(SECOND_US), self.watch_event)

    def _timer(self, balancer: Balancer, token: int) -> Callable[[], None]:
        def fire() -> None:
            if balancer is self.balancer:
                self.feed(TimerFired(token))

        return fire

    # ---- requests

    def ask(self) -> None:
        number, klass = next(self.ids), self.random.choice(self.settings.classes)
        tenant = self.random.choice([t.name for t in self.settings.tenants] + [""])
        if klass.streamed:
            self.streamed.add(number)
        self.numbers[number] = 0
        name = klass.name if self.random.random() < 0.995 else "no such class"
        left = int(klass.deadline * self.random.uniform(0.0 if number % 40 == 0 else 0.5, 1.2))
        key = f"k{number % 50}" if number % 3 else ""
        self.feed(RequestReceived(number, name, left, tenant, key=key, streamed=klass.streamed))
        if self.random.random() < 0.02:
            self.at(self.now + self.random.randrange(300_000), lambda: self.leave(number))

    def leave(self, number: int) -> None:
        if self.numbers.pop(number, None) is not None:
            self.feed(ClientDisconnected(number))

    def begin(self, action: SendAttempt) -> None:
        attempt = self.numbers[action.request_id]
        self.numbers[action.request_id] = attempt + 1
        key = action.request_id, attempt
        self.out[key] = action.server, self.now
        sick = action.server in self.sick
        results, weights = zip(*RESULTS, strict=True)
        result = self.random.choices(results, weights)[0]
        if sick and self.random.random() < 0.9:
            result = self.random.choice(
                [AttemptResult.ERROR, AttemptResult.CONNECT_FAILED, AttemptResult.RESET]
            )
        took = int(self.random.lognormvariate(0, 0.7) * 40_000)
        if (
            action.server in self.silent
            or result == AttemptResult.TIMEOUT
            or took >= action.timeout
        ):
            took, result = action.timeout, AttemptResult.TIMEOUT
        elif result in (
            AttemptResult.REJECTED,
            AttemptResult.CONNECT_FAILED,
            AttemptResult.NOT_SENT,
        ):
            took = 500
        if action.request_id in self.streamed and self.random.random() < 0.8:
            self.at(self.now + took // 2, lambda: self.body_sent(key))
        if result == AttemptResult.OK and self.random.random() < 0.1:
            self.at(self.now + took // 2, lambda: self.stream_started(key))
        self.at(self.now + took, lambda: self.end(key, result))

    def body_sent(self, key: tuple[int, int]) -> None:
        if key in self.out and key[0] in self.numbers:
            self.feed(RequestBodySent(*key, self.random.randrange(2 * SECOND_US)))

    def stream_started(self, key: tuple[int, int]) -> None:
        if key in self.out and self.numbers.pop(key[0], None) is not None:
            self.feed(ResponseStarted(*key))

    def end(self, key: tuple[int, int], result: AttemptResult) -> None:
        if key not in self.out:
            return
        server, sent = self.out.pop(key)
        finished = result == AttemptResult.OK
        if finished:
            self.numbers.pop(key[0], None)
        report = {"queued": self.random.uniform(0, 6)} if self.random.random() < 0.3 else None
        self.feed(AttemptEnded(*key, server, result, self.now - sent, finished, report))
        if result == AttemptResult.OK and self.random.random() < 0.01:
            # An answer that broke behind its beginning.
            self.feed(AttemptEnded(*key, server, AttemptResult.RESET, self.now - sent, True))

    # ---- all else that happens to a balancer

    def anything(self) -> None:
        """One event of a random other kind."""
        kinds = [
            (self.change_list, 5),
            (self.restart_elsewhere, 2),
            (self.in_pieces, 2),
            (self.list_lost, 1),
            (self.zones, 3),
            (self.turn_away, 2),
            (self.doubt, 2),
            (self.divide, 2),
            (self.elsewhere, 1),
            (self.other_settings, 1),
            (self.trouble, 4),
            (self.site_trouble, 1),
            (self.hand_over, 0.5),
            (self.replace_all, 0.5),
        ]
        self.random.choices([k for k, _ in kinds], [w for _, w in kinds])[0]()

    def new_server(self, old: bool = False) -> Endpoint:
        number = next(self.places)
        zones = self.settings.zones or ("",)
        entry = Endpoint(
            f"s{number}",
            EndpointState.UP,
            zones[number % len(zones)],
            number % 3,
            self.random.choice([0.5, 1.0, 1.0, 3.0]),
            0 if old else self.now,
            f"p{number}",
        )
        self.listed[entry.id] = entry
        return entry

    def some(self, share: float) -> list[str]:
        return [name for name in self.listed if self.random.random() < share]

    def change_list(self) -> None:
        entries = [self.new_server() for _ in range(self.random.randrange(max(3, self.usual // 5)))]
        if entries and self.random.random() < 0.4:
            self.feed(EndpointsAnnounced([*entries, Endpoint(f"never{next(self.places)}")]))
        for name in self.some(0.1):
            if len(self.listed) > 4:
                gone = self.listed.pop(name)
                state_ = self.random.choice([EndpointState.REMOVED, EndpointState.DRAINING])
                entries.append(
                    Endpoint(
                        name,
                        state_,
                        gone.zone,
                        gone.cell,
                        gone.weight,
                        gone.started_at,
                        gone.address,
                    )
                )
        self.feed(
            EndpointListReceived(entries, complete=False, restored=self.random.random() < 0.2)
        )

    def restart_elsewhere(self) -> None:
        for name in self.some(0.1):
            old = self.listed[name]
            place = f"p{next(self.places)}" if self.random.random() < 0.7 else old.address
            new = Endpoint(name, EndpointState.UP, old.zone, old.cell, old.weight, self.now, place)
            self.listed[name] = new
            self.feed(EndpointListReceived([new], complete=False))

    def replace_all(self) -> None:
        """No server that was listed is left: what keeps to the list before has nowhere to go."""
        gone = [Endpoint(name, EndpointState.REMOVED) for name in self.listed]
        self.listed.clear()
        self.feed(EndpointListReceived([*gone, *(self.new_server() for _ in gone)], complete=False))

    def in_pieces(self) -> None:
        entries = list(self.listed.values())
        half = len(entries) // 2
        self.feed(EndpointListReceived(entries[:half], complete=False, more_follow=True))
        self.feed(EndpointListReceived(entries[half:], complete=False))

    def watch_event(self) -> None:
        self.feed(EndpointListReceived(list(self.listed.values()), complete=True))

    def list_lost(self) -> None:
        waited = self.random.choice([0, 100_000, 3 * SECOND_US])
        self.feed(
            EndpointListReceived(
                failed=True, waited=waited, staleness=self.random.randrange(5 * SECOND_US)
            )
        )

    def zones(self) -> None:
        parts = {
            z: self.random.choice([0.0, 0.0, 0.3, 1.0])
            for z in self.settings.zones
            if self.random.random() < 0.4
        }
        look = tuple(zone for zone, part in parts.items() if not part)
        self.feed(ZoneWeights(parts, look))

    def turn_away(self) -> None:
        parts = {
            c.name: self.random.choice([0.0, 0.3, 0.9])
            for c in self.settings.classes
            if self.random.random() < 0.5
        }
        self.feed(
            LoadSheddingLevel(parts, self.random.choice([0.0, 0.5]), self.random.randrange(1000))
        )

    def doubt(self) -> None:
        self.feed(PeerFailureReports({name: self.random.random() for name in self.some(0.2)}))

    def divide(self) -> None:
        chosen = self.some(0.6) if self.random.random() < 0.6 else []
        self.feed(SubsetAssignment({name: self.random.choice([0.2, 0.5, 1.0]) for name in chosen}))

    def elsewhere(self) -> None:
        self.feed(PredecessorInFlight(self.random.choice([0, 0, 2, 5])))

    def other_settings(self) -> None:
        """The same settings said again, and the classes in another order."""
        classes = list(self.settings.classes)
        self.random.shuffle(classes)
        values = {name: getattr(self.settings, name) for name in self.settings.__slots__}
        values["classes"] = tuple(classes)
        self.settings = Settings(**values)
        self.feed(SettingsChanged(self.settings))

    def trouble(self) -> None:
        self.sick = set(self.some(0.15)) if self.random.random() < 0.6 else set()
        self.silent = set(self.some(0.1)) if self.random.random() < 0.3 else set()

    def site_trouble(self) -> None:
        if self.settings.zones:
            zone = self.random.choice(self.settings.zones)
            failing = {name for name, s in self.listed.items() if s.zone == zone}
            self.sick, self.silent = (
                (failing, set()) if self.random.random() < 0.5 else (set(), failing)
            )

    def hand_over(self) -> None:
        """What was learned goes on in a new balancer.

        Calls of the old one are out elsewhere, and end there.
        """
        saved = json.loads(json.dumps(state.save(self.balancer, self.now)))
        seen = [
            [z.zone, z.listed, z.responding, z.timed_out, z.failed]
            for z in view.zone_views(self.balancer, self.now, SECOND_US)
        ]
        self.digest.add_values(
            [
                saved,
                seen,
                view.server_sizes(self.balancer),
                view.load_summary(self.balancer, self.now),
            ]
        )
        held = len(self.out)
        self.out.clear()
        self.numbers.clear()
        for name in self.some(0.1):
            self.listed[name].address = f"p{next(self.places)}"  # another process since then
        self.balancer = Balancer(self.settings, self.seed + self.now % 1000)
        self.feed(EndpointListReceived(list(self.listed.values())))
        state.restore(self.balancer, saved, self.now)
        self.feed(PredecessorInFlight(held))
        self.at(self.now + SECOND_US, lambda: self.feed(PredecessorInFlight(0)))


# ---- what is driven

ZONES = ("a", "b", "c")
READ = RequestClass("read", 300_000, 1_500_000, 1, 0.5, Idempotency.IDEMPOTENT)
BOOK = RequestClass("book", 400_000, 2_000_000, 5, 0.3, Idempotency.NOT_IDEMPOTENT)
PAY = RequestClass(
    "pay", 400_000, 2_000_000, 8, 0.3, Idempotency.IDEMPOTENT_WITH_KEY, "all", 2_000_000
)
NEAR = RequestClass(
    "near", 300_000, 1_500_000, 2, 0.0, Idempotency.IDEMPOTENT_WITH_KEY, "zone", 1_000_000
)
SHELF = RequestClass(
    "shelf", 300_000, 1_500_000, 3, 0.2, Idempotency.IDEMPOTENT_WITH_KEY, "cell", 1_500_000
)
UPLOAD = RequestClass("upload", 500_000, 3_000_000, 2, 0.2, Idempotency.IDEMPOTENT, streamed=True)
ALL = (READ, BOOK, PAY, NEAR, SHELF, UPLOAD)
TENANTS = (Tenant("small", 20.0), Tenant("large", 200.0))
COLD = {"slow_start_window": 8 * SECOND_US, "slow_start_minimum": 0.2, "overload_factor": 2.5}
HOME = {"zone": "a", "zones": ZONES, "prices": Prices(cross_zone=0.05)}

# Settings; servers; seconds and requests a second.
DRIVEN = {
    "zones with a price to cross": (
        {
            "classes": ALL,
            "tenants": TENANTS,
            "cancellation_allowed": True,
            "max_attempts": 4,
            "replica_count": 3,
            "max_retry_after": 2_000_000,
            "over_quota_weight": 0.2,
            **COLD,
            **HOME,
        },
        18,
        40,
        100,
    ),
    "zones without a price": (
        {
            "classes": ALL,
            "tenants": TENANTS,
            "cancellation_allowed": True,
            "max_attempts": 5,
            "hedging_allowed": True,
            "zones": ZONES,
            "max_retry_after": 1_000_000,
            "weight_source": "nominal",
            **COLD,
        },
        24,
        40,
        100,
    ),
    "requests that keep to one list": (
        {
            "classes": ALL,
            "pin_endpoint_list": True,
            "max_attempts": 4,
            "zones": ZONES,
            "cancellation_allowed": True,
            "poll_discovery": True,
            **COLD,
        },
        12,
        40,
        80,
    ),
    "an inner tier of many instances": (
        {
            "classes": (READ, PAY),
            "tier": 1,
            "tier_count": 3,
            "replica_count": 50,
            "max_attempts": 3,
            "retry_ratio": 0.1,
            "poll_discovery": True,
            "poll_interval": 3_000_000,
            **COLD,
        },
        80,
        40,
        40,
    ),
    "nothing may be repeated": (
        {"classes": (BOOK,), "max_retry_after": 500_000, **HOME, "weight_source": "rough"},
        9,
        30,
        80,
    ),
    "overload of few servers": (
        {
            "classes": (READ, BOOK, PAY),
            "tenants": TENANTS,
            "over_quota_weight": 0.5,
            "max_retry_after": 1_000_000,
            "zones": ZONES,
            "cancellation_allowed": True,
        },
        6,
        15,
        500,
    ),
    "a hundred servers, divided": (
        {
            "classes": ALL,
            "zones": ZONES,
            "replica_count": 2,
            "cancellation_allowed": True,
            "pin_endpoint_list": True,
            "max_attempts": 4,
            **COLD,
        },
        150,
        20,
        200,
    ),
}


def sites_are_lost(seed: int) -> Digest:
    """Replicas with plans for the loss of sites: zones get less, classes are shed."""
    fleet = SimulatedFleet(
        6,
        12,
        seed,
        sites=ZONES,
        with_site_plans=True,
        max_client_retries=2,
        max_retry_after=2 * SECOND_US,
    )
    digest = record_fleet(fleet)
    fleet.schedule_requests(80, 20)
    fleet.run(5)
    fleet.fail_sites(["b"], 6)
    fleet.run(9)
    fleet.fail_sites(["a", "c"], 4, hang=True)
    fleet.run(12)
    return digest


def servers_are_divided(seed: int) -> Digest:
    """Replicas that divide the servers among them, while servers are replaced."""
    fleet = SimulatedFleet(8, 16, seed, subset_rings=4, load_sigma=0.5, poll_discovery=True)
    digest = record_fleet(fleet)
    fleet.discovery.time_per_poll_us = SECOND_US // 20
    fleet.schedule_requests(100, 15)
    for i in range(6):
        fleet.run(2)
        fleet.replace_server(f"s{i}", f"new{i}")
    fleet.run(8)
    return digest


PLANNED = {"sites are lost": sites_are_lost, "servers are divided": servers_are_divided}


def play(name: str) -> str:
    """The digest of one scenario."""
    if name in PLANNED:
        return PLANNED[name](3).text()
    options, servers, seconds, per_second = DRIVEN[name]
    driver = RandomDriver(Settings(**options), 11, servers)
    driver.run(seconds, per_second)
    return driver.digest.text()


if __name__ == "__main__":
    print(play(sys.argv[1]))
