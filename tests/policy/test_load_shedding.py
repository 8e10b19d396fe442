"""Tests of the Retry-After of rejected requests."""

import pytest
from driver import Driver, overload

from oakbridge.policy.actions import (
    RejectRequest,
)
from oakbridge.policy.timers import SECOND_US as SECOND


@pytest.mark.parametrize(("max_retry_after", "tier"), [(0, 0), (SECOND, 0), (SECOND, 1)])
def test_rejections_give_a_retry_after_where_it_is_allowed(max_retry_after, tier):
    driver = Driver(servers=2, max_retry_after=max_retry_after, tier=tier, tier_count=2)
    overload(driver, 600, 2_000)
    driver.run_to(driver.now + 5 * SECOND)
    delays = [action.retry_after for action in driver.actions_of(RejectRequest)]
    assert delays
    if max_retry_after and not tier:
        assert all(0 < delay <= max_retry_after for delay in delays)
        # The delays are spread, so that clients do not retry at the same time.
        assert len(set(delays)) > len(delays) // 4
    else:
        assert set(delays) == {0}
