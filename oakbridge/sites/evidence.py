"""What nodes observe of each site's servers, pooled.  Pure.

Many nodes that each called a few servers know together how a site is.  An observation counts
servers, not calls: a single slow server can't condemn its site, however many calls it spoils.
Whoever holds a site for lost sends nothing there and soon has no fresh observation: its verdict
then stands for one failed server, to those that have no verdict of their own yet.  Whether a site
is back is decided by fresh observations alone.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from oakbridge.peers.messages import SiteObservation, SiteVerdict

MAX_AGE_US = 4_000_000  # an older observation says nothing of the present
MIN_REPORTERS = 3  # that must have called a site's servers, or as many as are reachable
MAX_REPORTERS_NAMED = 4
UNKNOWN_SERVER_COUNT = 1000


@dataclass(frozen=True, slots=True)
class MemberObservations:
    """What one member observes of sites, and how old that is."""

    name: str
    site: str  # that the member itself is in
    age_us: int
    observations: tuple[SiteObservation, ...]

    def of_site(self, site: str, *, with_verdicts: bool) -> MemberObservations:
        """Return only what concerns one site."""
        kept = (o for o in self.observations if o.site == site)
        counted = (_with_verdict(o) for o in kept) if with_verdicts else kept
        return replace(self, observations=tuple(counted))

    @property
    def has_called(self) -> bool:
        """Whether the member has called any server."""
        return any(o.responding + o.timed_out + o.failed for o in self.observations)

    @property
    def blames(self) -> bool:
        """Whether more servers failed it than responded."""
        return any(o.timed_out + o.failed > o.responding for o in self.observations)


@dataclass(frozen=True, slots=True)
class Evidence:
    """All fresh observations of one site; counts of servers are summed over nodes."""

    responding: int = 0  # servers whose last call was answered
    timed_out: int = 0  # whose last call was not
    failed: int = 0  # whose last call was refused or broken off
    reporters: int = 0  # nodes that called any of its servers
    fresh_members: int = 0  # nodes that reported anything lately
    failure_reporters: tuple[str, ...] = ()  # some of the nodes that found failures
    reachable_elsewhere: bool = False  # nodes of a third site find it well while ours do not
    is_unreachable: bool = False  # none of its nodes is reachable as a member either
    listed_servers: int = UNKNOWN_SERVER_COUNT

    @property
    def unhealthy(self) -> int:
        """Servers whose last call did not succeed."""
        return self.timed_out + self.failed

    @property
    def called(self) -> int:
        """Servers that were called."""
        return self.responding + self.unhealthy

    @property
    def unhealthy_fraction(self) -> float:
        """The fraction of the called servers that is unhealthy; 0 where none was called."""
        return self.unhealthy / self.called if self.called else 0.0

    @property
    def is_mostly_silent(self) -> bool:
        """Whether more servers time out than fail."""
        return self.timed_out > self.failed

    @property
    def is_sufficient(self) -> bool:
        """Whether a verdict may rest on it."""
        if self.is_unreachable:
            return self.reporters >= 1
        return self.reporters >= min(MIN_REPORTERS, max(1, self.fresh_members))

    def has_responses(self, wanted: int) -> bool:
        """Return whether so many servers responded, or as many as the site has."""
        return self.responding >= min(wanted, max(1, self.listed_servers))


def pool_evidence(
    site: str,
    home: str,
    members: Iterable[MemberObservations],
    *,
    is_unreachable: bool = False,
    listed_servers: int = UNKNOWN_SERVER_COUNT,
    with_verdicts: bool = False,
) -> Evidence:
    """Return what is known of a site, as it concerns nodes of the site ``home``.

    ``is_unreachable``: none of the site's nodes is reachable as a member; ``with_verdicts``:
    whether verdicts of others count beside what was observed.

    Observations by nodes in the site itself count only where it is their own home: whether *they*
    reach their servers says nothing about the way from here.  Where nodes of this home have called
    it, theirs go before those of third sites: the way from there may be another one.
    """
    fresh = [member for member in members if member.age_us <= MAX_AGE_US]
    observed = [member.of_site(site, with_verdicts=with_verdicts) for member in fresh]
    callers = [member for member in observed if member.has_called]
    from_home = [member for member in callers if member.site == home]
    from_third_sites = [member for member in callers if member.site not in (home, site)]
    home_is_enough = len(from_home) >= MIN_REPORTERS or not from_third_sites
    counted = from_home if home_is_enough else from_home + from_third_sites
    responding, timed_out, failed = _sums(counted)
    home_fails = bool(from_home) and timed_out + failed > responding
    return Evidence(
        responding,
        timed_out,
        failed,
        reporters=len(counted),
        fresh_members=len(fresh),
        failure_reporters=tuple(sorted(m.name for m in counted if m.blames)[:MAX_REPORTERS_NAMED]),
        reachable_elsewhere=home_fails and _is_reached_by(from_third_sites),
        is_unreachable=is_unreachable,
        listed_servers=listed_servers,
    )


def _with_verdict(observation: SiteObservation) -> SiteObservation:
    """Turn the verdict of a member that calls no server any more into one failed server."""
    called = observation.responding + observation.timed_out + observation.failed
    if not observation.verdict or called:
        return observation
    return SiteObservation(
        observation.site,
        timed_out=int(observation.verdict == SiteVerdict.CUT_OFF),
        failed=int(observation.verdict == SiteVerdict.LOST),
    )


def _is_reached_by(members: Iterable[MemberObservations]) -> bool:
    responding, timed_out, failed = _sums(members)
    return responding > timed_out + failed


def _sums(members: Iterable[MemberObservations]) -> tuple[int, int, int]:
    """Return how many servers responded, timed out and failed."""
    observations = [o for member in members for o in member.observations]
    return (
        sum(o.responding for o in observations),
        sum(o.timed_out for o in observations),
        sum(o.failed for o in observations),
    )
