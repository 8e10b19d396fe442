"""The limits of one worker, which add up to those of its node over all workers.  No I/O."""

from __future__ import annotations

from dataclasses import replace

from oakbridge.node.config import Config
from oakbridge.policy.settings import Settings
from oakbridge.workers.errors import WorkerLimitsError

MIN_SOCKETS_PER_WORKER = 128  # a node can't do with fewer descriptors
MAX_WORKERS = 64


def worker_name(node_name: str, worker: int) -> str:
    """Return the name of a worker in logs and in ``oakbridge status``; workers count from 1."""
    return f"{node_name}.{worker}"


def worker_config(config: Config, worker: int, worker_count: int) -> Config:
    """Return the configuration of one worker of a node.

    Raises WorkerLimitsError where the node's limits are too small for so many workers.
    """
    if not 1 <= worker <= worker_count <= MAX_WORKERS:
        raise WorkerLimitsError("workers", f"1 to {MAX_WORKERS}", worker_count)
    sockets = config.sockets // worker_count
    if sockets < MIN_SOCKETS_PER_WORKER:
        min_sockets = MIN_SOCKETS_PER_WORKER * worker_count
        expected = f"at least {min_sockets} for {worker_count} workers"
        raise WorkerLimitsError("limits.sockets", expected, config.sockets)
    return replace(
        config,
        name=worker_name(config.name, worker),
        seed=config.seed + worker,
        sockets=sockets,
        settings=_worker_settings(config.settings, worker_count),
    )


def _worker_settings(settings: Settings, worker_count: int) -> Settings:
    """Return the balancer's settings of one worker.

    A worker is a replica of the tier like any other: subsets, least limits, warming servers and
    tenants' quotas all follow from the number of replicas.  What is set for one process is divided:
    open requests and the floor of the retry budget (the budget's ratio follows from a worker's own
    traffic).
    """
    max_open_requests = settings.max_open_requests  # 0: without a limit
    if max_open_requests:
        max_open_requests = max(1, max_open_requests // worker_count)
    return replace(
        settings,
        replica_count=settings.replica_count * worker_count,
        retry_floor=settings.retry_floor / worker_count,
        max_open_requests=max_open_requests,
    )
