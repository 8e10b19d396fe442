"""What a node's door does: one state machine for a drain, its end, and handing over to another process.  Pure.

Serving, a lame duck, handed over, or ending.  A lame duck says that it is not ready; for the changeover it goes on as
before, as callers still come, and from then on it clears: each answer is the last on its connection, and connections
that rest are closed.  A drain can be taken back, an end can't.  A node that has handed over is as ready as before, as
the process that took over is the same node; it has no door, and what rests there moves on.
"""

from __future__ import annotations

from enum import Enum

CHANGEOVER = 500_000  # new connections go on coming for 0.2 to 0.4 s after a node says that it is not ready
# Where the node ends, callers go on using the connections that they have: for all but so much of the time until the
# end these are kept and served, or those callers would have nowhere to go while another node is restarted as well.
CLEARING = 600_000
# SIGKILL comes no sooner than the longest deadline, 3 s at most, and 0.7 s more after SIGTERM.
LONGEST = 3_000_000
LAST_ANSWER = 600_000


class Phase(Enum):
    """Where a node is in its life."""

    SERVING = "serving"
    LAME_DUCK = "lame duck"
    ENDING = "ending"


class Lifecycle:
    """The phase, and when the next step in it is due."""

    def __init__(self) -> None:
        self.phase = Phase.SERVING
        self.draining = False  # operators want the node empty; goes along to the process that takes over
        self.handed_over = False
        self.clears_at: int | None = None
        self.closes_at: int | None = None  # when the door closes
        self.last_answer: int | None = None  # when all that was taken has to be answered

    @property
    def ready(self) -> bool:
        """Whether the front may send new callers."""
        return self.phase == Phase.SERVING or (self.handed_over and not self.draining)

    def clearing(self, now: int) -> bool:
        """Whether an answer is the last on its connection."""
        return self.clears_at is not None and now >= self.clears_at

    def open(self, now: int) -> bool:
        """Whether callers are accepted."""
        return not self.handed_over and (self.closes_at is None or now < self.closes_at)

    def drain(self, now: int) -> bool:
        """Operators empty the node; False if that changes nothing."""
        if self.draining:
            return False
        self.draining = True
        if self.phase == Phase.SERVING:
            self.phase = Phase.LAME_DUCK
            self.clears_at = now + CHANGEOVER
        return True

    def join(self, now: int) -> bool:
        """Operators take the drain back; False if that changes nothing."""
        if not self.draining:
            return False
        self.draining = False
        if self.phase == Phase.LAME_DUCK:
            self.phase, self.clears_at = Phase.SERVING, None
        return True

    def hand_over(self) -> None:
        """Another process is this node from now on, and accepts."""
        self.handed_over = True

    def take_back(self) -> None:
        """That process is gone, and this one was not told to end: it accepts again."""
        self.handed_over = False

    def end(self, now: int, longest: int) -> None:
        """The process ends; ``longest``: the longest deadline of a request."""
        if self.phase == Phase.ENDING:
            return
        longest = min(longest, LONGEST)
        clears = now + max(longest - CLEARING, CHANGEOVER)
        self.clears_at = clears if self.clears_at is None else min(self.clears_at, clears)
        self.phase = Phase.ENDING
        self.closes_at = now if self.handed_over else now + CHANGEOVER
        self.last_answer = now + longest + LAST_ANSWER

    def next_step(self, now: int) -> int | None:
        """When to look again; None while nothing is due."""
        steps = [
            at for at in (self.clears_at, self.closes_at, self.last_answer) if at is not None and at > now
        ]
        return min(steps, default=None)
