"""Operators' overrides, which drain sites or return them, as members exchange them.  No I/O."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from oakbridge.peers.messages import MAX_SITES, MAX_TEXT_LENGTH, SiteOverride
from oakbridge.sites.errors import SiteNotDrainedError

# How far an override's stamp may be ahead of this node's clock; each clock may be an hour off.
MAX_CLOCK_SKEW_MS = 3 * 3_600_000


class OperatorOverrides:
    """The latest override of each site, by stamp."""

    def __init__(self) -> None:
        """Begin without overrides."""
        self.by_site: dict[str, SiteOverride] = {}

    def is_drained(self, site: str) -> bool:
        """Return whether an operator has drained a site and none has returned it since."""
        override = self.by_site.get(site)
        return override is not None and override.drained

    def drained_by(self, site: str) -> str:
        """Return the operator who drains a site; empty if it is not drained."""
        override = self.by_site.get(site)
        return override.operator if override is not None and override.drained else ""

    def set_override(
        self, clock_ms: int, site: str, operator: str, *, drained: bool
    ) -> SiteOverride:
        """Record an override given at this node; its stamp exceeds that of the previous one.

        ``clock_ms``: wall clock.  Raises SiteNotDrainedError.
        """
        previous = self.by_site.get(site)
        if previous is None and not drained:
            raise SiteNotDrainedError(site)
        stamp_ms = max(clock_ms, previous.stamp_ms + 1 if previous is not None else 0)
        self.by_site[site] = SiteOverride(site, stamp_ms, drained, operator[:MAX_TEXT_LENGTH])
        return self.by_site[site]

    def merge(
        self, clock_ms: int, overrides: Iterable[SiteOverride], known_sites: Collection[str]
    ) -> None:
        """Merge another member's overrides; ignore stamps more than the maximum skew ahead.

        ``clock_ms``: this node's wall clock; ``known_sites``: overrides of other sites are ignored
        unless there is one already.
        """
        for override in overrides:
            previous = self.by_site.get(override.site)
            if previous is None and override.site not in known_sites:
                continue
            if override.stamp_ms > clock_ms + MAX_CLOCK_SKEW_MS:
                continue
            if previous is None or override.precedence > previous.precedence:
                self.by_site[override.site] = override

    def to_report(self) -> tuple[SiteOverride, ...]:
        """Return the overrides to report to other members, the latest first."""
        latest_first = sorted(self.by_site.values(), key=lambda override: -override.stamp_ms)
        return tuple(latest_first[:MAX_SITES])
