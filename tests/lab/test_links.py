"""The state of links by the fault rules in force."""

import random
from dataclasses import replace

from oakbridge.lab.links import Links, Rule


def test_links_follow_the_rules_in_force():
    links = Links({"a1": "a", "a2": "a", "b1": "b"}, delay=1, between=10, loss=0.5)
    assert links.link("a1", "a2").delay == 1
    assert links.link("a1", "b1").delay == 11
    links.put(Rule(1, frozenset({"a1"}), frozenset({"b1"}), both=False, cut=True))
    links.put(Rule(2, frozenset({"a1"}), frozenset({"b1"}), loss=0.5, doubled=1.0, jitter=5))
    assert links.link("a1", "b1").cut
    assert not links.link("b1", "a1").cut
    assert links.link("b1", "a1").loss == 0.75
    rng = random.Random(1)
    arrived = [links.datagram("b1", "a1", rng) for _ in range(4000)]
    assert links.datagram("a1", "b1", rng) == []
    assert 0.22 < sum(map(bool, arrived)) / 4000 < 0.28
    assert {len(a) for a in arrived} == {0, 2}
    links.drop(1)
    links.drop(2)
    assert links.link("a1", "b1") == replace(links.link("b1", "a1"))
    rule = Rule(3, frozenset("x"), frozenset("y"), cut=True)
    assert Rule.from_json(rule.as_json()) == rule
