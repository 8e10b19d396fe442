"""Latency, errors, hangs and queue limit of a stand-in server, drawn from a seed.  No I/O."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Behaviour:
    """Parameters of a stand-in server."""

    latency: float = 0.02  # median, in seconds
    spread: float = 0.3  # standard deviation of the latency's logarithm
    errors: float = 0.0  # fraction of requests that get a 500 response
    hangs: float = 0.0  # fraction of requests that never get a response
    slots: int = 64  # requests that are processed at once
    queue: int = 64  # requests that wait for a slot; further ones are rejected unprocessed

    def __post_init__(self) -> None:
        """Check the values.  Raises ValueError."""
        for name in ("errors", "hangs"):
            if not 0 <= getattr(self, name) <= 1:
                raise ValueError(
                    f"{name}: expected a fraction from 0 to 1, got {getattr(self, name)!r}"
                )
        if self.latency <= 0 or self.spread < 0 or self.slots < 1 or self.queue < 0:
            raise ValueError(
                "behaviour: expected latency above 0, spread of 0 or more, at least one slot and "
                f"queue of 0 or more, got {self}"
            )


@dataclass(frozen=True, slots=True)
class Work:
    """One request's processing time in a slot, and the status of its response; 0: no response."""

    duration_s: float
    status: int


class ServerLoad:
    """Counts requests in the slots and in the queue of one stand-in, and draws their work."""

    def __init__(self, behaviour: Behaviour, seed: int) -> None:
        self.behaviour = behaviour
        self._random = random.Random(seed)
        self.active = 0
        self.waiting = 0
        self.draining = False

    def accept_request(self) -> Work | None:
        """Draw the work of a new request; return None if the request is rejected unprocessed.

        An accepted request has to wait for a slot if :attr:`is_full`.
        """
        if self.draining or (self.is_full and self.waiting >= self.behaviour.queue):
            return None
        behaviour, draw = self.behaviour, self._random.random()
        duration_s = behaviour.latency * math.exp(self._random.gauss(0, behaviour.spread))
        status = (
            0
            if draw < behaviour.hangs
            else 500
            if draw < behaviour.hangs + behaviour.errors
            else 200
        )
        return Work(duration_s, status)

    @property
    def is_full(self) -> bool:
        """Whether a new request has to wait for a slot."""
        return self.active >= self.behaviour.slots
