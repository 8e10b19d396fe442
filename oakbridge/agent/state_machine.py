"""Which generation an instance runs, and how it changes over: completely, or not at all.  No I/O.

    settled -> staging -> activating -> watching -> settled       applied
                  |            |           |
                  v            v           v
               settled     rolling back -> settled                rejected / rolled back

Events come as calls, and each returns the actions that follow from it, in order.
:class:`PersistRecord` comes before the action that it speaks of, so that after a crash
:meth:`InstanceStateMachine.recover` knows what may have been begun. Times are microseconds on a
clock that only moves forward.
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
READY_TIMEOUT_US = 20 * US_PER_S  # the old process has to end gracefully first, then the new one to start
ROLLBACK_RETRY_US = US_PER_S
MAX_OUTCOMES = 64  # that are remembered, for responses that were lost


class InstanceStateMachine:
    """The state machine of one instance; ``record`` is what must outlive it."""

    def __init__(self, record: InstanceRecord | None = None) -> None:
        self.record = record or InstanceRecord()
        self._node_ready = False
        self._deadline_us = (
            0  # while watching: when the node must be ready, or has been watched for long enough
        )

    @property
    def state(self) -> ChangeState:
        """Where the change stands."""
        return self.record.state

    def outcome(self, step_id: str) -> StepOutcome | None:
        """Return how a step ended, if it has ended and is remembered."""
        return next((o for o in self.record.outcomes if o.step_id == step_id), None)

    # ---- events

    def begin_step(self, step: Step) -> list[Action]:
        """Begin a step; one that is in progress or has ended already changes nothing.

        Raises:
            StepInProgressError: if the step can't begin now.
            StepConflictError: if it never can.
        """
        record = self.record
        if self.outcome(step.step_id) is not None:
            return []
        if record.step is not None:
            if record.step.step_id == step.step_id:
                return []
            raise StepInProgressError(record.step.step_id, record.state.value)
        if step.target == record.current:
            return self._end_step(step, Verdict.APPLIED, "it ran it already")
        if step.base != record.current.number:
            raise BaseMismatchError(running=record.current.number, expected=step.base)
        if step.target.number <= record.current.number:
            raise StaleGenerationError(step.target.number, running=record.current.number)
        staging = replace(record, state=ChangeState.STAGING, step=step)
        return [self._persist(staging), StageGeneration(step.target)]

    def on_staged(self, problem: str = "") -> list[Action]:
        """Take up that the generation is staged; ``problem``: why it must not be activated."""
        step = self.record.step
        if self.record.state is not ChangeState.STAGING or step is None:
            return []
        if problem:
            return [
                *self._end_step(step, Verdict.REJECTED, problem),
                DiscardGeneration(step.target),
            ]
        activating = replace(self.record, state=ChangeState.ACTIVATING)
        return [self._persist(activating), ActivateGeneration(step.target)]

    def on_activated(self, now_us: int, problem: str = "") -> list[Action]:
        """Take up that the link has been renamed; ``problem``: why it could not be."""
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
                *self._watch(now_us),
            ]
        if self.record.state is ChangeState.ROLLING_BACK:
            if problem:  # there is nowhere else to go
                return [SetTimer(now_us + ROLLBACK_RETRY_US)]
            return [
                *self._end_step(step, Verdict.ROLLED_BACK, self.record.rollback_reason),
                RunGeneration(self.record.current),
                DiscardGeneration(step.target),
            ]
        return []

    def on_ready(self, now_us: int) -> list[Action]:
        """Take up that the node serves, by what the link shows."""
        step = self.record.step
        if self._node_ready or self.record.state is not ChangeState.WATCHING or step is None:
            return []
        self._node_ready = True
        self._deadline_us = now_us + step.watch_us
        return [SetTimer(self._deadline_us)]

    def on_failed(self, reason: str) -> list[Action]:
        """Take up that the node has crashed, or that its status is not good enough."""
        self._node_ready = False
        return self._roll_back(reason) if self.record.state is ChangeState.WATCHING else []

    def on_timer(self, now_us: int) -> list[Action]:
        """Take up that a time has come that was asked for with :class:`SetTimer`."""
        record, step = self.record, self.record.step
        if record.state is ChangeState.ROLLING_BACK:
            return [ActivateGeneration(record.current)]
        if record.state is not ChangeState.WATCHING or step is None or now_us < self._deadline_us:
            return []
        if not self._node_ready:
            return self._roll_back(f"it was not ready within {READY_TIMEOUT_US // US_PER_S} s")
        self.record = replace(record, current=step.target, previous=record.current)
        return self._end_step(step, Verdict.APPLIED)

    def recover(self, now_us: int) -> list[Action]:
        """Continue after a crash of the agent, from the last record on disk."""
        record, step = self.record, self.record.step
        if step is None:
            return [RunGeneration(record.current)]
        match record.state:
            case ChangeState.STAGING:
                reason = "the agent ended while it was staged"
                return [
                    *self._end_step(step, Verdict.REJECTED, reason),
                    DiscardGeneration(step.target),
                    RunGeneration(record.current),
                ]
            case ChangeState.ACTIVATING:
                return [ActivateGeneration(step.target)]
            case ChangeState.WATCHING:
                # The node may have been stopped for its restart: it is run again, and the
                # watch begins anew.
                return [
                    ActivateGeneration(step.target),
                    RunGeneration(step.target),
                    *self._watch(now_us),
                ]
        return [ActivateGeneration(record.current)]

    # ---- transitions

    def _watch(self, now_us: int) -> list[Action]:
        self._node_ready = False
        self._deadline_us = now_us + READY_TIMEOUT_US
        return [SetTimer(self._deadline_us)]

    def _roll_back(self, reason: str) -> list[Action]:
        rolling_back = replace(self.record, state=ChangeState.ROLLING_BACK, rollback_reason=reason)
        return [self._persist(rolling_back), ActivateGeneration(self.record.current)]

    def _end_step(self, step: Step, verdict: Verdict, reason: str = "") -> list[Action]:
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
