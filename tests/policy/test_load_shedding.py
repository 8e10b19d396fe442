"""When a client that was rejected may come again."""

import pytest
from driver import Driver, overload

from oakbridge.policy.actions import (
    RejectRequest,
)
from oakbridge.policy.timers import SECOND_US as SECOND


@pytest.mark.parametrize(("most", "tier"), [(0, 0), (SECOND, 0), (SECOND, 1)])
def test_refusal_says_when_to_come_back_where_clients_may_be_told(most, tier):
    d = Driver(servers=2, max_retry_after=most, tier=tier, tier_count=2)
    overload(d, 600, 2_000)
    d.run_to(d.now + 5 * SECOND)
    advice = [a.retry_after for a in d.actions_of(RejectRequest)]
    assert advice
    if most and not tier:
        assert all(0 < x <= most for x in advice)
        assert len(set(advice)) > len(advice) // 4  # not all at once
    else:
        assert set(advice) == {0}
