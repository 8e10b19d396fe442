"""The node's phases as one state machine: serving, draining, handed over, shutting down.

Pure; times are in microseconds.

A draining node reports that it is not ready.  While clients and the front notice, it goes on as
before; from then on it closes connections: each response is the last on its connection, and idle
connections are closed.  A drain can be taken back, a shut-down can't.

A node that has handed over is as ready as before, as the process that took over is the same node;
it accepts nothing, and its idle connections are handed over.
"""

from __future__ import annotations

from enum import Enum

# New connections go on coming for 0.2 to 0.4 s after a node reports that it is not ready.
DRAIN_NOTICE_US = 500_000
# A node that shuts down keeps its connections for all but so much of the time until its end, and
# serves them: its clients would have nowhere to go while another node is restarted as well.
CONNECTION_CLOSE_WINDOW_US = 600_000
# SIGKILL comes no sooner than the longest deadline, 3 s at most, and 0.7 s more after SIGTERM.
MAX_DEADLINE_US = 3_000_000
RESPONSE_GRACE_US = 600_000


class Phase(Enum):
    """What a node does about new clients.  The values are shown to operators."""

    SERVING = "serving"
    DRAINING = "lame duck"
    SHUTTING_DOWN = "ending"


class Lifecycle:
    """The phase of a node, and when the next step in it is due."""

    def __init__(self) -> None:
        self.phase = Phase.SERVING
        # Operators want the node empty; goes along to the process that takes over.
        self.draining = False
        self.handed_over = False
        self.connections_close_at: int | None = None
        self.listener_closes_at: int | None = None
        self.responses_due_at: int | None = None  # when all received requests have to be answered

    @property
    def ready(self) -> bool:
        """Whether the front may send new clients."""
        return self.phase is Phase.SERVING or (self.handed_over and not self.draining)

    def closes_connections(self, now: int) -> bool:
        """Return whether each response is the last on its connection."""
        return self.connections_close_at is not None and now >= self.connections_close_at

    def accepts_connections(self, now: int) -> bool:
        """Return whether new connections are accepted."""
        if self.handed_over:
            return False
        return self.listener_closes_at is None or now < self.listener_closes_at

    def drain(self, now: int) -> bool:
        """Drain the node for operators; return False if that changes nothing."""
        if self.draining:
            return False
        self.draining = True
        if self.phase is Phase.SERVING:
            self.phase = Phase.DRAINING
            self.connections_close_at = now + DRAIN_NOTICE_US
        return True

    def undrain(self) -> bool:
        """Take a drain back for operators; return False if that changes nothing."""
        if not self.draining:
            return False
        self.draining = False
        if self.phase is Phase.DRAINING:
            self.phase = Phase.SERVING
            self.connections_close_at = None
        return True

    def hand_over(self) -> None:
        """Accept nothing more: another process is this node from now on."""
        self.handed_over = True

    def undo_hand_over(self) -> None:
        """Accept again: that process is gone, and this one was not told to shut down."""
        self.handed_over = False

    def shut_down(self, now: int, max_deadline: int) -> None:
        """Begin the end of the process; ``max_deadline``: the longest deadline of a request."""
        if self.phase is Phase.SHUTTING_DOWN:
            return
        max_deadline = min(max_deadline, MAX_DEADLINE_US)
        close_at = now + max(max_deadline - CONNECTION_CLOSE_WINDOW_US, DRAIN_NOTICE_US)
        if self.connections_close_at is not None:
            close_at = min(self.connections_close_at, close_at)
        self.connections_close_at = close_at
        self.phase = Phase.SHUTTING_DOWN
        self.listener_closes_at = now if self.handed_over else now + DRAIN_NOTICE_US
        self.responses_due_at = now + max_deadline + RESPONSE_GRACE_US

    def next_step(self, now: int) -> int | None:
        """Return when something changes next; None if nothing will."""
        steps = (self.connections_close_at, self.listener_closes_at, self.responses_due_at)
        return min((at for at in steps if at is not None and at > now), default=None)
