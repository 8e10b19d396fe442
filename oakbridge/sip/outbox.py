"""The actions that the proxy has the front carry out, in order."""

from __future__ import annotations

from dataclasses import dataclass

from oakbridge.policy.events import Event
from oakbridge.sip.peer import Peer


@dataclass(frozen=True, slots=True)
class Transmit:
    """Send bytes to a peer."""

    peer: Peer
    data: bytes


@dataclass(frozen=True, slots=True)
class PostEvent:
    """Pass an event to the balancer."""

    event: Event


ProxyAction = Transmit | PostEvent


class Outbox:
    """Collects actions until the proxy returns them."""

    def __init__(self) -> None:
        self._actions: list[ProxyAction] = []

    def transmit(self, peer: Peer, data: bytes) -> None:
        """Add an action that sends bytes."""
        self._actions.append(Transmit(peer, data))

    def post(self, event: Event) -> None:
        """Add an action that passes an event to the balancer."""
        self._actions.append(PostEvent(event))

    def take(self) -> list[ProxyAction]:
        """Return the collected actions, and empty the outbox."""
        actions, self._actions = self._actions, []
        return actions
