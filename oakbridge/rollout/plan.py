"""Which instances change in which wave: a canary, then growing shares over all zones.  Pure."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import pairwise


class PlanError(ValueError):
    """The waves cannot be planned; ``field`` is the option at fault, or "" for the targets."""

    def __init__(self, problem: str, field: str = "") -> None:
        super().__init__(f"{field}: {problem}" if field else problem)
        self.problem, self.field = problem, field


@dataclass(frozen=True, slots=True, order=True)
class Target:
    """One instance that is to change."""

    agent: str
    instance: str
    zone: str = ""
    base_generation: int = 0  # the generation that it ran when the plan was made
    is_drained: bool = False  # whether it was drained then, so that its node was not to run

    @property
    def name(self) -> str:
        """``agent/instance``."""
        return f"{self.agent}/{self.instance}"


Wave = tuple[Target, ...]


@dataclass(frozen=True, slots=True)
class WaveOptions:
    """How the targets are divided into waves."""

    canary: int = 1  # instances of the first wave
    shares: tuple[float, ...] = (0.1, 0.5, 1.0)  # of all targets, by the end of each later wave
    by_zone: bool = False  # whether a wave, other than the canary, is of a single zone
    max_unavailable: int = 1  # instances that may be in change, or silent, at one time

    def __post_init__(self) -> None:
        """Raise :class:`PlanError` for a value out of range."""
        if self.canary < 0:
            raise PlanError(f"expected a count of 0 or more, got {self.canary}", "canary")
        if self.max_unavailable < 1:
            raise PlanError(
                f"expected a count of 1 or more, got {self.max_unavailable}", "unavailable"
            )
        grows = all(earlier < later for earlier, later in pairwise(self.shares))
        if not self.shares or not grows or self.shares[0] <= 0 or self.shares[-1] != 1.0:
            raise PlanError(
                f"expected growing shares above 0 that end at 1, got {self.shares}", "shares"
            )


def interleave(targets: Sequence[Target]) -> list[Target]:
    """Return the targets so that zones, and within them agents, alternate.

    Any first part of the result is then spread over zones and agents as evenly as the whole.
    """
    zones: list[list[Target]] = []
    for zone in sorted({target.zone for target in targets}):
        agents: dict[str, list[Target]] = defaultdict(list)
        for target in sorted(target for target in targets if target.zone == zone):
            agents[target.agent].append(target)
        zones.append(_round_robin(list(agents.values())))
    return _round_robin(zones)


def plan_waves(targets: Sequence[Target], options: WaveOptions) -> tuple[Wave, ...]:
    """Return the waves, none of them empty; each target is in exactly one.

    Raise :class:`PlanError` without targets, or if one is listed twice.
    """
    if not targets:
        raise PlanError("expected at least one instance")
    if len({target.name for target in targets}) != len(targets):
        raise PlanError("expected each instance once")
    order = interleave(targets)
    waves: list[Wave] = []
    planned = 0
    for end in _wave_ends(len(order), options):
        if end <= planned:
            continue
        part = tuple(order[planned:end])
        is_canary = not waves and options.canary > 0
        waves += [part] if is_canary or not options.by_zone else _divide_by_zone(part)
        planned = end
    return tuple(waves)


def _wave_ends(count: int, options: WaveOptions) -> list[int]:
    """Return how many targets are planned by the end of each wave."""
    canary = min(options.canary, count)
    return [canary, *(max(canary, math.ceil(share * count)) for share in options.shares)]


def _round_robin(rows: Sequence[Sequence[Target]]) -> list[Target]:
    longest = max(map(len, rows), default=0)
    return [row[i] for i in range(longest) for row in rows if i < len(row)]


def _divide_by_zone(targets: Sequence[Target]) -> list[Wave]:
    zones = sorted({target.zone for target in targets})
    return [tuple(target for target in targets if target.zone == zone) for zone in zones]
