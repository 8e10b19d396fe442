"""Interfaces between a source of endpoint lists and the node that receives them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from oakbridge.node.endpoint_list import EndpointList, ListedEndpoint


class EndpointListener(Protocol):
    """Receives endpoint lists; the node implements it."""

    def prepare(self, endpoints: Iterable[ListedEndpoint]) -> None:
        """Prepare for servers that the next list may name; nothing is sent to them yet."""

    def on_endpoint_list(self, new: EndpointList, *, saved: bool = False) -> None:
        """Apply a list; ``saved``: an earlier process saved it, so it may be outdated."""


class EndpointSource(Protocol):
    """Passes endpoint lists to a listener."""

    def attach(self, listener: EndpointListener) -> None:
        """Set the listener, once and before the start; pass it a list that is known already."""

    def start(self) -> None:
        """Start to pass lists to the listener."""

    def watch(self, on: bool) -> None:
        """Start or stop to watch for changes, where the balancer controls polling."""

    def fetch(self) -> None:
        """Pass the complete list to the listener once."""

    def stop(self) -> None:
        """Pass no more lists to the listener."""
