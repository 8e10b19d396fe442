"""Discovery as a source of endpoint lists: sends the requests that DiscoveryClient schedules."""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections.abc import Callable

from oakbridge.node.address import Address
from oakbridge.node.discovery_client import DiscoveryClient, DiscoveryRequest, DiscoveryStatus
from oakbridge.node.discovery_http import PollResponse, poll
from oakbridge.node.endpoint_list import EndpointList
from oakbridge.node.endpoint_source import EndpointListener
from oakbridge.node.errors import EndpointListError, OutdatedListError
from oakbridge.node.list_refresh import Failure, RefreshSchedule
from oakbridge.node.observer import NodeObserver
from oakbridge.node.system_errors import is_network_error

log = logging.getLogger(__name__)


class DiscoverySource:
    """Sends discovery requests when they are due, and passes the endpoint lists to the listener.

    Where discovery is polled, it is one service for all nodes, whatever its address.  A move
    changes where the next request goes; open requests keep their places in discovery's queue.
    """

    def __init__(
        self, address: Address, *, pushed: bool, poll_interval_us: int, seed: int = 0
    ) -> None:
        """Create a source that sends nothing until :meth:`start` or :meth:`watch`.

        ``pushed``: an agent on the same machine pushes lists; else the balancer starts the watch.
        ``poll_interval_us``: the setting; a short interval also lowers the maximum age of the list.
        """
        self._pushed = pushed
        self._loop = asyncio.get_running_loop()
        self._schedule = RefreshSchedule(
            self._loop.time(), poll_interval_us, random.Random(f"discovery {seed}"), pushed=pushed
        )
        self._client = DiscoveryClient(address, self._schedule, pushed=pushed)
        self._open_requests: dict[DiscoveryRequest, asyncio.Task[None]] = {}
        self._next_request_timer: asyncio.TimerHandle | None = None
        self.observer: NodeObserver | None = None
        # Called after a list with changes has been read from discovery.
        self.read_listeners: list[Callable[[], None]] = []

    def attach(self, listener: EndpointListener) -> None:
        """Set the listener that receives the lists."""
        self._on_list: Callable[[EndpointList], None] = listener.on_endpoint_list

    def configure(self, poll_interval_us: int) -> None:
        """Use another poll interval from the next discovery request on."""
        self._schedule.configure(poll_interval_us)

    @property
    def version(self) -> int:
        """The version of the current list."""
        return self._client.version

    def use_saved_version(self, version: int) -> None:
        """Request changes since the version of a saved list."""
        self._client.version = version

    @property
    def has_list(self) -> bool:
        """Whether any list has been received."""
        return self._client.has_list

    def list_age_us(self) -> int | None:
        """Return how long ago the list was last known to be up to date; None without a list."""
        return self._client.list_age_us(self._loop.time())

    def status(self) -> DiscoveryStatus:
        """Return the state of the connection to discovery, for operators."""
        return self._client.status(self._loop.time())

    def start(self) -> None:
        """Watch the agent where lists are pushed; elsewhere the balancer starts the watch."""
        if self._pushed:
            self.watch(True)

    def watch(self, on: bool) -> None:
        """Start the watch, or pause it; a watch that is running or queued is not restarted."""
        if on:
            self._client.watch(self._loop.time())
        else:
            self._client.pause()
            self._cancel_open_requests()
        self._schedule_next_request()

    def adopt(self, known: EndpointList, age_us: int | None) -> None:
        """Use the complete list of another process of this node, if it is newer.

        ``age_us``: the age of that list; None if it is unknown.
        """
        if self._client.adopt(known.version, age_us, self._loop.time()):
            self._on_list(known)

    def fetch(self) -> None:
        """Request the complete list next; open requests continue."""
        self._client.fetch()

    def move(self, address: Address) -> None:
        """Send discovery requests to another address from now on."""
        if self._client.move(address, self._loop.time()):
            self._cancel_open_requests()
        self._schedule_next_request()

    def stop(self) -> None:
        """Send no more requests, also where the balancer starts a watch while the node closes."""
        self._client.stop()
        self._cancel_open_requests()
        self._schedule_next_request()

    # ---- discovery requests

    def _cancel_open_requests(self) -> None:
        for task in self._open_requests.values():
            task.cancel()
        self._open_requests.clear()

    def _schedule_next_request(self) -> None:
        """Set the only timer to the time at which the next request is due."""
        if self._next_request_timer is not None:
            self._next_request_timer.cancel()
            self._next_request_timer = None
        due = self._client.next_request_at()
        if due < math.inf:
            self._next_request_timer = self._loop.call_at(due, self._start_request)

    def _start_request(self) -> None:
        request = self._client.begin_request(self._loop.time())
        self._open_requests[request] = self._loop.create_task(self._run_request(request))
        self._schedule_next_request()

    async def _run_request(self, request: DiscoveryRequest) -> None:
        """Send a request, and report its response or failure to the client.

        Any exception counts as a failure: a watch that stopped unnoticed would hide every drain.
        """
        try:
            response = await self._poll(request)
            del self._open_requests[request]
            self._cancel_open_requests()
            has_changes = self._apply(request, response)
        except Exception as error:
            self._open_requests.pop(request, None)
            self._on_failure(request, error)
            has_changes = False
        self._schedule_next_request()
        if has_changes:
            for on_read in self.read_listeners:
                on_read()

    async def _poll(self, request: DiscoveryRequest) -> PollResponse:
        if self.observer is not None:
            self.observer.on_poll(complete_list=request.asks_for_complete_list)
        response = await poll(request.address, request.target, request.scheduled.timeout_s)
        if self.observer is not None:
            self.observer.on_endpoint_list(len(response.list.endpoints))
        return response

    def _apply(self, request: DiscoveryRequest, response: PollResponse) -> bool:
        """Pass the list of a response to the listener; return whether it has changes."""
        new, previous_version = response.list, self.version
        to_apply = self._client.on_response(request, new, self._loop.time())
        if to_apply is not None:
            self._on_list(to_apply)
        self._client.on_applied(request, new.version, response.first_byte_at, self._loop.time())
        return new.version != previous_version or bool(new.endpoints)

    def _on_failure(self, request: DiscoveryRequest, error: Exception) -> None:
        now = self._loop.time()
        failure = failure_of(error)
        detail = str(error) or type(error).__name__
        self._client.on_failure(request, failure, now, detail)
        # A TimeoutError is an OSError.
        is_expected = isinstance(error, EndpointListError | OSError)
        log.warning(
            "discovery request failed: error=%s kind=%s failure=%s duration_s=%.3f list_age_s=%.1f"
            " retry_in_s=%.3f",
            detail,
            request.scheduled.kind.value,
            failure.value,
            now - request.scheduled.started_at,
            self._schedule.age_s(now),
            self._client.next_request_at() - now,
            exc_info=None if is_expected else error,
        )


def failure_of(error: Exception) -> Failure:
    """Return how a discovery request failed, by its error."""
    if is_network_error(error):
        return Failure.NETWORK
    if isinstance(error, TimeoutError):
        return Failure.TIMED_OUT
    return Failure.OUTDATED if isinstance(error, OutdatedListError) else Failure.REFUSED
