"""The use of servers: idle time, and the load of the busiest ones."""

from __future__ import annotations

import math
from collections import Counter, defaultdict

from oakbridge.lab.history import History
from oakbridge.lab.schedule import Span

WINDOW_US = 10_000_000


def idle_fraction(history: History) -> float | None:
    """Return 1 - (time with at least one request) / (duration * servers)."""
    if not history.executions:
        return None
    busy_us = sum(_covered_us(spans) for spans in _busy_spans(history).values())
    return 1 - busy_us / (history.duration_us * len(history.fleet.servers))


def _busy_spans(history: History) -> dict[int, list[Span]]:
    spans: dict[int, list[Span]] = defaultdict(list)
    for row in history.executions:
        begin_us, end_us = row["came"] - history.begin_us, row["ended"] - history.begin_us
        if end_us > 0 and begin_us < history.duration_us:
            spans[row["server"]].append(Span(max(0, begin_us), min(history.duration_us, end_us)))
    return spans


def _covered_us(spans: list[Span]) -> int:
    """Return the total length of the union of the spans."""
    total_us = covered_until_us = 0
    for span in sorted(spans, key=lambda span: span.begin_us):
        total_us += max(0, span.end_us - max(span.begin_us, covered_until_us))
        covered_until_us = max(covered_until_us, span.end_us)
    return total_us


def load_ratio_percentile(history: History) -> float | None:
    """Return the 99th percentile of load / fair share, over servers and windows of 10 s.

    Fair shares are proportional to the servers' sizes.
    """
    plan_sizes = history.plan.servers.sizes
    sizes = [plan_sizes[server.number % len(plan_sizes)] for server in history.fleet.servers]
    ratios = []
    for counts in _counts_by_window(history).values():
        total = sum(counts.values())
        ratios += [
            counts[number] / (total * size / sum(sizes)) for number, size in enumerate(sizes)
        ]
    return percentile(ratios, 0.99) if ratios else None


def _counts_by_window(history: History) -> dict[int, Counter[int]]:
    """Return the executions at each server by full window; a short run is one window."""
    duration_us = history.duration_us
    end_us = duration_us if duration_us < WINDOW_US else duration_us // WINDOW_US * WINDOW_US
    counts: dict[int, Counter[int]] = defaultdict(Counter)
    for row in history.executions:
        at_us = row["came"] - history.begin_us
        if 0 <= at_us < end_us:
            counts[at_us // WINDOW_US][row["server"]] += 1
    return counts


def percentile(values: list[float], fraction: float) -> float:
    """Return the smallest value that at least this fraction of the values does not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, math.ceil(fraction * len(ordered)) - 1)]
