"""The state of a system of three members, as the model checker stores it.

States are compared by all their contents, including the random generators, so that no distinct
state is skipped.
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
MAX_IN_FLIGHT = 4  # messages; beyond it the oldest ones are lost

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)


class SmallGenerator(random.Random):
    """A random generator with 64 bits of state, which keeps serialized members small.

    Source: linear congruential generator with Knuth's MMIX constants, output by xorshift.
    """

    def __init__(self, state: int = 1) -> None:
        """Start with this state."""
        super().__init__(0)
        self.state = state

    def random(self) -> float:
        """Return a number from [0, 1)."""
        return self.getrandbits(53) / (1 << 53)

    def getrandbits(self, bit_count: int) -> int:
        """Return ``bit_count`` random bits, at most 64."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        value = self.state
        return ((value ^ value >> 32) * 0x9E3779B97F4A7C15 % (1 << 64)) >> (64 - bit_count)

    def __reduce__(self) -> tuple[Any, ...]:
        """Return the constructor and state for pickle."""
        return SmallGenerator, (self.state,)


@dataclass(frozen=True, slots=True)
class InFlight:
    """A message in flight, or a requested push-pull exchange."""

    recipient: str
    sender: str
    message: bytes  # encoded; empty for an exchange
    is_duplicate: bool = False  # it has arrived once already

    @property
    def is_push_pull(self) -> bool:
        """Return whether this is a push-pull exchange."""
        return not self.message

    def datagram(self) -> Datagram:
        """Decode the message."""
        return _decoder.decode(self.message)


@dataclass(frozen=True, slots=True)
class SystemState:
    """Time, serialized members (None if the process is down), and messages in flight."""

    now_us: int
    members: tuple[bytes | None, ...]
    in_flight: tuple[InFlight, ...]
    remaining_crashes: int = 1
    remaining_leaves: int = 1
    last_generation: int = 1  # of the process started last

    def digest(self) -> bytes:
        """Return a hash of the state's contents."""
        content = (
            self.now_us,
            self.members,
            self.in_flight,
            self.remaining_crashes,
            self.remaining_leaves,
            self.last_generation,
        )
        return blake2b(pickle.dumps(content), digest_size=8).digest()


def serialize(member: Member) -> bytes:
    """Serialize a member without counters and history, which don't affect its behaviour."""
    member.counts.clear()
    for known in member.members.values():
        known.history = ()
    return pickle.dumps(member)


def deserialize(data: bytes) -> Member:
    """Deserialize a member."""
    member = pickle.loads(data)  # trusted: serialized by this process
    assert isinstance(member, Member)
    return member


def new_member(name: str, generation: int, now_us: int) -> Member:
    """Return a member with a small random generator, seeded by name and generation."""
    index = NAMES.index(name)
    member = Member(name, name, generation, {}, generation * 31 + index, now_us, OPTIONS)
    member.use_generator(SmallGenerator(generation * 1009 + index * 101 + 7))
    return member


def after_step(
    state: SystemState, index: int, member: Member | None, actions: list[Action], **changes: Any
) -> SystemState:
    """Return the state after a step of one member; ``changes`` are further fields of the state."""
    members = list(state.members)
    members[index] = None if member is None else serialize(member)
    in_flight = (*changes.pop("in_flight", state.in_flight), *in_flight_from(NAMES[index], actions))
    distinct = tuple(dict.fromkeys(in_flight))
    return replace(state, members=tuple(members), in_flight=distinct[-MAX_IN_FLIGHT:], **changes)


def in_flight_from(sender: str, actions: list[Action]) -> Iterator[InFlight]:
    """Yield the messages and exchanges that a member's actions put in flight."""
    for action in actions:
        if isinstance(action, SendDatagram):
            yield InFlight(action.address, sender, _encoder.encode(action.message))
        elif isinstance(action, StartPushPull):
            yield InFlight(action.address, sender, message=b"")
