"""An index of items by a key that several items share.

A generic data structure: it is independent of servers and requests and makes no decisions.
"""

from collections.abc import Hashable
from typing import Any


class GroupIndex(dict[Any, dict[str, Any]]):
    """Groups of named items by key, in order of the first use of the keys; no group is empty."""

    def move(self, name: str, item: object, old: Hashable | None, new: Hashable | None) -> None:
        """Move an item from the old key's group to the new key's; None stands for no group."""
        if old == new:
            return
        if old is not None:
            del self[old][name]
            if not self[old]:
                del self[old]
        if new is not None:
            self.setdefault(new, {})[name] = item
