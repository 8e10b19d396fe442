"""A rollout from its first step to its report: what is sent when, when to halt, what to undo.  Pure.

    running -> gating -> running ... -> done
       |          |
       v          v
    halted  (or undoing -> undone, where that was asked for)

A rollout that is over and left instances unknown may begin again (``resume``): in one that was done they get their
step again; in one that was halted nothing more is changed, and they are only asked how their step ended.

:class:`Persist` comes before what it speaks of, so that a tool that is killed goes on from its journal: a step that may
have been sent is sent again, under the same id, and the agent answers as it did.  An instance of which nothing is
heard is *unknown*, never counted as changed or as unchanged; it takes up one of the places of those that may be
unavailable, until it is heard of again.
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from enum import Enum

from oakbridge.rollout.gate import GateResult, Verdict
from oakbridge.rollout.plan import Target

SECOND = 1_000_000


class Phase(Enum):
    """Where the rollout stands."""

    RUNNING = "running"
    GATING = "gating"
    HALTED = "halted"
    ROLLING_BACK = "undoing"
    ROLLED_BACK = "undone"
    DONE = "done"


class InstanceOutcome(Enum):
    """What became of one instance."""

    NOT_REACHED = "not reached"
    IN_PROGRESS = "under way"
    APPLIED = "took it"
    NOT_APPLIED = "did not"
    ROLLED_BACK = "undone"
    UNKNOWN = "unknown"


FINAL_OUTCOMES = frozenset(
    {InstanceOutcome.APPLIED, InstanceOutcome.NOT_APPLIED, InstanceOutcome.ROLLED_BACK}
)


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """One instance's line of the report."""

    outcome: InstanceOutcome = InstanceOutcome.NOT_REACHED
    reason: str = ""
    last_response_unix_s: float = 0.0  # Unix time, of an unknown one: since when nothing is heard


@dataclass(frozen=True, slots=True)
class RolloutRecord:
    """What must outlive the tool."""

    waves: tuple[tuple[Target, ...], ...]
    max_unavailable: int
    auto_rollback: bool  # whether a halt undoes what was changed
    phase: Phase = Phase.RUNNING
    wave_index: int = 0
    statuses: tuple[tuple[str, InstanceStatus], ...] = ()
    reason: str = ""


# ---- actions


@dataclass(frozen=True, slots=True)
class Persist:
    """Have this on disk before anything that follows."""

    record: RolloutRecord


@dataclass(frozen=True, slots=True)
class SendStep:
    """Send the step to this instance (again); then ``ended`` or ``silent``."""

    target: Target


@dataclass(frozen=True, slots=True)
class RollBack:
    """Have this instance run what it ran before; then ``taken_back`` or ``silent``."""

    target: Target


@dataclass(frozen=True, slots=True)
class ResolveStep:
    """Find out how the step of this instance ended, and send it no more; then ``ended`` or ``silent``."""

    target: Target


@dataclass(frozen=True, slots=True)
class EvaluateGate:
    """Compare these with those that are unchanged, over a window; then ``judged``."""

    changed: tuple[Target, ...]


@dataclass(frozen=True, slots=True)
class Finish:
    """The rollout is over, or stands still."""

    phase: Phase


Action = Persist | SendStep | RollBack | ResolveStep | EvaluateGate | Finish


class RolloutMachine:
    """The machine."""

    def __init__(self, record: RolloutRecord) -> None:
        self.record = record
        self._statuses: dict[str, InstanceStatus] = {
            t.name: InstanceStatus() for wave in record.waves for t in wave
        } | dict(record.statuses)
        self._targets = {t.name: t for wave in record.waves for t in wave}
        self._order = [t.name for wave in record.waves for t in wave]

    # ---- beginning, and beginning again

    def start(self) -> list[Action]:
        """Begin, or go on from the record: whatever may have been sent is sent again."""
        phase = self.record.phase
        if phase is Phase.DONE and self._missing():
            self._set(phase=Phase.RUNNING)
            phase = Phase.RUNNING
        if phase is Phase.RUNNING:
            again = [SendStep(t) for t in self._wake()]
            return self._kept([*again, *self._more()])
        if phase is Phase.GATING:
            return [EvaluateGate(self._changed())]
        if phase in (Phase.ROLLING_BACK, Phase.ROLLED_BACK) and (
            self._missing() or phase is Phase.ROLLING_BACK
        ):
            self._set(phase=Phase.ROLLING_BACK)
            asked = [ResolveStep(t) for t in self._wake()]
            return self._kept([*asked, *[RollBack(t) for t in self._changed()]] or self._go_on())
        if phase is Phase.HALTED:
            return self._kept([ResolveStep(t) for t in self._wake()] or [Finish(phase)])
        return [Finish(phase)]

    # ---- what happened

    def on_step_ended(self, name: str, outcome: InstanceOutcome, reason: str = "") -> list[Action]:
        """An agent says how a step ended.  News of one that was unknown is news like any other."""
        row = self._statuses.get(name)
        if (
            row is None
            or outcome not in FINAL_OUTCOMES
            or row.outcome in FINAL_OUTCOMES
            or row.outcome is InstanceOutcome.NOT_REACHED
        ):
            return []
        self._statuses[name] = InstanceStatus(outcome, reason)
        if outcome is not InstanceOutcome.APPLIED and self.record.phase in (Phase.RUNNING, Phase.GATING):
            return self._halt(f"{name} {outcome.value}: {reason}")
        if outcome is InstanceOutcome.APPLIED and self.record.phase in (
            Phase.ROLLING_BACK,
            Phase.ROLLED_BACK,
        ):
            self._set(phase=Phase.ROLLING_BACK)  # it has woken up with it: it is taken back like the others
            return self._kept([RollBack(self._targets[name])])
        return self._kept(self._go_on())

    def on_silence(self, name: str, reason: str, last_response_unix_s: float) -> list[Action]:
        """Nothing is heard of an instance that was sent a step (or is to be taken back)."""
        row = self._statuses.get(name)
        if row is None or row.outcome not in (InstanceOutcome.IN_PROGRESS, InstanceOutcome.APPLIED):
            return []
        if row.outcome is InstanceOutcome.APPLIED and self.record.phase is not Phase.ROLLING_BACK:
            return []  # it has said that it took it: that stays true
        self._statuses[name] = InstanceStatus(InstanceOutcome.UNKNOWN, reason, last_response_unix_s)
        if self.record.phase is not Phase.RUNNING:
            return self._kept(self._go_on())
        return self._halt_if_stuck() or self._kept(self._go_on())

    def on_gate_result(self, gate_result: GateResult) -> list[Action]:
        """The gate has spoken."""
        if self.record.phase is not Phase.GATING or gate_result.word is Verdict.PENDING:
            return []
        if gate_result.word is Verdict.FAIL:
            return self._halt(f"the gate after wave {self.record.wave_index + 1}: {gate_result.reason}")
        if self.record.wave_index + 1 == len(self.record.waves):
            return self._kept(self._finish(Phase.DONE))
        self._set(phase=Phase.RUNNING, wave_index=self.record.wave_index + 1)
        return self._halt_if_stuck() or self._kept(self._go_on())

    def stop(self, reason: str) -> list[Action]:
        """The lease is lost, or somebody wants it to stop: nothing more is sent, and nothing is undone."""
        if self.record.phase in (Phase.RUNNING, Phase.GATING, Phase.ROLLING_BACK):
            self._set(reason=reason, phase=Phase.HALTED)
            return self._kept(self._go_on())
        return []

    def on_rolled_back(self, name: str, reason: str = "") -> list[Action]:
        """An instance runs again what it ran before."""
        row = self._statuses.get(name)
        if (
            self.record.phase not in (Phase.ROLLING_BACK, Phase.ROLLED_BACK)
            or row is None
            or row.outcome not in (InstanceOutcome.APPLIED, InstanceOutcome.UNKNOWN)
        ):
            return []
        self._statuses[name] = InstanceStatus(InstanceOutcome.ROLLED_BACK, reason or self.record.reason)
        return self._kept(self._go_on())

    # ---- the report

    def statuses(self) -> dict[str, InstanceStatus]:
        """What became of each instance, in the order of the waves."""
        return {name: self._statuses[name] for name in self._order}

    def is_complete(self) -> bool:
        """Whether every instance took it."""
        return all(row.outcome is InstanceOutcome.APPLIED for row in self._statuses.values())

    # ---- parts

    def _changed(self) -> tuple[Target, ...]:
        return tuple(
            self._targets[n] for n in self._order if self._statuses[n].outcome is InstanceOutcome.APPLIED
        )

    def _wake(self) -> list[Target]:
        """What was sent and has no end that is known, also what was given up as unknown: it is under way again."""
        found = [
            n
            for n in self._order
            if self._statuses[n].outcome in (InstanceOutcome.IN_PROGRESS, InstanceOutcome.UNKNOWN)
        ]
        for name in found:
            self._statuses[name] = InstanceStatus(InstanceOutcome.IN_PROGRESS)
        return [self._targets[n] for n in found]

    def _missing(self) -> int:
        return sum(1 for row in self._statuses.values() if row.outcome is InstanceOutcome.UNKNOWN)

    def _unsent(self) -> list[Target]:
        """Of the waves up to this one, those that nothing was sent to yet."""
        now = self.record.waves[self.record.wave_index]
        return [t for t in now if self._statuses[t.name].outcome is InstanceOutcome.NOT_REACHED]

    def _halt_if_stuck(self) -> list[Action]:
        """Those that are not heard of have all the places there are: no step could go out any more."""
        missing, most = self._missing(), self.record.max_unavailable
        if missing < most or not self._unsent():
            return []
        return self._halt(f"{missing} instances are not heard of, and {most} may be missing")

    def _more(self) -> list[Action]:
        """As many steps as may be under way; then the gate."""
        sent: list[Action] = []
        under_way = sum(
            1
            for row in self._statuses.values()
            if row.outcome in (InstanceOutcome.IN_PROGRESS, InstanceOutcome.UNKNOWN)
        )
        for target in self._unsent():
            if under_way >= self.record.max_unavailable:
                break
            self._statuses[target.name] = InstanceStatus(InstanceOutcome.IN_PROGRESS)
            sent.append(SendStep(target))
            under_way += 1
        now = self.record.waves[self.record.wave_index]
        if not sent and all(
            self._statuses[t.name].outcome in FINAL_OUTCOMES | {InstanceOutcome.UNKNOWN} for t in now
        ):
            self._set(phase=Phase.GATING)
            return [EvaluateGate(self._changed())]
        return sent

    def _go_on(self) -> list[Action]:
        if self.record.phase is Phase.RUNNING:
            return self._more()
        if any(row.outcome is InstanceOutcome.IN_PROGRESS for row in self._statuses.values()):
            return []  # what is under way has its end first
        if self.record.phase is Phase.ROLLING_BACK and not self._changed():
            return self._finish(Phase.ROLLED_BACK)
        return [Finish(Phase.HALTED)] if self.record.phase is Phase.HALTED else []

    def _halt(self, reason: str) -> list[Action]:
        undo = self.record.auto_rollback and any(
            r.outcome in (InstanceOutcome.APPLIED, InstanceOutcome.IN_PROGRESS, InstanceOutcome.UNKNOWN)
            for r in self._statuses.values()
        )
        self._set(reason=reason, phase=Phase.ROLLING_BACK if undo else Phase.HALTED)
        return self._kept(
            [RollBack(t) for t in self._changed()] if undo and self._changed() else self._go_on()
        )

    def _finish(self, phase: Phase) -> list[Action]:
        self._set(phase=phase)
        return [Finish(phase)]

    def _set(self, **changes: object) -> None:
        self.record = dataclasses.replace(self.record, **changes)  # type: ignore[arg-type]

    def _kept(self, actions: list[Action]) -> list[Action]:
        self._set(statuses=tuple((name, self._statuses[name]) for name in self._order))
        return [Persist(self.record), *actions]
