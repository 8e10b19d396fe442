"""Keeps one process running: when to start it, when to try again, when to call it a crash loop.  No I/O.

The shell tells what happened (:meth:`Supervisor.started`, :meth:`exited`, ...); what is to be done comes back as
actions.  A process that ends unasked has crashed, whatever its exit code; one that ends after a stop has not.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

SECOND = 1_000_000
FIRST_WAIT, LONGEST_WAIT = SECOND // 5, 30 * SECOND
LOOP_CRASHES, LOOP_WINDOW = 5, 60 * SECOND  # so many crashes within so long are a crash loop
STABLE = 60 * SECOND  # a run of this length forgives the crashes before it
READY_WITHIN = 15 * SECOND  # a process that is not ready by then is stopped and counts as crashed
STOP_WITHIN = 6 * SECOND  # a process that goes on for so long after a stop is killed


class State(Enum):
    """Where a process stands."""

    STOPPED = "stopped"
    STARTING = "starting"
    RUNNING = "running"
    WAITING = "waiting"  # to be started again
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class Start:
    """Start the process; then call ``started`` or ``exited``."""


@dataclass(frozen=True, slots=True)
class Stop:
    """Ask the process to end in order (SIGTERM)."""


@dataclass(frozen=True, slots=True)
class Kill:
    """End the process at once."""


@dataclass(frozen=True, slots=True)
class Wake:
    """Call ``tick`` at this time."""

    at: int


Action = Start | Stop | Kill | Wake


class Supervisor:
    """The machine of one process."""

    def __init__(self, served: int = STABLE) -> None:
        """``served``: after a run of this length the waits begin from the first again; it still counts as a crash."""
        self.served = served
        self.short = 0  # runs in a row that ended sooner, or never were ready
        self.state = State.STOPPED
        self.wanted = False
        self.crashes: deque[int] = deque(maxlen=LOOP_CRASHES)
        self.total_crashes = 0
        self.last_exit = ""
        self.since = 0  # when the state was entered
        self._again = False  # start anew once it has stopped
        self._due: int | None = None

    @property
    def crash_loop(self) -> bool:
        """Whether it crashes again and again, rather than once."""
        return len(self.crashes) == LOOP_CRASHES and self.crashes[-1] - self.crashes[0] <= LOOP_WINDOW

    # ---- what is wanted

    def start(self, now: int) -> list[Action]:
        """Have it run."""
        self.wanted = True
        if self.state is State.STOPPING:
            self._again = True
            return []
        return self._start(now) if self.state is State.STOPPED else []

    def stop(self, now: int) -> list[Action]:
        """Have it not run."""
        self.wanted = self._again = False
        if self.state in (State.STARTING, State.RUNNING):
            return self._stop(now)
        if self.state is State.WAITING:
            self._enter(State.STOPPED, now)
        return []

    def restart(self, now: int) -> list[Action]:
        """Have it run anew, at once: crashes of what it was before are forgiven."""
        self.crashes.clear()
        self.short = 0
        self.wanted = True
        if self.state in (State.STARTING, State.RUNNING):
            self._again = True
            return self._stop(now)
        if self.state is State.STOPPING:
            self._again = True
            return []
        return self._start(now)

    # ---- what happened

    def ready(self, now: int) -> list[Action]:
        """The process serves."""
        if self.state is State.STARTING:
            self._enter(State.RUNNING, now)
            return self._wake(now + STABLE)
        return []

    def exited(self, now: int, how: str) -> list[Action]:
        """The process has ended, or could not be started."""
        if self.state is State.STOPPING:
            self._enter(State.STOPPED, now)
            self.last_exit = how
            if self._again and self.wanted:
                self._again = False
                return self._start(now)
            return []
        if self.state not in (State.STARTING, State.RUNNING):
            return []
        ran = self.state is State.RUNNING and now - self.since >= self.served
        self.short = 1 if ran else min(self.short + 1, LOOP_CRASHES)
        self.crashes.append(now)
        self.total_crashes += 1
        self.last_exit = how
        if not self.wanted:
            self._enter(State.STOPPED, now)
            return []
        self._enter(State.WAITING, now)
        return self._wake(now + self.wait())

    def tick(self, now: int) -> list[Action]:
        """A time that was asked for has come, or any other."""
        if self._due is None or now < self._due:
            return []
        self._due = None
        if self.state is State.WAITING:
            return self._start(now)
        if self.state is State.STARTING:
            # It hangs in its start: it is stopped, and its end then counts as a crash.
            return [Kill(), *self._wake(now + READY_WITHIN)]
        if self.state is State.STOPPING:
            return [Kill(), *self._wake(now + STOP_WITHIN)]
        if self.state is State.RUNNING:
            self.crashes.clear()
            self.short = 0
        return []

    def wait(self) -> int:
        """How long to wait before the next start: twice as long with every run that was too short."""
        loop = self.crash_loop and self.short > 1
        return int(min(LONGEST_WAIT, FIRST_WAIT * 2 ** max(0, self.short - 1) * (4 if loop else 1)))

    # ---- parts

    def _enter(self, state: State, now: int) -> None:
        self.state, self.since, self._due = state, now, None

    def _wake(self, at: int) -> list[Action]:
        self._due = at
        return [Wake(at)]

    def _start(self, now: int) -> list[Action]:
        self._enter(State.STARTING, now)
        return [Start(), *self._wake(now + READY_WITHIN)]

    def _stop(self, now: int) -> list[Action]:
        self._enter(State.STOPPING, now)
        return [Stop(), *self._wake(now + STOP_WITHIN)]
