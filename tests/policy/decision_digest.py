"""Digests of decisions in simulated time, over the kind and the values of each action.

Names of classes and fields are not part of a digest, so that renames do not change it.
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
    """Return the number of an action's kind and its values; raise AssertionError if unknown."""
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
        self.counts: dict[int, int] = {}  # number of actions by the number of their kind

    def add(self, replica: int, now: int, actions: Iterable[Action]) -> None:
        """Add the actions of one balancer at one time."""
        for action in actions:
            values = values_of(action)
            self.counts[values[0]] = self.counts.get(values[0], 0) + 1
            self._hash.update(json.dumps([replica, now, *values]).encode())

    def add_values(self, values: Any) -> None:
        """Add JSON values; numbers have nine digits only, as machines differ in the last ones."""
        rounded = json.loads(json.dumps(values), parse_float=lambda text: f"{float(text):.9g}")
        self._hash.update(json.dumps(rounded).encode())

    def text(self) -> str:
        """Return the digest so far."""
        return self._hash.hexdigest()[:20]


def record_fleet(fleet: SimulatedFleet) -> Digest:
    """Return a digest to which all further actions of a fleet's balancers are added."""
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
    """Drives one balancer with random events of every kind.

    Attempts end with random results, and timers fire when due.
    """

    def __init__(self, settings: Settings, seed: int, servers: int) -> None:
        self.settings, self.seed = settings, seed
        self.random = random.Random(seed)
        self.balancer = Balancer(settings, seed)
        self.digest = Digest()
        self.now = 60 * SECOND_US
        self.request_ids, self.server_numbers = itertools.count(1), itertools.count(1)
        self.pending: list[tuple[int, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.listed: dict[str, Endpoint] = {}
        self.numbers: dict[int, int] = {}  # number of attempts of each open request
        self.streamed: set[int] = set()
        self.in_flight: dict[tuple[int, int], tuple[str, int]] = {}  # attempts without a result
        self.failing: set[str] = set()  # servers that fail
        self.hung: set[str] = set()  # servers that do not respond
        self.server_count = servers  # approximate number of listed servers
        first = [self.new_server(is_warm=True) for _ in range(servers)]
        self.feed(EndpointListReceived(first))

    # ---- simulated time

    def call_at(self, when: int, callback: Callable[[], None]) -> None:
        heapq.heappush(self.pending, (when, next(self.order), callback))

    def run(self, seconds: float, per_second: float, other_events_per_second: float = 4.0) -> None:
        """Feed requests and other events at random times, and fire what is due."""
        until = self.now + int(seconds * SECOND_US)
        self._repeat(until, per_second, self.send_request)
        self._repeat(until, other_events_per_second, self.other_event)
        while self.pending and self.pending[0][0] <= until:
            self.now, _, callback = heapq.heappop(self.pending)
            callback()
        self.now = until

    def _repeat(self, until: int, per_second: float, callback: Callable[[], None]) -> None:
        when = float(self.now)
        while (when := when + self.random.expovariate(per_second / SECOND_US)) < until:
            self.call_at(int(when), callback)

    def feed(self, event: Event) -> None:
        """Pass an event to the balancer now, and perform its actions."""
        balancer = self.balancer
        actions = balancer.handle(self.now, event)
        self.digest.add(0, self.now, actions)
        for action in actions:
            if isinstance(action, SetTimer):
                self.call_at(self.now + action.delay, self._timer(balancer, action.token))
            elif isinstance(action, SendAttempt):
                self.start_attempt(action)
            elif isinstance(action, CancelAttempt):
                key = action.request_id, action.attempt
                delay = self.random.randrange(3000)
                self.call_at(
                    self.now + delay, lambda key=key: self.end_attempt(key, AttemptResult.CANCELLED)
                )
            elif isinstance(action, RejectRequest | FailRequest):
                self.numbers.pop(action.request_id, None)
            elif isinstance(action, WatchEndpoints):
                self.call_at(self.now + self.random.randrange(SECOND_US), self.send_list)

    def _timer(self, balancer: Balancer, token: int) -> Callable[[], None]:
        def fire() -> None:
            if balancer is self.balancer:
                self.feed(TimerFired(token))

        return fire

    # ---- requests

    def send_request(self) -> None:
        number, klass = next(self.request_ids), self.random.choice(self.settings.classes)
        tenant = self.random.choice([t.name for t in self.settings.tenants] + [""])
        if klass.streamed:
            self.streamed.add(number)
        self.numbers[number] = 0
        name = klass.name if self.random.random() < 0.995 else "no such class"
        left = int(klass.deadline * self.random.uniform(0.0 if number % 40 == 0 else 0.5, 1.2))
        key = f"k{number % 50}" if number % 3 else ""
        self.feed(RequestReceived(number, name, left, tenant, key=key, streamed=klass.streamed))
        if self.random.random() < 0.02:
            self.call_at(
                self.now + self.random.randrange(300_000), lambda: self.disconnect_client(number)
            )

    def disconnect_client(self, number: int) -> None:
        if self.numbers.pop(number, None) is not None:
            self.feed(ClientDisconnected(number))

    def start_attempt(self, action: SendAttempt) -> None:
        attempt = self.numbers[action.request_id]
        self.numbers[action.request_id] = attempt + 1
        key = action.request_id, attempt
        self.in_flight[key] = action.server, self.now
        is_failing = action.server in self.failing
        results, weights = zip(*RESULTS, strict=True)
        result = self.random.choices(results, weights)[0]
        if is_failing and self.random.random() < 0.9:
            result = self.random.choice(
                [AttemptResult.ERROR, AttemptResult.CONNECT_FAILED, AttemptResult.RESET]
            )
        latency = int(self.random.lognormvariate(0, 0.7) * 40_000)
        if (
            action.server in self.hung
            or result == AttemptResult.TIMEOUT
            or latency >= action.timeout
        ):
            latency, result = action.timeout, AttemptResult.TIMEOUT
        elif result in (
            AttemptResult.REJECTED,
            AttemptResult.CONNECT_FAILED,
            AttemptResult.NOT_SENT,
        ):
            latency = 500
        if action.request_id in self.streamed and self.random.random() < 0.8:
            self.call_at(self.now + latency // 2, lambda: self.finish_body(key))
        if result == AttemptResult.OK and self.random.random() < 0.1:
            self.call_at(self.now + latency // 2, lambda: self.start_response(key))
        self.call_at(self.now + latency, lambda: self.end_attempt(key, result))

    def finish_body(self, key: tuple[int, int]) -> None:
        if key in self.in_flight and key[0] in self.numbers:
            self.feed(RequestBodySent(*key, self.random.randrange(2 * SECOND_US)))

    def start_response(self, key: tuple[int, int]) -> None:
        if key in self.in_flight and self.numbers.pop(key[0], None) is not None:
            self.feed(ResponseStarted(*key))

    def end_attempt(self, key: tuple[int, int], result: AttemptResult) -> None:
        if key not in self.in_flight:
            return
        server, sent_at = self.in_flight.pop(key)
        is_finished = result == AttemptResult.OK
        if is_finished:
            self.numbers.pop(key[0], None)
        report = {"queued": self.random.uniform(0, 6)} if self.random.random() < 0.3 else None
        self.feed(AttemptEnded(*key, server, result, self.now - sent_at, is_finished, report))
        if result == AttemptResult.OK and self.random.random() < 0.01:
            # The response breaks off.
            self.feed(AttemptEnded(*key, server, AttemptResult.RESET, self.now - sent_at, True))

    # ---- other events

    def other_event(self) -> None:
        """Cause an event of a random other kind."""
        kinds = [
            (self.change_list, 5),
            (self.restart_servers, 2),
            (self.send_list_in_batches, 2),
            (self.fail_poll, 1),
            (self.change_zone_weights, 3),
            (self.shed_load, 2),
            (self.report_failures, 2),
            (self.assign_subset, 2),
            (self.change_predecessor_load, 1),
            (self.change_settings, 1),
            (self.change_failures, 4),
            (self.fail_zone, 1),
            (self.hand_over, 0.5),
            (self.replace_all_servers, 0.5),
        ]
        self.random.choices([k for k, _ in kinds], [w for _, w in kinds])[0]()

    def new_server(self, is_warm: bool = False) -> Endpoint:
        number = next(self.server_numbers)
        zones = self.settings.zones or ("",)
        entry = Endpoint(
            f"s{number}",
            EndpointState.UP,
            zones[number % len(zones)],
            number % 3,
            self.random.choice([0.5, 1.0, 1.0, 3.0]),
            0 if is_warm else self.now,
            f"p{number}",
        )
        self.listed[entry.id] = entry
        return entry

    def some_servers(self, fraction: float) -> list[str]:
        return [name for name in self.listed if self.random.random() < fraction]

    def change_list(self) -> None:
        entries = [
            self.new_server() for _ in range(self.random.randrange(max(3, self.server_count // 5)))
        ]
        if entries and self.random.random() < 0.4:
            self.feed(EndpointsAnnounced([*entries, Endpoint(f"never{next(self.server_numbers)}")]))
        for name in self.some_servers(0.1):
            if len(self.listed) > 4:
                removed = self.listed.pop(name)
                state_ = self.random.choice([EndpointState.REMOVED, EndpointState.DRAINING])
                entries.append(
                    Endpoint(
                        name,
                        state_,
                        removed.zone,
                        removed.cell,
                        removed.weight,
                        removed.started_at,
                        removed.address,
                    )
                )
        self.feed(
            EndpointListReceived(entries, complete=False, restored=self.random.random() < 0.2)
        )

    def restart_servers(self) -> None:
        for name in self.some_servers(0.1):
            old = self.listed[name]
            address = f"p{next(self.server_numbers)}" if self.random.random() < 0.7 else old.address
            new = Endpoint(
                name, EndpointState.UP, old.zone, old.cell, old.weight, self.now, address
            )
            self.listed[name] = new
            self.feed(EndpointListReceived([new], complete=False))

    def replace_all_servers(self) -> None:
        """Replace all servers, so that requests pinned to older lists have none left."""
        removed = [Endpoint(name, EndpointState.REMOVED) for name in self.listed]
        self.listed.clear()
        self.feed(
            EndpointListReceived([*removed, *(self.new_server() for _ in removed)], complete=False)
        )

    def send_list_in_batches(self) -> None:
        entries = list(self.listed.values())
        half = len(entries) // 2
        self.feed(EndpointListReceived(entries[:half], complete=False, more_follow=True))
        self.feed(EndpointListReceived(entries[half:], complete=False))

    def send_list(self) -> None:
        self.feed(EndpointListReceived(list(self.listed.values()), complete=True))

    def fail_poll(self) -> None:
        waited = self.random.choice([0, 100_000, 3 * SECOND_US])
        self.feed(
            EndpointListReceived(
                failed=True, waited=waited, staleness=self.random.randrange(5 * SECOND_US)
            )
        )

    def change_zone_weights(self) -> None:
        fractions = {
            z: self.random.choice([0.0, 0.0, 0.3, 1.0])
            for z in self.settings.zones
            if self.random.random() < 0.4
        }
        probe_zones = tuple(zone for zone, fraction in fractions.items() if not fraction)
        self.feed(ZoneWeights(fractions, probe_zones))

    def shed_load(self) -> None:
        fractions = {
            c.name: self.random.choice([0.0, 0.3, 0.9])
            for c in self.settings.classes
            if self.random.random() < 0.5
        }
        self.feed(
            LoadSheddingLevel(
                fractions, self.random.choice([0.0, 0.5]), self.random.randrange(1000)
            )
        )

    def report_failures(self) -> None:
        self.feed(
            PeerFailureReports({name: self.random.random() for name in self.some_servers(0.2)})
        )

    def assign_subset(self) -> None:
        chosen = self.some_servers(0.6) if self.random.random() < 0.6 else []
        self.feed(SubsetAssignment({name: self.random.choice([0.2, 0.5, 1.0]) for name in chosen}))

    def change_predecessor_load(self) -> None:
        self.feed(PredecessorInFlight(self.random.choice([0, 0, 2, 5])))

    def change_settings(self) -> None:
        """Send the same settings again, with the classes in another order."""
        classes = list(self.settings.classes)
        self.random.shuffle(classes)
        values = {name: getattr(self.settings, name) for name in self.settings.__slots__}
        values["classes"] = tuple(classes)
        self.settings = Settings(**values)
        self.feed(SettingsChanged(self.settings))

    def change_failures(self) -> None:
        self.failing = set(self.some_servers(0.15)) if self.random.random() < 0.6 else set()
        self.hung = set(self.some_servers(0.1)) if self.random.random() < 0.3 else set()

    def fail_zone(self) -> None:
        if self.settings.zones:
            zone = self.random.choice(self.settings.zones)
            failing = {name for name, s in self.listed.items() if s.zone == zone}
            self.failing, self.hung = (
                (failing, set()) if self.random.random() < 0.5 else (set(), failing)
            )

    def hand_over(self) -> None:
        """Continue with a new balancer that restores the saved state.

        The attempts of the old balancer end in the predecessor process.
        """
        saved = json.loads(json.dumps(state.save(self.balancer, self.now)))
        zone_views = [
            [z.zone, z.listed, z.responding, z.timed_out, z.failed]
            for z in view.zone_views(self.balancer, self.now, SECOND_US)
        ]
        self.digest.add_values(
            [
                saved,
                zone_views,
                view.server_sizes(self.balancer),
                view.load_summary(self.balancer, self.now),
            ]
        )
        remaining = len(self.in_flight)
        self.in_flight.clear()
        self.numbers.clear()
        for name in self.some_servers(0.1):
            self.listed[name].address = f"p{next(self.server_numbers)}"  # restarted since then
        self.balancer = Balancer(self.settings, self.seed + self.now % 1000)
        self.feed(EndpointListReceived(list(self.listed.values())))
        state.restore(self.balancer, saved, self.now)
        self.feed(PredecessorInFlight(remaining))
        self.call_at(self.now + SECOND_US, lambda: self.feed(PredecessorInFlight(0)))


# ---- scenarios

ZONES = ("a", "b", "c")
READ = RequestClass("read", 300_000, 1_500_000, 1, 0.5, Idempotency.IDEMPOTENT)
BOOK = RequestClass("book", 400_000, 2_000_000, 5, 0.3, Idempotency.NOT_IDEMPOTENT)
PAY = RequestClass(
    "pay", 400_000, 2_000_000, 8, 0.3, Idempotency.IDEMPOTENT_WITH_KEY, "all", 2_000_000
)
SAME_ZONE = RequestClass(
    "near", 300_000, 1_500_000, 2, 0.0, Idempotency.IDEMPOTENT_WITH_KEY, "zone", 1_000_000
)
SAME_CELL = RequestClass(
    "shelf", 300_000, 1_500_000, 3, 0.2, Idempotency.IDEMPOTENT_WITH_KEY, "cell", 1_500_000
)
UPLOAD = RequestClass("upload", 500_000, 3_000_000, 2, 0.2, Idempotency.IDEMPOTENT, streamed=True)
ALL_CLASSES = (READ, BOOK, PAY, SAME_ZONE, SAME_CELL, UPLOAD)
TENANTS = (Tenant("small", 20.0), Tenant("large", 200.0))
SLOW_START = {"slow_start_window": 8 * SECOND_US, "slow_start_minimum": 0.2, "overload_factor": 2.5}
LOCAL_ZONE = {"zone": "a", "zones": ZONES, "prices": Prices(cross_zone=0.05)}

# By name: settings, number of servers, seconds, and requests per second.
DRIVER_SCENARIOS = {
    "zones with a price to cross": (
        {
            "classes": ALL_CLASSES,
            "tenants": TENANTS,
            "cancellation_allowed": True,
            "max_attempts": 4,
            "replica_count": 3,
            "max_retry_after": 2_000_000,
            "over_quota_weight": 0.2,
            **SLOW_START,
            **LOCAL_ZONE,
        },
        18,
        40,
        100,
    ),
    "zones without a price": (
        {
            "classes": ALL_CLASSES,
            "tenants": TENANTS,
            "cancellation_allowed": True,
            "max_attempts": 5,
            "hedging_allowed": True,
            "zones": ZONES,
            "max_retry_after": 1_000_000,
            "weight_source": "nominal",
            **SLOW_START,
        },
        24,
        40,
        100,
    ),
    "requests pinned to one list": (
        {
            "classes": ALL_CLASSES,
            "pin_endpoint_list": True,
            "max_attempts": 4,
            "zones": ZONES,
            "cancellation_allowed": True,
            "poll_discovery": True,
            **SLOW_START,
        },
        12,
        40,
        80,
    ),
    "an inner tier of many replicas": (
        {
            "classes": (READ, PAY),
            "tier": 1,
            "tier_count": 3,
            "replica_count": 50,
            "max_attempts": 3,
            "retry_ratio": 0.1,
            "poll_discovery": True,
            "poll_interval": 3_000_000,
            **SLOW_START,
        },
        80,
        40,
        40,
    ),
    "nothing may be retried": (
        {"classes": (BOOK,), "max_retry_after": 500_000, **LOCAL_ZONE, "weight_source": "rough"},
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
    "a hundred servers, assigned": (
        {
            "classes": ALL_CLASSES,
            "zones": ZONES,
            "replica_count": 2,
            "cancellation_allowed": True,
            "pin_endpoint_list": True,
            "max_attempts": 4,
            **SLOW_START,
        },
        150,
        20,
        200,
    ),
}


def sites_fail(seed: int) -> Digest:
    """Replicas with site plans: zone weights are reduced and classes are shed."""
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


def servers_are_assigned(seed: int) -> Digest:
    """Replicas with assigned subsets, while servers are replaced."""
    fleet = SimulatedFleet(8, 16, seed, subset_rings=4, load_sigma=0.5, poll_discovery=True)
    digest = record_fleet(fleet)
    fleet.discovery.time_per_poll_us = SECOND_US // 20
    fleet.schedule_requests(100, 15)
    for i in range(6):
        fleet.run(2)
        fleet.replace_server(f"s{i}", f"new{i}")
    fleet.run(8)
    return digest


FLEET_SCENARIOS = {"sites fail": sites_fail, "servers are assigned": servers_are_assigned}


def run_scenario(name: str) -> str:
    """Return the digest of one scenario."""
    if name in FLEET_SCENARIOS:
        return FLEET_SCENARIOS[name](3).text()
    options, servers, seconds, per_second = DRIVER_SCENARIOS[name]
    driver = RandomDriver(Settings(**options), 11, servers)
    driver.run(seconds, per_second)
    return driver.digest.text()


if __name__ == "__main__":
    print(run_scenario(sys.argv[1]))
