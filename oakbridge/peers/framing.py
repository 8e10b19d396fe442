"""Framing of a push-pull exchange: each side sends its encoded state behind a length prefix."""

from __future__ import annotations

import asyncio
import struct

from oakbridge.peers.codec import MAX_PUSH_PULL_BYTES

LENGTH_PREFIX = struct.Struct("!I")
STREAM_LIMIT_BYTES = 256 * 1024  # buffer limit of a stream reader


async def write_frame(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write one side's state.  Raises OSError."""
    writer.write(LENGTH_PREFIX.pack(len(data)) + data)
    await writer.drain()


async def read_frame(reader: asyncio.StreamReader) -> bytes:
    """Read the other side's state.  Raises OSError, EOFError, or ValueError if it is too long."""
    (length,) = LENGTH_PREFIX.unpack(await reader.readexactly(LENGTH_PREFIX.size))
    if length > MAX_PUSH_PULL_BYTES:
        raise ValueError(f"expected at most {MAX_PUSH_PULL_BYTES} bytes, got {length}")
    return await reader.readexactly(length)
