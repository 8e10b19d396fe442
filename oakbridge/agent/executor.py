"""Carry out the actions of an instance's state machine, in order.

An action whose disk fails stays at the head of the queue and is carried out again, with all that
follows behind it, until it succeeds: what the machine has decided is owed.  A record is tried
forever, as nothing may happen before it is on disk; what only changes files is given up after
:data:`GIVE_UP_US`, and the machine is told why.  If the process ends meanwhile, the next one goes
on from the record on disk.
"""

from __future__ import annotations

import logging
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
from oakbridge.agent.errors import StoreError, StoreUnavailableError
from oakbridge.agent.generations import Files
from oakbridge.agent.records import ChangeState, Generation, Step
from oakbridge.agent.state_machine import InstanceStateMachine
from oakbridge.agent.store import Store

log = logging.getLogger(__name__)

GIVE_UP_US = 10_000_000  # after the first failure of an action that changes files

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
        set_retry_timer: Callable[[], None] = lambda: None,
    ) -> None:
        """``check_staged`` returns what is wrong with a staged generation; "" if nothing is.

        ``set_retry_timer`` has :meth:`retry` called in a moment.
        """
        self.durable_record = machine.record  # the last one on disk: what may be told
        self._store = store
        self._instance = instance
        self._machine = machine
        self._check_staged = check_staged
        self._run_generation = run_generation
        self._set_timer = set_timer
        self._set_retry_timer = set_retry_timer
        self._queue: deque[Action] = deque()
        self._failing_since_us: int | None = None  # the action at the head of the queue
        self._lease_problem = _no_problem
        self._files: Files = {}  # of the step in progress, until they are staged

    @property
    def is_blocked(self) -> bool:
        """Whether actions wait for the disk: the machine is ahead of what has happened."""
        return bool(self._queue)

    def begin_step(self, now_us: int, step: Step, files: Files, lease_problem: Problem) -> None:
        """Begin a step.

        ``lease_problem`` is asked once more, just before the generation is activated.

        Raises:
            StepConflictError: if the step can't begin.
        """
        actions = self._machine.begin_step(step)
        if actions:
            self._files = files
            self._lease_problem = lease_problem
        self.execute(now_us, actions)

    def execute(self, now_us: int, actions: list[Action]) -> None:
        """Carry out actions, and all that follow from them; behind those that wait, if any do."""
        was_blocked = self.is_blocked
        self._queue.extend(actions)
        if not was_blocked:
            self._carry_out_queue(now_us)

    def retry(self, now_us: int) -> None:
        """Carry out what waits for the disk."""
        self._carry_out_queue(now_us)

    def _carry_out_queue(self, now_us: int) -> None:
        while self._queue:
            action = self._queue[0]
            try:
                following = self._execute_one(now_us, action)
            except (StoreUnavailableError, OSError) as error:
                if not self._gives_up(now_us, action, error):
                    self._set_retry_timer()
                    return
                following = self._report_failure(now_us, action, str(error))
            self._failing_since_us = None
            self._queue.popleft()
            self._queue.extend(following)
        if self._machine.state is ChangeState.SETTLED:
            self._files = {}
            self._lease_problem = _no_problem
            self._store.generations.prune(self._instance, self._machine.record)

    def _gives_up(self, now_us: int, action: Action, error: Exception) -> bool:
        """Note a failure; return whether the action is not to be carried out again."""
        if self._failing_since_us is None:
            self._failing_since_us = now_us
            what = type(action).__name__
            log.warning("%s: %s fails and is tried again: %s", self._instance, what, error)
        is_given_up = now_us - self._failing_since_us >= GIVE_UP_US
        return is_given_up and not isinstance(action, PersistRecord)

    def _execute_one(self, now_us: int, action: Action) -> list[Action]:
        """Carry out one action, and return those that follow from it.

        Raises StoreUnavailableError or OSError if the disk fails.
        """
        match action:
            case PersistRecord(record):
                self._store.journal.save_record(self._instance, record)
                self.durable_record = record
            case StageGeneration(target):
                return self._machine.on_staged(self._stage(target) or self._lease_problem())
            case DiscardGeneration(target):
                self._store.generations.discard(self._instance, target)
            case ActivateGeneration(target):
                return self._machine.on_activated(now_us, self._activate(target))
            case RunGeneration(target):
                self._run_generation(target)
            case SetTimer(at_us):
                self._set_timer(at_us)
        return []

    def _report_failure(self, now_us: int, action: Action, problem: str) -> list[Action]:
        """Tell the machine that an action was given up, and return what follows from that."""
        match action:
            case StageGeneration():
                return self._machine.on_staged(f"it can't be written: {problem}")
            case ActivateGeneration():
                return self._machine.on_activated(now_us, problem)
        log.error("%s: %s is given up: %s", self._instance, type(action).__name__, problem)
        return []

    def _stage(self, target: Generation) -> str:
        """Stage a generation; return why it must not be activated, "" if it may.

        Raises OSError if it can't be written now.
        """
        try:
            self._store.generations.stage(self._instance, target, self._files)
        except StoreError as e:
            return f"it can't be written: {e}"
        return self._check_staged(target)

    def _activate(self, target: Generation) -> str:
        """Activate a generation; return why that can't be, "" if it has been done.

        Raises OSError if the link can't be renamed now.
        """
        try:
            self._store.generations.activate(self._instance, target)
        except StoreError as e:
            return str(e)
        return ""
