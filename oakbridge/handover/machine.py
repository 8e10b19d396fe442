"""Both sides of a hand-over as state machines: what came in, what is to be done.  Pure.

The old process goes on as if nothing were until the new one says that it can serve: so a new one that fails before
that changes nothing.  From then on the new one accepts, and the old one ends what it has.  The new one waits for the
old one at each step for a bounded time, and goes on without it: it ends for nothing that the old one does or leaves.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from oakbridge.handover.message import CALL, DECLINE, HELLO, OVER, READY, STILL, WELCOME, Message


@dataclass(frozen=True, slots=True)
class Say:
    """Send a message; an offer and an end are filled in by who has the state."""

    kind: str
    says: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HandOver:
    """Accept nothing more, say so with what was learned, and send callers' connections along as they rest."""


@dataclass(frozen=True, slots=True)
class TakeBack:
    """Be the node alone again."""


@dataclass(frozen=True, slots=True)
class Build:
    """Make the node, from what the other process said or from nothing."""

    welcome: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class Serve:
    """Serve from now on, with what the other process learned or nothing."""

    learned: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class Apply:
    """Carry out an operator's call that came in at the other process."""

    word: str
    server: str


@dataclass(frozen=True, slots=True)
class Part:
    """Have nothing more to do with the other process."""


@dataclass(frozen=True, slots=True)
class Share:
    """Leave to the other process what it still has: calls out, and descriptors."""

    out: int
    held: int


Step = Share | Say | HandOver | TakeBack | Build | Serve | Apply | Part


class Old(Enum):
    """Where the process that runs is."""

    ALONE = "alone"
    OFFERED = "offered"
    OVER = "over"


class Predecessor:
    """The process that runs: it is asked, and hands over to one process at most."""

    def __init__(self, name: str) -> None:
        self.name, self.state = name, Old.ALONE
        self.ending = False

    def heard(self, message: Message) -> list[Step]:
        """A message of the one that asks, or has taken over."""
        if message.kind == HELLO:
            return self._asked(message.says)
        if message.kind == READY and self.state == Old.OFFERED:
            self.state = Old.OVER
            return [HandOver()]
        if message.kind == CALL and self.state != Old.ALONE:
            return [Apply(message.says["word"], message.says["server"])]
        return [Say(DECLINE, {"why": f"{message.kind} is not expected now"}), *self.lost()]

    def _asked(self, says: dict[str, Any]) -> list[Step]:
        if says["name"] != self.name:
            return [Say(DECLINE, {"why": f"this is {self.name}"}), Part()]
        if self.ending or self.state != Old.ALONE:
            return [Say(DECLINE, {"why": "ends" if self.ending else "another process takes over"}), Part()]
        self.state = Old.OFFERED
        return [Say(WELCOME)]

    def lost(self) -> list[Step]:
        """The other process has gone, or can't be understood."""
        before, self.state = self.state, Old.ALONE
        if before == Old.OVER and not self.ending:
            return [Part(), TakeBack()]
        return [Part()]

    def told_to_end(self) -> None:
        """This process ends; nothing is taken back any more."""
        self.ending = True

    def shares(self) -> bool:
        """Whether operators' calls hold in another process too."""
        return self.state != Old.ALONE


class New(Enum):
    """Where the process that was started beside another one is."""

    ASKING = "asking"
    BUILDING = "building"
    WAITING = "waiting"
    SERVING = "serving"


class Successor:
    """The process that was started: it asks, and serves in any case."""

    def __init__(self, name: str) -> None:
        self.name, self.state = name, New.ASKING
        self.linked = True

    def begin(self) -> list[Step]:
        """The other process was found."""
        return [Say(HELLO, {"name": self.name})]

    def heard(self, message: Message) -> list[Step]:
        """A message of the one that ran before."""
        if message.kind == WELCOME and self.state == New.ASKING:
            self.state = New.BUILDING
            return [Build(message.says)]
        if message.kind == OVER and self.state == New.WAITING:
            self.state = New.SERVING
            return [Serve(message.says["learned"])]
        if message.kind == STILL and self.state == New.SERVING:
            return [Share(message.says["out"], message.says["held"])]
        if message.kind == CALL and self.state != New.ASKING:
            return [Apply(message.says["word"], message.says["server"])]
        return self.lost()

    def built(self) -> list[Step]:
        """The node could serve now."""
        if self.linked:
            self.state = New.WAITING
            return [Say(READY)]
        self.state = New.SERVING
        return [Serve(None)]

    def late(self) -> list[Step]:
        """The other process has not answered in time."""
        return self.lost() if self.state in (New.ASKING, New.WAITING) else []

    def lost(self) -> list[Step]:
        """The other process is gone, declines, or can't be understood: this one goes on without it."""
        if not self.linked:
            return []
        self.linked = False
        before = self.state
        if before == New.ASKING:
            self.state = New.BUILDING
            return [Part(), Build(None)]
        if before == New.WAITING:
            self.state = New.SERVING
            return [Part(), Serve(None)]
        return [Part()]

    def shares(self) -> bool:
        """Whether operators' calls hold in another process too."""
        return self.linked and self.state != New.ASKING
