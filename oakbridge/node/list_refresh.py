"""When the next discovery request is sent: this module keeps the age of the endpoint list bounded.

A node must know a change a fixed time after discovery had it, whether or not single requests fail.
So timeouts, delays after failures and additional requests beside an overdue one all depend on the
time at which the list was last known to be up to date.  There is a single time for the next
request, so that reloads do not multiply requests.

This module does no I/O; times are in seconds of one monotonic clock.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from enum import Enum

from oakbridge.policy.poll_backoff import IMMEDIATE_REFUSAL_US, MAX_LIST_AGE_US, poll_backoff

US_PER_S = 1_000_000
MAX_LIST_AGE_S = MAX_LIST_AGE_US / US_PER_S
IMMEDIATE_REFUSAL_S = IMMEDIATE_REFUSAL_US / US_PER_S

# A watch whose connection broke without notice looks like a watch without changes.  So each watch
# is short, which leaves time for further requests within the maximum age of the list.  The length
# has jitter, so that nodes that received the same change do not renew their watches, or time out,
# all at once.  Renewing a watch costs discovery nothing.
MIN_WATCH_S = 0.5
MAX_WATCH_S = 2.0
WATCH_GRACE_S = 0.5  # the response to a watch may arrive this much after the end of the watch
# The request that opens a watch does not wait for a change, so that a lost response shows early.
NO_WAIT_S = 0.001
# A request that is sent at this age of the list still has time for its response.
MAX_AGE_FOR_REQUEST_S = 4.25
# At this age of the list, the node no longer waits for a request that has been open for a while.
LATE_AGE_S = 4.75
MAX_NETWORK_RETRIES = 10  # consecutive ones
NETWORK_RETRY_S = 0.05
MAX_OPEN_REQUESTS = 3
# Lower end of the jitter on a shortened delay: nodes that failed together retry at different times.
MIN_JITTER_FACTOR = 0.7


@dataclass(frozen=True, slots=True)
class RequestTimeouts:
    """Timeouts of a request that opens a watch."""

    overdue_s: float  # after this, a second request is sent; the first keeps its place in the queue
    late_s: float  # used instead of overdue_s where the list would exceed its maximum age before
    timeout_s: float


# Discovery itself refuses requests that have waited in its queue for one or two seconds.  A second
# request before that gives a node two places in the queue, and 200 nodes then fill it faster than
# discovery can empty it.
DISCOVERY_TIMEOUTS = RequestTimeouts(overdue_s=2.25, late_s=1.25, timeout_s=3.0)
# An agent on the same machine responds immediately.
AGENT_TIMEOUTS = RequestTimeouts(overdue_s=0.35, late_s=0.35, timeout_s=1.0)
AGENT_RETRY_S = 0.1


class RequestKind(Enum):
    """The purpose of a discovery request."""

    OPENING = "opening"  # opens a watch; the response comes when discovery's queue gets to it
    RENEWAL = "renewal"  # continues a watch; the response comes at a change, or after its wait


class Failure(Enum):
    """How a request failed."""

    REFUSED = "refused"  # discovery refused it or closed the connection, or the response is invalid
    TIMED_OUT = "silent"  # no response in time, or a response that stalled
    NETWORK = "path"  # an error of the network or of this machine
    OUTDATED = "outdated"  # the response's version is below the current one


@dataclass(frozen=True, slots=True, eq=False)
class ScheduledRequest:
    """A discovery request: how long discovery waits for a change, and the node for the response."""

    kind: RequestKind
    started_at: float
    wait_s: float
    timeout_s: float


class RefreshSchedule:
    """When the next request is sent, of which kind it is, and how long it may take."""

    def __init__(self, now: float, poll_interval_us: int, rng: random.Random, *, pushed: bool):
        """``poll_interval_us``: the setting; ``pushed``: an agent on this machine sends lists."""
        self._random = rng
        self._pushed = pushed
        self._timeouts = AGENT_TIMEOUTS if pushed else DISCOVERY_TIMEOUTS
        self.configure(poll_interval_us)
        self.up_to_date_at = -math.inf  # when the list was last known to be up to date
        self._counted_from = now  # the list's maximum age counts from the last list, or the start
        self._next_at = math.inf
        self._continues = False  # the next request continues a watch
        self._open_requests: list[ScheduledRequest] = []
        self._last_opened_at = -math.inf
        self._network_failures = 0  # consecutive ones
        self._queue_time_s = 0.0  # how long the last refused request was in discovery's queue

    def configure(self, poll_interval_us: int) -> None:
        """Use this setting from the next request on; a short interval lowers the maximum age."""
        self._poll_interval_us = poll_interval_us
        scale = min(1.0, poll_interval_us / MAX_LIST_AGE_US)
        self._max_list_age_s = MAX_LIST_AGE_S * scale
        self._max_age_for_request_s = MAX_AGE_FOR_REQUEST_S * scale
        self._late_age_s = LATE_AGE_S * scale
        self._max_watch_s = max(MIN_WATCH_S, MAX_WATCH_S * scale)

    # ---- state

    @property
    def is_running(self) -> bool:
        """Whether a request is open or scheduled."""
        return bool(self._open_requests) or self._next_at < math.inf

    def next_request_at(self) -> float:
        """Return when the next request is due; infinity if no time is known yet."""
        if not self._open_requests:
            return self._next_at
        if (
            len(self._open_requests) == MAX_OPEN_REQUESTS
            or self._open_requests[-1].kind is RequestKind.RENEWAL
        ):
            return math.inf
        overdue_at = self._last_opened_at + self._timeouts.overdue_s
        # A request no older than the last refused one was may still be in discovery's queue.
        late_s = max(self._timeouts.late_s, self._queue_time_s + IMMEDIATE_REFUSAL_S)
        late_at = max(self._last_opened_at + late_s, self._counted_from + self._late_age_s)
        is_late = late_at < self._counted_from + self._max_list_age_s
        return min(overdue_at, late_at) if is_late else overdue_at

    def age_s(self, now: float) -> float:
        """Return the age of the list; infinity without a list."""
        return now - self.up_to_date_at

    def due_at(self) -> float:
        """Return when the list reaches its maximum age."""
        return self._counted_from + self._max_list_age_s

    @property
    def open_request_count(self) -> int:
        """The number of requests without a response so far."""
        return len(self._open_requests)

    # ---- events

    def start(self, now: float) -> None:
        """Make a request due at once."""
        self._next_at = min(self._next_at, now)

    def on_list(self, up_to_date_at: float) -> None:
        """Note when a list was known to be up to date."""
        self.up_to_date_at = self._counted_from = max(self.up_to_date_at, up_to_date_at)

    def restart(self, now: float) -> None:
        """Forget the open requests, and open a watch at once."""
        self._open_requests.clear()
        self._continues = False
        self._next_at = now

    def end_watch(self) -> None:
        """Have the next request open a watch, whatever the open requests return."""
        self._continues = False

    def stop(self) -> None:
        """Send no more requests."""
        self._open_requests.clear()
        self._next_at = math.inf

    def begin_request(self, now: float) -> ScheduledRequest:
        """Return the request that is due now."""
        self._next_at = math.inf
        if self._continues:
            self._continues = False
            wait_s = self._random.uniform(MIN_WATCH_S, self._max_watch_s)
            request = ScheduledRequest(RequestKind.RENEWAL, now, wait_s, wait_s + WATCH_GRACE_S)
        else:
            self._last_opened_at = now
            request = ScheduledRequest(
                RequestKind.OPENING, now, NO_WAIT_S, self._timeouts.timeout_s
            )
        self._open_requests.append(request)
        return request

    def on_response(self, now: float, *, continues: bool) -> None:
        """Take the response to a request, after :meth:`on_list`; drop the other open requests.

        ``continues``: whether the next request continues its watch.
        """
        self._open_requests.clear()
        self._network_failures = 0
        self._continues = continues
        self._next_at = now

    def drop_others(self, request: ScheduledRequest) -> None:
        """Forget all open requests but one that has a response."""
        self._open_requests = [request]

    def on_failure(self, request: ScheduledRequest, now: float, failure: Failure) -> None:
        """Take the failure of a request; while others are open, no retry is scheduled."""
        if request not in self._open_requests:
            return
        self._open_requests.remove(request)
        waited_s = now - request.started_at
        if request.kind is RequestKind.RENEWAL and waited_s > IMMEDIATE_REFUSAL_S:
            # A watch is not in discovery's queue.  The list is as old as the last response: changes
            # sent since may have been lost before the connection broke.
            waited_s = 0.0
        elif failure is Failure.REFUSED and waited_s > IMMEDIATE_REFUSAL_S:
            self._queue_time_s = waited_s
        if not self._open_requests:
            self._next_at = now + self._retry_delay_s(now, waited_s, failure)

    def _retry_delay_s(self, now: float, waited_s: float, failure: Failure) -> float:
        if failure is Failure.NETWORK and self._network_failures < MAX_NETWORK_RETRIES:
            # The lost response may have held a change that this node must know in time.
            self._network_failures += 1
            return NETWORK_RETRY_S
        if self._pushed:
            return 0.0 if failure is Failure.TIMED_OUT else AGENT_RETRY_S
        if failure in (Failure.TIMED_OUT, Failure.OUTDATED):
            return 0.0
        stale_us = min(self.age_s(now), 2 * MAX_LIST_AGE_S) * US_PER_S
        waited_us = int(waited_s * US_PER_S)
        delay_us = poll_backoff(self._random, self._poll_interval_us, waited_us, int(stale_us))
        return max(0.0, self._within_bound(now, delay_us / US_PER_S))

    def _within_bound(self, now: float, delay_s: float) -> float:
        """Shorten a delay that would leave no time for a response within the maximum age.

        Once the list has exceeded its maximum age, a shorter delay gains nothing.
        """
        age_s = now - self._counted_from
        if age_s >= self._max_list_age_s or age_s + delay_s <= self._max_age_for_request_s:
            return delay_s
        latest_s = max(2 * IMMEDIATE_REFUSAL_S, self._max_age_for_request_s - age_s)
        return min(delay_s, latest_s * self._random.uniform(MIN_JITTER_FACTOR, 1.0))
