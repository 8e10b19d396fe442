"""The merging of the workers' statuses into one."""

import pytest

from oakbridge.workers.status import WorkerUnavailable, merge_status


def server_row(in_flight, state):
    return {
        "name": "s",
        "state": state,
        "out": in_flight,
        "subset": True,
        "ejected_for": 0.0,
        "warmth": 1.0,
        "slowness": 1.0,
    }


def worker_status(worker, in_flight, state="up", *, ready=True):
    return {
        "pid": worker,
        "uptime_s": 1.0,
        "ready": ready,
        "leaving": False,
        "callers": 2,
        "connections": 3,
        "out": in_flight,
        "limit": 10.0,
        "waiting": 1,
        "open_requests": 4,
        "retries_left": 1.5,
        "attempts_per_s": 5.0 * worker,
        "fail_rate": 0.1 * worker,
        "servers": 1,
        "subset": 1,
        "ejected": 0,
        "list_version": worker,
        "answers": {"served": 10, "refused": 1, "failed": 0},
        "rows": [server_row(in_flight, state)],
        "source": {"kind": "file"},
    }


def test_workers_statuses_are_merged_into_one():
    workers = {
        1: worker_status(1, 2),
        2: worker_status(2, 3, "ejected", ready=False),
        3: WorkerUnavailable("waiting: no node answers there"),
    }
    merged = merge_status({"name": "n", "pid": 99}, workers, 10)
    assert (merged["name"], merged["pid"]) == ("n", 99)
    assert (merged["out"], merged["callers"], merged["limit"]) == (5, 4, 20.0)
    assert merged["answers"]["served"] == 20
    assert merged["ready"]
    assert not merged["leaving"]
    assert merged["fail_rate"] == pytest.approx((0.1 * 5 + 0.2 * 10) / 15, abs=1e-3)
    assert merged["rows"][0]["out"] == 5
    assert merged["rows"][0]["state"] == "ejected"
    assert merged["workers"][2] == {"worker": 3, "problem": "waiting: no node answers there"}
    without_workers = merge_status({"name": "n"}, {1: WorkerUnavailable("exit code 1")}, 10)
    assert without_workers["ready"] is False


def test_field_that_only_workers_of_a_newer_version_know_is_passed_on():
    newer_status = worker_status(1, 2) | {"new_field": 7}
    assert merge_status({"name": "n"}, {1: newer_status}, 10)["new_field"] == 7
