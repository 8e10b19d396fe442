"""The delay before discovery is polled again after a failed poll.

All replicas may lose discovery at the same time, and discovery handles polls one after another.  A
poll that failed after waiting in its queue cost as much as an answered one, so it is retried after
a long delay.  A poll that was refused immediately found the queue full: replicas with younger lists
wait longer, to leave the queue to those with older lists.
"""

import random

from oakbridge.policy.timers import SECOND_US

# A node must know a change at most this long after discovery does, even if some polls fail.
MAX_LIST_AGE_US = 6 * SECOND_US
IMMEDIATE_REFUSAL_US = SECOND_US // 4  # a poll that failed within this time was not queued
# After an immediate refusal or an interrupted watch, the list's age at the next poll.
NEXT_POLL_MAX_LIST_AGE_S = 4.5
NEXT_POLL_MIN_LIST_AGE_S = 2.5  # after an immediate refusal only
STALE_LIST_MIN_DELAY_S, STALE_LIST_MAX_DELAY_S = 0.3, 1.0  # for lists beyond these ages
QUEUED_MIN_DELAY_S, QUEUED_MAX_DELAY_S = 3.0, 5.0  # counted from the start of the queued poll


def poll_backoff(
    rng: random.Random, poll_interval_us: int, waited_us: int, staleness_us: int
) -> float:
    """Return the delay after a failed poll until the next one, in microseconds; below 0: now.

    ``poll_interval_us``: the setting; ``waited_us``: how long the poll took, 0 for an interrupted
    watch; ``staleness_us``: the age of the list.
    """
    scale = min(1.0, poll_interval_us / MAX_LIST_AGE_US)
    list_age_s = staleness_us / SECOND_US
    min_delay_s = max(
        STALE_LIST_MIN_DELAY_S, NEXT_POLL_MIN_LIST_AGE_S - list_age_s if waited_us else 0.0
    )
    max_delay_s = max(STALE_LIST_MAX_DELAY_S, NEXT_POLL_MAX_LIST_AGE_S - list_age_s)
    if waited_us >= IMMEDIATE_REFUSAL_US:
        min_delay_s, max_delay_s = QUEUED_MIN_DELAY_S, QUEUED_MAX_DELAY_S
    return scale * SECOND_US * rng.uniform(min_delay_s, max_delay_s) - waited_us
