"""Endpoint lists: the servers that requests may be sent to, in one form for all sources."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from oakbridge.node.address import Address
from oakbridge.policy.events import Endpoint, EndpointState

BATCH_SIZE = 500  # endpoints that are applied in one iteration of the event loop; takes 1 to 2 ms
NO_ADDRESS: Address = ("0.0.0.0", 0)


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """An endpoint of a list, and the address at which its server listens."""

    server: Endpoint
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A version of the list: all endpoints if ``complete``, else the changes up to this version."""

    version: int
    complete: bool
    endpoints: list[ListedEndpoint]
    # Age of the previous list when this one arrived, in microseconds: changes in this list are not
    # older than that.  None: their age is unknown.
    previous_age_us: int | None = None

    def apply_to(self, known: dict[str, ListedEndpoint]) -> None:
        """Update the known endpoints, by name, to this version."""
        if self.complete:
            known.clear()
        for endpoint in self.endpoints:
            if endpoint.server.state == EndpointState.REMOVED:
                known.pop(endpoint.server.id, None)
            else:
                known[endpoint.server.id] = endpoint


def split_into_batches(new: EndpointList, known: Collection[str]) -> list[EndpointList]:
    """Split a long list into batches of changes, so that no batch blocks the event loop for long.

    A short list stays as it is.  ``known``: the names of all servers that are listed so far.
    Removed and draining servers come first: 0.25 s later nothing may be sent to them, however long
    the list is.
    """
    by_name = {endpoint.server.id: endpoint for endpoint in new.endpoints}
    if len(by_name) <= BATCH_SIZE and (not new.complete or len(known) <= BATCH_SIZE):
        return [new]
    removed: list[ListedEndpoint] = []
    if new.complete:
        missing = [name for name in known if name not in by_name]
        removed = [
            ListedEndpoint(Endpoint(name, EndpointState.REMOVED), NO_ADDRESS) for name in missing
        ]
    not_usable = [
        endpoint for endpoint in by_name.values() if endpoint.server.state != EndpointState.UP
    ]
    usable = [
        endpoint for endpoint in by_name.values() if endpoint.server.state == EndpointState.UP
    ]
    changes = removed + not_usable + usable
    return [
        EndpointList(new.version, False, changes[start : start + BATCH_SIZE])
        for start in range(0, len(changes), BATCH_SIZE)
    ]
