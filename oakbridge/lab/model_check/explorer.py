"""Breadth-first search over the states of a model, each visited once.

The search takes every transition of every state, so that within the model's bounds no order of
events is left out; the first violation found has the fewest steps.

Source of the method: G. Holzmann, "The Model Checker SPIN", 1997; no reduction is used but that
equal states are visited once.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

State = TypeVar("State")


@dataclass(frozen=True, slots=True)
class Step(Generic[State]):
    """One thing that can happen, the state after it, and what is wrong with that ("" if nothing)."""

    label: str
    state: State
    violation: str = ""


class Model(Protocol[State]):
    """What is explored."""

    def initial(self) -> State:
        """Return the state to begin with."""

    def steps(self, state: State) -> Iterable[Step[State]]:
        """Return everything that can happen next; nothing where the course has ended."""

    def key(self, state: State) -> Hashable:
        """Return what tells a state from all others that go on differently."""


@dataclass(slots=True)
class Exploration:
    """What a search has found."""

    states: int = 0
    transitions: int = 0
    seconds: float = 0.0
    is_complete: bool = True  # every state within the bounds was visited
    violation: str = ""
    trace: list[str] = field(default_factory=list)  # the shortest one to the violation

    @property
    def states_per_s(self) -> float:
        """How many states were visited a second."""
        return self.states / self.seconds if self.seconds else 0.0


def explore(model: Model[State], max_states: int) -> Exploration:
    """Search until a violation is found, all states are visited, or there are too many."""
    found = Exploration()
    begun_at = time.perf_counter()
    first = model.initial()
    origins: dict[Hashable, tuple[Hashable, str] | None] = {model.key(first): None}
    frontier = deque([first])
    while frontier and not found.violation:
        state = frontier.popleft()
        key = model.key(state)
        for step in model.steps(state):
            found.transitions += 1
            if step.violation:
                found.violation = step.violation
                found.trace = [*_trace_to(key, origins), step.label]
                break
            key_after = model.key(step.state)
            if key_after in origins:
                continue
            origins[key_after] = (key, step.label)
            frontier.append(step.state)
        if len(origins) > max_states:
            found.is_complete = False
            break
    found.states = len(origins)
    found.seconds = time.perf_counter() - begun_at
    return found


def _trace_to(key: Hashable, origins: dict[Hashable, tuple[Hashable, str] | None]) -> list[str]:
    labels: list[str] = []
    while (origin := origins[key]) is not None:
        key, label = origin
        labels.append(label)
    return labels[::-1]
