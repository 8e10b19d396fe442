"""Starts the longest tests first, one per worker; otherwise the last of them would run alone."""

import os
from math import ceil

LONGEST_TESTS = (
    "test_nodes_and_agents_frozen", "test_a_thousand_rewrites_under_load", "test_rollouts_complete_over_a_network",
    "TestProtocol", "test_a_halted_change_is_rolled_back", "test_frozen_agents_are_unknown",
    "test_two_operators_at_once", "test_step_has_the_same_outcome", "TestDisk", "TestHostModel",
    "test_killed_at_each_write", "test_a_valid_change_completes",
    "test_all_checks_of_a_run_hold", "test_all_rules_hold_under_overlapping_faults",
    "test_steps_are_applied_though_the_disks",
)  # fmt: skip


def pytest_collection_modifyitems(items):
    """Distribute the longest tests evenly over the starts of the workers' shares of all tests.

    xdist requires that every worker collects the tests in the same order.
    """
    workers = int(os.environ.get("PYTEST_XDIST_WORKER_COUNT", "1"))
    rank = {
        id(item): next((i for i, name in enumerate(LONGEST_TESTS) if name in item.nodeid), None)
        for item in items
    }
    longest = sorted(
        (item for item in items if rank[id(item)] is not None), key=lambda item: rank[id(item)]
    )
    others = [item for item in items if rank[id(item)] is None]
    share_size = max(1, ceil(len(others) / workers))
    shares = [others[i * share_size : (i + 1) * share_size] for i in range(workers)]
    for i, item in enumerate(longest):
        shares[i % workers].insert(i // workers, item)
    items[:] = [item for share in shares for item in share]
