"""What a member asks its runner to do, and what it reports."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from oakbridge.peers.messages import Datagram


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send this message."""

    address: str
    message: Datagram
    version: int


@dataclass(frozen=True, slots=True)
class StartPushPull:
    """Begin a push-pull exchange with the member at this address, and report how it ends."""

    address: str


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member's state has changed."""

    at_us: int
    name: str
    before: str  # a state's label, "" for a member that was not known
    after: str
    reported_by: str
    cause: str
    address: str


@dataclass(frozen=True, slots=True)
class NameTaken:
    """A later start has taken this member's name: this process is no member any more."""

    by_address: str


Action = SendDatagram | StartPushPull | MemberChanged | NameTaken


class MemberCounter(StrEnum):
    """What a member counts; the values stand in the JSON of ``oakbridge peers``."""

    LATE_TIMERS = "late"
    OWN_NAME = "own name"
    OLD_GENERATIONS = "of old lives"
    NOT_FOR_ME = "not for me"
    RELAYS_REFUSED = "relays refused"
    REFUTATIONS = "refuted"
    GENERATIONS_RAISED = "lives"
    TABLE_FULL = "full"
    PUSH_PULLS_FAILED = "exchanges failed"
