"""What the proxy asks the front to do, in order."""

from __future__ import annotations

from dataclasses import dataclass

from oakbridge.policy.events import Event
from oakbridge.sip.peer import Peer


@dataclass(frozen=True, slots=True)
class Transmit:
    """Send these bytes."""

    peer: Peer
    data: bytes


@dataclass(frozen=True, slots=True)
class PostEvent:
    """Hand an event to the balancer."""

    event: Event


ProxyAction = Transmit | PostEvent


class Outbox:
    """Collects actions until the proxy returns them."""

    def __init__(self) -> None:
        self._actions: list[ProxyAction] = []

    def transmit(self, peer: Peer, data: bytes) -> None:
        """Add bytes to send."""
        self._actions.append(Transmit(peer, data))

    def post(self, event: Event) -> None:
        """Add an event for the balancer."""
        self._actions.append(PostEvent(event))

    def take(self) -> list[ProxyAction]:
        """Return the actions collected so far, and forget them."""
        actions, self._actions = self._actions, []
        return actions
