"""A site's state machine, its recovery ramp and its drain."""

from itertools import pairwise

import pytest
from example_sites import (
    ALL_FAIL,
    ALL_RESPOND,
    ALL_TIME_OUT,
    HALF_SECOND_US,
    NO_EVIDENCE,
    ONE_IN_FIVE_TIMES_OUT,
    SECOND_US,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from oakbridge.sites import recovery_ramp
from oakbridge.sites.recovery_ramp import RecoveryRamp
from oakbridge.sites.site_state import SiteState, SiteStateMachine

HEALTHY = SiteState.HEALTHY
SUSPECT = SiteState.SUSPECT
LOST = SiteState.LOST
CUT_OFF = SiteState.CUT_OFF
RECOVERING = SiteState.RECOVERING
WARMING_UP = SiteState.WARMING_UP
DRAINING = SiteState.DRAINING


class SiteDriver:
    """Updates a site's state machine twice a second."""

    def __init__(self, site):
        self.site = site
        self.now_us = 0

    def update(self, evidence, *, drained=False, other_site_faulty=False):
        self.now_us += HALF_SECOND_US
        self.site.update(
            self.now_us,
            evidence,
            drained=drained,
            other_site_faulty=other_site_faulty,
            is_overloaded=False,
        )

    def run(self, *steps):
        """Update through steps of (evidence, seconds); return the states, the first one included.

        A third value in a step means that another site is faulty.
        """
        states = [self.site.state]
        for evidence, seconds, *faulty in steps:
            for _ in range(round(2 * seconds)):
                self.update(evidence, other_site_faulty=bool(faulty))
                if self.site.state != states[-1]:
                    states.append(self.site.state)
        return states


@pytest.mark.parametrize(
    ("steps", "states"),
    [
        ([(ONE_IN_FIVE_TIMES_OUT, 20), (NO_EVIDENCE, 20)], [HEALTHY]),
        ([(ALL_FAIL, 1.5)], [HEALTHY, SUSPECT, LOST]),
        ([(ALL_TIME_OUT, 1.5)], [HEALTHY, SUSPECT]),
        ([(ALL_TIME_OUT, 3)], [HEALTHY, SUSPECT, CUT_OFF]),
        ([(ALL_TIME_OUT, 1), (ALL_RESPOND, 3)], [HEALTHY, SUSPECT, HEALTHY]),
        # a suspicion lasts for some seconds without attempts at the site
        ([(ALL_FAIL, 0.5), (NO_EVIDENCE, 5), (ALL_FAIL, 0.5)], [HEALTHY, SUSPECT, LOST]),
        ([(ALL_FAIL, 0.5), (NO_EVIDENCE, 20)], [HEALTHY, SUSPECT, HEALTHY]),
        ([(ALL_FAIL, 2), (NO_EVIDENCE, 60)], [HEALTHY, SUSPECT, LOST]),
        # old observations of failures still count and would end a recovery at once
        ([(ALL_FAIL, 2), (ONE_IN_FIVE_TIMES_OUT, 9)], [HEALTHY, SUSPECT, LOST]),
        (
            [(ALL_FAIL, 2), (ALL_RESPOND, 30)],
            [HEALTHY, SUSPECT, LOST, RECOVERING, WARMING_UP, HEALTHY],
        ),
        (
            [(ALL_FAIL, 2), (ALL_RESPOND, 4), (ALL_FAIL, 1)],
            [HEALTHY, SUSPECT, LOST, RECOVERING, LOST],
        ),
        # another faulty site holds the recovery
        ([(ALL_FAIL, 2), (ALL_RESPOND, 30, "faulty")], [HEALTHY, SUSPECT, LOST, RECOVERING]),
    ],
)
def test_a_site_passes_through_its_states(steps, states):
    site = SiteStateMachine("x", is_home=False, warm_up_us=5 * SECOND_US)
    assert SiteDriver(site).run(*steps) == states


def test_each_loss_during_recovery_doubles_the_backoff():
    driver, backoffs = SiteDriver(SiteStateMachine("x", is_home=True)), []
    site = driver.site
    driver.run((ALL_FAIL, 2))
    for _ in range(4):
        lost_at_us = driver.now_us
        while site.state != RECOVERING:
            driver.run((ALL_RESPOND, 0.5))
        backoffs.append(driver.now_us - lost_at_us)
        driver.run((ALL_FAIL, 0.5))
        assert site.state == LOST
        assert site.fraction() == 0
    for earlier, later in pairwise(backoffs[1:]):
        assert 2 * earlier - SECOND_US <= later <= 2 * earlier + SECOND_US


def test_nodes_of_the_site_are_ahead_in_its_recovery():
    home, other = RecoveryRamp(is_home=True), RecoveryRamp(is_home=False)
    fractions = []
    for ramp in (home, other):
        ramp.begin(0)
        ramp_fractions = []
        for step in range(1, 10):
            ramp_fractions.append(ramp.fraction())
            now_us = step * recovery_ramp.MIN_STEP_US
            ramp.advance(now_us, enough_responses=True, unhealthy_fraction=0.0, hold=False)
        fractions.append(ramp_fractions)
    assert all(at_home >= elsewhere for at_home, elsewhere in zip(*fractions, strict=True))
    assert fractions[0] != fractions[1]
    assert fractions[0][-1] == fractions[1][-1] == 1.0
    assert home.is_complete
    assert other.is_complete


@pytest.mark.parametrize("after_s", [0.5, 1.5, 30])
def test_a_drain_goes_in_steps_and_can_be_undone_at_each(after_s):
    driver = SiteDriver(SiteStateMachine("x", is_home=False, warm_up_us=SECOND_US))
    site, fractions = driver.site, [1.0]
    for _ in range(round(2 * after_s)):
        driver.update(ALL_RESPOND, drained=True)
        fractions.append(site.fraction())
    assert site.state == DRAINING
    assert fractions == sorted(fractions, reverse=True)
    assert (fractions[-1] == 0) == (after_s == 30)
    driver.update(ALL_RESPOND, drained=False)
    assert site.state == (HEALTHY if fractions[-1] >= 0.3 else RECOVERING)


EVIDENCE = st.sampled_from(
    [ALL_RESPOND, ALL_FAIL, ALL_TIME_OUT, ONE_IN_FIVE_TIMES_OUT, NO_EVIDENCE],
)


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(EVIDENCE, st.booleans(), st.booleans())))
def test_a_lost_site_gets_no_requests_and_recovers_only_in_steps(steps):
    driver, previous = SiteDriver(SiteStateMachine("x", is_home=False, warm_up_us=SECOND_US)), 1.0
    site, ramp_steps = driver.site, recovery_ramp.STEPS
    for evidence, drained, faulty in steps:
        state = site.state
        driver.update(evidence, drained=drained, other_site_faulty=faulty)
        fraction = site.fraction()
        assert 0 <= fraction <= 1
        assert not site.is_lost or fraction == 0
        if state in (LOST, CUT_OFF):
            assert fraction <= ramp_steps[0]
        if state == RECOVERING == site.state:
            next_step = ramp_steps.index(previous) + 1 if previous else 0
            assert fraction <= previous or ramp_steps.index(fraction) <= next_step
        previous = fraction
