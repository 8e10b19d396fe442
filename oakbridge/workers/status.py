"""Merge the workers' statuses into one, in the form of a single node's status.  No I/O.

The statuses stay JSON objects.  After a rolling restart the workers may run another version of the
program than the supervisor, and a field that only the workers know is passed on unchanged.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from oakbridge.control.protocol import JsonObject

SUMMED_FIELDS = (
    "callers",
    "connections",
    "out",
    "limit",
    "waiting",
    "open_requests",
    "retries_left",
    "attempts_per_s",
)
LARGEST_FIELDS = ("servers", "subset", "ejected", "list_version")
RESPONSE_KINDS = ("served", "refused", "failed")
WORKER_FIELDS = (
    "pid",
    "uptime_s",
    "ready",
    "leaving",
    "callers",
    "out",
    "limit",
    "waiting",
    "answers",
)
# If workers report different states of a server, the merged row has the most severe one.  States
# that are not listed have severity 0.
SERVER_STATE_SEVERITY = {"cold": 1, "ejected": 2, "drains": 3}
SUM_DECIMAL_PLACES = 2
RATE_DECIMAL_PLACES = 4


@dataclass(frozen=True, slots=True)
class WorkerUnavailable:
    """Stands for the result of a worker that returned none."""

    reason: str


def merge_status(
    supervisor: JsonObject, workers: Mapping[int, JsonObject | WorkerUnavailable], max_rows: int
) -> JsonObject:
    """Return the status of all workers in the form of one node's.

    ``supervisor``: fields that replace the workers' own, such as name and pid.  Counts are summed;
    a server's row has the number of attempts that all workers have in flight to it.
    """
    statuses = [status for status in workers.values() if not isinstance(status, WorkerUnavailable)]
    merged: JsonObject = {**(statuses[0] if statuses else {}), **supervisor}
    for field in SUMMED_FIELDS:
        merged[field] = round(sum(status[field] for status in statuses), SUM_DECIMAL_PLACES)
    merged["answers"] = {
        kind: sum(status["answers"][kind] for status in statuses) for kind in RESPONSE_KINDS
    }
    for field in LARGEST_FIELDS:
        merged[field] = max((status[field] for status in statuses), default=0)
    merged["fail_rate"] = _merge_failure_rates(statuses)
    merged["ready"] = any(status["ready"] for status in statuses)
    merged["leaving"] = bool(statuses) and all(status["leaving"] for status in statuses)
    merged.setdefault("source", {"kind": "unknown"})
    merged["rows"] = _merge_rows(status["rows"] for status in statuses)[:max_rows]
    merged["workers"] = [_summarize(worker, status) for worker, status in sorted(workers.items())]
    return merged


def _merge_failure_rates(statuses: Sequence[JsonObject]) -> float:
    """Return the mean of the failure rates, weighted by attempts."""
    attempts = sum(status["attempts_per_s"] for status in statuses)
    if not attempts:
        return 0.0
    failures = sum(status["fail_rate"] * status["attempts_per_s"] for status in statuses)
    return float(round(failures / attempts, RATE_DECIMAL_PLACES))


def _summarize(worker: int, status: JsonObject | WorkerUnavailable) -> JsonObject:
    if isinstance(status, WorkerUnavailable):
        return {"worker": worker, "problem": status.reason}
    return {"worker": worker, **{field: status[field] for field in WORKER_FIELDS}}


def _merge_rows(rows_by_worker: Iterable[list[JsonObject]]) -> list[JsonObject]:
    """Return one row for each server, sorted by name."""
    merged: dict[str, JsonObject] = {}
    for rows in rows_by_worker:
        for row in rows:
            merged_row = merged.setdefault(row["name"], {**row, "out": 0, "subset": False})
            _add_row(merged_row, row)
    return [merged[name] for name in sorted(merged)]


def _add_row(merged: JsonObject, row: JsonObject) -> None:
    merged["out"] += row["out"]
    merged["subset"] = merged["subset"] or row["subset"]
    if _severity(row) > _severity(merged):
        merged["state"] = row["state"]
    merged["ejected_for"] = max(merged["ejected_for"], row["ejected_for"])
    merged["warmth"] = min(merged["warmth"], row["warmth"])
    merged["slowness"] = max(merged["slowness"], row["slowness"])


def _severity(row: JsonObject) -> int:
    return SERVER_STATE_SEVERITY.get(row["state"], 0)
