"""How the subset follows the load."""

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


def test_subset_widens_under_load_and_narrows_when_quiet():
    d = Driver(servers=40, replica_count=40)
    d.balancer.admission.limit = 99.0
    least = len(d.balancer.members.subset)
    assert least < 40
    sent = []
    for _ in range(60):
        d.run_to(d.now + 600_000 // 10)
        sent += [a for a in d.send_request() if isinstance(a, SendAttempt)]
    wide = len(d.balancer.members.subset)
    assert wide > least
    for send in sent:
        d.end_attempt(send, AttemptResult.OK)
    d.serve(40, gap=600_000)
    assert len(d.balancer.members.subset) < wide


@pytest.mark.parametrize("pieces", [1, 4])
def test_new_servers_are_in_as_many_copies_subsets_as_old_ones(pieces):
    """Zone day at 200 nodes.

    Of 67 servers 20 that were back got a tenth of their part for seconds.
    """
    counts = {"old": 0, "new": 0}
    for seed in range(150):
        d = Driver(servers=40, seed=seed, replica_count=40)
        d.serve(3)
        new = [Endpoint(f"n{i}") for i in range(20)]
        for n in range(pieces):
            part = new[n * 20 // pieces : (n + 1) * 20 // pieces]
            d.feed(EndpointListReceived(part, complete=False, more_follow=n + 1 < pieces))
        for s in d.balancer.members.subset.items(with_inactive=True):
            counts["new" if s.id[0] == "n" else "old"] += 1
    assert 0.8 < counts["new"] / 20 / (counts["old"] / 40) < 1.25
