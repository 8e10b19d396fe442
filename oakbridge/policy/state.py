"""Saves what a balancer has learned as JSON values, and restores them in the successor process.

This module makes no decisions.  Predecessor and successor share the limits of one node: the
predecessor gives up what it saves for the successor to spend.  The values of servers, latencies and
admission are saved by position.
"""

import math
from dataclasses import dataclass
from typing import Any

from oakbridge.policy.admission import AdmissionControl
from oakbridge.policy.balancer import Balancer
from oakbridge.policy.latency import LatencyAverage
from oakbridge.policy.records import Server
from oakbridge.policy.sliding_window import Slot

Saved = dict[str, Any]

ADMISSION_VALUES = 8

# Attributes of a server; their values are saved by position, so the order must not change.
_SERVER_FIELDS = (
    "started_at",
    "address",
    "score",
    "scored_at",
    "ejected_until",
    "ejection_us",
    "last_sent_at",
    "responded_at",
    "tokens",
    "tokens_at",
    "slowness",
    "slowness_at",
    "reported_queued",
    "reported_at",
)


def save(balancer: Balancer, now: int) -> Saved:
    """Return what the balancer has learned.

    The predecessor continues with its attempts in flight.  It gives up half of its remaining
    retries, and sends nothing more to starting servers: the successor has the node's share.
    """
    slow_start, window = balancer.slow_start, balancer.budget.window
    window.add_further(now, max(0.0, balancer.budget.left(now) / 2))
    servers = {server.id: _save_server(balancer, server) for server in balancer.servers.values()}
    slow_start.is_handed_over = True
    return {
        "servers": servers,
        "latency": {
            name: [average.mean, average.deviation, average.min_mean, average.count]
            for name, average in balancer.latency.items()
        },
        "admission": _save_admission(balancer.admission),
        "due": balancer.quotas.due,
        "rate": balancer.outliers.failure_rate,
        "copy": [balancer.outliers.recent_failure_rate, slow_start.rate.mean, slow_start.rate.peak],
        "slots": [
            [slot.second, [slot.first, slot.further], slot.further_by_name] for slot in window.slots
        ],
    }


def _save_server(balancer: Balancer, server: Server) -> list[Any]:
    values = [getattr(server, name) for name in _SERVER_FIELDS]
    values.append(server.max_in_flight if server.max_in_flight < math.inf else None)
    values.append(server.partition is balancer.members.subset)
    server.tokens = 0.0
    return values


@dataclass(frozen=True, slots=True)
class _LearnedState:
    """A saved state that has been validated and not yet applied."""

    servers: list[tuple[Server, list[Any]]]
    latency: dict[str, LatencyAverage]
    admission: list[float]
    quotas_due: dict[str, float]
    failure_rate: float
    recent_failure_rate: float
    mean_rate: float
    peak_rate: float
    slots: list[Slot]


def restore(balancer: Balancer, saved: Saved, now: int) -> None:
    """Apply the predecessor's saved state, except to servers not listed or restarted since.

    Raise KeyError, TypeError or ValueError if the saved state is invalid; nothing is changed then.
    """
    learned = _read(balancer, saved)
    for server, values in learned.servers:
        _restore_server(balancer, server, values, now)
    balancer.latency.update(learned.latency)
    balancer.latency.update_mean()
    _restore_admission(balancer.admission, learned.admission)
    balancer.quotas.due.update(learned.quotas_due)
    balancer.outliers.failure_rate = learned.failure_rate
    balancer.outliers.recent_failure_rate = learned.recent_failure_rate
    balancer.slow_start.rate.mean = learned.mean_rate
    balancer.slow_start.rate.peak = learned.peak_rate
    balancer.budget.window.restore(learned.slots)
    balancer.reviewed_at = now
    balancer.must_poll = False  # the successor continues the predecessor's watch


def _read(balancer: Balancer, saved: Saved) -> _LearnedState:
    servers = [
        (balancer.servers[name], values)
        for name, values in saved["servers"].items()
        if name in balancer.servers
    ]
    admission = [float(value) for value in saved["admission"]]
    recent_failure_rate, mean_rate, peak_rate = map(float, saved["copy"])
    if len(admission) != ADMISSION_VALUES:
        raise ValueError(f"admission: expected {ADMISSION_VALUES} values, got {len(admission)}")
    for _, values in servers:
        if len(values) != len(_SERVER_FIELDS) + 2:
            raise ValueError(
                f"servers: expected {len(_SERVER_FIELDS) + 2} values, got {len(values)}"
            )
    return _LearnedState(
        servers=servers,
        latency={
            name: _read_latency(values)
            for name, values in saved["latency"].items()
            if name in balancer.latency
        },
        admission=admission,
        quotas_due={
            tenant: float(due_at)
            for tenant, due_at in saved["due"].items()
            if tenant in balancer.quotas.due
        },
        failure_rate=float(saved["rate"]),
        recent_failure_rate=recent_failure_rate,
        mean_rate=mean_rate,
        peak_rate=peak_rate,
        slots=[
            Slot(int(second), float(first), float(further), dict(by_tenant))
            for second, (first, further), by_tenant in saved["slots"]
        ],
    )


def _read_latency(values: list[float]) -> LatencyAverage:
    latency = LatencyAverage(0.0)
    latency.mean, latency.deviation, latency.min_mean = (float(value) for value in values[:3])
    latency.count = int(values[3])
    return latency


def _save_admission(admission: AdmissionControl) -> list[float]:
    return [
        admission.limit,
        admission.credit,
        admission.credit_updated_at,
        admission.window.served_us,
        admission.latency_ratio,
        admission.mean_value.mean,
        admission.window_size,
        admission.capacity,
    ]


def _restore_admission(admission: AdmissionControl, values: list[float]) -> None:
    """Restore the values that ``_save_admission`` returned."""
    admission.limit = values[0]
    admission.credit = values[1]
    admission.credit_updated_at = int(values[2])
    admission.window.served_us = values[3]
    admission.latency_ratio = values[4]
    admission.mean_value.mean = values[5]
    admission.window_size = int(values[6])
    admission.capacity = values[7]


def _restore_server(balancer: Balancer, server: Server, values: list[Any], now: int) -> None:
    *saved_values, max_in_flight, in_subset = values
    if saved_values[:2] != [server.started_at, server.address]:
        return  # it has restarted or moved since, so its history starts anew
    for name, value in zip(_SERVER_FIELDS, saved_values, strict=True):
        setattr(server, name, value)
    server.max_in_flight = math.inf if max_in_flight is None else float(max_in_flight)
    members = balancer.members
    if in_subset != (server.partition is members.subset):
        members.move(server, members.subset if in_subset else members.reserve, now)
    members.update_ejection(server, now)
