"""Watches a node's memory account while much is held, and returns free memory to the system."""

from __future__ import annotations

import ctypes
import gc
import logging
import resource
from collections.abc import Callable, Iterable
from contextlib import suppress
from pathlib import Path
from typing import Protocol

from oakbridge.node.clock import Clock
from oakbridge.node.memory_account import (
    BYTES_PER_MB,
    PROCESS_BYTES,
    MemoryAccount,
    memory_limit,
)

log = logging.getLogger(__name__)

WATCHED_BYTES = 4 * BYTES_PER_MB
# What a process may take beyond its idle memory without being counted.
PROCESS_MARGIN_BYTES = 3 * BYTES_PER_MB
CHECK_INTERVAL_US = 50_000
MIN_TRIM_INTERVAL_US = 250_000
MIN_PEAK_FACTOR = 2  # of the watched amount; memory is returned after a higher peak
SETTLE_US = 2_000_000  # the checks end when less has been held for this long
LOG_INTERVAL_US = 1_000_000
# Resident memory that is kept free: what may be added until the next check.
MIN_RESERVE_BYTES = BYTES_PER_MB
RESERVE_FRACTION = 0.03
MIN_CEILING_LIMIT_BYTES = BYTES_PER_MB // 2


def return_free_memory() -> None:
    """Return free memory to the system.  Does nothing if the C library lacks malloc_trim(3)."""
    with suppress(AttributeError, OSError):
        ctypes.CDLL(None).malloc_trim(0)


def resident_bytes() -> int:
    """Return the resident memory of this process; 0 if the system does not tell."""
    try:
        pages = int(Path("/proc/self/statm").read_text("ascii").split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * resource.getpagesize()


class MemoryHolder(Protocol):
    """A holder whose share becomes outdated without an event."""

    def update_memory(self) -> None:
        """State the bytes that are held now."""


class RejectIncomplete(Protocol):
    """Rejects requests that are being received."""

    def __call__(self, bytes_to_free: int, *, only_slow: bool) -> None:
        """Free so many bytes; ``only_slow``: only where clients are slower than they may be."""


def _reject_nothing(bytes_to_free: int, *, only_slow: bool) -> None:
    """Reject nothing, as nothing is being received."""


class MemoryMonitor:
    """Checks an account periodically, while at least :data:`WATCHED_BYTES` are held.

    The kernel takes buffered responses without telling the connection, so that its share is then
    too high.  The check updates these shares, and returns free memory to the system after the held
    memory has halved.

    The limit depends on what the process takes beside the account, for example for a long endpoint
    list.  That is measured when the checks start and after free memory was returned: at other times
    it can't be told from free memory.
    """

    def __init__(
        self,
        account: MemoryAccount,
        clock: Clock,
        holders: Callable[[], Iterable[MemoryHolder]],
        memory_mb: int,
        reject_incomplete: RejectIncomplete = _reject_nothing,
    ) -> None:
        """``holders``: returns the holders whose shares are updated when memory is short.

        ``memory_mb``: memory limit of the node; 0: not configured.
        """
        self._account = account
        self._memory_mb = memory_mb
        self._process_bytes = PROCESS_BYTES
        self._other_bytes = 0  # of another process of the same node
        self._clock = clock
        self._holders = holders
        self._reject_incomplete = reject_incomplete
        self._is_over_ceiling = False  # the resident memory is above ``_ceiling_bytes``
        self._is_running = False
        self._low_since = 0  # when the held memory was last above the watched amount
        self._peak_bytes = 0  # since memory was returned
        self._returned_at = -MIN_TRIM_INTERVAL_US
        self._logged_at = -LOG_INTERVAL_US
        account.on_watched = self.start
        self._update_limit()

    def used_bytes(self) -> int:
        """Return what this process takes beyond an idle one, also free memory that it has kept."""
        return max(self._account.held_bytes, resident_bytes() - PROCESS_BYTES)

    def reserve_for_predecessor(self, used_bytes: int | None) -> None:
        """Reduce the limit by the memory of the predecessor; None: it has exited.

        ``used_bytes``: what it takes beyond an idle process.
        """
        self._other_bytes = 0 if used_bytes is None else PROCESS_BYTES + used_bytes
        self._update_limit()

    def _update_limit(self) -> None:
        limit = memory_limit(self._memory_mb, self._process_bytes, self._other_bytes)
        self._account.set_limit(limit)
        self._account.watched_bytes = min(WATCHED_BYTES, limit // 2)

    def _measure_process(self) -> None:
        if self._memory_mb:
            uncounted = resident_bytes() - self._account.held_bytes
            self._process_bytes = uncounted + PROCESS_MARGIN_BYTES
            self._update_limit()

    def start(self) -> None:
        """Start the periodic checks, unless they are running."""
        if not self._is_running:
            self._is_running = True
            self._low_since = self._clock.now()
            self._measure_process()
            self._schedule()

    def _schedule(self) -> None:
        self._clock.call_at(self._clock.now() + CHECK_INTERVAL_US, self._check)

    def _check(self) -> None:
        account = self._account
        self._peak_bytes = max(self._peak_bytes, account.held_bytes)
        if account.is_short():
            self._log_shortage()
            for holder in list(self._holders()):
                holder.update_memory()
            self._reject_incomplete(
                account.excess_bytes(), only_slow=not account.rejects_requests()
            )
        self._check_resident()
        now = self._clock.now()
        if account.held_bytes > account.watched_bytes:
            self._low_since = now
        if now >= self._low_since + SETTLE_US:
            if self._peak_bytes >= MIN_PEAK_FACTOR * account.watched_bytes:
                gc.collect()  # reference cycles, and Python's lists of free objects, keep pages
                self._return_memory(now)
            self._peak_bytes = 0
            self._is_running = False
            return
        has_halved = account.held_bytes <= self._peak_bytes // 2
        if has_halved and now >= self._returned_at + MIN_TRIM_INTERVAL_US:
            self._return_memory(now)
        self._schedule()

    def _ceiling_bytes(self) -> int:
        """Return how much resident memory this process may have before it must free some."""
        available = self._memory_mb * BYTES_PER_MB - self._other_bytes
        return available - max(MIN_RESERVE_BYTES, int(available * RESERVE_FRACTION))

    def _check_resident(self) -> None:
        """Hold the resident memory itself below its ceiling, whatever the account has.

        Above it, the limit is what would bring the process back below the ceiling.
        """
        if not self._memory_mb:
            return
        excess = resident_bytes() - self._ceiling_bytes()
        if excess > 0 and self._clock.now() >= self._returned_at + MIN_TRIM_INTERVAL_US:
            self._return_memory(self._clock.now())
            excess = resident_bytes() - self._ceiling_bytes()
        if excess > 0:
            self._is_over_ceiling = True
            account = self._account
            account.set_limit(max(MIN_CEILING_LIMIT_BYTES, account.held_bytes - excess))
            self._reject_incomplete(excess, only_slow=False)
        elif self._is_over_ceiling:
            self._is_over_ceiling = False
            self._update_limit()

    def _return_memory(self, now: int) -> None:
        return_free_memory()
        self._measure_process()
        self._returned_at = now
        self._peak_bytes = self._account.held_bytes

    def _log_shortage(self) -> None:
        now = self._clock.now()
        if now < self._logged_at + LOG_INTERVAL_US:
            return
        self._logged_at = now
        account = self._account
        log.warning("memory is short: held=%d limit=%d", account.held_bytes, account.limit_bytes)
