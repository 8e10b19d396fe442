"""Both sides of a hand-over as state machines: messages and events in, actions out.  No I/O.

The predecessor serves unchanged until the successor is ready, so a successor that fails before then
has no effect.  From then on the successor accepts the clients' connections, and the predecessor
finishes the requests that it has.  At each step the successor waits for the predecessor for a
bounded time and then goes on without it, so no failure of the predecessor makes the successor exit.
"""

from __future__ import annotations

from enum import Enum

from oakbridge.handover.actions import (
    ApplyCommand,
    ApplyEndpointList,
    ApplyRequestIds,
    BuildNode,
    Disconnect,
    DrainToSuccessor,
    PredecessorAction,
    ReserveForPredecessor,
    ResumeServing,
    Send,
    SendWelcome,
    StartServing,
    SuccessorAction,
)
from oakbridge.handover.messages import (
    Decline,
    EndpointListUpdate,
    Hello,
    Message,
    Ready,
    RelayedCommand,
    RemainingLoad,
    RequestIdUpdate,
    TakeOver,
    Welcome,
    wire_kind,
)

# Reasons to decline a successor, as sent in a Decline message.
HAS_SUCCESSOR = "another process takes over"
SHUTTING_DOWN = "ends"


class PredecessorState(Enum):
    """The state of the running process."""

    SERVING = "serving"  # without a successor
    SUCCESSOR_STARTING = "successor starting"
    DRAINING = "draining"  # the successor serves


class PredecessorStateMachine:
    """The running process, which hands over to one successor at most."""

    def __init__(self, node_name: str) -> None:
        self.node_name = node_name
        self.state = PredecessorState.SERVING
        self.is_shutting_down = False
        self._successor_shares_lists = False
        self._successor_shares_request_ids = False

    def receive(self, message: Message) -> list[PredecessorAction]:
        """Handle a message from the successor, or from a process that asks to become it."""
        match message:
            case Hello():
                return self._welcome_or_decline(message)
            case Ready() if self.state is PredecessorState.SUCCESSOR_STARTING:
                self.state = PredecessorState.DRAINING
                return [DrainToSuccessor()]
            case RelayedCommand() if self.relays_commands:
                return [ApplyCommand(message)]
            case EndpointListUpdate() if self.relays_lists:
                return [ApplyEndpointList(message)]
            case RequestIdUpdate() if self.relays_request_ids:
                return [ApplyRequestIds(message)]
            case _:
                reason = f"{wire_kind(message)} is not expected now"
                return [Send(Decline(reason)), *self.disconnected()]

    def _welcome_or_decline(self, hello: Hello) -> list[PredecessorAction]:
        reason = self._reason_to_decline(hello)
        if reason is not None:
            return [Send(Decline(reason)), Disconnect()]
        self.state = PredecessorState.SUCCESSOR_STARTING
        self._successor_shares_lists = bool(hello.shares_lists)
        self._successor_shares_request_ids = bool(hello.shares_request_ids)
        return [SendWelcome()]

    def _reason_to_decline(self, hello: Hello) -> str | None:
        if hello.node_name != self.node_name:
            return f"this is {self.node_name}"
        if self.is_shutting_down:
            return SHUTTING_DOWN
        if self.state is not PredecessorState.SERVING:
            return HAS_SUCCESSOR
        return None

    def disconnected(self) -> list[PredecessorAction]:
        """Handle that the successor has disconnected, or has sent an unexpected message."""
        was_draining = self.state is PredecessorState.DRAINING
        self.state = PredecessorState.SERVING
        if was_draining and not self.is_shutting_down:
            return [Disconnect(), ResumeServing()]
        return [Disconnect()]

    def begin_shutdown(self) -> None:
        """Handle that this process shuts down: it does not resume serving after a hand-over."""
        self.is_shutting_down = True

    @property
    def relays_commands(self) -> bool:
        """Whether operators' commands have to be carried out by the successor too."""
        return self.state is not PredecessorState.SERVING

    @property
    def relays_lists(self) -> bool:
        """Whether endpoint lists that one process reads have to be sent to the other."""
        return self.state is PredecessorState.DRAINING and self._successor_shares_lists

    @property
    def relays_request_ids(self) -> bool:
        """Whether the ids of requests have to be sent to the successor."""
        return self.state is PredecessorState.DRAINING and self._successor_shares_request_ids


class SuccessorState(Enum):
    """The state of a new process, with or without a predecessor."""

    CONNECTING = "connecting"  # until the predecessor's welcome
    BUILDING = "building"
    TAKING_OVER = "taking over"  # ready, until the predecessor has stopped accepting
    SERVING = "serving"


class SuccessorStateMachine:
    """A new process: it takes over from a predecessor if there is one, and serves in any case."""

    def __init__(self, node_name: str) -> None:
        self.node_name = node_name
        self.state = SuccessorState.CONNECTING
        self.has_predecessor = True  # assumed until there is none, or it disconnects
        self._predecessor_shares_lists = False
        self._predecessor_shares_request_ids = False

    def connected(self) -> list[SuccessorAction]:
        """Handle that a connection to the predecessor is open."""
        return [Send(Hello(self.node_name, shares_lists=True, shares_request_ids=True))]

    def receive(self, message: Message) -> list[SuccessorAction]:
        """Handle a message from the predecessor; disconnect if it is a Decline or unexpected."""
        match message:
            case Welcome() if self.state is SuccessorState.CONNECTING:
                self.state = SuccessorState.BUILDING
                self._predecessor_shares_lists = bool(message.shares_lists)
                self._predecessor_shares_request_ids = bool(message.shares_request_ids)
                return [BuildNode(message)]
            case TakeOver() if self.state is SuccessorState.TAKING_OVER:
                self.state = SuccessorState.SERVING
                return [StartServing(message)]
            case RemainingLoad() if self.state is SuccessorState.SERVING:
                return [ReserveForPredecessor(message)]
            case RelayedCommand() if self.state is not SuccessorState.CONNECTING:
                return [ApplyCommand(message)]
            case EndpointListUpdate() if self.relays_lists:
                return [ApplyEndpointList(message)]
            case RequestIdUpdate() if self.relays_request_ids:
                return [ApplyRequestIds(message)]
            case _:
                return self.disconnected()

    def node_built(self) -> list[SuccessorAction]:
        """Handle that the node is built and can serve."""
        if self.has_predecessor:
            self.state = SuccessorState.TAKING_OVER
            return [Send(Ready())]
        self.state = SuccessorState.SERVING
        return [StartServing(None)]

    def timed_out(self) -> list[SuccessorAction]:
        """Handle that the predecessor has not replied within the timeout."""
        if self.state in (SuccessorState.CONNECTING, SuccessorState.TAKING_OVER):
            return self.disconnected()
        return []

    def disconnected(self) -> list[SuccessorAction]:
        """Handle that there is no predecessor, or that the hand-over with it has failed."""
        if not self.has_predecessor:
            return []
        self.has_predecessor = False
        if self.state is SuccessorState.CONNECTING:
            self.state = SuccessorState.BUILDING
            return [Disconnect(), BuildNode(None)]
        if self.state is SuccessorState.TAKING_OVER:
            self.state = SuccessorState.SERVING
            return [Disconnect(), StartServing(None)]
        return [Disconnect()]

    @property
    def relays_commands(self) -> bool:
        """Whether operators' commands have to be carried out by the predecessor too."""
        return self.has_predecessor and self.state is not SuccessorState.CONNECTING

    @property
    def relays_lists(self) -> bool:
        """Whether endpoint lists that one process reads have to be sent to the other."""
        is_serving = self.state is SuccessorState.SERVING
        return is_serving and self.has_predecessor and self._predecessor_shares_lists

    @property
    def relays_request_ids(self) -> bool:
        """Whether the ids of requests have to be sent to the predecessor, and come from it."""
        is_taking_over = self.state in (SuccessorState.TAKING_OVER, SuccessorState.SERVING)
        return is_taking_over and self.has_predecessor and self._predecessor_shares_request_ids
