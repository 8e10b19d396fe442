"""Which generation an instance runs, and how it changes over: whole, or not at all.  No I/O.

    settled -> staging -> flipping -> watching -> settled        took it
                  |           |          |
                  v           v          v
               settled     undoing -> settled                    did not / undone

A *generation* is everything that an instance runs by, under one digest.  The machine returns actions in order;
:class:`Keep` comes before the action that it speaks of, so that after a crash :meth:`Instance.recover` knows what may
have been begun.  Every action can be carried out twice with the same end.
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from enum import Enum

SECOND = 1_000_000
NOTHING = "nothing"  # the digest of the generation that there is before the first
READY_WITHIN = 20 * SECOND  # after the flip: the old process has to end in order, and the new one to start
REMEMBERED = 64  # outcomes of steps that are kept, for replies that were lost


class State(Enum):
    """Where the change-over stands."""

    SETTLED = "settled"
    STAGING = "staging"
    FLIPPING = "flipping"
    WATCHING = "watching"
    UNDOING = "undoing"


class Verdict(Enum):
    """How a step ended for an instance."""

    TOOK = "took it"
    DID_NOT = "did not"
    UNDONE = "undone"


@dataclass(frozen=True, slots=True)
class Generation:
    """One generation by its number and digest; the number only grows over the fleet's life."""

    number: int = 0
    digest: str = NOTHING


@dataclass(frozen=True, slots=True)
class Step:
    """What is asked of an instance: to run a generation, if it runs ``base`` now."""

    id: str
    token: int
    target: Generation
    base: int
    watch: int = 5 * SECOND  # for how long it must run well, once it is ready, before it is kept


@dataclass(frozen=True, slots=True)
class Outcome:
    """A step's end."""

    step: str
    verdict: Verdict
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Record:
    """What must outlive the agent: all that the machine knows but times."""

    state: State = State.SETTLED
    current: Generation = Generation()  # what the link shows, once it is settled
    previous: Generation = Generation()  # what it goes back to
    step: Step | None = None
    reason: str = ""  # why it is being undone
    outcomes: tuple[Outcome, ...] = ()


# ---- actions


@dataclass(frozen=True, slots=True)
class Keep:
    """Have this record on disk before anything that follows."""

    record: Record


@dataclass(frozen=True, slots=True)
class Stage:
    """Write the generation beside the one in use, and have the node's own checker look at it; then ``staged``."""

    target: Generation


@dataclass(frozen=True, slots=True)
class Unstage:
    """Throw a staged generation away."""

    target: Generation


@dataclass(frozen=True, slots=True)
class Flip:
    """Have the link show this generation, by one rename; then ``flipped``."""

    target: Generation


@dataclass(frozen=True, slots=True)
class Run:
    """Have the process run what the link shows now; with ``NOTHING``, have it not run."""

    target: Generation


@dataclass(frozen=True, slots=True)
class Wake:
    """Call ``tick`` at this time."""

    at: int


Action = Keep | Stage | Unstage | Flip | Run | Wake


class Busy(ValueError):
    """A step that can't begin, and never will; the text says why.  Nothing has changed."""


class UnderWay(Busy):
    """It can't begin while another one is under way, and might after that: no answer that is for good."""


class Instance:
    """The machine of one instance."""

    def __init__(self, record: Record | None = None) -> None:
        self.record = record or Record()
        self._ready = False
        self._due = 0  # when the watch ends, or the node must be ready

    @property
    def state(self) -> State:
        """Where the change-over stands."""
        return self.record.state

    @property
    def runs(self) -> Generation:
        """What the process should run by now: the link's generation."""
        r = self.record
        if r.step is not None and r.state is State.WATCHING:
            return r.step.target
        return r.current

    def outcome(self, step: str) -> Outcome | None:
        """How a step ended, if it has ended and is remembered."""
        return next((o for o in self.record.outcomes if o.step == step), None)

    # ---- what is asked

    def order(self, now: int, step: Step) -> list[Action]:
        """Begin a step.  One that is under way or has ended already changes nothing; raises :class:`Busy`."""
        r = self.record
        if self.outcome(step.id) is not None or (r.step is not None and r.step.id == step.id):
            return []
        if r.step is not None:
            raise UnderWay(f"step {r.step.id} is under way ({r.state.value})")
        if step.target == r.current:
            return self._end(Verdict.TOOK, "it ran it already", step)
        if step.base != r.current.number:
            raise Busy(
                f"it runs generation {r.current.number}, and the step is for one that runs {step.base}"
            )
        if step.target.number <= r.current.number:
            raise Busy(f"generation {step.target.number} is not newer than {r.current.number}")
        return [self._keep(state=State.STAGING, step=step), Stage(step.target)]

    # ---- what happened

    def staged(self, now: int, problem: str = "", lease: str = "") -> list[Action]:
        """The generation is staged and checked, or has a problem; ``lease``: why the step may not go on, if so."""
        r = self.record
        if r.state is not State.STAGING or r.step is None:
            return []
        if problem or lease:
            return [*self._end(Verdict.DID_NOT, problem or lease), Unstage(r.step.target)]
        return [self._keep(state=State.FLIPPING), Flip(r.step.target)]

    def flipped(self, now: int, problem: str = "") -> list[Action]:
        """The link has been renamed, or could not be."""
        r = self.record
        if r.state is State.FLIPPING and r.step is not None:
            if problem:
                return self._undo(f"the flip failed: {problem}")
            return [self._keep(state=State.WATCHING), Run(r.step.target), *self._watch(now)]
        if r.state is State.UNDOING and r.step is not None and not problem:
            step, back = r.step, r.current
            return [*self._end(Verdict.UNDONE, r.reason), Run(back), Unstage(step.target)]
        if r.state is State.UNDOING:
            return [Wake(now + SECOND)]  # tried again: there is nowhere else to go
        return []

    def ready(self, now: int) -> list[Action]:
        """The process serves, by what the link shows."""
        if self._ready or self.record.state is not State.WATCHING or self.record.step is None:
            return []
        self._ready = True
        self._due = now + self.record.step.watch
        return [Wake(self._due)]

    def failed(self, now: int, how: str) -> list[Action]:
        """The process has crashed, or what it says of itself is not good enough."""
        self._ready = False
        return self._undo(how) if self.record.state is State.WATCHING else []

    def tick(self, now: int) -> list[Action]:
        """A time that was asked for has come."""
        r = self.record
        if r.state is State.UNDOING:
            return [Flip(r.current)]
        if r.state is not State.WATCHING or r.step is None or now < self._due:
            return []
        if not self._ready:
            return self._undo(f"it was not ready within {READY_WITHIN // SECOND} s")
        step = r.step
        moved = dataclasses.replace(r, current=step.target, previous=r.current)
        self.record = moved
        return self._end(Verdict.TOOK, "")

    def recover(self, now: int) -> list[Action]:
        """Go on after a crash of the agent, by the last record that was kept."""
        r = self.record
        if r.step is None:
            return [Run(r.current)]
        if r.state is State.STAGING:
            return [
                *self._end(Verdict.DID_NOT, "the agent ended while it was staged"),
                Unstage(r.step.target),
                Run(r.current),
            ]
        if r.state is State.FLIPPING:
            return [Flip(r.step.target)]
        if r.state is State.WATCHING:
            # The node may have been stopped for its restart: it is run again, and watched from the start.
            return [Flip(r.step.target), Run(r.step.target), *self._watch(now)]
        return [Flip(r.current)]

    # ---- parts

    def _watch(self, now: int) -> list[Action]:
        assert self.record.step is not None
        self._ready = False
        self._due = now + READY_WITHIN
        return [Wake(self._due)]

    def _undo(self, reason: str) -> list[Action]:
        return [self._keep(state=State.UNDOING, reason=reason), Flip(self.record.current)]

    def _end(self, verdict: Verdict, reason: str, step: Step | None = None) -> list[Action]:
        r = self.record
        ended = step or r.step
        assert ended is not None
        outcomes = (*r.outcomes, Outcome(ended.id, verdict, reason))[-REMEMBERED:]
        return [self._keep(state=State.SETTLED, step=None, reason="", outcomes=outcomes)]

    def _keep(self, **changes: object) -> Keep:
        self.record = dataclasses.replace(self.record, **changes)  # type: ignore[arg-type]
        return Keep(self.record)
