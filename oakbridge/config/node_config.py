"""Map the tables of ``oakbridge.toml`` to a node's configuration and the balancer's settings."""

from __future__ import annotations

import secrets

from oakbridge.config import schema
from oakbridge.node.config import Config
from oakbridge.node.endpoint_list import ListedEndpoint
from oakbridge.policy.events import Endpoint, EndpointState
from oakbridge.policy.settings import (
    Idempotency,
    Prices,
    RequestClass,
    Settings,
    Tenant,
    WeightSource,
)

DRAIN_GRACE_US = 250_000  # time for which sends to a draining or removed server may continue
CROSS_ZONE_PRICE = 0.02  # any price above 0 makes the balancer prefer servers of its own zone
OTHER_ZONE = "any other"  # stands for all zones but the node's own


def node_config(file: schema.ConfigFile) -> Config:
    """Return the node's configuration, with a random seed if the file has none."""
    node = file.node
    first_address, *other_addresses = node.listen
    seed = secrets.randbits(64) if node.seed is None else node.seed
    return Config(
        node.name,
        first_address,
        file.servers.discovery,
        seed,
        file.limits.sockets,
        None,
        balancer_settings(file),
        tuple(other_addresses),
    )


def balancer_settings(file: schema.ConfigFile) -> Settings:
    """Return the balancer's settings; the tick stays at its default of 1 ms."""
    limits, budget, cold_start = file.limits, file.retry_budget, file.cold_start
    zone = file.node.zone
    return Settings(
        classes=tuple(map(_request_class, file.classes)),
        tenants=tuple(Tenant(tenant.name, tenant.quota_per_s) for tenant in file.tenants),
        replica_count=file.node.instances,
        zone=zone,
        zones=(zone, OTHER_ZONE) if zone else (),
        prices=Prices(cross_zone=CROSS_ZONE_PRICE if zone else 0.0),
        max_attempts=limits.attempts,
        cancellation_allowed=True,
        max_retry_after=limits.retry_after,
        weight_source=WeightSource.NOMINAL,
        drain_grace=DRAIN_GRACE_US,
        slow_start_minimum=cold_start.share,
        slow_start_window=cold_start.warm_up,
        overload_factor=cold_start.most,
        overload_window=cold_start.within,
        over_quota_weight=limits.over_quota_worth,
        connection_idle_timeout=limits.connection_idle,
        connect_timeout=limits.connect_timeout,
        max_open_requests=limits.open_requests,
        pin_endpoint_list=True,
        retry_ratio=budget.ratio,
        retry_floor=budget.floor_per_s,
        retry_window=budget.window_s,
    )


def _request_class(table: schema.ClassTable) -> RequestClass:
    return RequestClass(
        table.name,
        table.aim,
        table.deadline,
        table.worth,
        table.late_worth,
        Idempotency(table.repeat),
        table.group,
        table.repeat_window,
    )


def inline_endpoints(file: schema.ConfigFile) -> list[ListedEndpoint]:
    """Return the servers listed in the configuration file itself."""
    return [_listed_endpoint(server) for server in file.servers.inline]


def _listed_endpoint(server: schema.InlineServer) -> ListedEndpoint:
    host, port = server.address
    endpoint = Endpoint(
        server.name,
        EndpointState.UP,
        server.zone,
        server.group,
        server.weight,
        0,
        f"{host}:{port}",
    )
    return ListedEndpoint(endpoint, server.address)
