"""Discovery as a source of endpoint lists: poll it, watch it for changes, and report when either fails."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import replace

from oakbridge.node.address import Address
from oakbridge.node.discovery_http import poll
from oakbridge.node.endpoint_list import EndpointList
from oakbridge.node.endpoint_source import EndpointListener
from oakbridge.node.errors import EndpointListError
from oakbridge.node.observer import NodeObserver
from oakbridge.node.system_errors import is_path_error
from oakbridge.policy.endpoint_reconciler import AT_ONCE_US

log = logging.getLogger(__name__)

# Every change must reach a node within its propagation deadline: 6 s after discovery has it, or less
# where the settings ask for shorter poll intervals.  The deadline also holds while a node can't reach
# discovery.
#
# A watch that has broken silently looks like one without changes, so each watch is short: what is
# left of the deadline is for a new poll.  All nodes may poll at the same time then, and discovery
# handles its request queue one request at a time.  The length of a watch has jitter, so that nodes
# that got the same change do not end their watches, or time out, together.  Renewing a watch costs
# discovery nothing.
MIN_WATCH_S = 0.5
MAX_WATCH_S = 4.0
# Left of a shorter propagation deadline after the longest watch.
POLL_MARGIN_S = 2.0
# A response may be so much later than the end of its watch.
WATCH_GRACE_S = 0.5
# The request that starts a watch may wait in discovery's request queue.  Discovery itself rejects
# requests that have waited there for one to three seconds.
RESPONSE_TIMEOUT_S = 3.0
AGENT_RESPONSE_TIMEOUT_S = 1.0  # an agent on the same machine responds at once
AGENT_RETRY_S = 0.1  # after a request to it failed
PATH_RETRY_S = 0.05  # after the way to discovery broke,
MAX_PATH_RETRIES = 10  # and so often in a row
# A version before all others.  A watch from here is answered with the complete list at once and then
# goes on as a watch; a poll for the list and a watch after it would be two requests in the queue.
BEFORE_ALL_VERSIONS = -1
LIST_PATH = "/api/targets"
US_PER_S = 1e6


class DiscoverySource:
    """Polls discovery; calls the listener with lists, and with polls that failed."""

    def __init__(
        self, address: Address, *, pushed: bool, poll_interval_us: int, seed: int = 0
    ) -> None:
        """Make a source that is idle until :meth:`start` or :meth:`watch`.

        ``pushed``: an agent on the same machine pushes lists; else the balancer starts watches.
        ``poll_interval_us``: the propagation deadline of a change.
        """
        self._address = address
        self._pushed = pushed
        longest = poll_interval_us / US_PER_S - POLL_MARGIN_S
        self._max_watch_s = max(MIN_WATCH_S, min(MAX_WATCH_S, longest))
        self._response_timeout_s = AGENT_RESPONSE_TIMEOUT_S if pushed else RESPONSE_TIMEOUT_S
        self._random = random.Random(f"discovery {seed}")
        self.index = BEFORE_ALL_VERSIONS
        # Whether the current watch has had a response, so that the list is up to date.
        self._watch_established = False
        self._has_list = False  # whether any list has come
        self._fresh_at = 0.0  # when the list was last known to be up to date, in the loop's time
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
        """Start or stop a watch; one that runs, or is being started, keeps its place in the request queue."""
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
        """Use another address from now on, and poll it at once.

        Requests to the old address are cancelled, so their responses and failures are ignored.

        Where lists are pushed, each agent has versions of its own, so the complete list is read
        anew.  Where discovery is polled, it is one service for all nodes, and the watch continues
        from the current version: complete lists for all nodes at once would occupy the request
        queue for longer than the propagation deadline.  If the new address has a lower version, the
        complete list is polled all the same (see _apply).
        """
        self.stop()
        if self._watch_established:
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
        """Renew the watch after each response, until it fails.

        A failure is handled by what it leaves uncertain:

        - An established watch times out: discovery may only have lost the connection, so the watch
          is started anew at once, and nothing is reported yet.
        - The way to discovery breaks (a path error): a response may be lost that counts as told, so
          the call is made again at once, a few times.
        - Anything else, also a time-out of the first response: the agent is tried again after a
          pause; with discovery, the watch ends and the listener is called, which decides when to poll.
        """
        self._watch_established = False
        path_errors = 0  # in a row
        while True:
            started_at = self._now()
            try:
                await self._watch_once()
                path_errors = 0
            except (
                Exception
            ) as e:  # of any kind: a watch that ended unnoticed would hide every drain
                if self._watch_established and isinstance(e, TimeoutError):
                    log.warning("a watch has fallen silent: asking anew")
                    self._watch_established = False
                    continue
                self._log_failure(e)
                if is_path_error(e) and path_errors < MAX_PATH_RETRIES:
                    path_errors += 1
                    self._watch_established = False
                    await asyncio.sleep(PATH_RETRY_S)
                    continue
                if not self._pushed:
                    self._watch_task = None
                    self._report_failure(self._now() - started_at)
                    return
                self._watch_established = False
                await asyncio.sleep(AGENT_RETRY_S)

    async def _watch_once(self) -> None:
        """Wait for changes since the current version, and apply them."""
        watch_s = self._random.uniform(MIN_WATCH_S, self._max_watch_s)
        path = f"{LIST_PATH}?since={self.index}&timeout_ms={int(1000 * watch_s)}"
        grace_s = WATCH_GRACE_S if self._watch_established else self._response_timeout_s
        new = await self._poll(path, watch_s + grace_s)
        self._apply(new, first=not self._watch_established)
        self._watch_established = True

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
        """Tell the listener that a poll or a watch failed, for how long it waited, and how old the list is.

        An established watch that breaks late was up to date until now; one that breaks at once was
        rejected by discovery, and the list is as old as it was.
        """
        now = self._now()
        waited_us = max(1, int(US_PER_S * waited_s))
        if self._watch_established and waited_us > AT_ONCE_US:
            self._fresh_at = now
            waited_us = 0
        self._watch_established = False
        self._on_poll_failed(waited_us, int(US_PER_S * (now - self._fresh_at)))

    @staticmethod
    def _log_failure(e: Exception) -> None:
        expected = isinstance(e, EndpointListError | OSError)  # a time-out is one of the latter
        log.warning(
            "discovery is lost: %s", str(e) or type(e).__name__, exc_info=None if expected else e
        )

    def _apply(self, new: EndpointList, *, first: bool) -> None:
        """Pass a list to the listener, unless it is a watch's response without changes.

        ``first``: it answers a poll or starts a watch; it is passed on also without changes.
        """
        before = self.index
        if not new.complete and new.index < before:
            # The versions of whoever responds begin anew: the next request reads the complete list.
            self.index = BEFORE_ALL_VERSIONS
            raise EndpointListError(f"index: expected changes since {before}, got {new.index}")
        self.index = new.index
        staleness = int(US_PER_S * (self._now() - self._fresh_at)) if self._has_list else None
        self._has_list = True
        self._fresh_at = self._now()
        if first or new.complete or new.endpoints:
            self._on_list(replace(new, staleness=staleness))
