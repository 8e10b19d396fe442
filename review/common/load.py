"""Clients of a node: they keep connections, and send one request at a time on each."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from common.http import Message, read_message, request
from common.record import Record

NO_ANSWER = 0  # the status of a request whose connection ended with no answer


@dataclass(slots=True)
class Sent:
    """A request that a client sent, and its final answer."""

    request_id: str
    class_name: str
    sent_at: float
    timeout_ms: int
    status: int | None = None  # None: no answer yet
    body: bytes = b""
    answered_at: float = 0.0


def request_ids(start: int = 0x51C0FFEE00000000) -> Iterator[str]:
    """Return new request ids."""
    return (f"{number:016x}" for number in itertools.count(start))


class Clients:
    """Sends requests through a pool of connections, and keeps what became of them."""

    def __init__(self, record: Record, port: int) -> None:
        self.sent: list[Sent] = []
        self._record = record
        self._port = port
        self._ids = request_ids()
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def send(
        self, class_name: str, timeout_ms: int, *, body: bytes | None = None, keyed: bool = False
    ) -> Sent:
        """Send a request on a kept connection, or on a new one, and wait for its answer.

        If the node closed a kept connection before it read the request, it is sent once more.
        """
        sent = Sent(next(self._ids), class_name, self._record.now(), timeout_ms)
        text = request(sent.request_id, class_name, timeout_ms, body=body, keyed=keyed)
        self.sent.append(sent)
        while self._idle:
            answer = await self._exchange(self._idle.pop(), text)
            if answer is not None:
                return self._answered(sent, answer)
        streams = await asyncio.open_connection("127.0.0.1", self._port)
        return self._answered(sent, await self._exchange(streams, text))

    async def send_once(
        self, class_name: str, timeout_ms: int, *, body: bytes, headers: Sequence[str]
    ) -> Sent:
        """Send a request on a connection of its own, which is closed after the answer."""
        sent = Sent(next(self._ids), class_name, self._record.now(), timeout_ms)
        text = request(sent.request_id, class_name, timeout_ms, body=body, headers=headers)
        self.sent.append(sent)
        reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        try:
            writer.write(text)
            answer = await read_message(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            answer = None
        finally:
            writer.close()
        return self._answered(sent, answer)

    async def _exchange(
        self, streams: tuple[asyncio.StreamReader, asyncio.StreamWriter], text: bytes
    ) -> Message | None:
        """Return the answer; None if the connection ended with no byte of one."""
        reader, writer = streams
        try:
            writer.write(text)
            answer = await read_message(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
            return None
        if answer.headers.get("connection") == "close":
            writer.close()
        else:
            self._idle.append(streams)
        return answer

    def _answered(self, sent: Sent, answer: Message | None) -> Sent:
        sent.answered_at = self._record.now()
        sent.status = NO_ANSWER if answer is None else answer.status
        sent.body = b"" if answer is None else answer.body
        self._record.add(
            f"client: {sent.request_id} {sent.class_name} sent at {sent.sent_at:.3f}"
            f" answered {sent.status} {sent.body[:80]!r}"
        )
        return sent

    def close(self) -> None:
        """Close the kept connections."""
        for _, writer in self._idle:
            writer.close()
