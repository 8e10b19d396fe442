"""What the state machines of a hand-over ask their process to do."""

from __future__ import annotations

from dataclasses import dataclass

from oakbridge.handover.messages import (
    EndpointListUpdate,
    Message,
    OperatorCommand,
    RemainingLoad,
    TakeOver,
    Welcome,
)


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to the other process."""

    message: Message


@dataclass(frozen=True, slots=True)
class SendWelcome:
    """Send the node as it is, with its listening sockets."""


@dataclass(frozen=True, slots=True)
class DrainToSuccessor:
    """Accept nothing more, send what the policy learned, and migrate idle client connections."""


@dataclass(frozen=True, slots=True)
class ResumeServing:
    """Accept again: the successor is gone, and this process is the node alone."""


@dataclass(frozen=True, slots=True)
class BuildNode:
    """Build the node as the predecessor has it, or from this process's own configuration (None)."""

    welcome: Welcome | None


@dataclass(frozen=True, slots=True)
class StartServing:
    """Serve from now on, with what the predecessor knew, or with nothing (None)."""

    predecessor: TakeOver | None


@dataclass(frozen=True, slots=True)
class ReserveForPredecessor:
    """Leave so much of the node's limits to the predecessor."""

    load: RemainingLoad


@dataclass(frozen=True, slots=True)
class ApplyCommand:
    """Carry out an operator's command that came in at the other process and was answered there."""

    command: OperatorCommand


@dataclass(frozen=True, slots=True)
class ApplyEndpointList:
    """Use a list that the other process has read."""

    update: EndpointListUpdate


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the connection to the other process."""


CommonAction = Send | ApplyCommand | ApplyEndpointList | Disconnect
PredecessorAction = CommonAction | SendWelcome | DrainToSuccessor | ResumeServing
SuccessorAction = CommonAction | BuildNode | StartServing | ReserveForPredecessor
