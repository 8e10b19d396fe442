"""Datagrams: decoding, rejection by reason, size limit, and robustness against invalid input."""

import random

import msgspec
import pytest

from oakbridge.peers.codec import (
    HEADER_BYTES,
    MAX_DATAGRAM_BYTES,
    NEWEST_VERSION,
    Codec,
    PeerMessageError,
)
from oakbridge.peers.member import Member
from oakbridge.peers.messages import (
    Datagram,
    MemberRecord,
    MemberState,
    MessageKind,
    NodeReport,
)

SECOND_US = 1_000_000


RECORD = MemberRecord("b", "127.0.0.1:1", 5, 9, 2, MemberState.ALIVE, "", 2, {"site": "x"})


MESSAGE = Datagram(
    MessageKind.PING, 7, "a", 5, 0, "b", "", (RECORD,), (NodeReport("a", 5, 1, 0, 3),)
)


def sealed(body: bytes, version: int = NEWEST_VERSION) -> bytes:
    return Codec(b"s").seal(version, body)


@pytest.mark.parametrize(
    ("reason", "data"),
    [
        ("short", b""),
        ("short", Codec(b"s").encode(MESSAGE)[:HEADER_BYTES]),
        ("tag", Codec(b"other").encode(MESSAGE)),
        ("tag", Codec(b"s").encode(MESSAGE)[:-1]),
        ("tag", bytes((2,)) + Codec(b"s").encode(MESSAGE)[1:]),
        ("version", sealed(b"x", NEWEST_VERSION + 1)),
        ("long", bytes(MAX_DATAGRAM_BYTES + 1)),
        ("form", sealed(b"x")),
        ("form", sealed(msgspec.msgpack.encode([1, 2]))),
        ("form", sealed(msgspec.msgpack.encode([99, 7, "a", 5, 0]))),
        ("form", sealed(msgspec.msgpack.encode([MessageKind.PING, -1, "a", 5, 0]))),
        ("form", sealed(msgspec.msgpack.encode([MessageKind.PING, 1, "a" * 65, 5, 0]))),
        ("form", sealed(b"\x91" * 1000)),
    ],
)
def test_invalid_datagrams_are_counted_by_reason(reason, data):
    codec = Codec(b"s")
    with pytest.raises(PeerMessageError) as rejected:
        codec.decode(data)
    assert rejected.value.reason == reason
    assert codec.rejected == {reason: 1}


def test_both_versions_are_decoded_and_unknown_trailing_fields_are_ignored():
    codec = Codec(b"s")
    assert codec.decode(codec.encode(MESSAGE, 2)) == MESSAGE
    assert codec.decode(codec.encode(MESSAGE, 1)).reports == ()
    longer = [*msgspec.to_builtins(MESSAGE), "of a later version"]
    assert codec.decode(sealed(msgspec.msgpack.encode(longer))) == MESSAGE


def test_mutated_datagrams_change_nothing():
    generator, codec = random.Random(1), Codec(b"s")
    member = Member("b", "127.0.0.1:1", 5, {}, 1, 0)
    valid = codec.encode(MESSAGE, 2)
    before = member.push_pull_state()
    for _ in range(20_000):
        data = bytearray(valid)
        for _ in range(generator.randint(1, 4)):
            data[generator.randrange(len(data))] = generator.randrange(256)
        data = data[: generator.randint(0, len(data))] if generator.random() < 0.3 else data
        if bytes(data) == valid:
            continue
        with pytest.raises(PeerMessageError):
            codec.decode(bytes(data))
    assert member.push_pull_state() == before


def test_random_fields_with_a_valid_tag_do_not_raise():
    """A faulty member that knows the secret must not crash another one."""
    generator, codec = random.Random(2), Codec(b"s")
    member = Member("b", "b", 5, {}, 1, 0)
    names = ["a", "b", "c", ""]
    received_count = 0
    for now_ms in range(5_000):
        record = [
            generator.choice(names),
            generator.choice("abc"),
            generator.randrange(8),
            generator.randrange(3),
            generator.randrange(4),
            generator.randrange(5),
            generator.choice(names),
            generator.choice([1, 2, 200]),
        ]
        body = [
            generator.randrange(6),
            generator.randrange(9),
            generator.choice(names),
            generator.randrange(8),
            generator.randrange(4),
        ]
        body += [
            generator.choice(names),
            generator.choice("abc"),
            [record] * generator.randrange(3),
            [],
        ]
        try:
            message = codec.decode(sealed(msgspec.msgpack.encode(body)))
        except PeerMessageError:
            continue
        received_count += 1
        member.receive(now_ms * 1000, "c", message)
        if member.next_due_us() <= now_ms * 1000:
            member.tick(now_ms * 1000)
        if member.replaced_by is not None:
            member = Member("b", "b", 5, {}, 1, now_ms * 1000)
    assert received_count > 1000
    assert set(member.members) <= {"a", "c"}


def test_datagrams_never_exceed_their_maximum_length():
    member = Member("m" * 64, "127.255.255.255:65535", 2**62, {}, 1, 0)
    codec, longest_bytes = Codec(b"s"), 0
    for i in range(300):
        name = f"{i:03d}" + "n" * 61
        tags = {f"{k:048d}": "v" * 48 for k in range(8 if i % 50 == 0 else 1)}
        record = MemberRecord(
            name, "127.255.255.254:65535", 2**62, 2**61, 2**50, MemberState.ALIVE, "", 2, tags
        )
        member.receive(i, "x", Datagram(MessageKind.GOSSIP, 0, name, 2**62, 0, "", "", (record,)))
    now_us = 0
    while now_us < 60 * SECOND_US:
        now_us = member.next_due_us()
        for action in member.tick(now_us):
            if hasattr(action, "message"):
                longest_bytes = max(longest_bytes, len(codec.encode(action.message, 2)))
    assert MAX_DATAGRAM_BYTES // 2 < longest_bytes <= MAX_DATAGRAM_BYTES
