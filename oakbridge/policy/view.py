"""What a balancer believes at a moment, for those who look from outside.  It decides nothing."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice

from oakbridge.policy.balancer import Balancer
from oakbridge.policy.records import Server

SECOND_US = 1e6


@dataclass(frozen=True, slots=True)
class ServerView:
    """What one copy knows of one server; times in seconds."""

    name: str
    state: str  # up, cold, ejected, drains (may not be sent to, and has calls out)
    zone: str
    address: str
    subset: bool
    out: int
    ejected_for: float
    warmth: float
    slowness: float
    cap: float | None  # own calls that it takes, once it has turned one away
    since_version: int


@dataclass(frozen=True, slots=True)
class BalancerView:
    """What one copy knows as a whole."""

    list_version: int
    servers: int
    subset: int
    ejected: int
    out: int
    limit: float
    waiting: int
    open_requests: int
    retries_left: float
    attempts_per_s: float
    fail_rate: float
    rows: list[ServerView]


def _row(balancer: Balancer, server: Server, now: int) -> ServerView:
    warmth = balancer.slow_start.capacity_share(server, now)
    ejected_for = max(0, server.ejected_until - now) / SECOND_US
    if server.partition is None:
        state = "drains"
    elif ejected_for:
        state = "ejected"
    else:
        state = "cold" if warmth < 1 else "up"
    limited = server.max_in_flight < math.inf
    return ServerView(
        name=server.id,
        state=state,
        zone=server.zone,
        address=server.address,
        subset=server.partition is balancer.members.subset,
        out=len(server.in_flight),
        ejected_for=round(ejected_for, 3),
        warmth=round(warmth, 3),
        slowness=round(balancer.selection.slowness(server, now), 3),
        cap=round(server.max_in_flight, 1) if limited else None,
        since_version=server.listed_since,
    )


def _per_second(balancer: Balancer, now: int) -> float:
    """Return the attempts a second in the budget's window."""
    window = balancer.budget.window
    window.advance(now)
    elapsed = now / SECOND_US - window.slots[0].second
    return (window.first + window.further) / max(1.0, elapsed)


def brief(balancer: Balancer, now: int, max_ejected: int = 8) -> tuple[int, int, tuple[str, ...]]:
    """Return what peers are told: attempts in flight, the subset's size, some ejected servers."""
    ejected = (s.id for s in balancer.servers.values() if s.ejected_until > now)
    return (
        balancer.admission.in_flight,
        len(balancer.members.subset),
        tuple(islice(ejected, max_ejected)),
    )


def view(balancer: Balancer, now: int, max_rows: int = 200) -> BalancerView:
    """Return the state now, with rows of the servers that have most to tell."""
    subset = balancer.members.subset

    def rank(server: Server) -> tuple[bool, int, bool, str]:
        idle = server.ejected_until <= now
        return idle, -len(server.in_flight), server.partition is not subset, server.id

    shown = heapq.nsmallest(max_rows, balancer.endpoints.known.values(), key=rank)
    return BalancerView(
        list_version=balancer.members.version,
        servers=len(balancer.servers),
        subset=len(subset),
        ejected=sum(server.ejected_until > now for server in balancer.servers.values()),
        out=balancer.admission.in_flight,
        limit=round(balancer.admission.limit, 1),
        waiting=balancer.admission.waiting.count,
        open_requests=len(balancer.requests),
        retries_left=round(balancer.budget.left(now), 2),
        attempts_per_s=round(_per_second(balancer, now), 1),
        fail_rate=round(balancer.outliers.recent_failure_rate, 4),
        rows=sorted((_row(balancer, server, now) for server in shown), key=lambda row: row.name),
    )


def listed(balancer: Balancer, names: Iterable[str] | None = None) -> dict[str, tuple[str, float]]:
    """Return zone and size of servers that may be sent to, without what plans make of the size.

    ``names``: only of these.
    """
    servers, subset = balancer.servers, balancer.subset
    sizes: dict[str, tuple[str, float]] = {}
    for server in servers.values() if names is None else [servers[n] for n in names if n in servers]:
        size = server.weight / subset.zone_weights.get(server.zone, 1.0)
        size /= subset.assignment.get(server.id, 1.0)
        sizes[server.id] = server.zone, round(size, 6)
    return sizes


@dataclass(frozen=True, slots=True)
class ZoneView:
    """How the servers of one zone that were met lately ended their last attempt."""

    zone: str
    listed: int
    good: int
    mute: int  # silence
    dead: int  # refused, broken off, or answered as failed


def zones(balancer: Balancer, now: int, window: int) -> list[ZoneView]:
    """Return all listed zones; ``window``: microseconds that a meeting counts for."""
    found: list[ZoneView] = []
    since = now - window
    for zone, servers in sorted(balancer.members.by_zone.items()):
        good = mute = dead = 0
        for server in servers.values():
            failed = server.failed_at > server.answered_at and server.failed_at >= since
            good += not failed and server.answered_at >= since
            mute += failed and server.failed_silently
            dead += failed and not server.failed_silently
        found.append(ZoneView(zone, len(servers), good, mute, dead))
    return found
