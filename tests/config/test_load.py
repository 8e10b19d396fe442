"""The configuration file: its mapping, its problems with their lines, and its reference page."""

from pathlib import Path

import pytest

from oakbridge.config.errors import ConfigFileError
from oakbridge.config.load import load, parse_config
from oakbridge.config.node_config import inline_endpoints
from oakbridge.config.reference import reference_page
from oakbridge.control.paths import default_socket_path
from oakbridge.sources.decoding import FileKind
from oakbridge.sources.field_lines import field_lines

ROOT = Path(__file__).parents[2]
GOOD = """\
[node]
name = "n1"
listen = ["127.0.0.1:8080", "127.0.0.1:8081"]
seed = 5

[servers]
file = "servers.toml"

[[class]]
name = "car-nearby"
aim = "2.5s"
deadline = "6s"
worth = 3
repeat = "safe"

[[class]]
name = "book-trip"
aim = "1s"
deadline = "4s"
repeat = "keyed"
repeat_window = "30s"
group = "cell"

[[tenant]]
name = "harbour"
quota_per_s = 20

[retry_budget]
ratio = 0.1
"""


def problems_of(text: str) -> list[tuple[int | None, str, str]]:
    """Return line, field and expectation of each problem of an invalid file."""
    with pytest.raises(ConfigFileError) as caught:
        parse_config(text.encode(), "f.toml")
    return [
        (problem.line, problem.field_name(), problem.expected) for problem in caught.value.problems
    ]


def test_file_is_mapped_to_the_node_configuration(tmp_path):
    path = tmp_path / "o.toml"
    path.write_text(GOOD)
    got = load(path)
    config, settings = got.config, got.config.settings
    assert (config.name, config.listen, config.also_listen) == (
        "n1",
        ("127.0.0.1", 8080),
        (("127.0.0.1", 8081),),
    )
    assert (config.seed, config.discovery, settings.pin_endpoint_list) == (5, None, True)
    first, second = settings.classes
    assert first.name == "car-nearby"
    assert (first.latency_objective, first.deadline) == (2_500_000, 6_000_000)
    assert (first.priority_weight, first.idempotency) == (3.0, "safe")
    assert (second.idempotency, second.dedup_window, second.dedup_scope) == (
        "keyed",
        30_000_000,
        "cell",
    )
    assert settings.tenants[0].quota_per_s == 20
    assert (settings.retry_ratio, settings.retry_floor, settings.retry_window) == (0.1, 0.1, 10)
    assert got.control_path == default_socket_path("n1")


def test_every_problem_is_reported_at_once_with_line_and_field():
    text = (
        GOOD.replace('"2.5s"', '"soon"')
        .replace("worth = 3", "wroth = 3")
        .replace("quota_per_s = 20", "quota_per_s = -1")
    )
    text = (
        text.replace("ratio = 0.1", "ratio = 2")
        .replace('"127.0.0.1:8081"', '"here"')
        .replace('repeat = "safe"', 'repeat = "often"')
    )
    got = problems_of(text)
    assert [(line, field) for line, field, _ in got] == [
        (3, "node.listen[1]"),
        (11, "class[0].aim"),
        (13, "class[0].wroth"),
        (14, "class[0].repeat"),
        (26, "tenant[0].quota_per_s"),
        (29, "retry_budget.ratio"),
    ]
    expected_texts = [expected for _, _, expected in got]
    assert expected_texts[0].startswith("expected an IPv4 address and a port, got 'here'")
    assert "expected a time such as" in expected_texts[1]
    assert expected_texts[2].startswith("unknown key; expected one of aim, deadline")
    assert expected_texts[3] == "expected safe, keyed or unsafe, got often"
    assert expected_texts[4] == "expected a number of at least 0, got -1"
    assert expected_texts[5] == "expected a number of at most 1, got 2"


@pytest.mark.parametrize(
    ("text", "line", "field", "expected"),
    [
        ("[[class]", 1, "", "expected TOML"),
        ("", 1, "class", "missing"),
        ("a = 1\n", 1, "a", "unknown key; expected one of class, cold_start"),
        (GOOD.replace("file =", "fiel ="), 7, "servers.fiel", "unknown key"),
        (GOOD.replace('file = "servers.toml"', ""), 6, "servers", "expected exactly one of file"),
        (GOOD.replace("[servers]", '[servers]\ndirectory = "x"'), 6, "servers", "got file and directory"),
        (GOOD.replace('"30s"', '"0s"'), 16, "class[1]", "repeat_window: expected a time above 0"),
        (GOOD.replace('aim = "1s"', 'aim = "9s"'), 16, "class[1]", "aim: expected at most the deadline"),
        (GOOD.replace("book-trip", "car-nearby"), 1, "", "class: expected each name once, got 'car-nearby'"),
        (GOOD.replace('name = "harbour"\n', ""), 24, "tenant[0].name", "missing"),
        (GOOD.replace("quota_per_s = 20", "quota_per_s = nan"), 26, "tenant[0].quota_per_s", "expected"),
        (GOOD.replace('"n1"', "3"), 2, "node.name", "expected a text, got 3"),
        (GOOD.replace('"n1"', '"a b"'), 2, "node.name", "without blanks"),
        (GOOD.replace("seed = 5", "seed = 1.5"), 4, "node.seed", "expected a whole number"),
        (GOOD.replace('["127.0.0.1:8080", "127.0.0.1:8081"]', "[]"), 3, "node.listen", "expected at least one"),
        (GOOD + "[log]\nlevel = 'loud'\n", 31, "log.level", "expected debug, info, warning or error"),
        (GOOD + "[limits]\nsockets = 3\n", 31, "limits.sockets", "of at least 128"),
    ],
)  # fmt: skip
def test_problem_names_line_field_and_expectation(text, line, field, expected):
    [(got_line, got_field, got_expected), *_] = problems_of(text)
    assert (got_line, got_field) == (line, field)
    assert expected in got_expected


def test_invalid_utf8_is_reported_with_its_line():
    with pytest.raises(ConfigFileError, match=r"f\.toml:2: expected UTF-8, got the byte 0xff"):
        parse_config(b"# fine\n\xff\n", "f.toml")


def test_missing_file_is_reported(tmp_path):
    with pytest.raises(ConfigFileError, match="No such file"):
        load(tmp_path / "nothing.toml")


def test_inline_servers_are_listed():
    text = GOOD.replace(
        'file = "servers.toml"', 'inline = [\n{name = "a", address = "127.0.0.1:1", weight = 2},\n]'
    )
    [entry] = inline_endpoints(parse_config(text.encode(), "f"))
    assert (entry.server.id, entry.server.weight, entry.address) == ("a", 2.0, ("127.0.0.1", 1))
    [(line, field, expected)] = problems_of(text.replace('"127.0.0.1:1"', '"x"'))
    assert (line, field) == (8, "servers.inline[0].address")
    assert "IPv4" in expected


def test_lines_are_found_in_nested_and_quoted_tables():
    text = (
        b'a."b.c" = 1\n[x.y]\nz = [\n 1,\n 2]\n[[x.w]]\nk = {p = 1}\n[[x.w]]\n[x.w.deep]\nq = 1\n'
    )
    lines = field_lines(text, FileKind.TOML)
    assert lines["a", "b.c"] == 1
    assert lines["x", "y", "z", 1] == 5
    assert lines["x", "w", 0, "k", "p"] == 7
    assert lines["x", "w", 1] == 8
    assert lines["x", "w", 1, "deep", "q"] == 10


def test_reference_page_matches_the_definitions():
    """Guards against an outdated page: `oakbridge check --reference` writes it."""
    assert (ROOT / "docs/configuration.md").read_text() == reference_page()


def test_example_in_getting_started_is_valid():
    text = (ROOT / "docs/getting-started.md").read_text()
    example = text.split("```toml\n", 1)[1].split("```", 1)[0]
    assert parse_config(example.encode(), "oakbridge.toml").classes
