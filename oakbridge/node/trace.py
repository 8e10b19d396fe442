"""Logs one line per second with counts of the node's activity.

A node imports this module only if ``OAKBRIDGE_TRACE`` is set, and uses it as its observer.
``benchmarks/fleet_day.py`` sums the lines of all nodes of a fleet.
"""

from __future__ import annotations

import json
import logging
import time
from collections import Counter
from collections.abc import Sequence
from typing import Any

from oakbridge.node.node import Node
from oakbridge.node.trace_format import LINE_PREFIX, RESULT_NAMES, action_name, encode_settings
from oakbridge.policy.actions import Action, SendAttempt
from oakbridge.policy.events import (
    AttemptEnded,
    AttemptResult,
    EndpointListReceived,
    Event,
    RequestReceived,
)

log = logging.getLogger(__name__)

INTERVAL_US = 1_000_000  # between two lines


class Trace:
    """Counts the events and actions of the balancer, and logs the counts once per second."""

    def __init__(self, node: Node) -> None:
        """Log the first two lines; the caller sets this object as the node's observer."""
        self.node = node
        self.counts: Counter[str] = Counter()  # since the last line
        self.results: dict[str, Counter[str]] = {}  # number of attempts by server and result
        self.last_list_at = node.clock.now()  # microseconds of the node's clock
        self._cpu_s = time.process_time()
        now = node.clock.now()
        self._write({"start": node.config.name, "at": now, **encode_settings(node.settings)})
        self._write_interval()

    # ---- callbacks of the observer

    def on_event(self, now: int, event: Event) -> None:
        """Count requests, results of attempts, and endpoint lists."""
        match event:
            case RequestReceived():
                self.counts["taken"] += 1
            case AttemptEnded():
                self.counts["served"] += event.request_finished and event.result == AttemptResult.OK
                self._count_result(event.server, RESULT_NAMES[event.result])
            case EndpointListReceived():
                self.counts["lists_lost"] += event.failed
                if not event.failed and not event.cached:
                    self.counts["lists"] += 1
                    self.last_list_at = now

    def on_actions(self, now: int, actions: Sequence[Action]) -> None:
        """Count attempts, and all other actions by type."""
        for action in actions:
            if isinstance(action, SendAttempt):
                self._count_attempt(action, now)
            else:
                self.counts[action_name(action)] += 1

    def on_connection_opened(self) -> None:
        """Count a connection attempt to a server."""
        self.counts["opened"] += 1

    def on_connection_refused(self) -> None:
        """Count a failed connection attempt to a server."""
        self.counts["refused_connections"] += 1

    def on_poll(self, *, complete_list: bool) -> None:
        """Count a discovery request."""
        self.counts["asked_whole" if complete_list else "asked_changes"] += 1

    def on_endpoint_list(self, entry_count: int) -> None:
        """Count the entries of an endpoint list."""
        self.counts["list_lines"] += entry_count

    def _count_attempt(self, action: SendAttempt, now: int) -> None:
        """Count an attempt.

        The same event may have finished its request or removed its server from the list.
        """
        balancer = self.node.balancer
        request, server = (
            balancer.requests.get(action.request_id),
            balancer.endpoints.known.get(action.server),
        )
        self.counts["sent"] += 1
        self.counts["again"] += request is not None and len(request.attempts) > 1
        if server is not None and balancer.slow_start.capacity_share(server, now) < 1:
            self.counts["cold"] += 1
            self._count_result(server.id, "cold")

    def _count_result(self, server: str, name: str) -> None:
        self.results.setdefault(server, Counter())[name] += 1

    # ---- the lines

    @staticmethod
    def _write(line: dict[str, Any]) -> None:
        log.info("%s%s", LINE_PREFIX, json.dumps(line, separators=(",", ":")))

    def _write_interval(self) -> None:
        """Log the counts, reset them, and set the timer for the next line."""
        now, cpu_s = self.node.clock.now(), time.process_time()
        self._write(self._line(now, cpu_s - self._cpu_s))
        self.counts.clear()
        self.results.clear()
        self._cpu_s = cpu_s
        self.node.clock.call_at(now + INTERVAL_US, self._write_interval)

    def _line(self, now: int, cpu_s: float) -> dict[str, Any]:
        node, balancer = self.node, self.node.balancer
        admission = balancer.admission
        return {
            "node": node.config.name,
            "tier": node.settings.tier,
            "at": now,
            **{name: count for name, count in self.counts.items() if count},
            "limit": round(admission.limit, 2),
            "flow": round(admission.capacity, 2),
            "out": admission.in_flight,
            "waiting": admission.waiting.count,
            "credit": round(admission.credit, 2),
            "open": len(balancer.requests),
            "servers": len(balancer.servers),
            "subset": len(balancer.members.subset),
            "version": balancer.members.version,
            "ejected": [s.id for s in balancer.servers.values() if s.ejected_until > now],
            "list_age": round((now - self.last_list_at) / 1e6, 2),
            "retries_left": round(balancer.budget.left(now), 2),
            "slower": round(admission.latency_ratio, 2),
            "rate": round(balancer.outliers.failure_rate, 3),
            "processor": round(cpu_s, 4),
            "known": len(balancer.endpoints.known),
            "connections": node.pool.connection_count,
            "idle": {name: len(s.idle) for name, s in node.pool.servers.items() if s.idle},
            "outs": {
                s.id: len(s.in_flight) for s in balancer.endpoints.known.values() if s.in_flight
            },
            "ends": self.results,
        }
