"""The capacity of servers and the reachability of sites at each time of a run, by its plan."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass

from oakbridge.lab.history import History
from oakbridge.lab.schedule import Span, Step, StepKind

SECOND_US = 1_000_000
LOSS_KINDS = ("servers down", "cut", "servers slow")
SERVER_STEPS = (StepKind.SERVERS_DOWN, StepKind.SERVERS_UP, StepKind.SERVERS_SPEED)


@dataclass(frozen=True, slots=True)
class SiteLoss:
    """The loss of a whole site according to the plan."""

    site: str
    kind: str
    span: Span
    other: str | None  # of a cut: the other site; None: all other sites


def site_losses(history: History) -> list[SiteLoss]:
    """Return the losses of whole sites in chronological order."""
    return [
        SiteLoss(fault.site, fault.kind, _fault_span(history, fault.at, fault.lasts), fault.other)
        for fault in sorted(history.plan.faults, key=lambda fault: fault.at)
        if fault.site is not None and fault.kind in LOSS_KINDS and fault.share == 1.0
    ]


def _fault_span(history: History, at_us: int, lasts_us: int | None) -> Span:
    end_us = at_us + (lasts_us or history.duration_us)
    return Span(at_us, min(history.duration_us, end_us))


class GroundTruth:
    """Each server's capacity at each time, and which sites can reach each other."""

    def __init__(self, history: History) -> None:
        """``history``: only its plan and its schedule are used."""
        self._plan = history.plan
        self._fleet = history.fleet
        self._losses = site_losses(history)
        plan_sizes = self._plan.servers.sizes
        self.sizes = [plan_sizes[server.number % len(plan_sizes)] for server in self._fleet.servers]
        self._steps: dict[str, list[Step]] = defaultdict(list)
        for step in history.schedule.steps:
            if step.kind in SERVER_STEPS:
                for name in step.names:
                    self._steps[name].append(step)

    def capacity_per_s(self, number: int, at_us: int) -> float:
        """Return the requests per second that a server can serve at a time.

        That is workers / mean time * size * speed * warmth, or 0 while it is down.
        """
        servers = self._plan.servers
        speed, is_up, started_us = 1.0, True, -1
        for step in self._steps.get(self._fleet.servers[number].name, ()):
            if step.at_us > at_us:
                break
            if step.kind is StepKind.SERVERS_SPEED:
                speed = step.speed
            else:
                is_up = step.kind is StepKind.SERVERS_UP
                started_us = step.at_us if is_up else -1
        if not is_up:
            return 0.0
        full_rate_per_s = servers.workers / (servers.time / SECOND_US) * self.sizes[number]
        return full_rate_per_s * speed * self._warmth(started_us, at_us)

    def _warmth(self, started_us: int, at_us: int) -> float:
        """Return the relative speed of a server started at a time; -1: it never stopped."""
        servers = self._plan.servers
        if started_us < 0 or not servers.cold_for:
            return 1.0
        progress = min(1.0, (at_us - started_us) / servers.cold_for)
        return servers.cold + (1 - servers.cold) * progress

    def reachable_groups(self, at_us: int) -> list[frozenset[str]]:
        """Return groups of sites; within a group all can reach each other in both directions."""
        cut = self._cut_pairs(at_us)
        groups: list[set[str]] = []
        for site in self._plan.sites:
            name = site.name
            reachable = next(
                (
                    candidate
                    for candidate in groups
                    if all((name, other) not in cut for other in candidate)
                ),
                None,
            )
            if reachable is None:
                groups.append({name})
            else:
                reachable.add(name)
        return [frozenset(group) for group in groups]

    def _cut_pairs(self, at_us: int) -> set[tuple[str, str]]:
        pairs: set[tuple[str, str]] = set()
        for loss in self._losses:
            if loss.kind != "cut" or not loss.span.begin_us <= at_us < loss.span.end_us:
                continue
            for site in self._plan.sites:
                if site.name != loss.site and loss.other in (None, site.name):
                    pairs |= {(loss.site, site.name), (site.name, loss.site)}
        return pairs

    def max_served_weight(self, second: int, offered: Counter[tuple[str, int]]) -> float:
        """Return the priority weight that can be served in a second, heaviest classes first.

        ``offered``: number of requests in that second by site and class.
        """
        at_us = second * SECOND_US + SECOND_US // 2
        weights = [table.worth for table in self._plan.classes]
        by_weight = sorted(range(len(weights)), key=lambda number: -weights[number])
        total = 0.0
        for group in self.reachable_groups(at_us):
            capacity = sum(
                self.capacity_per_s(server.number, at_us)
                for server in self._fleet.servers
                if server.site in group
            )
            for number in by_weight:
                arrived = sum(
                    count
                    for (site, class_number), count in offered.items()
                    if class_number == number and site in group
                )
                served = min(capacity, arrived)
                capacity -= served
                total += served * weights[number]
        return total
