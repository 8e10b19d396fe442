"""A node's client of discovery, with all that can become of its calls around one change.

Discovery has a change at one instant, and from another on answers every new call soon.  Before
that it does anything to them: answers in full, in half or never, refuses at once or after a time in
its queue, ends the connection, has versions that begin anew.  Meanwhile reloads move it, the
process is held up, hands over to another one, or is restarted with the list that it saved.  How
often each of these is possible is bounded, and so is the number of calls that fail.

Random draws take their least and their greatest value.  Times are seconds; the list is up to date
at 0, and its watch is about to be renewed.
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

ANSWER_S = 0.3  # of discovery that answers, with some callers before
HOLD_UP_S = 0.15  # in which a process does not run
STALL_S = 0.55  # from half an answer until it is given up
REFUSED_AT_ONCE_S = 0.02
QUEUE_TIMES_S = (1.0, 2.0)  # after which discovery refuses calls that stood in its queue
PUSHED_MOVE_BOUND_S = 4.0  # where lists are pushed, since the reload that moves discovery
RESET_S = 0.1
VERSION_BEFORE, VERSION_AFTER = 1, 2
POLL_INTERVAL_US = 10_000_000
ADDRESSES: tuple[Address, ...] = (("127.0.0.1", 1), ("127.0.0.1", 2))
MS_PER_S = 1000


class Outcome(Enum):
    """What becomes of a call."""

    ANSWERED = "answered"
    LOST = "never answered"
    HALF = "answered in half"
    REFUSED = "refused at once"
    REFUSED_LATE = "refused after a time"
    RESET = "its connection is reset"
    OUTDATED = "answered with versions that begin anew"


FAILURES = {
    Outcome.LOST: Failure.TIMED_OUT,
    Outcome.HALF: Failure.TIMED_OUT,
    Outcome.REFUSED: Failure.REFUSED,
    Outcome.REFUSED_LATE: Failure.REFUSED,
    Outcome.RESET: Failure.NETWORK,
}


@dataclass(frozen=True, slots=True)
class Budget:
    """How often each kind of trouble may still happen."""

    failures: int
    moves: int = 0
    hold_ups: int = 0
    handovers: int = 0
    restarts: int = 0
    adoptions: int = 0  # of the list with the change, which another process has read


@dataclass(frozen=True, slots=True)
class Scenario:
    """When the change is, until when calls may fail, and what must hold."""

    budget: Budget
    change_at: float = 0.0
    answers_from: float = 2.9
    bound_s: float = MAX_LIST_AGE_S  # since the change, and since answers came
    pushed: bool = False
    outcomes: frozenset[Outcome] = frozenset(Outcome)


@dataclass(frozen=True, slots=True)
class OpenCall:
    """A call that is out, and what becomes of it when."""

    request: DiscoveryRequest
    outcome: Outcome
    ends_at: float


class Extreme:
    """Draws the least or the greatest value that can be drawn."""

    def __init__(self) -> None:
        self.is_greatest = False

    def uniform(self, least: float, greatest: float) -> float:
        """Return an end of the range."""
        return greatest if self.is_greatest else least


@dataclass(slots=True)
class DiscoveryState:
    """The client, its calls, the time, and what trouble is left."""

    now: float
    client: DiscoveryClient
    schedule: RefreshSchedule
    draws: Extreme
    calls: tuple[OpenCall, ...]
    budget: Budget
    due: float  # when the change has to be known
    address: int = 0
    in_use: int = VERSION_BEFORE  # the version by which requests are sent
    has_adopted: bool = False

    def copy(self) -> DiscoveryState:
        """Return a copy that can go on by itself."""
        return cast(DiscoveryState, pickle.loads(pickle.dumps(self, pickle.HIGHEST_PROTOCOL)))

    def next_at(self) -> float:
        """Return when something happens by itself."""
        ends = [call.ends_at for call in self.calls]
        return max(self.now, min([*ends, self.client.next_request_at()]))


class DiscoveryModel:
    """All courses of a scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._change = EndpointList(VERSION_AFTER, True, [])
        self._list_before = EndpointList(VERSION_BEFORE, True, [])
        self._outdated = EndpointList(VERSION_BEFORE - 1, False, [])
        self.latest_known_at = 0.0  # of all courses that have ended
        self.ended = 0

    # ---- the model

    def initial(self) -> DiscoveryState:
        """Return a client whose list has just come, and whose watch is about to be renewed."""
        scenario = self._scenario
        state = self._new_process(0.0, scenario.budget, scenario.change_at + scenario.bound_s)
        request = state.client.begin_request(0.0)
        state.client.on_applied(request, VERSION_BEFORE, 0.0, 0.0)
        return state

    def key(self, state: DiscoveryState) -> Hashable:
        """Return all that the future depends on."""
        schedule = _rounded(
            vars(state.schedule), without=("_random", "_open_requests", "_timeouts")
        )
        client = _rounded(
            vars(state.client), without=("_schedule", "_last_failure", "_last_failure_at")
        )
        calls = tuple(
            (
                call.request.scheduled.kind,
                _ms(call.request.scheduled.started_at),
                call.request.address,
                call.request.since,
                call.outcome,
                _ms(call.ends_at),
            )
            for call in state.calls
        )
        rest = state.budget, _ms(state.due), state.in_use, state.has_adopted
        return _ms(state.now), schedule, client, calls, rest

    def steps(self, state: DiscoveryState) -> Iterator[Step[DiscoveryState]]:
        """Yield everything that can happen next."""
        if state.in_use == VERSION_AFTER and not (state.has_adopted and state.calls):
            return
        now = state.next_at()
        yield from self._steps_at(state, now, f"{now:.2f}")
        if state.budget.hold_ups:
            late = state.copy()
            late.budget = replace(late.budget, hold_ups=late.budget.hold_ups - 1)
            at = now + HOLD_UP_S
            yield from self._steps_at(late, at, f"{at:.2f} held up since {now:.2f},")

    def _steps_at(
        self, state: DiscoveryState, now: float, at: str
    ) -> Iterator[Step[DiscoveryState]]:
        if now < self._scenario.answers_from:
            yield from self._trouble(state, now, at)
        yield from self._next(state, now, at)

    def _next(self, state: DiscoveryState, now: float, at: str) -> Iterator[Step[DiscoveryState]]:
        """Yield what happens by itself next: a call ends, or begins."""
        ending = min(state.calls, key=lambda call: call.ends_at, default=None)
        if ending is not None and ending.ends_at <= min(now, state.client.next_request_at()):
            yield from self._end(state, ending, now, at)
        else:
            yield from self._begin(state, now, at)

    # ---- calls

    def _begin(self, state: DiscoveryState, now: float, at: str) -> Iterator[Step[DiscoveryState]]:
        for is_greatest in (False, True):
            begun = state.copy()
            begun.now = now
            begun.draws.is_greatest = is_greatest
            request = begun.client.begin_request(now)
            begun.calls = (*begun.calls, OpenCall(request, Outcome.ANSWERED, now))
            for outcome, ends_at in self._outcomes(request, now, begun.budget):
                after = begun.copy()
                after.budget = _spent(after.budget, outcome)
                call = replace(after.calls[-1], outcome=outcome, ends_at=ends_at)
                after.calls = (*after.calls[:-1], call)
                kind = request.scheduled.kind.value
                yield Step(f"{at} {kind} call: {outcome.value} at {ends_at:.2f}", after)

    def _outcomes(
        self, request: DiscoveryRequest, now: float, budget: Budget
    ) -> Iterator[tuple[Outcome, float]]:
        """Yield what may become of a call, and when its end is seen."""
        scenario = self._scenario
        call = request.scheduled
        told_at = now
        if call.kind is RequestKind.RENEWAL:
            told_at = max(now, min(now + call.wait_s, scenario.change_at))
        if now >= scenario.answers_from:
            yield Outcome.ANSWERED, told_at + ANSWER_S
            return
        yield Outcome.ANSWERED, told_at
        if not budget.failures:
            return
        ends: list[tuple[Outcome, float]] = [
            (Outcome.LOST, now + call.timeout_s),
            (Outcome.HALF, told_at + STALL_S),
            (Outcome.REFUSED, now + REFUSED_AT_ONCE_S),
            (Outcome.RESET, told_at + RESET_S),
            (Outcome.OUTDATED, told_at + RESET_S),
        ]
        if call.kind is RequestKind.OPENING:
            ends += [(Outcome.REFUSED_LATE, now + waited_s) for waited_s in QUEUE_TIMES_S]
        else:
            ends.append((Outcome.REFUSED, now + call.wait_s / 2))
        for outcome, ends_at in ends:
            if outcome is Outcome.OUTDATED and request.asks_for_complete_list:
                continue  # it is told the complete list, of whichever version
            if outcome in scenario.outcomes and ends_at <= now + call.timeout_s:
                yield outcome, ends_at

    def _end(
        self, state: DiscoveryState, ending: OpenCall, now: float, at: str
    ) -> Iterator[Step[DiscoveryState]]:
        position = state.calls.index(ending)
        has_draw = ending.outcome not in (Outcome.ANSWERED, Outcome.LOST, Outcome.HALF)
        for is_greatest in (False, True) if has_draw else (False,):
            after = state.copy()
            after.now = now
            after.draws.is_greatest = is_greatest
            call = after.calls[position]
            after.calls = after.calls[:position] + after.calls[position + 1 :]
            self._finish(after, call, now)
            label = f"{at} {call.request.scheduled.kind.value} call {call.outcome.value}"
            yield Step(label, after, self._violation(after))

    def _finish(self, state: DiscoveryState, call: OpenCall, now: float) -> None:
        client, request = state.client, call.request
        if call.outcome in FAILURES:
            client.on_failure(request, FAILURES[call.outcome], now)
            return
        has_change = call.ends_at >= self._scenario.change_at
        new = self._change if has_change else self._list_before
        if call.outcome is Outcome.OUTDATED:
            new = self._outdated
        state.calls = ()
        try:
            to_apply = client.on_response(request, new, now)
        except OutdatedListError:
            client.on_failure(request, Failure.OUTDATED, now)
        else:
            state.in_use = to_apply.version if to_apply is not None else state.in_use
            client.on_applied(request, new.version, call.ends_at, now)

    # ---- what else can happen

    def _trouble(
        self, state: DiscoveryState, now: float, at: str
    ) -> Iterator[Step[DiscoveryState]]:
        """Yield what others do to the process right before the next thing happens by itself."""
        budget = state.budget
        if budget.moves:
            for address in range(len(ADDRESSES)):
                after = state.copy()
                after.now, after.address = now, address
                after.budget = replace(budget, moves=budget.moves - 1)
                if after.client.move(ADDRESSES[address], now):
                    after.calls = ()
                    told_at = max(now, self._scenario.change_at)
                    after.due = min(after.due, told_at + PUSHED_MOVE_BOUND_S)
                where = "the same address" if address == state.address else "another address"
                yield Step(f"{at} reload: {where}", after)
        if budget.handovers:
            spent = replace(budget, handovers=budget.handovers - 1)
            after = self._new_process(now, spent, state.due)
            after.client.adopt(state.client.version, state.client.list_age_us(now), now)
            after.client.watch(now)
            after.in_use = state.in_use
            yield Step(f"{at} hand-over", after)
        if budget.adoptions and now >= self._scenario.change_at:
            after = state.copy()
            after.now, after.in_use, after.has_adopted = now, VERSION_AFTER, True
            after.budget = replace(budget, adoptions=budget.adoptions - 1)
            after.client.adopt(VERSION_AFTER, 0, now)
            yield Step(f"{at} another process of the node has the change", after)
        if budget.restarts:
            # A process that starts is told a change only after that.
            due = max(now, self._scenario.change_at) + self._scenario.bound_s
            after = self._new_process(now, replace(budget, restarts=budget.restarts - 1), due)
            after.client.version = VERSION_BEFORE
            yield Step(f"{at} restart with a saved list", after)

    def _new_process(self, now: float, budget: Budget, due: float) -> DiscoveryState:
        draws = Extreme()
        pushed = self._scenario.pushed
        schedule = RefreshSchedule(now, POLL_INTERVAL_US, cast(Random, draws), pushed=pushed)
        client = DiscoveryClient(ADDRESSES[0], schedule, pushed=pushed)
        client.watch(now)
        return DiscoveryState(now, client, schedule, draws, (), budget, due)

    def _violation(self, state: DiscoveryState) -> str:
        due = max(state.due, self._scenario.answers_from)
        if state.in_use == VERSION_AFTER:
            self.latest_known_at = max(self.latest_known_at, state.now)
            self.ended += 1
        elif state.has_adopted:
            return "a list that was known is replaced by an older one"
        if state.now > due + HOLD_UP_S:
            return f"the change of {self._scenario.change_at:.2f} is not known by {due:.2f}"
        return ""


def _spent(budget: Budget, outcome: Outcome) -> Budget:
    if outcome is Outcome.ANSWERED:
        return budget
    return replace(budget, failures=budget.failures - 1)


def _ms(at: float) -> float:
    return round(at * MS_PER_S) if math.isfinite(at) else at


def _rounded(values: dict[str, object], without: tuple[str, ...]) -> tuple[object, ...]:
    return tuple(
        _ms(value) if isinstance(value, float) else value
        for name, value in sorted(values.items())
        if name not in without
    )
