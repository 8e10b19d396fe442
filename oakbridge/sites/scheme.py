"""``sites.toml`` (what operators know of their sites) and the plan made from it; each used whole or not at all."""

from __future__ import annotations

import hashlib
import itertools
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec
from pydantic import Field

from oakbridge.config.errors import ConfigFileError
from oakbridge.config.field_types import Name, Number, Table
from oakbridge.config.toml_file import in_file_order, parse_tables, read_bounded
from oakbridge.sources.atomic_file import write_atomically
from oakbridge.sources.decoding import FileKind
from oakbridge.sources.field_lines import field_lines, nearest_line
from oakbridge.sources.problem import Problem

MOST_SITES = 64
AT_ONCE = 2  # sites whose loss together is planned for
SLACK = 1e-6


class SiteRow(Table):
    """A site."""

    name: Name = Field(max_length=48, description="Its name: the zone of its servers and nodes.")
    capacity: Number = Field(ge=0, description="Requests a second that its servers can do, of work 1.")
    keep_free: Number = Field(0.1, ge=0, lt=1, description="Of it, that must stay free.")


class ClassRow(Table):
    """A class of requests."""

    name: Name
    worth: Number = Field(ge=0, description="What an answer in time is worth.")
    work: Number = Field(1.0, gt=0, description="What one costs a server, against others.")


class LoadRow(Table):
    """What comes in at a site."""

    site: Name
    klass: Name = Field(alias="class")
    rate: Number = Field(ge=0, description="Requests a second.")


class DistanceRow(Table):
    """How far two sites are from each other, both ways; 1 where it is not told."""

    a: Name
    b: Name
    cost: Number = Field(ge=0)


class SitesFile(Table):
    """The whole file."""

    version: int = Field(ge=1, description="Raised with each change.")
    sites: list[SiteRow] = Field(alias="site", min_length=1, max_length=MOST_SITES)
    classes: list[ClassRow] = Field(alias="class", min_length=1, max_length=100)
    loads: list[LoadRow] = Field(alias="load", min_length=1, max_length=10_000)
    distances: list[DistanceRow] = Field([], alias="distance", max_length=10_000)


class Scenario(msgspec.Struct, frozen=True):
    """What to do while these sites are lost."""

    lost: tuple[str, ...]
    shares: dict[str, dict[str, float]]  # of what comes in at a site, by the site that serves it; sums to 1
    refused: dict[str, float]  # part of each class, all sites together
    used: dict[str, float]  # of each site's capacity
    worth: float  # kept, a second
    offered: float


class Plan(msgspec.Struct, frozen=True):
    """All scenarios."""

    version: int
    source: str  # digest of the sites.toml that it was made from
    sites: dict[str, float]  # capacity of each
    classes: tuple[str, ...]
    scenarios: tuple[Scenario, ...]

    def scenario(self, lost: Iterable[str]) -> Scenario | None:
        """The one for exactly these sites; of sites that the plan does not know nothing is lost to it."""
        wanted = tuple(sorted(set(lost) & self.sites.keys()))
        return next((s for s in self.scenarios if s.lost == wanted), None)


def load_sites(path: Path) -> tuple[SitesFile, str]:
    """The file and its digest.  Raises ConfigFileError with every mistake."""
    data = read_bounded(path)
    file = parse_tables(data, str(path), SitesFile)
    lines = field_lines(data, FileKind.TOML)
    found = [Problem(str(path), at, text, nearest_line(lines, at)) for at, text in _mistakes(file)]
    if found:
        raise ConfigFileError(in_file_order(found))
    return file, hashlib.sha256(data).hexdigest()[:16]


def _mistakes(file: SitesFile) -> Iterator[tuple[tuple[str | int, ...], str]]:
    sites, classes = {s.name for s in file.sites}, {c.name for c in file.classes}
    keys: tuple[tuple[str, list[tuple[str, ...]]], ...] = (
        ("site", [(s.name,) for s in file.sites]),
        ("class", [(c.name,) for c in file.classes]),
        ("load", [(x.site, x.klass) for x in file.loads]),
        ("distance", [(min(d.a, d.b), max(d.a, d.b)) for d in file.distances]),
    )
    for table, names in keys:
        for n, name in enumerate(names):
            if name in names[:n]:
                yield (table, n), f"expected each {table} once, got {' and '.join(name)} again"
    for n, row in enumerate(file.loads):
        if row.site not in sites:
            yield ("load", n, "site"), f"expected one of the sites, got {row.site!r}"
        if row.klass not in classes:
            yield ("load", n, "class"), f"expected one of the classes, got {row.klass!r}"
    for n, way in enumerate(file.distances):
        for key in ("a", "b"):
            if getattr(way, key) not in sites:
                yield ("distance", n, key), f"expected one of the sites, got {getattr(way, key)!r}"
        if way.a == way.b:
            yield ("distance", n), "expected two sites"
    if not any(s.capacity for s in file.sites):
        yield ("site", 0, "capacity"), "expected a site that can do anything"


def losses(sites: Iterable[str], at_once: int = AT_ONCE) -> list[tuple[str, ...]]:
    """What is planned for: nothing lost, each site, each pair; never all."""
    names = sorted(sites)
    return [
        lost for n in range(min(at_once, len(names) - 1) + 1) for lost in itertools.combinations(names, n)
    ]  # fmt: skip


def check_plan(plan: Plan, file: SitesFile | None = None, digest: str = "") -> list[str]:
    """What is wrong with a plan, as a whole: with itself, and against the file that it should come from."""
    wrong = []
    if file is not None and (plan.version, plan.source) != (file.version, digest):
        wrong.append(f"version: made from version {plan.version}, expected {file.version} with this content")
    wanted = losses(plan.sites)
    if sorted(s.lost for s in plan.scenarios) != sorted(wanted):
        wrong.append(f"scenarios: expected one for each of {len(wanted)} losses, got {len(plan.scenarios)}")
    for scenario in plan.scenarios:
        where = f"scenario {' and '.join(scenario.lost) or 'nothing lost'}"
        for name, shares in scenario.shares.items():
            bad = [s for s in shares if s not in plan.sites or s in scenario.lost]
            if bad:
                wrong.append(
                    f"{where}: shares of {name}: expected sites that are there, got {', '.join(bad)}"
                )
            total = sum(shares.values())
            if any(not 0 <= x <= 1 + SLACK for x in shares.values()) or abs(total - 1) > 1e-3:
                wrong.append(f"{where}: shares of {name}: expected parts of 1, got {total:.4f} in all")
        if any(not 0 <= x <= 1 + SLACK for x in scenario.refused.values()):
            wrong.append(f"{where}: refused: expected parts from 0 to 1")
        if set(scenario.refused) - set(plan.classes):
            wrong.append(f"{where}: refused: expected classes of the plan")
        if any(x > 1 + SLACK for x in scenario.used.values()):
            wrong.append(f"{where}: used: expected at most the whole of each site")
    return wrong


def load_plan(path: Path) -> Plan:
    """Read and check a plan.  Raises ConfigFileError with every mistake."""
    try:
        plan = msgspec.json.decode(read_bounded(path), type=Plan)
    except msgspec.DecodeError as e:
        raise ConfigFileError(
            [Problem(str(path), (), f"expected a plan made by `oakbridge sites plan`: {e}")]
        ) from None
    if wrong := check_plan(plan):
        raise ConfigFileError([Problem(str(path), (), text) for text in wrong])
    return plan


def save_plan(path: Path, plan: Plan) -> None:
    """Write it whole.  Raises OSError."""
    write_atomically(path, msgspec.json.format(msgspec.json.encode(plan), indent=1) + b"\n")
