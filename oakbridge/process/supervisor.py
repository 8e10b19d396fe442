"""Keep one process running: start it, restart it with backoff, detect crash loops.  No I/O.

The owner reports events (:meth:`Supervisor.ready`, :meth:`Supervisor.exited`, ...) and carries out
the actions that these calls return.  A process that exits without being asked to has crashed,
whatever its exit code; a process that exits after a stop has not crashed.  All times are in
microseconds of a monotonic clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

SECOND_US = 1_000_000
FIRST_BACKOFF_US = SECOND_US // 5
MAX_BACKOFF_US = 30 * SECOND_US
CRASH_LOOP_CRASHES = 5  # this many crashes within CRASH_LOOP_WINDOW_US are a crash loop
CRASH_LOOP_WINDOW_US = 60 * SECOND_US
CRASH_LOOP_BACKOFF_FACTOR = 4  # multiplies the backoff in a crash loop
STABLE_RUN_US = 60 * SECOND_US  # after a run of this length, earlier crashes no longer count
# A process that is not ready within this time is killed, and counts as crashed.
READY_TIMEOUT_US = 15 * SECOND_US
# A process that still runs this long after a stop is killed.
STOP_TIMEOUT_US = 6 * SECOND_US


class State(Enum):
    """The state of a process; the values are reported to operators."""

    STOPPED = "stopped"
    STARTING = "starting"
    RUNNING = "running"
    WAITING = "waiting"  # for the backoff after a crash
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class Start:
    """Start the process; call ``ready`` once it serves, ``exited`` also if it can't be started."""


@dataclass(frozen=True, slots=True)
class Stop:
    """Ask the process to exit (SIGTERM)."""


@dataclass(frozen=True, slots=True)
class Kill:
    """Kill the process (SIGKILL)."""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Call ``tick`` at the time ``at``; replaces any earlier SetTimer."""

    at: int


Action = Start | Stop | Kill | SetTimer


class Supervisor:
    """The state machine of one process."""

    def __init__(self, reset_backoff_after_us: int = STABLE_RUN_US) -> None:
        """``reset_backoff_after_us``: a run of this length resets the backoff.

        The exit of the process after such a run still counts as a crash.
        """
        self.state = State.STOPPED
        self.should_run = False
        self.total_crashes = 0
        self.last_exit = ""  # how the process exited last, for operators to read
        self._reset_backoff_after_us = reset_backoff_after_us
        self._short_runs = 0  # consecutive runs that were too short to reset the backoff
        self._recent_crashes: deque[int] = deque(maxlen=CRASH_LOOP_CRASHES)
        self._state_entered_at = 0
        self._start_after_stop = False
        self._timer_at: int | None = None

    @property
    def is_crash_looping(self) -> bool:
        """Whether the last ``CRASH_LOOP_CRASHES`` crashes are within the window."""
        crashes = self._recent_crashes
        return (
            len(crashes) == CRASH_LOOP_CRASHES and crashes[-1] - crashes[0] <= CRASH_LOOP_WINDOW_US
        )

    def backoff_us(self) -> int:
        """Return the delay before the next start; it doubles with each consecutive short run."""
        backoff: int = FIRST_BACKOFF_US * 2 ** max(0, self._short_runs - 1)
        if self.is_crash_looping and self._short_runs > 1:
            backoff *= CRASH_LOOP_BACKOFF_FACTOR
        return min(MAX_BACKOFF_US, backoff)

    # ---- commands

    def start(self, now: int) -> list[Action]:
        """Request that the process runs: start it if it is stopped, or once a stop has finished."""
        self.should_run = True
        if self.state is State.STOPPING:
            self._start_after_stop = True
            return []
        return self._start(now) if self.state is State.STOPPED else []

    def stop(self, now: int) -> list[Action]:
        """Request that the process does not run: stop it, or cancel its next start."""
        self.should_run = False
        self._start_after_stop = False
        if self.state in (State.STARTING, State.RUNNING):
            return self._stop(now)
        if self.state is State.WAITING:
            self._enter(State.STOPPED, now)
        return []

    def restart(self, now: int) -> list[Action]:
        """Start the process anew without backoff; earlier crashes no longer count."""
        self._reset_crashes()
        self.should_run = True
        if self.state in (State.STARTING, State.RUNNING):
            self._start_after_stop = True
            return self._stop(now)
        if self.state is State.STOPPING:
            self._start_after_stop = True
            return []
        return self._start(now)

    def adopt(self) -> None:
        """Begin to supervise a process that already runs."""
        self.state = State.RUNNING
        self.should_run = True

    # ---- events

    def ready(self, now: int) -> list[Action]:
        """Handle that the process serves."""
        if self.state is not State.STARTING:
            return []
        self._enter(State.RUNNING, now)
        return self._set_timer(now + STABLE_RUN_US)

    def exited(self, now: int, reason: str) -> list[Action]:
        """Handle that the process has exited or could not be started, with the reason as text."""
        if self.state is State.STOPPING:
            return self._stopped(now, reason)
        if self.state in (State.STARTING, State.RUNNING):
            return self._crashed(now, reason)
        return []

    def tick(self, now: int) -> list[Action]:
        """Handle the time of the last SetTimer; has no effect before that time."""
        if self._timer_at is None or now < self._timer_at:
            return []
        self._timer_at = None
        match self.state:
            case State.WAITING:
                return self._start(now)
            case State.STARTING:  # the process hangs; its exit will count as a crash
                return [Kill(), *self._set_timer(now + READY_TIMEOUT_US)]
            case State.STOPPING:
                return [Kill(), *self._set_timer(now + STOP_TIMEOUT_US)]
            case State.RUNNING:
                self._reset_crashes()
        return []

    # ---- transitions

    def _start(self, now: int) -> list[Action]:
        self._enter(State.STARTING, now)
        return [Start(), *self._set_timer(now + READY_TIMEOUT_US)]

    def _stop(self, now: int) -> list[Action]:
        self._enter(State.STOPPING, now)
        return [Stop(), *self._set_timer(now + STOP_TIMEOUT_US)]

    def _stopped(self, now: int, reason: str) -> list[Action]:
        self._enter(State.STOPPED, now)
        self.last_exit = reason
        if self._start_after_stop and self.should_run:
            self._start_after_stop = False
            return self._start(now)
        return []

    def _crashed(self, now: int, reason: str) -> list[Action]:
        run_us = now - self._state_entered_at
        if self.state is State.RUNNING and run_us >= self._reset_backoff_after_us:
            self._short_runs = 1
        else:
            self._short_runs = min(self._short_runs + 1, CRASH_LOOP_CRASHES)
        self._recent_crashes.append(now)
        self.total_crashes += 1
        self.last_exit = reason
        if not self.should_run:
            self._enter(State.STOPPED, now)
            return []
        self._enter(State.WAITING, now)
        return self._set_timer(now + self.backoff_us())

    def _reset_crashes(self) -> None:
        self._recent_crashes.clear()
        self._short_runs = 0

    def _enter(self, state: State, now: int) -> None:
        self.state = state
        self._state_entered_at = now
        self._timer_at = None

    def _set_timer(self, at: int) -> list[Action]:
        self._timer_at = at
        return [SetTimer(at)]
