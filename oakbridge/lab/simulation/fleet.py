"""A simulated fleet: replicas, servers, clients and discovery, driven by one event queue."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping, Sequence, Sized
from functools import partial
from typing import Any, Protocol

from oakbridge.lab.simulation.clients import Outcome, SimulatedClients
from oakbridge.lab.simulation.discovery import SimulatedDiscovery
from oakbridge.lab.simulation.event_queue import SECOND_US, EventQueue
from oakbridge.lab.simulation.server import AttemptKey, SimulatedServer
from oakbridge.lab.simulation.server_pool import ServerPool
from oakbridge.lab.simulation.site_control import SiteControl
from oakbridge.lab.simulation.subset_division import SubsetDivision
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
    Endpoint,
    EndpointListReceived,
    EndpointState,
    Event,
    TimerFired,
)
from oakbridge.policy.settings import Idempotency, Prices, RequestClass, Settings

DEFAULT_CLASS = RequestClass("look", 2_500_000, 6_000_000, 5, 0.3, Idempotency.IDEMPOTENT)
DEFAULT_SETTINGS: dict[str, Any] = {
    "max_attempts": 6,
    "cancellation_allowed": True,
    "slow_start_window": 24 * SECOND_US,
    "slow_start_minimum": 0.13,
    "overload_factor": 2.5,
}
CROSS_ZONE_PRICE = 0.02


class TrackedRequest(Protocol):
    """An unfinished request in a replica."""

    @property
    def attempts(self) -> Sized:
        """All attempts started so far."""


class Replica(Protocol):
    """The interface of a replica: it handles the balancer's events and returns its actions."""

    @property
    def requests(self) -> Mapping[int, TrackedRequest]:
        """Unfinished requests by identifier."""

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handle one event; return the actions to carry out."""


class SimulatedFleet:
    """Replicas that share servers and discovery, driven in simulated time."""

    def __init__(
        self,
        replica_count: int,
        server_count: int,
        seed: int,
        *,
        classes: tuple[RequestClass, ...] = (DEFAULT_CLASS,),
        sites: tuple[str, ...] = (),
        with_site_plans: bool = False,
        max_client_retries: int = 0,
        subset_rings: int = 0,
        load_sigma: float = 0.0,
        make_replica: Callable[[int], Replica] | None = None,
        **settings: Any,
    ) -> None:
        """Build a fleet, and deliver the list of all servers to each replica.

        ``sites``: replicas and servers are assigned to them in turn.
        ``with_site_plans``: replicas run ``oakbridge.sites``.
        ``max_client_retries``: maximum per rejected request, each after its Retry-After.
        ``subset_rings``: rings of ``oakbridge.spread``, which assigns subsets; 0: no subsets.
        ``load_sigma``: sigma of the lognormal distribution of replica loads; 0: equal loads.
        ``make_replica``: returns a replica for a seed, used instead of the real balancer.
        ``settings``: fields of the balancers' settings; they override DEFAULT_SETTINGS.
        """
        self.events = EventQueue()
        self._random = random.Random(seed)
        overrides = {**DEFAULT_SETTINGS, **settings}
        self.settings = Settings(classes, replica_count=replica_count, **overrides)
        self._classes = classes
        self._homes = [_site_of(index, sites) for index in range(replica_count)]
        self._loads = _replica_loads(replica_count, load_sigma, seed)

        servers = [
            SimulatedServer(f"s{number}", site=_site_of(number, sites))
            for number in range(server_count)
        ]
        self.pool = ServerPool(
            self.events, self._random, self.settings, servers, self._on_attempt_result
        )
        self.replicas: list[Replica] = [
            make_replica(self._random.getrandbits(32))
            if make_replica is not None
            else self._make_balancer(home, sites, overrides)
            for home in self._homes
        ]
        self.balancers = [replica for replica in self.replicas if isinstance(replica, Balancer)]
        self.clients = SimulatedClients(
            self.events,
            self._random,
            classes,
            replica_count,
            self._loads,
            max_client_retries,
            with_keys=with_site_plans,
            deliver=self.deliver,
        )
        self.discovery = SimulatedDiscovery(self.events, self.pool.servers, self.deliver)
        self._deliver_initial_lists()
        if with_site_plans:
            self._start_site_control(seed)
        self._division = self._divide_servers(subset_rings) if subset_rings else None

    def _start_site_control(self, seed: int) -> None:
        site_control = SiteControl(
            self.events,
            self.balancers,
            self._homes,
            self._classes,
            seed,
            self.clients,
            self.deliver,
        )
        site_control.start(self._random)

    def _divide_servers(self, rings: int) -> SubsetDivision:
        division = SubsetDivision(
            self.events, self.balancers, self._homes, self._loads, rings, self.deliver
        )
        division.assign_all()
        return division

    def _make_balancer(
        self, home: str, sites: tuple[str, ...], overrides: Mapping[str, Any]
    ) -> Balancer:
        settings = Settings(
            self._classes,
            replica_count=self.settings.replica_count,
            zone=home,
            zones=sites,
            prices=Prices(cross_zone=CROSS_ZONE_PRICE if sites else 0.0),
            **overrides,
        )
        return Balancer(settings, self._random.getrandbits(32))

    def _deliver_initial_lists(self) -> None:
        for replica in range(len(self.replicas)):
            endpoints = [
                Endpoint(server.name, zone=server.site) for server in self.servers.values()
            ]
            self.deliver(replica, EndpointListReceived(endpoints))

    @property
    def now(self) -> int:
        """The simulated time, in microseconds."""
        return self.events.now

    @property
    def servers(self) -> dict[str, SimulatedServer]:
        """All servers by name, including replaced ones."""
        return self.pool.servers

    def run(self, seconds: float) -> None:
        """Advance simulated time."""
        self.events.run(seconds)

    def schedule_requests(
        self, per_second: float, seconds: float, class_name: str = DEFAULT_CLASS.name
    ) -> None:
        """Schedule requests at random times in the next ``seconds``, each to a random replica."""
        self.clients.schedule_requests(per_second, seconds, class_name)

    def fail_sites(self, sites: Iterable[str], seconds: float, *, hang: bool = False) -> None:
        """Take all servers of these sites down for a time; with ``hang`` they hang instead."""
        self.pool.fail_sites(sites, seconds, hang=hang)

    def replace_server(self, old: str, new: str, announced_after_us: int = SECOND_US) -> None:
        """Start a cold server, and replace another by it in all replicas' lists after a delay.

        The replaced server keeps answering.
        """
        self.pool.add(SimulatedServer(new, started_at_us=self.now))
        changes = [Endpoint(old, EndpointState.REMOVED), Endpoint(new, started_at=self.now)]
        update = EndpointListReceived(changes, complete=False)
        self.events.schedule(self.now + announced_after_us, lambda: self._deliver_changes(update))

    def _deliver_changes(self, update: EndpointListReceived) -> None:
        for replica in range(len(self.replicas)):
            self.deliver(replica, update)
            if self._division is not None:
                # Each replica updates its subset once a second, at its own time.
                at_us = self.now + self._random.randrange(SECOND_US)
                self.events.schedule(at_us, partial(self._division.assign, replica))

    # ---- events and actions of replicas

    def deliver(self, replica: int, event: Event) -> None:
        """Deliver an event to a replica, and carry out the actions that it returns."""
        for action in self.replicas[replica].handle(self.now, event):
            self._carry_out(replica, action)

    def _carry_out(self, replica: int, action: Action) -> None:
        match action:
            case SetTimer():
                fired = TimerFired(action.token)
                at_us = self.now + action.delay
                self.events.schedule(at_us, lambda: self.deliver(replica, fired))
            case SendAttempt():
                attempts = self.replicas[replica].requests[action.request_id].attempts
                key = AttemptKey(replica, action.request_id, len(attempts) - 1)
                self.pool.receive(key, action.server, action.timeout)
            case RejectRequest():
                self.clients.finish(
                    replica, action.request_id, Outcome.REJECTED, action.retry_after
                )
            case FailRequest():
                self.clients.finish(replica, action.request_id, Outcome.FAILED)
            case CancelAttempt():
                key = AttemptKey(replica, action.request_id, action.attempt)
                self.pool.end(key, AttemptResult.CANCELLED)
            case WatchEndpoints():
                self.discovery.poll(replica)

    def _on_attempt_result(
        self, key: AttemptKey, server: str, result: AttemptResult, started_us: int
    ) -> None:
        replica, request_id, attempt = key
        is_response = result == AttemptResult.OK and self.clients.is_pending(replica, request_id)
        if is_response:
            self.clients.finish(replica, request_id, Outcome.SERVED)
        duration_us = self.now - started_us
        attempt_ended = AttemptEnded(request_id, attempt, server, result, duration_us, is_response)
        self.deliver(replica, attempt_ended)


def _site_of(index: int, sites: Sequence[str]) -> str:
    return sites[index % len(sites)] if sites else ""


def _replica_loads(replica_count: int, sigma: float, seed: int) -> list[float]:
    """Draw the replicas' relative loads; return an empty list if all are equal."""
    if not sigma:
        return []
    rng = random.Random(seed)
    return [rng.lognormvariate(0, sigma) for _ in range(replica_count)]
