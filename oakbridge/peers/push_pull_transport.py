"""Push-pull exchanges on TCP: one a connection, each side's state in a frame."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Protocol

from oakbridge.peers.addresses import parse_member_address
from oakbridge.peers.codec import Codec, PeerMessageError
from oakbridge.peers.framing import STREAM_LIMIT_BYTES, read_frame, write_frame
from oakbridge.peers.messages import PushPullState
from oakbridge.peers.service_counter import ServiceCounter

MAX_CONCURRENT = 16  # each way
TIMEOUT_S = 3.0  # of one exchange
ANY_PORT = 0


class PushPullHandler(Protocol):
    """Whose exchanges these are."""

    def own_state(self) -> PushPullState:
        """Return the own side of an exchange."""

    async def push_pull_completed(self, state: PushPullState, *, initiated: bool) -> None:
        """Take the other side; ``initiated``: this side connected."""

    def push_pull_failed(self) -> None:
        """Note that an exchange which this side initiated has come to nothing."""


class PushPullTransport:
    """Initiates and serves exchanges, a bounded number at once."""

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
        """Return whether one more exchange may be initiated."""
        return self._outgoing < MAX_CONCURRENT

    async def initiate(self, address: str) -> None:
        """Exchange states with the member at this address."""
        self._outgoing += 1
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    *parse_member_address(address),
                    local_addr=(self._local_host, ANY_PORT),
                    limit=STREAM_LIMIT_BYTES,
                )
                await self._write(writer)
                state = await self._read(reader)
            await self._handler.push_pull_completed(state, initiated=True)
        except (OSError, EOFError, TimeoutError, ValueError, PeerMessageError):
            self._handler.push_pull_failed()
        finally:
            self._outgoing -= 1
            if writer is not None:
                writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Exchange states with whoever has connected."""
        if self._incoming >= MAX_CONCURRENT:
            self._counts[ServiceCounter.PUSH_PULLS_REFUSED] += 1
            writer.transport.abort()
            return
        self._incoming += 1
        try:
            async with asyncio.timeout(TIMEOUT_S):
                state = await self._read(reader)
                await self._write(writer)
            await self._handler.push_pull_completed(state, initiated=False)
        except (OSError, EOFError, TimeoutError, ValueError, PeerMessageError):
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
