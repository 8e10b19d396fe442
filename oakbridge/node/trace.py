"""What one node did in each second, as one line of its log: for counting across a whole fleet.

A node loads this only where ``OAKBRIDGE_TRACE`` is set.  It puts itself round the node's own parts, so that where it
is off nothing is counted and nothing is asked.  ``benchmarks/fleet_day.py`` adds the lines of all nodes up.
"""

from __future__ import annotations

import json
import logging
import time
from collections import Counter
from dataclasses import asdict
from typing import Any

from oakbridge.node.attempt import Attempt
from oakbridge.node.connection_pool import Target
from oakbridge.node.discovery import Discovery
from oakbridge.node.listing import Listing
from oakbridge.node.node import Node
from oakbridge.node.server_connection import Connection
from oakbridge.policy import vocabulary as api

log = logging.getLogger(__name__)

EVERY = 1_000_000  # microseconds between two lines
MARK = "trace "  # what a line begins with


class Trace:
    """Counts what passes between the module and the sockets, and writes it down once a second."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.counts: Counter[str] = Counter()  # since the last line
        self.ends: dict[str, Counter[str]] = {}  # attempts by server, then by result
        self.listed_at = node.clock.now()
        self._processor = time.process_time()
        self._wrap_module()
        self._wrap_pool()
        if isinstance(node.source, Discovery):
            self._wrap_discovery(node.source)
        self._write({"start": node.config.name, "at": node.clock.now(), **asdict(node.settings)})
        self._again()

    @staticmethod
    def _write(line: dict[str, Any]) -> None:
        log.info("%s%s", MARK, json.dumps(line, separators=(",", ":")))

    def _wrap_module(self) -> None:
        handle, counts = self.node.balancer.handle, self.counts

        def counted(now: int, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.Request):
                counts["taken"] += 1
            elif isinstance(event, api.AttemptEnded):
                counts["served"] += event.finished and event.result == api.Result.OK
                self.ends.setdefault(event.server, Counter())[event.result.name.lower()] += 1
            elif isinstance(event, api.ServerList):
                self._listed(now, event)
            actions = handle(now, event)
            for action in actions:
                if isinstance(action, api.Send):
                    self._sent(action, now)
                else:
                    counts[type(action).__name__.lower()] += 1
            return actions

        self.node.balancer.handle = counted  # type: ignore[method-assign]

    def _sent(self, action: api.Send, now: int) -> None:
        """The call may be over, or the server gone, by the same event: counting must not depend on either."""
        balancer = self.node.balancer
        call, server = balancer.calls.get(action.request), balancer.known.get(action.server)
        self.counts["sent"] += 1
        self.counts["again"] += call is not None and len(call.attempts) > 1
        if server is not None and balancer.warmth(server, now) < 1:
            self.counts["cold"] += 1
            self.ends.setdefault(server.id, Counter())["cold"] += 1

    def _listed(self, now: int, event: api.ServerList) -> None:
        self.counts["lists_lost"] += event.lost
        if not event.lost and not event.saved:
            self.counts["lists"] += 1
            self.listed_at = now

    def _wrap_pool(self) -> None:
        pool = self.node.pool
        opened, counts = pool._open, self.counts

        def open_one(target: Target, attempt: Attempt) -> None:
            counts["opened"] += 1
            opened(target, attempt)

        pool._open = open_one  # type: ignore[method-assign]
        done = Connection._connect_done

        def connect_done(connection: Connection) -> None:
            done(connection)
            counts["refused_connections"] += connection.closed and not connection.connected

        Connection._connect_done = connect_done  # type: ignore[assignment, method-assign]

    def _wrap_discovery(self, source: Discovery) -> None:
        ask, counts = source._ask, self.counts

        async def asked(path: str, wait: float) -> Listing:
            counts["asked_changes" if "?" in path else "asked_whole"] += 1
            listing = await ask(path, wait)
            counts["list_lines"] += len(listing.entries)
            return listing

        source._ask = asked  # type: ignore[method-assign]

    def _again(self) -> None:
        now, spent = self.node.clock.now(), time.process_time()
        self._write(self._line(now, spent - self._processor))
        self.counts.clear()
        self.ends.clear()
        self._processor = spent
        self.node.clock.call_at(now + EVERY, self._again)

    def _line(self, now: int, processor: float) -> dict[str, Any]:
        node, balancer = self.node, self.node.balancer
        admission = balancer.admission
        return {
            "node": node.config.name, "tier": node.settings.tier, "at": now,
            **{name: count for name, count in self.counts.items() if count},
            "limit": round(admission.limit, 2), "flow": round(admission.flow, 2), "out": admission.out,
            "waiting": admission.waiting, "credit": round(admission.credit, 2), "open": len(balancer.calls),
            "servers": len(balancer.servers), "subset": len(balancer.subset), "version": balancer.version,
            "ejected": [s.id for s in balancer.servers.values() if s.ejected_until > now],
            "list_age": round((now - self.listed_at) / 1e6, 2),
            "retries_left": round(balancer.budget.left(now), 2), "slower": round(admission.slower, 2),
            "rate": round(balancer.health.rate, 3), "processor": round(processor, 4),
            "known": len(balancer.known), "connections": node.pool.count,
            "idle": {name: len(t.idle) for name, t in node.pool.targets.items() if t.idle},
            "outs": {s.id: len(s.out) for s in balancer.known.values() if s.out}, "ends": self.ends,
        }  # fmt: skip
