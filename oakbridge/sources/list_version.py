"""A complete, valid list of servers, and what a new one changes against the one in use."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from oakbridge.node.address import Address
from oakbridge.node.endpoint_list import ListedEndpoint
from oakbridge.policy.events import EndpointState
from oakbridge.sources.pacing import BATCH_SIZE, no_pause
from oakbridge.sources.server_row import ParsedServers


@dataclass(frozen=True, slots=True)
class ListVersion:
    """One complete, valid list; ``digest`` stands for all bytes of its files."""

    number: int
    digest: str
    servers: dict[str, ListedEndpoint]


@dataclass(frozen=True, slots=True)
class ListChange:
    """What a new list changes against the one in use, by name, in the order of the file."""

    base_number: int  # of the version that it was compared with; 0: there was none
    digest: str
    servers: dict[str, ListedEndpoint]  # the whole new list
    added: tuple[str, ...] = ()
    updated: tuple[str, ...] = ()  # still there, with other facts
    moved: tuple[str, ...] = ()  # still there, at another address: another process under the name
    removed: tuple[str, ...] = ()
    lost_ready: int = 0  # servers that were ready and are so no longer, or have moved
    base_ready: int = 0  # servers that were ready

    @property
    def lost_fraction(self) -> float:
        """The share of the ready servers that this change takes away."""
        return self.lost_ready / self.base_ready if self.base_ready else 0.0

    def delta_entries(self) -> list[ListedEndpoint]:
        """Return the entries to add or replace."""
        return [self.servers[name] for name in (*self.added, *self.updated, *self.moved)]


def compare(
    base: ListVersion | None,
    digest: str,
    parsed: ParsedServers,
    now_us: int,
    pause: Callable[[], None] = no_pause,
) -> ListChange:
    """Return what a valid list changes.  A newcomer without a start time counts as started now.

    Guards cold servers: one that joins a running fleet is new far more often than not, and one that
    is taken for new when it is not only gets its part a little later.  Entries that are equal stay
    the same objects.  ``pause`` is called between batches.
    """
    base_servers = base.servers if base is not None else {}
    newcomer_started_at_us = now_us if base is not None else 0
    added, updated, moved = [], [], []
    servers: dict[str, ListedEndpoint] = {}
    for count, (name, listed) in enumerate(parsed.servers.items()):
        if count % BATCH_SIZE == 0:
            pause()
        before, entry = base_servers.get(name), listed
        if name not in parsed.with_start_time:
            entry = _with_start_time(entry, before, newcomer_started_at_us)
        if before is None:
            added.append(name)
        elif before == entry:
            entry = before
        elif before.address == entry.address:
            updated.append(name)
        else:
            moved.append(name)
        servers[name] = entry
    ready = _count_ready(base_servers, servers, pause)
    return ListChange(
        base_number=base.number if base else 0,
        digest=digest,
        servers=servers,
        added=tuple(added),
        updated=tuple(updated),
        moved=tuple(moved),
        removed=tuple(name for name in base_servers if name not in servers),
        lost_ready=ready.lost,
        base_ready=ready.before,
    )


def _with_start_time(
    entry: ListedEndpoint, before: ListedEndpoint | None, newcomer_started_at_us: int
) -> ListedEndpoint:
    if before is not None and before.address == entry.address:
        started_at_us = before.server.started_at
    else:
        started_at_us = newcomer_started_at_us
    server = dataclasses.replace(entry.server, started_at=started_at_us)
    return ListedEndpoint(server, entry.address)


class _ReadyCounts(NamedTuple):
    lost: int
    before: int


def _is_ready_at(endpoint: ListedEndpoint, address: Address) -> bool:
    return endpoint.address == address and endpoint.server.state == EndpointState.UP


def _count_ready(
    base_servers: dict[str, ListedEndpoint],
    servers: dict[str, ListedEndpoint],
    pause: Callable[[], None],
) -> _ReadyCounts:
    """Return how many ready servers are no longer ready at their address, and how many were."""
    lost_ready = base_ready = 0
    for count, (name, before) in enumerate(base_servers.items()):
        if count % BATCH_SIZE == 0:
            pause()
        if before.server.state != EndpointState.UP:
            continue
        base_ready += 1
        after = servers.get(name)
        if after is None or not _is_ready_at(after, before.address):
            lost_ready += 1
    return _ReadyCounts(lost_ready, base_ready)
