"""HTTP/1.1 with JSON over mutual TLS, both ends: h11 reads and writes, asyncio carries; everything has a bound.

Nobody without a certificate of this fleet gets past the handshake: the context knows one authority alone.  Whom the
certificate speaks for is looked at once the handshake is done.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import ssl
from collections.abc import Awaitable, Callable
from typing import Any

import h11

from oakbridge.fleet.wire import MAX_BODY, MAX_HEAD, BadMessage, Identity, Raw, read_answer

log = logging.getLogger(__name__)

MOST = 64  # connections at once
HANDSHAKE_S, PATIENCE_S = 5.0, 20.0  # for a handshake; for a request, or for an answer that is not read
CHUNK = 64 * 1024

Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter
Answer = tuple[int, Raw]
Handler = Callable[[Identity, str, str, bytes], Awaitable[Answer]]


class CallFailed(Exception):
    """No answer: the text says why.  What was asked may or may not have been done."""


def identity(writer: Writer) -> Identity:
    """Whom the other end's certificate speaks for.  Raises :class:`BadMessage`."""
    certificate = writer.get_extra_info("peercert") or {}
    uris = [value for kind, value in certificate.get("subjectAltName", ()) if kind == "URI"]
    if len(uris) != 1:
        raise BadMessage("certificate: expected exactly one URI")
    return Identity.parse(uris[0])


class Server:
    """The agent's end."""

    def __init__(self, context: ssl.SSLContext, fleet: str, handle: Handler) -> None:
        self._context, self._fleet, self._handle = context, fleet, handle
        self._server: asyncio.Server | None = None
        self._open: set[Writer] = set()
        self.address = ("", 0)

    async def start(self, address: tuple[str, int]) -> None:
        """Listen.  Raises OSError."""
        self._server = await asyncio.start_server(
            self._serve, *address, ssl=self._context, ssl_handshake_timeout=HANDSHAKE_S, limit=CHUNK
        )
        self.address = self._server.sockets[0].getsockname()[:2]

    def close(self) -> None:
        """Listen no more, and hang up."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._open):
            writer.transport.abort()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        if len(self._open) >= MOST:
            writer.transport.abort()
            return
        self._open.add(writer)
        try:
            who = identity(writer)
            if who.fleet != self._fleet:
                raise BadMessage("certificate: of another fleet")
            connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD)
            while await self._one(connection, who, reader, writer):
                connection.start_next_cycle()
        except (OSError, TimeoutError, EOFError, h11.RemoteProtocolError, BadMessage) as e:
            log.debug("a caller's connection ended: %s", e)
        except Exception:
            log.exception("a caller's connection failed")
        finally:
            self._open.discard(writer)
            writer.transport.abort() if writer.is_closing() else writer.close()

    async def _one(self, connection: h11.Connection, who: Identity, reader: Reader, writer: Writer) -> bool:
        """One request and its answer; returns whether the connection may carry another."""
        async with asyncio.timeout(PATIENCE_S):
            request, body = await _receive(connection, reader)
        if request is None:
            return False
        assert isinstance(request, h11.Request)
        status, raw = (
            (413, {"error": f"body: expected at most {MAX_BODY} bytes"}) if body is None else (0, {})
        )
        if body is not None:
            try:
                status, raw = await self._handle(
                    who, request.method.decode(), request.target.decode("latin-1"), body
                )
            except BadMessage as e:
                status, raw = 400, {"error": str(e)}
            except Exception as e:
                log.exception("a request failed")
                status, raw = 500, {"error": f"the agent failed on this: {type(e).__name__}"}
        data = json.dumps(raw).encode()
        headers = [("content-type", "application/json"), ("content-length", str(len(data)))]
        if body is None:
            headers.append(("connection", "close"))
        writer.write(connection.send(h11.Response(status_code=status, headers=headers)) or b"")
        writer.write(connection.send(h11.Data(data=data)) or b"")
        writer.write(connection.send(h11.EndOfMessage()) or b"")
        async with asyncio.timeout(PATIENCE_S):
            await writer.drain()
        return body is not None and connection.our_state is h11.DONE and connection.their_state is h11.DONE


async def _receive(connection: h11.Connection, reader: Reader) -> tuple[Any, bytes | None]:
    """A whole message: its head (None at the end of the connection) and its body (None where it is too long)."""
    head: Any = None
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(CHUNK))
        elif isinstance(event, h11.Request | h11.Response):
            head = event
            length = dict(event.headers).get(b"content-length", b"0")
            if int(length) > MAX_BODY:
                return head, None
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_BODY:
                return head, None
        elif isinstance(event, h11.EndOfMessage):
            return head, bytes(body)
        elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            return None, b""


class Caller:
    """The operator's end towards one agent: one call at a time, over a connection that is kept between calls."""

    def __init__(self, context: ssl.SSLContext, fleet: str, agent: str, address: tuple[str, int]) -> None:
        self._context, self._fleet, self._agent, self._address = context, fleet, agent, address
        self._kept: tuple[h11.Connection, Reader, Writer] | None = None
        self._turn = asyncio.Lock()

    async def call(self, request: tuple[str, str, bytes], within_s: float) -> Answer:
        """Ask once.  Raises :class:`CallFailed`; the agent must be the one of that name, of this fleet."""
        try:
            async with asyncio.timeout(within_s), self._turn:
                return await self._call(request)
        except TimeoutError:
            raise CallFailed(f"no answer within {within_s:g} s") from None
        except ssl.SSLError as e:
            raise CallFailed(f"TLS: {e.reason or e}") from None
        except (OSError, EOFError, h11.ProtocolError, BadMessage) as e:
            raise CallFailed(str(e) or type(e).__name__) from None

    def close(self) -> None:
        """Hang up."""
        if self._kept is not None:
            self._kept[2].transport.abort()
            self._kept = None

    async def _call(self, request: tuple[str, str, bytes]) -> Answer:
        kept, self._kept = self._kept, None
        if kept is not None:
            # The agent may have hung up meanwhile; every request may be sent again, so one more try is harmless.
            with contextlib.suppress(OSError, EOFError, h11.ProtocolError):
                return await self._exchange(*kept, request)
        reader, writer = await asyncio.open_connection(*self._address, ssl=self._context, limit=CHUNK)
        try:
            who = identity(writer)
            if (who.fleet, who.kind, who.name) != (self._fleet, "agent", self._agent):
                raise BadMessage(f"certificate: expected agent {self._agent} of this fleet, got {who.uri()}")
        except BaseException:
            writer.transport.abort()
            raise
        return await self._exchange(h11.Connection(h11.CLIENT), reader, writer, request)

    async def _exchange(
        self, connection: h11.Connection, reader: Reader, writer: Writer, request: tuple[str, str, bytes]
    ) -> Answer:
        method, path, body = request
        done = False
        try:
            headers = [("host", self._agent), ("content-length", str(len(body)))]
            writer.write(connection.send(h11.Request(method=method, target=path, headers=headers)) or b"")
            if body:
                writer.write(connection.send(h11.Data(data=body)) or b"")
            writer.write(connection.send(h11.EndOfMessage()) or b"")
            await writer.drain()
            response, data = await _receive(connection, reader)
            if response is None or data is None:
                raise EOFError(
                    "the agent closed the connection" if response is None else "the answer is too long"
                )
            answer = response.status_code, read_answer(data)
            done = connection.our_state is h11.DONE and connection.their_state is h11.DONE
            return answer
        finally:
            if done:
                connection.start_next_cycle()
                self._kept = connection, reader, writer
            else:
                writer.transport.abort()


async def call(
    context: ssl.SSLContext, fleet: str, agent: str, address: tuple[str, int], request: tuple[str, str, bytes],
    within_s: float,
) -> Answer:  # fmt: skip
    """Ask an agent once, over a connection of its own.  Raises :class:`CallFailed`."""
    caller = Caller(context, fleet, agent, address)
    try:
        return await caller.call(request, within_s)
    finally:
        caller.close()
