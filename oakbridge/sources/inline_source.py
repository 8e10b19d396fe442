"""The endpoint list that is part of a configuration."""

from __future__ import annotations

from oakbridge.node.endpoint_list import EndpointList, ListedEndpoint
from oakbridge.node.endpoint_source import EndpointListener

_VERSION = 1  # the list has one version


class InlineSource:
    """An endpoint source whose list never changes."""

    def __init__(self, entries: list[ListedEndpoint]) -> None:
        """``entries`` is the complete list."""
        self._entries = entries

    def attach(self, listener: EndpointListener) -> None:
        """Notify the listener of the complete list."""
        listener.on_endpoint_list(EndpointList(_VERSION, True, self._entries))

    def start(self) -> None:
        """Do nothing: the list never changes."""

    def watch(self, on: bool) -> None:
        """Do nothing: the list never changes."""

    def fetch(self) -> None:
        """Do nothing: the list never changes."""

    def stop(self) -> None:
        """Do nothing: the list never changes."""
