"""Discovery's side: asking for the list, the watch on its changes, and noticing when either is lost."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable
from typing import Any

import httptools

from oakbridge.node.listing import Address, BadList, Listener, Listing, parse
from oakbridge.node.observer import NodeObserver
from oakbridge.policy.endpoint_list import AT_ONCE_US

log = logging.getLogger(__name__)

# News counts as told 6 s after discovery had it, whether or not it arrived, once a call was given up.  A watch that has
# fallen silent looks like one without news, so each ends long before, and what is left is for asking anew: of all
# nodes at once, and discovery takes one call after another.  Each waits for another while: nodes that heard the same
# news must not end their watches, or find them silent, together.  To go on with a watch costs discovery nothing.
WATCH_LEAST_S, WATCH_MOST_S = 0.5, 4.0
LATE_S = 0.5  # an answer may be so late before its watch is given up
# What begins a watch may stand in a line: a discovery that turns calls away after one to three seconds says so itself.
ANSWER_S = 3.0
AGENT_ANSWER_S = 1.0  # an agent on the own machine answers at once
TOLD_LATE_S = 2.0  # where the settings ask for less: news counts as told so long after a wait
# A version before all others: what begins a watch with it is answered with the whole list, and goes on as a watch.  To
# ask for the list first and begin a watch behind it would cost discovery two calls, and the second its place in line.
BEFORE_ALL = -1
AGENT_AGAIN_S = 0.1  # an agent on the own machine is asked again so soon after it failed
MAX_LIST = 4 * 1024 * 1024
CHUNK = 64 * 1024


class _Answer:
    """Collects one answer."""

    def __init__(self) -> None:
        self.parser: Any = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.status = 0
        self.complete = False

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.status = self.parser.get_status_code()
        self.complete = self.status >= 200


class Discovery:
    """Asks; what comes is handed on as a listing, and what fails as a loss."""

    def __init__(self, address: Address, pushed: bool, ask_within: int, seed: int = 0) -> None:
        """``ask_within``: microseconds after which a node that has not asked counts as told of all changes."""
        self._address, self._pushed = address, pushed
        self._most = max(WATCH_LEAST_S, min(WATCH_MOST_S, ask_within / 1e6 - TOLD_LATE_S))
        self._answer = AGENT_ANSWER_S if pushed else ANSWER_S
        self._random = random.Random(f"discovery {seed}")
        self.index = BEFORE_ALL
        self._on = False  # whether a watch is on, so that the list is up to date
        self._fresh = 0.0  # when it was last known to be, in the loop's time
        self._watch: asyncio.Task[None] | None = None
        self.observer: NodeObserver | None = None
        self._fetches: set[asyncio.Task[None]] = set()

    def tell(self, listener: Listener) -> None:
        """Name who is told of listings and of losses."""
        self._listed: Callable[[Listing], None] = listener.listed
        self._lost: Callable[[int, int], None] = listener.lost_watch

    def start(self) -> None:
        """Where lists are pushed, the agent is listened to from the start; elsewhere the module asks."""
        if self._pushed:
            self.watch(True)

    def watch(self, on: bool) -> None:
        """Begin a watch, or leave it; one that is on, or on its way, is kept with its place in discovery's line."""
        if not on and self._watch is not None:
            self._watch.cancel()
            self._watch = None
        elif on and self._watch is None:
            self._watch = asyncio.get_running_loop().create_task(self._watching())

    def fetch(self) -> None:
        """Ask for the whole list once."""
        task = asyncio.get_running_loop().create_task(self._fetching())
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    def move(self, address: Address) -> None:
        """Ask at another address from now on, at once.

        What is under way at the old one is cancelled, so neither a late answer nor its end counts as news.  Where
        lists are pushed, each agent has versions of its own.  Discovery that is asked is one service for all nodes, so
        the watch goes on from where it was: the whole list for all nodes, and a second call of each for its watch,
        would fill its line for longer than news may take.  A lower version has the whole list asked for (_take).
        """
        self.stop()
        if self._on:
            self._fresh = self._now()
        self._address = address
        if self._pushed:
            self.index = BEFORE_ALL
        self.watch(True)

    def stop(self) -> None:
        """Ask no more."""
        for task in [self._watch, *self._fetches]:
            if task is not None:
                task.cancel()
        self._watch = None

    async def _fetching(self) -> None:
        began = self._now()
        try:
            self._take(await self._ask("/api/targets", self._answer), first=True)
        except Exception as e:
            self._failed(e)
            self._tell_lost(self._now() - began)

    async def _watching(self) -> None:
        """Begin a watch, and go on with it as soon as an answer is taken; one that falls silent is begun anew."""
        self._on = False
        while True:
            began, wait = self._now(), self._random.uniform(WATCH_LEAST_S, self._most)
            path = f"/api/targets?since={self.index}&timeout_ms={int(1000 * wait)}"
            try:
                listing = await self._ask(path, wait + (LATE_S if self._on else self._answer))
                self._take(listing, first=not self._on)
                self._on = True
            except Exception as e:  # whatever it was: a watch that ends untold would hide every drain
                if self._on and isinstance(e, TimeoutError):
                    log.warning("a watch has fallen silent: asking anew")
                    self._on = False
                    continue
                self._failed(e)
                if not self._pushed:
                    self._watch = None
                    self._tell_lost(self._now() - began)
                    return
                self._on = False
                await asyncio.sleep(AGENT_AGAIN_S)

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def _tell_lost(self, waited: float) -> None:
        """Tell that a call has failed, or that a watch broke: one that was on, and for longer than a refusal takes."""
        now, us = self._now(), max(1, int(1e6 * waited))
        if self._on and us > AT_ONCE_US:
            self._fresh, us = now, 0
        self._on = False
        self._lost(us, int(1e6 * (now - self._fresh)))

    @staticmethod
    def _failed(e: Exception) -> None:
        expected = isinstance(e, BadList | OSError)  # a time-out is one of the latter
        log.warning("discovery is lost: %s", str(e) or type(e).__name__, exc_info=None if expected else e)

    def _take(self, listing: Listing, first: bool) -> None:
        """Hand a listing on; a watch's first answer also where nothing has changed: it answers the call."""
        before = self.index
        if not listing.whole and listing.index < before:
            self.index = BEFORE_ALL  # whoever answers counts anew: the whole list is asked for
            raise BadList(f"index: expected changes since {before}, got {listing.index}")
        self.index, self._fresh = listing.index, self._now()
        if first or listing.whole or listing.entries:
            self._listed(listing)

    async def _ask(self, path: str, wait: float) -> Listing:
        """One call on a connection of its own.

        Guards against a kept connection that discovery has just closed, which looks like a lost watch.
        """
        if self.observer is not None:
            self.observer.on_poll(whole_list="?" not in path)
        async with asyncio.timeout(wait):
            reader, writer = await asyncio.open_connection(*self._address)
            try:
                host, port = self._address
                writer.write(
                    f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\nConnection: close\r\n\r\n".encode()
                )
                answer = await self._read(reader)
            finally:
                writer.transport.abort()
        if answer.status != 200:
            raise BadList(f"discovery answered {answer.status}")
        try:
            listing = parse(json.loads(bytes(answer.body)))
        except (ValueError, RecursionError) as e:
            raise BadList(str(e) or "not JSON") from None
        if self.observer is not None:
            self.observer.on_endpoint_list(len(listing.entries))
        return listing

    @staticmethod
    async def _read(reader: asyncio.StreamReader) -> _Answer:
        answer = _Answer()
        while not answer.complete:
            data = await reader.read(CHUNK)
            if not data:
                raise BadList("the connection ended before the answer did")
            try:
                answer.parser.feed_data(data)
            except (httptools.HttpParserError, httptools.HttpParserUpgrade) as e:
                if not answer.complete:
                    raise BadList(f"no HTTP: {e}") from None
            if len(answer.body) > MAX_LIST:
                raise BadList(f"a list of more than {MAX_LIST} bytes")
        return answer
