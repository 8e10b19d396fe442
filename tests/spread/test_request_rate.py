"""The request rate that a replica reports."""

import random

from oakbridge.spread.request_rate import ReportedRate

SECOND_US = 1_000_000


def test_a_rate_is_reported_in_steps_that_seldom_change():
    rate, rng, count, reported = ReportedRate(), random.Random(1), 0, []
    for second in range(1200):
        count += sum(rng.random() < 0.1 for _ in range(100)) * (1 if second < 600 else 4)
        reported.append(rate.update(second * SECOND_US, count))
    assert len(set(reported[60:600])) <= 2
    assert len(set(reported[900:])) <= 2
    assert 2.5 < reported[-1] / reported[599] < 6
    assert min(reported) >= 1
