"""How complete a node's view of the other members is, and what each use of membership does then.

A pure function from the members as a node holds them to a state.  Callers' requests are served in
every state, from the node's own endpoint list: membership never rejects a request.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

FORGET_FAILED_AFTER_US = 3_600_000_000  # a member that failed longer ago is gone, not out of reach
LARGE_PART = 0.2  # of the members last known; fewer are single failures
MIN_PART_MEMBERS = 2
MAX_REPORTERS = 3


class ViewState(StrEnum):
    """How complete the view is; operators read the values."""

    STARTING = "starting"
    COMPLETE = "whole"
    PARTITIONED = "parted"
    ISOLATED = "alone"


@dataclass(frozen=True, slots=True)
class MemberView:
    """One member as a node holds it, the node itself included."""

    name: str
    is_reachable: bool
    since_us: int  # in this state
    site: str = ""
    reported_by: str = ""  # by whose report it is out of reach


@dataclass(frozen=True, slots=True)
class ClusterView:
    """A node's view of all members."""

    state: ViewState
    known: int  # members last known, itself included; those that left are not
    unreachable: int  # of them
    unreachable_sites: tuple[str, ...] = ()  # sites without any reachable member
    is_larger_partition: bool = True  # of two halves the one with the first name is
    reporters: tuple[str, ...] = ()  # whose reports it rests on, the most frequent first

    def __str__(self) -> str:
        """Return the line that an operator reads."""
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
    starting: bool = False,
    replaced: bool = False,
) -> ClusterView:
    """Return the view of ``own_name``; ``members`` are all that it holds but those that left."""
    known = [m for m in members if m.is_reachable or now_us - m.since_us <= FORGET_FAILED_AFTER_US]
    reachable = [m for m in known if m.is_reachable]
    unreachable = [m for m in known if not m.is_reachable]
    sites = _unreachable_sites(reachable, unreachable)
    if replaced or (len(reachable) <= 1 and unreachable):
        state = ViewState.ISOLATED
    elif starting:
        state = ViewState.STARTING
    elif sites or len(unreachable) >= max(MIN_PART_MEMBERS, LARGE_PART * len(known)):
        state = ViewState.PARTITIONED
    else:
        state = ViewState.COMPLETE
    return ClusterView(
        state,
        known=len(known),
        unreachable=len(unreachable),
        unreachable_sites=sites,
        is_larger_partition=_is_larger_part(own_name, known, reachable),
        reporters=_reporters(unreachable),
    )


def _unreachable_sites(
    reachable: list[MemberView], unreachable: list[MemberView]
) -> tuple[str, ...]:
    reachable_sites = {m.site for m in reachable}
    counts = Counter(m.site for m in unreachable)
    return tuple(
        sorted(
            site
            for site, members in counts.items()
            if site and site not in reachable_sites and members >= MIN_PART_MEMBERS
        )
    )


def _is_larger_part(own_name: str, known: list[MemberView], reachable: list[MemberView]) -> bool:
    if 2 * len(reachable) != len(known):
        return 2 * len(reachable) > len(known)
    first_name = min((m.name for m in known), default=own_name)
    return any(m.name == first_name for m in reachable)


def _reporters(unreachable: list[MemberView]) -> tuple[str, ...]:
    counts = Counter(m.reported_by for m in unreachable if m.reported_by)
    by_frequency = sorted(counts.items(), key=lambda item: (-item[1], item[0]))
    return tuple(name for name, _ in by_frequency[:MAX_REPORTERS])


class Reaction(StrEnum):
    """What a use of membership does in one state."""

    SERVE = "serve"
    WAIT = "wait"
    UPDATE = "move"
    KEEP = "keep"
    DISCARD = "give up"
    USE = "heed"
    IGNORE = "ignore"


@dataclass(frozen=True, slots=True)
class ViewUse:
    """What one use of membership does in each state, as a row of the operators' page."""

    name: str
    starting: Reaction
    complete: Reaction
    partitioned: Reaction
    isolated: Reaction

    def reaction(self, state: ViewState) -> Reaction:
        """Return what it does in this state."""
        match state:
            case ViewState.STARTING:
                return self.starting
            case ViewState.COMPLETE:
                return self.complete
            case ViewState.PARTITIONED:
                return self.partitioned
            case ViewState.ISOLATED:
                return self.isolated


CALLERS_REQUESTS = ViewUse(
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
    CALLERS_REQUESTS,
    REPLICA_INDEX,
    FAILURE_REPORTS,
    LOAD_REPORTS,
    SITE_VERDICT_LARGER_PARTITION,
    SITE_VERDICT_SMALLER_PARTITION,
)
