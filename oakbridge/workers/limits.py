"""What one of several workers may, so that all together may what one node would be allowed.  Pure."""

from __future__ import annotations

from dataclasses import replace

from oakbridge.node.config import Config

LEAST_SOCKETS = 128  # a node can't do with fewer descriptors
MOST_WORKERS = 64


class WorkerLimitsError(ValueError):
    """The limits of the node can't be divided so often; the text says which and why."""


def worker_name(name: str, worker: int) -> str:
    """In logs and in ``oakbridge status``; workers count from 1."""
    return f"{name}.{worker}"


def worker_config(config: Config, worker: int, workers: int) -> Config:
    """The configuration of one worker.  Raises :class:`WorkerLimitsError`.

    A worker is an instance of the tier like any other, so the design's own sums hold: subsets, least limits, cold
    servers' parts and tenants' quotas all go by ``instances``.  What is said for one process is divided: its
    descriptors, its open requests and the floor of its retry budget (the budget's ratio goes by its own traffic).
    """
    if not 1 <= worker <= workers <= MOST_WORKERS:
        raise WorkerLimitsError(f"workers: expected 1 to {MOST_WORKERS}, got {workers}")
    sockets = config.sockets // workers
    if sockets < LEAST_SOCKETS:
        raise WorkerLimitsError(
            f"limits.sockets: expected at least {LEAST_SOCKETS * workers} for {workers} workers, got {config.sockets}"
        )
    s = config.settings
    settings = replace(
        s,
        replica_count=s.replica_count * workers,
        retry_floor=s.retry_floor / workers,
        max_open_requests=max(1, s.max_open_requests // workers) if s.max_open_requests else 0,
    )
    return replace(
        config,
        name=worker_name(config.name, worker),
        seed=config.seed + worker,
        sockets=sockets,
        settings=settings,
    )
