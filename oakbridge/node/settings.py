"""The platform's settings object as the module's settings: its one reader, for nodes and simulator alike."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import Any

from oakbridge.policy.settings import (
    Goal,
    Idempotency,
    Prices,
    ReportSource,
    RequestClass,
    Settings,
    SettingsError,
    Tenant,
    WeightSource,
)

_REPEAT = {
    "pure": Idempotency.IDEMPOTENT,
    "token": Idempotency.IDEMPOTENT_WITH_KEY,
    "side_effect": Idempotency.NOT_IDEMPOTENT,
}
_REPORT = {
    "rif": "in_flight", "q": "queued", "busy": "utilisation", "lat_ms": "latency_ms", "rate": "rate",
    "fail_rate": "fail_rate",
}  # fmt: skip
_SIZE = {
    "off": WeightSource.OFF,
    "nominal": WeightSource.NOMINAL,
    "rough": WeightSource.ROUGH,
    "live": WeightSource.LIVE,
}
_SOURCE = {"off": ReportSource.OFF, "inline": ReportSource.RESPONSES, "on_probe": ReportSource.PROBES}


def _get(where: dict[str, Any], path: str, kind: type | tuple[type, ...], default: Any = None) -> Any:
    """One setting by its dotted path; without a default it must be there, and it must be of the kind."""
    value: Any = where
    for part in path.split("."):
        value = value.get(part) if isinstance(value, dict) else None
    if value is None:
        if default is None:
            raise SettingsError(f"settings.{path}: missing, expected {kind_name(kind)}")
        return default
    if not is_kind(value, kind):
        raise SettingsError(f"settings.{path}: expected {kind_name(kind)}, got {value!r}")
    return value


def is_kind(value: Any, kind: type | tuple[type, ...]) -> bool:
    """Whether a value is of the kind: true is no number, and a number is finite."""
    if isinstance(value, bool) != (kind is bool) or not isinstance(value, kind):
        return False
    return not isinstance(value, float) or math.isfinite(value)


def kind_name(kind: type | tuple[type, ...]) -> str:
    """What a kind is called in a message."""
    names = {int: "a whole number", bool: "true or false", str: "a string", list: "a list", dict: "an object"}
    if isinstance(kind, tuple):
        return "a string" if str in kind else "a number"
    return names.get(kind, "a number")


NUMBER = (int, float)


def _names(where: dict[str, Any], path: str) -> tuple[str, ...]:
    names = _get(where, path, list, [])
    if not all(isinstance(name, str) for name in names):
        raise SettingsError(f"settings.{path}: expected a list of strings, got {names!r}")
    return tuple(names)


def _choice(where: dict[str, Any], path: str, choices: dict[str, Any], default: Any = None) -> Any:
    name = _get(where, path, str, default)
    if name not in choices:
        raise SettingsError(f"settings.{path}: expected one of {', '.join(choices)}, got {name!r}")
    return choices[name]


# Keys that a file may leave out at any time; all others stay once they were there.
MAY_GO = frozenset({
    "known", "seed", "peers", "peers_all", "peer_listen", "control", "settings.extra.passes-deadline",
    "settings.extra.warm-keys", "settings.classes.aim-stretch", "settings.prices.fleet",
})  # fmt: skip


def missing_key(before: Any, now: Any, where: str = "") -> str:
    """The first key that a file had before and lacks now, by its dotted path, or an empty text.

    Entries of a list count by what all of its entries had before: they come and go, but each is whole.
    """
    if isinstance(before, dict):
        if not isinstance(now, dict):
            return where if before else ""
        for name, value in before.items():
            path = f"{where}.{name}" if where else name
            if path in MAY_GO:
                continue
            if name not in now:
                return path
            if lost := missing_key(value, now[name], path):
                return lost
    elif isinstance(before, list) and isinstance(now, list) and all(isinstance(e, dict) for e in before):
        shared = set.intersection(*(set(e) for e in before)) if before else set()
        for i, entry in enumerate(now):
            have = set(entry) if isinstance(entry, dict) else set()
            if lacking := sorted(n for n in shared - have if f"{where}.{n}" not in MAY_GO):
                return f"{where}[{i}].{lacking[0]}"
    return ""


# Settings that a running replica can't change, as its servers' records and its budget are made for them: their names
# in the code, and those that operators are told.
FIXED_SETTINGS = {
    "replica_index": "me",
    "tier": "tier",
    "tier_count": "tiers",
    "zone": "zone",
    "zones": "zones",
    "tick": "tick",
    "poll_discovery": "must_ask",
    "weight_source": "size_source",
    "retry_window": "retry_window",
    "pin_endpoint_list": "one_version",
}


def in_place(old: Settings, new: Settings) -> tuple[Settings, list[str]]:
    """Return the new settings as far as a running replica can change, and the names of those that have to wait."""
    kept = {name: getattr(old, name) for name in FIXED_SETTINGS if getattr(old, name) != getattr(new, name)}
    return replace(new, **kept), [FIXED_SETTINGS[name] for name in kept]


def read_settings(raw: Any) -> Settings:
    """The wire's settings as the module's; unknown keys are passed over."""
    if not isinstance(raw, dict):
        raise SettingsError(f"settings: expected an object, got {raw!r}")
    classes = []
    for i, c in enumerate(_get(raw, "classes", list)):
        try:
            classes.append(
                RequestClass(
                    name=_get(c, "name", str),
                    latency_objective=_get(c, "aim", int),
                    deadline=_get(c, "deadline", int),
                    priority_weight=_get(c, "importance", NUMBER, 1.0),
                    late_weight=_get(c, "late-worth", NUMBER, 0.0),
                    idempotency=_choice(c, "idempotency", _REPEAT),
                    dedup_scope=_get(c, "group", str, "all"),
                    dedup_window=_get(c, "repeat-window", int, 0),
                    streamed=_get(c, "streamed", bool, False),
                    aim_stretch=_get(c, "aim-stretch", NUMBER, 0.0),
                )
            )
        except SettingsError as e:
            raise SettingsError(f"settings.classes[{i}]: {e}") from None
    tenants = tuple(
        Tenant(_get(t, "name", str), _get(t, "quota-per-s", NUMBER), _get(t, "fraction", NUMBER, 0.0))
        for t in _get(raw, "parties", list, [])
    )
    retry_after = _get(raw, "allowed.retry-after", bool, False)
    return Settings(
        classes=tuple(classes),
        tenants=tenants,
        replica_count=_get(raw, "instances", int),
        replica_index=_get(raw, "me", int, 0),
        tier=_get(raw, "stage", int, 0),
        tier_count=max(1, len(_names(raw, "layers"))),
        zone=_get(raw, "zone", str, ""),
        zones=_names(raw, "zones"),
        tick=_get(raw, "resolution", int, 1000),
        max_attempts=_get(raw, "allowed.max-attempts", int),
        cancellation_allowed=_get(raw, "allowed.cancelling", bool, False),
        hedging_allowed=_get(raw, "allowed.second-copies", bool, False),
        probes=_get(raw, "allowed.probing", bool, False),
        peers=_get(raw, "allowed.may-tell", bool, False),
        max_retry_after=_get(raw, "allowed.max-retry-after", int, 0) if retry_after else 0,
        poll_discovery=_choice(raw, "discovery", {"pushed": False, "on_request": True}, "pushed"),
        poll_interval=_get(raw, "invariants.ask-within", int, 10_000_000),
        weight_source=_choice(raw, "weight-source", _SIZE, "off"),
        passes_deadline=_get(raw, "extra.passes-deadline", bool, False),
        answer_slack=_get(raw, "invariants.answer-slack", int, 0),
        drain_grace=_get(raw, "invariants.stop-sending-within", int, 0),
        slow_start_minimum=_get(raw, "invariants.cold-from", NUMBER),
        slow_start_window=_get(raw, "invariants.warm-up", int),
        overload_factor=_get(raw, "invariants.fall-multiple", NUMBER),
        overload_window=_get(raw, "invariants.fall", int),
        over_quota_weight=_get(raw, "over-share-worth", NUMBER, 1.0),
        goal=Goal(
            whole=_get(raw, "goal.whole", NUMBER, 1.0),
            worst_window=_get(raw, "goal.worst-window", NUMBER, 0.0),
            worst_class=_get(raw, "goal.worst-class", NUMBER, 0.0),
            worst_tenant=_get(raw, "goal.worst-tenant", NUMBER, 0.0),
            nines=_get(raw, "goal.availability", NUMBER, 0.0),
            nines_full=_get(raw, "goal.top-nines", NUMBER, 3.0),
        ),
        prices=Prices(
            **{name: _get(raw, f"prices.{name.replace('_', '-')}", NUMBER, 0.0) for name in Prices.__slots__}
        ),
        report_source=_choice(raw, "report.source", _SOURCE, "off"),
        report_names=tuple(_REPORT.get(n, n) for n in _names(raw, "report.names")),
        marks_repeats=_get(raw, "client-habits.marks-retry", bool, False),
        keys_stay_warm=_get(raw, "extra.warm-keys", bool, False),
        worth_by_work=_choice(raw, "worth-by", {"request": False, "work": True}, "request"),
        connection_idle_timeout=_get(raw, "allowed.conn-idle", int, 0),
        connect_timeout=_get(raw, "allowed.connect-timeout", int, 0),
        streams_per_connection=_get(raw, "allowed.streams-per-conn", int, 1),
        max_open_requests=_get(raw, "allowed.max-open", int, 0),
        cpu_per_second=_get(raw, "allowed.cpu-us-per-s", int, 0),
        cpu_per_request=_get(raw, "allowed.cpu-us-per-request", NUMBER, 0.0),
    )
