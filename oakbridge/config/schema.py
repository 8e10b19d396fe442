"""Define the tables of ``oakbridge.toml``.

The definitions check the file, and the reference page is made from them.  Names of fields are the
file's keys; :mod:`oakbridge.config.node_config` maps them to the code's terms.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, StringConstraints, model_validator

from oakbridge.config.field_types import Address, Duration, Name, Number, PositiveDuration, Table
from oakbridge.policy.settings import Idempotency

MAX_MEMBER_NAME_LENGTH = 64


class NodeTable(Table):
    """The node itself."""

    name: Name = Field("node", description="Its name, in logs and in `oakbridge status`.")
    listen: list[Address] = Field(
        [("127.0.0.1", 8080)], min_length=1, max_length=16, description="Where callers connect."
    )
    instances: int = Field(
        1,
        ge=1,
        le=100_000,
        description="How many nodes share these servers. "
        "Each keeps a subset of them; all together cover all.",
    )
    workers: int = Field(
        1,
        ge=1,
        le=64,
        description="Processes on its port. They divide its limits, and count as so many instances.",
    )
    zone: str = Field(
        "", max_length=200, description="Its zone; servers of the same one are preferred."
    )
    seed: int | None = Field(
        None, ge=0, description="For random choices; a new one at each start if absent."
    )


class InlineServer(Table):
    """One server, where the list is part of this file."""

    name: Name = Field(description="Its name, unlike any other's.")
    address: Address = Field(description="Where it listens.")
    weight: Number = Field(
        1.0, gt=0, le=1e6, description="Its part of the calls, against the others'."
    )
    zone: str = Field("", max_length=200, description="Its zone.")
    group: int = Field(
        0, description="Servers of one group drop each other's repeats (class: group = cell)."
    )


class ServersTable(Table):
    """The source of the servers: exactly one of `file`, `directory`, `discovery`, `inline`."""

    file: str | None = Field(None, min_length=1, description="A server file that is watched.")
    directory: str | None = Field(
        None,
        min_length=1,
        description="A directory whose .json and .toml files are one list; it is watched.",
    )
    discovery: Address | None = Field(None, description="A discovery service (GET /api/targets).")
    inline: list[InlineServer] = Field(
        [], description="The servers themselves; they change with a restart."
    )
    settle: PositiveDuration = Field(
        30_000,
        description="A file without a checksum line must read the same twice, so far apart.",
    )
    poll: PositiveDuration = Field(
        1_000_000, description="How often to look even if no change is told."
    )
    most_lost: Number = Field(
        0.5,
        ge=0,
        le=1,
        description="A version that takes a larger share of the ready servers away at once is held.",
    )
    saved: str | None = Field(
        None,
        min_length=1,
        description="Where a copy of the last good version is kept for the next start.",
    )

    @model_validator(mode="after")
    def _check_source(self) -> ServersTable:
        given = [key for key in ("file", "directory", "discovery", "inline") if getattr(self, key)]
        if len(given) != 1:
            got = " and ".join(given) or "none"
            raise ValueError(
                f"expected exactly one of file, directory, discovery and inline, got {got}"
            )
        _require_unique("inline: expected each name once", [server.name for server in self.inline])
        addresses = [f"{host}:{port}" for host, port in (server.address for server in self.inline)]
        _require_unique("inline: expected each address once", addresses)
        return self


class ClassTable(Table):
    """A class of requests, named by the header `X-Priority-Class`."""

    name: Name = Field(description="Its name.")
    aim: PositiveDuration = Field(
        description="An answer within this time is worth the whole; queues are ordered by it."
    )
    deadline: PositiveDuration = Field(
        description="The longest that a request may take, if its caller does not say less."
    )
    worth: Number = Field(
        1.0, ge=0, description="What an answer in time is worth, against other classes."
    )
    late_worth: Number = Field(
        0.0, ge=0, le=1, description="The share of it that a later answer keeps."
    )
    repeat: Literal["safe", "keyed", "unsafe"] = Field(
        "unsafe",
        description="`safe` may run twice; `keyed` may be sent again within its window and group; "
        "`unsafe` never.",
    )
    group: Literal["all", "zone", "cell"] = Field(
        "all", description="Keyed: which servers drop repeats."
    )
    repeat_window: Duration = Field(0, description="Keyed: for how long repeats are dropped.")

    @model_validator(mode="after")
    def _check_times(self) -> ClassTable:
        if self.aim > self.deadline:
            raise ValueError("aim: expected at most the deadline")
        if Idempotency(self.repeat) == Idempotency.IDEMPOTENT_WITH_KEY and not self.repeat_window:
            raise ValueError("repeat_window: expected a time above 0 where repeat is keyed")
        return self


class TenantTable(Table):
    """Whose requests these are, by the header `X-Tenant-Id`."""

    name: Name = Field(description="Its name.")
    quota_per_s: Number = Field(
        ge=0, description="Requests a second that are its share; more count less."
    )


class LimitsTable(Table):
    """Bounds of one node."""

    sockets: int = Field(1024, ge=128, le=1_048_576, description="Descriptors that it may hold.")
    open_requests: int = Field(
        20_000, ge=1, description="Requests that it holds; more are turned away."
    )
    attempts: int = Field(3, ge=1, le=20, description="Attempts of one request at most.")
    connect_timeout: PositiveDuration = Field(
        1_000_000, description="A connection that takes longer has failed."
    )
    connection_idle: PositiveDuration = Field(
        15_000_000, description="Servers close a connection at rest so long."
    )
    retry_after: Duration = Field(
        2_000_000, description="The longest advice to come back later; 0: none."
    )
    over_quota_worth: Number = Field(
        0.1,
        ge=0,
        le=1,
        description="What a request beyond its tenant's quota counts, against one within.",
    )


class RetryBudgetTable(Table):
    """How many retries each window allows: `ratio` x first attempts + `floor_per_s` x window."""

    ratio: Number = Field(0.2, ge=0, le=1, description="Retries as a share of first attempts.")
    floor_per_s: Number = Field(
        0.1, ge=0, le=1000, description="Retries a second that are always allowed."
    )
    window_s: int = Field(10, ge=1, le=600, description="Seconds that are looked back upon.")


class ColdStartTable(Table):
    """How a server that has just started is spared."""

    share: Number = Field(
        0.2, gt=0, le=1, description="What it can do at its start, of what it will do warm."
    )
    warm_up: Duration = Field(10_000_000, description="Until it is warm.")
    most: Number = Field(
        2.5, gt=0, description="More than this multiple of what it can do pushes it over."
    )
    within: PositiveDuration = Field(3_000_000, description="Over so long.")


class SipRoute(Table):
    """Which SIP requests are of which class; the first that fits counts."""

    klass: str = Field(alias="class", min_length=1, description="The class's name.")
    methods: list[Annotated[str, StringConstraints(pattern=r"^[A-Z]+$")]] = Field(
        [], description="Of these methods; all if empty."
    )
    user_prefix: str = Field("", description="To users whose name begins so.")


class SipTable(Table):
    """A second front, for SIP over UDP and TCP, on the same servers, limits and retry budget."""

    listen: Address = Field(description="Where phones send to.")
    server_port: int = Field(
        5060, ge=0, le=65535, description="The servers' port for SIP; 0: the listed one."
    )
    tcp: bool = Field(True, description="Whether phones may use TCP; servers are asked over UDP.")
    tenant_header: str = Field("", description="The header that names the tenant.")
    key_header: str = Field("", description="The header that names the routing key.")
    transactions: int = Field(20_000, ge=10, description="Transactions with phones at once.")
    transactions_each: int = Field(2_000, ge=1, description="Of them, from one address.")
    routes: list[SipRoute] = Field(
        alias="route",
        min_length=1,
        max_length=1000,
        description="Which requests are of which class.",
    )


class PeersTable(Table):
    """Membership: the other nodes, who of them is there, and what this node does with that.

    Off without this table.
    """

    listen: Address = Field(
        description="Where other members reach it: UDP, and TCP for full exchanges."
    )
    advertise: Address | None = Field(
        None, description="What it tells others, if they reach it elsewhere."
    )
    secret_file: str = Field(
        min_length=1, description="Holds the secret that all members share, 16 bytes at least."
    )
    seeds: list[Address] = Field(
        [], max_length=64, description="Members to join by, its own address may be among them."
    )
    seeds_file: str | None = Field(
        None,
        min_length=1,
        description="A server file whose entries are members to join by; it is watched.",
    )
    site: str = Field("", max_length=48, description="Its site; its zone if absent.")
    tier: str = Field("", max_length=48, description="Its tier: places are counted within one.")
    capacity: Number = Field(
        0, ge=0, description="What it can carry, in requests a second; 0: not told."
    )
    snapshot: str | None = Field(
        None,
        min_length=1,
        description="Where its life and the members are kept for the next start.",
    )
    most: int = Field(
        2000, ge=2, le=100_000, description="Members that it remembers, the gone included."
    )
    period: PositiveDuration = Field(500_000, description="It probes one member so often.")
    probe_timeout: PositiveDuration = Field(
        200_000, description="Without an answer for so long, others are asked to probe."
    )
    local_health: bool = Field(
        True,
        description="Whether it judges others more slowly while it is slow itself; off only to compare.",
    )

    @model_validator(mode="after")
    def _check_times(self) -> PeersTable:
        if self.probe_timeout * 2 > self.period:
            raise ValueError("probe_timeout: expected at most half of the period")
        return self


class SitesTable(Table):
    """The plan for the loss of a site: zones are sites.

    Off without this table; it needs `[peers]`.
    """

    plan: str | None = Field(
        None,
        min_length=1,
        description="Made by `oakbridge sites plan`; without it, by free capacity.",
    )
    step: PositiveDuration = Field(
        1_000_000, description="A step of a site's return, or drain, lasts so long at least."
    )


class SpreadTable(Table):
    """How this tier's nodes divide the servers among them.

    Off without this table; it needs `[peers]`.
    """

    rings: int = Field(
        4,
        ge=1,
        le=8,
        description="Rings on which each node has a part of the servers: more hold more connections.",
    )


class ControlTable(Table):
    """The local socket that `oakbridge status` asks; its owner alone may use it."""

    enabled: bool = Field(True, description="Whether there is one.")
    socket: str | None = Field(
        None,
        min_length=1,
        max_length=100,
        description="Its path; if absent, `oakbridge/NAME.sock` in the user's runtime directory.",
    )


class LogTable(Table):
    """The log, on standard error."""

    level: Literal["debug", "info", "warning", "error"] = Field(
        "info", description="The least that is told."
    )


class File(Table):
    """The whole file."""

    node: NodeTable = NodeTable()
    servers: ServersTable
    classes: list[ClassTable] = Field(alias="class", min_length=1, max_length=1000)
    tenants: list[TenantTable] = Field([], alias="tenant", max_length=100_000)
    limits: LimitsTable = LimitsTable()
    retry_budget: RetryBudgetTable = RetryBudgetTable()
    cold_start: ColdStartTable = ColdStartTable()
    sip: SipTable | None = None
    peers: PeersTable | None = None
    sites: SitesTable | None = None
    spread: SpreadTable | None = None
    control: ControlTable = ControlTable()
    log: LogTable = LogTable()

    @model_validator(mode="after")
    def _check_whole(self) -> File:
        _require_unique("class: expected each name once", [each.name for each in self.classes])
        _require_unique("tenant: expected each name once", [each.name for each in self.tenants])
        class_names = {each.name for each in self.classes}
        for number, route in enumerate(self.sip.routes if self.sip else [], 1):
            if route.klass not in class_names:
                raise ValueError(
                    f"sip.route {number}: class: expected one of the classes, got {route.klass!r}"
                )
        self._check_tables_together()
        return self

    def _check_tables_together(self) -> None:
        """Check what tables require of each other."""
        several_workers = self.node.workers > 1
        if self.peers is not None and len(self.node.name) > MAX_MEMBER_NAME_LENGTH:
            expected = f"expected at most {MAX_MEMBER_NAME_LENGTH} characters where there are peers"
            raise ValueError(f"node.name: {expected}")
        if self.sites is not None and (self.peers is None or several_workers or not self.node.zone):
            raise ValueError("sites: expected [peers], node.zone and node.workers = 1 beside it")
        if self.spread is not None and (self.peers is None or several_workers):
            raise ValueError("spread: expected [peers] and node.workers = 1 beside it")
        if self.sip is not None and several_workers:
            raise ValueError("sip: expected node.workers = 1, as datagrams can't be handed on")


def _require_unique(expected: str, values: list[str]) -> None:
    seen: set[str] = set()
    for value in values:
        if value in seen:
            raise ValueError(f"{expected}, got {value!r} again")
        seen.add(value)


def resolve_path(path: str, config_path: Path) -> Path:
    """Return a path that the file names; a relative one starts at the file's own directory."""
    return (config_path.parent / Path(path).expanduser()).absolute()
