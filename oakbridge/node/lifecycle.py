"""The phases of a node as one state machine: serving, draining, handed over, shutting down.

This module does no I/O; times are in microseconds.

A draining node reports that it is not ready.  Until clients and the load balancer in front of it
have noticed, it serves as before.  After that it closes connections: each response is the last on
its connection, and idle connections are closed.  A drain can be undone, a shutdown can't.

A node that has handed over to its successor is as ready as before, as both are the same node.  It
accepts no connections, and its idle connections are handed over.
"""

from __future__ import annotations

from enum import Enum

# New connections keep arriving for 0.2 to 0.4 s after a node reports that it is not ready.
DRAIN_NOTICE_US = 500_000
# A node that shuts down serves on its connections until this long before the longest deadline has
# passed.  If it closed them earlier, clients would have no node while another one restarts as well.
CONNECTION_CLOSE_WINDOW_US = 600_000
# SIGKILL follows SIGTERM after at least the longest deadline of a request, 3 s at most, plus 0.7 s.
MAX_DEADLINE_US = 3_000_000
RESPONSE_GRACE_US = 600_000


class Phase(Enum):
    """How a node treats new clients.  The values are shown to operators."""

    SERVING = "serving"
    DRAINING = "lame duck"
    SHUTTING_DOWN = "ending"


class Lifecycle:
    """The phase of a node, and the times of the next steps of its drain or shutdown."""

    def __init__(self) -> None:
        self.phase = Phase.SERVING
        # Whether operators drain the node; passed on to the successor process.
        self.draining = False
        self.handed_over = False
        self.connections_close_at: int | None = None
        self.listener_closes_at: int | None = None
        self.responses_due_at: int | None = None  # when all received requests must be finished

    @property
    def ready(self) -> bool:
        """Whether the load balancer in front of the node may send it new clients."""
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
        """Drain the node for operators; return False if it is being drained already."""
        if self.draining:
            return False
        self.draining = True
        if self.phase is Phase.SERVING:
            self.phase = Phase.DRAINING
            self.connections_close_at = now + DRAIN_NOTICE_US
        return True

    def undrain(self) -> bool:
        """Undo a drain for operators; return False if the node is not being drained."""
        if not self.draining:
            return False
        self.draining = False
        if self.phase is Phase.DRAINING:
            self.phase = Phase.SERVING
            self.connections_close_at = None
        return True

    def hand_over(self) -> None:
        """Accept no more connections, as the successor process is this node from now on."""
        self.handed_over = True

    def undo_hand_over(self) -> None:
        """Accept connections again: the successor exited, and this process is not to shut down."""
        self.handed_over = False

    def shut_down(self, now: int, max_deadline: int) -> None:
        """Start the shutdown; ``max_deadline``: the longest time that a request may take."""
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
        """Return when the next step of a drain or shutdown is due; None if there is none."""
        steps = (self.connections_close_at, self.listener_closes_at, self.responses_due_at)
        return min((at for at in steps if at is not None and at > now), default=None)
