"""Assesses how complete a node's view of the members is, and how each use of membership reacts.

A pure function maps a node's known members to a state.  Clients' requests are served in every state
from the node's own endpoint list: membership never rejects a request.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

# A member that failed longer ago counts as removed, not as unreachable.
FORGET_FAILED_AFTER_US = 3_600_000_000
MIN_PARTITION_FRACTION = 0.2  # of the known members; fewer unreachable ones are single failures
MIN_PARTITION_MEMBERS = 2
MAX_REPORTERS = 3  # named in a view


class ViewState(StrEnum):
    """How complete the view is; the values are shown to operators."""

    STARTING = "starting"
    COMPLETE = "whole"
    PARTITIONED = "parted"
    ISOLATED = "alone"


@dataclass(frozen=True, slots=True)
class MemberView:
    """One member in a node's view, which includes the node itself."""

    name: str
    is_reachable: bool
    since_us: int  # time of its last state change
    site: str = ""
    reported_by: str = ""  # member whose report made it unreachable


@dataclass(frozen=True, slots=True)
class ClusterView:
    """A node's view of all members."""

    state: ViewState
    known: int  # known members, including the node itself, without those that left
    unreachable: int  # of the known members
    unreachable_sites: tuple[str, ...] = ()  # sites without any reachable member
    is_larger_partition: bool = True  # of two halves, the one with the first name
    reporters: tuple[str, ...] = ()  # who reported members unreachable, most frequent first

    def __str__(self) -> str:
        """Return a one-line summary for operators."""
        if self.state in (ViewState.COMPLETE, ViewState.STARTING):
            return f"{self.state}: {self.known - self.unreachable} of {self.known} in reach"
        part = f"{self.unreachable} of {self.known}"
        if self.unreachable_sites:
            part = f"site {', '.join(self.unreachable_sites)}"
        side = "the larger part" if self.is_larger_partition else "the smaller part"
        reporters = ", ".join(self.reporters) or "none"
        return f"{self.state}: {part} out of reach, this is {side}, by the word of {reporters}"


def assess(
    own_name: str,
    members: Iterable[MemberView],
    now_us: int,
    *,
    is_starting: bool = False,
    is_replaced: bool = False,
) -> ClusterView:
    """Return the view of ``own_name``; ``members`` are all known ones except those that left."""
    known = [
        member
        for member in members
        if member.is_reachable or now_us - member.since_us <= FORGET_FAILED_AFTER_US
    ]
    reachable = [member for member in known if member.is_reachable]
    unreachable = [member for member in known if not member.is_reachable]
    sites = _unreachable_sites(reachable, unreachable)
    if is_replaced or (len(reachable) <= 1 and unreachable):
        state = ViewState.ISOLATED
    elif is_starting:
        state = ViewState.STARTING
    elif sites or len(unreachable) >= max(
        MIN_PARTITION_MEMBERS, MIN_PARTITION_FRACTION * len(known)
    ):
        state = ViewState.PARTITIONED
    else:
        state = ViewState.COMPLETE
    return ClusterView(
        state,
        known=len(known),
        unreachable=len(unreachable),
        unreachable_sites=sites,
        is_larger_partition=_is_larger_partition(own_name, known, reachable),
        reporters=_reporters(unreachable),
    )


def _unreachable_sites(
    reachable: list[MemberView], unreachable: list[MemberView]
) -> tuple[str, ...]:
    reachable_sites = {member.site for member in reachable}
    counts = Counter(member.site for member in unreachable)
    return tuple(
        sorted(
            site
            for site, members in counts.items()
            if site and site not in reachable_sites and members >= MIN_PARTITION_MEMBERS
        )
    )


def _is_larger_partition(
    own_name: str, known: list[MemberView], reachable: list[MemberView]
) -> bool:
    if 2 * len(reachable) != len(known):
        return 2 * len(reachable) > len(known)
    first_name = min((member.name for member in known), default=own_name)
    return any(member.name == first_name for member in reachable)


def _reporters(unreachable: list[MemberView]) -> tuple[str, ...]:
    counts = Counter(member.reported_by for member in unreachable if member.reported_by)
    by_frequency = sorted(counts.items(), key=lambda item: (-item[1], item[0]))
    return tuple(name for name, _ in by_frequency[:MAX_REPORTERS])


class Reaction(StrEnum):
    """How a use of membership reacts to a state; the values are part of operators' pages."""

    SERVE = "serve"
    WAIT = "wait"
    UPDATE = "move"
    KEEP = "keep"
    DISCARD = "give up"
    USE = "heed"
    IGNORE = "ignore"


@dataclass(frozen=True, slots=True)
class ViewUse:
    """The reactions of one use of membership: a row of the table in operators' pages."""

    name: str
    starting: Reaction
    complete: Reaction
    partitioned: Reaction
    isolated: Reaction

    def reaction(self, state: ViewState) -> Reaction:
        """Return the reaction to this state."""
        match state:
            case ViewState.STARTING:
                return self.starting
            case ViewState.COMPLETE:
                return self.complete
            case ViewState.PARTITIONED:
                return self.partitioned
            case ViewState.ISOLATED:
                return self.isolated


CLIENT_REQUESTS = ViewUse(
    "callers' requests",
    starting=Reaction.SERVE,
    complete=Reaction.SERVE,
    partitioned=Reaction.SERVE,
    isolated=Reaction.SERVE,
)
REPLICA_INDEX = ViewUse(
    "this node's place among its tier",
    starting=Reaction.WAIT,
    complete=Reaction.UPDATE,
    partitioned=Reaction.KEEP,
    isolated=Reaction.KEEP,
)
FAILURE_REPORTS = ViewUse(
    "others' word on failing servers",
    starting=Reaction.IGNORE,
    complete=Reaction.USE,
    partitioned=Reaction.USE,
    isolated=Reaction.IGNORE,
)
LOAD_REPORTS = ViewUse(
    "others' loads and copies",
    starting=Reaction.IGNORE,
    complete=Reaction.USE,
    partitioned=Reaction.USE,
    isolated=Reaction.IGNORE,
)
SITE_VERDICT_LARGER_PARTITION = ViewUse(
    "a verdict on another site (larger part)",
    starting=Reaction.WAIT,
    complete=Reaction.USE,
    partitioned=Reaction.USE,
    isolated=Reaction.DISCARD,
)
SITE_VERDICT_SMALLER_PARTITION = ViewUse(
    "a verdict on another site (smaller part)",
    starting=Reaction.WAIT,
    complete=Reaction.USE,
    partitioned=Reaction.DISCARD,
    isolated=Reaction.DISCARD,
)

VIEW_USES = (
    CLIENT_REQUESTS,
    REPLICA_INDEX,
    FAILURE_REPORTS,
    LOAD_REPORTS,
    SITE_VERDICT_LARGER_PARTITION,
    SITE_VERDICT_SMALLER_PARTITION,
)
