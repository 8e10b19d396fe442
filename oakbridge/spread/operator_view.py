"""The JSON of ``oakbridge spread`` and ``oakbridge spread plan``.

Only this module maps the code's names to the JSON keys.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from oakbridge.spread.arcs import overlaps
from oakbridge.spread.subset_assigner import SubsetAssigner, request_shares
from oakbridge.spread.subset_forecast import Forecast

MAX_OUTLIERS = 5  # replicas shown
OUTLIER_FACTOR = 2  # a replica with more than this many times the mean of requests is an outlier


def describe(assigner: SubsetAssigner) -> dict[str, Any]:
    """Return servers with their replicas and load, and the replicas with the most requests."""
    return {
        "name": assigner.name,
        "rings": assigner.rings,
        "divided": bool(assigner.weights),
        "copies": len(assigner.replicas),
        "moves": assigner.subset_changes,
        "servers": _server_rows(assigner),
        "stand_out": _outliers(request_shares(assigner.replicas)),
    }


def forecast_row(forecast: Forecast) -> dict[str, Any]:
    """Return one method's forecast as JSON."""
    return {
        "way": forecast.method,
        "most": forecast.max_load,
        "p99": forecast.p99_load,
        "least": forecast.min_load,
        "copies_each": forecast.mean_replicas_per_server,
        "copies_most": forecast.max_replicas_per_server,
        "servers_each": forecast.mean_servers_per_replica,
        "moved": forecast.moved_fraction,
    }


def _server_rows(assigner: SubsetAssigner) -> list[dict[str, Any]]:
    replicas_by_server, load = _replicas_and_load(assigner)
    total_weight = sum(weight for _, weight in assigner.servers.values())
    load_ratios = {
        name: round(load[name] * total_weight / weight, 3)
        for name, (_, weight) in assigner.servers.items()
    }
    return [
        {
            "name": name,
            "zone": zone,
            "size": weight,
            "copies": len(replicas_by_server[name]),
            "load_over_fair": load_ratios[name] if assigner.replicas else None,
            "own_part": round(assigner.weights.get(name, 0.0), 3),
        }
        for name, (zone, weight) in sorted(assigner.servers.items())
    ]


def _replicas_and_load(assigner: SubsetAssigner) -> tuple[dict[str, set[str]], dict[str, float]]:
    """Return by server its replicas, and its share of all requests as long as nothing fails."""
    replicas_by_server: defaultdict[str, set[str]] = defaultdict(set)
    load: defaultdict[str, float] = defaultdict(float)
    if not assigner.replicas:
        return replicas_by_server, load
    all_requests = sum(request_shares(assigner.replicas).values())
    for group in assigner.groups(only_preferred=True):
        share = sum(group.replicas.values()) / all_requests
        for overlap in overlaps(group.replicas, group.servers, assigner.rings):
            replicas_by_server[overlap.server].add(overlap.replica)
            load[overlap.server] += overlap.length * share
    return replicas_by_server, load


def _outliers(shares: dict[str, float]) -> list[dict[str, Any]]:
    mean = sum(shares.values()) / len(shares) if shares else 0.0
    busiest = sorted(shares.items(), key=lambda item: -item[1])[:MAX_OUTLIERS]
    return [
        {"name": name, "over_mean": round(share / mean, 2)}
        for name, share in busiest
        if share > OUTLIER_FACTOR * mean
    ]
