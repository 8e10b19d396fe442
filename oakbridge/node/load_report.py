"""Parses the load report that a server adds to its responses."""

from __future__ import annotations

import math

# A load report's names on the wire, and the policy's.
_NAMES = {
    "inflight": "in_flight",
    "queue": "queued",
    "util": "utilisation",
    "latency_ms": "latency_ms",
    "qps": "rate",
    "eps": "fail_rate",
}


def parse_load_report(text: str) -> dict[str, float]:
    """Parse ``TEXT inflight=7, queue=2``; what is no finite number is left out."""
    report = {}
    for part in text.removeprefix("TEXT").split(","):
        name, _, value = part.strip().partition("=")
        try:
            number = float(value)
        except ValueError:
            continue
        if name in _NAMES and math.isfinite(number):
            report[_NAMES[name]] = number
    return report
