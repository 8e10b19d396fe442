"""Messages on a stream: where one ends and the next begins, by Content-Length.  Pure.

RFC 3261, 18.3; keep-alives of RFC 5626, 4.4.1.
"""

from __future__ import annotations

import re

from oakbridge.sip.errors import SipMessageError
from oakbridge.sip.parser import MAX_MESSAGE_BYTES

MAX_HEAD = 16 * 1024
_LENGTH = re.compile(rb"(?:^|\r\n)(?:content-length|l)[ \t]*:[ \t]*([^\r\n]*)", re.IGNORECASE)
CRLF = b"\r\n"
PING, PONG = CRLF + CRLF, CRLF


class Stream:
    """The bytes of one connection, as whole messages.  It holds one message at most, and what one read brought.

    After :class:`SipMessageError` nothing more can be told apart: the connection has to be closed.
    """

    def __init__(self) -> None:
        self._held = bytearray()
        self.pings = 0  # keep-alives that are owed an answer

    def __len__(self) -> int:
        """Bytes of a message that is not whole yet."""
        return len(self._held)

    def feed(self, data: bytes) -> list[bytes]:
        """Take bytes; returns the messages that are whole now."""
        self._held += data
        found = list[bytes]()
        while (message := self._next()) is not None:
            found.append(message)
        return found

    def _next(self) -> bytes | None:
        while self._held.startswith(CRLF):  # between messages: keep-alive, or noise that is to be let pass
            if self._held.startswith(PING):
                self.pings += 1
                del self._held[:4]
            elif len(self._held) == 2 or self._held[2:3] != b"\r":
                if len(self._held) == 2:
                    return None  # the second half of a ping may follow
                del self._held[:2]
            else:
                return None
        end = self._held.find(b"\r\n\r\n")
        if end < 0:
            if len(self._held) > MAX_HEAD:
                raise SipMessageError(f"expected headers of at most {MAX_HEAD} bytes", 513)
            return None
        if end > MAX_HEAD:
            raise SipMessageError(f"expected headers of at most {MAX_HEAD} bytes", 513)
        lengths = set(_LENGTH.findall(bytes(self._held[:end])))
        if len(lengths) != 1:
            raise SipMessageError("Content-Length: expected one on a stream")
        (said,) = lengths
        said = said.strip()
        if not said.isdigit() or len(said) > 9:
            raise SipMessageError(f"Content-Length: expected a number, got {said[:20]!r}")
        whole = end + 4 + int(said)
        if whole > MAX_MESSAGE_BYTES:
            raise SipMessageError(f"expected at most {MAX_MESSAGE_BYTES} bytes, got {whole}", 513)
        if len(self._held) < whole:
            return None
        message = bytes(self._held[:whole])
        del self._held[:whole]
        return message
