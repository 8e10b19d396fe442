"""Split the text of a message into packets, and reassemble it.  No I/O.

A SOCK_SEQPACKET socket preserves packet boundaries, so the descriptors sent with a packet belong to
one message.  A long message, such as an endpoint list, takes several packets and is complete once
its last packet has been received.
"""

from __future__ import annotations

from oakbridge.handover.errors import HandoverMessageError

# The text in one packet, without the mark.  It is smaller than a Unix socket's buffer.
MAX_TEXT_BYTES = 32 * 1024
MAX_PACKET_BYTES = MAX_TEXT_BYTES + 1
MAX_MESSAGE_BYTES = 16 * 1024 * 1024

# The first byte of each packet.
_CONTINUED_MARK = b"+"  # more packets of the same message follow
_LAST_MARK = b"."  # the packet completes its message


def split_into_packets(text: bytes) -> list[bytes]:
    """Return the packets of a message's text, in order."""
    parts = [text[start : start + MAX_TEXT_BYTES] for start in range(0, len(text), MAX_TEXT_BYTES)]
    continued = [_CONTINUED_MARK + part for part in parts[:-1]]
    return [*continued, _LAST_MARK + parts[-1]]


class PacketAssembler:
    """Reassembles messages from their packets, one message after another."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._size_bytes = 0

    def add(self, packet: bytes) -> bytes | None:
        """Add a packet; return the text of its message, or None while packets of it are missing.

        Raises:
            HandoverMessageError: The packet has no mark, or the message is longer than
                ``MAX_MESSAGE_BYTES``.
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
