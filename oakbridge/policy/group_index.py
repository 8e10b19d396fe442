"""Items by a key that many of them share.

The structure knows nothing of servers and requests; it decides nothing.
"""

from collections.abc import Hashable
from typing import Any


class GroupIndex(dict[Any, dict[str, Any]]):
    """Groups of named items by key, in the order in which the keys came; an empty group is gone."""

    def move(self, name: str, item: object, old: Hashable | None, new: Hashable | None) -> None:
        """Move an item to another key; None: it was, or is, under none."""
        if old == new:
            return
        if old is not None:
            del self[old][name]
            if not self[old]:
                del self[old]
        if new is not None:
            self.setdefault(new, {})[name] = item
