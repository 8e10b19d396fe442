"""Read ``sites.toml``, in which operators describe the topology of their sites.

A file with any problem is rejected as a whole.  Only this module maps the file's keys to the names
in the code.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from pathlib import Path

from pydantic import Field

from oakbridge.config.errors import ConfigFileError
from oakbridge.config.field_types import Name, Number, Table
from oakbridge.config.toml_file import in_file_order, parse_tables, read_bounded
from oakbridge.sites.topology import ClassDemand, SiteCapacity, SiteDistance, SiteLoad, Topology
from oakbridge.sources.decoding import FileKind
from oakbridge.sources.field_lines import field_lines, nearest_line
from oakbridge.sources.problem import Problem

MAX_SITES = 64
MAX_SITE_NAME = 48
MAX_CLASSES = 100
MAX_LOADS = 10_000
MAX_DISTANCES = 10_000
DIGEST_DIGITS = 16

FieldPath = tuple[str | int, ...]
Mistake = tuple[FieldPath, str]


class SiteCapacityTable(Table):
    """A site and its capacity."""

    name: Name = Field(
        max_length=MAX_SITE_NAME,
        description="Name of the site, which is the zone of its servers and nodes.",
    )
    capacity: Number = Field(
        ge=0,
        description="Requests of work 1 that its servers can serve per second.",
    )
    keep_free: Number = Field(
        0.1, ge=0, lt=1, description="Fraction of the capacity that must stay free."
    )


class ClassDemandTable(Table):
    """A request class."""

    name: Name
    worth: Number = Field(ge=0, description="Worth of a response in time.")
    work: Number = Field(
        1.0, gt=0, description="Cost of a request to a server, relative to other classes."
    )


class SiteLoadTable(Table):
    """The rate of requests of one class that a site receives from clients."""

    site: Name
    class_name: Name = Field(alias="class")
    rate: Number = Field(ge=0, description="Requests per second.")


class SiteDistanceTable(Table):
    """The distance between two sites, in both directions; 1 for pairs without a table."""

    a: Name
    b: Name
    cost: Number = Field(ge=0)


class SitesFile(Table):
    """The whole file."""

    version: int = Field(ge=1, description="Number that is raised with each change of the file.")
    sites: list[SiteCapacityTable] = Field(alias="site", min_length=1, max_length=MAX_SITES)
    classes: list[ClassDemandTable] = Field(alias="class", min_length=1, max_length=MAX_CLASSES)
    loads: list[SiteLoadTable] = Field(alias="load", min_length=1, max_length=MAX_LOADS)
    distances: list[SiteDistanceTable] = Field([], alias="distance", max_length=MAX_DISTANCES)


def load_topology(path: Path) -> Topology:
    """Read and check a file.  Raises ConfigFileError with every problem."""
    data = read_bounded(path)
    file = parse_tables(data, str(path), SitesFile)
    lines = field_lines(data, FileKind.TOML)
    problems = [
        Problem(str(path), field, expected, nearest_line(lines, field))
        for field, expected in _find_mistakes(file)
    ]
    if problems:
        raise ConfigFileError(in_file_order(problems))
    return topology_of(file, hashlib.sha256(data).hexdigest()[:DIGEST_DIGITS])


def topology_of(file: SitesFile, digest: str) -> Topology:
    """Return the topology that a checked file describes."""
    return Topology(
        file.version,
        digest,
        tuple(SiteCapacity(site.name, site.capacity, site.keep_free) for site in file.sites),
        tuple(ClassDemand(demand.name, demand.worth, demand.work) for demand in file.classes),
        tuple(SiteLoad(load.site, load.class_name, load.rate) for load in file.loads),
        tuple(SiteDistance(pair.a, pair.b, pair.cost) for pair in file.distances),
    )


def _find_mistakes(file: SitesFile) -> Iterator[Mistake]:
    yield from _repeated_keys("site", [(site.name,) for site in file.sites])
    yield from _repeated_keys("class", [(demand.name,) for demand in file.classes])
    yield from _repeated_keys("load", [(load.site, load.class_name) for load in file.loads])
    yield from _repeated_keys(
        "distance", [(min(pair.a, pair.b), max(pair.a, pair.b)) for pair in file.distances]
    )
    yield from _load_mistakes(file)
    yield from _distance_mistakes(file)
    if not any(site.capacity for site in file.sites):
        yield ("site", 0, "capacity"), "expected a site that can do anything"


def _repeated_keys(table: str, keys: list[tuple[str, ...]]) -> Iterator[Mistake]:
    seen = set[tuple[str, ...]]()
    for index, key in enumerate(keys):
        if key in seen:
            yield (table, index), f"expected each {table} once, got {' and '.join(key)} again"
        seen.add(key)


def _load_mistakes(file: SitesFile) -> Iterator[Mistake]:
    sites, classes = (
        {site.name for site in file.sites},
        {demand.name for demand in file.classes},
    )
    for index, load in enumerate(file.loads):
        if load.site not in sites:
            yield ("load", index, "site"), f"expected one of the sites, got {load.site!r}"
        if load.class_name not in classes:
            yield ("load", index, "class"), f"expected one of the classes, got {load.class_name!r}"


def _distance_mistakes(file: SitesFile) -> Iterator[Mistake]:
    sites = {site.name for site in file.sites}
    for index, distance in enumerate(file.distances):
        for key, site_name in (("a", distance.a), ("b", distance.b)):
            if site_name not in sites:
                yield ("distance", index, key), f"expected one of the sites, got {site_name!r}"
        if distance.a == distance.b:
            yield ("distance", index), "expected two sites"
