"""One account of all workers, in the form of a single node's, so that whoever reads one reads the other.  Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

Raw = dict[str, Any]

SUMS = (
    "callers",
    "connections",
    "out",
    "limit",
    "waiting",
    "open_requests",
    "retries_left",
    "attempts_per_s",
)
WORST = {"cold": 1, "ejected": 2, "drains": 3}  # a server's state, if workers differ


def merge_status(own: Raw, workers: Mapping[int, Raw | str], rows: int) -> Raw:
    """``own``: name, pid and the like, of the supervisor; each worker's account, or why there is none.

    Counts add up.  A server's row has the calls that all have out to it, and the worst that any believes of it.
    """
    told = {worker: account for worker, account in workers.items() if not isinstance(account, str)}
    accounts = list(told.values())
    merged: Raw = {**(accounts[0] if accounts else {}), **own}
    for name in SUMS:
        merged[name] = round(sum(a[name] for a in accounts), 2)
    merged["answers"] = {
        what: sum(a["answers"][what] for a in accounts) for what in ("served", "refused", "failed")
    }
    for name in ("servers", "subset", "ejected", "list_version"):
        merged[name] = max((a[name] for a in accounts), default=0)
    rates = [(a["fail_rate"], a["attempts_per_s"]) for a in accounts]
    weight = sum(w for _, w in rates)
    merged["fail_rate"] = round(sum(r * w for r, w in rates) / weight, 4) if weight else 0.0
    merged["ready"] = any(a["ready"] for a in accounts)
    merged["leaving"] = bool(accounts) and all(a["leaving"] for a in accounts)
    merged.setdefault("source", {"kind": "unknown"})
    merged["rows"] = _rows(a["rows"] for a in accounts)[:rows]
    merged["workers"] = [_line(worker, account) for worker, account in sorted(workers.items())]
    return merged


def _line(worker: int, account: Raw | str) -> Raw:
    if isinstance(account, str):
        return {"worker": worker, "problem": account}
    keys = ("pid", "uptime_s", "ready", "leaving", "callers", "out", "limit", "waiting", "answers")
    return {"worker": worker, **{key: account[key] for key in keys}}


def _rows(accounts: Iterable[list[Raw]]) -> list[Raw]:
    found: dict[str, Raw] = {}
    for rows in accounts:
        for row in rows:
            known = found.setdefault(row["name"], {**row, "out": 0, "subset": False})
            known["out"] += row["out"]
            known["subset"] = known["subset"] or row["subset"]
            if WORST.get(row["state"], 0) > WORST.get(known["state"], 0):
                known["state"] = row["state"]
            known["ejected_for"] = max(known["ejected_for"], row["ejected_for"])
            known["warmth"] = min(known["warmth"], row["warmth"])
            known["slowness"] = max(known["slowness"], row["slowness"])
    return [found[name] for name in sorted(found)]
