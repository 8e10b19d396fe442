"""Errors of site plans and of operators' overrides."""

from __future__ import annotations

from collections.abc import Iterable


class SitesError(Exception):
    """The base of this package's errors."""


class SitePlanError(SitesError, ValueError):
    """A plan that is invalid; ``mistakes`` lists everything that is wrong with it."""

    def __init__(self, mistakes: Iterable[str]) -> None:
        self.mistakes = tuple(mistakes)
        super().__init__("\n".join(self.mistakes))


class PlanningError(SitesError, ArithmeticError):
    """The solver found no solution for the loss of ``lost_sites``."""

    def __init__(self, lost_sites: Iterable[str], reason: str) -> None:
        self.lost_sites = tuple(lost_sites)
        self.reason = reason
        super().__init__(f"no plan with {', '.join(self.lost_sites) or 'nothing'} lost: {reason}")


class SiteOverrideError(SitesError, ValueError):
    """An operator's override that is rejected."""

    def __init__(self, site: str, reason: str) -> None:
        self.site = site
        super().__init__(f"site: {reason}")


class UnknownSiteError(SiteOverrideError):
    """An override names a site that this node does not know."""

    def __init__(self, site: str, known: Iterable[str]) -> None:
        self.known = tuple(sorted(known))
        expected = ", ".join(self.known) or "none yet"
        super().__init__(site, f"expected one of {expected}, got {site!r:.60}")


class SiteNotDrainedError(SiteOverrideError):
    """An override returns a site that no operator has drained."""

    def __init__(self, site: str) -> None:
        super().__init__(site, f"{site!r:.60} is not drained by anybody")


class LastSiteError(SiteOverrideError):
    """An override drains the last site that gets requests."""

    def __init__(self, site: str) -> None:
        super().__init__(site, f"{site!r:.60} is the last one that carries anything")
