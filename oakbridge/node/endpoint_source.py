"""Where a node's endpoint list comes from, and who listens to it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from oakbridge.node.endpoint_list import EndpointList, ListedEndpoint


class EndpointListener(Protocol):
    """Is called with endpoint lists: the node."""

    def prepare(self, endpoints: Iterable[ListedEndpoint]) -> None:
        """Make ready for servers that the next list may name; nothing is sent to them yet."""

    def on_endpoint_list(self, new: EndpointList, *, saved: bool = False) -> None:
        """Apply a list from now on; ``saved``: it was kept from an earlier process, and may be old."""


class EndpointSource(Protocol):
    """Calls a listener with endpoint lists."""

    def attach(self, listener: EndpointListener) -> None:
        """Name the listener, once and before the start; call it with a list that is known already."""

    def start(self) -> None:
        """Begin to call the listener."""

    def watch(self, on: bool) -> None:
        """Begin to watch for changes, or stop, where the balancer has to poll."""

    def fetch(self) -> None:
        """Call the listener with the complete list once."""

    def stop(self) -> None:
        """Call the listener no more."""
