"""Server files of all three formats: valid ones, and the problems of others with their places."""

import hashlib
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oakbridge.policy.events import Endpoint, EndpointState
from oakbridge.sources.checksum import checksum_matches, split_checksum
from oakbridge.sources.decoding import SourceFile
from oakbridge.sources.field_lines import with_lines
from oakbridge.sources.parsing import parse

TOML = """\
# the harbour's servers
[[server]]
name = "s-1"
address = "127.0.0.1:9001"

[[server]]
name = "s-2"
address = "127.0.0.1:9002"
weight = 2.5
zone = "b"
group = 3
state = "draining"
since = 2026-11-30T12:00:00Z
"""
DISCOVERY = {
    "index": 4, "snapshot": True,
    "endpoints": [
        {"name": "s-1", "address": "127.0.0.1:9001"},
        {"name": "s-2", "address": "127.0.0.1:9002", "weight": 2.5, "zone": "b", "group": 3, "status": "draining",
         "since_ms": 1796040000000, "type": "m2"},
    ],
}  # fmt: skip
FILE_SD = [
    {"targets": ["127.0.0.1:9001"], "labels": {"name": "s-1"}},
    {"targets": ["127.0.0.1:9002"], "labels": {
        "name": "s-2", "weight": "2.5", "zone": "b", "group": "3", "state": "draining", "since": "1796040000",
        "job": "cars",
    }},
]  # fmt: skip


def read(data: bytes | str, name: str = "f.toml"):
    return parse([SourceFile(name, data.encode() if isinstance(data, str) else data)])


def signed(content: bytes) -> bytes:
    return content + b"# sha256: " + hashlib.sha256(content).hexdigest().encode() + b"\n"


@pytest.mark.parametrize(
    ("data", "name"),
    [(TOML, "f.toml"), (json.dumps(DISCOVERY), "f.json"), (json.dumps(FILE_SD), "f.json")],
)
def test_all_formats_give_the_same_servers(data, name):
    got = read(data, name)
    assert got.problems == []
    first, second = got.servers.values()
    assert first.server == Endpoint("s-1", address="127.0.0.1:9001")
    assert second.server == Endpoint(
        "s-2", EndpointState.DRAINING, "b", 3, 2.5, 1_796_040_000_000_000, "127.0.0.1:9002"
    )
    assert second.address == ("127.0.0.1", 9002)
    assert got.with_start_time == {"s-2"}


def test_targets_without_a_name_are_named_by_their_address():
    got = read(
        json.dumps([{"targets": ["127.0.0.1:1", "127.0.0.1:2"], "labels": {"zone": "a"}}]), "f.json"
    )
    assert [(entry.server.id, entry.server.zone) for entry in got.servers.values()] == [
        ("127.0.0.1:1", "a"),
        ("127.0.0.1:2", "a"),
    ]


def test_byte_order_mark_is_accepted():
    assert len(read(b"\xef\xbb\xbf" + TOML.encode()).servers) == 2


def row(**fields) -> dict:
    return {"name": "s", "address": "127.0.0.1:9001"} | fields


def endpoints(*rows) -> str:
    return json.dumps({"endpoints": list(rows)})


BROKEN = [
    ("f.json", b"", "empty file", None),
    ("f.json", b"{", "expected JSON", 1),
    ("f.json", b'{"endpoints": [\n{"name": NaN}]}', "NaN is no JSON number", None),
    ("f.json", b"[" * 100_000, "expected JSON", None),
    ("f.json", b'{"endpoints": [\n\xff]}', "expected UTF-8, got the byte 0xff", 2),
    ("f.json", b"{}", "expected `endpoints`", None),
    ("f.json", b'"x"', "expected `endpoints`", None),
    ("f.json", endpoints(), "at least one server that is ready", None),
    ("f.json", endpoints(row(status="draining")), "at least one server that is ready", None),
    ("f.json", '{"endpoints": 3}', "endpoints: expected a list", 1),
    ("f.json", json.dumps({"snapshot": False, "endpoints": [row()]}), "snapshot: expected true", 1),
    ("f.json", endpoints(3), "endpoints[0]: expected a table", 1),
    ("f.json", endpoints(row(name="")), "endpoints[0].name: expected a text", 1),
    (
        "f.json",
        endpoints(row(address="here:1")),
        "endpoints[0].address: expected an IPv4 address",
        1,
    ),
    ("f.json", endpoints(row(address="127.0.0.1:0")), "expected a port above 0", 1),
    ("f.json", endpoints(row(address="127.0.0.1:70000")), "expected a port below 65536", 1),
    ("f.json", endpoints(row(weight=0)), "has the state draining", 1),
    ("f.json", endpoints(row(weight=-1)), "weight: expected a number above 0", 1),
    ("f.json", endpoints(row(weight="2")), "weight: expected a number", 1),
    ("f.json", endpoints(row(weight=True)), "weight: expected a number", 1),
    ("f.json", endpoints(row(weight=1e300)), "weight: expected a number above 0", 1),
    ("f.json", endpoints(row(group=1.5)), "group: expected a whole number", 1),
    ("f.json", endpoints(row(status="gone")), "status: expected ready or draining", 1),
    ("f.json", endpoints(row(since_ms="x")), "since_ms: expected a number", 1),
    ("f.json", endpoints(row(zone=3)), "zone: expected a text", 1),
    (
        "f.json",
        endpoints(row(), row(address="127.0.0.1:2")),
        "endpoints[1].name: expected a new name",
        1,
    ),
    (
        "f.json",
        endpoints(row(), row(name="t")),
        "expected an address of its own, got 127.0.0.1:9001",
        None,
    ),
    ("f.json", "[3]", "[0]: expected an object with a list of `targets`", 1),
    (
        "f.json",
        '[{"targets": ["127.0.0.1:1"], "labels": {"weight": "much"}}]',
        "weight: expected a number as text",
        1,
    ),
    (
        "f.json",
        '[{"targets": ["127.0.0.1:1", "127.0.0.1:2"], "labels": {"name": "a"}}]',
        "expected one target",
        1,
    ),
    (
        "f.json",
        '[{"targets": ["127.0.0.1:1"], "labels": {"weight": "nan"}}]',
        "expected a number",
        1,
    ),
    ("f.toml", "[[server]\n", "expected TOML", 1),
    ("f.toml", "a = 1\n", "expected `endpoints`", None),
    ("f.toml", TOML + "wieght = 2\n", "server[1].wieght: unknown key", 14),
    ("f.toml", TOML.replace("2.5", "nan"), "server[1].weight: expected a number", 9),
    (
        "f.toml",
        TOML.replace("12:00:00Z", "12:00:00"),
        "server[1].since: expected a time with an offset",
        13,
    ),
    ("f.toml", 'server = "x"\n', "server: expected `[[server]]` tables", 1),
    ("f.toml", TOML + "\n[other]\n", "other: unknown key", 15),
    (
        "f.toml",
        signed(TOML.encode()).replace(b"9001", b"9003"),
        "not what its checksum line says",
        None,
    ),
]


@pytest.mark.parametrize(("name", "data", "expected", "line"), BROKEN)
def test_problem_has_its_place_and_no_server_is_returned(name, data, expected, line):
    file = SourceFile(name, data.encode() if isinstance(data, str) else data)
    got = parse([file])
    assert got.servers == {}
    [first, *_] = with_lines([file], got.problems)
    assert expected in str(first)
    assert first.line == line
    assert "\n" not in str(first)


def test_problems_are_reported_up_to_a_limit():
    got = read(endpoints(*(row(name=f"s{i}", weight=-1, zone=3) for i in range(40))), "f.json")
    assert len(got.problems) >= 80
    assert (
        len(
            read(endpoints(*(row(name=f"s{i}", weight=-1) for i in range(4000))), "f.json").problems
        )
        <= 101
    )


def test_files_of_a_directory_are_one_list():
    first, second = (
        SourceFile("a.json", endpoints(row(name="a", address="127.0.0.1:1")).encode()),
        SourceFile("b.toml", TOML.encode()),
    )
    assert list(parse([first, second]).servers) == ["a", "s-1", "s-2"]
    with_duplicate = parse(
        [second, SourceFile("c.json", endpoints(row(name="s-1", address="127.0.0.1:5")).encode())]
    )
    assert [(problem.file, problem.field_name()) for problem in with_duplicate.problems] == [
        ("c.json", "endpoints[0].name")
    ]
    assert parse([first, SourceFile("z.json", b"{")]).servers == {}


def test_checksum_covers_all_bytes_before_it():
    data = signed(TOML.encode())
    assert checksum_matches(data) is True
    assert split_checksum(data)[0] == TOML.encode()
    assert checksum_matches(data + b"\n") is None or checksum_matches(data + b"\n") is True
    assert checksum_matches(TOML.encode()) is None
    assert checksum_matches(data[1:]) is False
    as_json = signed(json.dumps(DISCOVERY).encode() + b"\n")
    assert len(read(as_json, "f.json").servers) == 2


@given(st.integers(0, len(signed(TOML.encode())) - 66))
@settings(max_examples=200, derandomize=True)
def test_truncated_file_never_matches_its_checksum(cut):
    """A file cut within the digest has no checksum line, and has to settle like any such file."""
    assert checksum_matches(signed(TOML.encode())[:cut]) is not True


@given(st.binary(max_size=300) | st.text(max_size=300).map(str.encode))
@settings(max_examples=300, derandomize=True)
def test_parser_raises_no_error_for_random_bytes(data):
    for name in ("f.json", "f.toml"):
        got = parse([SourceFile(name, data)])
        assert got.problems
        assert not got.servers


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.sampled_from([*list(row()), "x"]), inner)
    ),
    max_leaves=8,
)


@given(st.lists(st.dictionaries(
    st.sampled_from(["name", "address", "weight", "zone", "group", "status", "since_ms"]), VALUES
), max_size=4))  # fmt: skip
@settings(max_examples=300, derandomize=True)
def test_parser_raises_no_error_for_random_values_and_accepted_servers_are_valid(rows):
    got = read(json.dumps({"endpoints": [row(**fields) for fields in rows]}), "f.json")
    assert bool(got.problems) != bool(got.servers)
    for entry in got.servers.values():
        assert entry.server.id
        assert 0 < entry.server.weight <= 1e6
        assert entry.address[1] > 0


def test_parser_pauses_between_batches():
    pauses = []
    rows = [row(name=f"s{i}", address=f"127.0.{i // 250}.1:{1 + i % 250}") for i in range(1000)]
    parse([SourceFile("f.json", endpoints(*rows).encode())], lambda: pauses.append(1))
    assert len(pauses) > 10
