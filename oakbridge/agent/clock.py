"""The clock of an agent's leases, steps and timers."""

from __future__ import annotations

import time

NS_PER_US = 1000


def monotonic_us() -> int:
    """Return the monotonic time in microseconds; it advances while the process is stopped."""
    return time.monotonic_ns() // NS_PER_US
