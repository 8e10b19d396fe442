"""Load shedding by a plan common to all replicas, and the Retry-After of rejected requests."""

import random
import zlib
from dataclasses import dataclass

from oakbridge.policy.events import LoadSheddingLevel
from oakbridge.policy.records import OpenRequest
from oakbridge.policy.settings import Settings

GOLDEN_RATIO = 0.618  # the fractional parts of its multiples are spread evenly
MIN_RETRY_AFTER_US = 1000


@dataclass(eq=False)
class LoadShedding:
    """Rejects a fraction of each class and of over-quota requests, the same in all replicas."""

    settings: Settings
    random: random.Random
    level: LoadSheddingLevel
    rejected: int = 0  # requests rejected since the start

    def rejects(self, request: OpenRequest, key: str) -> bool:
        """Return whether to shed a request, and count it if so; an empty key means no key."""
        level = self.level
        if not level.class_fractions and not level.over_quota_fraction:
            return False
        over_quota_fraction = level.over_quota_fraction * request.is_over_quota
        fraction = max(level.class_fractions.get(request.klass.name, 0.0), over_quota_fraction)
        # The key makes all replicas reject the same requests, and reject their retries, too.
        # Otherwise each request would be admitted after some retries, when it is too late.
        hashed = zlib.crc32(b"%d %s" % (level.salt, key.encode())) / 2**32
        is_rejected = (hashed if key else self.random.random()) < fraction
        self.rejected += is_rejected
        return is_rejected

    def retry_after(
        self, request: OpenRequest, mean_latency: float, in_flight: int, *, shed: bool
    ) -> int:
        """Return the delay until a client may retry, in microseconds with jitter; 0: not given."""
        max_delay = self.settings.max_retry_after
        if not max_delay or self.settings.tier:
            return 0
        delay = max_delay if shed else min(max_delay, mean_latency / max(1, in_flight))
        jitter = 0.5 + request.id * GOLDEN_RATIO % 1
        return min(max_delay, max(MIN_RETRY_AFTER_US, int(delay * jitter)))
