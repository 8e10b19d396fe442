"""The state machine of a supervisor's workers: which run, and which take connections.  No I/O.

The supervisor reports events and executes the returned actions.  Each worker's process has a state
machine of its own (``process.supervisor``); this one depends on their states:

- A worker takes connections from when it is ready until a rolling restart shuts it down or its
  process exits.  In a shutdown of all workers it takes connections until its process exits.
- A worker that crashes is restarted, after a backoff that grows while it crashes at its start.  The
  other workers are not affected.
- A rolling restart takes one worker at a time: it is shut down, exits, starts and is ready before
  the next worker's turn.  If a worker does not become ready again, the rolling restart stops, so
  that a program that can't start costs one worker and not all.
- In a shutdown all workers shut down at once, and no worker is restarted after that.

All times are in microseconds of a monotonic clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from oakbridge.process.supervisor import SECOND_US
from oakbridge.process.supervisor import Action as ProcessAction
from oakbridge.process.supervisor import State as ProcessState
from oakbridge.process.supervisor import Supervisor as ProcessSupervisor

# A worker that took connections for this long has not failed to start, whatever its exit's reason.
RESET_BACKOFF_AFTER_US = SECOND_US
EXIT_SUCCESS = 0
EXIT_USAGE_ERROR = 2  # the exit code of a worker whose configuration is invalid


@dataclass(frozen=True, slots=True)
class ActOnProcess:
    """Start, stop or kill a worker's process, or set its timer."""

    worker: int
    action: ProcessAction


@dataclass(frozen=True, slots=True)
class AddToBalancer:
    """Dispatch connections to a worker."""

    worker: int
    max_connections: int


@dataclass(frozen=True, slots=True)
class RemoveFromBalancer:
    """Dispatch no more connections to a worker."""

    worker: int


@dataclass(frozen=True, slots=True)
class LogWarning:
    """Log a line with the level of a warning."""

    text: str


@dataclass(frozen=True, slots=True)
class Exit:
    """Exit the supervisor's process: no worker runs, and none will be started."""

    code: int


Action = ActOnProcess | AddToBalancer | RemoveFromBalancer | LogWarning | Exit


class WorkerPool:
    """The workers of one supervisor, numbered from 1."""

    def __init__(self, worker_count: int) -> None:
        self.processes = {
            worker: ProcessSupervisor(RESET_BACKOFF_AFTER_US)
            for worker in range(1, worker_count + 1)
        }
        self.is_shutting_down = False
        self._in_balancer: set[int] = set()
        # The first worker is being restarted; the others are restarted after it.
        self._rolling_restart: deque[int] = deque()
        self._was_any_ready = False
        self._exit_code = EXIT_SUCCESS
        self._has_exited = False

    # ---- commands

    def start(self, now_us: int) -> list[Action]:
        """Start all workers."""
        actions: list[Action] = []
        for worker, process in self.processes.items():
            actions += _process_actions(worker, process.start(now_us))
        return actions

    def shut_down(self, now_us: int) -> list[Action]:
        """Shut down all workers, and exit once all of their processes have exited.

        A worker takes the connections that still arrive until its process exits.
        """
        self.is_shutting_down = True
        self._rolling_restart.clear()
        actions: list[Action] = []
        for worker, process in self.processes.items():
            actions += _process_actions(worker, process.stop(now_us))
        return [*actions, *self._exit_if_all_stopped()]

    def rolling_restart(self, now_us: int) -> list[Action]:
        """Restart all workers, one after the other.

        If a rolling restart is in progress, all workers are restarted once more after its current
        worker.
        """
        if self.is_shutting_down:
            return []
        if self._rolling_restart:
            current_worker = self._rolling_restart[0]
            self._rolling_restart = deque([current_worker, *self.processes])
            return []
        self._rolling_restart = deque(self.processes)
        return self._restart_next(now_us)

    # ---- events

    def ready(self, worker: int, max_connections: int, now_us: int) -> list[Action]:
        """Handle a worker's message that it is ready."""
        process = self.processes[worker]
        if process.state is not ProcessState.STARTING:
            return []
        self._was_any_ready = True
        self._in_balancer.add(worker)
        actions: list[Action] = [AddToBalancer(worker, max_connections)]
        actions += _process_actions(worker, process.ready(now_us))
        if self._is_restarting(worker):
            self._rolling_restart.popleft()
            actions += self._restart_next(now_us)
        return actions

    def exited(self, worker: int, reason: str, exit_code: int | None, now_us: int) -> list[Action]:
        """Handle the exit of a worker's process, or a failure to start it.

        ``reason``: shown to operators.  ``exit_code``: None if a signal killed the process or it
        could not be started.
        """
        process = self.processes[worker]
        is_expected = process.state is ProcessState.STOPPING
        actions = self._remove_from_balancer(worker)
        if not is_expected:
            actions.append(LogWarning(f"worker failed: worker={worker} reason={reason}"))
        if exit_code == EXIT_USAGE_ERROR and not self._was_any_ready and not self.is_shutting_down:
            return [*actions, *self._shut_down_for_usage_error(worker, reason, now_us)]
        actions += _process_actions(worker, process.exited(now_us, reason))
        if process.is_crash_looping and not self.is_shutting_down:
            backoff_s = process.backoff_us() / SECOND_US
            actions.append(
                LogWarning(
                    f"worker restart delayed: worker={worker} delay_s={backoff_s:.0f}"
                    " reason=crash loop"
                )
            )
        if self._is_restarting(worker) and not is_expected:
            self._rolling_restart.clear()
            actions.append(
                LogWarning(f"rolling restart stopped: worker={worker} reason=worker failed")
            )
        return [*actions, *self._exit_if_all_stopped()]

    def tick(self, worker: int, now_us: int) -> list[Action]:
        """Handle the expiry of a worker's timer."""
        return _process_actions(worker, self.processes[worker].tick(now_us))

    # ---- transitions

    def _shut_down_for_usage_error(self, worker: int, reason: str, now_us: int) -> list[Action]:
        """Shut down with the exit code that a node without workers would have.

        No worker was ever ready, so the configuration is at fault, and this exit is no crash.
        """
        self._exit_code = EXIT_USAGE_ERROR
        process = self.processes[worker]
        process.stop(now_us)
        actions = _process_actions(worker, process.exited(now_us, reason))
        return [*actions, *self.shut_down(now_us)]

    def _restart_next(self, now_us: int) -> list[Action]:
        if not self._rolling_restart:
            return [LogWarning("rolling restart completed")]
        worker = self._rolling_restart[0]
        actions = self._remove_from_balancer(worker)
        return [*actions, *_process_actions(worker, self.processes[worker].restart(now_us))]

    def _is_restarting(self, worker: int) -> bool:
        """Return whether a rolling restart restarts this worker now."""
        return bool(self._rolling_restart) and self._rolling_restart[0] == worker

    def _remove_from_balancer(self, worker: int) -> list[Action]:
        if worker not in self._in_balancer:
            return []
        self._in_balancer.discard(worker)
        return [RemoveFromBalancer(worker)]

    def _exit_if_all_stopped(self) -> list[Action]:
        if not self.is_shutting_down or self._has_exited:
            return []
        if any(process.state is not ProcessState.STOPPED for process in self.processes.values()):
            return []
        self._has_exited = True
        return [Exit(self._exit_code)]


def _process_actions(worker: int, actions: list[ProcessAction]) -> list[Action]:
    return [ActOnProcess(worker, action) for action in actions]
