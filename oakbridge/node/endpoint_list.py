"""The servers that may be sent to, as a list from any source has them."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from oakbridge.node.address import Address
from oakbridge.policy.events import Endpoint, EndpointState

BATCH_SIZE = 500  # servers of a list that are applied in one turn of the loop: 1 to 2 ms
NO_ADDRESS: Address = ("0.0.0.0", 0)


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One server as listed, and where it listens."""

    server: Endpoint
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A version of the list, or what changed up to it."""

    version: int
    complete: bool
    endpoints: list[ListedEndpoint]
    # How old the list before was when this one came, in microseconds: what is new here happened
    # since.  None: what is new here may be old.
    staleness: int | None = None

    def apply_to(self, known: dict[str, ListedEndpoint]) -> None:
        """Bring what is known, by name, up to this version."""
        if self.complete:
            known.clear()
        for endpoint in self.endpoints:
            if endpoint.server.state == EndpointState.REMOVED:
                known.pop(endpoint.server.id, None)
            else:
                known[endpoint.server.id] = endpoint


def split_into_batches(new: EndpointList, known: Collection[str]) -> list[EndpointList]:
    """Split a long list into changes that are applied one after another, so that none holds the loop up.

    A short list stays as it is.  ``known``: the names of all servers that are listed so far.  What
    is gone or drains comes first, as nothing may be sent there a quarter of a second later, however
    many others there are to apply.
    """
    named = {endpoint.server.id: endpoint for endpoint in new.endpoints}
    if len(named) <= BATCH_SIZE and (not new.complete or len(known) <= BATCH_SIZE):
        return [new]
    gone: list[ListedEndpoint] = []
    if new.complete:
        missing = [name for name in known if name not in named]
        gone = [
            ListedEndpoint(Endpoint(name, EndpointState.REMOVED), NO_ADDRESS) for name in missing
        ]
    leaving = [endpoint for endpoint in named.values() if endpoint.server.state != EndpointState.UP]
    usable = [endpoint for endpoint in named.values() if endpoint.server.state == EndpointState.UP]
    changes = gone + leaving + usable
    return [
        EndpointList(new.version, False, changes[start : start + BATCH_SIZE])
        for start in range(0, len(changes), BATCH_SIZE)
    ]
