"""The hosts of a run: nodes and stand-in servers, with their names, numbers and sites."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from oakbridge.lab.plan import Plan, SiteTable


@dataclass(frozen=True, slots=True)
class Host:
    """A node or a stand-in server."""

    name: str
    site: str
    number: int


@dataclass(frozen=True, slots=True)
class Fleet:
    """All nodes and servers, each in the order of their numbers."""

    nodes: tuple[Host, ...]
    servers: tuple[Host, ...]


def build_fleet(plan: Plan) -> Fleet:
    """Assign host numbers; sites take turns, so that no site gets all low numbers."""
    return Fleet(
        nodes=_number_hosts(plan, "n", lambda site: site.nodes),
        servers=_number_hosts(plan, "s", lambda site: site.servers),
    )


def _number_hosts(
    plan: Plan, prefix: str, count_of: Callable[[SiteTable], int]
) -> tuple[Host, ...]:
    positions = sorted(
        (index / max(1, count_of(site)), order, site.name)
        for order, site in enumerate(plan.sites)
        for index in range(count_of(site))
    )
    return tuple(
        Host(f"{prefix}{number:03d}", site, number) for number, (_, _, site) in enumerate(positions)
    )
