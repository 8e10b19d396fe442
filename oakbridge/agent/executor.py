"""Carry out the actions of an instance's state machine, in order."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from oakbridge.agent.actions import (
    Action,
    ActivateGeneration,
    DiscardGeneration,
    PersistRecord,
    RunGeneration,
    SetTimer,
    StageGeneration,
)
from oakbridge.agent.errors import StoreError
from oakbridge.agent.generations import Files
from oakbridge.agent.records import ChangeState, Generation, Step
from oakbridge.agent.state_machine import InstanceStateMachine
from oakbridge.agent.store import Store

Problem = Callable[[], str]  # returns why something may not go on; "" if it may


def _no_problem() -> str:
    return ""


class ActionExecutor:
    """Carries out one instance's actions: on the disk itself, on the node by callbacks."""

    def __init__(
        self,
        store: Store,
        instance: str,
        machine: InstanceStateMachine,
        *,
        check_staged: Callable[[Generation], str],
        run_generation: Callable[[Generation], None],
        set_timer: Callable[[int], None],
    ) -> None:
        """``check_staged`` returns what is wrong with a staged generation; "" if nothing is."""
        self._store = store
        self._instance = instance
        self._machine = machine
        self._check_staged = check_staged
        self._run_generation = run_generation
        self._set_timer = set_timer
        self._files: Files = {}  # of the step in progress, until they are staged

    def begin_step(self, now_us: int, step: Step, files: Files, lease_problem: Problem) -> None:
        """Begin a step.

        ``lease_problem`` is asked once more, just before the generation is activated.

        Raises:
            StepConflictError: if the step can't begin.
        """
        actions = self._machine.begin_step(step)
        if actions:
            self._files = files
        self.execute(now_us, actions, lease_problem)

    def execute(
        self, now_us: int, actions: list[Action], lease_problem: Problem = _no_problem
    ) -> None:
        """Carry out actions, and all that follow from them."""
        queue = deque(actions)
        while queue:
            queue.extend(self._execute_one(now_us, queue.popleft(), lease_problem))
        if self._machine.state is ChangeState.SETTLED:
            self._files = {}
            self._store.generations.prune(self._instance, self._machine.record)

    def _execute_one(self, now_us: int, action: Action, lease_problem: Problem) -> list[Action]:
        """Carry out one action, and return those that follow from it."""
        match action:
            case PersistRecord(record):
                self._store.journal.save_record(self._instance, record)
            case StageGeneration(target):
                problem = self._stage(target)
                return self._machine.on_staged(problem or lease_problem())
            case DiscardGeneration(target):
                self._store.generations.discard(self._instance, target)
            case ActivateGeneration(target):
                return self._machine.on_activated(now_us, self._activate(target))
            case RunGeneration(target):
                self._run_generation(target)
            case SetTimer(at_us):
                self._set_timer(at_us)
        return []

    def _stage(self, target: Generation) -> str:
        """Stage a generation; return why it must not be activated, "" if it may."""
        try:
            self._store.generations.stage(self._instance, target, self._files)
        except (StoreError, OSError) as e:
            return f"it can't be written: {e}"
        return self._check_staged(target)

    def _activate(self, target: Generation) -> str:
        """Activate a generation; return why that failed, "" if it did not."""
        try:
            self._store.generations.activate(self._instance, target)
        except (StoreError, OSError) as e:
            return str(e)
        return ""
