"""Plans the waves of a rollout: a canary, then growing fractions of all instances.  Pure."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import pairwise


class PlanError(ValueError):
    """The waves cannot be planned; ``field`` is the invalid option, or "" for the targets."""

    def __init__(self, problem: str, field: str = "") -> None:
        super().__init__(f"{field}: {problem}" if field else problem)
        self.problem, self.field = problem, field


@dataclass(frozen=True, slots=True, order=True)
class Target:
    """One instance that is to change."""

    agent: str
    instance: str
    zone: str = ""
    base_generation: int = 0  # the generation that ran at planning; 0: none
    is_drained: bool = False  # drained at planning, so that its node did not run

    @property
    def name(self) -> str:
        """``agent/instance``."""
        return f"{self.agent}/{self.instance}"


Wave = tuple[Target, ...]


@dataclass(frozen=True, slots=True)
class WaveOptions:
    """How the targets are divided into waves."""

    canary: int = 1  # number of instances of the first wave; 0: no canary
    # Fractions of all targets that are planned by the end of each wave after the canary.
    shares: tuple[float, ...] = (0.1, 0.5, 1.0)
    by_zone: bool = False  # whether each wave but the canary has a single zone
    max_unavailable: int = 1  # instances in progress or unknown at one time

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
    """Return the targets in an order in which zones, and within them agents, alternate.

    Each prefix of the result is then spread over zones and agents as evenly as the whole.
    """
    zones: list[list[Target]] = []
    for zone in sorted({target.zone for target in targets}):
        agents: dict[str, list[Target]] = defaultdict(list)
        for target in sorted(target for target in targets if target.zone == zone):
            agents[target.agent].append(target)
        zones.append(_round_robin(list(agents.values())))
    return _round_robin(zones)


def plan_waves(targets: Sequence[Target], options: WaveOptions) -> tuple[Wave, ...]:
    """Return the waves, none of them empty; each target is in exactly one wave.

    Raise :class:`PlanError` if there are no targets or two of the same name.
    """
    if not targets:
        raise PlanError("expected at least one instance")
    if len({target.name for target in targets}) != len(targets):
        raise PlanError("expected each instance once")
    ordered = interleave(targets)
    waves: list[Wave] = []
    planned = 0
    for end in _wave_ends(len(ordered), options):
        if end <= planned:
            continue
        wave = tuple(ordered[planned:end])
        is_canary = not waves and options.canary > 0
        waves += [wave] if is_canary or not options.by_zone else _divide_by_zone(wave)
        planned = end
    return tuple(waves)


def _wave_ends(count: int, options: WaveOptions) -> list[int]:
    """Return the number of targets in each wave and all waves before it."""
    canary = min(options.canary, count)
    return [canary, *(max(canary, math.ceil(share * count)) for share in options.shares)]


def _round_robin(rows: Sequence[Sequence[Target]]) -> list[Target]:
    longest = max(map(len, rows), default=0)
    return [row[i] for i in range(longest) for row in rows if i < len(row)]


def _divide_by_zone(targets: Sequence[Target]) -> list[Wave]:
    zones = sorted({target.zone for target in targets})
    return [tuple(target for target in targets if target.zone == zone) for zone in zones]
