"""Define the tables of ``oakbridge.toml``.

These definitions check the file, and the reference page is made from their docstrings and
descriptions.  The fields' names are the file's keys; :mod:`oakbridge.config.node_config` maps them
to the names in the code.  Times are in microseconds.
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

    name: Name = Field("node", description="Name of the node, in logs and in `oakbridge status`.")
    listen: list[Address] = Field(
        [("127.0.0.1", 8080)],
        min_length=1,
        max_length=16,
        description="Addresses on which clients connect.",
    )
    instances: int = Field(
        1,
        ge=1,
        le=100_000,
        description="Number of nodes that share these servers. "
        "Each node uses a subset of the servers; together they use all.",
    )
    workers: int = Field(
        1,
        ge=1,
        le=64,
        description="Number of processes on the node's addresses. They divide its limits, and each "
        "counts as an instance.",
    )
    zone: str = Field(
        "", max_length=200, description="Zone of the node; servers in the same zone are preferred."
    )
    seed: int | None = Field(
        None, ge=0, description="Seed of random choices; if absent, each start uses a random one."
    )


class InlineServer(Table):
    """A server of an endpoint list that is part of this file."""

    name: Name = Field(description="Name of the server, which must be unique.")
    address: Address = Field(description="Address on which the server listens.")
    weight: Number = Field(
        1.0,
        gt=0,
        le=1e6,
        description="Weight of the server: its requests in proportion to those of other servers.",
    )
    zone: str = Field("", max_length=200, description="Zone of the server.")
    group: int = Field(
        0,
        description="Number of the server's group; its servers drop duplicates of each other's "
        "requests, for classes with the group `cell`.",
    )


class ServersTable(Table):
    """Source of the endpoint list: exactly one of `file`, `directory`, `discovery` and `inline`."""

    file: str | None = Field(
        None, min_length=1, description="Path of a server file, which is watched for changes."
    )
    directory: str | None = Field(
        None,
        min_length=1,
        description="Path of a directory whose `.json` and `.toml` files form one list; it is "
        "watched for changes.",
    )
    discovery: Address | None = Field(
        None, description="Address of a discovery service (GET /api/targets)."
    )
    inline: list[InlineServer] = Field(
        [], description="The servers themselves; a change needs a restart."
    )
    settle: PositiveDuration = Field(
        30_000,
        description="Time between two reads that must be equal before a file without a checksum "
        "line is used.",
    )
    poll: PositiveDuration = Field(
        1_000_000, description="Interval at which files are read even if no change is notified."
    )
    most_lost: Number = Field(
        0.5,
        ge=0,
        le=1,
        description="A version that loses a larger fraction of the ready servers at once is held "
        "until an operator accepts it.",
    )
    saved: str | None = Field(
        None,
        min_length=1,
        description="Path of the copy of the last valid version, which is saved for the next "
        "start.",
    )

    @model_validator(mode="after")
    def _check_source(self) -> ServersTable:
        given_sources = [
            key for key in ("file", "directory", "discovery", "inline") if getattr(self, key)
        ]
        if len(given_sources) != 1:
            got = " and ".join(given_sources) or "none"
            raise ValueError(
                f"expected exactly one of file, directory, discovery and inline, got {got}"
            )
        _require_unique("inline: expected each name once", [server.name for server in self.inline])
        addresses = [f"{host}:{port}" for host, port in (server.address for server in self.inline)]
        _require_unique("inline: expected each address once", addresses)
        return self


class ClassTable(Table):
    """A class of requests; the header `X-Priority-Class` names the class of a request."""

    name: Name = Field(description="Name of the class.")
    aim: PositiveDuration = Field(
        description="Latency objective: a response within this time earns the full worth. Queues "
        "are ordered by it."
    )
    deadline: PositiveDuration = Field(
        description="Time after which a request fails, unless its client sets a shorter timeout."
    )
    worth: Number = Field(
        1.0, ge=0, description="Worth of a response in time, relative to other classes."
    )
    late_worth: Number = Field(
        0.0, ge=0, le=1, description="Fraction of the worth that a later response earns."
    )
    repeat: Literal["safe", "keyed", "unsafe"] = Field(
        "unsafe",
        description="Whether a request that may have run can be retried: `safe` yes, `keyed` "
        "within its window and group, `unsafe` no.",
    )
    group: Literal["all", "zone", "cell"] = Field(
        "all", description="For `keyed`: the servers that drop duplicates of a request."
    )
    repeat_window: Duration = Field(0, description="For `keyed`: how long servers drop duplicates.")

    @model_validator(mode="after")
    def _check_times(self) -> ClassTable:
        if self.aim > self.deadline:
            raise ValueError("aim: expected at most the deadline")
        if Idempotency(self.repeat) == Idempotency.IDEMPOTENT_WITH_KEY and not self.repeat_window:
            raise ValueError("repeat_window: expected a time above 0 where repeat is keyed")
        return self


class TenantTable(Table):
    """A tenant; the header `X-Tenant-Id` names the tenant of a request."""

    name: Name = Field(description="Name of the tenant.")
    quota_per_s: Number = Field(
        ge=0,
        description="Quota of the tenant in requests per second; requests beyond it count less.",
    )


class LimitsTable(Table):
    """Limits of one node."""

    sockets: int = Field(
        1024, ge=128, le=1_048_576, description="File descriptors that the node may open."
    )
    open_requests: int = Field(
        20_000, ge=1, description="Open requests of the node; further ones are rejected."
    )
    attempts: int = Field(
        3, ge=1, le=20, description="Attempts of one request, including the first."
    )
    connect_timeout: PositiveDuration = Field(
        1_000_000, description="Time after which connecting to a server fails."
    )
    connection_idle: PositiveDuration = Field(
        15_000_000, description="Time after which servers close an idle connection."
    )
    retry_after: Duration = Field(
        2_000_000, description="Longest Retry-After in responses to clients; 0: none is sent."
    )
    over_quota_worth: Number = Field(
        0.1,
        ge=0,
        le=1,
        description="Factor on the worth of a request beyond its tenant's quota.",
    )


class RetryBudgetTable(Table):
    """Retries that each window allows: `ratio` x first attempts + `floor_per_s` x `window_s`."""

    ratio: Number = Field(0.2, ge=0, le=1, description="Retries per first attempt.")
    floor_per_s: Number = Field(
        0.1, ge=0, le=1000, description="Retries per second that are always allowed."
    )
    window_s: int = Field(10, ge=1, le=600, description="Length of the window in seconds.")


class ColdStartTable(Table):
    """Slow start: a server that has just started gets fewer requests."""

    share: Number = Field(
        0.2, gt=0, le=1, description="Fraction of its capacity that a server has at its start."
    )
    warm_up: Duration = Field(
        10_000_000, description="Time from its start until a server has its full capacity."
    )
    most: Number = Field(
        2.5,
        gt=0,
        description="Multiple of its current capacity at which a starting server is overloaded.",
    )
    within: PositiveDuration = Field(
        3_000_000,
        description="Time over which the load of a starting server is measured for `most`.",
    )


class SipRoute(Table):
    """A rule that assigns a class to SIP requests; the first matching rule applies."""

    class_name: str = Field(alias="class", min_length=1, description="Name of the class.")
    methods: list[Annotated[str, StringConstraints(pattern=r"^[A-Z]+$")]] = Field(
        [], description="Methods that match; all if empty."
    )
    user_prefix: str = Field(
        "", description="Prefix of the user in the request's URI that matches; any if empty."
    )


class SipTable(Table):
    """A front for SIP over UDP and TCP, with the same servers, limits and retry budget."""

    listen: Address = Field(description="Address to which phones send requests.")
    server_port: int = Field(
        5060,
        ge=0,
        le=65535,
        description="Port of the servers for SIP; 0: their port in the endpoint list.",
    )
    tcp: bool = Field(True, description="Whether phones may use TCP; requests to servers use UDP.")
    tenant_header: str = Field("", description="Header that names the tenant.")
    key_header: str = Field("", description="Header that names the routing key.")
    transactions: int = Field(20_000, ge=10, description="Limit of open transactions with phones.")
    transactions_each: int = Field(
        2_000, ge=1, description="Limit of open transactions with phones at one address."
    )
    routes: list[SipRoute] = Field(
        alias="route",
        min_length=1,
        max_length=1000,
        description="Rules that assign classes to requests.",
    )


class PeersTable(Table):
    """Membership in a cluster: the node knows the other nodes, and which of them are alive.

    Off without this table.
    """

    listen: Address = Field(
        description="Address on which other members reach the node: UDP, and TCP for full "
        "exchanges."
    )
    advertise: Address | None = Field(
        None,
        description="Address that the node gives to other members, if they reach it at another "
        "one.",
    )
    secret_file: str = Field(
        min_length=1,
        description="Path of the file with the secret of all members, of at least 16 bytes.",
    )
    seeds: list[Address] = Field(
        [],
        max_length=64,
        description="Addresses of members by which the node joins; its own may be among them.",
    )
    seeds_file: str | None = Field(
        None,
        min_length=1,
        description="Path of a server file with members by which the node joins; it is watched for "
        "changes.",
    )
    site: str = Field("", max_length=48, description="Site of the node; its zone if absent.")
    tier: str = Field(
        "", max_length=48, description="Tier of the node: replicas are numbered within a tier."
    )
    capacity: Number = Field(
        0, ge=0, description="Capacity of the node in requests per second; 0: not given."
    )
    snapshot: str | None = Field(
        None,
        min_length=1,
        description="Path of a file that keeps the incarnation and the members for the next start.",
    )
    most: int = Field(
        2000,
        ge=2,
        le=100_000,
        description="Members that the node remembers, including failed and left ones.",
    )
    period: PositiveDuration = Field(
        500_000, description="Interval at which the node probes a member."
    )
    probe_timeout: PositiveDuration = Field(
        200_000,
        description="Time without an acknowledgement after which other members are asked to probe.",
    )
    local_health: bool = Field(
        True,
        description="Whether the node gives others more time while it is slow itself; off only for "
        "comparisons.",
    )

    @model_validator(mode="after")
    def _check_times(self) -> PeersTable:
        if self.probe_timeout * 2 > self.period:
            raise ValueError("probe_timeout: expected at most half of the period")
        return self


class SitesTable(Table):
    """Routing between sites when a site fails; each zone is a site.

    Off without this table; it needs `[peers]`.
    """

    plan: str | None = Field(
        None,
        min_length=1,
        description="Path of a plan made by `oakbridge sites plan`; without a plan, requests are "
        "routed by free capacity.",
    )
    step: PositiveDuration = Field(
        1_000_000, description="Minimum duration of a step when a site returns or drains."
    )


class SpreadTable(Table):
    """How the nodes of a tier divide the servers among themselves.

    Off without this table; it needs `[peers]`.
    """

    rings: int = Field(
        4,
        ge=1,
        le=8,
        description="Rings on each of which a node uses some of the servers; more rings mean more "
        "connections.",
    )


class ControlTable(Table):
    """The local socket for `oakbridge status` and other commands; only its owner may use it."""

    enabled: bool = Field(True, description="Whether the node has a control socket.")
    socket: str | None = Field(
        None,
        min_length=1,
        max_length=100,
        description="Path of the socket; if absent, `oakbridge/NAME.sock` in the user's runtime "
        "directory.",
    )


class LogTable(Table):
    """The log, on standard error."""

    level: Literal["debug", "info", "warning", "error"] = Field(
        "info", description="Lowest level of lines in the log."
    )


class ConfigFile(Table):
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
    def _check_whole(self) -> ConfigFile:
        _require_unique("class: expected each name once", [table.name for table in self.classes])
        _require_unique("tenant: expected each name once", [table.name for table in self.tenants])
        class_names = {table.name for table in self.classes}
        for number, route in enumerate(self.sip.routes if self.sip else [], 1):
            if route.class_name not in class_names:
                raise ValueError(
                    f"sip.route {number}: class: expected one of the classes, got {route.class_name!r}"
                )
        self._check_tables_together()
        return self

    def _check_tables_together(self) -> None:
        """Check requirements of tables on other tables."""
        has_several_workers = self.node.workers > 1
        if self.peers is not None and len(self.node.name) > MAX_MEMBER_NAME_LENGTH:
            expected = f"expected at most {MAX_MEMBER_NAME_LENGTH} characters where there are peers"
            raise ValueError(f"node.name: {expected}")
        if self.sites is not None and (
            self.peers is None or has_several_workers or not self.node.zone
        ):
            raise ValueError("sites: expected [peers], node.zone and node.workers = 1 beside it")
        if self.spread is not None and (self.peers is None or has_several_workers):
            raise ValueError("spread: expected [peers] and node.workers = 1 beside it")
        if self.sip is not None and has_several_workers:
            raise ValueError("sip: expected node.workers = 1, as datagrams can't be handed on")


def _require_unique(expected: str, values: list[str]) -> None:
    seen: set[str] = set()
    for value in values:
        if value in seen:
            raise ValueError(f"{expected}, got {value!r} again")
        seen.add(value)


def resolve_path(path: str, config_path: Path) -> Path:
    """Return a path of the file as absolute path; a relative one starts at the file's directory."""
    return (config_path.parent / Path(path).expanduser()).absolute()
