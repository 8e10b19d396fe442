"""Execute the control socket's commands on all workers of a supervisor."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Sequence
from pathlib import Path

from oakbridge import __version__
from oakbridge.control.arguments import DEFAULT_STATUS_ROWS
from oakbridge.control.client import ControlClient
from oakbridge.control.errors import NodeUnreachableError, RequestRejectedError
from oakbridge.control.paths import worker_socket_path
from oakbridge.control.peers import PeerDirectory, handle_peer_request
from oakbridge.control.protocol import PEER_COMMANDS, ControlCommand, JsonObject, Request
from oakbridge.node.address import Address
from oakbridge.workers.connection_balancer import ConnectionBalancer
from oakbridge.workers.pool import WorkerPool
from oakbridge.workers.status import WorkerUnavailable, merge_status

WORKER_TIMEOUT_S = 2.0  # for each system call on a worker's control socket


class WorkersControlHandler:
    """Handles the requests to a node of several workers."""

    def __init__(
        self,
        name: str,
        addresses: Sequence[Address],
        socket_path: Path,
        pool: WorkerPool,
        balancer: ConnectionBalancer,
        peers: PeerDirectory | None,
        *,
        started_at_s: float,
    ) -> None:
        """``socket_path``: of the node's control socket; the workers' sockets are beside it.

        ``peers``: None if the configuration has no [peers].  ``started_at_s``: when the supervisor
        started, in seconds of ``time.monotonic``.
        """
        self._name = name
        self._addresses = addresses
        self._socket_path = socket_path
        self._pool = pool
        self._balancer = balancer
        self._peers = peers
        self._started_at_s = started_at_s

    async def handle(self, request: Request) -> JsonObject:
        """Have all workers execute a request, and return one result.

        Raises RequestRejectedError or ValueError with the reason.
        """
        if request.command in PEER_COMMANDS:  # the supervisor is the member, for all workers
            return handle_peer_request(self._peers, request)
        results = await self._request_all(request)
        if request.command is ControlCommand.STATUS:
            # Each worker checks the argument; one that rejects it gives the reason in its entry.
            max_rows = int(request.arguments.get("rows", DEFAULT_STATUS_ROWS))
            return merge_status(self._describe_supervisor(), results, max_rows)
        return _agreed_result(results)

    async def _request_all(self, request: Request) -> dict[int, JsonObject | WorkerUnavailable]:
        workers = list(self._pool.processes)
        results = await asyncio.gather(
            *(asyncio.to_thread(self._request, worker, request) for worker in workers)
        )
        return dict(zip(workers, results, strict=True))

    def _request(self, worker: int, request: Request) -> JsonObject | WorkerUnavailable:
        """Send a request to a worker and return its result; blocks until the response arrives."""
        path = worker_socket_path(self._socket_path, worker)
        try:
            with ControlClient(path, WORKER_TIMEOUT_S) as client:
                result: JsonObject = client.request(request.command, **request.arguments)
        except (NodeUnreachableError, RequestRejectedError) as error:
            process = self._pool.processes[worker]
            last_exit = f"; ended last: {process.last_exit}" if process.last_exit else ""
            return WorkerUnavailable(f"{process.state.value}: {error}{last_exit}")
        return result

    def _describe_supervisor(self) -> JsonObject:
        processes = self._pool.processes
        return {
            "name": self._name,
            "pid": os.getpid(),
            "version": __version__,
            "uptime_s": round(time.monotonic() - self._started_at_s, 1),
            "listen": [f"{host}:{port}" for host, port in self._addresses],
            "handed": self._balancer.connection_counts(),
            "crashes": {worker: process.total_crashes for worker, process in processes.items()},
        }


def _agreed_result(results: dict[int, JsonObject | WorkerUnavailable]) -> JsonObject:
    """Return the first worker's result.  Raises RequestRejectedError if any worker has none."""
    unavailable = [
        f"worker {worker}: {result.reason}"
        for worker, result in results.items()
        if isinstance(result, WorkerUnavailable)
    ]
    if unavailable:
        raise RequestRejectedError("; ".join(unavailable))
    first_result = next(iter(results.values()))
    assert not isinstance(first_result, WorkerUnavailable)
    return first_result
