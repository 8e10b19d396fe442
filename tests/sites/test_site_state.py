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


class Course:
    """A site that is updated twice a second, and the states that it passed through."""

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

    def play(self, *steps):
        """Play steps of (evidence, seconds, and anything where another site is faulty)."""
        passed = [self.site.state]
        for evidence, seconds, *faulty in steps:
            for _ in range(round(2 * seconds)):
                self.update(evidence, other_site_faulty=bool(faulty))
                if self.site.state != passed[-1]:
                    passed.append(self.site.state)
        return passed


@pytest.mark.parametrize(
    ("steps", "states"),
    [
        ([(ONE_IN_FIVE_TIMES_OUT, 20), (NO_EVIDENCE, 20)], [HEALTHY]),
        ([(ALL_FAIL, 1.5)], [HEALTHY, SUSPECT, LOST]),
        ([(ALL_TIME_OUT, 1.5)], [HEALTHY, SUSPECT]),
        ([(ALL_TIME_OUT, 3)], [HEALTHY, SUSPECT, CUT_OFF]),
        ([(ALL_TIME_OUT, 1), (ALL_RESPOND, 3)], [HEALTHY, SUSPECT, HEALTHY]),
        # none calls
        ([(ALL_FAIL, 0.5), (NO_EVIDENCE, 5), (ALL_FAIL, 0.5)], [HEALTHY, SUSPECT, LOST]),
        ([(ALL_FAIL, 0.5), (NO_EVIDENCE, 20)], [HEALTHY, SUSPECT, HEALTHY]),
        ([(ALL_FAIL, 2), (NO_EVIDENCE, 60)], [HEALTHY, SUSPECT, LOST]),
        # observations of before: they would end a recovery at once
        ([(ALL_FAIL, 2), (ONE_IN_FIVE_TIMES_OUT, 9)], [HEALTHY, SUSPECT, LOST]),
        (
            [(ALL_FAIL, 2), (ALL_RESPOND, 30)],
            [HEALTHY, SUSPECT, LOST, RECOVERING, WARMING_UP, HEALTHY],
        ),
        (
            [(ALL_FAIL, 2), (ALL_RESPOND, 4), (ALL_FAIL, 1)],
            [HEALTHY, SUSPECT, LOST, RECOVERING, LOST],
        ),
        # a second faulty site stops the recovery
        ([(ALL_FAIL, 2), (ALL_RESPOND, 30, "faulty")], [HEALTHY, SUSPECT, LOST, RECOVERING]),
    ],
)
def test_a_site_passes_through_its_states(steps, states):
    site = SiteStateMachine("x", is_home=False, warm_up_us=5 * SECOND_US)
    assert Course(site).play(*steps) == states


def test_each_loss_during_recovery_doubles_the_backoff():
    course, backoffs = Course(SiteStateMachine("x", is_home=True)), []
    site = course.site
    course.play((ALL_FAIL, 2))
    for _ in range(4):
        began_us = course.now_us
        while site.state != RECOVERING:
            course.play((ALL_RESPOND, 0.5))
        backoffs.append(course.now_us - began_us)
        course.play((ALL_FAIL, 0.5))
        assert site.state == LOST
        assert site.fraction() == 0
    for earlier, later in pairwise(backoffs[1:]):
        assert 2 * earlier - SECOND_US <= later <= 2 * earlier + SECOND_US


def test_nodes_of_the_site_go_first_in_its_recovery():
    home, other = RecoveryRamp(is_home=True), RecoveryRamp(is_home=False)
    fractions = []
    for ramp in (home, other):
        ramp.begin(0)
        steps = []
        for n in range(1, 10):
            steps.append(ramp.fraction())
            now_us = n * recovery_ramp.MIN_STEP_US
            ramp.advance(now_us, enough_responses=True, unhealthy_fraction=0.0, hold=False)
        fractions.append(steps)
    assert all(a >= b for a, b in zip(*fractions, strict=True))
    assert fractions[0] != fractions[1]
    assert fractions[0][-1] == fractions[1][-1] == 1.0
    assert home.is_complete
    assert other.is_complete


@pytest.mark.parametrize("after_s", [0.5, 1.5, 30])
def test_operators_drain_in_steps_and_may_take_it_back_at_each(after_s):
    course = Course(SiteStateMachine("x", is_home=False, warm_up_us=SECOND_US))
    site, fractions = course.site, [1.0]
    for _ in range(round(2 * after_s)):
        course.update(ALL_RESPOND, drained=True)
        fractions.append(site.fraction())
    assert site.state == DRAINING
    assert fractions == sorted(fractions, reverse=True)
    assert (fractions[-1] == 0) == (after_s == 30)
    course.update(ALL_RESPOND, drained=False)
    assert site.state == (HEALTHY if fractions[-1] >= 0.3 else RECOVERING)


EVIDENCE = st.sampled_from(
    [ALL_RESPOND, ALL_FAIL, ALL_TIME_OUT, ONE_IN_FIVE_TIMES_OUT, NO_EVIDENCE],
)


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(EVIDENCE, st.booleans(), st.booleans())))
def test_whatever_comes_a_lost_site_gets_nothing_and_comes_back_only_in_steps(steps):
    course, before = Course(SiteStateMachine("x", is_home=False, warm_up_us=SECOND_US)), 1.0
    site, ramp_steps = course.site, recovery_ramp.STEPS
    for evidence, drained, faulty in steps:
        state = site.state
        course.update(evidence, drained=drained, other_site_faulty=faulty)
        fraction = site.fraction()
        assert 0 <= fraction <= 1
        assert not site.is_lost or fraction == 0
        if state in (LOST, CUT_OFF):
            assert fraction <= ramp_steps[0]
        if state == RECOVERING == site.state:
            next_step = ramp_steps.index(before) + 1 if before else 0
            assert fraction <= before or ramp_steps.index(fraction) <= next_step
        before = fraction
