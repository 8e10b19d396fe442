"""Push-pull exchanges over TCP: one exchange per connection, one frame per side."""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import closing
from typing import Protocol

from oakbridge.peers.addresses import parse_member_address
from oakbridge.peers.codec import Codec, PeerMessageError
from oakbridge.peers.framing import STREAM_LIMIT_BYTES, read_frame, write_frame
from oakbridge.peers.messages import PushPullState
from oakbridge.peers.service_counter import ServiceCounter

MAX_CONCURRENT_EXCHANGES = 16  # in each direction
EXCHANGE_TIMEOUT_S = 3.0
ANY_PORT = 0
EXCHANGE_ERRORS = (OSError, EOFError, TimeoutError, ValueError, PeerMessageError)


class PushPullHandler(Protocol):
    """The member on whose behalf exchanges are made."""

    def own_state(self) -> PushPullState:
        """Return this side of an exchange."""

    async def push_pull_completed(self, state: PushPullState, *, initiated: bool) -> None:
        """Handle the other side; ``initiated`` says whether this side connected."""

    def push_pull_failed(self) -> None:
        """Handle the failure of an exchange that this side initiated."""


class PushPullTransport:
    """Initiates and serves a bounded number of concurrent exchanges."""

    def __init__(
        self,
        handler: PushPullHandler,
        local_host: str,
        codec: Codec,
        counts: Counter[ServiceCounter],
    ) -> None:
        self._handler = handler
        self._local_host = local_host
        self._codec = codec
        self._counts = counts
        self._outgoing = 0
        self._incoming = 0

    @property
    def can_initiate(self) -> bool:
        """Return whether another exchange may be initiated."""
        return self._outgoing < MAX_CONCURRENT_EXCHANGES

    async def initiate(self, address: str) -> None:
        """Exchange states with the member at this address; a failure is reported to the handler."""
        self._outgoing += 1
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                state = await self._exchange(address)
            await self._handler.push_pull_completed(state, initiated=True)
        except EXCHANGE_ERRORS:
            self._handler.push_pull_failed()
        finally:
            self._outgoing -= 1

    async def _exchange(self, address: str) -> PushPullState:
        reader, writer = await asyncio.open_connection(
            *parse_member_address(address),
            local_addr=(self._local_host, ANY_PORT),
            limit=STREAM_LIMIT_BYTES,
        )
        with closing(writer):
            await self._write(writer)
            return await self._read(reader)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Exchange states with a member that has connected."""
        if self._incoming >= MAX_CONCURRENT_EXCHANGES:
            self._counts[ServiceCounter.PUSH_PULLS_REFUSED] += 1
            writer.transport.abort()
            return
        self._incoming += 1
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                state = await self._read(reader)
                await self._write(writer)
            await self._handler.push_pull_completed(state, initiated=False)
        except EXCHANGE_ERRORS:
            self._counts[ServiceCounter.PUSH_PULLS_BROKEN] += 1
        finally:
            self._incoming -= 1
            writer.close()

    async def _write(self, writer: asyncio.StreamWriter) -> None:
        data = self._codec.encode_state(self._handler.own_state())
        self._counts[ServiceCounter.PUSH_PULL_BYTES] += len(data)
        await write_frame(writer, data)

    async def _read(self, reader: asyncio.StreamReader) -> PushPullState:
        return self._codec.decode_state(await read_frame(reader))
