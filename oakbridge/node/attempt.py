"""One attempt to have a request served, and how it ended."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from oakbridge.node.clock import Timer
from oakbridge.node.http_framing import Headers
from oakbridge.node.request_body import Upload
from oakbridge.policy.vocabulary import Result

if TYPE_CHECKING:
    from oakbridge.node.server_connection import Connection


class Sink(Protocol):
    """Where an answer goes that is passed on as it comes: a caller."""

    def pass_on(self, data: bytes) -> None:
        """Take a part; it says :meth:`Connection.pause` when it has enough for now."""

    def finish(self) -> None:
        """The answer is whole."""

    def cut(self) -> None:
        """The answer ends here and is not whole; the caller must be able to tell."""


@dataclass(slots=True)
class Reply:
    """How an attempt ended, and what the server said."""

    result: Result
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    status: int = 0  # 0: there was no answer


class Attempt:
    """One attempt: what to write, how long to wait, and whom to tell of its end, once."""

    __slots__ = ("server", "data", "due", "on_end", "number", "connection", "timer", "ended", "on_begin", "upload",
                 "on_sent", "begin_by")  # fmt: skip

    def __init__(
        self,
        server: str,
        data: Callable[[int], bytes],
        due: int,
        on_end: Callable[[Reply], None],
        number: int = 0,
        on_begin: Callable[[Reply, int | None, Connection], Sink | None] | None = None,
        upload: Upload | None = None,
        on_sent: Callable[[], None] | None = None,
        begin_by: int | None = None,
    ) -> None:
        """``data``: the bytes to write, made once they can be: told what time is left then.

        ``on_begin``: told of a long answer's head and length, says where it goes; ``upload``: what follows ``data``;
        ``on_sent``: told when the last of it is written; ``begin_by``: nothing is written later.
        """
        self.begin_by = begin_by
        self.on_begin, self.upload, self.on_sent = on_begin, upload, on_sent
        self.server, self.data, self.due, self.on_end, self.number = server, data, due, on_end, number
        self.connection: Connection | None = None
        self.timer: Timer | None = None
        self.ended = False

    def end(self, reply: Reply) -> None:
        """Tell the end; whatever comes later is not told."""
        if self.ended:
            return
        self.ended = True
        self.connection = None
        if self.timer is not None:
            self.timer.cancel()
        self.on_end(reply)
