"""The workers and the queue of a stand-in server."""

from oakbridge.lab.server_queue import ServerQueue

S = 1_000_000


def test_server_processes_queues_and_rejects_jobs(plan):
    servers = plan.servers.model_copy(
        update={"workers": 2, "queue": 2, "cold": 0.25, "cold_for": 4 * S}
    )
    queue: ServerQueue[str] = ServerQueue(servers, 1.0, "seed")
    work_times = [queue.add(job, 0.0) for job in "abcde"]
    assert [work_s if work_s is None else bool(work_s) for work_s in work_times] == [
        True,
        True,
        False,
        False,
        None,
    ]
    job, next_work_s = queue.complete(1.0, lambda waiting: waiting == "c")
    assert job == "d"
    assert next_work_s > 0
    assert queue.complete(1.0, lambda _: False) is None
    queue.cold_since_s = 10.0
    assert [queue.warmth(now_s) for now_s in (10.0, 12.0, 14.0, 99.0)] == [0.25, 0.625, 1.0, 1.0]
