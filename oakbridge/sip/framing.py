"""Framing of messages on a stream by Content-Length (RFC 3261, section 18.3).  No I/O.

The keep-alives between messages are those of RFC 5626, section 4.4.1.
"""

from __future__ import annotations

import re

from oakbridge.sip.errors import SipMessageError
from oakbridge.sip.parser import CRLF, END_OF_HEADERS, MAX_MESSAGE_BYTES

MAX_HEADER_BYTES = 16 * 1024
PING = CRLF + CRLF
PONG = CRLF

_CONTENT_LENGTH = re.compile(
    rb"(?:^|\r\n)(?:content-length|l)[ \t]*:[ \t]*([^\r\n]*)",
    re.IGNORECASE,
)


class MessageStream:
    """Splits the bytes of one connection into messages.

    The buffer holds at most one message and the bytes of one read. After :class:`SipMessageError`
    the start of the next message is unknown, and the connection has to be closed.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.pending_pongs = 0  # pings that the connection has yet to respond to with a pong

    def __len__(self) -> int:
        """Return how many bytes of an incomplete message are buffered."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes, and return the messages that are complete.

        Raises :class:`SipMessageError` if the length of a message is missing, invalid or too large.
        """
        self._buffer += data
        messages: list[bytes] = []
        while (message := self._next_message()) is not None:
            messages.append(message)
        return messages

    def _next_message(self) -> bytes | None:
        if not self._skip_keep_alives():
            return None
        header_length = self._buffer.find(END_OF_HEADERS)
        has_all_headers = header_length >= 0
        if (header_length if has_all_headers else len(self._buffer)) > MAX_HEADER_BYTES:
            raise SipMessageError(f"expected headers of at most {MAX_HEADER_BYTES} bytes", 513)
        if not has_all_headers:
            return None
        content_length = _content_length(bytes(self._buffer[:header_length]))
        length = header_length + len(END_OF_HEADERS) + content_length
        if length > MAX_MESSAGE_BYTES:
            raise SipMessageError(f"expected at most {MAX_MESSAGE_BYTES} bytes, got {length}", 513)
        if len(self._buffer) < length:
            return None
        message = bytes(self._buffer[:length])
        del self._buffer[:length]
        return message

    def _skip_keep_alives(self) -> bool:
        """Remove line breaks between messages and count the pings among them.

        Returns False if more bytes are needed to tell a ping from a single line break.
        """
        while self._buffer.startswith(CRLF):
            if self._buffer.startswith(PING):
                self.pending_pongs += 1
                del self._buffer[: len(PING)]
            elif len(self._buffer) == len(CRLF) or self._buffer[2:3] == b"\r":
                return False  # the second half of a ping may follow
            else:
                del self._buffer[: len(CRLF)]
        return True


def _content_length(headers: bytes) -> int:
    values = set(_CONTENT_LENGTH.findall(headers))
    if len(values) != 1:
        raise SipMessageError("Content-Length: expected one on a stream")
    value = values.pop().strip()
    if not value.isdigit() or len(value) > 9:
        raise SipMessageError(f"Content-Length: expected a number, got {value[:20]!r}")
    return int(value)
