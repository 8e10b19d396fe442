"""Actions that a member returns for its runner to carry out, and the events that it counts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from oakbridge.peers.messages import Datagram


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send a datagram, encoded in ``version``, to ``address``."""

    address: str
    message: Datagram
    version: int


@dataclass(frozen=True, slots=True)
class StartPushPull:
    """Start a push-pull exchange with the member at this address, and report its result."""

    address: str


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """The state of a member has changed in this member's view."""

    at_us: int
    name: str
    before: str  # label of the previous state, "" for a member that was unknown
    after: str
    reported_by: str
    cause: str
    address: str


@dataclass(frozen=True, slots=True)
class NameTaken:
    """A process that started later uses this member's name: this process is no longer a member."""

    by_address: str


Action = SendDatagram | StartPushPull | MemberChanged | NameTaken


class MemberCounter(StrEnum):
    """Events that a member counts; the values are keys in the JSON of ``oakbridge peers``."""

    LATE_TIMERS = "late"
    SENDER_HAS_OWN_NAME = "own name"
    OLD_GENERATIONS = "of old lives"
    WRONG_TARGET = "not for me"
    RELAYS_REFUSED = "relays refused"
    REFUTATIONS = "refuted"
    GENERATIONS_RAISED = "lives"
    TABLE_FULL = "full"
    PUSH_PULLS_FAILED = "exchanges failed"
