"""What can be wrong with a plan, or with an operator's order."""

from __future__ import annotations

from collections.abc import Iterable


class SitesError(Exception):
    """The base of this package's errors."""


class SitePlanError(SitesError, ValueError):
    """A plan that can't be used, with all its mistakes."""

    def __init__(self, mistakes: Iterable[str]) -> None:
        self.mistakes = tuple(mistakes)
        super().__init__("\n".join(self.mistakes))


class PlanningError(SitesError, ArithmeticError):
    """The solver found no plan for the loss of these sites."""

    def __init__(self, lost_sites: Iterable[str], reason: str) -> None:
        self.lost_sites = tuple(lost_sites)
        self.reason = reason
        super().__init__(f"no plan without {', '.join(self.lost_sites) or 'any loss'}: {reason}")


class SiteOverrideError(SitesError, ValueError):
    """An operator's order that can't be taken."""

    def __init__(self, site: str, reason: str) -> None:
        self.site = site
        super().__init__(f"site: {reason}")


class UnknownSiteError(SiteOverrideError):
    """There is no such site."""

    def __init__(self, site: str, known: Iterable[str]) -> None:
        self.known = tuple(sorted(known))
        expected = ", ".join(self.known) or "none yet"
        super().__init__(site, f"expected one of {expected}, got {site!r:.60}")


class SiteNotDrainedError(SiteOverrideError):
    """A site to return that nobody has drained."""

    def __init__(self, site: str) -> None:
        super().__init__(site, f"{site!r:.60} is not drained by anybody")


class LastSiteError(SiteOverrideError):
    """A site to drain without which no other one would carry anything."""

    def __init__(self, site: str) -> None:
        super().__init__(site, f"{site!r:.60} is the last one that carries anything")
