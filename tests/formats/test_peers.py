"""Members' datagrams, exchanges, snapshots and operators' JSON keep the formats of 0.3.0.

The fixtures were written with the secret below before names in the code changed.  They never
change.
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


class RecordingWriter:
    """A stream writer that collects the written bytes."""

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


def reencode_datagram(name: str, _folder: Path) -> tuple[bytes, bytes]:
    row, codec = DATAGRAMS[name], Codec(SECRET)
    data = bytes.fromhex(row["datagram"])
    assert msgspec.msgpack.decode(data[HEADER_BYTES:]) == row["body"]
    return data, codec.encode(codec.decode(data), row["version"])


def reencode_exchange(name: str, _folder: Path) -> tuple[bytes, bytes]:
    async def decode_and_encode() -> bytes:
        frame, codec, writer = await read_frame(stream_of(data)), Codec(SECRET), RecordingWriter()
        assert msgspec.msgpack.decode(frame[HEADER_BYTES:]) == row["body"]
        await write_frame(writer, codec.encode_state(codec.decode_state(frame)))
        return writer.data

    row = EXCHANGES[name]
    data = bytes.fromhex(row["stream"])
    return data, asyncio.run(decode_and_encode())


def reencode_snapshot(name: str, folder: Path) -> tuple[bytes, bytes]:
    path = FIXTURES / name
    snapshot.save(folder / name, snapshot.load(path))
    return path.read_bytes(), (folder / name).read_bytes()


FORMATS: list[tuple[str, Callable[[Path], tuple[bytes, bytes]]]] = [
    *((f"datagram {name}", partial(reencode_datagram, name)) for name in DATAGRAMS),
    *((f"exchange {name}", partial(reencode_exchange, name)) for name in EXCHANGES),
    ("snapshot", partial(reencode_snapshot, "snapshot.json")),
]


@pytest.mark.parametrize(
    "reencode", [pytest.param(reencode, id=name) for name, reencode in FORMATS]
)
def test_decoding_and_encoding_gives_the_same_bytes(tmp_path, reencode):
    original, reencoded = reencode(tmp_path)
    assert reencoded == original


def test_the_fixtures_have_a_datagram_of_each_kind():
    assert {row["body"][0] for row in DATAGRAMS.values()} == {0, 1, 2, 3, 4}


def test_operators_json_keeps_its_names_and_form(monkeypatch):
    """Compares the JSON as text, including the order of keys; built from the fixtures' datagrams."""
    now_us = 60_000_000
    tags = {"site": "north", "version": "0.3.0"}
    options = ServiceOptions("n1", ("10.0.0.1", 7946), SECRET, tags=tags)
    service = MembershipService(options, clock=lambda: now_us)
    service.member = Member("n1", "10.0.0.1:7946", 1700000001, tags, 5, 1_000_000)
    n2 = ["n2", "10.0.0.2:7946", 1700000002, 78, 0, 0, "", 1, {"site": "north"}]
    n4 = ["n4", "10.0.0.4:7946", 1700000004, 80, 6, 0, "", 2, {"site": "south"}]
    state = sealed(["n2", 1700000002, [n2, n4], []])
    service.member.push_pull_completed(2_000_000, service.codec.decode_state(state), initiated=True)
    not_live_records, full_report = (
        DATAGRAMS["gossip"]["body"][7][1:],
        DATAGRAMS["gossip"]["body"][8][1],
    )
    n5 = ["n5", "10.0.0.5:7946", 1700000005, 81, 1, 0, "", 2, {"site": "south", "version": "0.2.9"}]
    reports = [
        full_report,
        ["n2", 1700000002, *full_report[2:6], ["s-1", "s-2", "s-3"], *full_report[7:]],
        [*full_report[:2], 10, *full_report[3:6], ["s-1"], *full_report[7:]],
    ]
    gossip = sealed([4, 0, "n2", 1700000002, 0, "", "", [*not_live_records, n5], reports])
    service.member.receive(3_000_000, "10.0.0.2:7946", service.codec.decode(gossip))
    service.member.counts["late"] += 2
    monkeypatch.setattr(Member, "health_score", 1)
    service.counts["received"], service.codec.rejected["tag"], service.longest_callback_s = (
        3,
        1,
        0.0012344,
    )
    service.view_monitor.replica_index.current = ReplicaIndex(1, 3)
    now_us = 4_500_000
    service.view_monitor.current = service.view_monitor.assess(now_us, service.member)
    service.weigh_failure_reports()
    result = {
        "peers": service.describe(),
        "peers.why n2": service.state_history("n2"),
        "peers.why n4": service.state_history("n4"),
    }
    assert json.dumps(result, indent=1) + "\n" == (FIXTURES / "operators.json").read_text()


def sealed(body: list[object]) -> bytes:
    return Codec(SECRET).seal(2, msgspec.msgpack.encode(body))


def test_a_member_query_returns_the_same_rows():
    """The member is a socket that records requests and responds with the fixture."""

    async def query() -> tuple[list[dict], list]:
        requests = []

        async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            requests.append(msgspec.msgpack.decode((await read_frame(reader))[HEADER_BYTES:]))
            writer.write(bytes.fromhex(EXCHANGES["all_that_is_known"]["stream"]))
            await writer.drain()
            writer.close()

        async with await asyncio.start_server(respond, "127.0.0.1", 0) as server:
            rows = await query_members(server.sockets[0].getsockname()[:2], SECRET)
        return rows, requests

    rows, [request] = asyncio.run(query())
    assert json.dumps(rows, indent=1) + "\n" == (FIXTURES / "visit.json").read_text()
    assert [request[0], *request[2:]] == ["visitor", [], []]
