"""Asks one member for all that it holds, by a full exchange in which the asker tells nothing."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from oakbridge.node.listing import Address
from oakbridge.peers.codec import Codec, PeerMessageError
from oakbridge.peers.framing import read_state, write_state
from oakbridge.peers.messages import PushPullState

NAME = "visitor"  # it is no member, and of what it sends nothing is kept


class NotHeard(Exception):
    """The member could not be asked; the text says why."""


async def visit(address: Address, secret: bytes, within_s: float = 5.0) -> list[dict[str, Any]]:
    """A row for each member that the one at this address knows, itself among them.  Raises NotHeard."""
    codec, writer = Codec(secret), None
    where = f"{address[0]}:{address[1]}"
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(*address, limit=256 * 1024)
            await write_state(writer, codec.encode_state(PushPullState(NAME, int(time.time()), ())))
            state = codec.decode_state(await read_state(reader))
    except TimeoutError:
        raise NotHeard(f"{where}: no answer within {within_s:g} s") from None
    except EOFError:
        raise NotHeard(f"{where}: hung up; is the secret the members' own?") from None
    except PeerMessageError as e:
        raise NotHeard(f"{where}: its answer can't be read: {e.reason}") from None
    except (OSError, ValueError) as e:
        raise NotHeard(f"{where}: {e}") from None
    finally:
        if writer is not None:
            writer.close()
    return [
        {
            "name": r.name,
            "address": r.address,
            "state": r.state.label,
            "by": r.reported_by,
            "incarnation": r.incarnation,
            "site": r.tags.get("site", ""),
            "tier": r.tags.get("tier", ""),
            "version": r.tags.get("version", ""),
        }
        for r in sorted(state.records, key=lambda r: r.name)
    ]
