"""Evidence about a site, pooled from what members observe."""

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
        pytest.param(
            [member("a1", "a", failed=2)], 1.0, True, False, id="nobody else is there to ask"
        ),
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
            id="two called nobody",
        ),
        pytest.param(
            [member(f"a{n}", "a", 3, 1) for n in range(4)], 0.25, True, False, id="one in four"
        ),
        pytest.param(
            [*(member(f"a{n}", "a", failed=1) for n in range(3)), member("x1", "x", responding=50)],
            1.0,
            True,
            False,
            id="the site's own nodes don't count elsewhere",
        ),
        pytest.param(
            [member("a1", "a", timed_out=3), *(member(f"b{n}", "b", 3) for n in range(3))],
            0.25,
            True,
            False,
            id="third sites count where few of home have called it",
        ),
        pytest.param(
            [*(member(f"a{n}", "a", 0, 3) for n in range(3)), member("b1", "b", 3)],
            1.0,
            True,
            True,
            id="one side of the triangle is missing",
        ),
    ],
)
def test_evidence_is_pooled_over_fresh_reports_those_of_home_first(
    members, unhealthy_fraction, is_sufficient, reachable_elsewhere
):
    found = pool_evidence("x", "a", members)
    assert round(found.unhealthy_fraction, 2) == unhealthy_fraction
    assert found.is_sufficient == is_sufficient
    assert found.reachable_elsewhere == reachable_elsewhere
