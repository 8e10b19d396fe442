"""Schema of the messages between members.

Each structure is encoded as a msgpack array: a field is identified by its position, not its name,
so renaming a field changes nothing on the wire.  A later version adds fields at the end and gives
them defaults; a reader ignores trailing fields that it doesn't know.

Source of suspicion and incarnations: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable
Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002.  The generation is
an addition of oakbridge.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

MAX_NAME_LENGTH = 64  # characters
MAX_TEXT_LENGTH = 48  # characters
MAX_TAGS = 8
MAX_FAILING_SERVERS = 8  # in one node report
MAX_SITES = 8  # in one site report
MAX_DATAGRAM_ITEMS = 64  # records, and as many reports
MAX_REPORT_AGE_MS = 3_600_000

NodeName = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
OptionalNodeName = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]  # "" for none
ShortText = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_LENGTH)]
UnsignedInt = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
BoundedCount = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
TimestampMs = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
Tags = Annotated[dict[ShortText, ShortText], msgspec.Meta(max_length=MAX_TAGS)]


class MemberState(IntEnum):
    """A member's state; within one incarnation a greater value supersedes a smaller one."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3

    @property
    def label(self) -> str:
        """The state's name in operators' output and in logs."""
        return self.name.lower()


class MessageKind(IntEnum):
    """The kind of a datagram."""

    PING = 0
    ACK = 1
    PING_REQ = 2
    NACK = 3
    GOSSIP = 4


class SiteVerdict(IntEnum):
    """A member's verdict about a site."""

    NONE = 0
    LOST = 1
    CUT_OFF = 2


class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """One claim about one member, ordered by (generation, token, incarnation, state).

    Only the member itself raises its *incarnation*, to refute a suspicion or failure (SWIM).  Its
    *generation* distinguishes a process from earlier ones of the same name: a process chooses it at
    its start, above every generation of its name that it learns of.  A process that finds a greater
    generation of its own name alive has been replaced and gives up the name.  So two processes of
    one name don't displace each other in turn: the later start wins.
    """

    name: NodeName
    address: ShortText  # IPv4:port
    generation: UnsignedInt
    token: UnsignedInt  # random; distinguishes processes that chose the same generation
    incarnation: UnsignedInt
    state: MemberState
    reported_by: OptionalNodeName = ""  # the member that suspects it or declared it failed
    # Newest format version that the member reads.
    max_version: Annotated[int, msgspec.Meta(ge=1, le=255)] = 1
    tags: Tags = {}

    @property
    def process_key(self) -> tuple[int, int]:
        """Identify the process among all that have used this name."""
        return self.generation, self.token

    @property
    def precedence(self) -> tuple[int, int, int, int]:
        """Order claims about one member: the greater one supersedes the other."""
        return self.generation, self.token, self.incarnation, self.state

    def supersedes(self, other: MemberRecord) -> bool:
        """Return whether this claim replaces another one about the same member."""
        return self.precedence > other.precedence

    def with_state(self, state: MemberState, reported_by: str = "") -> MemberRecord:
        """Return a claim of the same incarnation with another state."""
        return msgspec.structs.replace(self, state=state, reported_by=reported_by)

    def without_tags(self) -> MemberRecord:
        """Return the claim without its tags, which only the member's own claims have to carry."""
        return msgspec.structs.replace(self, tags={})


class SiteObservation(msgspec.Struct, array_like=True, frozen=True):
    """A member's recent results with one site's servers; it counts servers, not requests."""

    site: ShortText
    responding: BoundedCount = 0
    timed_out: BoundedCount = 0
    failed: BoundedCount = 0
    verdict: SiteVerdict = SiteVerdict.NONE


class SiteOverride(msgspec.Struct, array_like=True, frozen=True):
    """An operator's command to drain a site, or to return it to service."""

    site: ShortText
    # Wall-clock time of the node that received the command, above earlier stamps of the site.
    stamp_ms: TimestampMs
    drained: bool
    operator: ShortText = ""

    @property
    def precedence(self) -> tuple[int, str, bool]:
        """Order overrides of one site: the greater one supersedes the other."""
        return self.stamp_ms, self.operator, self.drained


class SiteReport(msgspec.Struct, array_like=True, frozen=True):
    """A member's report about sites and its own overload; see ``oakbridge/sites``."""

    observations: Annotated[tuple[SiteObservation, ...], msgspec.Meta(max_length=MAX_SITES)] = ()
    calls_per_s: BoundedCount = 0  # requests, without those rejected by load shedding
    overload_per_mille: BoundedCount = 0  # of these requests, rejected for lack of capacity
    shedding_per_mille: BoundedCount = 0  # the load-shedding level
    shedding_leader: OptionalNodeName = ""  # the member that set the level
    overrides: Annotated[tuple[SiteOverride, ...], msgspec.Meta(max_length=MAX_SITES)] = ()
    plan_version: BoundedCount = 0


class NodeReport(msgspec.Struct, array_like=True, frozen=True):
    """A member's report of its current load.

    Each member that passes the report on adds to its age, so clocks are never compared.
    """

    name: NodeName
    generation: UnsignedInt
    sequence: UnsignedInt  # number of the report within the generation; the greatest is the newest
    age_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_REPORT_AGE_MS)] = 0
    in_flight: UnsignedInt = 0  # requests
    subset_size: UnsignedInt = 0  # servers in use
    failing_servers: Annotated[
        tuple[NodeName, ...], msgspec.Meta(max_length=MAX_FAILING_SERVERS)
    ] = ()
    site_report: SiteReport | None = None
    requests_per_10s: UnsignedInt = 0  # rounded to coarse steps; 0: not reported

    @property
    def precedence(self) -> tuple[int, int]:
        """Order reports of one member: the greater one supersedes the other."""
        return self.generation, self.sequence


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """One message, with as many records and reports as fit into the datagram."""

    kind: MessageKind
    sequence: UnsignedInt  # of the probe, chosen by the member that started it
    sender: NodeName
    generation: UnsignedInt
    incarnation: UnsignedInt
    # Name of the probed member: another one at its address must not reply.
    target: OptionalNodeName = ""
    target_address: ShortText = ""  # of a PING_REQ
    records: Annotated[tuple[MemberRecord, ...], msgspec.Meta(max_length=MAX_DATAGRAM_ITEMS)] = ()
    reports: Annotated[tuple[NodeReport, ...], msgspec.Meta(max_length=MAX_DATAGRAM_ITEMS)] = ()


class PushPullState(msgspec.Struct, array_like=True, frozen=True):
    """One side of a push-pull exchange: all that the sender knows."""

    sender: NodeName
    generation: UnsignedInt
    records: tuple[MemberRecord, ...]
    reports: tuple[NodeReport, ...] = ()


_encoder = msgspec.msgpack.Encoder()


def encoded_size(message: msgspec.Struct) -> int:
    """Return the size of a structure of this schema in msgpack, in bytes."""
    return len(_encoder.encode(message))
