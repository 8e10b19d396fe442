"""What a supervisor and a worker tell each other: one JSON object a packet, a connection's descriptor beside it.

To a worker: ``connection`` (with the descriptor), ``leave`` (serve who is there, then end), ``reload``.
From a worker: ``ready`` (with the connections that it can hold), ``account`` (connections now; handed until now).
The socket keeps packets whole and in order (SOCK_SEQPACKET), so that ``leave`` comes behind every connection.
"""

from __future__ import annotations

import json
from dataclasses import dataclass

MOST = 4096  # bytes of a packet
CONNECTION = b'{"do":"connection"}'
LEAVE = b'{"do":"leave"}'
RELOAD = b'{"do":"reload"}'


class PacketError(ValueError):
    """A packet that nobody here sends; the text says what was expected."""


@dataclass(frozen=True, slots=True)
class Ready:
    """The worker serves, and can hold so many connections."""

    most: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """How many connections the worker has, and how many it was handed until then."""

    had: int
    seen: int


def encode(message: Ready | LoadReport) -> bytes:
    """A packet from a worker."""
    if isinstance(message, Ready):
        return json.dumps({"do": "ready", "most": message.most}).encode()
    return json.dumps({"do": "account", "had": message.had, "seen": message.seen}).encode()


def decode(packet: bytes) -> Ready | LoadReport:
    """A packet from a worker, read.  Raises :class:`PacketError`."""
    try:
        raw = json.loads(packet)
        do = raw["do"]
        numbers = {name: value for name, value in raw.items() if name != "do"}
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        raise PacketError(f"expected a worker's packet, got {packet[:80]!r}") from None
    if any(isinstance(n, bool) or not isinstance(n, int) or n < 0 for n in numbers.values()):
        raise PacketError(f"expected whole numbers, got {packet[:80]!r}")
    if do == "ready" and numbers.keys() == {"most"}:
        return Ready(**numbers)
    if do == "account" and numbers.keys() == {"had", "seen"}:
        return LoadReport(**numbers)
    raise PacketError(f"expected ready or account, got {packet[:80]!r}")
