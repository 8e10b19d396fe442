"""The list of servers that a configuration itself holds."""

from __future__ import annotations

from oakbridge.node.listing import Entry, Listener, Listing

_INDEX = 1  # of the only version


class InlineSource:
    """A list that never changes."""

    def __init__(self, entries: list[Entry]) -> None:
        """``entries`` is the whole list."""
        self._entries = entries

    def tell(self, listener: Listener) -> None:
        """Notify the node of the whole list."""
        listener.listed(Listing(_INDEX, True, self._entries))

    def start(self) -> None:
        """Do nothing: the list never changes."""

    def watch(self, on: bool) -> None:
        """Do nothing: the list never changes."""

    def fetch(self) -> None:
        """Do nothing: the list never changes."""

    def stop(self) -> None:
        """Do nothing: the list never changes."""
