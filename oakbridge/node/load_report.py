"""Parses the load report that a server adds to its responses in the header X-Server-Load."""

from __future__ import annotations

import math

# The policy's name of each value, by its name in the header.
_POLICY_NAMES = {
    "inflight": "in_flight",
    "queue": "queued",
    "util": "utilisation",
    "latency_ms": "latency_ms",
    "qps": "rate",
    "eps": "fail_rate",
}


def parse_load_report(text: str) -> dict[str, float]:
    """Parse ``TEXT inflight=7, queue=2``; ignore unknown names, and values that are not finite."""
    report = {}
    for part in text.removeprefix("TEXT").split(","):
        name, _, value = part.strip().partition("=")
        try:
            number = float(value)
        except ValueError:
            continue
        if name in _POLICY_NAMES and math.isfinite(number):
            report[_POLICY_NAMES[name]] = number
    return report
