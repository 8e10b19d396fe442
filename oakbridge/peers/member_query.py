"""Queries one member for all members that it knows, by an empty push-pull exchange."""

from __future__ import annotations

import asyncio
import time
from contextlib import closing
from typing import Any

from oakbridge.node.address import Address
from oakbridge.peers.addresses import format_address
from oakbridge.peers.codec import Codec, PeerMessageError
from oakbridge.peers.framing import STREAM_LIMIT_BYTES, read_frame, write_frame
from oakbridge.peers.messages import MemberRecord, PushPullState

QUERY_SENDER = "visitor"  # not a member; the queried member adds no record for it


class MemberQueryError(Exception):
    """The query of a member failed."""

    def __init__(self, address: Address, cause: str) -> None:
        super().__init__(f"{format_address(address)}: {cause}")
        self.address = address
        self.cause = cause


async def query_members(
    address: Address, secret: bytes, timeout_s: float = 5.0
) -> list[dict[str, Any]]:
    """Return a row for each member that the one at this address knows, including itself.

    Raises MemberQueryError.
    """
    try:
        async with asyncio.timeout(timeout_s):
            state = await _exchange(address, Codec(secret))
    except TimeoutError:
        raise MemberQueryError(
            address, f"expected a response within {timeout_s:g} s, got none"
        ) from None
    except EOFError:
        raise MemberQueryError(
            address, "connection closed by the member; does the secret match?"
        ) from None
    except PeerMessageError as error:
        raise MemberQueryError(address, f"response can't be decoded: {error.reason}") from None
    except (OSError, ValueError) as error:
        raise MemberQueryError(address, str(error)) from None
    return [_row(record) for record in sorted(state.records, key=lambda r: r.name)]


async def _exchange(address: Address, codec: Codec) -> PushPullState:
    reader, writer = await asyncio.open_connection(*address, limit=STREAM_LIMIT_BYTES)
    with closing(writer):
        request = PushPullState(QUERY_SENDER, generation=int(time.time()), records=())
        await write_frame(writer, codec.encode_state(request))
        return codec.decode_state(await read_frame(reader))


def _row(record: MemberRecord) -> dict[str, Any]:
    """Return a member's row in the JSON of ``fleet status --via``."""
    return {
        "name": record.name,
        "address": record.address,
        "state": record.state.label,
        "by": record.reported_by,
        "incarnation": record.incarnation,
        "site": record.tags.get("site", ""),
        "tier": record.tags.get("tier", ""),
        "version": record.tags.get("version", ""),
    }
