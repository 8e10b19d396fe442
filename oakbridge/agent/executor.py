"""Carry out the actions of an instance's state machine, in order.

If the disk fails during an action, the action stays at the head of the queue and is retried,
because the state machine has already moved on.  The actions behind it wait.  Writing a record is
retried without limit, as no later action may run before the record is on disk.  An action that only
changes files is given up after :data:`RETRY_TIMEOUT_US`, and the state machine gets the reason.  If
the agent exits meanwhile, its next process continues from the record on disk.
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

# An action that changes files is given up this long after its first failure.
RETRY_TIMEOUT_US = 10_000_000

ProblemCheck = Callable[[], str]  # returns why a step may not continue; "" if it may


def _no_problem() -> str:
    return ""


class ActionExecutor:
    """Carries out one instance's actions: disk actions itself, other actions by callbacks."""

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
        """``check_staged`` returns the problem of a staged generation; "" if there is none.

        ``set_retry_timer`` schedules a call of :meth:`retry`.
        """
        self.durable_record = machine.record  # the last one on disk; only it may be reported
        self._store = store
        self._instance = instance
        self._machine = machine
        self._check_staged = check_staged
        self._run_generation = run_generation
        self._set_timer = set_timer
        self._set_retry_timer = set_retry_timer
        self._queue: deque[Action] = deque()
        self._failing_since_us: int | None = None  # first failure of the action at the head
        self._lease_problem = _no_problem
        self._files: Files = {}  # of the step in progress, until the instance has settled

    @property
    def is_blocked(self) -> bool:
        """Whether actions wait for the disk, so that the state machine is ahead of the node."""
        return bool(self._queue)

    def begin_step(
        self, now_us: int, step: Step, files: Files, lease_problem: ProblemCheck
    ) -> None:
        """Begin a step.

        ``lease_problem`` is called after staging: if the lease has expired, the step is rejected.

        Raises:
            StepConflictError: if the step can't begin.
        """
        actions = self._machine.begin_step(step)
        if actions:
            self._files = files
            self._lease_problem = lease_problem
        self.execute(now_us, actions)

    def execute(self, now_us: int, actions: list[Action]) -> None:
        """Carry out actions and those that result from them, behind any that are queued already."""
        was_blocked = self.is_blocked
        self._queue.extend(actions)
        if not was_blocked:
            self._carry_out_queue(now_us)

    def retry(self, now_us: int) -> None:
        """Carry out the actions that wait for the disk."""
        self._carry_out_queue(now_us)

    def _carry_out_queue(self, now_us: int) -> None:
        while self._queue:
            action = self._queue[0]
            try:
                resulting = self._execute_one(now_us, action)
            except (StoreUnavailableError, OSError) as error:
                if not self._note_failure(now_us, action, error):
                    self._set_retry_timer()
                    return
                resulting = self._report_failure(now_us, action, str(error))
            self._failing_since_us = None
            self._queue.popleft()
            self._queue.extend(resulting)
        if self._machine.state is ChangeState.SETTLED:
            self._files = {}
            self._lease_problem = _no_problem
            self._store.generations.prune(self._instance, self._machine.record)

    def _note_failure(self, now_us: int, action: Action, error: Exception) -> bool:
        """Note a failure of an action; return whether the action is given up."""
        if self._failing_since_us is None:
            self._failing_since_us = now_us
            action_name = type(action).__name__
            log.warning(
                "action of an instance failed; retrying: instance=%s action=%s error=%s",
                self._instance,
                action_name,
                error,
            )
        has_timed_out = now_us - self._failing_since_us >= RETRY_TIMEOUT_US
        return has_timed_out and not isinstance(action, PersistRecord)

    def _execute_one(self, now_us: int, action: Action) -> list[Action]:
        """Carry out one action, and return the actions that result from it.

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
        """Notify the state machine of an action that was given up; return the resulting actions.

        The problem becomes the reason of the step's outcome, which operators get.
        """
        match action:
            case StageGeneration():
                return self._machine.on_staged(f"it can't be written: {problem}")
            case ActivateGeneration():
                return self._machine.on_activated(now_us, problem)
        log.error(
            "action of an instance given up: instance=%s action=%s error=%s",
            self._instance,
            type(action).__name__,
            problem,
        )
        return []

    def _stage(self, target: Generation) -> str:
        """Stage a generation; return why it must not be activated, "" if it may be.

        Raises OSError if the disk fails.
        """
        try:
            self._store.generations.stage(self._instance, target, self._files)
        except StoreError as error:
            return f"it can't be written: {error}"
        return self._check_staged(target)

    def _activate(self, target: Generation) -> str:
        """Activate a generation; return why this is impossible, "" if it has been done.

        Raises OSError if the disk fails.
        """
        try:
            self._store.generations.activate(self._instance, target)
        except StoreError as error:
            return str(error)
        return ""
