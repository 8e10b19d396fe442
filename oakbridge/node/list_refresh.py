"""When discovery is called next: the one place that keeps the endpoint list's age within its bound.

A change counts as told a fixed time after discovery had it, whatever became of single calls.  So
nothing here counts from its own beginning alone: time-outs, waits after failures and calls beside
one that is overdue all go by the time at which the list was last known to be up to date, and there
is one time for the next call, which reloads do not multiply.

Pure; times are seconds of one monotonic clock.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from enum import Enum

from oakbridge.policy.poll_backoff import IMMEDIATE_REFUSAL_US, MAX_LIST_AGE_US, poll_backoff

US_PER_S = 1_000_000
MAX_LIST_AGE_S = MAX_LIST_AGE_US / US_PER_S
AT_ONCE_S = IMMEDIATE_REFUSAL_US / US_PER_S

# A watch that has broken silently looks like one without changes, so each is short: what is left of
# the bound is for the calls after it.  Its length has jitter, so that nodes that got the same change
# do not end their watches, or find them silent, together.  Renewing a watch costs discovery nothing.
MIN_WATCH_S = 0.5
MAX_WATCH_S = 2.0
WATCH_GRACE_S = 0.5  # a response may be so much later than the end of its watch
# The first call of a watch does not wait for a change, so that an answer that is lost shows early.
NO_WAIT_S = 0.001
LAST_CALL_AGE_S = 4.25  # of the list: a call that begins then still has time for its answer
LATE_AGE_S = 4.75  # of the list: no call that has been out for a while is waited for longer
MAX_PATH_RETRIES = 10  # in a row
PATH_RETRY_S = 0.05
MAX_CALLS = 3  # at once
JITTER_FROM = 0.7  # of a shortened wait: nodes that failed together come again apart


@dataclass(frozen=True, slots=True)
class RequestTimeouts:
    """What is expected of the call that begins a watch."""

    overdue_s: float  # after which another is made beside it, which keeps its place in the queue
    late_s: float  # the same, where the bound on the list's age would pass before
    timeout_s: float


# Discovery itself refuses calls that have waited in its queue for one or two seconds.  To call again
# before that gives a node two places there, and 200 nodes a queue that is never worked off.
DISCOVERY_TIMEOUTS = RequestTimeouts(overdue_s=2.25, late_s=1.25, timeout_s=3.0)
# An agent on the same machine answers at once.
AGENT_TIMEOUTS = RequestTimeouts(overdue_s=0.35, late_s=0.35, timeout_s=1.0)
AGENT_RETRY_S = 0.1


class RequestKind(Enum):
    """What a call to discovery is for."""

    OPENING = "opening"  # begins a watch: answered as soon as its turn in the queue comes
    RENEWAL = "renewal"  # goes on with a watch: answered at a change, or after its wait


class Failure(Enum):
    """How a call failed."""

    REFUSED = "refused"  # by discovery, or its connection ended, or it made no sense
    TIMED_OUT = "silent"  # no answer in time, or none that went on
    NETWORK = "path"  # the way to discovery broke, or this end of it
    OUTDATED = "outdated"  # changes from before the version at hand


@dataclass(frozen=True, slots=True, eq=False)
class ScheduledRequest:
    """One call to discovery: for how long it waits for a change, and is waited for."""

    kind: RequestKind
    started_at: float
    wait_s: float
    timeout_s: float


class RefreshSchedule:
    """When the next call begins, of which kind it is, and how long it may take."""

    def __init__(self, now: float, poll_interval_us: int, rng: random.Random, *, pushed: bool):
        """``poll_interval_us``: the setting; ``pushed``: by an agent on the same machine."""
        self._random = rng
        self._pushed = pushed
        self._times = AGENT_TIMEOUTS if pushed else DISCOVERY_TIMEOUTS
        self.configure(poll_interval_us)
        self.fresh_at = -math.inf  # when the list was last known to be up to date
        self._counted_from = now  # the bound is: since then, or since the start
        self._next_at = math.inf
        self._continues = False  # the next call goes on with a watch
        self._calls: list[ScheduledRequest] = []
        self._last_opened_at = -math.inf
        self._path_failures = 0  # in a row
        self._queue_time_s = 0.0  # which the last refused call spent in discovery's queue

    def configure(self, poll_interval_us: int) -> None:
        """Go by this setting from the next call on; where it is short, so is the bound."""
        self._poll_interval_us = poll_interval_us
        scale = min(1.0, poll_interval_us / MAX_LIST_AGE_US)
        self._bound_s = MAX_LIST_AGE_S * scale
        self._last_call_age_s = LAST_CALL_AGE_S * scale
        self._late_s = LATE_AGE_S * scale
        self._max_watch_s = max(MIN_WATCH_S, MAX_WATCH_S * scale)

    # ---- what is asked

    @property
    def is_running(self) -> bool:
        """Whether calls are made, or will be."""
        return bool(self._calls) or self._next_at < math.inf

    def next_request_at(self) -> float:
        """Return when the next call begins; infinity if no time is known yet."""
        if not self._calls:
            return self._next_at
        if len(self._calls) == MAX_CALLS or self._calls[-1].kind is RequestKind.RENEWAL:
            return math.inf
        overdue_at = self._last_opened_at + self._times.overdue_s
        # A call that is only as old as one that was refused may still stand in the queue.
        late_s = max(self._times.late_s, self._queue_time_s + AT_ONCE_S)
        late_at = max(self._last_opened_at + late_s, self._counted_from + self._late_s)
        is_late = late_at < self._counted_from + self._bound_s
        return min(overdue_at, late_at) if is_late else overdue_at

    def age_s(self, now: float) -> float:
        """Return the age of the list; infinity if none has come."""
        return now - self.fresh_at

    def due_at(self) -> float:
        """Return when the list has to be known anew."""
        return self._counted_from + self._bound_s

    @property
    def calls_out(self) -> int:
        """How many calls are out."""
        return len(self._calls)

    # ---- what happens

    def start(self, now: float) -> None:
        """Begin to call, at once."""
        self._next_at = min(self._next_at, now)

    def on_list(self, up_to_date_at: float) -> None:
        """Take note of when a list was known to be up to date."""
        self.fresh_at = self._counted_from = max(self.fresh_at, up_to_date_at)

    def restart(self, now: float) -> None:
        """Forget the calls that are out, and begin a watch at once."""
        self._calls.clear()
        self._continues = False
        self._next_at = now

    def end_watch(self) -> None:
        """Have the next call begin a watch, whatever becomes of those that are out."""
        self._continues = False

    def stop(self) -> None:
        """Make no more calls."""
        self._calls.clear()
        self._next_at = math.inf

    def begin_request(self, now: float) -> ScheduledRequest:
        """Return the call that is due now."""
        self._next_at = math.inf
        if self._continues:
            self._continues = False
            wait_s = self._random.uniform(MIN_WATCH_S, self._max_watch_s)
            call = ScheduledRequest(RequestKind.RENEWAL, now, wait_s, wait_s + WATCH_GRACE_S)
        else:
            self._last_opened_at = now
            call = ScheduledRequest(RequestKind.OPENING, now, NO_WAIT_S, self._times.timeout_s)
        self._calls.append(call)
        return call

    def on_answer(self, now: float, *, continues: bool) -> None:
        """Take the answer to a call, whose list is noted, and which makes the others superfluous.

        ``continues``: whether its watch goes on.
        """
        self._calls.clear()
        self._path_failures = 0
        self._continues = continues
        self._next_at = now

    def give_up_others(self, call: ScheduledRequest) -> None:
        """Forget the calls beside one that has been answered."""
        self._calls = [call]

    def on_failure(self, call: ScheduledRequest, now: float, failure: Failure) -> None:
        """Take the failure of a call; while others are out, the next one waits for them."""
        if call not in self._calls:
            return
        self._calls.remove(call)
        waited_s = now - call.started_at
        if call.kind is RequestKind.RENEWAL and waited_s > AT_ONCE_S:
            # It did not stand in the queue.  Its list is as old as its last answer: what was told
            # since may have been lost before the break.
            waited_s = 0.0
        elif failure is Failure.REFUSED and waited_s > AT_ONCE_S:
            self._queue_time_s = waited_s
        if not self._calls:
            self._next_at = now + self._delay_s(now, waited_s, failure)

    def _delay_s(self, now: float, waited_s: float, failure: Failure) -> float:
        if failure is Failure.NETWORK and self._path_failures < MAX_PATH_RETRIES:
            # An answer may be lost that counts as told.
            self._path_failures += 1
            return PATH_RETRY_S
        if self._pushed:
            return 0.0 if failure is Failure.TIMED_OUT else AGENT_RETRY_S
        if failure in (Failure.TIMED_OUT, Failure.OUTDATED):
            return 0.0
        stale_us = min(self.age_s(now), 2 * MAX_LIST_AGE_S) * US_PER_S
        waited_us = int(waited_s * US_PER_S)
        delay_us = poll_backoff(self._random, self._poll_interval_us, waited_us, int(stale_us))
        return max(0.0, self._within_bound(now, delay_us / US_PER_S))

    def _within_bound(self, now: float, delay_s: float) -> float:
        """Shorten a wait that would leave no time for an answer within the bound.

        Once the bound has passed there is nothing left to keep by a call that is made sooner.
        """
        age_s = now - self._counted_from
        if age_s >= self._bound_s or age_s + delay_s <= self._last_call_age_s:
            return delay_s
        latest_s = max(2 * AT_ONCE_S, self._last_call_age_s - age_s)
        return min(delay_s, latest_s * self._random.uniform(JITTER_FROM, 1.0))
