"""Read ``sites.toml``, what operators know of their sites, whole or not at all.

Its keys are mapped here, and only here, to the program's own terms.
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
    """A site."""

    name: Name = Field(
        max_length=MAX_SITE_NAME,
        description="Its name: the zone of its servers and nodes.",
    )
    capacity: Number = Field(
        ge=0,
        description="Requests a second that its servers can do, of work 1.",
    )
    keep_free: Number = Field(0.1, ge=0, lt=1, description="Of it, that must stay free.")


class ClassDemandTable(Table):
    """A class of requests."""

    name: Name
    worth: Number = Field(ge=0, description="What an answer in time is worth.")
    work: Number = Field(1.0, gt=0, description="What one costs a server, against others.")


class SiteLoadTable(Table):
    """What comes in at a site."""

    site: Name
    class_name: Name = Field(alias="class")
    rate: Number = Field(ge=0, description="Requests a second.")


class SiteDistanceTable(Table):
    """How far two sites are from each other, both ways; 1 where it is not told."""

    a: Name
    b: Name
    cost: Number = Field(ge=0)


class SitesFile(Table):
    """The whole file."""

    version: int = Field(ge=1, description="Raised with each change.")
    sites: list[SiteCapacityTable] = Field(alias="site", min_length=1, max_length=MAX_SITES)
    classes: list[ClassDemandTable] = Field(alias="class", min_length=1, max_length=MAX_CLASSES)
    loads: list[SiteLoadTable] = Field(alias="load", min_length=1, max_length=MAX_LOADS)
    distances: list[SiteDistanceTable] = Field([], alias="distance", max_length=MAX_DISTANCES)


def load_topology(path: Path) -> Topology:
    """Read and check a file.  Raises ConfigFileError with every mistake."""
    data = read_bounded(path)
    file = parse_tables(data, str(path), SitesFile)
    lines = field_lines(data, FileKind.TOML)
    problems = [
        Problem(str(path), field, expected, nearest_line(lines, field))
        for field, expected in _mistakes(file)
    ]
    if problems:
        raise ConfigFileError(in_file_order(problems))
    return topology_of(file, hashlib.sha256(data).hexdigest()[:DIGEST_DIGITS])


def topology_of(file: SitesFile, digest: str) -> Topology:
    """Return a checked file in the program's terms."""
    return Topology(
        file.version,
        digest,
        tuple(SiteCapacity(s.name, s.capacity, s.keep_free) for s in file.sites),
        tuple(ClassDemand(c.name, c.worth, c.work) for c in file.classes),
        tuple(SiteLoad(load.site, load.class_name, load.rate) for load in file.loads),
        tuple(SiteDistance(d.a, d.b, d.cost) for d in file.distances),
    )


def _mistakes(file: SitesFile) -> Iterator[Mistake]:
    yield from _repeated("site", [(s.name,) for s in file.sites])
    yield from _repeated("class", [(c.name,) for c in file.classes])
    yield from _repeated("load", [(load.site, load.class_name) for load in file.loads])
    yield from _repeated("distance", [(min(d.a, d.b), max(d.a, d.b)) for d in file.distances])
    yield from _load_mistakes(file)
    yield from _distance_mistakes(file)
    if not any(s.capacity for s in file.sites):
        yield ("site", 0, "capacity"), "expected a site that can do anything"


def _repeated(table: str, keys: list[tuple[str, ...]]) -> Iterator[Mistake]:
    seen = set[tuple[str, ...]]()
    for n, key in enumerate(keys):
        if key in seen:
            yield (table, n), f"expected each {table} once, got {' and '.join(key)} again"
        seen.add(key)


def _load_mistakes(file: SitesFile) -> Iterator[Mistake]:
    sites, classes = {s.name for s in file.sites}, {c.name for c in file.classes}
    for n, load in enumerate(file.loads):
        if load.site not in sites:
            yield ("load", n, "site"), f"expected one of the sites, got {load.site!r}"
        if load.class_name not in classes:
            yield ("load", n, "class"), f"expected one of the classes, got {load.class_name!r}"


def _distance_mistakes(file: SitesFile) -> Iterator[Mistake]:
    sites = {s.name for s in file.sites}
    for n, distance in enumerate(file.distances):
        for key, site in (("a", distance.a), ("b", distance.b)):
            if site not in sites:
                yield ("distance", n, key), f"expected one of the sites, got {site!r}"
        if distance.a == distance.b:
            yield ("distance", n), "expected two sites"
