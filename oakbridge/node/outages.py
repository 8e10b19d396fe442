"""Which servers operators hold out: applied between any list and the module, so that no list can undo it.

Pure: the caller tells the time and lists, and gets lists back.  An operator's word goes before discovery's: a server
that is held out is listed as draining, wherever it goes and whatever becomes of it, until one call puts it back.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from oakbridge.node.listing import Entry
from oakbridge.policy.events import EndpointState

HELD_MOST = 4096  # servers that are held out at once: each is kept, listed or not, until it is put back


@dataclass(slots=True)
class Outage:
    """One server that is held out, or was put back and may have been restarted since a time."""

    since: int
    back: int = 0  # when it was put back; 0: it is still out
    again: int = 0  # the start that is assumed for one put back, if no list has told of a newer one


class Outages:
    """The servers held out, and those put back of which no list has told yet that they were restarted."""

    def __init__(self) -> None:
        self._known: dict[str, Outage] = {}

    def out(self) -> list[str]:
        """The ids held out, in the order in which they went."""
        return [name for name, outage in self._known.items() if not outage.back]

    def holds(self, name: str) -> bool:
        """Whether operators hold this one out."""
        outage = self._known.get(name)
        return outage is not None and not outage.back

    def full(self) -> bool:
        """Whether no more can be held out."""
        return len(self._known) >= HELD_MOST

    def take_out(self, name: str, now: int) -> bool:
        """Hold a server out; False if it is out already: a second call changes nothing."""
        if self.holds(name):
            return False
        self._known[name] = Outage(now)
        return True

    def put_back(self, name: str, now: int) -> bool:
        """Hold it out no more, however often it was taken out; False if it was not out.

        It may have been restarted at any time since it was taken out.  Until a list says when, it counts as cold from
        now on: the latest start that is possible, as a server taken for warmer than it is would be pushed over.
        """
        outage = self._known.get(name)
        if outage is None or outage.back:
            return False
        outage.back, outage.again = now, now
        return True

    def apply(self, entry: Entry) -> Entry:
        """An entry as the module may see it."""
        outage = self._known.get(entry.server.id)
        if outage is None:
            return entry
        server = entry.server
        if not outage.back:
            if server.state == EndpointState.GONE:
                return entry
            return Entry(replace(server, state=EndpointState.DRAINING), entry.address)
        if server.started_at > outage.since or server.state == EndpointState.GONE:
            del self._known[server.id]  # the list tells of its restart itself, or of its end
            return entry
        return Entry(replace(server, started_at=outage.again), entry.address)

    def apply_all(self, entries: Iterable[Entry]) -> list[Entry]:
        """A list's entries as the module may see them."""
        if not self._known:
            return list(entries)
        return [self.apply(entry) for entry in entries]

    def forget_older(self, before: int) -> None:
        """Let go of what was put back before a time: a server is warm by then, restarted or not."""
        for name in [n for n, outage in self._known.items() if outage.back and outage.back < before]:
            del self._known[name]

    # ---- over an upgrade

    def saved(self) -> dict[str, list[int]]:
        """All of it as plain values, for the process that takes over."""
        return {name: [o.since, o.back, o.again] for name, o in self._known.items()}

    def restore(self, saved: dict[str, list[int]]) -> None:
        """Go on with what another process held."""
        self._known = {name: Outage(*values) for name, values in saved.items()}
