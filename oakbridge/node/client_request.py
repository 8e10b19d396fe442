"""One client's request."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any, Protocol

from oakbridge.node.clock import Timer
from oakbridge.node.http_framing import Headers
from oakbridge.node.request_body import Upload

if TYPE_CHECKING:
    from oakbridge.node.client_connection import Caller

# Between two hops only; what is said about this hop's framing is said anew on the next.
HOP = frozenset({
    b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
    b"content-length", b"expect", b"x-timeout", b"x-server-load",
})  # fmt: skip

# What requests are told apart and decided by: said twice, two readers could each take another one for it.
ONCE = frozenset({
    b"host", b"content-length", b"transfer-encoding", b"x-request-id", b"x-priority-class", b"x-tenant-id",
    b"x-route-key", b"x-timeout", b"x-retried", b"x-cost", b"idempotency-key", b"expect",
})  # fmt: skip


_TIMEOUT = re.compile(rb"(\d{1,12})([mu])")


class Request:
    """One request that was taken: what it says, and whom it is owed to."""

    __slots__ = ("id", "method", "url", "headers", "body", "named", "taken", "time_left", "keep_alive",
                 "caller", "answered", "attempts", "attempt", "overdue", "due_by", "upload", "old",
                 "streams", "sent")  # fmt: skip

    def __init__(self, caller: Caller, method: bytes, url: bytes, headers: Headers, body: bytes) -> None:
        self.caller, self.method, self.url, self.headers, self.body = caller, method, url, headers, body
        self.named = dict(headers)
        self.id = self.taken = 0
        self.time_left: int | None = None  # the caller may not tell
        self.due_by: int | None = None  # when the node itself needs it answered
        self.keep_alive = True
        self.answered = False  # nothing more is owed
        self.attempts = 0  # how many were made
        self.attempt: Any = None
        self.overdue: Timer | None = None
        self.upload: Upload | None = None  # the rest of its body, if that goes on as it comes
        self.old = False  # HTTP/1.0: knows no chunks
        self.sent = 0  # when the last of a body that went on as it came was written
        self.streams = False  # its answer is passed on as it comes

    def text(self, name: bytes) -> str:
        """A header as text; empty if it is not there."""
        return self.named.get(name, b"").decode("latin-1")


class Source(Protocol):
    """What passes an answer on as it comes: a server's connection."""

    def pause(self) -> None:
        """Have enough for now."""

    def resume(self) -> None:
        """Take more."""

    def stop(self) -> None:
        """The caller is gone: nobody wants the rest."""


def parse_timeout(value: bytes) -> int | None:
    """``X-Timeout`` in microseconds; None if it can't be read."""
    match = _TIMEOUT.fullmatch(value.strip())
    return None if match is None else int(match[1]) * (1000 if match[2] == b"m" else 1)


def absolute(url: bytes) -> bytes:
    """A target without the scheme and host that its absolute form has (RFC 9112, 3.2.2): path and query."""
    if url[:1] == b"/" or b"://" not in url:
        return url
    rest = url.split(b"://", 1)[1]
    for i, c in enumerate(rest):
        if c in b"/?":
            return rest[i:] if c == ord("/") else b"/" + rest[i:]
    return b"/"
