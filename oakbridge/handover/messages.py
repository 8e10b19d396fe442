"""What the two processes say to one another: one JSON object to a packet, versioned and checked.  Pure.

Packets keep their bounds (SOCK_SEQPACKET), so that descriptors sent along belong to one message.  A long one, such as a
list of servers, goes in several packets and counts once the last has come.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

VERSION = 1
PACKET = 32 * 1024  # bytes of text to a packet, under what a Unix socket's buffer takes
MOST = 16 * 1024 * 1024  # bytes of one message

HELLO = "hello"  # new to old: who asks; version and name
WELCOME = "welcome"  # old to new: what the node is, with its doors
DECLINE = "decline"  # old to new: no; why
READY = "ready"  # new to old: can serve from now on
OVER = "over"  # old to new: accepts nothing more; what the module learned
CALL = "call"  # either way: an operator's call that holds in both
STILL = "still"  # old to new: what it still has: calls out, and descriptors
CALLER = "caller"  # old to new: a caller's connection that rests
KINDS = frozenset({HELLO, WELCOME, DECLINE, READY, OVER, CALL, STILL, CALLER})


class BadMessage(ValueError):
    """A message that can't be used; the text says what was expected."""


@dataclass(frozen=True, slots=True)
class Message:
    """One message."""

    kind: str
    says: dict[str, Any] = field(default_factory=dict)


def pack(message: Message) -> list[bytes]:
    """A message's packets, in order; all but the last begin with a plus."""
    text = json.dumps({"v": VERSION, "kind": message.kind, **message.says}).encode()
    parts = [text[i : i + PACKET] for i in range(0, len(text), PACKET)]
    return [*(b"+" + part for part in parts[:-1]), b"." + parts[-1]]


class Reader:
    """Puts messages together again."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._size = 0

    def take(self, packet: bytes) -> Message | None:
        """Take a packet; the message, once it is whole.  Raises :class:`BadMessage`."""
        mark, part = packet[:1], packet[1:]
        if mark not in (b"+", b"."):
            raise BadMessage("expected a packet of this protocol")
        self._size += len(part)
        if self._size > MOST:
            raise BadMessage(f"expected a message of at most {MOST} bytes")
        self._parts.append(part)
        if mark == b"+":
            return None
        text, self._parts, self._size = b"".join(self._parts), [], 0
        return parse(text)


def parse(text: bytes) -> Message:
    """A whole message, checked.  Raises :class:`BadMessage`."""
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError):
        raise BadMessage("expected JSON") from None
    if not isinstance(raw, dict):
        raise BadMessage("expected an object")
    version, kind = raw.pop("v", None), raw.pop("kind", None)
    if version != VERSION:
        raise BadMessage(f"expected version {VERSION}, got {version!r:.40}")
    if kind not in KINDS:
        raise BadMessage(f"expected a kind of message that is known, got {kind!r:.40}")
    expected: dict[str, dict[str, type]] = {
        HELLO: {"name": str}, DECLINE: {"why": str}, CALL: {"word": str, "server": str},
        WELCOME: {"file": dict, "known": dict, "outages": dict, "draining": bool}, OVER: {"learned": dict},
        STILL: {"out": int, "held": int},
    }  # fmt: skip
    for name, kind_of in expected.get(kind, {}).items():
        if not isinstance(raw.get(name), kind_of):
            raise BadMessage(f"{kind}.{name}: expected {kind_of.__name__}, got {raw.get(name)!r:.40}")
    return Message(kind, raw)
