"""The plan file of a run: the fleet, its load, its faults and its checks.

Fields of type Duration are microseconds after parsing.
"""

from __future__ import annotations

import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import Field, ValidationError, model_validator

from oakbridge.config.field_types import Duration, Name, Number, PositiveDuration, Table
from oakbridge.config.toml_file import parse_tables, read_bounded
from oakbridge.lab.compare import InvalidVariationError, apply_change

FAULT_KINDS = (
    "kill",
    "freeze",
    "restart",
    "starve",
    "cut",
    "lossy",
    "slow links",
    "reset",
    "servers down",
    "servers slow",
)
LINK_FAULTS = ("cut", "lossy", "slow links", "reset")
MAX_NODES = 390  # limited by the addresses of one run
MAX_SERVERS = 390  # limited by the ports of one run


class LabTable(Table):
    """Table ``[lab]``: the times of a run."""

    warm_up: PositiveDuration = Field(
        8_000_000, description="Time under load before the fault schedule starts; not checked."
    )
    lasts: PositiveDuration = Field(description="Duration of the fault schedule.")
    start_within: PositiveDuration = Field(
        1_000_000, description="Time over which the starts of the nodes are spread."
    )
    quick: Number = Field(
        0.1,
        gt=0,
        le=1,
        description="With --quick: fraction of the nodes, servers and load that is used.",
    )
    quick_lasts: PositiveDuration | None = Field(
        None, description="With --quick: duration of the schedule; `lasts` if absent."
    )


class SiteTable(Table):
    """Table ``[[site]]``: a site's nodes, servers and load."""

    name: Name
    nodes: int = Field(ge=0, le=MAX_NODES)
    servers: int = Field(ge=0, le=MAX_SERVERS)
    load: Number = Field(
        1.0, ge=0, description="Load of its clients, relative to other sites' values."
    )


class ServersTable(Table):
    """Table ``[servers]``: the properties of all stand-in servers."""

    workers: int = Field(4, ge=1, le=1000, description="Requests processed at once.")
    queue: int = Field(
        16,
        ge=0,
        le=10_000,
        description="Requests that wait; further ones are rejected unprocessed.",
    )
    connections: int = Field(256, ge=1, le=10_000)
    time: PositiveDuration = Field(
        20_000, description="Mean processing time of a request; exponentially distributed."
    )
    sizes: list[Annotated[float, Field(gt=0, le=100)]] = Field(
        [1.0], min_length=1, description="Speed factors, assigned to the servers in turn."
    )
    cold: Number = Field(
        0.2,
        gt=0,
        le=1,
        description="Fraction of its full speed that a restarted server begins with.",
    )
    cold_for: Duration = Field(
        5_000_000, description="Time from a restart until a server has its full speed."
    )


class ClassTable(Table):
    """Table ``[[class]]``: a priority class and its load."""

    name: Name
    aim: PositiveDuration
    deadline: PositiveDuration
    worth: Number = Field(1.0, ge=0)
    repeat: Literal["safe", "unsafe"] = "safe"
    rate: Number = Field(ge=0, description="Requests per second, of all sites together.")


class ClientsTable(Table):
    """Table ``[callers]``: the behaviour of clients."""

    repeats: int = Field(
        0, ge=0, le=10, description="Maximum retries of a rejected request, after its Retry-After."
    )
    spread: Number = Field(
        0.0, ge=0, le=3, description="Sigma of the lognormal distribution of the nodes' loads."
    )


class NetworkTable(Table):
    """Table ``[network]``: all links while no fault affects them."""

    delay: Duration = 0
    between_sites: Duration = Field(0, description="Additional delay between two sites.")
    loss: Number = Field(0.0, ge=0, lt=1, description="Fraction of lost datagrams.")


class FaultTable(Table):
    """Table ``[[fault]]``: one fault."""

    at: Duration = Field(description="Time since the start of the schedule.")
    kind: Literal[FAULT_KINDS]  # type: ignore[valid-type]
    lasts: PositiveDuration | None = Field(
        None, description="Time until the fault ends; to the end of the schedule if absent."
    )
    site: str | None = Field(None, description="Only hosts or links of this site are affected.")
    other: str | None = Field(
        None, description="Links: those to this site; to all other sites if absent."
    )
    one_way: bool = Field(False, description="Links: only the direction from `site`.")
    share: Number = Field(
        1.0, gt=0, le=1, description="Fraction of the nodes or servers; they are drawn by the seed."
    )
    spread: Duration = Field(0, description="Time over which the faults of different nodes start.")
    loss: Number = Field(0.4, ge=0, le=1, description="lossy: fraction of lost datagrams.")
    doubled: Number = Field(0.0, ge=0, le=1, description="lossy: fraction of duplicated datagrams.")
    delay: Duration = Field(
        200_000,
        description="slow links: added delay; lossy: maximum random delay (reorders).",
    )
    speed: Number = Field(0.1, gt=0, le=10, description="servers slow: speed factor.")

    @model_validator(mode="after")
    def _check_fault(self) -> FaultTable:
        if self.kind in LINK_FAULTS and self.site is None and (self.other or self.one_way):
            raise ValueError("site: expected one where `other` or `one_way` is given")
        if self.kind in ("freeze", "starve") and self.lasts is None:
            raise ValueError(f"lasts: expected a time where kind is {self.kind}")
        return self


class CheckTable(Table):
    """Table ``[[check]]``: an upper or a lower bound on a figure."""

    name: str
    most: Number | None = None
    least: Number | None = None

    @model_validator(mode="after")
    def _check_bounds(self) -> CheckTable:
        if (self.most is None) == (self.least is None):
            raise ValueError("expected exactly one of most and least")
        return self


class Plan(Table):
    """All tables of a plan file."""

    lab: LabTable
    sites: list[SiteTable] = Field(alias="site", min_length=1, max_length=50)
    servers: ServersTable = ServersTable()
    classes: list[ClassTable] = Field(alias="class", min_length=1, max_length=20)
    callers: ClientsTable = ClientsTable()
    network: NetworkTable = NetworkTable()
    faults: list[FaultTable] = Field([], alias="fault", max_length=1000)
    checks: list[CheckTable] = Field([], alias="check", max_length=100)
    settings: str = Field(
        "", description="Further text of each node's oakbridge.toml, used unchanged."
    )
    peers: bool = Field(True, description="Whether the nodes are members of one group.")
    peers_settings: str = Field(
        "", description="Further text of each node's [peers] table, used unchanged."
    )
    peers_period: PositiveDuration = Field(500_000, description="Each node's peers.period.")

    @model_validator(mode="after")
    def _check_plan(self) -> Plan:
        names = [site.name for site in self.sites]
        if len(set(names)) != len(names):
            raise ValueError("site: expected each name once")
        if (
            sum(site.nodes for site in self.sites) > MAX_NODES
            or sum(site.servers for site in self.sites) > MAX_SERVERS
        ):
            raise ValueError(
                f"site: expected at most {MAX_NODES} nodes and {MAX_SERVERS} servers in all"
            )
        if not sum(site.nodes for site in self.sites) or not sum(
            site.servers for site in self.sites
        ):
            raise ValueError("site: expected a node and a server at least")
        for number, fault in enumerate(self.faults, 1):
            for name in (fault.site, fault.other):
                if name is not None and name not in names:
                    raise ValueError(f"fault {number}: expected one of the sites, got {name!r}")
            if fault.at > self.lab.lasts:
                raise ValueError(f"fault {number}: at: expected a time before the course's end")
        known = {"one answer", "no effect twice", *FIGURES}
        for check in self.checks:
            if check.name not in known:
                raise ValueError(
                    f"check: expected one of {', '.join(sorted(known))}, got {check.name!r}"
                )
        return self


# The figures that [[check]] can bound, each with its unit and definition.
FIGURES = {
    "served": "fraction of the requests served within the latency objective",
    "worth served": "fraction of the priority weight served within the latency objective",
    "first learns": "s from a node's failure until the first running node has it as failed, the longest",
    "last learns": "s from a node's failure until all running nodes have it as failed, the longest",
    "views right": "s from the last fault or end of a fault until all nodes' views are correct",
    "healthy called failed": "verdicts of failure about nodes that were running and reachable",
    "changes": "changes of one member in one view to or from failed, the maximum per start or end of a fault",
    "idle": "fraction of the servers' time without any request",
    "uneven": "99th percentile of a server's load over its fair share, in windows of 10 s",
    "attempts": "executions per request",
    "kept": "priority weight served in time while a site is lost, over what full knowledge allows",
    "moved": "s until 95% of a lost site's load is served elsewhere or rejected, the longest",
    "carries": "s from a site's return until it has 0.9 of its usual load, the longest",
    "overload": "requests at the busiest server over its capacity, in windows of 5 s",
    "out of order": "fraction of rejections, while a site is lost, in whose second requests of less weight are served",
    "storm": "executions per due request, in the second where the ratio is highest",
    "over chance": "99th percentile of load over fair share in windows of 10 s, over that of random arrivals",
    "variation": "coefficient of variation of load over fair share in windows of 10 s",
    "idle while others wait": "fraction of the servers' time without a request while one waits at another server",
    "idle beyond chance": "longest s without a request at an available server, beyond that of random arrivals",
    "herd": "highest load of a server in the 2 s after an event, over that of random arrivals",
    "alike": "index of dispersion of the nodes' choices in the second after an event; 1: independent choices",
    "site changes": "changes of one site's state in one view, the maximum per start or end of a loss",
}


def load_plan(path: Path, changes: Sequence[tuple[str, Any]] = ()) -> Plan:
    """Read and check a plan file, after replacing the values at these dotted paths.

    Raises ConfigFileError, or InvalidVariationError for a change that does not fit.
    """
    data = read_bounded(path)
    plan = parse_tables(data, str(path), Plan)
    if not changes:
        return plan
    raw = tomllib.loads(data.decode("utf-8-sig"))
    try:
        for key, value in changes:
            apply_change(raw, key, value)
        return Plan.model_validate(raw)
    except ValidationError as error:
        first = error.errors()[0]
        where = ".".join(map(str, first["loc"]))
        raise InvalidVariationError(f"vary: {where}: {first['msg']}") from None


def scale_down(plan: Plan) -> Plan:
    """Return the plan of a --quick run: fewer hosts and requests, the same load per host."""
    fraction = plan.lab.quick
    sites = [
        site.model_copy(
            update={
                "nodes": max(2, round(site.nodes * fraction)) if site.nodes else 0,
                "servers": max(2, round(site.servers * fraction)) if site.servers else 0,
            }
        )
        for site in plan.sites
    ]
    classes = [table.model_copy(update={"rate": table.rate * fraction}) for table in plan.classes]
    lasts = plan.lab.quick_lasts or plan.lab.lasts
    faults = [fault for fault in plan.faults if fault.at < lasts]
    lab = plan.lab.model_copy(update={"lasts": lasts})
    return plan.model_copy(
        update={"sites": sites, "classes": classes, "lab": lab, "faults": faults}
    )
