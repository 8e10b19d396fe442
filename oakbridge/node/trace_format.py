"""The names in a trace's lines: the one place that maps the code's terms to them.

``benchmarks/fleet_day.py`` and readers of old logs go by these names; they stay when the code's terms change.
"""

from __future__ import annotations

from typing import Any

from oakbridge.policy import vocabulary as api

MARK = "trace "  # what a line begins with

ACTION_NAMES: dict[type[Any], str] = {
    api.Refuse: "refuse",
    api.Fail: "fail",
    api.Cancel: "cancel",
    api.SetTimer: "settimer",
    api.Watch: "watch",
}

RESULT_NAMES: dict[api.Result, str] = {
    api.Result.OK: "ok",
    api.Result.ERROR: "error",
    api.Result.FULL: "full",
    api.Result.TIMEOUT: "timeout",
    api.Result.CONNECT_FAILED: "connect_failed",
    api.Result.RESET: "reset",
    api.Result.CANCELLED: "cancelled",
    api.Result.NOT_SENT: "not_sent",
}


def action_name(action: api.Action) -> str:
    """Return what an action is counted as."""
    kind = type(action)
    return ACTION_NAMES.get(kind) or kind.__name__.lower()


def encode_settings(settings: api.Settings) -> dict[str, Any]:
    """Return the settings as a trace's first line has them."""
    return {
        "classes": [_encode_class(one) for one in settings.classes],
        "tenants": [
            {"name": tenant.name, "quota_per_s": tenant.quota_per_s, "share": tenant.share}
            for tenant in settings.tenants
        ],
        "instances": settings.instances,
        "me": settings.me,
        "tier": settings.tier,
        "tiers": settings.tiers,
        "zone": settings.zone,
        "zones": settings.zones,
        "tick": settings.tick,
        "max_attempts": settings.max_attempts,
        "cancel": settings.cancel,
        "second_copies": settings.second_copies,
        "probes": settings.probes,
        "peers": settings.peers,
        "max_retry_after": settings.max_retry_after,
        "must_ask": settings.must_ask,
        "ask_within": settings.ask_within,
        "size_source": settings.size_source,
        "passes_deadline": settings.passes_deadline,
        "answer_slack": settings.answer_slack,
        "drain_grace": settings.drain_grace,
        "cold_from": settings.cold_from,
        "warm_up": settings.warm_up,
        "fall_multiple": settings.fall_multiple,
        "fall_window": settings.fall_window,
        "over_share_worth": settings.over_share_worth,
        "goal": _encode_goal(settings.goal),
        "prices": _encode_prices(settings.prices),
        "report_source": settings.report_source,
        "report_names": settings.report_names,
        "marks_repeats": settings.marks_repeats,
        "keys_stay_warm": settings.keys_stay_warm,
        "worth_by_work": settings.worth_by_work,
        "connection_idle": settings.connection_idle,
        "connect_timeout": settings.connect_timeout,
        "streams_per_connection": settings.streams_per_connection,
        "max_open": settings.max_open,
        "cpu_per_second": settings.cpu_per_second,
        "cpu_per_request": settings.cpu_per_request,
        "one_version": settings.one_version,
        "retry_ratio": settings.retry_ratio,
        "retry_floor": settings.retry_floor,
        "retry_window": settings.retry_window,
    }


def _encode_class(given: api.RequestClass) -> dict[str, Any]:
    return {
        "name": given.name,
        "aim": given.aim,
        "deadline": given.deadline,
        "worth": given.worth,
        "late_worth": given.late_worth,
        "repeat": given.repeat,
        "group": given.group,
        "repeat_window": given.repeat_window,
        "streamed": given.streamed,
        "aim_stretch": given.aim_stretch,
    }


def _encode_goal(goal: api.Goal) -> dict[str, float]:
    return {
        "whole": goal.whole,
        "worst_window": goal.worst_window,
        "worst_class": goal.worst_class,
        "worst_tenant": goal.worst_tenant,
        "nines": goal.nines,
        "nines_full": goal.nines_full,
    }


def _encode_prices(prices: api.Prices) -> dict[str, float]:
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
