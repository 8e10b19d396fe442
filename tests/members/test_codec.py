"""Datagrams: what is read, what is rejected, and that no nonsense ends a member."""

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

S = 1_000_000


RECORD = MemberRecord("b", "127.0.0.1:1", 5, 9, 2, MemberState.ALIVE, "", 2, {"site": "x"})


MESSAGE = Datagram(
    MessageKind.PING, 7, "a", 5, 0, "b", "", (RECORD,), (NodeReport("a", 5, 1, 0, 3),)
)


def resealed(body: bytes, version: int = NEWEST_VERSION) -> bytes:
    return Codec(b"s").seal(version, body)


@pytest.mark.parametrize(
    ("kind", "data"),
    [
        ("short", b""),
        ("short", Codec(b"s").encode(MESSAGE)[:HEADER_BYTES]),
        ("tag", Codec(b"other").encode(MESSAGE)),
        ("tag", Codec(b"s").encode(MESSAGE)[:-1]),
        ("tag", bytes((2,)) + Codec(b"s").encode(MESSAGE)[1:]),
        ("version", resealed(b"x", NEWEST_VERSION + 1)),
        ("long", bytes(MAX_DATAGRAM_BYTES + 1)),
        ("form", resealed(b"x")),
        ("form", resealed(msgspec.msgpack.encode([1, 2]))),
        ("form", resealed(msgspec.msgpack.encode([99, 7, "a", 5, 0]))),
        ("form", resealed(msgspec.msgpack.encode([MessageKind.PING, -1, "a", 5, 0]))),
        ("form", resealed(msgspec.msgpack.encode([MessageKind.PING, 1, "a" * 65, 5, 0]))),
        ("form", resealed(b"\x91" * 1000)),
    ],
)
def test_what_can_not_be_read_is_counted_by_reason(kind, data):
    codec = Codec(b"s")
    with pytest.raises(PeerMessageError) as dropped:
        codec.decode(data)
    assert dropped.value.reason == kind
    assert codec.rejected == {kind: 1}


def test_both_versions_are_read_and_later_fields_are_passed_over():
    codec = Codec(b"s")
    assert codec.decode(codec.encode(MESSAGE, 2)) == MESSAGE
    assert codec.decode(codec.encode(MESSAGE, 1)).reports == ()
    longer = [*msgspec.to_builtins(MESSAGE), "of a later version"]
    assert codec.decode(resealed(msgspec.msgpack.encode(longer))) == MESSAGE


def test_mutated_datagrams_change_nothing():
    rng, codec = random.Random(1), Codec(b"s")
    member = Member("b", "127.0.0.1:1", 5, {}, 1, 0)
    good = codec.encode(MESSAGE, 2)
    before = member.push_pull_state()
    for _ in range(20_000):
        data = bytearray(good)
        for _ in range(rng.randint(1, 4)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        data = data[: rng.randint(0, len(data))] if rng.random() < 0.3 else data
        if bytes(data) == good:
            continue
        with pytest.raises(PeerMessageError):
            codec.decode(bytes(data))
    assert member.push_pull_state() == before


def test_sealed_nonsense_raises_nothing():
    """With the right tag, whatever the fields say: an ill member must not end another."""
    rng, codec = random.Random(2), Codec(b"s")
    member = Member("b", "b", 5, {}, 1, 0)
    names = ["a", "b", "c", ""]
    taken = 0
    for now in range(5_000):
        record = [
            rng.choice(names), rng.choice("abc"), rng.randrange(8), rng.randrange(3), rng.randrange(4),
            rng.randrange(5), rng.choice(names), rng.choice([1, 2, 200]),
        ]  # fmt: skip
        body = [
            rng.randrange(6),
            rng.randrange(9),
            rng.choice(names),
            rng.randrange(8),
            rng.randrange(4),
        ]
        body += [rng.choice(names), rng.choice("abc"), [record] * rng.randrange(3), []]
        try:
            message = codec.decode(resealed(msgspec.msgpack.encode(body)))
        except PeerMessageError:
            continue
        taken += 1
        member.receive(now * 1000, "c", message)
        if member.next_due_us() <= now * 1000:
            member.tick(now * 1000)
        if member.replaced_by is not None:
            member = Member("b", "b", 5, {}, 1, now * 1000)
    assert taken > 1000
    assert set(member.members) <= {"a", "c"}


def test_a_datagram_is_never_longer_than_it_may_be():
    member = Member("m" * 64, "127.255.255.255:65535", 2**62, {}, 1, 0)
    codec, longest = Codec(b"s"), 0
    for i in range(300):
        name = f"{i:03d}" + "n" * 61
        tags = {f"{k:048d}": "v" * 48 for k in range(8 if i % 50 == 0 else 1)}
        news = MemberRecord(
            name, "127.255.255.254:65535", 2**62, 2**61, 2**50, MemberState.ALIVE, "", 2, tags
        )
        member.receive(i, "x", Datagram(MessageKind.GOSSIP, 0, name, 2**62, 0, "", "", (news,)))
    now = 0
    while now < 60 * S:
        now = member.next_due_us()
        for action in member.tick(now):
            if hasattr(action, "message"):
                longest = max(longest, len(codec.encode(action.message, 2)))
    assert MAX_DATAGRAM_BYTES // 2 < longest <= MAX_DATAGRAM_BYTES
