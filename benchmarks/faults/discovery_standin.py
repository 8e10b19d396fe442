"""A stand-in for discovery that loses or cuts off responses, is overloaded, and moves."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from peers import read_message, reply

# A request that arrives this soon after a response continues the node's watch.
WATCH_GAP_S = 0.2
# How long a connection without a complete response stays open.
HELD_OPEN_S = 60.0


class AnswerFault(Enum):
    """What happens to a response after discovery has sent it."""

    NONE = "arrives"
    LOST = "never arrives"
    HALF = "stops half-way"


class MovedAddress(Enum):
    """What the previous address does after discovery has moved to another one."""

    SERVES = "serves"
    CLOSES = "closes"
    SILENT = "silent"


class RequestQueue:
    """Discovery requests in turn; one that would wait too long is refused, at a small cost.

    A request that its client gives up costs as much time as a response.
    """

    def __init__(self, answer_s: float = 0.0, refusal_s: float = 0.0, max_wait_s: float = 1.0):
        """``answer_s``, ``refusal_s``: how long a response or a refusal keeps discovery busy."""
        self.answer_s = answer_s
        self.refusal_s = refusal_s
        self.max_wait_s = max_wait_s
        self.refused = 0
        self._busy_until = 0.0

    async def admits(self) -> bool:
        """Wait for the turn of a request and return True; return False if it is refused."""
        now = time.monotonic()
        begin_at = max(now, self._busy_until)
        if begin_at + self.answer_s - now > self.max_wait_s:
            self._busy_until = begin_at + self.refusal_s
            self.refused += 1
            return False
        self._busy_until = begin_at + self.answer_s
        await asyncio.sleep(self._busy_until - now)
        return True

    def fill(self, seconds: float) -> None:
        """Have requests of other clients keep the queue full for this many seconds."""
        self._busy_until = max(self._busy_until, time.monotonic() + seconds)


class PublishedList:
    """The endpoint list that discovery publishes, and an event for its next version."""

    def __init__(self, entries: Callable[[], list[dict]]) -> None:
        """``entries``: returns the present entries of the list."""
        self.index = 1
        self._entries = entries
        self._changed = asyncio.Event()

    def publish(self) -> int:
        """Publish the present entries as a new version, and return it."""
        self.index += 1
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self.index

    def response(self) -> bytes:
        """Return a response with the complete endpoint list."""
        body = {"index": self.index, "snapshot": True, "endpoints": self._entries()}
        return reply(200, json.dumps(body).encode())

    async def wait_for_change(self, since: int, timeout_s: float) -> None:
        """Wait for a version above ``since``, at most for the timeout."""
        if since < self.index:
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            pass


@dataclass(slots=True)
class NodeRun:
    """One process of a node: when it started, and when discovery wrote each version to it."""

    started_at: float
    written_at: dict[int, float] = field(default_factory=dict)


class NodeDiscovery:
    """Discovery of one node: its addresses, and the faults of its responses to this node."""

    def __init__(self, published: PublishedList, queue: RequestQueue | None = None) -> None:
        """``queue``: shared by all nodes that poll discovery; None: responses follow at once."""
        self.published = published
        self.runs = [NodeRun(time.monotonic())]
        self.fault = AnswerFault.NONE
        self.fault_times: list[tuple[float, float]] = []  # start and end of each response fault
        self.moved_at: list[float] = []
        self.moved_address = MovedAddress.SERVES
        self.calls: list[float] = []  # when each discovery request arrived
        # Whether two processes of the node run without a hand-over: a response to one doesn't
        # notify the other.
        self.has_separate_processes = False
        # Until this time socket calls of the node may fail: written responses may not arrive.
        self.delivery_unsure_until = 0.0
        self._queue = queue
        self._listeners: list[asyncio.Server] = []
        self._current: asyncio.Server | None = None
        self._writers: dict[asyncio.StreamWriter, asyncio.Server] = {}
        self._responded_at = 0.0

    @property
    def port(self) -> int:
        """Return the port of the present address."""
        assert self._current is not None
        return self._current.sockets[0].getsockname()[1]

    async def start(self) -> None:
        """Listen at the first address."""
        self._current = await self._listen()

    async def move(self) -> int:
        """Move to a new address and return its port; ``moved_address`` applies to the old one."""
        previous = self._current
        self._current = await self._listen()
        self.moved_at.append(time.monotonic())
        if self.moved_address is MovedAddress.CLOSES:
            self._reset(previous)
        return self.port

    def reset_calls(self) -> None:
        """Reset all connections, as discovery does when it fails."""
        for listener in self._listeners:
            self._reset(listener)

    def _reset(self, listener: asyncio.Server | None) -> None:
        for writer in [
            candidate
            for candidate, own_listener in self._writers.items()
            if own_listener is listener
        ]:
            writer.transport.abort()

    def close(self) -> None:
        """Close all listeners and connections."""
        for listener in self._listeners:
            listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def start_fault(self, fault: AnswerFault) -> None:
        """Lose or cut off responses from now on."""
        self.fault = fault
        self.fault_times.append((time.monotonic(), float("inf")))

    def stop_fault(self) -> None:
        """Deliver responses again."""
        self.fault = AnswerFault.NONE
        self.fault_times[-1] = (self.fault_times[-1][0], time.monotonic())

    def on_node_started(self, at: float | None = None) -> None:
        """Record a new process of the node, to which no version was written yet.

        Not called for a successor: a version written to the predecessor or the successor counts for
        both.  ``at``: when the process started, in seconds of CLOCK_MONOTONIC; None: now.
        """
        self.runs.append(NodeRun(time.monotonic() if at is None else at))

    async def _listen(self) -> asyncio.Server:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self._writers[writer] = server
            try:
                await self._serve(reader, writer, server)
            except (OSError, EOFError, asyncio.CancelledError):
                pass  # the node has disconnected, or the run is over
            finally:
                del self._writers[writer]
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self._listeners.append(server)
        return server

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, server: asyncio.Server
    ) -> None:
        run = self.runs[-1]  # a response to a killed process doesn't notify the next one
        request_line, _, _ = await read_message(reader)
        self.calls.append(time.monotonic())
        if server is not self._current and self.moved_address is MovedAddress.CLOSES:
            return
        since, timeout_s = _watch_parameters(request_line.split(" ")[1])
        is_watch_continued = time.monotonic() - self._responded_at < WATCH_GAP_S
        if self._queue is not None and not is_watch_continued and not await self._queue.admits():
            writer.write(reply(503))
            return
        if since is not None:
            await self.published.wait_for_change(since, timeout_s)
        if writer.is_closing() or reader.at_eof():
            return  # the node has disconnected
        is_silent = server is not self._current and self.moved_address is MovedAddress.SILENT
        await self._respond(reader, writer, run, AnswerFault.LOST if is_silent else self.fault)

    async def _respond(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        run: NodeRun,
        fault: AnswerFault,
    ) -> None:
        response = self.published.response()
        if fault is AnswerFault.NONE:
            writer.write(response)
            self._responded_at = time.monotonic()
            # With a queue, the node can't retry at once after a socket call fails: the response
            # then doesn't count as received.
            is_delivery_unsure = (
                self._queue is not None and self._responded_at < self.delivery_unsure_until
            )
            if not (is_delivery_unsure or self.has_separate_processes):
                for version in range(self.published.index + 1):
                    run.written_at.setdefault(version, self._responded_at)
            return
        if fault is AnswerFault.HALF:
            writer.write(response[: len(response) // 2])
        async with asyncio.timeout(HELD_OPEN_S):
            await reader.read()  # until the node closes the connection


def _watch_parameters(target: str) -> tuple[int | None, float]:
    """Return the version and the timeout in seconds of a watch; None and 0.0 of a poll."""
    query = target.partition("?")[2]
    if not query:
        return None, 0.0
    values = dict(parameter.split("=") for parameter in query.split("&"))
    return int(values["since"]), int(values["timeout_ms"]) / 1000
