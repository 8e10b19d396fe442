"""What a node tells an observer of its work, where it has one."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from oakbridge.policy.actions import Action
from oakbridge.policy.events import Event


class NodeObserver(Protocol):
    """Is called by a node as it works.  It may not change anything, and must be quick: it runs in the loop."""

    def on_event(self, now: int, event: Event) -> None:
        """See an event that is about to be handed to the balancer, at a time in microseconds."""

    def on_actions(self, now: int, actions: Sequence[Action]) -> None:
        """See the actions that the balancer returned; none was carried out yet."""

    def on_connection_opened(self) -> None:
        """See that a connection to a server is about to be dialled."""

    def on_connection_refused(self) -> None:
        """See that a server, or the way to it, refused a connection."""

    def on_poll(self, *, complete_list: bool) -> None:
        """Discovery is about to be polled, for the whole list or for what changed."""

    def on_endpoint_list(self, entry_count: int) -> None:
        """Discovery answered a poll with so many entries."""
