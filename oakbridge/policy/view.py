"""Read-only views of a balancer's state, for status reports, peers and site plans."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice

from oakbridge.policy.balancer import Balancer
from oakbridge.policy.records import Server

US_PER_S = 1e6


@dataclass(frozen=True, slots=True)
class ServerView:
    """One replica's view of one server; times in seconds."""

    name: str
    state: str  # up, cold, ejected or drains (unlisted, with attempts in flight)
    zone: str
    address: str
    is_in_subset: bool
    in_flight: int
    ejected_for_s: float
    capacity_share: float  # below 1 in slow start
    slowness: float
    max_in_flight: float | None  # limit of own attempts after it has rejected one
    since_version: int  # list version since which it has been listed continuously


@dataclass(frozen=True, slots=True)
class BalancerView:
    """One replica's view of itself and its servers."""

    list_version: int
    servers: int
    subset_size: int
    ejected: int
    in_flight: int
    limit: float
    waiting: int
    open_requests: int
    retries_left: float
    attempts_per_s: float
    failure_rate: float
    rows: list[ServerView]


def _server_view(balancer: Balancer, server: Server, now: int) -> ServerView:
    capacity_share = balancer.slow_start.capacity_share(server, now)
    ejected_for_s = max(0, server.ejected_until - now) / US_PER_S
    if server.partition is None:
        state = "drains"
    elif ejected_for_s:
        state = "ejected"
    else:
        state = "cold" if capacity_share < 1 else "up"
    is_limited = server.max_in_flight < math.inf
    return ServerView(
        name=server.id,
        state=state,
        zone=server.zone,
        address=server.address,
        is_in_subset=server.partition is balancer.members.subset,
        in_flight=len(server.in_flight),
        ejected_for_s=round(ejected_for_s, 3),
        capacity_share=round(capacity_share, 3),
        slowness=round(balancer.selection.slowness(server, now), 3),
        max_in_flight=round(server.max_in_flight, 1) if is_limited else None,
        since_version=server.listed_since,
    )


def _per_second(balancer: Balancer, now: int) -> float:
    """Return the attempts per second in the window of the retry budget."""
    window = balancer.budget.window
    window.advance(now)
    elapsed = now / US_PER_S - window.slots[0].second
    return (window.first + window.further) / max(1.0, elapsed)


def load_summary(
    balancer: Balancer, now: int, max_ejected: int = 8
) -> tuple[int, int, tuple[str, ...]]:
    """Return the attempts in flight, the subset's size and some ejected servers, for peers."""
    ejected = (server.id for server in balancer.servers.values() if server.ejected_until > now)
    return (
        balancer.admission.in_flight,
        len(balancer.members.subset),
        tuple(islice(ejected, max_ejected)),
    )


def balancer_view(balancer: Balancer, now: int, max_rows: int = 200) -> BalancerView:
    """Return the state now, with rows of the servers that are ejected or have most in flight."""
    subset = balancer.members.subset

    def rank(server: Server) -> tuple[bool, int, bool, str]:
        is_available = server.ejected_until <= now
        return is_available, -len(server.in_flight), server.partition is not subset, server.id

    shown = heapq.nsmallest(max_rows, balancer.endpoints.known.values(), key=rank)
    return BalancerView(
        list_version=balancer.members.version,
        servers=len(balancer.servers),
        subset_size=len(subset),
        ejected=sum(server.ejected_until > now for server in balancer.servers.values()),
        in_flight=balancer.admission.in_flight,
        limit=round(balancer.admission.limit, 1),
        waiting=balancer.admission.waiting.count,
        open_requests=len(balancer.requests),
        retries_left=round(balancer.budget.left(now), 2),
        attempts_per_s=round(_per_second(balancer, now), 1),
        failure_rate=round(balancer.outliers.recent_failure_rate, 4),
        rows=sorted(
            (_server_view(balancer, server, now) for server in shown), key=lambda row: row.name
        ),
    )


def server_sizes(
    balancer: Balancer, names: Iterable[str] | None = None
) -> dict[str, tuple[str, float]]:
    """Return the zone and the weight of listed servers, without zone weights and assignment.

    ``names``: the servers to return; None: all.
    """
    servers, subset = balancer.servers, balancer.subset
    sizes: dict[str, tuple[str, float]] = {}
    for server in (
        servers.values() if names is None else [servers[name] for name in names if name in servers]
    ):
        size = server.weight / subset.zone_weights.get(server.zone, 1.0)
        size /= subset.assignment.get(server.id, 1.0)
        sizes[server.id] = server.zone, round(size, 6)
    return sizes


@dataclass(frozen=True, slots=True)
class ZoneView:
    """The servers of one zone, counted by the result of their last recent attempt."""

    zone: str
    listed: int
    responding: int
    timed_out: int
    failed: int  # connection refused or reset, or an error response


def zone_views(balancer: Balancer, now: int, window: int) -> list[ZoneView]:
    """Return the view of each listed zone; results count for ``window`` microseconds."""
    found: list[ZoneView] = []
    since = now - window
    for zone, servers in sorted(balancer.members.by_zone.items()):
        responding = timed_out = failed = 0
        for server in servers.values():
            has_failed = server.failed_at > server.responded_at and server.failed_at >= since
            responding += not has_failed and server.responded_at >= since
            timed_out += has_failed and server.failed_without_response
            failed += has_failed and not server.failed_without_response
        found.append(ZoneView(zone, len(servers), responding, timed_out, failed))
    return found
