"""Settings of a :class:`oakbridge.policy.balancer.Balancer`, validated on construction.

Times are whole microseconds unless noted.  The platform and ``oakbridge.toml`` use other names for
these settings; ``oakbridge.node.settings`` and ``oakbridge.config.node_config`` map them.  Messages
of :class:`SettingsError` use the names that users write.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum


class SettingsError(ValueError):
    """A setting is missing or invalid; the message names the setting and the expected value."""


class Idempotency(StrEnum):
    """Whether a request may be retried after an attempt that may have run."""

    IDEMPOTENT = "safe"
    IDEMPOTENT_WITH_KEY = "keyed"  # servers drop duplicates while they remember the key
    NOT_IDEMPOTENT = "unsafe"


class WeightSource(StrEnum):
    """What the weights in an endpoint list stand for."""

    OFF = "off"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"  # weights that change with the load


class ReportSource(StrEnum):
    """Which messages from servers carry load reports."""

    OFF = "off"
    RESPONSES = "answers"
    PROBES = "probes"


def _check(valid: bool, name: str, expected: str, got: object) -> None:
    if not valid:
        raise SettingsError(f"{name}: expected {expected}, got {got!r}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A request class: its priority, its latency objective and whether requests may be retried."""

    name: str
    latency_objective: int
    deadline: int
    priority_weight: float = 1.0
    late_weight: float = 0.0  # fraction of the weight that a response after the objective earns
    idempotency: Idempotency = Idempotency.NOT_IDEMPOTENT
    dedup_scope: str = "all"  # with a key: servers that drop duplicates ("all", "zone" or "cell")
    dedup_window: int = 0  # with a key: how long servers remember it
    streamed: bool = False
    aim_stretch: float = 0.0  # the objective grows by this multiple of the request's own work

    def __post_init__(self) -> None:
        """Raise SettingsError for an invalid value."""
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
    """A tenant and its quota, in requests per second over all replicas together."""

    name: str
    quota_per_s: float
    share: float = 0.0

    def __post_init__(self) -> None:
        """Raise SettingsError for an invalid value."""
        _check(self.quota_per_s >= 0, "tenant.quota_per_s", "a rate of 0 or more", self.quota_per_s)


@dataclass(frozen=True, slots=True)
class Goal:
    """Weights of the parts of the score.

    ``nines`` weights availability on a logarithmic scale: each tenfold drop of the unserved
    fraction adds one.
    """

    whole: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0
    nines: float = 0.0
    nines_full: float = 3.0  # number of nines that earns the full weight

    def __post_init__(self) -> None:
        """Raise SettingsError for an invalid value."""
        for name in ("whole", "worst_window", "worst_class", "worst_tenant", "nines"):
            value = getattr(self, name)
            _check(value >= 0, f"goal.{name}", "a weight of 0 or more", value)
        _check(self.nines_full > 0, "goal.nines_full", "a number above 0", self.nines_full)


@dataclass(frozen=True, slots=True)
class Prices:
    """Points deducted from the score per unit, for costs that actions of the balancer cause."""

    cross_zone: float = 0.0  # attempts sent to other zones / first attempts
    waste: float = 0.0  # server work that produced no served response
    late_fail: float = 0.0  # weight of requests that failed after their latency objective
    handshake: float = 0.0  # new connections / first attempts
    connection: float = 0.0  # open connections / (100 x servers)
    probe: float = 0.0  # health checks / first attempts
    peer: float = 0.0  # bytes of messages / (256 x first attempts)
    discovery: float = 0.0  # list lines / (100 x first attempts)

    def __post_init__(self) -> None:
        """Raise SettingsError for an invalid value."""
        for name in self.__slots__:
            value = getattr(self, name)
            _check(
                math.isfinite(value) and value >= 0, f"prices.{name}", "a price of 0 or more", value
            )


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one replica; ``SettingsChanged`` replaces them."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    replica_count: int = 1  # number of replicas in this tier
    replica_index: int = 0
    tier: int = 0  # the tier that this replica sends to, from 0
    tier_count: int = 1
    zone: str = ""
    zones: tuple[str, ...] = ()
    tick: int = 1000  # shortest time between two events
    max_attempts: int = 3
    cancellation_allowed: bool = False
    hedging_allowed: bool = False
    probes: bool = False
    peers: bool = False
    max_retry_after: int = 0  # 0: send no Retry-After
    poll_discovery: bool = False  # whether the balancer polls discovery
    poll_interval: int = 10_000_000
    weight_source: WeightSource = WeightSource.OFF
    passes_deadline: bool = False
    answer_slack: int = 0
    drain_grace: int = 0  # how long sends to a draining or removed server may continue
    slow_start_minimum: float = 1.0  # fraction of its capacity that a server has at its start
    slow_start_window: int = 0  # time from its start until a server has its full capacity
    overload_factor: float = 4.0  # load, over current capacity, at which a starting server fails
    overload_window: int = 1_000_000
    over_quota_weight: float = 1.0  # factor on the weight of requests over their tenant's quota
    goal: Goal = Goal()
    prices: Prices = Prices()
    report_source: ReportSource = ReportSource.OFF
    report_names: tuple[str, ...] = ()
    marks_repeats: bool = False  # whether clients mark their retries
    keys_stay_warm: bool = False  # whether a server does less work for a key that it served lately
    worth_by_work: bool = False  # whether weight counts per unit of work instead of per request
    connection_idle_timeout: int = 0  # 0: unknown
    connect_timeout: int = 0  # 0: unknown
    streams_per_connection: int = 1
    max_open_requests: int = 0  # limit of open requests of a replica; 0: unknown
    cpu_per_second: int = 0  # CPU time that this replica may use each second; 0: unknown
    cpu_per_request: float = 0.0  # CPU time limit for each request; 0: none
    pin_endpoint_list: bool = (
        False  # retries use only servers listed since the first attempt; see RetrySafety
    )
    retry_ratio: float = 0.2  # retries allowed per first attempt in the window
    retry_floor: float = 0.1  # retries allowed per second in addition
    retry_window: int = 10  # length of the window in seconds

    @property
    def has_retryable_class(self) -> bool:
        """Whether some class allows retries after an attempt that may have run."""
        return any(klass.idempotency != Idempotency.NOT_IDEMPOTENT for klass in self.classes)

    def __post_init__(self) -> None:
        """Raise SettingsError for an invalid value."""
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
