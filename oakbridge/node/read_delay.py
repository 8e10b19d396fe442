"""How long a client's bytes may have waited, because the node had not read them."""

from __future__ import annotations

import socket

from oakbridge.node.clock import Clock
from oakbridge.node.socket_state import has_unread_bytes, last_received_ago_us

# What may wait between a client's last write and the node: the largest default send and receive
# buffers of Linux.
MAX_BUFFERED_BYTES = 10 * 1024 * 1024


class ReadDelay:
    """The time in which a node is behind its client, in microseconds of the node's clock.

    The node is behind while it has paused reading, or has not read all that has arrived.  Bytes may
    then wait in the buffers of the client's machine, where the node can't see when they were sent.
    """

    __slots__ = ("_behind_since", "_clock", "_earlier_us", "_sock")

    def __init__(self, clock: Clock, sock: socket.socket) -> None:
        """``sock``: the connection to the client."""
        self._clock = clock
        self._sock = sock
        self._behind_since: int | None = None  # None: the node waits for the client
        self._earlier_us = 0

    def is_behind(self) -> bool:
        """Return whether the node is behind now."""
        return self._behind_since is not None

    def on_paused(self) -> None:
        """Count time from now on, as the node does not read."""
        if self._behind_since is None:
            self._behind_since = self._clock.now()

    def on_resumed(self) -> None:
        """Stop to count if nothing has arrived in the pause."""
        if not has_unread_bytes(self._sock):
            self._stop()

    def on_read(self, *, filled_buffer: bool) -> None:
        """Count time from now on if a read has left bytes that had arrived, else stop to count.

        ``filled_buffer``: the read took as many bytes as it could.
        """
        if filled_buffer and has_unread_bytes(self._sock):
            self.on_paused()
        else:
            self._stop()

    def on_progress(self, missing_bytes: int) -> None:
        """Forget the time counted if the client can't have sent the rest of a body yet.

        ``missing_bytes``: of the body, that were not read; 0 if unknown.
        """
        if missing_bytes > MAX_BUFFERED_BYTES:
            self._earlier_us = 0
            if self._behind_since is not None:
                self._behind_since = self._clock.now()

    def _stop(self) -> None:
        if self._behind_since is not None:
            self._earlier_us += self._clock.now() - self._behind_since
            self._behind_since = None

    def total_us(self, now: int) -> int:
        """Return the time since the last reset in which the node was behind."""
        current = 0 if self._behind_since is None else now - self._behind_since
        return self._earlier_us + current

    def last_sent_at(self) -> int:
        """Return when the client may have sent the last bytes that were read.

        That is when they reached this machine, not when the event loop read them, and earlier if
        they may have waited on the client's machine because the node was behind.
        """
        now = self._clock.now()
        return now - max(last_received_ago_us(self._sock), self.total_us(now))

    def reset(self) -> None:
        """Forget the time counted, as no request has begun that may have waited meanwhile."""
        self._behind_since = None
        self._earlier_us = 0
