"""The state of a system of three members, as the search of all interleavings keeps it.

States are told apart by all that they hold, random generators included, so that none is left out
for looking like another.
"""

from __future__ import annotations

import pickle
import random
from collections.abc import Iterator
from dataclasses import dataclass, replace
from hashlib import blake2b
from typing import Any

import msgspec

from oakbridge.peers.actions import Action, SendDatagram, StartPushPull
from oakbridge.peers.member import Member
from oakbridge.peers.messages import Datagram
from oakbridge.peers.protocol_options import ProtocolOptions

MS_US = 1_000
OPTIONS = ProtocolOptions(
    probe_interval_us=200 * MS_US,
    probe_timeout_us=80 * MS_US,
    gossip_interval_us=100 * MS_US,
    reconnect_interval_us=800 * MS_US,
    push_pull_interval_us=4_000 * MS_US,
    indirect_probes=1,
    gossip_fanout=1,
)
NAMES = ("a", "b", "c")
MAX_IN_FLIGHT = 4  # beyond it the oldest message is lost

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)


class SmallGenerator(random.Random):
    """A generator of 64 bits, so that a state is small.

    Source: Knuth's MMIX constants, and xorshift of the top.
    """

    def __init__(self, state: int = 1) -> None:
        """Begin with this state, which is all that it holds."""
        super().__init__(0)
        self.state = state

    def random(self) -> float:
        """Draw from [0, 1)."""
        return self.getrandbits(53) / (1 << 53)

    def getrandbits(self, k: int) -> int:
        """Draw so many bits, at most 64."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        x = self.state
        return ((x ^ x >> 32) * 0x9E3779B97F4A7C15 % (1 << 64)) >> (64 - k)

    def __reduce__(self) -> tuple[Any, ...]:
        """Return its form for pickle."""
        return SmallGenerator, (self.state,)


@dataclass(frozen=True, slots=True)
class InFlight:
    """One message, or a push-pull exchange that was asked for."""

    recipient: str
    sender: str
    message: bytes  # empty for an exchange
    is_duplicate: bool = False  # it has arrived once

    @property
    def is_push_pull(self) -> bool:
        """Return whether this is an exchange."""
        return not self.message

    def datagram(self) -> Datagram:
        """Return the message as its recipient reads it."""
        return _decoder.decode(self.message)


@dataclass(frozen=True, slots=True)
class SystemState:
    """All there is: members as bytes (None: there is no such process), messages, time."""

    now_us: int
    members: tuple[bytes | None, ...]
    in_flight: tuple[InFlight, ...]
    crashes_left: int = 1
    leaves_left: int = 1
    last_generation: int = 1  # of the last process that was started

    def digest(self) -> bytes:
        """Return what tells states apart."""
        content = (
            self.now_us,
            self.members,
            self.in_flight,
            self.crashes_left,
            self.leaves_left,
            self.last_generation,
        )
        return blake2b(pickle.dumps(content), digest_size=8).digest()


def freeze(member: Member) -> bytes:
    """Return a member as bytes, without what decides nothing."""
    member.counts.clear()
    for known in member.members.values():
        known.history = ()
    return pickle.dumps(member)


def thaw(data: bytes) -> Member:
    """Return the member again."""
    member = pickle.loads(data)  # our own bytes, of this process
    assert isinstance(member, Member)
    return member


def new_member(name: str, generation: int, now_us: int) -> Member:
    """Return a member of small state, whose draws follow from name and generation."""
    index = NAMES.index(name)
    member = Member(name, name, generation, {}, generation * 31 + index, now_us, OPTIONS)
    member.use_generator(SmallGenerator(generation * 1009 + index * 101 + 7))
    return member


def after_step(
    state: SystemState, index: int, member: Member | None, actions: list[Action], **changes: Any
) -> SystemState:
    """Return the state after a member's step."""
    members = list(state.members)
    members[index] = None if member is None else freeze(member)
    in_flight = (*changes.pop("in_flight", state.in_flight), *sent_by(NAMES[index], actions))
    distinct = tuple(dict.fromkeys(in_flight))
    return replace(state, members=tuple(members), in_flight=distinct[-MAX_IN_FLIGHT:], **changes)


def sent_by(sender: str, actions: list[Action]) -> Iterator[InFlight]:
    """Yield what a member's step sets in flight."""
    for action in actions:
        if isinstance(action, SendDatagram):
            yield InFlight(action.address, sender, _encoder.encode(action.message))
        elif isinstance(action, StartPushPull):
            yield InFlight(action.address, sender, message=b"")
