"""The actions that the state machines of a hand-over return, for their process to carry out."""

from __future__ import annotations

from dataclasses import dataclass

from oakbridge.handover.messages import (
    EndpointListUpdate,
    Message,
    RelayedCommand,
    RemainingLoad,
    RequestIdUpdate,
    TakeOver,
    Welcome,
)


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to the node's other process."""

    message: Message


@dataclass(frozen=True, slots=True)
class SendWelcome:
    """Send a :class:`Welcome` with the node's state, and its listening sockets."""


@dataclass(frozen=True, slots=True)
class DrainToSuccessor:
    """Stop accepting, send the policy's state, and migrate idle client connections."""


@dataclass(frozen=True, slots=True)
class ResumeServing:
    """Accept connections again, because the successor has disconnected."""


@dataclass(frozen=True, slots=True)
class BuildNode:
    """Build the node from the predecessor's welcome; None: from this process's configuration."""

    welcome: Welcome | None


@dataclass(frozen=True, slots=True)
class StartServing:
    """Begin to serve with the predecessor's state; None: without state, as there is none."""

    take_over: TakeOver | None


@dataclass(frozen=True, slots=True)
class ReserveForPredecessor:
    """Reduce this process's limits by the load that the predecessor still has."""

    load: RemainingLoad


@dataclass(frozen=True, slots=True)
class ApplyCommand:
    """Carry out an operator's command that the other process received and responded to."""

    command: RelayedCommand


@dataclass(frozen=True, slots=True)
class ApplyEndpointList:
    """Use an endpoint list that the other process has read from discovery."""

    update: EndpointListUpdate


@dataclass(frozen=True, slots=True)
class ApplyRequestIds:
    """Use the ids of requests that the other process has sent."""

    update: RequestIdUpdate


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the connection to the other process."""


CommonAction = Send | ApplyCommand | ApplyEndpointList | ApplyRequestIds | Disconnect
PredecessorAction = CommonAction | SendWelcome | DrainToSuccessor | ResumeServing
SuccessorAction = CommonAction | BuildNode | StartServing | ReserveForPredecessor
