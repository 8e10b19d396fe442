"""The load-shedding level: the order of rejection, and the feedback that sets it."""

from itertools import pairwise

import pytest
from example_sites import SECOND_US

from oakbridge.sites import fleet_load_shedding
from oakbridge.sites.fleet_load_shedding import (
    FleetLoadShedding,
    level_for,
    rank_classes,
    rejected_fraction_at,
)

RANKS = rank_classes({"look": 1.0, "status": 2.0, "book": 5.0}, has_quotas=True)
RANK_FRACTIONS = [0.1, 0.4, 0.3, 0.2]


def test_the_level_rejects_classes_in_order_of_priority_weight():
    assert [rank.class_name for rank in RANKS] == ["", "look", "status", "book"]
    assert fleet_load_shedding.rejected_fractions(RANKS, 0.0) == {}
    rejected = fleet_load_shedding.rejected_fractions(RANKS, 2.25)
    assert rejected == {"": 1.0, "look": 1.0, "status": 0.25}
    for fraction in (0.0, 0.05, 0.1, 0.3, 0.65, 0.9):
        assert rejected_fraction_at(
            level_for(fraction, RANK_FRACTIONS), RANK_FRACTIONS
        ) == pytest.approx(fraction)


@pytest.mark.parametrize("offered_load", [1.0, 1.2, 2.0, 5.0])
def test_feedback_rejects_excess_load_and_admits_it_again_once_it_fits(offered_load):
    """The level is adjusted by the overload alone; the capacity of 1 is not known to it.

    From 40 s on, nodes' own rejections stay below 1.2 times the target.  From 100 s on the load
    fits, and the level falls to almost 0.
    """
    shedding, now_us = FleetLoadShedding(RANKS), 0
    overloads, rejected_fractions = [], []
    for second in range(150):
        now_us += SECOND_US
        offered = offered_load if second < 100 else 0.8
        admitted = offered * (1 - rejected_fraction_at(shedding.level, RANK_FRACTIONS))
        overload = max(0.0, 1 - 1 / admitted) if admitted else 0.0
        overloads.append(overload)
        rejected_fractions.append(rejected_fraction_at(shedding.level, RANK_FRACTIONS))
        shedding.adjust(now_us, "me", overload, RANK_FRACTIONS)
    assert max(overloads[40:100]) < 1.2 * fleet_load_shedding.TARGET_OVERLOAD
    assert rejected_fractions[-1] < 0.02
    changes = [abs(later - earlier) for earlier, later in pairwise(rejected_fractions[30:100])]
    assert max(changes, default=0) < 0.1  # the level does not oscillate
