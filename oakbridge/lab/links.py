"""The state of the links between hosts, by the fault rules in force.  Pure; times in microseconds."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Rule:
    """A fault on the links from some hosts to others."""

    number: int
    ours: frozenset[str]
    others: frozenset[str]
    both: bool = True  # directions
    cut: bool = False
    loss: float = 0.0  # fraction of datagrams
    doubled: float = 0.0  # fraction of datagrams
    delay: int = 0
    jitter: int = 0  # datagrams: up to so much more, so that they overtake each other

    def about(self, a: str, b: str) -> bool:
        """Return whether the rule is for what goes from a to b."""
        return (a in self.ours and b in self.others) or (
            self.both and a in self.others and b in self.ours
        )

    def as_json(self) -> dict[str, Any]:
        """Return the rule as the message to a switch process holds it."""
        return {
            "number": self.number,
            "ours": sorted(self.ours),
            "others": sorted(self.others),
            "both": self.both,
            "cut": self.cut,
            "loss": self.loss,
            "doubled": self.doubled,
            "delay": self.delay,
            "jitter": self.jitter,
        }

    @staticmethod
    def from_json(raw: dict[str, Any]) -> Rule:
        """Return the rule that :meth:`as_json` wrote.

        Raise KeyError where a field is missing.
        """
        return Rule(
            number=raw["number"],
            ours=frozenset(raw["ours"]),
            others=frozenset(raw["others"]),
            both=raw["both"],
            cut=raw["cut"],
            loss=raw["loss"],
            doubled=raw["doubled"],
            delay=raw["delay"],
            jitter=raw["jitter"],
        )


@dataclass(frozen=True, slots=True)
class Link:
    """The state of one direction between two hosts; the fields are those of a rule."""

    cut: bool = False
    loss: float = 0.0
    doubled: float = 0.0
    delay: int = 0
    jitter: int = 0


class Links:
    """All links, by the rules in force."""

    def __init__(
        self, sites: dict[str, str], delay: int = 0, between: int = 0, loss: float = 0.0
    ) -> None:
        """``sites``: of each host; ``delay``, ``loss``: without any rule.

        ``between``: the delay added between two sites.
        """
        self._sites, self._delay, self._between, self._loss = sites, delay, between, loss
        self._rules: dict[int, Rule] = {}
        self._cache: dict[tuple[str, str], Link] = {}

    def put(self, rule: Rule) -> None:
        """Put a rule in force."""
        self._rules[rule.number] = rule
        self._cache.clear()

    def drop(self, number: int) -> None:
        """Take a rule out of force."""
        self._rules.pop(number, None)
        self._cache.clear()

    def link(self, a: str, b: str) -> Link:
        """Return the link from a to b."""
        found = self._cache.get((a, b))
        if found is None:
            rules = [rule for rule in self._rules.values() if rule.about(a, b)]
            found = self._cache[a, b] = self._combine(a, b, rules)
        return found

    def _combine(self, a: str, b: str, rules: Sequence[Rule]) -> Link:
        """Combine rules: losses are independent, delays add up, of the rest the largest counts."""
        is_between_sites = self._sites.get(a) != self._sites.get(b)
        delay = self._delay + (self._between if is_between_sites else 0)
        delivered = 1 - self._loss
        for rule in rules:
            delivered *= 1 - rule.loss
            delay += rule.delay
        return Link(
            cut=any(rule.cut for rule in rules),
            loss=1 - delivered,
            doubled=max((rule.doubled for rule in rules), default=0.0),
            delay=delay,
            jitter=max((rule.jitter for rule in rules), default=0),
        )

    def datagram(self, a: str, b: str, rng: random.Random) -> list[int]:
        """Draw the delays of the copies of a datagram that arrive: none, one or two."""
        link = self.link(a, b)
        if link.cut or (link.loss and rng.random() < link.loss):
            return []
        copies = 2 if link.doubled and rng.random() < link.doubled else 1
        return [
            link.delay + (int(rng.random() * link.jitter) if link.jitter else 0)
            for _ in range(copies)
        ]
