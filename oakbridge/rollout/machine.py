"""The state machine of a rollout: when to send each step, to halt and to roll back.  Pure.

    running -> gating -> running ... -> done
       |          |
       v          v
    halted  (or rolling back -> rolled back, with ``auto_rollback``)

A rollout that ended with unknown instances may be resumed.  If it was done, these instances are
sent their step again.  If it was halted, nothing more is changed, and the agents are only asked
how the step ended.  If it was rolled back, those that did apply the step are rolled back too.

:class:`Persist` precedes the actions that depend on it, so that a killed tool resumes from its
journal: a step that may have been sent is sent again under the same id, and the agent reports the
same result.  An instance without a known result is *unknown*: it counts neither as changed nor as
unchanged, and as unavailable until its agent reports a result.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence, Set

from oakbridge.rollout.actions import (
    Action,
    EvaluateGate,
    Finish,
    Persist,
    ResolveStep,
    RollBack,
    SendStep,
)
from oakbridge.rollout.gate import GateResult, Verdict
from oakbridge.rollout.plan import Target
from oakbridge.rollout.record import (
    FINAL_OUTCOMES,
    UNAVAILABLE_OUTCOMES,
    InstanceOutcome,
    InstanceStatus,
    Phase,
    RolloutRecord,
)

IN_PROGRESS_PHASES = frozenset({Phase.RUNNING, Phase.GATING})
ROLLBACK_PHASES = frozenset({Phase.ROLLING_BACK, Phase.ROLLED_BACK})


class RolloutMachine:
    """Turns events of a rollout into actions; :attr:`record` is the state after the last event."""

    def __init__(self, record: RolloutRecord) -> None:
        """Start from a record, new or from the journal; :meth:`start` returns the first actions."""
        self.record = record
        self._targets = {target.name: target for wave in record.waves for target in wave}
        self._statuses = dict.fromkeys(self._targets, InstanceStatus()) | dict(record.statuses)

    def start(self) -> list[Action]:
        """Start, or resume from the record: what may have been sent is sent again."""
        phase = self.record.phase
        if phase is Phase.RUNNING or (phase is Phase.DONE and self._unknown_count()):
            return self._start_running()
        if phase is Phase.GATING:
            return [EvaluateGate(self._changed())]
        if phase is Phase.ROLLING_BACK or (phase is Phase.ROLLED_BACK and self._unknown_count()):
            return self._start_rolling_back()
        if phase is Phase.HALTED:
            return self._persisted(self._resolve_open_steps() or [Finish(phase)])
        return [Finish(phase)]

    def on_step_ended(self, name: str, outcome: InstanceOutcome, reason: str = "") -> list[Action]:
        """Process an agent's report of how a step ended, also for an unknown instance."""
        status = self._statuses.get(name)
        if status is None or outcome not in FINAL_OUTCOMES:
            return []
        if status.outcome not in UNAVAILABLE_OUTCOMES:
            return []
        self._statuses[name] = InstanceStatus(outcome, reason)
        if outcome is not InstanceOutcome.APPLIED and self.record.phase in IN_PROGRESS_PHASES:
            return self._halt(f"{name} {outcome.value}: {reason}")
        if outcome is InstanceOutcome.APPLIED and self.record.phase in ROLLBACK_PHASES:
            # A late report: the instance is rolled back like the others.
            self._set(phase=Phase.ROLLING_BACK)
            return self._persisted([RollBack(self._targets[name])])
        return self._persisted(self._continue())

    def on_outcome_unknown(
        self, name: str, reason: str, last_response_unix_s: float
    ) -> list[Action]:
        """Process an unknown result of an instance's step or rollback.

        ``last_response_unix_s`` is the Unix time of its agent's last response in seconds, or 0.
        """
        status = self._statuses.get(name)
        if status is None:
            return []
        is_rolling_back = (
            status.outcome is InstanceOutcome.APPLIED and self.record.phase is Phase.ROLLING_BACK
        )
        # Outside a rollback, a reported result is final.
        if status.outcome is not InstanceOutcome.IN_PROGRESS and not is_rolling_back:
            return []
        self._statuses[name] = InstanceStatus(InstanceOutcome.UNKNOWN, reason, last_response_unix_s)
        if self.record.phase is not Phase.RUNNING:
            return self._persisted(self._continue())
        return self._halt_if_limit_reached() or self._persisted(self._continue())

    def on_gate_result(self, result: GateResult) -> list[Action]:
        """Process the result of the gate after the present wave."""
        if self.record.phase is not Phase.GATING or result.verdict is Verdict.PENDING:
            return []
        if result.verdict is Verdict.FAIL:
            return self._halt(f"the gate after wave {self.record.wave_index + 1}: {result.reason}")
        if self.record.wave_index + 1 == len(self.record.waves):
            return self._persisted(self._finish(Phase.DONE))
        self._set(phase=Phase.RUNNING, wave_index=self.record.wave_index + 1)
        return self._halt_if_limit_reached() or self._persisted(self._continue())

    def on_rolled_back(self, name: str, reason: str = "") -> list[Action]:
        """Process an agent's report that an instance runs its previous files again."""
        status = self._statuses.get(name)
        if status is None or self.record.phase not in ROLLBACK_PHASES:
            return []
        if status.outcome not in (InstanceOutcome.APPLIED, InstanceOutcome.UNKNOWN):
            return []
        self._statuses[name] = InstanceStatus(
            InstanceOutcome.ROLLED_BACK, reason or self.record.reason
        )
        return self._persisted(self._continue())

    def stop(self, reason: str) -> list[Action]:
        """Halt without a rollback, so that nothing more is sent, for example after a lost lease."""
        if self.record.phase in IN_PROGRESS_PHASES or self.record.phase is Phase.ROLLING_BACK:
            self._set(reason=reason, phase=Phase.HALTED)
            return self._persisted(self._continue())
        return []

    def statuses(self) -> dict[str, InstanceStatus]:
        """Return the status of each instance, in the order of the waves."""
        return {name: self._statuses[name] for name in self._targets}

    def is_complete(self) -> bool:
        """Return whether every instance applied the change."""
        return all(s.outcome is InstanceOutcome.APPLIED for s in self._statuses.values())

    def _start_running(self) -> list[Action]:
        self._set(phase=Phase.RUNNING)
        resent = [SendStep(target) for target in self._reopen_steps()]
        return self._persisted([*resent, *self._next_steps()])

    def _start_rolling_back(self) -> list[Action]:
        self._set(phase=Phase.ROLLING_BACK)
        resolved = self._resolve_open_steps()
        return self._persisted([*resolved, *self._roll_back_changed()] or self._continue())

    def _resolve_open_steps(self) -> list[Action]:
        return [ResolveStep(target) for target in self._reopen_steps()]

    def _reopen_steps(self) -> list[Target]:
        """Mark sent steps without a known result as in progress; return their targets."""
        reopened = self._targets_with(UNAVAILABLE_OUTCOMES)
        for target in reopened:
            self._statuses[target.name] = InstanceStatus(InstanceOutcome.IN_PROGRESS)
        return reopened

    def _roll_back_changed(self) -> list[Action]:
        return [RollBack(target) for target in self._changed()]

    def _changed(self) -> tuple[Target, ...]:
        return tuple(self._targets_with({InstanceOutcome.APPLIED}))

    def _targets_with(self, outcomes: Set[InstanceOutcome]) -> list[Target]:
        return [
            target
            for name, target in self._targets.items()
            if self._statuses[name].outcome in outcomes
        ]

    def _unknown_count(self) -> int:
        return len(self._targets_with({InstanceOutcome.UNKNOWN}))

    def _present_wave(self) -> Sequence[Target]:
        return self.record.waves[self.record.wave_index]

    def _unsent(self) -> list[Target]:
        """Return the targets of the present wave to which no step has been sent."""
        return [
            target
            for target in self._present_wave()
            if self._statuses[target.name].outcome is InstanceOutcome.NOT_REACHED
        ]

    def _halt_if_limit_reached(self) -> list[Action]:
        """Halt if unknown instances reach the limit, so that no further step can be sent."""
        unknown, limit = self._unknown_count(), self.record.max_unavailable
        if unknown < limit or not self._unsent():
            return []
        return self._halt(f"{unknown} instances are not heard of, and {limit} may be missing")

    def _next_steps(self) -> list[Action]:
        """Send as many steps as the limit allows; evaluate the gate once the wave has ended."""
        free_slots = self.record.max_unavailable - len(self._targets_with(UNAVAILABLE_OUTCOMES))
        next_targets = self._unsent()[: max(0, free_slots)]
        for target in next_targets:
            self._statuses[target.name] = InstanceStatus(InstanceOutcome.IN_PROGRESS)
        if not next_targets and self._wave_has_ended():
            self._set(phase=Phase.GATING)
            return [EvaluateGate(self._changed())]
        return [SendStep(target) for target in next_targets]

    def _wave_has_ended(self) -> bool:
        ended = FINAL_OUTCOMES | {InstanceOutcome.UNKNOWN}
        return all(self._statuses[t.name].outcome in ended for t in self._present_wave())

    def _continue(self) -> list[Action]:
        if self.record.phase is Phase.RUNNING:
            return self._next_steps()
        if self._targets_with({InstanceOutcome.IN_PROGRESS}):
            return []  # the rollout ends after the steps in progress
        if self.record.phase is Phase.ROLLING_BACK and not self._changed():
            return self._finish(Phase.ROLLED_BACK)
        return [Finish(Phase.HALTED)] if self.record.phase is Phase.HALTED else []

    def _halt(self, reason: str) -> list[Action]:
        may_be_changed = UNAVAILABLE_OUTCOMES | {InstanceOutcome.APPLIED}
        roll_back = self.record.auto_rollback and bool(self._targets_with(may_be_changed))
        self._set(reason=reason, phase=Phase.ROLLING_BACK if roll_back else Phase.HALTED)
        rollbacks = self._roll_back_changed() if roll_back else []
        return self._persisted(rollbacks or self._continue())

    def _finish(self, phase: Phase) -> list[Action]:
        self._set(phase=phase)
        return [Finish(phase)]

    def _set(self, **changes: object) -> None:
        self.record = dataclasses.replace(self.record, **changes)  # type: ignore[arg-type]

    def _persisted(self, actions: list[Action]) -> list[Action]:
        """Put the statuses into the record; return an action that writes it, then ``actions``."""
        self._set(statuses=tuple(self.statuses().items()))
        return [Persist(self.record), *actions]
