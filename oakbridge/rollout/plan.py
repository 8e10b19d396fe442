"""Which instances change in which wave: a canary first, then growing shares, spread over zones.  Pure."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass


class PlanError(ValueError):
    """A plan that can't be made; the text says what was expected."""


@dataclass(frozen=True, slots=True, order=True)
class Target:
    """One instance that is to change."""

    agent: str
    instance: str
    zone: str = ""
    base: int = 0  # the generation that it ran when the plan was made
    drained: bool = False  # whether its node was meant to run then

    @property
    def name(self) -> str:
        """``agent/instance``."""
        return f"{self.agent}/{self.instance}"


@dataclass(frozen=True, slots=True)
class WaveOptions:
    """How the whole is cut."""

    canary: int = 1  # instances of the first wave
    shares: tuple[float, ...] = (0.1, 0.5, 1.0)  # of the whole, by the end of each wave after it
    by_zone: bool = False  # never two zones in one wave, but for the canary
    unavailable: int = 1  # instances that may be in change, or not heard of, at one time

    def __post_init__(self) -> None:
        """Refuse impossible values."""
        if self.canary < 0:
            raise PlanError(f"canary: expected a count of 0 or more, got {self.canary}")
        if self.unavailable < 1:
            raise PlanError(f"unavailable: expected a count of 1 or more, got {self.unavailable}")
        grows = all(a < b for a, b in zip(self.shares, self.shares[1:], strict=False))
        if not self.shares or not grows or self.shares[0] <= 0 or self.shares[-1] != 1.0:
            raise PlanError(f"shares: expected growing shares above 0 that end at 1, got {self.shares}")


def interleave(targets: list[Target]) -> list[Target]:
    """In an order in which zones, and within them agents, take turns: any beginning of it is spread as well."""
    zones: dict[str, list[Target]] = defaultdict(list)
    for zone in sorted({t.zone for t in targets}):
        agents: dict[str, list[Target]] = defaultdict(list)
        for target in sorted(t for t in targets if t.zone == zone):
            agents[target.agent].append(target)
        zones[zone] = _in_turn(list(agents.values()))
    return _in_turn(list(zones.values()))


def _in_turn(rows: list[list[Target]]) -> list[Target]:
    longest = max(map(len, rows), default=0)
    return [row[i] for i in range(longest) for row in rows if i < len(row)]


def plan_waves(targets: list[Target], waves: WaveOptions) -> list[list[Target]]:
    """The waves, none of them empty; each target is in exactly one.  Raises :class:`PlanError`."""
    if not targets:
        raise PlanError("expected at least one instance")
    if len({t.name for t in targets}) != len(targets):
        raise PlanError("expected each instance once")
    order = interleave(targets)
    cuts = [min(waves.canary, len(order))]
    cuts += [max(cuts[0], math.ceil(share * len(order))) for share in waves.shares]
    cut: list[list[Target]] = []
    done = 0
    for end in cuts:
        if end > done:
            part = order[done:end]
            first = not cut and waves.canary > 0
            cut += [part] if first or not waves.by_zone else _zones(part)
            done = end
    return cut


def _zones(targets: list[Target]) -> list[list[Target]]:
    return [[t for t in targets if t.zone == zone] for zone in sorted({t.zone for t in targets})]
