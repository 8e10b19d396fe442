"""The interface through which a node reports its work to an observer, if it has one."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from oakbridge.policy.actions import Action
from oakbridge.policy.events import Event


class NodeObserver(Protocol):
    """Observes a node.  It must change nothing, and must be quick, as it runs in the event loop."""

    def on_event(self, now: int, event: Event) -> None:
        """Observe an event before it is passed to the balancer; ``now`` is in microseconds."""

    def on_actions(self, now: int, actions: Sequence[Action]) -> None:
        """Observe the actions that the balancer returned, before they are executed."""

    def on_connection_opened(self) -> None:
        """Observe a connection to a server before it is opened."""

    def on_connection_refused(self) -> None:
        """Observe a connection that a server refused, or that failed in the network."""

    def on_poll(self, *, complete_list: bool) -> None:
        """Observe a discovery request, for the complete list or for changes, before it is sent."""

    def on_endpoint_list(self, entry_count: int) -> None:
        """Observe a response of discovery with this number of entries."""
