"""The state machine of a supervisor's workers: who runs, who takes connections.  No I/O.

The caller reports what happened and carries out the actions that come back.  Each worker's process
has a state machine of its own (``process.supervisor``); this one goes by their states:

- a worker takes connections from when it is ready until it is told to shut down or has ended;
- one that dies is started again, with a backoff while it dies in its start; the others carry on;
- a rolling restart takes one worker at a time: shut down, ended, started, ready, and only then the
  next.  It stops where one does not come back, so that a program that can't start costs one worker
  and not all;
- at the end all shut down at once, and no restart is begun after that.

All times are in microseconds of a monotonic clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from oakbridge.process.supervisor import SECOND_US
from oakbridge.process.supervisor import Action as ProcessAction
from oakbridge.process.supervisor import State as ProcessState
from oakbridge.process.supervisor import Supervisor as ProcessSupervisor

# A worker that took connections for so long has not failed to start, whatever ended it.
RESET_BACKOFF_AFTER_US = SECOND_US
EXIT_SUCCESS = 0
EXIT_USAGE_ERROR = 2  # of a worker that can't use its configuration


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
    """Write a line to the log."""

    text: str


@dataclass(frozen=True, slots=True)
class Exit:
    """End the supervisor: no worker is left, and none will be started."""

    code: int


Action = ActOnProcess | AddToBalancer | RemoveFromBalancer | LogWarning | Exit


class WorkerPool:
    """The workers of one supervisor, counted from 1."""

    def __init__(self, worker_count: int) -> None:
        self.processes = {
            worker: ProcessSupervisor(RESET_BACKOFF_AFTER_US)
            for worker in range(1, worker_count + 1)
        }
        self.is_shutting_down = False
        self._in_balancer: set[int] = set()
        # The first is being restarted; the others wait for their turn.
        self._rolling_restart: deque[int] = deque()
        self._ever_ready = False
        self._exit_code = EXIT_SUCCESS
        self._has_exited = False

    # ---- what should be

    def start(self, now: int) -> list[Action]:
        """Start all workers."""
        actions: list[Action] = []
        for worker, process in self.processes.items():
            actions += _on_process(worker, process.start(now))
        return actions

    def shut_down(self, now: int) -> list[Action]:
        """Shut all workers down, and exit once all have ended.

        A worker takes the connections that still come until it has ended.
        """
        self.is_shutting_down = True
        self._rolling_restart.clear()
        actions: list[Action] = []
        for worker, process in self.processes.items():
            actions += _on_process(worker, process.stop(now))
        return [*actions, *self._exit_if_all_ended()]

    def rolling_restart(self, now: int) -> list[Action]:
        """Restart all workers, one after the other.

        Where a rolling restart goes on already, all have their turn once more after its present
        worker.
        """
        if self.is_shutting_down:
            return []
        if self._rolling_restart:
            present_worker = self._rolling_restart[0]
            self._rolling_restart = deque([present_worker, *self.processes])
            return []
        self._rolling_restart = deque(self.processes)
        return self._restart_next(now)

    # ---- what happened

    def ready(self, worker: int, max_connections: int, now: int) -> list[Action]:
        """Note that a worker serves."""
        process = self.processes[worker]
        if process.state is not ProcessState.STARTING:
            return []
        self._ever_ready = True
        self._in_balancer.add(worker)
        actions: list[Action] = [AddToBalancer(worker, max_connections)]
        actions += _on_process(worker, process.ready(now))
        if self._is_restarting(worker):
            self._rolling_restart.popleft()
            actions += self._restart_next(now)
        return actions

    def exited(self, worker: int, how: str, code: int | None, now: int) -> list[Action]:
        """Note that a worker has ended, or could not be started.

        ``how``: for people.  ``code``: its exit code, None if a signal ended it or if it was not
        started.
        """
        process = self.processes[worker]
        expected = process.state is ProcessState.STOPPING
        actions = self._remove_from_balancer(worker)
        if not expected:
            actions.append(LogWarning(f"worker {worker} ended: {how}"))
        if code == EXIT_USAGE_ERROR and not self._ever_ready and not self.is_shutting_down:
            return [*actions, *self._shut_down_for_usage_error(worker, how, now)]
        actions += _on_process(worker, process.exited(now, how))
        if process.is_crash_looping and not self.is_shutting_down:
            backoff_s = process.backoff_us() / SECOND_US
            actions.append(
                LogWarning(f"worker {worker} is in a crash loop; next try in {backoff_s:.0f} s")
            )
        if self._is_restarting(worker) and not expected:
            self._rolling_restart.clear()
            actions.append(
                LogWarning(f"the rolling restart stops: worker {worker} did not come back")
            )
        return [*actions, *self._exit_if_all_ended()]

    def tick(self, worker: int, now: int) -> list[Action]:
        """Note that the time of a worker's timer has come."""
        return _on_process(worker, self.processes[worker].tick(now))

    # ---- transitions

    def _shut_down_for_usage_error(self, worker: int, how: str, now: int) -> list[Action]:
        """End as one node would.

        No worker has ever served, so the configuration is at fault; this is no crash.
        """
        self._exit_code = EXIT_USAGE_ERROR
        process = self.processes[worker]
        process.stop(now)
        actions = _on_process(worker, process.exited(now, how))
        return [*actions, *self.shut_down(now)]

    def _restart_next(self, now: int) -> list[Action]:
        if not self._rolling_restart:
            return [LogWarning("the rolling restart is done")]
        worker = self._rolling_restart[0]
        actions = self._remove_from_balancer(worker)
        return [*actions, *_on_process(worker, self.processes[worker].restart(now))]

    def _is_restarting(self, worker: int) -> bool:
        """Return whether a rolling restart is at this worker."""
        return bool(self._rolling_restart) and self._rolling_restart[0] == worker

    def _remove_from_balancer(self, worker: int) -> list[Action]:
        if worker not in self._in_balancer:
            return []
        self._in_balancer.discard(worker)
        return [RemoveFromBalancer(worker)]

    def _exit_if_all_ended(self) -> list[Action]:
        if not self.is_shutting_down or self._has_exited:
            return []
        if any(process.state is not ProcessState.STOPPED for process in self.processes.values()):
            return []
        self._has_exited = True
        return [Exit(self._exit_code)]


def _on_process(worker: int, actions: list[ProcessAction]) -> list[Action]:
    return [ActOnProcess(worker, action) for action in actions]
