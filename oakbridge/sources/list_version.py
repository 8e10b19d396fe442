"""Versions of a complete, valid endpoint list, and the changes from one to the next."""

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
    """A complete, valid endpoint list; ``digest`` identifies the bytes of all its files."""

    number: int
    digest: str
    servers: dict[str, ListedEndpoint]


@dataclass(frozen=True, slots=True)
class ListChange:
    """The changes of a new list against the version in use: names in the order of the file."""

    base_number: int  # number of the version that the list was compared with; 0: there was none
    digest: str
    servers: dict[str, ListedEndpoint]  # the complete new list
    added: tuple[str, ...] = ()
    updated: tuple[str, ...] = ()  # servers with the same address and another state, zone etc.
    moved: tuple[str, ...] = ()  # servers with another address: another process of the same name
    removed: tuple[str, ...] = ()
    lost_ready: int = 0  # number of servers that were ready and no longer are, or have moved
    base_ready: int = 0  # number of servers that were ready

    @property
    def lost_fraction(self) -> float:
        """Fraction of the ready servers that the new list loses, from 0 to 1."""
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
    """Return the changes of a valid list against ``base``, the version in use if there is one.

    A server that is new or has moved and states no start time counts as started at ``now_us``.
    This guards cold servers: a server that joins a running fleet has usually just started, and a
    warm server that is taken for a cold one only gets its share of requests a little later.
    Without ``base``, such servers count as warm.  Entries equal to those of ``base`` stay the same
    objects.  ``pause`` is called between batches of servers.
    """
    base_servers = base.servers if base is not None else {}
    new_server_started_at_us = now_us if base is not None else 0
    added, updated, moved = [], [], []
    servers: dict[str, ListedEndpoint] = {}
    for count, (name, listed) in enumerate(parsed.servers.items()):
        if count % BATCH_SIZE == 0:
            pause()
        before, entry = base_servers.get(name), listed
        if name not in parsed.with_start_time:
            entry = _with_start_time(entry, before, new_server_started_at_us)
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
    entry: ListedEndpoint, before: ListedEndpoint | None, new_server_started_at_us: int
) -> ListedEndpoint:
    if before is not None and before.address == entry.address:
        started_at_us = before.server.started_at
    else:
        started_at_us = new_server_started_at_us
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
    """Count the servers that were ready, and those of them not ready at their address any more."""
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
