"""The connections that are left when a worker exits: exactly those that it did not acknowledge."""

import random

import pytest

from oakbridge.workers.unacknowledged import UnacknowledgedConnections


@pytest.mark.parametrize("seed", range(20))
def test_connections_are_kept_until_they_are_acknowledged(seed):
    rng = random.Random(seed)
    connections = UnacknowledgedConnections[int]()
    sent = acknowledged = 0
    for _ in range(200):
        if rng.random() < 0.6:
            connections.add(sent)
            sent += 1
        elif rng.random() < 0.8:
            # This includes old reports and reports of more connections than were sent.
            reported = rng.randint(0, sent + 3)
            expected = list(range(acknowledged, min(max(acknowledged, reported), sent)))
            assert connections.acknowledge(reported) == expected
            acknowledged = max(acknowledged, min(reported, sent))
        assert len(connections) == sent - acknowledged
    assert connections.take_all() == list(range(acknowledged, sent))
    assert len(connections) == 0
