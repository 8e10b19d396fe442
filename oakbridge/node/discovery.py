"""Discovery as a source of endpoint lists: the calls that its refresh schedule asks for."""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections.abc import Callable
from dataclasses import replace

from oakbridge.node.address import Address
from oakbridge.node.discovery_http import PollResponse, poll
from oakbridge.node.endpoint_list import EndpointList
from oakbridge.node.endpoint_source import EndpointListener
from oakbridge.node.errors import EndpointListError, OutdatedListError
from oakbridge.node.list_refresh import Call, CallKind, Failure, RefreshSchedule
from oakbridge.node.observer import NodeObserver
from oakbridge.node.system_errors import is_path_error

log = logging.getLogger(__name__)

# A version before all others: a call for changes since then is answered with the complete list.
BEFORE_ALL_VERSIONS = -1
LIST_PATH = "/api/targets"
MS_PER_S = 1000
US_PER_S = 1e6


class DiscoverySource:
    """Calls discovery whenever its schedule says so, and the listener with the lists that come.

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
        self._address = address
        self._pushed = pushed
        self._loop = asyncio.get_running_loop()
        self._schedule = RefreshSchedule(
            self._loop.time(), poll_interval_us, random.Random(f"discovery {seed}"), pushed=pushed
        )
        self.index = BEFORE_ALL_VERSIONS
        self._needs_complete_list = False  # the next call asks for it
        self._calls: dict[Call, asyncio.Task[None]] = {}
        self._next_call: asyncio.TimerHandle | None = None
        self._stopped = False
        self.observer: NodeObserver | None = None
        # Each is called after a list with changes has been read here.
        self.read_listeners: list[Callable[[], None]] = []

    def attach(self, listener: EndpointListener) -> None:
        """Name the listener."""
        self._on_list: Callable[[EndpointList], None] = listener.on_endpoint_list

    def configure(self, poll_interval_us: int) -> None:
        """Go by another setting from the next call on."""
        self._schedule.configure(poll_interval_us)

    def start(self) -> None:
        """Listen to the agent where lists are pushed; elsewhere the balancer starts a watch."""
        if self._pushed:
            self.watch(True)

    def watch(self, on: bool) -> None:
        """Begin to watch, or pause; a watch that runs, or waits for its turn, goes on as it is."""
        if not on:
            self._pause()
        elif not self._schedule.is_running and not self._stopped:
            self._schedule.start(self._loop.time())
            self._arm()

    def adopt(self, known: EndpointList, age_us: int | None) -> None:
        """Use the complete list of another process of this node, if it is newer; None: of unknown age.

        Its age goes on: a bound that began anew with each process would not be one.
        """
        if self.has_list and (self._pushed or known.index <= self.index):
            return
        self.index = known.index
        if age_us is not None:
            self._schedule.on_list(self._loop.time() - age_us / US_PER_S)
        self._on_list(known)

    @property
    def has_list(self) -> bool:
        """Whether any list has come."""
        return self._schedule.fresh_at > -math.inf

    def list_age_us(self) -> int | None:
        """Return how long ago the list was known to be up to date; None if none has come."""
        if not self.has_list:
            return None
        return int(US_PER_S * self._schedule.age_s(self._loop.time()))

    def fetch(self) -> None:
        """Have the next call read the complete list; those that are out go on."""
        self._needs_complete_list = True
        self._schedule.end_watch()

    def move(self, address: Address) -> None:
        """Use another address from now on.

        Where lists are pushed, each agent has versions of its own, so the complete list is read
        anew, at once.  Where discovery is polled, the next call goes there: a call or a watch that
        was given up would lose its place, and the nodes' calls together, made anew with each
        reload, keep discovery's queue full.
        """
        self._address = address
        self._schedule.end_watch()
        if self._pushed and not self._stopped:
            self.index = BEFORE_ALL_VERSIONS
            self._cancel_calls()
            self._schedule.restart(self._loop.time())
            self._arm()

    def stop(self) -> None:
        """Call discovery no more, whatever the balancer's timers ask for while the node closes."""
        self._stopped = True
        self._pause()

    def _pause(self) -> None:
        self._schedule.stop()
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
        due = self._schedule.next_call_at()
        if due < math.inf:
            self._next_call = self._loop.call_at(due, self._begin_call)

    def _begin_call(self) -> None:
        call = self._schedule.begin_call(self._loop.time())
        self._calls[call] = self._loop.create_task(self._make_call(call))
        self._arm()

    async def _make_call(self, call: Call) -> None:
        """Make a call, and tell the schedule what became of it.

        Errors of any kind are failures: a watch that ended unnoticed would hide every drain.
        """
        address = self._address
        if self._needs_complete_list:
            self.index = BEFORE_ALL_VERSIONS
            self._needs_complete_list = False
        path = f"{LIST_PATH}?since={self.index}&timeout_ms={int(MS_PER_S * call.wait_s)}"
        try:
            response = await self._poll(address, path, call.timeout_s)
            del self._calls[call]
            self._cancel_calls()
            self._schedule.give_up_others(call)
            self._apply(response, first=call.kind is CallKind.OPENING)
        except Exception as error:
            self._calls.pop(call, None)
            self._on_failure(call, error)
        else:
            now = self._loop.time()
            continues = address == self._address and not self._needs_complete_list
            self._schedule.on_answer(now, continues=continues)
        self._arm()

    async def _poll(self, address: Address, path: str, timeout_s: float) -> PollResponse:
        if self.observer is not None:
            self.observer.on_poll(complete_list=f"since={BEFORE_ALL_VERSIONS}&" in path)
        response = await poll(address, path, timeout_s)
        if self.observer is not None:
            self.observer.on_endpoint_list(len(response.list.endpoints))
        return response

    def _on_failure(self, call: Call, error: Exception) -> None:
        now = self._loop.time()
        failure = failure_of(error)
        self._schedule.on_failure(call, now, failure)
        expected = isinstance(error, EndpointListError | OSError)  # a time-out is one of the latter
        log.warning(
            "discovery is lost: %s (%s call, %s after %.3f s; list %.1f s old; next call in %.3f s)",
            str(error) or type(error).__name__,
            call.kind.value,
            failure.value,
            now - call.started_at,
            self._schedule.age_s(now),
            self._schedule.next_call_at() - now,
            exc_info=None if expected else error,
        )

    def _apply(self, response: PollResponse, *, first: bool) -> None:
        """Pass a list to the listener, unless it is a watch's response without changes.

        ``first``: it begins a watch; it is passed on also without changes.
        """
        new, before = response.list, self.index
        if not new.complete and new.index < before:
            # The versions of whoever responds begin anew: the next call reads the complete list.
            self.index = BEFORE_ALL_VERSIONS
            raise OutdatedListError(f"index: expected changes since {before}, got {new.index}")
        self.index = new.index
        staleness = self.list_age_us()
        self._schedule.on_list(response.begun_at)
        if first or new.complete or new.endpoints:
            self._on_list(replace(new, staleness=staleness))
        if new.index != before or new.endpoints:
            for on_read in self.read_listeners:
                on_read()


def failure_of(error: Exception) -> Failure:
    """Return how a call failed, by its error."""
    if is_path_error(error):
        return Failure.PATH
    if isinstance(error, TimeoutError):
        return Failure.SILENT
    return Failure.OUTDATED if isinstance(error, OutdatedListError) else Failure.REFUSED
