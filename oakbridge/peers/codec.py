"""Binary format of datagrams and push-pull states: version, authentication tag, msgpack body.

    1 byte version, 16 bytes tag, msgpack of one structure of :mod:`oakbridge.peers.messages`

The tag is keyed blake2b over version and body; its key is derived from the shared secret (RFC 7693,
section 2.5).  It rejects messages of strangers and of other clusters.  It doesn't encrypt, and it
doesn't prevent replay: the protocol tolerates duplicate messages.  A reader accepts the versions
that it knows; a writer uses the newest version that the recipient is known to read.  A message that
can't be decoded is counted by reason and changes nothing.
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
    """Why a message was rejected; the values are part of keys of ``counts`` in operators' JSON."""

    TOO_LONG = "long"
    TOO_SHORT = "short"
    VERSION = "version"
    TAG = "tag"
    MALFORMED = "form"


class PeerMessageError(Exception):
    """A datagram or a push-pull state that can't be decoded."""

    def __init__(self, reason: RejectReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class Codec:
    """Encodes and decodes datagrams and push-pull states with one shared secret."""

    def __init__(self, secret: bytes) -> None:
        self.rejected: Counter[RejectReason] = Counter()
        self._key = hashlib.blake2b(secret, digest_size=32).digest()
        self._encoder = msgspec.msgpack.Encoder()
        self._datagrams = msgspec.msgpack.Decoder(Datagram)
        self._push_pull_states = msgspec.msgpack.Decoder(PushPullState)

    def encode(self, message: Datagram, version: int = OLDEST_VERSION) -> bytes:
        """Encode a datagram in the given version; reports are left out of version 1."""
        if version < FIRST_VERSION_WITH_REPORTS and message.reports:
            message = msgspec.structs.replace(message, reports=())
        return self.seal(version, self._encoder.encode(message))

    def encode_state(self, state: PushPullState, version: int = OLDEST_VERSION) -> bytes:
        """Encode one side of a push-pull exchange."""
        return self.seal(version, self._encoder.encode(state))

    def decode(self, data: bytes) -> Datagram:
        """Decode a datagram.  Raises PeerMessageError and counts it."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise self._reject(RejectReason.TOO_LONG)
        return self._open(data, self._datagrams)

    def decode_state(self, data: bytes) -> PushPullState:
        """Decode one side of a push-pull exchange.  Raises PeerMessageError and counts it."""
        return self._open(data, self._push_pull_states)

    def seal(self, version: int, body: bytes) -> bytes:
        """Return the body with version and tag in front of it."""
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
