"""What a module learned, as plain values, for the process that takes over: written by one copy, read by the next.

No decision is made here.  Both copies are one node: what the next one is given to spend, the first one gives up.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Any

from oakbridge.policy.balancer import Balancer, Latency
from oakbridge.policy.membership import Server

Saved = dict[str, Any]

_SERVER = ("started", "place", "score", "scored_at", "ejected_until", "eject_for", "last_sent", "answered", "tokens",
           "tokens_at", "slowness", "paced", "queued", "reported")  # fmt: skip
_ADMISSION = ("limit", "credit", "counted", "carried", "slower", "usual", "window", "flow")
_COPY = ("failed_lately", "carried", "best")


def save(b: Balancer, now: int) -> Saved:
    """All that was learned; half of the retries that are left go along and are given up here.

    The one who saves goes on with what it has out.  It gives up all of its part in cold servers, as the next copy has
    the whole node's part of them.
    """
    half = max(0.0, b.budget.left(now) / 2)
    b.budget.slots[-1][1][1] += half
    b.budget.retries += half
    servers = {}
    for s in b.servers.values():
        servers[s.id] = [*(getattr(s, name) for name in _SERVER), s.cap if s.cap < math.inf else None,
                         s.side is b.subset]  # fmt: skip
        s.tokens = 0.0
    b.retired = True
    return {
        "servers": servers,
        "latency": {n: [x.mean, x.dev, x.least, x.count] for n, x in b.latency.items()},
        "admission": [getattr(b.admission, name) for name in _ADMISSION],
        "due": b.admission.due,
        "rate": b.health.rate,
        "copy": [getattr(b, name) for name in _COPY],
        "slots": [list(slot) for slot in b.budget.slots],
    }


def restore(b: Balancer, saved: Saved, now: int) -> None:
    """Go on from what another copy learned; servers that are not listed, or have restarted, are passed over.

    Raises KeyError, TypeError or ValueError for what no copy of this version saved; then nothing has changed.
    """
    latency = {name: _latency(values) for name, values in saved["latency"].items() if name in b.latency}
    admission = dict(zip(_ADMISSION, map(float, saved["admission"]), strict=True))
    copy = dict(zip(_COPY, map(float, saved["copy"]), strict=True))
    slots = [(int(at), [float(x) for x in counts], dict(tenants)) for at, counts, tenants in saved["slots"]]
    rate, due = float(saved["rate"]), {n: float(at) for n, at in saved["due"].items() if n in b.admission.due}
    records = [(b.servers[i], values) for i, values in saved["servers"].items() if i in b.servers]
    for _, values in records:
        if len(values) != len(_SERVER) + 2:
            raise ValueError("expected a server's record")
    for server, values in records:
        _restore_server(b, server, values, now)
    b.latency.update(latency)
    b.mean = sum(x.mean for x in b.latency.values()) / len(b.latency)
    for name, value in admission.items():
        setattr(b.admission, name, int(value) if name in ("counted", "window") else value)
    b.admission.due.update(due)
    b.health.rate = rate
    for name, value in copy.items():
        setattr(b, name, value)
    b.reviewed = now
    b.must_ask = False  # the watch goes on where the other copy's is
    budget = b.budget
    budget.slots = deque(slots)
    budget.firsts = sum(counts[0] for _, counts, _ in slots)
    budget.retries = sum(counts[1] for _, counts, _ in slots)
    budget.by_tenant = {}
    for _, _, tenants in slots:
        for name, held in tenants.items():
            budget.by_tenant[name] = budget.by_tenant.get(name, 0.0) + held


def _latency(values: list[float]) -> Latency:
    latency = Latency(0.0)
    latency.mean, latency.dev, latency.least = (float(x) for x in values[:3])
    latency.count = int(values[3])
    return latency


def _restore_server(b: Balancer, server: Server, values: list[Any], now: int) -> None:
    *facts, cap, member = values
    if facts[:2] != [server.started, server.place]:
        return  # it has restarted since, or moved: a clean record is right
    for name, value in zip(_SERVER, facts, strict=True):
        setattr(server, name, value)
    server.cap = math.inf if cap is None else float(cap)
    if member != (server.side is b.subset):
        b.members.move(server, b.subset if member else b.spare, now)
    b.members.judged(server, now)
