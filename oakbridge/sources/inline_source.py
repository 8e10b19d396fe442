"""The list of servers that a configuration itself holds."""

from __future__ import annotations

from oakbridge.node.endpoint_list import EndpointList, ListedEndpoint
from oakbridge.node.endpoint_source import EndpointListener

_INDEX = 1  # of the only version


class InlineSource:
    """A list that never changes."""

    def __init__(self, entries: list[ListedEndpoint]) -> None:
        """``entries`` is the whole list."""
        self._entries = entries

    def attach(self, listener: EndpointListener) -> None:
        """Notify the node of the whole list."""
        listener.on_endpoint_list(EndpointList(_INDEX, True, self._entries))

    def start(self) -> None:
        """Do nothing: the list never changes."""

    def watch(self, on: bool) -> None:
        """Do nothing: the list never changes."""

    def fetch(self) -> None:
        """Do nothing: the list never changes."""

    def stop(self) -> None:
        """Do nothing: the list never changes."""
