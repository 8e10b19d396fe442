"""Evidence about a site, pooled from members' observations."""

import pytest

from oakbridge.peers.messages import SiteObservation
from oakbridge.sites.evidence import MAX_AGE_US, MemberObservations, pool_evidence


def member(name, site, responding=0, timed_out=0, failed=0, age_us=0):
    observation = SiteObservation("x", responding, timed_out, failed)
    return MemberObservations(name, site, age_us, (observation,))


@pytest.mark.parametrize(
    ("members", "unhealthy_fraction", "is_sufficient", "reachable_elsewhere"),
    [
        pytest.param([], 0.0, False, False, id="no members"),
        pytest.param([member("a1", "a", failed=2)], 1.0, True, False, id="no other members"),
        pytest.param(
            [member("a1", "a", failed=2), member("a2", "a", age_us=MAX_AGE_US + 1, failed=2)],
            1.0,
            True,
            False,
            id="an old report does not count",
        ),
        pytest.param(
            [member("a1", "a", failed=2), member("a2", "a"), member("a3", "a")],
            1.0,
            False,
            False,
            id="two members without attempts",
        ),
        pytest.param(
            [member(f"a{index}", "a", 3, 1) for index in range(4)],
            0.25,
            True,
            False,
            id="one server in four times out",
        ),
        pytest.param(
            [
                *(member(f"a{index}", "a", failed=1) for index in range(3)),
                member("x1", "x", responding=50),
            ],
            1.0,
            True,
            False,
            id="the site's own nodes don't count elsewhere",
        ),
        pytest.param(
            [member("a1", "a", timed_out=3), *(member(f"b{index}", "b", 3) for index in range(3))],
            0.25,
            True,
            False,
            id="third sites count if few members of home have attempts",
        ),
        pytest.param(
            [*(member(f"a{index}", "a", 0, 3) for index in range(3)), member("b1", "b", 3)],
            1.0,
            True,
            True,
            id="only the network between home and the site is broken",
        ),
    ],
)
def test_evidence_pools_fresh_reports_and_prefers_those_of_the_home_site(
    members, unhealthy_fraction, is_sufficient, reachable_elsewhere
):
    evidence = pool_evidence("x", "a", members)
    assert round(evidence.unhealthy_fraction, 2) == unhealthy_fraction
    assert evidence.is_sufficient == is_sufficient
    assert evidence.reachable_elsewhere == reachable_elsewhere
