"""The longest tests begin first, one on each core: else the last of them runs alone at the end."""

import os
from math import ceil

LONG = (
    "test_nodes_and_agents_frozen", "test_a_thousand_rewrites_under_load", "test_a_network_that_loses_doubles",
    "TestProtocol", "test_a_change_that_has_to_be_halted", "test_frozen_agents_are_unknown",
    "test_two_operators_at_once", "test_killed_before_and_after_every_write", "TestDisk", "TestHost",
    "test_killed_at_each_write", "test_a_change_goes_through",
    "test_a_run_holds_and_leaves_its_tables", "test_all_rules_hold_under_overlapping_faults",
    "test_steps_are_applied_though_the_disks",
)  # fmt: skip


def pytest_collection_modifyitems(items):
    """Each worker begins with an even part of the list, in order; in every worker the order has to be the same."""
    workers = int(os.environ.get("PYTEST_XDIST_WORKER_COUNT", "1"))
    rank = {
        id(item): next((n for n, name in enumerate(LONG) if name in item.nodeid), None)
        for item in items
    }
    long = sorted((i for i in items if rank[id(i)] is not None), key=lambda i: rank[id(i)])
    rest = [i for i in items if rank[id(i)] is None]
    share = max(1, ceil(len(rest) / workers))
    parts = [rest[n * share : (n + 1) * share] for n in range(workers)]
    for number, item in enumerate(long):
        parts[number % workers].insert(number // workers, item)
    items[:] = [item for part in parts for item in part]
