"""Members' datagrams, exchanges, snapshots and operators' JSON: bytes of 0.3.0, read and written.

The fixtures were written by the program before its names were changed, with the secret below.  They
never change.
"""

import asyncio
import json
from collections.abc import Callable
from functools import partial
from pathlib import Path

import msgspec
import pytest

from oakbridge.peers import snapshot
from oakbridge.peers.codec import HEADER_BYTES, Codec
from oakbridge.peers.framing import read_frame, write_frame
from oakbridge.peers.member import Member
from oakbridge.peers.member_query import query_members
from oakbridge.peers.replica_index import ReplicaIndex
from oakbridge.peers.service import MembershipService, ServiceOptions

FIXTURES = Path(__file__).parent / "fixtures" / "peers"
SECRET = b"0123456789abcdef"
DATAGRAMS = {row["name"]: row for row in json.loads((FIXTURES / "datagrams.json").read_text())}
EXCHANGES = {row["name"]: row for row in json.loads((FIXTURES / "exchanges.json").read_text())}
LENGTH_BYTES = 4


class Written:
    """A stream's writer that keeps what it is given."""

    def __init__(self) -> None:
        self.data = b""

    def write(self, data: bytes) -> None:
        self.data += data

    async def drain(self) -> None:
        pass


def stream_of(data: bytes) -> asyncio.StreamReader:
    reader = asyncio.StreamReader()
    reader.feed_data(data)
    reader.feed_eof()
    return reader


def datagram_again(name: str, _folder: Path) -> tuple[bytes, bytes]:
    row, codec = DATAGRAMS[name], Codec(SECRET)
    data = bytes.fromhex(row["datagram"])
    assert msgspec.msgpack.decode(data[HEADER_BYTES:]) == row["body"]
    return data, codec.encode(codec.decode(data), row["version"])


def exchange_again(name: str, _folder: Path) -> tuple[bytes, bytes]:
    async def again() -> bytes:
        sealed, codec, written = await read_frame(stream_of(data)), Codec(SECRET), Written()
        assert msgspec.msgpack.decode(sealed[HEADER_BYTES:]) == row["body"]
        await write_frame(written, codec.encode_state(codec.decode_state(sealed)))
        return written.data

    row = EXCHANGES[name]
    data = bytes.fromhex(row["stream"])
    return data, asyncio.run(again())


def snapshot_again(name: str, folder: Path) -> tuple[bytes, bytes]:
    path = FIXTURES / name
    snapshot.save(folder / name, snapshot.load(path))
    return path.read_bytes(), (folder / name).read_bytes()


FORMATS: list[tuple[str, Callable[[Path], tuple[bytes, bytes]]]] = [
    *((f"datagram {name}", partial(datagram_again, name)) for name in DATAGRAMS),
    *((f"exchange {name}", partial(exchange_again, name)) for name in EXCHANGES),
    ("snapshot", partial(snapshot_again, "snapshot.json")),
]


@pytest.mark.parametrize("again", [pytest.param(again, id=name) for name, again in FORMATS])
def test_what_was_written_is_read_and_written_the_same(tmp_path, again):
    before, after = again(tmp_path)
    assert after == before


def test_a_datagram_of_each_kind_stands_among_them():
    assert {row["body"][0] for row in DATAGRAMS.values()} == {0, 1, 2, 3, 4}


def test_what_operators_are_told_keeps_its_names_and_form(monkeypatch):
    """Built from the fixtures' datagrams; compared as text, so with the order of the keys."""
    now_us = 60_000_000
    tags = {"site": "north", "version": "0.3.0"}
    options = ServiceOptions("n1", ("10.0.0.1", 7946), SECRET, tags=tags)
    peers = MembershipService(options, clock=lambda: now_us)
    peers.member = Member("n1", "10.0.0.1:7946", 1700000001, tags, 5, 1_000_000)
    n2 = ["n2", "10.0.0.2:7946", 1700000002, 78, 0, 0, "", 1, {"site": "north"}]
    n4 = ["n4", "10.0.0.4:7946", 1700000004, 80, 6, 0, "", 2, {"site": "south"}]
    state = sealed(["n2", 1700000002, [n2, n4], []])
    peers.member.push_pull_completed(2_000_000, peers.codec.decode_state(state), initiated=True)
    gone, full = DATAGRAMS["gossip"]["body"][7][1:], DATAGRAMS["gossip"]["body"][8][1]
    n5 = ["n5", "10.0.0.5:7946", 1700000005, 81, 1, 0, "", 2, {"site": "south", "version": "0.2.9"}]
    facts = [
        full,
        ["n2", 1700000002, *full[2:6], ["s-1", "s-2", "s-3"], *full[7:]],
        [*full[:2], 10, *full[3:6], ["s-1"], *full[7:]],
    ]
    gossip = sealed([4, 0, "n2", 1700000002, 0, "", "", [*gone, n5], facts])
    peers.member.receive(3_000_000, "10.0.0.2:7946", peers.codec.decode(gossip))
    peers.member.counts["late"] += 2
    monkeypatch.setattr(Member, "health_score", 1)
    peers.counts["received"], peers.codec.rejected["tag"], peers.longest_callback_s = (
        3,
        1,
        0.0012344,
    )
    peers.view_monitor.replica_index.current = ReplicaIndex(1, 3)
    now_us = 4_500_000
    peers.view_monitor.current = peers.view_monitor.assess(now_us, peers.member)
    peers.weigh_failure_reports()
    told = {
        "peers": peers.describe(),
        "peers.why n2": peers.state_history("n2"),
        "peers.why n4": peers.state_history("n4"),
    }
    assert json.dumps(told, indent=1) + "\n" == (FIXTURES / "operators.json").read_text()


def sealed(body: list[object]) -> bytes:
    return Codec(SECRET).seal(2, msgspec.msgpack.encode(body))


def test_who_asks_one_member_for_all_gets_the_same_rows():
    """The member is a socket that answers with the fixture, and takes down what it was asked."""

    async def asked() -> tuple[list[dict], list]:
        requests = []

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            requests.append(msgspec.msgpack.decode((await read_frame(reader))[HEADER_BYTES:]))
            writer.write(bytes.fromhex(EXCHANGES["all_that_is_known"]["stream"]))
            await writer.drain()
            writer.close()

        async with await asyncio.start_server(answer, "127.0.0.1", 0) as server:
            rows = await query_members(server.sockets[0].getsockname()[:2], SECRET)
        return rows, requests

    rows, [request] = asyncio.run(asked())
    assert json.dumps(rows, indent=1) + "\n" == (FIXTURES / "visit.json").read_text()
    assert [request[0], *request[2:]] == ["visitor", [], []]
