"""What passes between two hosts, by the rules in force.  Pure."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Rule:
    """From some to others.  Times in microseconds."""

    number: int
    ours: frozenset[str]
    others: frozenset[str]
    both: bool = True  # ways
    cut: bool = False
    loss: float = 0.0
    doubled: float = 0.0
    delay: int = 0
    jitter: int = 0  # datagrams: up to so much more, so that they overtake each other

    def about(self, a: str, b: str) -> bool:
        """Whether it holds for what goes from a to b."""
        return (a in self.ours and b in self.others) or (self.both and a in self.others and b in self.ours)

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
    """One way between two hosts."""

    cut: bool = False
    loss: float = 0.0
    doubled: float = 0.0
    delay: int = 0
    jitter: int = 0


class Links:
    """All ways, by the rules in force."""

    def __init__(self, sites: dict[str, str], delay: int = 0, between: int = 0, loss: float = 0.0) -> None:
        """``sites``: of each host; ``between``: the delay added between two sites."""
        self._sites, self._delay, self._between, self._loss = sites, delay, between, loss
        self._rules: dict[int, Rule] = {}
        self._cache: dict[tuple[str, str], Link] = {}

    def put(self, rule: Rule) -> None:
        """From now on."""
        self._rules[rule.number] = rule
        self._cache.clear()

    def drop(self, number: int) -> None:
        """No more."""
        self._rules.pop(number, None)
        self._cache.clear()

    def link(self, a: str, b: str) -> Link:
        """The way from a to b."""
        found = self._cache.get((a, b))
        if found is None:
            found = self._cache[a, b] = self._joined(a, b, [r for r in self._rules.values() if r.about(a, b)])
        return found

    def _joined(self, a: str, b: str, rules: Iterable[Rule]) -> Link:
        apart = self._sites.get(a) != self._sites.get(b)
        kept, doubled, cut, delay, jitter = 1 - self._loss, 0.0, False, self._delay + self._between * apart, 0
        for rule in rules:
            kept *= 1 - rule.loss
            doubled, cut = max(doubled, rule.doubled), cut or rule.cut
            delay, jitter = delay + rule.delay, max(jitter, rule.jitter)
        return Link(cut, 1 - kept, doubled, delay, jitter)

    def datagram(self, a: str, b: str, rng: random.Random) -> list[int]:
        """The delays of the copies that arrive: none, one or two."""
        link = self.link(a, b)
        if link.cut or (link.loss and rng.random() < link.loss):
            return []
        copies = 2 if link.doubled and rng.random() < link.doubled else 1
        return [link.delay + (int(rng.random() * link.jitter) if link.jitter else 0) for _ in range(copies)]
