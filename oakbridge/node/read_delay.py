"""How long a client's bytes may have waited, because the node had not read them."""

from __future__ import annotations


class ReadDelay:
    """The time in which a node is behind its client, in microseconds of the node's clock.

    The node is behind while it has paused reading, or has not read all that has arrived.  Bytes may
    then wait in the buffers of the client's machine, where the node can't see when they were sent.
    """

    __slots__ = ("_behind_since", "_earlier_us")

    def __init__(self) -> None:
        self._behind_since: int | None = None  # None: the node waits for the client
        self._earlier_us = 0

    def is_behind(self) -> bool:
        """Return whether the node is behind now."""
        return self._behind_since is not None

    def start(self, now: int) -> None:
        """Count time from now on, unless it is counted already."""
        if self._behind_since is None:
            self._behind_since = now

    def stop(self, now: int) -> None:
        """Stop to count, as the node has read all that has arrived."""
        if self._behind_since is not None:
            self._earlier_us += now - self._behind_since
            self._behind_since = None

    def total_us(self, now: int) -> int:
        """Return the time since the last reset in which the node was behind."""
        current = 0 if self._behind_since is None else now - self._behind_since
        return self._earlier_us + current

    def reset(self) -> None:
        """Forget the time counted, as no request has begun that may have waited meanwhile."""
        self._behind_since = None
        self._earlier_us = 0
