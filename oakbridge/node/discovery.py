"""Discovery as a source of endpoint lists: makes the calls that its client asks for."""

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
from oakbridge.node.system_errors import is_path_error

log = logging.getLogger(__name__)


class DiscoverySource:
    """Calls discovery whenever its client says so, and the listener with the lists that come.

    Where discovery is polled, it is one service for all nodes, at whichever address: a move changes
    where the next call goes, while those that are out keep their places in its queue.
    """

    def __init__(
        self, address: Address, *, pushed: bool, poll_interval_us: int, seed: int = 0
    ) -> None:
        """Make a source that is idle until :meth:`start` or :meth:`watch`.

        ``pushed``: an agent on the same machine pushes lists; else the balancer starts the watch.
        ``poll_interval_us``: the setting, which bounds the age of the list where it is short.
        """
        self._pushed = pushed
        self._loop = asyncio.get_running_loop()
        self._schedule = RefreshSchedule(
            self._loop.time(), poll_interval_us, random.Random(f"discovery {seed}"), pushed=pushed
        )
        self._client = DiscoveryClient(address, self._schedule, pushed=pushed)
        self._calls: dict[DiscoveryRequest, asyncio.Task[None]] = {}
        self._next_call: asyncio.TimerHandle | None = None
        self.observer: NodeObserver | None = None
        # Each is called after a list with changes has been read here.
        self.read_listeners: list[Callable[[], None]] = []

    def attach(self, listener: EndpointListener) -> None:
        """Name the listener."""
        self._on_list: Callable[[EndpointList], None] = listener.on_endpoint_list

    def configure(self, poll_interval_us: int) -> None:
        """Go by another setting from the next call on."""
        self._schedule.configure(poll_interval_us)

    @property
    def version(self) -> int:
        """The version of the list at hand."""
        return self._client.version

    def use_saved_version(self, index: int) -> None:
        """Ask for changes since the version of a saved list."""
        self._client.version = index

    @property
    def has_list(self) -> bool:
        """Whether any list has come."""
        return self._client.has_list

    def list_age_us(self) -> int | None:
        """Return how long ago the list was known to be up to date; None if none has come."""
        return self._client.list_age_us(self._loop.time())

    def status(self) -> DiscoveryStatus:
        """Return what is known of discovery, for operators."""
        return self._client.status(self._loop.time())

    def start(self) -> None:
        """Listen to the agent where lists are pushed; elsewhere the balancer starts a watch."""
        if self._pushed:
            self.watch(True)

    def watch(self, on: bool) -> None:
        """Begin to watch, or pause; a watch that runs, or waits for its turn, goes on as it is."""
        if on:
            self._client.watch(self._loop.time())
        else:
            self._client.pause()
            self._cancel_calls()
        self._arm()

    def adopt(self, known: EndpointList, age_us: int | None) -> None:
        """Use the complete list of another process of this node, if it is newer; None: of unknown age."""
        if self._client.adopt(known.version, age_us, self._loop.time()):
            self._on_list(known)

    def fetch(self) -> None:
        """Have the next call read the complete list; those that are out go on."""
        self._client.fetch()

    def move(self, address: Address) -> None:
        """Use another address from now on."""
        if self._client.move(address, self._loop.time()):
            self._cancel_calls()
        self._arm()

    def stop(self) -> None:
        """Call discovery no more, whatever the balancer's timers ask for while the node closes."""
        self._client.stop()
        self._cancel_calls()
        self._arm()

    # ---- calls

    def _cancel_calls(self) -> None:
        for task in self._calls.values():
            task.cancel()
        self._calls.clear()

    def _arm(self) -> None:
        """Have the one timer there is go off when the next call is due."""
        if self._next_call is not None:
            self._next_call.cancel()
            self._next_call = None
        due = self._client.next_request_at()
        if due < math.inf:
            self._next_call = self._loop.call_at(due, self._begin_call)

    def _begin_call(self) -> None:
        request = self._client.begin_request(self._loop.time())
        self._calls[request] = self._loop.create_task(self._make_call(request))
        self._arm()

    async def _make_call(self, request: DiscoveryRequest) -> None:
        """Make a call, and tell the client what became of it.

        Errors of any kind are failures: a watch that ended unnoticed would hide every drain.
        """
        try:
            response = await self._poll(request)
            del self._calls[request]
            self._cancel_calls()
            has_changes = self._apply(request, response)
        except Exception as error:
            self._calls.pop(request, None)
            self._on_failure(request, error)
            has_changes = False
        self._arm()
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
        """Pass a response's list to the listener; return whether it has changes."""
        new, before = response.list, self.version
        to_apply = self._client.on_response(request, new, self._loop.time())
        if to_apply is not None:
            self._on_list(to_apply)
        self._client.on_applied(request, new.version, response.begun_at, self._loop.time())
        return new.version != before or bool(new.endpoints)

    def _on_failure(self, request: DiscoveryRequest, error: Exception) -> None:
        now = self._loop.time()
        failure = failure_of(error)
        detail = str(error) or type(error).__name__
        self._client.on_failure(request, failure, now, detail)
        expected = isinstance(error, EndpointListError | OSError)  # a time-out is one of the latter
        log.warning(
            "discovery is lost: %s (%s call, %s after %.3f s; list %.1f s old; next call in %.3f s)",
            detail,
            request.scheduled.kind.value,
            failure.value,
            now - request.scheduled.started_at,
            self._schedule.age_s(now),
            self._client.next_request_at() - now,
            exc_info=None if expected else error,
        )


def failure_of(error: Exception) -> Failure:
    """Return how a call failed, by its error."""
    if is_path_error(error):
        return Failure.NETWORK
    if isinstance(error, TimeoutError):
        return Failure.TIMED_OUT
    return Failure.OUTDATED if isinstance(error, OutdatedListError) else Failure.REFUSED
