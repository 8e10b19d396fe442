"""The framing of a push-pull exchange: each side's sealed state with its length before it."""

from __future__ import annotations

import asyncio
import struct

from oakbridge.peers.codec import MAX_PUSH_PULL_BYTES

LENGTH = struct.Struct("!I")
STREAM_LIMIT_BYTES = 256 * 1024  # that a reader buffers


async def write_frame(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write one side's state.  Raises OSError."""
    writer.write(LENGTH.pack(len(data)) + data)
    await writer.drain()


async def read_frame(reader: asyncio.StreamReader) -> bytes:
    """Read the other side's state.  Raises OSError, EOFError, or ValueError for one too long."""
    (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
    if length > MAX_PUSH_PULL_BYTES:
        raise ValueError(f"expected at most {MAX_PUSH_PULL_BYTES} bytes, got {length}")
    return await reader.readexactly(length)
