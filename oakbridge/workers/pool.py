"""All workers of one supervisor: who runs, who takes connections, who is started anew, and when all is over.  Pure.

Each worker has a process machine of its own (``process.supervisor``); this one goes by what they say:

- a worker takes connections from when it is ready until it is told to leave or has ended;
- one that dies is started again, with waits that grow while it dies in its start; the others carry on;
- a rolling restart takes one at a time: leave, end, start, ready, and only then the next; it stops, and says why,
  where one does not come back, so that a program that can't start costs one worker and not all;
- to end, all leave at once; what asks for a start after that is not heard.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from oakbridge.process import supervisor as sup

SERVED = (
    sup.SECOND_US
)  # a worker that took connections for so long has not failed to start, whatever ended it
USAGE_ERROR = 2  # the exit code of a worker that can't use its configuration


@dataclass(frozen=True, slots=True)
class ActOnProcess:
    """Have one worker's process started, told to leave, killed or looked at later."""

    worker: int
    action: sup.Action


@dataclass(frozen=True, slots=True)
class AddToBalancer:
    """This worker takes connections now."""

    worker: int
    most: int


@dataclass(frozen=True, slots=True)
class RemoveFromBalancer:
    """This one takes none any more."""

    worker: int


@dataclass(frozen=True, slots=True)
class LogWarning:
    """Worth a line in the log."""

    text: str


@dataclass(frozen=True, slots=True)
class Exit:
    """No worker is left, and none is to be: the supervisor ends, with this exit code."""

    code: int


Action = ActOnProcess | AddToBalancer | RemoveFromBalancer | LogWarning | Exit


class WorkerPool:
    """The machine."""

    def __init__(self, workers: int) -> None:
        self.machines = {worker: sup.Supervisor(SERVED) for worker in range(1, workers + 1)}
        self.joined: set[int] = set()
        self.ending = self.over = False
        self._rolling: deque[int] = deque()  # the first one is being restarted
        self._ever_ready = False
        self._code = 0

    # ---- what is wanted

    def start(self, now: int) -> list[Action]:
        """Have all run."""
        return [a for w, machine in self.machines.items() for a in self._did(w, machine.start(now))]

    def end(self, now: int) -> list[Action]:
        """Have all leave, and end.  Until a worker has ended it takes what still comes to the door."""
        self.ending = True
        self._rolling.clear()
        found = [a for w, machine in self.machines.items() for a in self._did(w, machine.stop(now))]
        return found + self._check_over()

    def roll(self, now: int) -> list[Action]:
        """Restart all, one after the other.  Asked again meanwhile, all have their turn once more."""
        if self.ending:
            return []
        first = list(self._rolling)[:1]
        self._rolling = deque([*first, *self.machines])
        return [] if first else self._next(now)

    # ---- what happened

    def ready(self, worker: int, most: int, now: int) -> list[Action]:
        """A worker serves."""
        machine = self.machines[worker]
        if machine.state is not sup.State.STARTING:
            return []
        self._ever_ready = True
        self.joined.add(worker)
        found: list[Action] = [AddToBalancer(worker, most), *self._did(worker, machine.ready(now))]
        if self._rolling and self._rolling[0] == worker:
            self._rolling.popleft()
            found += self._next(now)
        return found

    def exited(self, worker: int, how: str, code: int | None, now: int) -> list[Action]:
        """A worker has ended, or could not be started (``code`` None: by a signal or not at all)."""
        machine = self.machines[worker]
        asked = machine.state is sup.State.STOPPING
        found = self._part(worker)
        if not asked:
            found.append(LogWarning(f"worker {worker} ended: {how}"))
        if code == USAGE_ERROR and not self._ever_ready and not self.ending:
            # None has ever served: it is the configuration, which it has told about, and no crash.
            self._code = USAGE_ERROR
            machine.stop(now)
            found += self._did(worker, machine.exited(now, how)) + self.end(now)
            return found
        found += self._did(worker, machine.exited(now, how))
        if machine.is_crash_looping and not self.ending:
            found.append(
                LogWarning(
                    f"worker {worker} is in a crash loop; next try in {machine.backoff_us() / 1e6:.0f} s"
                )
            )
        if self._rolling and self._rolling[0] == worker and not asked:
            self._rolling.clear()
            found.append(LogWarning(f"the rolling restart stops: worker {worker} did not come back"))
        return found + self._check_over()

    def tick(self, worker: int, now: int) -> list[Action]:
        """A time that a worker's machine asked for has come."""
        return self._did(worker, self.machines[worker].tick(now))

    # ---- parts

    def _next(self, now: int) -> list[Action]:
        if not self._rolling:
            return [LogWarning("the rolling restart is done")]
        worker = self._rolling[0]
        return self._stop(worker, self.machines[worker].restart(now))

    def _stop(self, worker: int, actions: list[sup.Action]) -> list[Action]:
        return [*self._part(worker), *self._did(worker, actions)]

    def _part(self, worker: int) -> list[Action]:
        if worker not in self.joined:
            return []
        self.joined.discard(worker)
        return [RemoveFromBalancer(worker)]

    def _did(self, worker: int, actions: list[sup.Action]) -> list[Action]:
        return [ActOnProcess(worker, action) for action in actions]

    def _check_over(self) -> list[Action]:
        done = all(machine.state is sup.State.STOPPED for machine in self.machines.values())
        if not self.ending or self.over or not done:
            return []
        self.over = True
        return [Exit(self._code)]
