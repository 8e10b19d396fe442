"""The binary form of what members send: a version, a tag made with the shared secret, msgpack.

    1 byte version, 16 bytes tag, msgpack of one structure of :mod:`oakbridge.peers.messages`

The tag is blake2b keyed with the secret over version and body (RFC 7693, section 2.5).  It keeps
strangers and other clusters out; it hides nothing, and a repeated datagram is harmless: every
message may arrive twice.  A reader takes the versions that it knows; a writer uses the newest one
that the reader is known to read.  What can't be read is counted by reason and changes nothing.
"""

from __future__ import annotations

import hashlib
import hmac
from collections import Counter
from enum import StrEnum
from typing import TypeVar

import msgspec

from oakbridge.peers.messages import Datagram, PushPullState

MAX_DATAGRAM_BYTES = 1200
MAX_PUSH_PULL_BYTES = 8 * 1024 * 1024
OLDEST_VERSION = 1
NEWEST_VERSION = 2
FIRST_VERSION_WITH_REPORTS = 2
TAG_BYTES = 16
HEADER_BYTES = 1 + TAG_BYTES

T = TypeVar("T")


class RejectReason(StrEnum):
    """Why a message can't be read, as operators find it in ``counts``."""

    TOO_LONG = "long"
    TOO_SHORT = "short"
    VERSION = "version"
    TAG = "tag"
    MALFORMED = "form"


class PeerMessageError(Exception):
    """A datagram or a push-pull state that can't be read."""

    def __init__(self, reason: RejectReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class Codec:
    """Encodes and decodes what members send each other, with one secret."""

    def __init__(self, secret: bytes) -> None:
        self.rejected: Counter[RejectReason] = Counter()
        self._key = hashlib.blake2b(secret, digest_size=32).digest()
        self._encoder = msgspec.msgpack.Encoder()
        self._datagrams = msgspec.msgpack.Decoder(Datagram)
        self._push_pull_states = msgspec.msgpack.Decoder(PushPullState)

    def encode(self, message: Datagram, version: int = OLDEST_VERSION) -> bytes:
        """Return a datagram in the given version."""
        if version < FIRST_VERSION_WITH_REPORTS and message.reports:
            message = msgspec.structs.replace(message, reports=())
        return self.seal(version, self._encoder.encode(message))

    def encode_state(self, state: PushPullState, version: int = OLDEST_VERSION) -> bytes:
        """Return one side of a push-pull exchange."""
        return self.seal(version, self._encoder.encode(state))

    def decode(self, data: bytes) -> Datagram:
        """Return a datagram's message.  Raises PeerMessageError, which is counted."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise self._reject(RejectReason.TOO_LONG)
        return self._open(data, self._datagrams)

    def decode_state(self, data: bytes) -> PushPullState:
        """Return one side of a push-pull exchange.  Raises PeerMessageError, which is counted."""
        return self._open(data, self._push_pull_states)

    def seal(self, version: int, body: bytes) -> bytes:
        """Put version and tag before a body."""
        return bytes((version,)) + self._tag(version, body) + body

    def _tag(self, version: int, body: bytes) -> bytes:
        data = bytes((version,)) + body
        return hashlib.blake2b(data, digest_size=TAG_BYTES, key=self._key).digest()

    def _open(self, data: bytes, decoder: msgspec.msgpack.Decoder[T]) -> T:
        if len(data) <= HEADER_BYTES:
            raise self._reject(RejectReason.TOO_SHORT)
        version = data[0]
        tag = data[1:HEADER_BYTES]
        body = data[HEADER_BYTES:]
        if not OLDEST_VERSION <= version <= NEWEST_VERSION:
            raise self._reject(RejectReason.VERSION)
        if not hmac.compare_digest(tag, self._tag(version, body)):
            raise self._reject(RejectReason.TAG)
        try:
            return decoder.decode(body)
        except (msgspec.DecodeError, RecursionError):
            raise self._reject(RejectReason.MALFORMED) from None

    def _reject(self, reason: RejectReason) -> PeerMessageError:
        self.rejected[reason] += 1
        return PeerMessageError(reason)
