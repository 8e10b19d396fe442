"""How long after a failed poll discovery is polled again.

All replicas may lose discovery at once, and it works off polls in turn.  A poll that stood in its
queue in vain cost it as much as an answer: it is made again long after it began.  One that was
refused at once found a full queue: replicas with younger lists stand back for those with older ones.
"""

import random

from oakbridge.policy.timers import SECOND_US

# A change counts as told so long after discovery had it, whatever became of single polls.
MAX_LIST_AGE_US = 6 * SECOND_US
IMMEDIATE_REFUSAL_US = SECOND_US // 4  # a poll refused so soon did not stand in the queue
LONGEST_BACKOFF_S = 4.5  # after a refusal at once, or a watch that broke
YOUNG_LIST_S = 2.5  # a list that was refused at once waits until it is so old
OLD_LIST_MIN_S, OLD_LIST_MAX_S = 0.3, 1.0
QUEUED_MIN_S, QUEUED_MAX_S = 3.0, 5.0  # since the beginning of a poll that stood in the queue


def poll_backoff(rng: random.Random, poll_interval: int, waited: int, staleness: int) -> float:
    """Return when to poll again, in microseconds after a poll failed; below 0: it is due.

    ``poll_interval``: the setting; ``waited``: how long the poll took, 0 for a watch that broke;
    ``staleness``: the age of the list.  All are microseconds.
    """
    scale = min(1.0, poll_interval / MAX_LIST_AGE_US)
    stale = staleness / SECOND_US
    earliest = max(OLD_LIST_MIN_S, YOUNG_LIST_S - stale if waited else 0.0)
    latest = max(OLD_LIST_MAX_S, LONGEST_BACKOFF_S - stale)
    if waited >= IMMEDIATE_REFUSAL_US:
        earliest, latest = QUEUED_MIN_S, QUEUED_MAX_S
    return scale * SECOND_US * rng.uniform(earliest, latest) - waited
