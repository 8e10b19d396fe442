"""Encode the state of a node's discovery client as JSON, for ``status``."""

from __future__ import annotations

from oakbridge.control.protocol import JsonObject
from oakbridge.node.discovery_client import DiscoveryStatus


def encode_discovery_status(status: DiscoveryStatus) -> JsonObject:
    """Return the JSON form; times are in seconds, null where the node has none yet."""
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
