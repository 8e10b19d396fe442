"""The state of links with active fault rules."""

import random
from dataclasses import replace

from oakbridge.lab.links import Links, Rule


def test_links_follow_the_active_rules():
    links = Links({"a1": "a", "a2": "a", "b1": "b"}, delay=1, between=10, loss=0.5)
    assert links.link("a1", "a2").delay_us == 1
    assert links.link("a1", "b1").delay_us == 11
    links.add_rule(
        Rule(1, frozenset({"a1"}), frozenset({"b1"}), both_directions=False, is_cut=True)
    )
    links.add_rule(
        Rule(2, frozenset({"a1"}), frozenset({"b1"}), loss=0.5, duplicated=1.0, jitter_us=5)
    )
    assert links.link("a1", "b1").is_cut
    assert not links.link("b1", "a1").is_cut
    assert links.link("b1", "a1").loss == 0.75
    rng = random.Random(1)
    arrived = [links.draw_datagram_delays("b1", "a1", rng) for _ in range(4000)]
    assert links.draw_datagram_delays("a1", "b1", rng) == []
    assert 0.22 < sum(map(bool, arrived)) / 4000 < 0.28
    assert {len(delays) for delays in arrived} == {0, 2}
    links.remove_rule(1)
    links.remove_rule(2)
    assert links.link("a1", "b1") == replace(links.link("b1", "a1"))
    rule = Rule(3, frozenset("x"), frozenset("y"), is_cut=True)
    assert Rule.from_json(rule.as_json()) == rule
