"""The schema of ``status``: the fields that a node reports, and their JSON."""

from __future__ import annotations

from dataclasses import dataclass

from oakbridge.control.protocol import JsonObject
from oakbridge.node.address import Address
from oakbridge.policy.view import BalancerView, ServerView


@dataclass(frozen=True, slots=True)
class ResponseCounts:
    """The numbers of responses to clients since the start of the process, by kind."""

    served: int
    rejected: int
    failed: int


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """The status of one node process."""

    name: str
    pid: int
    version: str
    config_digest: str  # the digest of the configuration that the process was started with
    uptime_s: float
    listen_addresses: tuple[Address, ...]
    is_ready: bool
    is_shutting_down: bool
    client_connections: int
    server_connections: int
    responses: ResponseCounts
    balancer: BalancerView
    server_source: JsonObject


def encode_status(status: NodeStatus) -> JsonObject:
    """Return the JSON form.  Other programs read it, so names and their order must not change."""
    return {
        "name": status.name,
        "pid": status.pid,
        "version": status.version,
        "config_digest": status.config_digest,
        "uptime_s": status.uptime_s,
        "listen": [f"{host}:{port}" for host, port in status.listen_addresses],
        "ready": status.is_ready,
        "leaving": status.is_shutting_down,
        "callers": status.client_connections,
        "connections": status.server_connections,
        "answers": _encode_responses(status.responses),
        **_encode_balancer(status.balancer),
        "source": status.server_source,
        "rows": [_encode_server(server) for server in status.balancer.rows],
    }


def _encode_responses(responses: ResponseCounts) -> JsonObject:
    return {"served": responses.served, "refused": responses.rejected, "failed": responses.failed}


def _encode_balancer(balancer: BalancerView) -> JsonObject:
    """Return the balancer's fields, without its servers."""
    return {
        "list_version": balancer.list_version,
        "servers": balancer.servers,
        "subset": balancer.subset_size,
        "ejected": balancer.ejected,
        "out": balancer.in_flight,
        "limit": balancer.limit,
        "waiting": balancer.waiting,
        "open_requests": balancer.open_requests,
        "retries_left": balancer.retries_left,
        "attempts_per_s": balancer.attempts_per_s,
        "fail_rate": balancer.failure_rate,
    }


def _encode_server(server: ServerView) -> JsonObject:
    return {
        "name": server.name,
        "state": server.state,
        "zone": server.zone,
        "address": server.address,
        "subset": server.is_in_subset,
        "out": server.in_flight,
        "ejected_for": server.ejected_for_s,
        "warmth": server.capacity_share,
        "slowness": server.slowness,
        "cap": server.max_in_flight,
        "since_version": server.since_version,
    }
