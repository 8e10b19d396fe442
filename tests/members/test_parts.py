"""The parts by themselves: datagrams, suspicion, news, stances, places."""

import random
from pathlib import Path

import msgspec
import pytest

from oakbridge.peers.codec import HEADER_BYTES, MAX_DATAGRAM_BYTES, NEWEST_VERSION, Codec, PeerMessageError
from oakbridge.peers.failure_reports import MAX_AGE_US, weigh_failure_reports
from oakbridge.peers.gossip_queue import GossipQueue
from oakbridge.peers.member import Member
from oakbridge.peers.messages import Datagram, MemberRecord, MemberState, MessageKind, NodeReport
from oakbridge.peers.replica_index import ReplicaIndex, ReplicaIndexTracker, replica_index
from oakbridge.peers.suspicion import Suspicion, min_timeout_us
from oakbridge.peers.view_state import CALLERS_REQUESTS, VIEW_USES, MemberView, ViewState, assess

S = 1_000_000
RECORD = MemberRecord("b", "127.0.0.1:1", 5, 9, 2, MemberState.ALIVE, "", 2, {"site": "x"})
MESSAGE = Datagram(MessageKind.PING, 7, "a", 5, 0, "b", "", (RECORD,), (NodeReport("a", 5, 1, 0, 3),))


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
def test_what_can_not_be_taken_is_counted_by_kind(kind, data):
    codec = Codec(b"s")
    with pytest.raises(PeerMessageError) as dropped:
        codec.decode(data)
    assert dropped.value.reason == kind
    assert codec.rejected == {kind: 1}


def test_both_formats_are_read_and_later_fields_are_passed_over():
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
        body = [rng.randrange(6), rng.randrange(9), rng.choice(names), rng.randrange(8), rng.randrange(4)]
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


@pytest.mark.parametrize(
    ("older", "newer"),
    [
        (RECORD, RECORD.with_state(MemberState.SUSPECT, "c")),
        (RECORD.with_state(MemberState.SUSPECT, "c"), RECORD.with_state(MemberState.FAILED, "c")),
        (RECORD.with_state(MemberState.FAILED), RECORD.with_state(MemberState.LEFT)),
        (RECORD.with_state(MemberState.FAILED), msgspec.structs.replace(RECORD, incarnation=3)),
        (RECORD.with_state(MemberState.LEFT), msgspec.structs.replace(RECORD, generation=6, incarnation=0)),
        (RECORD, msgspec.structs.replace(RECORD, token=10, incarnation=0)),
    ],
)
def test_which_saying_counts(older, newer):
    assert newer.supersedes(older)
    assert not older.supersedes(newer)
    assert not newer.supersedes(newer)


def test_suspicion_shrinks_with_independent_accusers():
    period = 500_000
    assert min_timeout_us(10, period) < min_timeout_us(100, period) < min_timeout_us(1000, period)
    suspicion = Suspicion(0, 2 * S, 12 * S, {"a"})
    ends = [suspicion.deadline_us()]
    for accuser in ("a", "b", "b", "c", "d", "e", "f"):
        suspicion.confirm(accuser)
        ends.append(suspicion.deadline_us())
    assert ends == sorted(ends, reverse=True)
    assert ends[0] == ends[1] == 12 * S
    assert ends[-1] == 2 * S
    assert len(suspicion.accusers) == 4


def test_news_is_bounded_told_in_turn_and_ends():
    news: GossipQueue[int] = GossipQueue(50)
    for i in range(80):
        news.put(str(i), i, 10)
    assert len(news) == 50
    told = [piece for _ in range(200) for piece in news.take(100, 4)]
    assert len(news) == 0
    assert {told.count(i) for i in set(told)} == {4}
    assert len(set(told)) == 50
    news.put("a", 1, 10)
    news.put("a", 2, 10)
    assert news.take(100, 1) == [2]


def seen(there: str, lost: str = "", since: int = 0) -> list[MemberView]:
    """Members by site: ``aabb`` are two of site a and two of b."""
    return [
        MemberView(f"{n:02d}{site}", up, since, site, "x")
        for n, (site, up) in enumerate([*((s, True) for s in there), *((s, False) for s in lost)])
    ]


@pytest.mark.parametrize(
    ("members", "now", "kind", "sites", "larger"),
    [
        (seen("aabb"), 0, "whole", (), True),
        (seen("aaabbbccc", "c"), 0, "whole", (), True),
        (seen("aabb", "cc"), 0, "parted", ("c",), True),
        (seen("cc", "aabb"), 0, "parted", ("a", "b"), False),
        (seen("aaaab", "bb"), 0, "parted", (), True),
        (seen("aaaabbb", "c"), 0, "whole", (), True),  # one alone is no part
        (seen("aabb", "cc"), 3_700 * S, "whole", (), True),  # gone for more than an hour
        (seen("a", "b"), 0, "alone", (), True),
        (seen("ab", "cd"), 0, "parted", (), True),  # halves: the one with the first name
        (seen("a"), 0, "whole", (), True),
    ],
)
def test_stance(members, now, kind, sites, larger):
    found = assess(members[0].name, members, now)
    assert (found.state, found.unreachable_sites, found.is_larger_part) == (kind, sites, larger)
    if kind == "parted":
        assert "out of reach" in str(found) and found.reporters == ("x",)


def test_halves_never_both_take_themselves_for_the_larger():
    for there, lost in (("aab", "bcc"), ("aaa", "bbb")):
        members = seen(there, lost)
        other = [MemberView(m.name, not m.is_reachable, m.since_us, m.site, m.reported_by) for m in members]
        assert assess("", members, 0).is_larger_part != assess("", other, 0).is_larger_part


def test_calls_are_served_in_every_stance():
    assert VIEW_USES[0] is CALLERS_REQUESTS
    assert {CALLERS_REQUESTS.reaction(state) for state in ViewState} == {"serve"}
    assert assess("a", seen("a"), 0, starting=True).state == "starting"
    assert assess("a", seen("aa"), 0, replaced=True).state == "alone"


def test_the_operators_page_tells_the_same_table():
    page = (Path(__file__).parents[2] / "docs" / "peers.md").read_text()
    for row in VIEW_USES:
        cells = " | ".join((row.name, row.starting, row.complete, row.partitioned, row.isolated))
        assert f"| {cells} |" in page


def test_places_agree_and_move_only_while_all_are_there():
    names = [f"n{i}" for i in range(7)]
    assert sorted(replica_index(n, names).index for n in names) == list(range(7))
    whole, parted = assess("n1", seen("aaa"), 0), assess("n1", seen("aa", "bb"), 0)
    places = ReplicaIndexTracker("n1", settle_us=3 * S)
    assert places.update(0, whole, names) is None
    assert places.update(4 * S, whole, names) == replica_index("n1", names)
    assert places.update(8 * S, parted, names[:3]) is None
    assert places.update(60 * S, parted, names[:3]) is None
    assert places.current == replica_index("n1", names)
    places.update(61 * S, whole, names[:3])
    assert places.update(65 * S, whole, names[:3]) == ReplicaIndex(replica_index("n1", names[:3]).index, 3)


def words(*said: str) -> list[tuple[NodeReport, int]]:
    """``"a: x y"``: member a finds x and y failing."""
    return [
        (NodeReport(who, 1, 1, 0, 0, 0, tuple(servers.split())), S)
        for who, _, servers in (w.partition(":") for w in said)
    ]


@pytest.mark.parametrize(
    ("said", "weight"),
    [
        (("a: x",), 0.0),  # a lone voice, be it a liar's or an ill member's
        (("a: x", "a: x"), 0.0),  # which is one, however often it speaks
        (("a: x", "b: x"), 0.5),
        (("a: x", "b: x", "c: x", "d: x"), 1.0),
        (("a: x y", "b: x y"), 0.5),
        (("a: 1 2 3 4 5 6 7 x", "b: 1 2 3 4 5 6 7 x"), 0.0),  # who finds everything failing is likelier ill
        (("a: 1 2 3 x", "b: x", "c: 1 2 3 x"), 0.5),
        (("me: x", "a: x"), 0.0),  # one's own is not hearsay
    ],
)
def test_what_words_on_a_failing_server_weigh(said, weight):
    assert weigh_failure_reports(ViewState.COMPLETE, words(*said), "me")["x"].weight == weight
    assert weigh_failure_reports(ViewState.PARTITIONED, words(*said), "me")["x"].weight == weight
    assert not weigh_failure_reports(ViewState.ISOLATED, words(*said), "me") and not weigh_failure_reports(
        ViewState.STARTING, words(*said), "me"
    )
    assert not weigh_failure_reports(
        ViewState.COMPLETE, [(fact, MAX_AGE_US + 1) for fact, _ in words(*said)], "me"
    )
