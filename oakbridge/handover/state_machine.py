"""Both sides of a hand-over as state machines: what came in, what is to be done.  Pure.

The old process goes on as if nothing were until the new one says that it can serve: so a new one that fails before
that changes nothing.  From then on the new one accepts, and the old one ends what it has.  The new one waits for the
old one at each step for a bounded time, and goes on without it: it ends for nothing that the old one does or leaves.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from oakbridge.handover.messages import CALL, DECLINE, HELLO, OVER, READY, STILL, WELCOME, Message


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message; an offer and an end are filled in by who has the state."""

    kind: str
    says: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class DrainToSuccessor:
    """Accept nothing more, say so with what was learned, and send callers' connections along as they rest."""


@dataclass(frozen=True, slots=True)
class ResumeServing:
    """Be the node alone again."""


@dataclass(frozen=True, slots=True)
class BuildNode:
    """Make the node, from what the other process said or from nothing."""

    welcome: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class StartServing:
    """StartServing from now on, with what the other process learned or nothing."""

    learned: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class ApplyCommand:
    """Carry out an operator's call that came in at the other process."""

    word: str
    server: str


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Have nothing more to do with the other process."""


@dataclass(frozen=True, slots=True)
class ReserveForPredecessor:
    """Leave to the other process what it still has: calls out, and descriptors."""

    out: int
    held: int


Action = (
    ReserveForPredecessor
    | Send
    | DrainToSuccessor
    | ResumeServing
    | BuildNode
    | StartServing
    | ApplyCommand
    | Disconnect
)


class PredecessorState(Enum):
    """Where the process that runs is."""

    SERVING = "serving"
    WELCOMED = "welcomed"
    DRAINING = "draining"


class PredecessorStateMachine:
    """The process that runs: it is asked, and hands over to one process at most."""

    def __init__(self, name: str) -> None:
        self.name, self.state = name, PredecessorState.SERVING
        self.shutting_down = False

    def receive(self, message: Message) -> list[Action]:
        """A message of the one that asks, or has taken over."""
        if message.kind == HELLO:
            return self._welcome_or_decline(message.says)
        if message.kind == READY and self.state == PredecessorState.WELCOMED:
            self.state = PredecessorState.DRAINING
            return [DrainToSuccessor()]
        if message.kind == CALL and self.state != PredecessorState.SERVING:
            return [ApplyCommand(message.says["word"], message.says["server"])]
        return [Send(DECLINE, {"why": f"{message.kind} is not expected now"}), *self.disconnected()]

    def _welcome_or_decline(self, says: dict[str, Any]) -> list[Action]:
        if says["name"] != self.name:
            return [Send(DECLINE, {"why": f"this is {self.name}"}), Disconnect()]
        if self.shutting_down or self.state != PredecessorState.SERVING:
            return [
                Send(DECLINE, {"why": "ends" if self.shutting_down else "another process takes over"}),
                Disconnect(),
            ]
        self.state = PredecessorState.WELCOMED
        return [Send(WELCOME)]

    def disconnected(self) -> list[Action]:
        """The other process has gone, or can't be understood."""
        before, self.state = self.state, PredecessorState.SERVING
        if before == PredecessorState.DRAINING and not self.shutting_down:
            return [Disconnect(), ResumeServing()]
        return [Disconnect()]

    def begin_shutdown(self) -> None:
        """This process ends; nothing is taken back any more."""
        self.shutting_down = True

    def relays_commands(self) -> bool:
        """Whether operators' calls hold in another process too."""
        return self.state != PredecessorState.SERVING


class SuccessorState(Enum):
    """Where the process that was started beside another one is."""

    CONNECTING = "connecting"
    BUILDING = "building"
    TAKING_OVER = "taking over"
    SERVING = "serving"


class SuccessorStateMachine:
    """The process that was started: it asks, and serves in any case."""

    def __init__(self, name: str) -> None:
        self.name, self.state = name, SuccessorState.CONNECTING
        self.is_connected = True

    def connected(self) -> list[Action]:
        """The other process was found."""
        return [Send(HELLO, {"name": self.name})]

    def receive(self, message: Message) -> list[Action]:
        """A message of the one that ran before."""
        if message.kind == WELCOME and self.state == SuccessorState.CONNECTING:
            self.state = SuccessorState.BUILDING
            return [BuildNode(message.says)]
        if message.kind == OVER and self.state == SuccessorState.TAKING_OVER:
            self.state = SuccessorState.SERVING
            return [StartServing(message.says["learned"])]
        if message.kind == STILL and self.state == SuccessorState.SERVING:
            return [ReserveForPredecessor(message.says["out"], message.says["held"])]
        if message.kind == CALL and self.state != SuccessorState.CONNECTING:
            return [ApplyCommand(message.says["word"], message.says["server"])]
        return self.disconnected()

    def node_built(self) -> list[Action]:
        """The node could serve now."""
        if self.is_connected:
            self.state = SuccessorState.TAKING_OVER
            return [Send(READY)]
        self.state = SuccessorState.SERVING
        return [StartServing(None)]

    def timed_out(self) -> list[Action]:
        """The other process has not answered in time."""
        return (
            self.disconnected()
            if self.state in (SuccessorState.CONNECTING, SuccessorState.TAKING_OVER)
            else []
        )

    def disconnected(self) -> list[Action]:
        """The other process is gone, declines, or can't be understood: this one goes on without it."""
        if not self.is_connected:
            return []
        self.is_connected = False
        before = self.state
        if before == SuccessorState.CONNECTING:
            self.state = SuccessorState.BUILDING
            return [Disconnect(), BuildNode(None)]
        if before == SuccessorState.TAKING_OVER:
            self.state = SuccessorState.SERVING
            return [Disconnect(), StartServing(None)]
        return [Disconnect()]

    def relays_commands(self) -> bool:
        """Whether operators' calls hold in another process too."""
        return self.is_connected and self.state != SuccessorState.CONNECTING
