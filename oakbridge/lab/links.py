"""The state of the links between hosts, given by the active fault rules.  No I/O."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Rule:
    """A fault on the links from some hosts to others."""

    number: int
    sources: frozenset[str]
    targets: frozenset[str]
    both_directions: bool = True
    is_cut: bool = False
    loss: float = 0.0  # fraction of lost datagrams
    duplicated: float = 0.0  # fraction of duplicated datagrams
    delay_us: int = 0
    jitter_us: int = 0  # maximum of a further random delay of datagrams, which reorders them

    def applies_to(self, sender: str, receiver: str) -> bool:
        """Return whether the rule affects the direction from sender to receiver."""
        return (sender in self.sources and receiver in self.targets) or (
            self.both_directions and sender in self.targets and receiver in self.sources
        )

    def as_json(self) -> dict[str, Any]:
        """Return the rule as an object of a command to a switch process."""
        return {
            "number": self.number,
            "ours": sorted(self.sources),
            "others": sorted(self.targets),
            "both": self.both_directions,
            "cut": self.is_cut,
            "loss": self.loss,
            "doubled": self.duplicated,
            "delay": self.delay_us,
            "jitter": self.jitter_us,
        }

    @staticmethod
    def from_json(raw: dict[str, Any]) -> Rule:
        """Return the rule that :meth:`as_json` has encoded.

        Raises KeyError if a field is missing.
        """
        return Rule(
            number=raw["number"],
            sources=frozenset(raw["ours"]),
            targets=frozenset(raw["others"]),
            both_directions=raw["both"],
            is_cut=raw["cut"],
            loss=raw["loss"],
            duplicated=raw["doubled"],
            delay_us=raw["delay"],
            jitter_us=raw["jitter"],
        )


@dataclass(frozen=True, slots=True)
class Link:
    """The state of one direction between two hosts; the fields are those of a rule."""

    is_cut: bool = False
    loss: float = 0.0
    duplicated: float = 0.0
    delay_us: int = 0
    jitter_us: int = 0


class Links:
    """All links, with the active rules."""

    def __init__(
        self, sites: dict[str, str], delay: int = 0, between: int = 0, loss: float = 0.0
    ) -> None:
        """``sites``: the site of each host; ``delay``, ``loss``: of links without a rule.

        ``between``: the additional delay between two sites.  Delays are in microseconds.
        """
        self._sites, self._delay_us, self._between_us, self._loss = sites, delay, between, loss
        self._rules: dict[int, Rule] = {}
        self._cache: dict[tuple[str, str], Link] = {}

    def add_rule(self, rule: Rule) -> None:
        """Activate a rule; it replaces one with the same number."""
        self._rules[rule.number] = rule
        self._cache.clear()

    def remove_rule(self, number: int) -> None:
        """Deactivate a rule, if it is active."""
        self._rules.pop(number, None)
        self._cache.clear()

    def link(self, sender: str, receiver: str) -> Link:
        """Return the link from sender to receiver."""
        found = self._cache.get((sender, receiver))
        if found is None:
            rules = [rule for rule in self._rules.values() if rule.applies_to(sender, receiver)]
            found = self._cache[sender, receiver] = self._combine(sender, receiver, rules)
        return found

    def _combine(self, sender: str, receiver: str, rules: Sequence[Rule]) -> Link:
        """Combine rules: losses are independent, delays add up, other values are the largest."""
        is_between_sites = self._sites.get(sender) != self._sites.get(receiver)
        delay_us = self._delay_us + (self._between_us if is_between_sites else 0)
        delivered = 1 - self._loss
        for rule in rules:
            delivered *= 1 - rule.loss
            delay_us += rule.delay_us
        return Link(
            is_cut=any(rule.is_cut for rule in rules),
            loss=1 - delivered,
            duplicated=max((rule.duplicated for rule in rules), default=0.0),
            delay_us=delay_us,
            jitter_us=max((rule.jitter_us for rule in rules), default=0),
        )

    def draw_datagram_delays(self, sender: str, receiver: str, rng: random.Random) -> list[int]:
        """Draw the delays, in microseconds, of the copies of a datagram that arrive: 0 to 2."""
        link = self.link(sender, receiver)
        if link.is_cut or (link.loss and rng.random() < link.loss):
            return []
        copies = 2 if link.duplicated and rng.random() < link.duplicated else 1
        return [
            link.delay_us + (int(rng.random() * link.jitter_us) if link.jitter_us else 0)
            for _ in range(copies)
        ]
