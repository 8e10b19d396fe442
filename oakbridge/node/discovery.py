"""Discovery's side: asking for the list, the watch on its changes, and noticing when either is lost."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import httptools

from oakbridge.node.config import Address, ConfigError, parse_address
from oakbridge.policy import vocabulary as api

log = logging.getLogger(__name__)

WATCH_MS = 20_000  # how long a watch may wait for news
ANSWER_S = 2.0  # what is not answered so long after its wait counts as told all the same: it is lost
AGENT_AGAIN_S = 0.1  # an agent on the own machine is asked again so soon after it failed
MAX_LIST = 4 * 1024 * 1024
CHUNK = 64 * 1024

_STATE = {"ready": api.UP, "draining": api.DRAINING, "gone": api.GONE}


class BadList(ValueError):
    """Discovery's answer can't be used."""


@dataclass(frozen=True, slots=True)
class Entry:
    """One server as listed, and where it listens."""

    server: api.ListedServer
    address: Address


@dataclass(frozen=True, slots=True)
class Listing:
    """A version of the list, or what changed up to it."""

    index: int
    whole: bool
    entries: list[Entry]


def _number(value: Any, kind: type | tuple[type, ...], what: str) -> Any:
    if isinstance(value, bool) or not isinstance(value, kind):
        raise BadList(f"{what}: expected a number, got {value!r:.80}")
    return value


def _entry(raw: Any) -> Entry:
    """One entry; its start is Unix time, which the node's clock counts in as well."""
    if not isinstance(raw, dict):
        raise BadList(f"endpoints: expected objects, got {raw!r:.80}")
    name, state = raw.get("name"), raw.get("status", "ready")
    if not isinstance(name, str) or not name:
        raise BadList(f"name: expected a string, got {name!r:.80}")
    if not isinstance(state, str) or state not in _STATE:
        raise BadList(f"status: expected ready, draining or gone, got {state!r:.80}")
    since = _number(raw.get("since_ms", 0), (int, float), "since_ms")
    weight = _number(raw.get("weight", 1.0), (int, float), "weight")
    cell = _number(raw.get("group", 0), int, "group")
    listed = api.ListedServer(
        name, _STATE[state], str(raw.get("zone") or ""), cell, float(weight), int(since * 1000)
    )
    try:
        return Entry(listed, parse_address(raw.get("address")))
    except ConfigError as e:
        if listed.state == api.GONE:  # nothing is sent there: its address does not matter
            return Entry(listed, ("0.0.0.0", 0))
        raise BadList(f"address: {e}") from None


def parse(raw: Any) -> Listing:
    """An answer, or the configuration's ``known``, checked as a whole: half a list is no list."""
    if not isinstance(raw, dict) or not isinstance(raw.get("endpoints"), list):
        raise BadList("expected an object with a list of endpoints")
    index = _number(raw.get("index"), int, "index")
    try:
        entries = [_entry(e) for e in raw["endpoints"]]
    except (OverflowError, ValueError) as e:  # also not-a-number and infinity, which JSON's reader lets in
        raise BadList(str(e)) from None
    return Listing(index, bool(raw.get("snapshot", False)), entries)


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

    def __init__(
        self, address: Address, pushed: bool, listed: Callable[[Listing], None], lost: Callable[[], None]
    ) -> None:
        self._address, self._pushed = address, pushed
        self._listed, self._lost = listed, lost
        self.index: int | None = None
        self._watch: asyncio.Task[None] | None = None
        self._fetches: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Where lists are pushed, the agent is listened to from the start; elsewhere the module asks."""
        if self._pushed:
            self.watch(True)

    def watch(self, on: bool) -> None:
        """Begin a watch, or leave it; asking again while one is on is one more call, as anywhere."""
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
        if on:
            self._watch = asyncio.get_running_loop().create_task(self._watching())

    def fetch(self) -> None:
        """Ask for the whole list once."""
        task = asyncio.get_running_loop().create_task(self._fetching())
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    def move(self, address: Address) -> None:
        """Ask at another address from now on, at once and for the whole list: its versions are its own.

        What is under way at the old one is called off, so neither a late answer nor its end counts as news.
        """
        self.stop()
        self._address, self.index = address, None
        self.watch(True)

    def stop(self) -> None:
        """Ask no more."""
        for task in [self._watch, *self._fetches]:
            if task is not None:
                task.cancel()
        self._watch = None

    async def _fetching(self) -> None:
        try:
            self._take(await self._ask("/api/targets", ANSWER_S), first=True)
        except Exception as e:
            self._failed(e)
            self._lost()

    async def _watching(self) -> None:
        """Ask again as soon as an answer is taken, well inside the time for which a watch goes on."""
        first = True
        while True:
            path, wait = "/api/targets", ANSWER_S
            if self.index is not None:
                path += f"?since={self.index}&timeout_ms={WATCH_MS}"
                wait += WATCH_MS / 1000
            try:
                self._take(await self._ask(path, wait), first)
                first = False
            except Exception as e:  # whatever it was: a watch that ends untold would hide every drain
                self._failed(e)
                if not self._pushed:
                    self._watch = None
                    self._lost()
                    return
                await asyncio.sleep(AGENT_AGAIN_S)

    @staticmethod
    def _failed(e: Exception) -> None:
        expected = isinstance(e, BadList | OSError)  # a time-out is one of the latter
        log.warning("discovery is lost: %s", str(e) or type(e).__name__, exc_info=None if expected else e)

    def _take(self, listing: Listing, first: bool) -> None:
        """Hand a listing on; a watch's first answer also where nothing has changed: it answers the call."""
        self.index = listing.index
        if first or listing.whole or listing.entries:
            self._listed(listing)

    async def _ask(self, path: str, wait: float) -> Listing:
        """One call on a connection of its own.

        Guards against a kept connection that discovery has just closed, which looks like a lost watch.
        """
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
            return parse(json.loads(bytes(answer.body)))
        except (ValueError, RecursionError) as e:
            raise BadList(str(e) or "not JSON") from None

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
