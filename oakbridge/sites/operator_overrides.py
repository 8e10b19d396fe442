"""Operators' orders to drain sites, or to return them, as they spread among members.  Pure."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from oakbridge.peers.messages import MAX_SITES, MAX_TEXT_LENGTH, SiteOverride
from oakbridge.sites.errors import SiteNotDrainedError

# That an order may be ahead of this node's clock: each clock may be stepped by an hour.
MAX_CLOCK_SKEW_MS = 3 * 3_600_000


class OperatorOverrides:
    """The last order on each site; of two the one with the greater stamp counts."""

    def __init__(self) -> None:
        """Begin without orders."""
        self.by_site: dict[str, SiteOverride] = {}

    def is_drained(self, site: str) -> bool:
        """Return whether operators want a site out of use."""
        override = self.by_site.get(site)
        return override is not None and override.drained

    def drained_by(self, site: str) -> str:
        """Return who drains a site, empty if nobody does."""
        override = self.by_site.get(site)
        return override.operator if override is not None and override.drained else ""

    def order(self, clock_ms: int, site: str, operator: str, *, drained: bool) -> SiteOverride:
        """Take an order given at this node.  Raises SiteNotDrainedError."""
        before = self.by_site.get(site)
        if before is None and not drained:
            raise SiteNotDrainedError(site)
        stamp_ms = max(clock_ms, before.stamp_ms + 1 if before is not None else 0)
        self.by_site[site] = SiteOverride(site, stamp_ms, drained, operator[:MAX_TEXT_LENGTH])
        return self.by_site[site]

    def merge(
        self, clock_ms: int, overrides: Iterable[SiteOverride], known_sites: Collection[str]
    ) -> None:
        """Take in another member's orders; one far ahead of this clock is not believed."""
        for override in overrides:
            before = self.by_site.get(override.site)
            if before is None and override.site not in known_sites:
                continue
            if override.stamp_ms > clock_ms + MAX_CLOCK_SKEW_MS:
                continue
            if before is None or override.precedence > before.precedence:
                self.by_site[override.site] = override

    def to_report(self) -> tuple[SiteOverride, ...]:
        """Return what other members are told: the latest orders."""
        latest_first = sorted(self.by_site.values(), key=lambda override: -override.stamp_ms)
        return tuple(latest_first[:MAX_SITES])
