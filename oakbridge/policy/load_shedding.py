"""Requests that are rejected at once by a plan for all replicas, and when clients may retry."""

import random
import zlib
from dataclasses import dataclass

from oakbridge.policy.events import LoadSheddingLevel
from oakbridge.policy.records import OpenRequest
from oakbridge.policy.settings import Settings

GOLDEN_RATIO = 0.618  # multiples of it spread evenly
MIN_RETRY_AFTER_US = 1000


@dataclass(eq=False)
class LoadShedding:
    """Rejects shares of classes, and of what is over quota; the same requests in all replicas."""

    settings: Settings
    random: random.Random
    level: LoadSheddingLevel
    rejected: int = 0

    def rejects(self, request: OpenRequest, key: str) -> bool:
        """Whether to reject a request now; counts it if so."""
        level = self.level
        if not level.class_fractions and not level.over_quota_fraction:
            return False
        over_quota = level.over_quota_fraction * request.over_quota
        fraction = max(level.class_fractions.get(request.klass.name, 0.0), over_quota)
        # By its key the same ones everywhere, and again: else each gets in at some time, too late.
        hashed = zlib.crc32(b"%d %s" % (level.salt, key.encode())) / 2**32
        rejects = (hashed if key else self.random.random()) < fraction
        self.rejected += rejects
        return rejects

    def retry_after(self, request: OpenRequest, mean: float, in_flight: int, *, shed: bool) -> int:
        """Return when a client may retry, in microseconds: spread; 0: it is not told."""
        longest = self.settings.max_retry_after
        if not longest or self.settings.tier:
            return 0
        wait = longest if shed else min(longest, mean / max(1, in_flight))
        spread = 0.5 + request.id * GOLDEN_RATIO % 1
        return min(longest, max(MIN_RETRY_AFTER_US, int(wait * spread)))
