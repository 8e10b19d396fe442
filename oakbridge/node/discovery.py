"""Discovery as a source of endpoint lists: polls it, watches for changes, and notices when either fails."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from oakbridge.node.address import Address
from oakbridge.node.discovery_http import poll
from oakbridge.node.endpoint_list import EndpointList
from oakbridge.node.endpoint_source import EndpointListener
from oakbridge.node.errors import EndpointListError
from oakbridge.node.observer import NodeObserver
from oakbridge.policy.endpoint_reconciler import AT_ONCE_US

log = logging.getLogger(__name__)

# News counts as told 6 s after discovery had it, whether or not it arrived, once a call was given
# up.  A watch that has fallen silent looks like one without news, so each ends long before, and
# what is left is for polling anew: of all nodes at once, and discovery takes one call after
# another.  Each waits for another while: nodes that heard the same news must not end their watches,
# or find them silent, together.  To go on with a watch costs discovery nothing.
MIN_WATCH_S = 0.5
MAX_WATCH_S = 4.0
# A watch's response may be so late before the watch is given up.
WATCH_GRACE_S = 0.5
# What starts a watch may stand in a line: a discovery that rejects calls after one to three seconds
# says so itself.
RESPONSE_TIMEOUT_S = 3.0
AGENT_RESPONSE_TIMEOUT_S = 1.0  # an agent on the own machine responds at once
# Where the settings ask for shorter polls: news counts as told so long after a wait.
POLL_MARGIN_S = 2.0
# An agent on the own machine is polled again so soon after it failed.
AGENT_RETRY_S = 0.1
# A version before all others: what starts a watch with it is answered with the complete list, and
# goes on as a watch. To poll for the list first and start a watch behind it would cost discovery
# two calls, and the second its place in line.
BEFORE_ALL_VERSIONS = -1
LIST_PATH = "/api/targets"
US_PER_S = 1e6


class DiscoverySource:
    """Polls discovery; calls the listener with lists, and with polls that failed."""

    def __init__(self, address: Address, *, pushed: bool, poll_interval_us: int, seed: int = 0) -> None:
        """``pushed``: an agent on the own machine pushes lists; else the balancer starts watches.

        ``poll_interval_us``: after which a node that has not polled counts as told of all changes.
        """
        self._address = address
        self._pushed = pushed
        longest = poll_interval_us / US_PER_S - POLL_MARGIN_S
        self._max_watch_s = max(MIN_WATCH_S, min(MAX_WATCH_S, longest))
        self._response_timeout_s = AGENT_RESPONSE_TIMEOUT_S if pushed else RESPONSE_TIMEOUT_S
        self._random = random.Random(f"discovery {seed}")
        self.index = BEFORE_ALL_VERSIONS
        self._watching = False  # whether a watch is on, so that the list is up to date
        self._fresh_at = 0.0  # when the list was last known to be, in the loop's time
        self._watch_task: asyncio.Task[None] | None = None
        self._fetch_tasks: set[asyncio.Task[None]] = set()
        self.observer: NodeObserver | None = None

    def attach(self, listener: EndpointListener) -> None:
        """Name the listener."""
        self._on_list: Callable[[EndpointList], None] = listener.on_endpoint_list
        self._on_poll_failed: Callable[[int, int], None] = listener.on_poll_failed

    def start(self) -> None:
        """Listen to the agent where lists are pushed; elsewhere the balancer starts a watch."""
        if self._pushed:
            self.watch(True)

    def watch(self, on: bool) -> None:
        """Start or stop a watch; one that is on, or on its way, keeps its place in discovery's line."""
        if not on and self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None
        elif on and self._watch_task is None:
            self._watch_task = asyncio.get_running_loop().create_task(self._watch())

    def fetch(self) -> None:
        """Poll for the complete list once."""
        task = asyncio.get_running_loop().create_task(self._fetch())
        self._fetch_tasks.add(task)
        task.add_done_callback(self._fetch_tasks.discard)

    def move(self, address: Address) -> None:
        """Poll at another address from now on, at once.

        What is in flight to the old one is cancelled, so neither a late response nor its end counts
        as news.  Where lists are pushed, each agent has versions of its own.  Discovery that is
        polled is one service for all nodes, so the watch goes on from where it was: the complete
        list for all nodes, and a second call of each for its watch, would fill its line for longer
        than news may take.  A lower version has the complete list polled (_apply).
        """
        self.stop()
        if self._watching:
            self._fresh_at = self._now()
        self._address = address
        if self._pushed:
            self.index = BEFORE_ALL_VERSIONS
        self.watch(True)

    def stop(self) -> None:
        """Poll no more."""
        for task in [self._watch_task, *self._fetch_tasks]:
            if task is not None:
                task.cancel()
        self._watch_task = None

    async def _fetch(self) -> None:
        started_at = self._now()
        try:
            self._apply(await self._poll(LIST_PATH, self._response_timeout_s), first=True)
        except Exception as e:
            self._log_failure(e)
            self._report_failure(self._now() - started_at)

    async def _watch(self) -> None:
        """Start a watch, and go on with it as soon as a response is applied; one that falls silent is started anew."""
        self._watching = False
        while True:
            started_at = self._now()
            wait_s = self._random.uniform(MIN_WATCH_S, self._max_watch_s)
            path = f"{LIST_PATH}?since={self.index}&timeout_ms={int(1000 * wait_s)}"
            grace_s = WATCH_GRACE_S if self._watching else self._response_timeout_s
            try:
                new = await self._poll(path, wait_s + grace_s)
                self._apply(new, first=not self._watching)
                self._watching = True
            except Exception as e:  # whatever it was: a watch that ends unnoticed would hide every drain
                if self._watching and isinstance(e, TimeoutError):
                    log.warning("a watch has fallen silent: asking anew")
                    self._watching = False
                    continue
                self._log_failure(e)
                if not self._pushed:
                    self._watch_task = None
                    self._report_failure(self._now() - started_at)
                    return
                self._watching = False
                await asyncio.sleep(AGENT_RETRY_S)

    async def _poll(self, path: str, timeout_s: float) -> EndpointList:
        if self.observer is not None:
            self.observer.on_poll(complete_list="?" not in path)
        new = await poll(self._address, path, timeout_s)
        if self.observer is not None:
            self.observer.on_endpoint_list(len(new.endpoints))
        return new

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def _report_failure(self, waited_s: float) -> None:
        """Call the listener: a poll failed, or a watch broke, which was on for longer than a rejection takes."""
        now = self._now()
        waited_us = max(1, int(US_PER_S * waited_s))
        if self._watching and waited_us > AT_ONCE_US:
            self._fresh_at = now
            waited_us = 0
        self._watching = False
        self._on_poll_failed(waited_us, int(US_PER_S * (now - self._fresh_at)))

    @staticmethod
    def _log_failure(e: Exception) -> None:
        expected = isinstance(e, EndpointListError | OSError)  # a time-out is one of the latter
        log.warning("discovery is lost: %s", str(e) or type(e).__name__, exc_info=None if expected else e)

    def _apply(self, new: EndpointList, *, first: bool) -> None:
        """Hand a list on; a watch's first response also where nothing has changed: it answers the poll."""
        before = self.index
        if not new.complete and new.index < before:
            self.index = BEFORE_ALL_VERSIONS  # who responds counts anew: the complete list is polled
            raise EndpointListError(f"index: expected changes since {before}, got {new.index}")
        self.index = new.index
        self._fresh_at = self._now()
        if first or new.complete or new.endpoints:
            self._on_list(new)
