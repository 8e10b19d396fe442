"""The names in the lines of a trace; the only module that maps the code's terms to them.

``benchmarks/fleet_day.py`` and readers of old logs depend on these names.  They must not change
when the code's terms do.
"""

from __future__ import annotations

from typing import Any

from oakbridge.policy.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SetTimer,
    WatchEndpoints,
)
from oakbridge.policy.events import AttemptResult
from oakbridge.policy.settings import Goal, Prices, RequestClass, Settings

LINE_PREFIX = "trace "  # marks the log lines that belong to a trace

ACTION_NAMES: dict[type[Any], str] = {
    RejectRequest: "refuse",
    FailRequest: "fail",
    CancelAttempt: "cancel",
    SetTimer: "settimer",
    WatchEndpoints: "watch",
}

RESULT_NAMES: dict[AttemptResult, str] = {
    AttemptResult.OK: "ok",
    AttemptResult.ERROR: "error",
    AttemptResult.REJECTED: "full",
    AttemptResult.TIMEOUT: "timeout",
    AttemptResult.CONNECT_FAILED: "connect_failed",
    AttemptResult.RESET: "reset",
    AttemptResult.CANCELLED: "cancelled",
    AttemptResult.NOT_SENT: "not_sent",
}


def action_name(action: Action) -> str:
    """Return the name under which an action is counted."""
    kind = type(action)
    return ACTION_NAMES.get(kind) or kind.__name__.lower()


def encode_settings(settings: Settings) -> dict[str, Any]:
    """Return the settings in the form of a trace's first line."""
    return {
        "classes": [_encode_class(request_class) for request_class in settings.classes],
        "tenants": [
            {"name": tenant.name, "quota_per_s": tenant.quota_per_s, "share": tenant.share}
            for tenant in settings.tenants
        ],
        "instances": settings.replica_count,
        "me": settings.replica_index,
        "tier": settings.tier,
        "tiers": settings.tier_count,
        "zone": settings.zone,
        "zones": settings.zones,
        "tick": settings.tick,
        "max_attempts": settings.max_attempts,
        "cancel": settings.cancellation_allowed,
        "second_copies": settings.hedging_allowed,
        "probes": settings.probes,
        "peers": settings.peers,
        "max_retry_after": settings.max_retry_after,
        "must_ask": settings.poll_discovery,
        "ask_within": settings.poll_interval,
        "size_source": settings.weight_source,
        "passes_deadline": settings.passes_deadline,
        "answer_slack": settings.answer_slack,
        "drain_grace": settings.drain_grace,
        "cold_from": settings.slow_start_minimum,
        "warm_up": settings.slow_start_window,
        "fall_multiple": settings.overload_factor,
        "fall_window": settings.overload_window,
        "over_share_worth": settings.over_quota_weight,
        "goal": _encode_goal(settings.goal),
        "prices": _encode_prices(settings.prices),
        "report_source": settings.report_source,
        "report_names": settings.report_names,
        "marks_repeats": settings.marks_repeats,
        "keys_stay_warm": settings.keys_stay_warm,
        "worth_by_work": settings.worth_by_work,
        "connection_idle": settings.connection_idle_timeout,
        "connect_timeout": settings.connect_timeout,
        "streams_per_connection": settings.streams_per_connection,
        "max_open": settings.max_open_requests,
        "cpu_per_second": settings.cpu_per_second,
        "cpu_per_request": settings.cpu_per_request,
        "one_version": settings.pin_endpoint_list,
        "retry_ratio": settings.retry_ratio,
        "retry_floor": settings.retry_floor,
        "retry_window": settings.retry_window,
    }


def _encode_class(request_class: RequestClass) -> dict[str, Any]:
    return {
        "name": request_class.name,
        "aim": request_class.latency_objective,
        "deadline": request_class.deadline,
        "worth": request_class.priority_weight,
        "late_worth": request_class.late_weight,
        "repeat": request_class.idempotency,
        "group": request_class.dedup_scope,
        "repeat_window": request_class.dedup_window,
        "streamed": request_class.streamed,
        "aim_stretch": request_class.aim_stretch,
    }


def _encode_goal(goal: Goal) -> dict[str, float]:
    return {
        "whole": goal.whole,
        "worst_window": goal.worst_window,
        "worst_class": goal.worst_class,
        "worst_tenant": goal.worst_tenant,
        "nines": goal.nines,
        "nines_full": goal.nines_full,
    }


def _encode_prices(prices: Prices) -> dict[str, float]:
    return {
        "cross_zone": prices.cross_zone,
        "waste": prices.waste,
        "late_fail": prices.late_fail,
        "handshake": prices.handshake,
        "connection": prices.connection,
        "probe": prices.probe,
        "peer": prices.peer,
        "discovery": prices.discovery,
    }
