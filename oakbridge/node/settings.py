"""Reads the platform's settings object; the only module that maps its keys to the code's terms.

Nodes and the simulator use the same reader.
"""

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

_IDEMPOTENCY = {
    "pure": Idempotency.IDEMPOTENT,
    "token": Idempotency.IDEMPOTENT_WITH_KEY,
    "side_effect": Idempotency.NOT_IDEMPOTENT,
}
_REPORT_FIELDS = {
    "rif": "in_flight",
    "q": "queued",
    "busy": "utilisation",
    "lat_ms": "latency_ms",
    "rate": "rate",
    "fail_rate": "fail_rate",
}
_WEIGHT_SOURCES = {
    "off": WeightSource.OFF,
    "nominal": WeightSource.NOMINAL,
    "rough": WeightSource.ROUGH,
    "live": WeightSource.LIVE,
}
_REPORT_SOURCES = {
    "off": ReportSource.OFF,
    "inline": ReportSource.RESPONSES,
    "on_probe": ReportSource.PROBES,
}
_POLLS_DISCOVERY = {"pushed": False, "on_request": True}
_WEIGHS_BY_WORK = {"request": False, "work": True}


def _get(
    section: dict[str, Any], path: str, kind: type | tuple[type, ...], default: Any = None
) -> Any:
    """Return the setting at a dotted path of a section, or ``default``.

    Raises SettingsError if the setting is missing and there is no default, or if its type is wrong.
    """
    value: Any = section
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
    """Return whether a value is of a type; a boolean is no number, and numbers must be finite."""
    if isinstance(value, bool) != (kind is bool) or not isinstance(value, kind):
        return False
    return not isinstance(value, float) or math.isfinite(value)


def kind_name(kind: type | tuple[type, ...]) -> str:
    """Return the name of a type, or of a tuple of types, for an error message."""
    names = {
        int: "a whole number",
        bool: "true or false",
        str: "a string",
        list: "a list",
        dict: "an object",
    }
    if isinstance(kind, tuple):
        return "a string" if str in kind else "a number"
    return names.get(kind, "a number")


NUMBER = (int, float)


def _names(section: dict[str, Any], path: str) -> tuple[str, ...]:
    names = _get(section, path, list, [])
    if not all(isinstance(name, str) for name in names):
        raise SettingsError(f"settings.{path}: expected a list of strings, got {names!r}")
    return tuple(names)


def _choice(
    section: dict[str, Any], path: str, choices: dict[str, Any], default: Any = None
) -> Any:
    name = _get(section, path, str, default)
    if name not in choices:
        raise SettingsError(f"settings.{path}: expected one of {', '.join(choices)}, got {name!r}")
    return choices[name]


# Keys that a new version of a file may omit.  All others must stay once a file has had them.
REMOVABLE_KEYS = frozenset({
    "known", "seed", "peers", "peers_all", "peer_listen", "control", "settings.extra.passes-deadline",
    "settings.extra.warm-keys", "settings.classes.aim-stretch", "settings.prices.fleet",
})  # fmt: skip


def missing_key(before: Any, now: Any, prefix: str = "") -> str:
    """Return the dotted path of the first key that a file had before and lacks now; "" if none.

    Entries of a list may be added and removed.  Each entry must have the keys that all entries had
    before.
    """
    if isinstance(before, dict):
        if not isinstance(now, dict):
            return prefix if before else ""
        for name, value in before.items():
            path = f"{prefix}.{name}" if prefix else name
            if path in REMOVABLE_KEYS:
                continue
            if name not in now:
                return path
            if missing := missing_key(value, now[name], path):
                return missing
    elif (
        isinstance(before, list)
        and isinstance(now, list)
        and all(isinstance(item, dict) for item in before)
    ):
        shared = set.intersection(*(set(item) for item in before)) if before else set()
        for i, entry in enumerate(now):
            names = set(entry) if isinstance(entry, dict) else set()
            if missing_names := sorted(
                key for key in shared - names if f"{prefix}.{key}" not in REMOVABLE_KEYS
            ):
                return f"{prefix}[{i}].{missing_names[0]}"
    return ""


# Settings that a running replica can't change, as its server records and its retry budget depend on
# them.  Maps a field of Settings to its name in messages to operators.
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


def keep_fixed_settings(old: Settings, new: Settings) -> tuple[Settings, list[str]]:
    """Return the new settings, with the old values of the settings that are fixed while running.

    Also return the operators' names of the fixed settings that differ.
    """
    kept = {
        name: getattr(old, name)
        for name in FIXED_SETTINGS
        if getattr(old, name) != getattr(new, name)
    }
    return replace(new, **kept), [FIXED_SETTINGS[name] for name in kept]


def read_settings(raw: Any) -> Settings:
    """Return the settings in the platform's settings object; unknown keys are ignored.

    Raises SettingsError with the path of a key, the expected value and the value found.
    """
    if not isinstance(raw, dict):
        raise SettingsError(f"settings: expected an object, got {raw!r}")
    return Settings(
        classes=_read_classes(raw),
        tenants=_read_tenants(raw),
        **_read_replica(raw),
        **_read_attempts(raw),
        **_read_discovery(raw),
        weight_source=_choice(raw, "weight-source", _WEIGHT_SOURCES, "off"),
        passes_deadline=_get(raw, "extra.passes-deadline", bool, False),
        answer_slack=_get(raw, "invariants.answer-slack", int, 0),
        drain_grace=_get(raw, "invariants.stop-sending-within", int, 0),
        **_read_slow_start(raw),
        **_read_overload(raw),
        over_quota_weight=_get(raw, "over-share-worth", NUMBER, 1.0),
        goal=_read_goal(raw),
        prices=_read_prices(raw),
        **_read_load_reports(raw),
        marks_repeats=_get(raw, "client-habits.marks-retry", bool, False),
        keys_stay_warm=_get(raw, "extra.warm-keys", bool, False),
        worth_by_work=_choice(raw, "worth-by", _WEIGHS_BY_WORK, "request"),
        **_read_connections(raw),
        cpu_per_second=_get(raw, "allowed.cpu-us-per-s", int, 0),
        cpu_per_request=_get(raw, "allowed.cpu-us-per-request", NUMBER, 0.0),
    )


def _read_classes(raw: dict[str, Any]) -> tuple[RequestClass, ...]:
    classes = []
    for i, entry in enumerate(_get(raw, "classes", list)):
        try:
            classes.append(_read_class(entry))
        except SettingsError as error:
            raise SettingsError(f"settings.classes[{i}]: {error}") from None
    return tuple(classes)


def _read_class(entry: dict[str, Any]) -> RequestClass:
    return RequestClass(
        name=_get(entry, "name", str),
        latency_objective=_get(entry, "aim", int),
        deadline=_get(entry, "deadline", int),
        priority_weight=_get(entry, "importance", NUMBER, 1.0),
        late_weight=_get(entry, "late-worth", NUMBER, 0.0),
        idempotency=_choice(entry, "idempotency", _IDEMPOTENCY),
        dedup_scope=_get(entry, "group", str, "all"),
        dedup_window=_get(entry, "repeat-window", int, 0),
        streamed=_get(entry, "streamed", bool, False),
        aim_stretch=_get(entry, "aim-stretch", NUMBER, 0.0),
    )


def _read_tenants(raw: dict[str, Any]) -> tuple[Tenant, ...]:
    return tuple(
        Tenant(
            name=_get(entry, "name", str),
            quota_per_s=_get(entry, "quota-per-s", NUMBER),
            share=_get(entry, "fraction", NUMBER, 0.0),
        )
        for entry in _get(raw, "parties", list, [])
    )


# Each of the following functions returns some of the fields of Settings, by name.


def _read_replica(raw: dict[str, Any]) -> dict[str, Any]:
    """Return the identity and place of this replica, and the number of replicas."""
    return {
        "replica_count": _get(raw, "instances", int),
        "replica_index": _get(raw, "me", int, 0),
        "tier": _get(raw, "stage", int, 0),
        "tier_count": max(1, len(_names(raw, "layers"))),
        "zone": _get(raw, "zone", str, ""),
        "zones": _names(raw, "zones"),
        "tick": _get(raw, "resolution", int, 1000),
    }


def _read_attempts(raw: dict[str, Any]) -> dict[str, Any]:
    """Return what the replica is allowed to do besides sending each request once."""
    retry_after = _get(raw, "allowed.retry-after", bool, False)
    return {
        "max_attempts": _get(raw, "allowed.max-attempts", int),
        "cancellation_allowed": _get(raw, "allowed.cancelling", bool, False),
        "hedging_allowed": _get(raw, "allowed.second-copies", bool, False),
        "probes": _get(raw, "allowed.probing", bool, False),
        "peers": _get(raw, "allowed.may-tell", bool, False),
        "max_retry_after": _get(raw, "allowed.max-retry-after", int, 0) if retry_after else 0,
    }


def _read_discovery(raw: dict[str, Any]) -> dict[str, Any]:
    return {
        "poll_discovery": _choice(raw, "discovery", _POLLS_DISCOVERY, "pushed"),
        "poll_interval": _get(raw, "invariants.ask-within", int, 10_000_000),
    }


def _read_slow_start(raw: dict[str, Any]) -> dict[str, Any]:
    return {
        "slow_start_minimum": _get(raw, "invariants.cold-from", NUMBER),
        "slow_start_window": _get(raw, "invariants.warm-up", int),
    }


def _read_overload(raw: dict[str, Any]) -> dict[str, Any]:
    return {
        "overload_factor": _get(raw, "invariants.fall-multiple", NUMBER),
        "overload_window": _get(raw, "invariants.fall", int),
    }


def _read_goal(raw: dict[str, Any]) -> Goal:
    return Goal(
        whole=_get(raw, "goal.whole", NUMBER, 1.0),
        worst_window=_get(raw, "goal.worst-window", NUMBER, 0.0),
        worst_class=_get(raw, "goal.worst-class", NUMBER, 0.0),
        worst_tenant=_get(raw, "goal.worst-tenant", NUMBER, 0.0),
        nines=_get(raw, "goal.availability", NUMBER, 0.0),
        nines_full=_get(raw, "goal.top-nines", NUMBER, 3.0),
    )


def _read_prices(raw: dict[str, Any]) -> Prices:
    def price(key: str) -> Any:
        return _get(raw, f"prices.{key}", NUMBER, 0.0)

    return Prices(
        cross_zone=price("cross-zone"),
        waste=price("waste"),
        late_fail=price("late-fail"),
        handshake=price("handshake"),
        connection=price("connection"),
        probe=price("probe"),
        peer=price("peer"),
        discovery=price("discovery"),
    )


def _read_load_reports(raw: dict[str, Any]) -> dict[str, Any]:
    return {
        "report_source": _choice(raw, "report.source", _REPORT_SOURCES, "off"),
        "report_names": tuple(
            _REPORT_FIELDS.get(name, name) for name in _names(raw, "report.names")
        ),
    }


def _read_connections(raw: dict[str, Any]) -> dict[str, Any]:
    return {
        "connection_idle_timeout": _get(raw, "allowed.conn-idle", int, 0),
        "connect_timeout": _get(raw, "allowed.connect-timeout", int, 0),
        "streams_per_connection": _get(raw, "allowed.streams-per-conn", int, 1),
        "max_open_requests": _get(raw, "allowed.max-open", int, 0),
    }
