"""One worker's limits; those of all workers add up to the node's.  No I/O."""

from __future__ import annotations

from dataclasses import replace

from oakbridge.node.config import Config
from oakbridge.policy.settings import Settings
from oakbridge.workers.errors import WorkerLimitsError

MIN_SOCKETS_PER_WORKER = 128  # the smallest number of descriptors that a node works with
MAX_WORKERS = 64


def worker_name(node_name: str, worker: int) -> str:
    """Return a worker's name in logs and in ``oakbridge status``; workers are numbered from 1."""
    return f"{node_name}.{worker}"


def worker_config(config: Config, worker: int, worker_count: int) -> Config:
    """Return the configuration of one worker of a node.

    Raises WorkerLimitsError if ``worker_count`` is out of range or the node has too few sockets for
    that number of workers.
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

    A worker is a replica of the tier like any other: subsets, minimum limits, slow start and
    tenants' quotas all follow from the number of replicas.  Settings that hold for one process are
    divided among the workers: the limit of open requests and the floor of the retry budget.  The
    budget's ratio needs no division, because it applies to a worker's own traffic.
    """
    max_open_requests = settings.max_open_requests  # 0: no limit
    if max_open_requests:
        max_open_requests = max(1, max_open_requests // worker_count)
    return replace(
        settings,
        replica_count=settings.replica_count * worker_count,
        retry_floor=settings.retry_floor / worker_count,
        max_open_requests=max_open_requests,
    )
