"""The selection of nodes by a site's clients."""

import random

from oakbridge.lab.node_selector import NodeSelector


def test_nodes_are_selected_by_weight_and_avoided_for_a_while():
    rng, avoided_until_s = random.Random(1), {}
    selector = NodeSelector([0, 1, 2], {0: 1.0, 1: 3.0, 2: 0.0}, avoided_until_s)
    selected = [selector.select(0.0, (), rng) for _ in range(4000)]
    assert 2.6 < selected.count(1) / selected.count(0) < 3.4
    assert 2 not in selected
    selector.avoid(1, 0.0)
    assert {selector.select(1.0, (), rng) for _ in range(50)} == {0}
    assert selector.select(1.0, {0, 2}, rng) is None
    assert selector.select(3.0, {0}, rng) == 1
