"""The workers and the queue of a stand-in server."""

from oakbridge.lab.server_queue import ServerQueue

S = 1_000_000


def test_a_server_works_queues_and_rejects(plan):
    servers = plan.servers.model_copy(
        update={"workers": 2, "queue": 2, "cold": 0.25, "cold_for": 4 * S}
    )
    queue: ServerQueue[str] = ServerQueue(servers, 1.0, "seed")
    came = [queue.add(job, 0.0) for job in "abcde"]
    assert [t if t is None else bool(t) for t in came] == [True, True, False, False, None]
    job, takes = queue.complete(1.0, lambda waited: waited == "c")
    assert job == "d"
    assert takes > 0
    assert queue.complete(1.0, lambda _: False) is None
    queue.cold_since_s = 10.0
    assert [queue.warmth(at) for at in (10.0, 12.0, 14.0, 99.0)] == [0.25, 0.625, 1.0, 1.0]
