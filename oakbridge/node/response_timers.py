"""The times of one response, from its first byte to its last.

Until a response is streamed, the deadline of its attempt ends it (see
:class:`oakbridge.node.connection_pool.ConnectionPool`).  This module decides what else may happen
to it and when:

- A response that may be longer than a node buffers is streamed shortly before the attempt's
  deadline, or before the balancer gives the request up, as only its first byte has to be in time.
- A streamed response that is not long after all is ended shortly after the client's deadline.
- A pause in a response is reported; how long it may be depends on whether it is streamed.
"""

from __future__ import annotations

from typing import Protocol

from oakbridge.node.attempt import Attempt
from oakbridge.node.clock import Clock, Timer

# A pause in a buffered response after which its request is retried elsewhere, if it may be.
STALL_TIMEOUT_US = 1_000_000
# The time that is left for such a retry at least.
MIN_TIME_FOR_RETRY_US = 1_000_000
# Maximum pause in a streamed response once the client's deadline has passed.
STREAM_STALL_TIMEOUT_US = 10_000_000
# How long before its attempt's deadline a response that may be long is streamed.
STREAM_START_MARGIN_US = 100_000
# How long after the client's deadline a streamed response that is not long may end: later it would
# be lost.
SHORT_RESPONSE_GRACE_US = 400_000


class ResponseListener(Protocol):
    """Is told when a time of its response has come; a server's connection implements it."""

    def on_response_stalled(self) -> None:
        """Handle a pause in a response that is buffered."""

    def on_stream_stalled(self) -> None:
        """Handle a pause in a streamed response that is too long."""

    def on_stream_due(self) -> None:
        """Stream the response, if it may be long."""

    def on_short_response_due(self) -> None:
        """End a streamed response that is not long."""


class ResponseTimers:
    """The timers of the response that a connection receives.  Times are in microseconds."""

    __slots__ = ("_clock", "_deadline_timer", "_listener", "_pause_timer")

    def __init__(self, clock: Clock, listener: ResponseListener) -> None:
        self._clock = clock
        self._listener: ResponseListener | None = listener
        self._pause_timer: Timer | None = None
        self._deadline_timer: Timer | None = None

    def on_buffered(self, attempt: Attempt, *, may_be_long: bool) -> None:
        """Handle that a part of a response was received that is not passed on yet."""
        self.stop_pause()
        if self._listener is None:
            return
        due = self._clock.now() + STALL_TIMEOUT_US
        self._pause_timer = self._clock.call_at(due, self._listener.on_response_stalled)
        if may_be_long and self._deadline_timer is None:
            self._set_stream_timer(attempt)

    def on_deadline_changed(self, attempt: Attempt) -> None:
        """Handle that the attempt of a response that is not streamed has another deadline."""
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
            self._set_stream_timer(attempt)

    def _set_stream_timer(self, attempt: Attempt) -> None:
        if self._listener is not None:
            given_up_at = attempt.given_up_at()
            due = attempt.deadline if given_up_at is None else min(attempt.deadline, given_up_at)
            self._deadline_timer = self._clock.call_at(
                due - STREAM_START_MARGIN_US, self._listener.on_stream_due
            )

    def on_stream_started(self, attempt: Attempt, *, is_long: bool) -> None:
        """Handle that the response is passed on from now on."""
        self.stop()
        if not is_long and self._listener is not None:
            due = attempt.client_deadline + SHORT_RESPONSE_GRACE_US
            self._deadline_timer = self._clock.call_at(due, self._listener.on_short_response_due)

    def on_streamed(self, attempt: Attempt) -> None:
        """Handle that a part of a streamed response was received, or that reading goes on."""
        self.stop_pause()
        if self._listener is not None:
            due = max(self._clock.now() + STREAM_STALL_TIMEOUT_US, attempt.client_deadline)
            self._pause_timer = self._clock.call_at(due, self._listener.on_stream_stalled)

    def stop_pause(self) -> None:
        """Expect no more bytes for now: reading is paused, or the response has not begun."""
        if self._pause_timer is not None:
            self._pause_timer.cancel()
            self._pause_timer = None

    def stop(self) -> None:
        """Stop all timers, as the response is complete."""
        self.stop_pause()
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
            self._deadline_timer = None

    def release(self) -> None:
        """Stop for good, and release the reference cycle, as the connection is closed."""
        self.stop()
        self._listener = None
