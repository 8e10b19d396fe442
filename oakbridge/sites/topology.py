"""The topology of sites as operators give it: capacities, classes, loads and distances.

``oakbridge.config.sites_file`` reads it from ``sites.toml`` and maps that file's keys to the names
here.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SiteCapacity:
    """The capacity of a site's servers."""

    name: str  # the zone of the site's servers and nodes
    requests_per_s: float  # requests of work 1
    reserved_fraction: float = 0.1  # fraction of the capacity that must stay free


@dataclass(frozen=True, slots=True)
class ClassDemand:
    """The priority weight and the work of a class's requests."""

    name: str
    priority_weight: float  # of a response in time
    work: float = 1.0  # of a server for one request, relative to other classes


@dataclass(frozen=True, slots=True)
class SiteLoad:
    """The requests of one class that arrive at a site."""

    site: str
    class_name: str
    requests_per_s: float


@dataclass(frozen=True, slots=True)
class SiteDistance:
    """The distance between two sites, the same both ways; 1 if not given."""

    first: str
    second: str
    cost: float


@dataclass(frozen=True, slots=True)
class Topology:
    """All sites, their classes, loads and distances."""

    version: int  # raised with each change of the file
    digest: str  # of the file
    sites: tuple[SiteCapacity, ...]
    classes: tuple[ClassDemand, ...]
    loads: tuple[SiteLoad, ...]
    distances: tuple[SiteDistance, ...] = ()
