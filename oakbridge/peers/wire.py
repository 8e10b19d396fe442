"""Datagrams between members: a version, a tag made with the shared secret, msgpack.

    1 byte version, 16 bytes tag, msgpack of one :class:`Message`

The tag is blake2b keyed with the secret over version and body (RFC 7693, section 2.5 on keyed hashing).  It keeps
strangers and other fleets out; it does not hide anything, and a datagram that is repeated is as good as the first:
every message may arrive twice.  A reader takes the formats that it knows; a writer uses the newest that the reader is
known to read.  What can't be taken is counted by kind and changes nothing.
"""

from __future__ import annotations

import hashlib
import hmac
from collections import Counter
from typing import Annotated, TypeVar

import msgspec

from oakbridge.peers.record import Count, Fact, Name, Record, Word

MAX_DATAGRAM = 1200
OLDEST, NEWEST = 1, 2  # formats; 2 adds facts
TAG = 16
HEAD = 1 + TAG
MAX_STATE = 8 * 1024 * 1024  # bytes of a full exchange

T = TypeVar("T")

PING, ACK, PING_REQ, NACK, GOSSIP = range(5)


class Message(msgspec.Struct, array_like=True, frozen=True):
    """One datagram."""

    kind: Annotated[int, msgspec.Meta(ge=PING, le=GOSSIP)]
    seq: Count  # of the probe that this belongs to, chosen by who began it
    sender: Name
    life: Count
    incarnation: Count
    target: Annotated[str, msgspec.Meta(max_length=64)] = (
        ""  # who is probed: another at its address must not answer
    )
    address: Word = ""  # PING_REQ: where the target is
    news: Annotated[tuple[Record, ...], msgspec.Meta(max_length=64)] = ()
    facts: Annotated[tuple[Fact, ...], msgspec.Meta(max_length=64)] = ()


class State(msgspec.Struct, array_like=True, frozen=True):
    """One side of a full exchange."""

    sender: Name
    life: Count
    records: tuple[Record, ...]
    facts: tuple[Fact, ...] = ()


class Dropped(Exception):
    """A datagram that can't be taken; ``kind`` says why, in a word."""

    def __init__(self, kind: str) -> None:
        super().__init__(kind)
        self.kind = kind


class Codec:
    """Writes and reads what members send each other, with one secret."""

    def __init__(self, secret: bytes) -> None:
        self._key = hashlib.blake2b(secret, digest_size=32).digest()
        self._encoder = msgspec.msgpack.Encoder()
        self._messages = msgspec.msgpack.Decoder(Message)
        self._states = msgspec.msgpack.Decoder(State)
        self.dropped: Counter[str] = Counter()

    def _tag(self, version: int, body: bytes) -> bytes:
        return hashlib.blake2b(bytes((version,)) + body, digest_size=TAG, key=self._key).digest()

    def _seal(self, version: int, body: bytes) -> bytes:
        return bytes((version,)) + self._tag(version, body) + body

    def write(self, message: Message, version: int = OLDEST) -> bytes:
        """A datagram in the given format."""
        if version < 2 and message.facts:
            message = msgspec.structs.replace(message, facts=())
        return self._seal(version, self._encoder.encode(message))

    def write_state(self, state: State, version: int = OLDEST) -> bytes:
        """One side of a full exchange."""
        return self._seal(version, self._encoder.encode(state))

    def read(self, data: bytes) -> Message:
        """A datagram's message.  Raises :class:`Dropped`, which is counted."""
        if len(data) > MAX_DATAGRAM:
            raise self._drop("long")
        return self._read(data, self._messages)

    def read_state(self, data: bytes) -> State:
        """The other side of a full exchange.  Raises :class:`Dropped`, which is counted."""
        return self._read(data, self._states)

    def _read(self, data: bytes, decoder: msgspec.msgpack.Decoder[T]) -> T:
        if len(data) <= HEAD:
            raise self._drop("short")
        version, tag, body = data[0], data[1:HEAD], data[HEAD:]
        if not OLDEST <= version <= NEWEST:
            raise self._drop("version")
        if not hmac.compare_digest(tag, self._tag(version, body)):
            raise self._drop("tag")
        try:
            return decoder.decode(body)
        except (msgspec.DecodeError, RecursionError):
            raise self._drop("form") from None

    def _drop(self, kind: str) -> Dropped:
        self.dropped[kind] += 1
        return Dropped(kind)
