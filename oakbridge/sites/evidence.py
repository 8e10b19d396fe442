"""Evidence about a site: the nodes' observations of its servers, pooled.  No I/O.

Each node sends attempts to a few servers only; pooled, the nodes' observations show a site's
health.  An observation counts servers, not attempts, so a single slow server can't make its site
look lost, however many attempts fail there.  A node that holds a site lost sends it no requests
but probes, so it soon has no fresh observations; its verdict then counts as one unhealthy server
for nodes that have no verdict of their own yet.  Recovery is decided by fresh observations alone.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from oakbridge.peers.messages import SiteObservation, SiteVerdict

MAX_AGE_US = 4_000_000  # older observations are ignored
MIN_REPORTERS = 3  # a verdict needs attempts by this many nodes, or by all if fewer
MAX_NAMED_REPORTERS = 4
UNKNOWN_SERVER_COUNT = 1000  # listed servers of a site where the number is not given


@dataclass(frozen=True, slots=True)
class MemberObservations:
    """One member's observations of sites, and their age."""

    name: str
    site: str  # the member's own site
    age_us: int
    observations: tuple[SiteObservation, ...]

    def of_site(self, site: str, *, with_verdicts: bool) -> MemberObservations:
        """Return the member with its observations of one site only.

        ``with_verdicts``: whether verdicts count as unhealthy servers, see :func:`_with_verdict`.
        """
        of_site = (each for each in self.observations if each.site == site)
        counted = (_with_verdict(each) for each in of_site) if with_verdicts else of_site
        return replace(self, observations=tuple(counted))

    @property
    def has_called_servers(self) -> bool:
        """Whether the member has had an attempt at any server."""
        return any(each.responding + each.timed_out + each.failed for each in self.observations)

    @property
    def has_mostly_failures(self) -> bool:
        """Whether more servers of any site timed out or failed than responded."""
        return any(each.timed_out + each.failed > each.responding for each in self.observations)


@dataclass(frozen=True, slots=True)
class Evidence:
    """All fresh observations of one site; counts of servers are summed over nodes."""

    responding: int = 0  # servers whose last attempt got a response
    timed_out: int = 0  # servers whose last attempt timed out
    failed: int = 0  # servers whose last attempt was refused or whose connection broke
    reporters: int = 0  # nodes that had an attempt at any of the site's servers
    fresh_members: int = 0  # nodes with a fresh report, on any site
    failure_reporters: tuple[str, ...] = ()  # some of the nodes with mostly failed servers
    reachable_elsewhere: bool = False  # nodes of third sites reach it, nodes of the home site don't
    is_unreachable: bool = False  # none of the site's nodes is reachable as a member
    listed_servers: int = UNKNOWN_SERVER_COUNT

    @property
    def unhealthy_servers(self) -> int:
        """Servers whose last attempt timed out or failed."""
        return self.timed_out + self.failed

    @property
    def called_servers(self) -> int:
        """Servers that had an attempt."""
        return self.responding + self.unhealthy_servers

    @property
    def unhealthy_fraction(self) -> float:
        """The fraction of the called servers that is unhealthy; 0 if none was called."""
        return self.unhealthy_servers / self.called_servers if self.called_servers else 0.0

    @property
    def is_mostly_timed_out(self) -> bool:
        """Whether more servers time out than fail."""
        return self.timed_out > self.failed

    @property
    def is_sufficient(self) -> bool:
        """Whether enough nodes had attempts at the site for a verdict."""
        if self.is_unreachable:
            return self.reporters >= 1
        return self.reporters >= min(MIN_REPORTERS, max(1, self.fresh_members))

    def has_responses(self, min_servers: int) -> bool:
        """Return whether ``min_servers`` responded, or all listed ones if there are fewer."""
        return self.responding >= min(min_servers, max(1, self.listed_servers))


def pool_evidence(
    site: str,
    home: str,
    members: Iterable[MemberObservations],
    *,
    is_unreachable: bool = False,
    listed_servers: int = UNKNOWN_SERVER_COUNT,
    with_verdicts: bool = False,
) -> Evidence:
    """Return the evidence about ``site`` for nodes of the site ``home``.

    ``is_unreachable``: none of the site's nodes is reachable as a member; ``with_verdicts``:
    whether verdicts of members without observations count.

    Observations by nodes of ``site`` count only if it is ``home``: those nodes reach their servers
    by another network path.  So do nodes of third sites; they count only if fewer than
    ``MIN_REPORTERS`` nodes of ``home`` have observations.
    """
    fresh = [member for member in members if member.age_us <= MAX_AGE_US]
    observed = [member.of_site(site, with_verdicts=with_verdicts) for member in fresh]
    observers = [member for member in observed if member.has_called_servers]
    from_home = [member for member in observers if member.site == home]
    from_third_sites = [member for member in observers if member.site not in (home, site)]
    is_home_sufficient = len(from_home) >= MIN_REPORTERS or not from_third_sites
    counted = from_home if is_home_sufficient else from_home + from_third_sites
    responding, timed_out, failed = _sum_counts(counted)
    is_home_failing = bool(from_home) and timed_out + failed > responding
    return Evidence(
        responding,
        timed_out,
        failed,
        reporters=len(counted),
        fresh_members=len(fresh),
        failure_reporters=tuple(
            sorted(reporter.name for reporter in counted if reporter.has_mostly_failures)[
                :MAX_NAMED_REPORTERS
            ]
        ),
        reachable_elsewhere=is_home_failing and _is_reached_by(from_third_sites),
        is_unreachable=is_unreachable,
        listed_servers=listed_servers,
    )


def _with_verdict(observation: SiteObservation) -> SiteObservation:
    """Return an observation without attempts, but with a verdict, as one unhealthy server."""
    called_servers = observation.responding + observation.timed_out + observation.failed
    if not observation.verdict or called_servers:
        return observation
    return SiteObservation(
        observation.site,
        timed_out=int(observation.verdict == SiteVerdict.CUT_OFF),
        failed=int(observation.verdict == SiteVerdict.LOST),
    )


def _is_reached_by(members: Iterable[MemberObservations]) -> bool:
    responding, timed_out, failed = _sum_counts(members)
    return responding > timed_out + failed


def _sum_counts(members: Iterable[MemberObservations]) -> tuple[int, int, int]:
    """Return how many servers responded, timed out and failed."""
    observations = [each for member in members for each in member.observations]
    return (
        sum(each.responding for each in observations),
        sum(each.timed_out for each in observations),
        sum(each.failed for each in observations),
    )
