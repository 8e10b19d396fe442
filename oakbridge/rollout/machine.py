"""A rollout from its first step to its report: what is sent when, when to halt, what to undo.  Pure.

    running -> gating -> running ... -> done
       |          |
       v          v
    halted  (or undoing -> undone, where that was asked for)

A rollout that is over and left instances unknown may begin again (``resume``): in one that was done they get their
step again; in one that was halted nothing more is changed, and they are only asked how their step ended.

:class:`Keep` comes before what it speaks of, so that a tool that is killed goes on from its journal: a step that may
have been sent is sent again, under the same id, and the agent answers as it did.  An instance of which nothing is
heard is *unknown*, never counted as changed or as unchanged; it takes up one of the places of those that may be
unavailable, until it is heard of again.
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from enum import Enum

from oakbridge.rollout.gate import Judgement, Word
from oakbridge.rollout.plan import Target

SECOND = 1_000_000


class Stage(Enum):
    """Where the rollout stands."""

    RUNNING = "running"
    GATING = "gating"
    HALTED = "halted"
    UNDOING = "undoing"
    UNDONE = "undone"
    DONE = "done"


class Fate(Enum):
    """What became of one instance."""

    WAITS = "not reached"
    SENT = "under way"
    TOOK = "took it"
    DID_NOT = "did not"
    UNDONE = "undone"
    UNKNOWN = "unknown"


OVER = frozenset({Fate.TOOK, Fate.DID_NOT, Fate.UNDONE})


@dataclass(frozen=True, slots=True)
class Row:
    """One instance's line of the report."""

    fate: Fate = Fate.WAITS
    reason: str = ""
    since: float = 0.0  # Unix time, of an unknown one: since when nothing is heard


@dataclass(frozen=True, slots=True)
class Record:
    """What must outlive the tool."""

    waves: tuple[tuple[Target, ...], ...]
    unavailable: int
    undo: bool  # whether a halt undoes what was changed
    stage: Stage = Stage.RUNNING
    wave: int = 0
    rows: tuple[tuple[str, Row], ...] = ()
    reason: str = ""


# ---- actions


@dataclass(frozen=True, slots=True)
class Keep:
    """Have this on disk before anything that follows."""

    record: Record


@dataclass(frozen=True, slots=True)
class Send:
    """Send the step to this instance (again); then ``ended`` or ``silent``."""

    target: Target


@dataclass(frozen=True, slots=True)
class TakeBack:
    """Have this instance run what it ran before; then ``taken_back`` or ``silent``."""

    target: Target


@dataclass(frozen=True, slots=True)
class Settle:
    """Find out how the step of this instance ended, and send it no more; then ``ended`` or ``silent``."""

    target: Target


@dataclass(frozen=True, slots=True)
class Judge:
    """Compare these with those that are unchanged, over a window; then ``judged``."""

    changed: tuple[Target, ...]


@dataclass(frozen=True, slots=True)
class Finish:
    """The rollout is over, or stands still."""

    stage: Stage


Action = Keep | Send | TakeBack | Settle | Judge | Finish


class Rollout:
    """The machine."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self._rows: dict[str, Row] = {t.name: Row() for wave in record.waves for t in wave} | dict(
            record.rows
        )
        self._targets = {t.name: t for wave in record.waves for t in wave}
        self._order = [t.name for wave in record.waves for t in wave]

    # ---- beginning, and beginning again

    def begin(self) -> list[Action]:
        """Begin, or go on from the record: whatever may have been sent is sent again."""
        stage = self.record.stage
        if stage is Stage.DONE and self._missing():
            self._set(stage=Stage.RUNNING)
            stage = Stage.RUNNING
        if stage is Stage.RUNNING:
            again = [Send(t) for t in self._wake()]
            return self._kept([*again, *self._more()])
        if stage is Stage.GATING:
            return [Judge(self._changed())]
        if stage in (Stage.UNDOING, Stage.UNDONE) and (self._missing() or stage is Stage.UNDOING):
            self._set(stage=Stage.UNDOING)
            asked = [Settle(t) for t in self._wake()]
            return self._kept([*asked, *[TakeBack(t) for t in self._changed()]] or self._go_on())
        if stage is Stage.HALTED:
            return self._kept([Settle(t) for t in self._wake()] or [Finish(stage)])
        return [Finish(stage)]

    # ---- what happened

    def ended(self, name: str, fate: Fate, reason: str = "") -> list[Action]:
        """An agent says how a step ended.  News of one that was unknown is news like any other."""
        row = self._rows.get(name)
        if row is None or fate not in OVER or row.fate in OVER or row.fate is Fate.WAITS:
            return []
        self._rows[name] = Row(fate, reason)
        if fate is not Fate.TOOK and self.record.stage in (Stage.RUNNING, Stage.GATING):
            return self._halt(f"{name} {fate.value}: {reason}")
        if fate is Fate.TOOK and self.record.stage in (Stage.UNDOING, Stage.UNDONE):
            self._set(stage=Stage.UNDOING)  # it has woken up with it: it is taken back like the others
            return self._kept([TakeBack(self._targets[name])])
        return self._kept(self._go_on())

    def silent(self, name: str, reason: str, since: float) -> list[Action]:
        """Nothing is heard of an instance that was sent a step (or is to be taken back)."""
        row = self._rows.get(name)
        if row is None or row.fate not in (Fate.SENT, Fate.TOOK):
            return []
        if row.fate is Fate.TOOK and self.record.stage is not Stage.UNDOING:
            return []  # it has said that it took it: that stays true
        self._rows[name] = Row(Fate.UNKNOWN, reason, since)
        if self.record.stage is not Stage.RUNNING:
            return self._kept(self._go_on())
        return self._halt_if_stuck() or self._kept(self._go_on())

    def judged(self, judgement: Judgement) -> list[Action]:
        """The gate has spoken."""
        if self.record.stage is not Stage.GATING or judgement.word is Word.WAIT:
            return []
        if judgement.word is Word.FAIL:
            return self._halt(f"the gate after wave {self.record.wave + 1}: {judgement.reason}")
        if self.record.wave + 1 == len(self.record.waves):
            return self._kept(self._finish(Stage.DONE))
        self._set(stage=Stage.RUNNING, wave=self.record.wave + 1)
        return self._halt_if_stuck() or self._kept(self._go_on())

    def stopped(self, reason: str) -> list[Action]:
        """The lease is lost, or somebody wants it to stop: nothing more is sent, and nothing is undone."""
        if self.record.stage in (Stage.RUNNING, Stage.GATING, Stage.UNDOING):
            self._set(reason=reason, stage=Stage.HALTED)
            return self._kept(self._go_on())
        return []

    def taken_back(self, name: str, reason: str = "") -> list[Action]:
        """An instance runs again what it ran before."""
        row = self._rows.get(name)
        if (
            self.record.stage not in (Stage.UNDOING, Stage.UNDONE)
            or row is None
            or row.fate not in (Fate.TOOK, Fate.UNKNOWN)
        ):
            return []
        self._rows[name] = Row(Fate.UNDONE, reason or self.record.reason)
        return self._kept(self._go_on())

    # ---- the report

    def report(self) -> dict[str, Row]:
        """What became of each instance, in the order of the waves."""
        return {name: self._rows[name] for name in self._order}

    def complete(self) -> bool:
        """Whether every instance took it."""
        return all(row.fate is Fate.TOOK for row in self._rows.values())

    # ---- parts

    def _changed(self) -> tuple[Target, ...]:
        return tuple(self._targets[n] for n in self._order if self._rows[n].fate is Fate.TOOK)

    def _wake(self) -> list[Target]:
        """What was sent and has no end that is known, also what was given up as unknown: it is under way again."""
        found = [n for n in self._order if self._rows[n].fate in (Fate.SENT, Fate.UNKNOWN)]
        for name in found:
            self._rows[name] = Row(Fate.SENT)
        return [self._targets[n] for n in found]

    def _missing(self) -> int:
        return sum(1 for row in self._rows.values() if row.fate is Fate.UNKNOWN)

    def _unsent(self) -> list[Target]:
        """Of the waves up to this one, those that nothing was sent to yet."""
        now = self.record.waves[self.record.wave]
        return [t for t in now if self._rows[t.name].fate is Fate.WAITS]

    def _halt_if_stuck(self) -> list[Action]:
        """Those that are not heard of have all the places there are: no step could go out any more."""
        missing, most = self._missing(), self.record.unavailable
        if missing < most or not self._unsent():
            return []
        return self._halt(f"{missing} instances are not heard of, and {most} may be missing")

    def _more(self) -> list[Action]:
        """As many steps as may be under way; then the gate."""
        sent: list[Action] = []
        under_way = sum(1 for row in self._rows.values() if row.fate in (Fate.SENT, Fate.UNKNOWN))
        for target in self._unsent():
            if under_way >= self.record.unavailable:
                break
            self._rows[target.name] = Row(Fate.SENT)
            sent.append(Send(target))
            under_way += 1
        now = self.record.waves[self.record.wave]
        if not sent and all(self._rows[t.name].fate in OVER | {Fate.UNKNOWN} for t in now):
            self._set(stage=Stage.GATING)
            return [Judge(self._changed())]
        return sent

    def _go_on(self) -> list[Action]:
        if self.record.stage is Stage.RUNNING:
            return self._more()
        if any(row.fate is Fate.SENT for row in self._rows.values()):
            return []  # what is under way has its end first
        if self.record.stage is Stage.UNDOING and not self._changed():
            return self._finish(Stage.UNDONE)
        return [Finish(Stage.HALTED)] if self.record.stage is Stage.HALTED else []

    def _halt(self, reason: str) -> list[Action]:
        undo = self.record.undo and any(
            r.fate in (Fate.TOOK, Fate.SENT, Fate.UNKNOWN) for r in self._rows.values()
        )
        self._set(reason=reason, stage=Stage.UNDOING if undo else Stage.HALTED)
        return self._kept(
            [TakeBack(t) for t in self._changed()] if undo and self._changed() else self._go_on()
        )

    def _finish(self, stage: Stage) -> list[Action]:
        self._set(stage=stage)
        return [Finish(stage)]

    def _set(self, **changes: object) -> None:
        self.record = dataclasses.replace(self.record, **changes)  # type: ignore[arg-type]

    def _kept(self, actions: list[Action]) -> list[Action]:
        self._set(rows=tuple((name, self._rows[name]) for name in self._order))
        return [Keep(self.record), *actions]
