"""What operators know of their sites: capacities, classes of requests, load and distances.

The names of these figures in ``sites.toml`` are mapped to the ones here by its reader,
``oakbridge.config.sites_file``.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SiteCapacity:
    """What a site's servers can do."""

    name: str  # the zone of its servers and nodes
    requests_per_s: float  # of work 1
    reserved_fraction: float = 0.1  # of it, that must stay free


@dataclass(frozen=True, slots=True)
class ClassDemand:
    """What a request of a class costs, and what it is worth."""

    name: str
    priority_weight: float  # of an answer in time
    work: float = 1.0  # of a server, against other classes


@dataclass(frozen=True, slots=True)
class SiteLoad:
    """The requests of one class that arrive at a site."""

    site: str
    class_name: str
    requests_per_s: float


@dataclass(frozen=True, slots=True)
class SiteDistance:
    """How far two sites are from each other, both ways; 1 where it is not told."""

    first: str
    second: str
    cost: float


@dataclass(frozen=True, slots=True)
class Topology:
    """All sites."""

    version: int  # raised with each change
    digest: str  # of the file that it was read from
    sites: tuple[SiteCapacity, ...]
    classes: tuple[ClassDemand, ...]
    loads: tuple[SiteLoad, ...]
    distances: tuple[SiteDistance, ...] = ()
