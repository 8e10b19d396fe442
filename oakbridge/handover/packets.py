"""Divide the text of a message into packets, and put it together again.  Pure.

A SOCK_SEQPACKET socket keeps the bounds of packets, so that descriptors sent along belong to one
message.  A long message, such as a list of servers, takes several packets and counts once the last
one has come.
"""

from __future__ import annotations

from oakbridge.handover.errors import HandoverMessageError

MAX_TEXT_BYTES = 32 * 1024  # of a packet without its mark: less than a Unix socket's buffer takes
MAX_PACKET_BYTES = MAX_TEXT_BYTES + 1
MAX_MESSAGE_BYTES = 16 * 1024 * 1024

_CONTINUED_MARK = b"+"  # first byte of each packet but the last of its message
_LAST_MARK = b"."


def split_into_packets(text: bytes) -> list[bytes]:
    """Return the packets of a message, in order."""
    parts = [text[start : start + MAX_TEXT_BYTES] for start in range(0, len(text), MAX_TEXT_BYTES)]
    continued = [_CONTINUED_MARK + part for part in parts[:-1]]
    return [*continued, _LAST_MARK + parts[-1]]


class PacketAssembler:
    """Collects the packets of one message after another."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._size_bytes = 0

    def add(self, packet: bytes) -> bytes | None:
        """Add a packet and return the text of its message if it is complete, else None.

        Raises:
            HandoverMessageError: The packet has no mark, or the message is too long.
        """
        mark, part = packet[:1], packet[1:]
        if mark not in (_CONTINUED_MARK, _LAST_MARK):
            raise HandoverMessageError("a packet of this protocol")
        self._size_bytes += len(part)
        if self._size_bytes > MAX_MESSAGE_BYTES:
            raise HandoverMessageError(f"a message of at most {MAX_MESSAGE_BYTES} bytes")
        self._parts.append(part)
        if mark == _CONTINUED_MARK:
            return None
        text = b"".join(self._parts)
        self._parts = []
        self._size_bytes = 0
        return text
