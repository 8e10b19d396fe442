"""The service to clients: requests and priority weight served in time, and executions."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from oakbridge.lab.history import History

STATUS_OK = 200


def first_tries(history: History) -> list[dict[str, Any]]:
    """Return the requests that were due during the schedule, without the clients' retries."""
    return [
        row
        for row in history.requests
        if 0 <= row["due"] - history.begin_us < history.duration_us and row["tries"] == 1
    ]


def served_fraction(history: History) -> float | None:
    """Return the fraction of requests served within their latency objective, also by a retry."""
    return _served_fraction(history, lambda _: 1.0)


def served_weight_fraction(history: History) -> float | None:
    """Return the fraction of the due priority weight served within the latency objective."""
    return _served_fraction(history, lambda number: history.plan.classes[number].worth)


def _served_fraction(history: History, weight_of: Callable[[int], float]) -> float | None:
    due = sum(weight_of(row["class"]) for row in first_tries(history))
    end_us = history.begin_us + history.duration_us
    served = sum(
        weight_of(row["class"])
        for row in history.requests
        if is_served_in_time(row) and history.begin_us <= row["due"] < end_us
    )
    return served / due if due else None


def is_served_in_time(row: dict[str, Any]) -> bool:
    """Return whether a request was served within its latency objective."""
    return bool(row["status"] == STATUS_OK and row["took"] <= row["aim"])


def executions_per_request(history: History) -> float | None:
    """Return the mean number of executions at servers per request."""
    return len(history.executions) / len(history.requests) if history.requests else None
