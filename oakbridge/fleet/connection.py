"""The operator's end of a persistent connection to an agent: HTTP over mutual TLS."""

from __future__ import annotations

import asyncio
import contextlib
import ssl
from dataclasses import dataclass

import h11

from oakbridge.fleet.codec import decode_response
from oakbridge.fleet.errors import CallError, FleetMessageError
from oakbridge.fleet.http import (
    READ_CHUNK_BYTES,
    is_reusable,
    peer_identity,
    receive_message,
    send_message,
)
from oakbridge.fleet.identity import IdentityKind
from oakbridge.fleet.messages import EncodedRequest, Response


@dataclass(frozen=True, slots=True)
class _Channel:
    """An open connection, with the state of its HTTP protocol."""

    protocol: h11.Connection
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def abort(self) -> None:
        self.writer.transport.abort()


class AgentConnection:
    """Carries one call at a time to one agent; opens a connection when a call needs one."""

    def __init__(
        self, context: ssl.SSLContext, fleet: str, agent: str, address: tuple[str, int]
    ) -> None:
        self._context = context
        self._fleet = fleet
        self._agent = agent
        self._address = address
        self._idle: _Channel | None = None
        self._in_use = asyncio.Lock()

    async def call(self, request: EncodedRequest, timeout_s: float) -> Response:
        """Send a request and return its response.

        The timeout includes the time to wait for earlier calls.

        Raises:
            CallError: if there is no response in time, or the other end is not this agent.
        """
        try:
            async with asyncio.timeout(timeout_s), self._in_use:
                return await self._call(request)
        except TimeoutError:
            raise CallError(f"no answer within {timeout_s:g} s") from None
        except ssl.SSLError as error:
            raise CallError(f"TLS: {error.reason or error}") from None
        except (OSError, EOFError, h11.ProtocolError, FleetMessageError) as error:
            raise CallError(str(error) or type(error).__name__) from None

    def close(self) -> None:
        """Close the idle connection, if there is one."""
        if self._idle is not None:
            self._idle.abort()
            self._idle = None

    async def _call(self, request: EncodedRequest) -> Response:
        idle, self._idle = self._idle, None
        if idle is not None:
            # The agent may have closed the connection; requests are idempotent and can be retried.
            with contextlib.suppress(OSError, EOFError, h11.ProtocolError):
                return await self._exchange(idle, request)
        return await self._exchange(await self._open(), request)

    async def _open(self) -> _Channel:
        reader, writer = await asyncio.open_connection(
            *self._address, ssl=self._context, limit=READ_CHUNK_BYTES
        )
        channel = _Channel(h11.Connection(h11.CLIENT), reader, writer)
        try:
            peer = peer_identity(writer)
            if (peer.fleet, peer.kind, peer.name) != (self._fleet, IdentityKind.AGENT, self._agent):
                raise FleetMessageError(
                    "certificate", f"agent {self._agent} of this fleet, got {peer.uri}"
                )
        except BaseException:
            channel.abort()
            raise
        return channel

    async def _exchange(self, channel: _Channel, request: EncodedRequest) -> Response:
        """Send a request and read its response; keep the channel if it can be reused."""
        reusable = False
        try:
            headers = [("host", self._agent), ("content-length", str(len(request.body)))]
            head = h11.Request(method=request.method, target=request.path, headers=headers)
            send_message(channel.protocol, channel.writer, head, request.body)
            await channel.writer.drain()
            message = await receive_message(channel.protocol, channel.reader)
            if message is None:
                raise EOFError("the agent closed the connection")
            if message.body is None:
                raise EOFError("the answer is too long")
            response = Response(message.head.status_code, decode_response(message.body))
            reusable = is_reusable(channel.protocol)
            return response
        finally:
            if reusable:
                channel.protocol.start_next_cycle()
                self._idle = channel
            else:
                channel.abort()
