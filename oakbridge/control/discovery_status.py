"""The JSON of what a node knows of discovery, in ``status``."""

from __future__ import annotations

from oakbridge.control.protocol import JsonObject
from oakbridge.node.discovery_client import DiscoveryStatus


def encode_discovery_status(status: DiscoveryStatus) -> JsonObject:
    """Return the JSON form; times in seconds, null where there are none."""
    host, port = status.address
    return {
        "kind": "discovery",
        "address": f"{host}:{port}",
        "version": status.version,
        "age_s": _rounded(status.list_age_s),
        "due_in_s": _rounded(status.due_in_s),
        "calls": status.open_requests,
        "last_failure": status.last_failure,
        "last_failure_age_s": _rounded(status.last_failure_age_s),
    }


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
