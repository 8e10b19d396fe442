"""Which discovery requests a node sends, and what their responses mean for its current list.

This module keeps the version of the list; :mod:`oakbridge.node.list_refresh` keeps the times of
requests.  It does no I/O: each method takes one event with its time, in seconds of one monotonic
clock.  After each event the code that sends the requests reads
:meth:`DiscoveryClient.next_request_at`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from oakbridge.node.address import Address
from oakbridge.node.endpoint_list import EndpointList
from oakbridge.node.errors import OutdatedListError
from oakbridge.node.list_refresh import Failure, RefreshSchedule, RequestKind, ScheduledRequest

# A version below all others: discovery responds to a request for changes since it with the complete
# list.
BEFORE_ALL_VERSIONS = -1
LIST_PATH = "/api/targets"
MS_PER_S = 1000
US_PER_S = 1e6


@dataclass(frozen=True, slots=True)
class DiscoveryRequest:
    """A request to discovery for the changes since a version."""

    scheduled: ScheduledRequest
    address: Address
    since: int

    @property
    def target(self) -> str:
        """Return the target of the HTTP request."""
        return f"{LIST_PATH}?since={self.since}&timeout_ms={int(MS_PER_S * self.scheduled.wait_s)}"

    @property
    def asks_for_complete_list(self) -> bool:
        """Whether this requests the complete list, not changes."""
        return self.since == BEFORE_ALL_VERSIONS


@dataclass(frozen=True, slots=True)
class DiscoveryStatus:
    """The state of discovery requests, for operators.  Times in seconds."""

    address: Address
    # Version of the list in use; None without a list, or if the next request reads all of it.
    version: int | None
    list_age_s: float | None  # since the list was last known to be up to date; None without a list
    due_in_s: float | None  # until the list must be refreshed; below 0: the refresh is overdue
    open_requests: int  # requests without a response so far
    last_failure: str  # kind, failure and error of the last failed request; "" if none has failed
    last_failure_age_s: float | None


class DiscoveryClient:
    """The version of the list, and the requests that keep the list up to date."""

    def __init__(self, address: Address, schedule: RefreshSchedule, *, pushed: bool) -> None:
        """``pushed``: lists come from an agent on this machine, which numbers its own versions."""
        self.version = BEFORE_ALL_VERSIONS
        self._address = address
        self._schedule = schedule
        self._pushed = pushed
        self._needs_complete_list = False  # the next request reads the complete list
        self._is_stopped = False
        self._last_failure = ""
        self._last_failure_at = -math.inf

    # ---- state

    def status(self, now: float) -> DiscoveryStatus:
        """Return the state of discovery requests."""
        has_failed = bool(self._last_failure)
        return DiscoveryStatus(
            address=self._address,
            version=None if self.version == BEFORE_ALL_VERSIONS else self.version,
            list_age_s=self._schedule.age_s(now) if self.has_list else None,
            due_in_s=self._schedule.due_at() - now if self._schedule.is_running else None,
            open_requests=self._schedule.open_request_count,
            last_failure=self._last_failure,
            last_failure_age_s=now - self._last_failure_at if has_failed else None,
        )

    @property
    def has_list(self) -> bool:
        """Whether any list has been received."""
        return self._schedule.up_to_date_at > -math.inf

    def list_age_us(self, now: float) -> int | None:
        """Return how long ago the list was last known to be up to date; None without a list."""
        return int(US_PER_S * self._schedule.age_s(now)) if self.has_list else None

    def next_request_at(self) -> float:
        """Return when the next request is due; infinity if no time is known yet."""
        return self._schedule.next_request_at()

    # ---- commands

    def watch(self, now: float) -> None:
        """Send a first request at once; does nothing if requests are open or scheduled."""
        if not (self._schedule.is_running or self._is_stopped):
            self._schedule.start(now)

    def pause(self) -> None:
        """Send no requests until the next :meth:`watch`."""
        self._schedule.stop()

    def stop(self) -> None:
        """Send no requests any more; a later :meth:`watch` has no effect."""
        self._is_stopped = True
        self.pause()

    def fetch(self) -> None:
        """Request the complete list next; open requests continue."""
        self._needs_complete_list = True
        self._schedule.end_watch()

    def move(self, address: Address, now: float) -> bool:
        """Use another address from now on; return whether the open requests are to be cancelled.

        Where lists are pushed, each agent numbers its own versions, so the complete list is read
        again at once.  Where discovery is polled, only the next request goes to the new address.  A
        cancelled request would lose its place in discovery's queue, and if all nodes repeated their
        requests with each reload, the queue would stay full.
        """
        self._address = address
        self._schedule.end_watch()
        if not self._pushed or self._is_stopped:
            return False
        self.version = BEFORE_ALL_VERSIONS
        self._schedule.restart(now)
        return True

    def adopt(self, version: int, age_us: int | None, now: float) -> bool:
        """Take the version of another process's complete list; return whether to use that list.

        It is used if it is newer.  Its age (None if unknown) keeps counting: an age that started at
        0 in each process would not bound the age of the list.
        """
        if self.has_list and (self._pushed or version <= self.version):
            return False
        self.version = version
        if age_us is not None:
            self._schedule.on_list(now - age_us / US_PER_S)
        return True

    # ---- discovery requests

    def begin_request(self, now: float) -> DiscoveryRequest:
        """Return the request that is due now."""
        if self._needs_complete_list:
            self.version = BEFORE_ALL_VERSIONS
            self._needs_complete_list = False
        return DiscoveryRequest(self._schedule.begin_request(now), self._address, self.version)

    def on_response(
        self, request: DiscoveryRequest, new: EndpointList, now: float
    ) -> EndpointList | None:
        """Return the list to apply, or None; the other open requests are dropped.

        The response that opens a watch is applied even without changes.  Raise OutdatedListError if
        the response's version is below the current one: discovery has started counting again.
        """
        self._schedule.drop_others(request.scheduled)
        if self._is_superseded(request, new.version):
            return None
        if not new.complete and new.version < self.version:
            expected = self.version
            self.version = BEFORE_ALL_VERSIONS  # the next request reads the complete list
            raise OutdatedListError(f"index: expected changes since {expected}, got {new.version}")
        if request.scheduled.kind is RequestKind.OPENING or new.complete or new.endpoints:
            return replace(new, previous_age_us=self.list_age_us(now))
        return None

    def on_applied(
        self, request: DiscoveryRequest, version: int, up_to_date_at: float, now: float
    ) -> None:
        """Count a response as read, now that its list is in use, and continue its watch."""
        if self._is_superseded(request, version):
            self._schedule.on_response(now, continues=False)
            return
        self.version = version
        self._schedule.on_list(up_to_date_at)
        continues = request.address == self._address and not self._needs_complete_list
        self._schedule.on_response(now, continues=continues)

    def _is_superseded(self, request: DiscoveryRequest, version: int) -> bool:
        """Whether a newer list was adopted during a request, whose own list may be older.

        If discovery has started counting versions again instead, the next response shows it.
        """
        return request.since != self.version and version < self.version

    def on_failure(
        self, request: DiscoveryRequest, failure: Failure, now: float, detail: str = ""
    ) -> None:
        """Take the failure of a request, or a failure to apply its list.

        ``detail``: the error, shown to operators.
        """
        self._last_failure = f"{request.scheduled.kind.value} call {failure.value}: {detail}"
        self._last_failure_at = now
        self._schedule.on_failure(request.scheduled, now, failure)
