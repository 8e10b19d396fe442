"""How a stand-in server treats each request: latency, errors, hangs, queue; by a seed, without any I/O."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Behaviour:
    """What a stand-in does; times in seconds."""

    latency: float = 0.02  # median
    spread: float = 0.3  # of the latency's logarithm
    errors: float = 0.0  # share answered 500
    hangs: float = 0.0  # share never answered
    slots: int = 64  # requests in work at once
    queue: int = 64  # and that wait; more are turned away unseen

    def __post_init__(self) -> None:
        """Refuse impossible values."""
        for name in ("errors", "hangs"):
            if not 0 <= getattr(self, name) <= 1:
                raise ValueError(
                    f"{name}: expected a share from 0 to 1, got {getattr(self, name)!r}"
                )
        if self.latency <= 0 or self.spread < 0 or self.slots < 1 or self.queue < 0:
            raise ValueError(
                f"expected a latency above 0, a spread of 0 or more and at least one slot: {self}"
            )


@dataclass(frozen=True, slots=True)
class Work:
    """One request's fate: after ``takes`` seconds in a slot it ends with ``status``; 0 is no answer at all."""

    takes: float
    status: int


class Desk:
    """The slots and the queue of one stand-in."""

    def __init__(self, behaviour: Behaviour, seed: int) -> None:
        self.behaviour = behaviour
        self._random = random.Random(seed)
        self.busy = 0
        self.waiting = 0
        self.draining = False

    def come(self) -> Work | None:
        """Take a request in; return its outcome, or None if it is rejected unseen.  Waits if :meth:`full`."""
        if self.draining or (self.full and self.waiting >= self.behaviour.queue):
            return None
        b, draw = self.behaviour, self._random.random()
        takes = b.latency * math.exp(self._random.gauss(0, b.spread))
        status = 0 if draw < b.hangs else 500 if draw < b.hangs + b.errors else 200
        return Work(takes, status)

    @property
    def full(self) -> bool:
        """Whether a request that comes has to wait for a slot."""
        return self.busy >= self.behaviour.slots
