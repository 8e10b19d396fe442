"""The choice of the worker that gets the next connection."""

import random

import pytest

from oakbridge.workers.connection_balancer import MAX_UNACKNOWLEDGED, ConnectionBalancer


@pytest.mark.parametrize("connection_count", [3, 8, 10, 257])
def test_connections_are_spread_evenly_with_and_without_late_load_reports(connection_count):
    rng = random.Random(connection_count)
    balancer = ConnectionBalancer()
    open_connections = dict.fromkeys(range(4), 0)
    received = dict.fromkeys(range(4), 0)
    for worker in open_connections:
        balancer.add(worker, 1000)
    for _ in range(connection_count):
        worker = balancer.choose()
        open_connections[worker] += 1
        received[worker] += 1
        if rng.random() < 0.5:
            balancer.report(worker, open_connections[worker], received[worker])
    assert max(open_connections.values()) - min(open_connections.values()) <= 1
    for worker in (0, 0, 1):  # some clients close; the next connection goes to one of their workers
        open_connections[worker] = max(0, open_connections[worker] - 1)
    for worker in open_connections:
        balancer.report(worker, open_connections[worker], received[worker])
    fewest = min(open_connections.values())
    assert open_connections[balancer.choose()] == fewest


def test_frozen_full_or_removed_worker_gets_no_connection():
    balancer = ConnectionBalancer()
    balancer.add(1, 100)
    balancer.add(2, 5)
    chosen = [balancer.choose() for _ in range(200)]
    assert chosen.count(1) == MAX_UNACKNOWLEDGED
    assert chosen.count(2) == 5
    assert not balancer.has_capacity()
    balancer.report(1, 0, 10**6)  # more than were dispatched: the report is ignored
    balancer.report(9, 0, 0)  # an unknown worker: the report is ignored
    assert not balancer.has_capacity()
    balancer.report(1, 3, MAX_UNACKNOWLEDGED)
    assert balancer.choose() == 1
    assert balancer.connection_counts()[1] == 4
    balancer.remove(1)
    assert balancer.choose() is None
    balancer.add(1, 100)
    assert balancer.connection_counts()[1] == 0
    assert balancer.choose() == 1
