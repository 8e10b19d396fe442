"""A full exchange on its connection: each side's state with its length before it."""

from __future__ import annotations

import asyncio
import struct

from oakbridge.peers.codec import MAX_PUSH_PULL_BYTES

LENGTH = struct.Struct("!I")


async def write_state(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write one side's.  Raises OSError."""
    writer.write(LENGTH.pack(len(data)) + data)
    await writer.drain()


async def read_state(reader: asyncio.StreamReader) -> bytes:
    """Read the other side's.  Raises OSError, EOFError, or ValueError for one that is too long."""
    (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
    if length > MAX_PUSH_PULL_BYTES:
        raise ValueError(f"expected at most {MAX_PUSH_PULL_BYTES} bytes, got {length}")
    return await reader.readexactly(length)
