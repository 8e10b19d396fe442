"""A model of a node's discovery client around one change of the endpoint list.

The list changes in discovery at ``change_at``.  From ``answers_from`` on, discovery responds soon
to every new request.  Before that, a request may get a complete response, a part of one or none, may
be refused at once or after a time in discovery's queue, may have its connection reset, or may be
answered with version numbers that have restarted.  Meanwhile a reload may change discovery's
address, the process may be paused, hand over to a successor, or restart with its saved list.  The
scenario's budget limits how often each of these happens, and the number of failed requests.

Random draws take their minimum and their maximum.  Times are in seconds.  At time 0 the list is up
to date, and its watch is about to be renewed.
"""

from __future__ import annotations

import math
import pickle
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, replace
from enum import Enum
from random import Random
from typing import cast

from oakbridge.lab.model_check.explorer import Step
from oakbridge.node.address import Address
from oakbridge.node.discovery_client import DiscoveryClient, DiscoveryRequest
from oakbridge.node.endpoint_list import EndpointList
from oakbridge.node.errors import OutdatedListError
from oakbridge.node.list_refresh import (
    MAX_LIST_AGE_S,
    Failure,
    RefreshSchedule,
    RequestKind,
)

RESPONSE_DELAY_S = 0.3  # of a responsive discovery, with some requests ahead in its queue
PAUSE_S = 0.15  # time for which a paused process does not run
STALL_TIMEOUT_S = 0.55  # from a partial response until the client gives the request up
IMMEDIATE_REFUSAL_DELAY_S = 0.02
QUEUE_TIMES_S = (1.0, 2.0)  # time in discovery's queue until it refuses a request
# Bound for pushed lists since the reload that changes discovery's address.
PUSHED_MOVE_BOUND_S = 4.0
RESET_DELAY_S = 0.1
VERSION_BEFORE, VERSION_AFTER = 1, 2
POLL_INTERVAL_US = 10_000_000
ADDRESSES: tuple[Address, ...] = (("127.0.0.1", 1), ("127.0.0.1", 2))
MS_PER_S = 1000


class Outcome(Enum):
    """The result of a discovery request."""

    RESPONSE = "complete response"
    NO_RESPONSE = "no response"
    PARTIAL = "partial response"
    REFUSED = "refused at once"
    REFUSED_LATE = "refused after a time in the queue"
    RESET = "connection reset"
    OUTDATED = "response with restarted versions"


FAILURES = {
    Outcome.NO_RESPONSE: Failure.TIMED_OUT,
    Outcome.PARTIAL: Failure.TIMED_OUT,
    Outcome.REFUSED: Failure.REFUSED,
    Outcome.REFUSED_LATE: Failure.REFUSED,
    Outcome.RESET: Failure.NETWORK,
}


@dataclass(frozen=True, slots=True)
class Budget:
    """How often each kind of disturbance may still happen."""

    failures: int
    moves: int = 0  # reloads with an address of discovery
    pauses: int = 0
    handovers: int = 0
    restarts: int = 0
    adoptions: int = 0  # of the changed list, received by another process of the node


@dataclass(frozen=True, slots=True)
class Scenario:
    """The time of the change, the end of the failures, and the bound to be met."""

    budget: Budget
    change_at: float = 0.0
    answers_from: float = 2.9
    bound_s: float = MAX_LIST_AGE_S  # from the change until the node must have applied it
    pushed: bool = False
    outcomes: frozenset[Outcome] = frozenset(Outcome)


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request in flight, with its outcome and the time at which the client sees it."""

    request: DiscoveryRequest
    outcome: Outcome
    outcome_at: float


class ExtremeRandom:
    """A random source that draws the minimum or the maximum."""

    def __init__(self) -> None:
        self.draws_maximum = False

    def uniform(self, minimum: float, maximum: float) -> float:
        """Return the minimum or the maximum."""
        return maximum if self.draws_maximum else minimum


@dataclass(slots=True)
class DiscoveryState:
    """The client, its requests in flight, the time, and the remaining budget."""

    now: float
    client: DiscoveryClient
    schedule: RefreshSchedule
    random: ExtremeRandom
    pending: tuple[PendingRequest, ...]
    budget: Budget
    deadline: float  # time at which the node must have applied the change
    address: int = 0  # index in ADDRESSES
    applied_version: int = VERSION_BEFORE  # the version by which the node sends requests
    has_adopted: bool = False

    def copy(self) -> DiscoveryState:
        """Return an independent copy."""
        return cast(DiscoveryState, pickle.loads(pickle.dumps(self, pickle.HIGHEST_PROTOCOL)))

    def next_at(self) -> float:
        """Return the time of the next event of the client or of its requests."""
        outcome_times = [pending.outcome_at for pending in self.pending]
        return max(self.now, min([*outcome_times, self.client.next_request_at()]))


class DiscoveryModel:
    """All event sequences of a scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._list_after = EndpointList(VERSION_AFTER, True, [])
        self._list_before = EndpointList(VERSION_BEFORE, True, [])
        self._outdated_list = EndpointList(VERSION_BEFORE - 1, False, [])
        self.latest_known_at = 0.0  # latest time at which a sequence has applied the change
        self.finished = 0  # sequences that have applied the change

    # ---- the model

    def initial(self) -> DiscoveryState:
        """Return a client that has just received its list, and is about to renew its watch."""
        scenario = self._scenario
        state = self._new_process(0.0, scenario.budget, scenario.change_at + scenario.bound_s)
        request = state.client.begin_request(0.0)
        state.client.on_applied(request, VERSION_BEFORE, 0.0, 0.0)
        return state

    def key(self, state: DiscoveryState) -> Hashable:
        """Return all that the following transitions depend on."""
        schedule = _rounded(
            vars(state.schedule), without=("_random", "_open_requests", "_timeouts")
        )
        client = _rounded(
            vars(state.client), without=("_schedule", "_last_failure", "_last_failure_at")
        )
        requests = tuple(
            (
                pending.request.scheduled.kind,
                _ms(pending.request.scheduled.started_at),
                pending.request.address,
                pending.request.since,
                pending.outcome,
                _ms(pending.outcome_at),
            )
            for pending in state.pending
        )
        rest = state.budget, _ms(state.deadline), state.applied_version, state.has_adopted
        return _ms(state.now), schedule, client, requests, rest

    def steps(self, state: DiscoveryState) -> Iterator[Step[DiscoveryState]]:
        """Yield all transitions from a state; none once the change is applied for good."""
        if state.applied_version == VERSION_AFTER and not (state.has_adopted and state.pending):
            return
        now = state.next_at()
        yield from self._steps_at(state, now, f"{now:.2f}")
        if state.budget.pauses:
            paused = state.copy()
            paused.budget = replace(paused.budget, pauses=paused.budget.pauses - 1)
            resumed_at = now + PAUSE_S
            yield from self._steps_at(
                paused, resumed_at, f"{resumed_at:.2f} paused since {now:.2f},"
            )

    def _steps_at(
        self, state: DiscoveryState, now: float, time_label: str
    ) -> Iterator[Step[DiscoveryState]]:
        if now < self._scenario.answers_from:
            yield from self._disturbances(state, now, time_label)
        yield from self._next_event(state, now, time_label)

    def _next_event(
        self, state: DiscoveryState, now: float, time_label: str
    ) -> Iterator[Step[DiscoveryState]]:
        """Yield the transitions of the next event: a request's outcome, or a new request."""
        earliest = min(state.pending, key=lambda pending: pending.outcome_at, default=None)
        if earliest is not None and earliest.outcome_at <= min(now, state.client.next_request_at()):
            yield from self._finish_request(state, earliest, now, time_label)
        else:
            yield from self._start_request(state, now, time_label)

    # ---- requests

    def _start_request(
        self, state: DiscoveryState, now: float, time_label: str
    ) -> Iterator[Step[DiscoveryState]]:
        for draws_maximum in (False, True):
            started = state.copy()
            started.now = now
            started.random.draws_maximum = draws_maximum
            request = started.client.begin_request(now)
            started.pending = (*started.pending, PendingRequest(request, Outcome.RESPONSE, now))
            for outcome, outcome_at in self._outcomes(request, now, started.budget):
                after = started.copy()
                after.budget = _spent(after.budget, outcome)
                pending = replace(after.pending[-1], outcome=outcome, outcome_at=outcome_at)
                after.pending = (*after.pending[:-1], pending)
                kind = request.scheduled.kind.value
                yield Step(
                    f"{time_label} {kind} request: {outcome.value} at {outcome_at:.2f}", after
                )

    def _outcomes(
        self, request: DiscoveryRequest, now: float, budget: Budget
    ) -> Iterator[tuple[Outcome, float]]:
        """Yield the possible outcomes of a request, each with the time at which it is seen."""
        scenario = self._scenario
        scheduled = request.scheduled
        sent_at = now
        if scheduled.kind is RequestKind.RENEWAL:
            sent_at = max(now, min(now + scheduled.wait_s, scenario.change_at))
        if now >= scenario.answers_from:
            yield Outcome.RESPONSE, sent_at + RESPONSE_DELAY_S
            return
        yield Outcome.RESPONSE, sent_at
        if not budget.failures:
            return
        failures: list[tuple[Outcome, float]] = [
            (Outcome.NO_RESPONSE, now + scheduled.timeout_s),
            (Outcome.PARTIAL, sent_at + STALL_TIMEOUT_S),
            (Outcome.REFUSED, now + IMMEDIATE_REFUSAL_DELAY_S),
            (Outcome.RESET, sent_at + RESET_DELAY_S),
            (Outcome.OUTDATED, sent_at + RESET_DELAY_S),
        ]
        if scheduled.kind is RequestKind.OPENING:
            failures += [(Outcome.REFUSED_LATE, now + waited_s) for waited_s in QUEUE_TIMES_S]
        else:
            failures.append((Outcome.REFUSED, now + scheduled.wait_s / 2))
        for outcome, outcome_at in failures:
            if outcome is Outcome.OUTDATED and request.asks_for_complete_list:
                continue  # a complete list is accepted with any version
            if outcome in scenario.outcomes and outcome_at <= now + scheduled.timeout_s:
                yield outcome, outcome_at

    def _finish_request(
        self, state: DiscoveryState, finished: PendingRequest, now: float, time_label: str
    ) -> Iterator[Step[DiscoveryState]]:
        position = state.pending.index(finished)
        has_draw = finished.outcome not in (
            Outcome.RESPONSE,
            Outcome.NO_RESPONSE,
            Outcome.PARTIAL,
        )
        for draws_maximum in (False, True) if has_draw else (False,):
            after = state.copy()
            after.now = now
            after.random.draws_maximum = draws_maximum
            pending = after.pending[position]
            after.pending = after.pending[:position] + after.pending[position + 1 :]
            self._apply_outcome(after, pending, now)
            label = (
                f"{time_label} {pending.request.scheduled.kind.value} request"
                f" finished: {pending.outcome.value}"
            )
            yield Step(label, after, self._violation(after))

    def _apply_outcome(self, state: DiscoveryState, pending: PendingRequest, now: float) -> None:
        client, request = state.client, pending.request
        if pending.outcome in FAILURES:
            client.on_failure(request, FAILURES[pending.outcome], now)
            return
        has_change = pending.outcome_at >= self._scenario.change_at
        received = self._list_after if has_change else self._list_before
        if pending.outcome is Outcome.OUTDATED:
            received = self._outdated_list
        state.pending = ()
        try:
            to_apply = client.on_response(request, received, now)
        except OutdatedListError:
            client.on_failure(request, Failure.OUTDATED, now)
        else:
            state.applied_version = (
                to_apply.version if to_apply is not None else state.applied_version
            )
            client.on_applied(request, received.version, pending.outcome_at, now)

    # ---- disturbances

    def _disturbances(
        self, state: DiscoveryState, now: float, time_label: str
    ) -> Iterator[Step[DiscoveryState]]:
        """Yield the disturbances that can happen right before the next event."""
        budget = state.budget
        if budget.moves:
            for address in range(len(ADDRESSES)):
                after = state.copy()
                after.now, after.address = now, address
                after.budget = replace(budget, moves=budget.moves - 1)
                if after.client.move(ADDRESSES[address], now):
                    after.pending = ()
                    sent_at = max(now, self._scenario.change_at)
                    after.deadline = min(after.deadline, sent_at + PUSHED_MOVE_BOUND_S)
                change = "same address" if address == state.address else "other address"
                yield Step(f"{time_label} reload: {change}", after)
        if budget.handovers:
            remaining = replace(budget, handovers=budget.handovers - 1)
            after = self._new_process(now, remaining, state.deadline)
            after.client.adopt(state.client.version, state.client.list_age_us(now), now)
            after.client.watch(now)
            after.applied_version = state.applied_version
            yield Step(f"{time_label} hand-over", after)
        if budget.adoptions and now >= self._scenario.change_at:
            after = state.copy()
            after.now, after.applied_version, after.has_adopted = now, VERSION_AFTER, True
            after.budget = replace(budget, adoptions=budget.adoptions - 1)
            after.client.adopt(VERSION_AFTER, 0, now)
            yield Step(f"{time_label} another process of the node has the change", after)
        if budget.restarts:
            # A new process can receive the change only after its start.
            deadline = max(now, self._scenario.change_at) + self._scenario.bound_s
            after = self._new_process(now, replace(budget, restarts=budget.restarts - 1), deadline)
            after.client.version = VERSION_BEFORE
            yield Step(f"{time_label} restart with a saved list", after)

    def _new_process(self, now: float, budget: Budget, deadline: float) -> DiscoveryState:
        random = ExtremeRandom()
        pushed = self._scenario.pushed
        schedule = RefreshSchedule(now, POLL_INTERVAL_US, cast(Random, random), pushed=pushed)
        client = DiscoveryClient(ADDRESSES[0], schedule, pushed=pushed)
        client.watch(now)
        return DiscoveryState(now, client, schedule, random, (), budget, deadline)

    def _violation(self, state: DiscoveryState) -> str:
        deadline = max(state.deadline, self._scenario.answers_from)
        if state.applied_version == VERSION_AFTER:
            self.latest_known_at = max(self.latest_known_at, state.now)
            self.finished += 1
        elif state.has_adopted:
            return "the adopted list is replaced by an older one"
        if state.now > deadline + PAUSE_S:
            return f"the change of {self._scenario.change_at:.2f} is not applied by {deadline:.2f}"
        return ""


def _spent(budget: Budget, outcome: Outcome) -> Budget:
    if outcome is Outcome.RESPONSE:
        return budget
    return replace(budget, failures=budget.failures - 1)


def _ms(time_s: float) -> float:
    return round(time_s * MS_PER_S) if math.isfinite(time_s) else time_s


def _rounded(values: dict[str, object], without: tuple[str, ...]) -> tuple[object, ...]:
    return tuple(
        _ms(value) if isinstance(value, float) else value
        for name, value in sorted(values.items())
        if name not in without
    )
