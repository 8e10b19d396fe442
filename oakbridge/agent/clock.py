"""The clock that an agent's leases, steps and timers go by."""

from __future__ import annotations

import time

NS_PER_US = 1000


def monotonic_us() -> int:
    """Return the monotonic time: it goes on while processes are frozen, and never jumps."""
    return time.monotonic_ns() // NS_PER_US
