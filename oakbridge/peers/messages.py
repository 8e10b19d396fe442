"""The schema of what members send each other.

Every structure here is written as a msgpack array: a field is known by its position, never by its
name, so renaming a field changes nothing on the wire.  A field that a later version adds comes last
and has a default; a reader passes over fields that it does not know.

Source of suspicion and incarnations: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable
Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002.  The generation is
ours.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

MAX_NAME_LENGTH = 64
MAX_TEXT_LENGTH = 48
MAX_TAGS = 8
MAX_FAILING_SERVERS = 8  # that one node report names
MAX_SITES = 8  # that one site report speaks of
MAX_DATAGRAM_ITEMS = 64
MAX_REPORT_AGE_MS = 3_600_000

NodeName = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
OptionalNodeName = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]  # "" for none
ShortText = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_LENGTH)]
UnsignedInt = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
BoundedCount = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
TimestampMs = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
Tags = Annotated[dict[ShortText, ShortText], msgspec.Meta(max_length=MAX_TAGS)]


class MemberState(IntEnum):
    """A member's state; within one incarnation a greater one supersedes a lesser one."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3

    @property
    def label(self) -> str:
        """The name that operators read."""
        return self.name.lower()


class MessageKind(IntEnum):
    """What a datagram asks or answers."""

    PING = 0
    ACK = 1
    PING_REQ = 2
    NACK = 3
    GOSSIP = 4


class SiteVerdict(IntEnum):
    """How a member judges a site."""

    NONE = 0
    LOST = 1
    CUT_OFF = 2


class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """One claim about one member, ordered by (generation, token, incarnation, state).

    Only the member itself raises its *incarnation*, to refute that it has failed (SWIM).  Its
    *generation* tells a process from the earlier one of the same name: a process chooses it at its
    start, above every generation of its name that it hears of.  Whoever finds a greater generation
    of its own name alive has been replaced and gives the name up, so two processes of one name do
    not take it from each other in turn: the later start wins.
    """

    name: NodeName
    address: ShortText  # IPv4:port
    generation: UnsignedInt
    token: UnsignedInt  # random; tells two processes that chose the same generation apart
    incarnation: UnsignedInt
    state: MemberState
    reported_by: OptionalNodeName = ""  # who suspects it, or declared it failed
    max_version: Annotated[int, msgspec.Meta(ge=1, le=255)] = 1  # the newest format that it reads
    tags: Tags = {}

    @property
    def process_key(self) -> tuple[int, int]:
        """Identify the process among those that have had the name."""
        return self.generation, self.token

    @property
    def precedence(self) -> tuple[int, int, int, int]:
        """Order claims about one member: the greater one counts."""
        return self.generation, self.token, self.incarnation, self.state

    def supersedes(self, other: MemberRecord) -> bool:
        """Return whether this claim replaces another one about the same member."""
        return self.precedence > other.precedence

    def with_state(self, state: MemberState, reported_by: str = "") -> MemberRecord:
        """Return the same incarnation in another state."""
        return msgspec.structs.replace(self, state=state, reported_by=reported_by)

    def without_tags(self) -> MemberRecord:
        """Return the claim without its tags, which only the member itself has to repeat."""
        return msgspec.structs.replace(self, tags={})


class SiteObservation(msgspec.Struct, array_like=True, frozen=True):
    """How a member finds one site's servers that it called lately: counts of servers, not calls."""

    site: ShortText
    responding: BoundedCount = 0
    timed_out: BoundedCount = 0
    failed: BoundedCount = 0
    verdict: SiteVerdict = SiteVerdict.NONE


class SiteOverride(msgspec.Struct, array_like=True, frozen=True):
    """An operator's order to drain one site, or to use it again."""

    site: ShortText
    stamp_ms: TimestampMs  # by the clock of the node that took it, above earlier ones on the site
    drained: bool
    operator: ShortText = ""

    @property
    def precedence(self) -> tuple[int, str, bool]:
        """Order overrides of one site: the greater one counts."""
        return self.stamp_ms, self.operator, self.drained


class SiteReport(msgspec.Struct, array_like=True, frozen=True):
    """What a member tells of sites and of its own overload; see ``oakbridge/sites``."""

    observations: Annotated[tuple[SiteObservation, ...], msgspec.Meta(max_length=MAX_SITES)] = ()
    calls_per_s: BoundedCount = 0  # without those that load shedding rejected
    overload_per_mille: BoundedCount = 0  # of these calls, rejected for want of capacity
    shedding_per_mille: BoundedCount = 0  # the load-shedding level
    shedding_leader: OptionalNodeName = ""  # who set the level
    overrides: Annotated[tuple[SiteOverride, ...], msgspec.Meta(max_length=MAX_SITES)] = ()
    plan_version: BoundedCount = 0


class NodeReport(msgspec.Struct, array_like=True, frozen=True):
    """What a member tells of its present load.

    The age grows as the report is passed on, so that no two clocks are compared.
    """

    name: NodeName
    generation: UnsignedInt
    sequence: UnsignedInt  # of this generation's reports; the greater one counts
    age_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_REPORT_AGE_MS)] = 0
    in_flight: UnsignedInt = 0  # requests
    subset_size: UnsignedInt = 0  # servers in use
    failing_servers: Annotated[
        tuple[NodeName, ...], msgspec.Meta(max_length=MAX_FAILING_SERVERS)
    ] = ()
    site_report: SiteReport | None = None
    requests_per_10s: UnsignedInt = 0  # in coarse steps; 0: not told

    @property
    def precedence(self) -> tuple[int, int]:
        """Order reports of one member: the greater one counts."""
        return self.generation, self.sequence


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """One message, with as much gossip as fits into the datagram."""

    kind: MessageKind
    sequence: UnsignedInt  # of the probe that it belongs to, chosen by whoever began the probe
    sender: NodeName
    generation: UnsignedInt
    incarnation: UnsignedInt
    target: OptionalNodeName = ""  # who is probed: another member at its address must not answer
    target_address: ShortText = ""  # of a PING_REQ
    records: Annotated[tuple[MemberRecord, ...], msgspec.Meta(max_length=MAX_DATAGRAM_ITEMS)] = ()
    reports: Annotated[tuple[NodeReport, ...], msgspec.Meta(max_length=MAX_DATAGRAM_ITEMS)] = ()


class PushPullState(msgspec.Struct, array_like=True, frozen=True):
    """All that one side of a push-pull exchange knows."""

    sender: NodeName
    generation: UnsignedInt
    records: tuple[MemberRecord, ...]
    reports: tuple[NodeReport, ...] = ()


_encoder = msgspec.msgpack.Encoder()


def encoded_size(message: msgspec.Struct) -> int:
    """Return the bytes that a structure of this schema takes in msgpack."""
    return len(_encoder.encode(message))
