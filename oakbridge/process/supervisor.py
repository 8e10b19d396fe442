"""Keep one process running: when to start it, when to retry, what is a crash loop.  No I/O.

The caller reports what happened (:meth:`Supervisor.ready`, :meth:`Supervisor.exited`, ...) and carries
out the actions that come back.  A process that ends without having been asked to has crashed, whatever
its exit code; one that ends after a stop has not.  All times are in microseconds of a monotonic clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

SECOND_US = 1_000_000
FIRST_BACKOFF_US = SECOND_US // 5
MAX_BACKOFF_US = 30 * SECOND_US
CRASH_LOOP_CRASHES = 5  # within the window are a crash loop
CRASH_LOOP_WINDOW_US = 60 * SECOND_US
CRASH_LOOP_BACKOFF_FACTOR = 4
STABLE_RUN_US = 60 * SECOND_US  # a run of this length forgives the crashes before it
READY_TIMEOUT_US = (
    15 * SECOND_US
)  # a process that is not ready by then is killed and counts as crashed
STOP_TIMEOUT_US = 6 * SECOND_US  # a process that goes on for so long after a stop is killed


class State(Enum):
    """The state of a process; operators see the values."""

    STOPPED = "stopped"
    STARTING = "starting"
    RUNNING = "running"
    WAITING = "waiting"  # for its next start, after a crash
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class Start:
    """Start the process; report ``ready``, and ``exited`` also where it can't be started."""


@dataclass(frozen=True, slots=True)
class Stop:
    """Ask the process to end (SIGTERM)."""


@dataclass(frozen=True, slots=True)
class Kill:
    """End the process at once (SIGKILL)."""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Call ``tick`` at this time, in place of any time that was asked for before."""

    at: int


Action = Start | Stop | Kill | SetTimer


class Supervisor:
    """The state machine of one process."""

    def __init__(self, reset_backoff_after_us: int = STABLE_RUN_US) -> None:
        """After a run of ``reset_backoff_after_us`` the backoff begins anew; its end is a crash still."""
        self.state = State.STOPPED
        self.should_run = False
        self.total_crashes = 0
        self.last_exit = ""  # how the process ended last, for people
        self._reset_backoff_after_us = reset_backoff_after_us
        self._short_runs = 0  # in a row: those that ended sooner, or never were ready
        self._recent_crashes: deque[int] = deque(maxlen=CRASH_LOOP_CRASHES)
        self._state_entered_at = 0
        self._start_after_stop = False
        self._timer_at: int | None = None

    @property
    def is_crash_looping(self) -> bool:
        """Whether the process crashes again and again, rather than once."""
        crashes = self._recent_crashes
        return (
            len(crashes) == CRASH_LOOP_CRASHES and crashes[-1] - crashes[0] <= CRASH_LOOP_WINDOW_US
        )

    def backoff_us(self) -> int:
        """Return the time until the next start, which doubles with each run that was too short."""
        backoff: int = FIRST_BACKOFF_US * 2 ** max(0, self._short_runs - 1)
        if self.is_crash_looping and self._short_runs > 1:
            backoff *= CRASH_LOOP_BACKOFF_FACTOR
        return min(MAX_BACKOFF_US, backoff)

    # ---- what should be

    def start(self, now: int) -> list[Action]:
        """Have the process run."""
        self.should_run = True
        if self.state is State.STOPPING:
            self._start_after_stop = True
            return []
        return self._start(now) if self.state is State.STOPPED else []

    def stop(self, now: int) -> list[Action]:
        """Have the process not run."""
        self.should_run = False
        self._start_after_stop = False
        if self.state in (State.STARTING, State.RUNNING):
            return self._stop(now)
        if self.state is State.WAITING:
            self._enter(State.STOPPED, now)
        return []

    def restart(self, now: int) -> list[Action]:
        """Have the process run anew, without backoff; its crashes until now are forgiven."""
        self._forgive_crashes()
        self.should_run = True
        if self.state in (State.STARTING, State.RUNNING):
            self._start_after_stop = True
            return self._stop(now)
        if self.state is State.STOPPING:
            self._start_after_stop = True
            return []
        return self._start(now)

    def adopt(self) -> None:
        """Supervise a process that runs already."""
        self.state = State.RUNNING
        self.should_run = True

    # ---- what happened

    def ready(self, now: int) -> list[Action]:
        """Note that the process serves."""
        if self.state is not State.STARTING:
            return []
        self._enter(State.RUNNING, now)
        return self._set_timer(now + STABLE_RUN_US)

    def exited(self, now: int, how: str) -> list[Action]:
        """Note that the process has ended, or could not be started."""
        if self.state is State.STOPPING:
            return self._stopped(now, how)
        if self.state in (State.STARTING, State.RUNNING):
            return self._crashed(now, how)
        return []

    def tick(self, now: int) -> list[Action]:
        """Act if the time of the last SetTimer has come; any other call changes nothing."""
        if self._timer_at is None or now < self._timer_at:
            return []
        self._timer_at = None
        match self.state:
            case State.WAITING:
                return self._start(now)
            case State.STARTING:  # it hangs; its end will count as a crash
                return [Kill(), *self._set_timer(now + READY_TIMEOUT_US)]
            case State.STOPPING:
                return [Kill(), *self._set_timer(now + STOP_TIMEOUT_US)]
            case State.RUNNING:
                self._forgive_crashes()
        return []

    # ---- transitions

    def _start(self, now: int) -> list[Action]:
        self._enter(State.STARTING, now)
        return [Start(), *self._set_timer(now + READY_TIMEOUT_US)]

    def _stop(self, now: int) -> list[Action]:
        self._enter(State.STOPPING, now)
        return [Stop(), *self._set_timer(now + STOP_TIMEOUT_US)]

    def _stopped(self, now: int, how: str) -> list[Action]:
        self._enter(State.STOPPED, now)
        self.last_exit = how
        if self._start_after_stop and self.should_run:
            self._start_after_stop = False
            return self._start(now)
        return []

    def _crashed(self, now: int, how: str) -> list[Action]:
        run_us = now - self._state_entered_at
        if self.state is State.RUNNING and run_us >= self._reset_backoff_after_us:
            self._short_runs = 1
        else:
            self._short_runs = min(self._short_runs + 1, CRASH_LOOP_CRASHES)
        self._recent_crashes.append(now)
        self.total_crashes += 1
        self.last_exit = how
        if not self.should_run:
            self._enter(State.STOPPED, now)
            return []
        self._enter(State.WAITING, now)
        return self._set_timer(now + self.backoff_us())

    def _forgive_crashes(self) -> None:
        self._recent_crashes.clear()
        self._short_runs = 0

    def _enter(self, state: State, now: int) -> None:
        self.state = state
        self._state_entered_at = now
        self._timer_at = None

    def _set_timer(self, at: int) -> list[Action]:
        self._timer_at = at
        return [SetTimer(at)]
