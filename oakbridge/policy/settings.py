"""Settings of a :class:`oakbridge.policy.balancer.Balancer`, checked as they are made.

Times are whole microseconds.  The names that the platform and ``oakbridge.toml`` give these
settings are mapped by their readers alone: ``oakbridge.node.settings`` and
``oakbridge.config.node_config``.  Messages of :class:`SettingsError` keep the names that users
write.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum


class SettingsError(ValueError):
    """A setting is missing or impossible; the message names the field and what was expected."""


class Idempotency(StrEnum):
    """Whether a request of a class may be attempted again once an earlier attempt may have run."""

    IDEMPOTENT = "safe"
    IDEMPOTENT_WITH_KEY = "keyed"  # by servers that drop repeats of its key, while they remember it
    NOT_IDEMPOTENT = "unsafe"


class WeightSource(StrEnum):
    """What the weights in an endpoint list are."""

    OFF = "off"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"  # they change with the load


class ReportSource(StrEnum):
    """Which messages of servers carry load reports."""

    OFF = "off"
    RESPONSES = "answers"
    PROBES = "probes"


def _check(valid: bool, name: str, expected: str, got: object) -> None:
    if not valid:
        raise SettingsError(f"{name}: expected {expected}, got {got!r}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of request: its priority, its latency objective, and whether it may be repeated."""

    name: str
    latency_objective: int
    deadline: int
    priority_weight: float = 1.0
    late_weight: float = 0.0  # what a response after the objective is still worth, as a share
    idempotency: Idempotency = Idempotency.NOT_IDEMPOTENT
    dedup_scope: str = "all"  # with a key: the servers that drop a repeat ("all", "zone" or "cell")
    dedup_window: int = 0  # with a key: how long they remember it
    streamed: bool = False
    aim_stretch: float = 0.0  # the objective grows by this multiple of the request's own work

    def __post_init__(self) -> None:
        """Refuse impossible values."""
        idempotencies = tuple(Idempotency)
        _check(self.latency_objective > 0, "class.aim", "a time above 0", self.latency_objective)
        _check(self.deadline > 0, "class.deadline", "a time above 0", self.deadline)
        _check(
            self.priority_weight >= 0, "class.worth", "a number of 0 or more", self.priority_weight
        )
        _check(
            0 <= self.late_weight <= 1, "class.late_worth", "a share from 0 to 1", self.late_weight
        )
        _check(
            self.idempotency in idempotencies,
            "class.repeat",
            "safe, keyed or unsafe",
            self.idempotency,
        )
        _check(
            self.dedup_scope in ("all", "zone", "cell"),
            "class.group",
            "all, zone or cell",
            self.dedup_scope,
        )
        _check(
            self.dedup_window >= 0, "class.repeat_window", "a time of 0 or more", self.dedup_window
        )
        _check(
            self.aim_stretch >= 0, "class.aim_stretch", "a multiple of 0 or more", self.aim_stretch
        )


@dataclass(frozen=True, slots=True)
class Tenant:
    """Whose requests these are, and the rate that is within its quota (all replicas together)."""

    name: str
    quota_per_s: float
    share: float = 0.0

    def __post_init__(self) -> None:
        """Refuse impossible values."""
        _check(self.quota_per_s >= 0, "tenant.quota_per_s", "a rate of 0 or more", self.quota_per_s)


@dataclass(frozen=True, slots=True)
class Goal:
    """How the parts of the result are weighted; ``nines`` counts tenfold steps of what is not served."""

    whole: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0
    nines: float = 0.0
    nines_full: float = 3.0  # so many nines earn the whole of that part

    def __post_init__(self) -> None:
        """Refuse impossible values."""
        for name in ("whole", "worst_window", "worst_class", "worst_tenant", "nines"):
            value = getattr(self, name)
            _check(value >= 0, f"goal.{name}", "a weight of 0 or more", value)
        _check(self.nines_full > 0, "goal.nines_full", "a number above 0", self.nines_full)


@dataclass(frozen=True, slots=True)
class Prices:
    """Points taken off the result for each unit; what no action of this module causes is not carried."""

    cross_zone: float = 0.0  # attempts that cross zones, by first attempt
    waste: float = 0.0  # server work that served no response
    late_fail: float = 0.0  # weight that ended unserved after its latency objective
    handshake: float = 0.0  # new connections, by first attempt
    connection: float = 0.0  # open connections / (100 x servers)
    probe: float = 0.0  # health checks, by first attempt
    peer: float = 0.0  # bytes of messages / (256 x first attempts)
    discovery: float = 0.0  # list lines / (100 x first attempts)

    def __post_init__(self) -> None:
        """Refuse impossible values."""
        for name in self.__slots__:
            value = getattr(self, name)
            _check(
                math.isfinite(value) and value >= 0, f"prices.{name}", "a price of 0 or more", value
            )


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a replica is told at its start."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    replica_count: int = 1  # replicas of this tier
    replica_index: int = 0
    tier: int = 0  # the tier that this replica sends to, from 0
    tier_count: int = 1
    zone: str = ""
    zones: tuple[str, ...] = ()
    tick: int = 1000  # events come no closer together than this
    max_attempts: int = 3
    cancellation_allowed: bool = False
    hedging_allowed: bool = False
    probes: bool = False
    peers: bool = False
    max_retry_after: int = 0  # 0: no Retry-After is sent
    poll_discovery: bool = False  # discovery has to be polled
    poll_interval: int = 10_000_000
    weight_source: WeightSource = WeightSource.OFF
    passes_deadline: bool = False
    answer_slack: int = 0
    drain_grace: int = 0  # sends to a server that drains or is gone may go on for so long
    slow_start_minimum: float = 1.0  # share of its capacity that a server has as it starts
    slow_start_window: int = 0  # until it has all of it
    overload_factor: float = 4.0  # times its present capacity that pushes a starting server over
    overload_window: int = 1_000_000
    over_quota_weight: float = 1.0  # factor on the weight of requests beyond their tenant's quota
    goal: Goal = Goal()
    prices: Prices = Prices()
    report_source: ReportSource = ReportSource.OFF
    report_names: tuple[str, ...] = ()
    marks_repeats: bool = False  # clients mark their retries
    keys_stay_warm: bool = False  # a server that served a key lately serves it again with less work
    worth_by_work: bool = False  # weight counts by work, not by request
    connection_idle_timeout: int = 0  # 0: not told
    connect_timeout: int = 0  # 0: not told
    streams_per_connection: int = 1
    max_open_requests: int = 0  # requests that a replica may hold; 0: not told
    cpu_per_second: int = 0  # this replica's share of CPU; 0: not told
    cpu_per_request: float = 0.0  # 0: no such limit
    pin_endpoint_list: bool = (
        False  # retries keep to the list of the first attempt; see RetrySafety
    )
    retry_ratio: float = 0.2  # retries in the window stay under this share of its first attempts,
    retry_floor: float = 0.1  # and so many a second
    retry_window: int = 10  # seconds

    @property
    def any_repeatable(self) -> bool:
        """Whether requests of any class may be repeated once they may have run."""
        return any(c.idempotency != Idempotency.NOT_IDEMPOTENT for c in self.classes)

    def __post_init__(self) -> None:
        """Refuse impossible values."""
        _check(len(self.classes) > 0, "classes", "at least one class", self.classes)
        _check(self.replica_count >= 1, "instances", "a count of 1 or more", self.replica_count)
        _check(
            0 <= self.tier < self.tier_count,
            "tier",
            f"a number from 0 below {self.tier_count}",
            self.tier,
        )
        _check(self.max_attempts >= 1, "max_attempts", "a count of 1 or more", self.max_attempts)
        _check(self.poll_interval > 0, "ask_within", "a time above 0", self.poll_interval)
        minimum = self.slow_start_minimum
        _check(0 < minimum <= 1, "cold_from", "a share above 0, up to 1", minimum)
        _check(
            self.slow_start_window >= 0, "warm_up", "a time of 0 or more", self.slow_start_window
        )
        _check(self.overload_factor > 0, "fall_multiple", "a number above 0", self.overload_factor)
        _check(self.overload_window > 0, "fall_window", "a time above 0", self.overload_window)
        _check(0 <= self.retry_ratio <= 1, "retry_ratio", "a share from 0 to 1", self.retry_ratio)
        _check(self.retry_floor >= 0, "retry_floor", "a rate of 0 or more", self.retry_floor)
        _check(1 <= self.retry_window <= 600, "retry_window", "1 to 600 seconds", self.retry_window)
        _check(self.tick > 0, "tick", "a time above 0", self.tick)
        sources = tuple(WeightSource)
        _check(
            self.weight_source in sources,
            "size_source",
            f"one of {', '.join(sources)}",
            self.weight_source,
        )
        known = self.report_source in tuple(ReportSource)
        _check(known, "report_source", "one of off, answers, probes", self.report_source)
        streams = self.streams_per_connection
        _check(streams >= 1, "streams_per_connection", "a count of 1 or more", streams)
        weight = self.over_quota_weight
        _check(0 <= weight <= 1, "over_share_worth", "a share from 0 to 1", weight)
