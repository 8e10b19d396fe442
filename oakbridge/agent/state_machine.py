"""The state machine of one instance: its current generation, and atomic changes of it.  No I/O.

    settled -> staging -> activating -> watching -> settled       applied
                  |            |           |
                  v            v           v
               settled     rolling back -> settled                rejected / rolled back

Each event is a method that returns the actions to carry out, in order.  :class:`PersistRecord`
precedes the action that it records (write-ahead), so that after a crash
:meth:`InstanceStateMachine.recover` knows which action may have been started.  Times are
microseconds of a monotonic clock.
"""

from __future__ import annotations

from dataclasses import replace

from oakbridge.agent.actions import (
    Action,
    ActivateGeneration,
    DiscardGeneration,
    PersistRecord,
    RunGeneration,
    SetTimer,
    StageGeneration,
)
from oakbridge.agent.errors import BaseMismatchError, StaleGenerationError, StepInProgressError
from oakbridge.agent.records import ChangeState, InstanceRecord, Step, StepOutcome, Verdict

US_PER_S = 1_000_000
# Within this time the old process must shut down gracefully and the new one become ready.
READY_TIMEOUT_US = 20 * US_PER_S
ROLLBACK_RETRY_DELAY_US = US_PER_S
MAX_OUTCOMES = 64  # of past steps, kept for operators that lost a response and send a step again


class InstanceStateMachine:
    """The state machine of one instance; ``record`` is its durable state."""

    def __init__(self, record: InstanceRecord | None = None) -> None:
        self.record = record or InstanceRecord()
        self._node_ready = False
        # While watching: when the node must be ready; once it is ready, when the watch ends.
        self._deadline_us = 0

    @property
    def state(self) -> ChangeState:
        """The state of the change."""
        return self.record.state

    def outcome(self, step_id: str) -> StepOutcome | None:
        """Return a step's outcome; None if the step has none, or the outcome is no longer kept."""
        return next(
            (outcome for outcome in self.record.outcomes if outcome.step_id == step_id), None
        )

    # ---- events

    def begin_step(self, step: Step) -> list[Action]:
        """Begin a step; return no actions if it is in progress or has an outcome already.

        Raises:
            StepInProgressError: if another step is in progress.
            StepConflictError: if the step can never be applied.
        """
        record = self.record
        if self.outcome(step.step_id) is not None:
            return []
        if record.step is not None:
            if record.step.step_id == step.step_id:
                return []
            raise StepInProgressError(record.step.step_id, record.state.value)
        if step.target == record.current:
            return self._finish_step(step, Verdict.APPLIED, "it ran it already")
        if step.base_generation != record.current.number:
            raise BaseMismatchError(running=record.current.number, expected=step.base_generation)
        if step.target.number <= record.current.number:
            raise StaleGenerationError(step.target.number, running=record.current.number)
        staging = replace(record, state=ChangeState.STAGING, step=step)
        return [self._persist(staging), StageGeneration(step.target)]

    def on_staged(self, problem: str = "") -> list[Action]:
        """Handle the result of staging; ``problem`` is why the generation must not be activated."""
        step = self.record.step
        if self.record.state is not ChangeState.STAGING or step is None:
            return []
        if problem:
            return [
                *self._finish_step(step, Verdict.REJECTED, problem),
                DiscardGeneration(step.target),
            ]
        activating = replace(self.record, state=ChangeState.ACTIVATING)
        return [self._persist(activating), ActivateGeneration(step.target)]

    def on_activated(self, now_us: int, problem: str = "") -> list[Action]:
        """Handle the result of renaming the link; ``problem`` is why the renaming failed."""
        step = self.record.step
        if step is None:
            return []
        if self.record.state is ChangeState.ACTIVATING:
            if problem:
                return self._roll_back(f"the flip failed: {problem}")
            watching = replace(self.record, state=ChangeState.WATCHING)
            return [
                self._persist(watching),
                RunGeneration(step.target),
                *self._begin_watch(now_us),
            ]
        if self.record.state is ChangeState.ROLLING_BACK:
            if problem:  # there is no other generation to roll back to
                return [SetTimer(now_us + ROLLBACK_RETRY_DELAY_US)]
            return [
                *self._finish_step(step, Verdict.ROLLED_BACK, self.record.rollback_reason),
                RunGeneration(self.record.current),
                DiscardGeneration(step.target),
            ]
        return []

    def on_ready(self, now_us: int) -> list[Action]:
        """Handle that the node is ready with the activated generation."""
        step = self.record.step
        if self._node_ready or self.record.state is not ChangeState.WATCHING or step is None:
            return []
        self._node_ready = True
        self._deadline_us = now_us + step.watch_us
        return [SetTimer(self._deadline_us)]

    def on_failed(self, reason: str) -> list[Action]:
        """Handle a crash of the node, or a status that fails the change; ``reason`` says which."""
        self._node_ready = False
        return self._roll_back(reason) if self.record.state is ChangeState.WATCHING else []

    def on_timer(self, now_us: int) -> list[Action]:
        """Handle a timer that :class:`SetTimer` has set."""
        record, step = self.record, self.record.step
        if record.state is ChangeState.ROLLING_BACK:
            return [ActivateGeneration(record.current)]
        if record.state is not ChangeState.WATCHING or step is None or now_us < self._deadline_us:
            return []
        if not self._node_ready:
            return self._roll_back(f"it was not ready within {READY_TIMEOUT_US // US_PER_S} s")
        self.record = replace(record, current=step.target, previous=record.current)
        return self._finish_step(step, Verdict.APPLIED)

    def recover(self, now_us: int) -> list[Action]:
        """Continue from the last record on disk after a restart of the agent."""
        record, step = self.record, self.record.step
        if step is None:
            return [RunGeneration(record.current)]
        match record.state:
            case ChangeState.STAGING:
                reason = "the agent ended while it was staged"
                return [
                    *self._finish_step(step, Verdict.REJECTED, reason),
                    DiscardGeneration(step.target),
                    RunGeneration(record.current),
                ]
            case ChangeState.ACTIVATING:
                return [ActivateGeneration(step.target)]
            case ChangeState.WATCHING:
                # The agent may have stopped the node to restart it: run the node, and watch again.
                return [
                    ActivateGeneration(step.target),
                    RunGeneration(step.target),
                    *self._begin_watch(now_us),
                ]
        return [ActivateGeneration(record.current)]

    # ---- transitions

    def _begin_watch(self, now_us: int) -> list[Action]:
        self._node_ready = False
        self._deadline_us = now_us + READY_TIMEOUT_US
        return [SetTimer(self._deadline_us)]

    def _roll_back(self, reason: str) -> list[Action]:
        rolling_back = replace(self.record, state=ChangeState.ROLLING_BACK, rollback_reason=reason)
        return [self._persist(rolling_back), ActivateGeneration(self.record.current)]

    def _finish_step(self, step: Step, verdict: Verdict, reason: str = "") -> list[Action]:
        outcomes = (*self.record.outcomes, StepOutcome(step.step_id, verdict, reason))
        settled = replace(
            self.record,
            state=ChangeState.SETTLED,
            step=None,
            rollback_reason="",
            outcomes=outcomes[-MAX_OUTCOMES:],
        )
        return [self._persist(settled)]

    def _persist(self, record: InstanceRecord) -> PersistRecord:
        self.record = record
        return PersistRecord(record)
