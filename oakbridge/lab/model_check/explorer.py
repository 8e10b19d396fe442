"""Breadth-first search over the states of a model.

The search takes every transition of every state, and so covers every order of events within the
model's bounds.  The first violation found has the fewest steps.

The method is that of G. Holzmann, "The Model Checker SPIN", 1997, without its reductions: equal
states are visited once.
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
    """A transition, the state after it, and the violation in that state; "": none."""

    label: str
    state: State
    violation: str = ""


class Model(Protocol[State]):
    """A model whose states can be searched."""

    def initial(self) -> State:
        """Return the initial state."""

    def steps(self, state: State) -> Iterable[Step[State]]:
        """Return all transitions from a state; none if the state is final."""

    def key(self, state: State) -> Hashable:
        """Return a key that is equal only for states with the same possible futures."""


@dataclass(slots=True)
class Exploration:
    """The result of a search."""

    states: int = 0
    transitions: int = 0
    seconds: float = 0.0
    is_complete: bool = True  # every state was visited, or a violation was found
    violation: str = ""
    trace: list[str] = field(default_factory=list)  # labels of the shortest path to the violation

    @property
    def states_per_s(self) -> float:
        """Visited states per second; 0 if no time was measured."""
        return self.states / self.seconds if self.seconds else 0.0


def explore(model: Model[State], max_states: int) -> Exploration:
    """Search until a violation is found, all states are visited, or ``max_states`` is exceeded."""
    found = Exploration()
    started_s = time.perf_counter()
    initial = model.initial()
    origins: dict[Hashable, tuple[Hashable, str] | None] = {model.key(initial): None}
    frontier = deque([initial])
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
    found.seconds = time.perf_counter() - started_s
    return found


def _trace_to(key: Hashable, origins: dict[Hashable, tuple[Hashable, str] | None]) -> list[str]:
    labels: list[str] = []
    while (origin := origins[key]) is not None:
        key, label = origin
        labels.append(label)
    return labels[::-1]
