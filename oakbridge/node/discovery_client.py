"""What is asked of discovery, and what its responses mean for the list at hand.

The versions of a list are kept here, the times of calls in :mod:`oakbridge.node.list_refresh`.
Pure: each method takes one event, with its time in seconds of one monotonic clock, and whoever
makes the calls goes by :meth:`DiscoveryClient.next_request_at` after each.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from oakbridge.node.address import Address
from oakbridge.node.endpoint_list import EndpointList
from oakbridge.node.errors import OutdatedListError
from oakbridge.node.list_refresh import Failure, RefreshSchedule, RequestKind, ScheduledRequest

# A version before all others: a call for changes since then is answered with the complete list.
BEFORE_ALL_VERSIONS = -1
LIST_PATH = "/api/targets"
MS_PER_S = 1000
US_PER_S = 1e6


@dataclass(frozen=True, slots=True)
class DiscoveryRequest:
    """A call to discovery: to whom, and since which version it asks for changes."""

    scheduled: ScheduledRequest
    address: Address
    since: int

    @property
    def target(self) -> str:
        """Return the target of the HTTP request."""
        return f"{LIST_PATH}?since={self.since}&timeout_ms={int(MS_PER_S * self.scheduled.wait_s)}"

    @property
    def asks_for_complete_list(self) -> bool:
        """Whether the whole list is asked for, not changes."""
        return self.since == BEFORE_ALL_VERSIONS


@dataclass(frozen=True, slots=True)
class DiscoveryStatus:
    """What is known of discovery, for operators.  Times in seconds."""

    address: Address
    version: int | None  # of the list in use; None if none is, or the next call asks for it whole
    list_age_s: float | None  # since the list was known to be up to date; None if none has come
    due_in_s: float | None  # until it has to be known anew; below 0: it is overdue
    open_requests: int  # that are out
    last_failure: str  # of a call, with its kind; "" if none has failed
    last_failure_age_s: float | None


class DiscoveryClient:
    """The list's version, and the calls that keep it up to date."""

    def __init__(self, address: Address, schedule: RefreshSchedule, *, pushed: bool) -> None:
        """``pushed``: lists come from an agent on the same machine, whose versions are its own."""
        self.version = BEFORE_ALL_VERSIONS
        self._address = address
        self._schedule = schedule
        self._pushed = pushed
        self._needs_complete_list = False  # the next call asks for it
        self._is_stopped = False
        self._last_failure = ""
        self._last_failure_at = -math.inf

    # ---- what is known

    def status(self, now: float) -> DiscoveryStatus:
        """Return what is known of discovery."""
        has_failed = bool(self._last_failure)
        return DiscoveryStatus(
            address=self._address,
            version=None if self.version == BEFORE_ALL_VERSIONS else self.version,
            list_age_s=self._schedule.age_s(now) if self.has_list else None,
            due_in_s=self._schedule.due_at() - now if self._schedule.is_running else None,
            open_requests=self._schedule.calls_out,
            last_failure=self._last_failure,
            last_failure_age_s=now - self._last_failure_at if has_failed else None,
        )

    @property
    def has_list(self) -> bool:
        """Whether any list has come."""
        return self._schedule.fresh_at > -math.inf

    def list_age_us(self, now: float) -> int | None:
        """Return how long ago the list was known to be up to date; None if none has come."""
        return int(US_PER_S * self._schedule.age_s(now)) if self.has_list else None

    def next_request_at(self) -> float:
        """Return when the next call is due; infinity if no time is known yet."""
        return self._schedule.next_request_at()

    # ---- what others ask for

    def watch(self, now: float) -> None:
        """Begin to call, at once; calls that are made, or will be, go on as they are."""
        if not (self._schedule.is_running or self._is_stopped):
            self._schedule.start(now)

    def pause(self) -> None:
        """Make no calls until asked to watch again."""
        self._schedule.stop()

    def stop(self) -> None:
        """Make no calls any more, whatever is still asked for."""
        self._is_stopped = True
        self.pause()

    def fetch(self) -> None:
        """Have the next call read the complete list; those that are out go on."""
        self._needs_complete_list = True
        self._schedule.end_watch()

    def move(self, address: Address, now: float) -> bool:
        """Use another address from now on; return whether the calls that are out are given up.

        Where lists are pushed, each agent has versions of its own, so the complete list is read
        anew, at once.  Where discovery is polled, the next call goes there: a call or a watch that
        was given up would lose its place, and the nodes' calls together, made anew with each
        reload, keep discovery's queue full.
        """
        self._address = address
        self._schedule.end_watch()
        if not self._pushed or self._is_stopped:
            return False
        self.version = BEFORE_ALL_VERSIONS
        self._schedule.restart(now)
        return True

    def adopt(self, index: int, age_us: int | None, now: float) -> bool:
        """Take note of another process's complete list; return whether it is newer, and to be used.

        Its age (None: not known) goes on: a bound that began anew with each process would not be one.
        """
        if self.has_list and (self._pushed or index <= self.version):
            return False
        self.version = index
        if age_us is not None:
            self._schedule.on_list(now - age_us / US_PER_S)
        return True

    # ---- calls

    def begin_request(self, now: float) -> DiscoveryRequest:
        """Return the call that is due now."""
        if self._needs_complete_list:
            self.version = BEFORE_ALL_VERSIONS
            self._needs_complete_list = False
        return DiscoveryRequest(self._schedule.begin_request(now), self._address, self.version)

    def on_response(
        self, request: DiscoveryRequest, new: EndpointList, now: float
    ) -> EndpointList | None:
        """Return the list to apply, if a response brings one; the other calls are superfluous.

        A response that begins a watch counts as one also without changes.  Raise OutdatedListError
        where the versions of whoever responds begin anew.
        """
        self._schedule.give_up_others(request.scheduled)
        if self._is_superseded(request, new.version):
            return None
        if not new.complete and new.version < self.version:
            expected = self.version
            self.version = BEFORE_ALL_VERSIONS  # the next call reads the complete list
            raise OutdatedListError(f"index: expected changes since {expected}, got {new.version}")
        if request.scheduled.kind is RequestKind.OPENING or new.complete or new.endpoints:
            return replace(new, staleness=self.list_age_us(now))
        return None

    def on_applied(
        self, request: DiscoveryRequest, index: int, up_to_date_at: float, now: float
    ) -> None:
        """Count a response as read, now that its list is in use, and go on with its watch."""
        if self._is_superseded(request, index):
            self._schedule.on_answer(now, continues=False)
            return
        self.version = index
        self._schedule.on_list(up_to_date_at)
        continues = request.address == self._address and not self._needs_complete_list
        self._schedule.on_answer(now, continues=continues)

    def _is_superseded(self, request: DiscoveryRequest, index: int) -> bool:
        """Whether a newer list was adopted during a call: its own may be older than that.

        If versions have begun anew instead, the response to the next call shows it.
        """
        return request.since != self.version and index < self.version

    def on_failure(
        self, request: DiscoveryRequest, failure: Failure, now: float, detail: str = ""
    ) -> None:
        """Take the failure of a call: its own, or that its list can't be applied.

        ``detail``: what an operator is told of it.
        """
        self._last_failure = f"{request.scheduled.kind.value} call {failure.value}: {detail}"
        self._last_failure_at = now
        self._schedule.on_failure(request.scheduled, now, failure)
