"""Tests of the size and the members of the subset."""

import pytest
from driver import Driver

from oakbridge.policy.actions import (
    SendAttempt,
)
from oakbridge.policy.events import (
    AttemptResult,
    Endpoint,
    EndpointListReceived,
)


def test_the_subset_widens_under_load_and_narrows_without_it():
    driver = Driver(servers=40, replica_count=40)
    driver.balancer.admission.limit = 99.0
    min_size = len(driver.balancer.members.subset)
    assert min_size < 40
    sent = []
    for _ in range(60):
        driver.run_to(driver.now + 600_000 // 10)
        sent += [action for action in driver.send_request() if isinstance(action, SendAttempt)]
    wide_size = len(driver.balancer.members.subset)
    assert wide_size > min_size
    for send in sent:
        driver.end_attempt(send, AttemptResult.OK)
    driver.serve(40, gap=600_000)
    assert len(driver.balancer.members.subset) < wide_size


@pytest.mark.parametrize("batches", [1, 4])
def test_new_servers_are_in_as_many_subsets_as_old_ones(batches):
    """Guards against servers that get few requests after their return.

    With 67 servers and 200 nodes, 20 that came back got a tenth of their share for seconds.
    """
    counts = {"old": 0, "new": 0}
    for seed in range(150):
        driver = Driver(servers=40, seed=seed, replica_count=40)
        driver.serve(3)
        new = [Endpoint(f"n{i}") for i in range(20)]
        for n in range(batches):
            part = new[n * 20 // batches : (n + 1) * 20 // batches]
            driver.feed(EndpointListReceived(part, complete=False, more_follow=n + 1 < batches))
        for server in driver.balancer.members.subset.items(with_inactive=True):
            counts["new" if server.id[0] == "n" else "old"] += 1
    assert 0.8 < counts["new"] / 20 / (counts["old"] / 40) < 1.25
