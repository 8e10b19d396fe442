"""``oakbridge servers`` on files: its output, its JSON, and its exit code for invalid input."""

import json
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from oakbridge.cli.servers import command

SAVED_COPY = Path(__file__).parents[1] / "formats" / "fixtures" / "sources" / "saved.list"


def invoke(*arguments: object) -> Result:
    """Run the command in this process."""
    return CliRunner().invoke(command, [str(argument) for argument in arguments])


def server_entry(name: str, port: int, **fields: object) -> dict[str, object]:
    """Return a server's entry in the format of discovery's endpoint list."""
    return {"name": name, "address": f"127.0.0.1:{port}"} | fields


def write_server_file(path: Path, *servers: dict[str, object]) -> Path:
    """Write a server file in the format of discovery's endpoint list; return its path."""
    path.write_text(json.dumps({"endpoints": servers}))
    return path


def test_check_prints_each_problem_with_its_place_and_exits_with_2(tmp_path):
    path = write_server_file(
        tmp_path / "s.json", server_entry("a", 1, weight=-1), server_entry("a", 2)
    )
    result = invoke("check", path)
    assert result.exit_code == 2
    assert "s.json:1: endpoints[0].weight: expected a number above 0" in result.output
    assert "s.json:1: endpoints[1].name: expected a new name, got 'a' again" in result.output


def test_check_as_json_has_file_path_line_field_and_expectation(tmp_path):
    path = write_server_file(tmp_path / "s.json", server_entry("a", 1, weight=-1))
    result = invoke("check", path, "--json")
    assert result.exit_code == 2
    assert json.loads(result.output) == {
        "ok": False,
        "servers": 0,
        "problems": [
            {
                "file": "s.json",
                "path": ["endpoints", 0, "weight"],
                "expected": "expected a number above 0 (at most 1000000), got -1",
                "line": 1,
                "field": "endpoints[0].weight",
            }
        ],
    }


def test_check_of_a_missing_file_names_it_and_exits_with_2(tmp_path):
    result = invoke("check", tmp_path / "nothing.toml")
    assert result.exit_code == 2
    assert "nothing.toml: No such file or directory" in result.output


def test_show_as_json_has_all_fields_of_servers_and_changes(tmp_path):
    old_path = write_server_file(
        tmp_path / "old.json", server_entry("a", 1), server_entry("b", 2), server_entry("c", 3)
    )
    new_path = write_server_file(
        tmp_path / "new.json", server_entry("a", 1, weight=2.5), server_entry("b", 9, zone="z")
    )
    result = invoke("show", new_path, "--against", old_path, "--json")
    assert result.exit_code == 0
    output = json.loads(result.output)
    assert output.pop("digest")
    assert output == {
        "servers": [
            {
                "name": "a",
                "address": "127.0.0.1:1",
                "state": "up",
                "weight": 2.5,
                "zone": "",
                "group": 0,
                "since": None,
            },
            {
                "name": "b",
                "address": "127.0.0.1:9",
                "state": "up",
                "weight": 1.0,
                "zone": "z",
                "group": 0,
                "since": output["servers"][1]["since"],
            },
        ],
        "added": [],
        "changed": ["a"],
        "moved": ["b"],
        "gone": ["c"],
        "taken_away": 2,
        "of_ready": 3,
    }
    assert output["servers"][1]["since"] > 0


def test_show_compares_with_a_saved_copy(tmp_path):
    path = write_server_file(tmp_path / "s.json", server_entry("s1", 1))
    result = invoke("show", path, "--saved", SAVED_COPY)
    assert result.exit_code == 0
    assert "0 added, 0 changed, 1 moved, 2 gone; 2 of 2 ready servers (100%)" in result.output


@pytest.mark.parametrize(
    ("options", "expected"),
    [
        (["--against", "s.json", "--saved", "s.json"], "expected one of --against and --saved"),
        (["--saved", "s.json"], "s.json: expected a saved copy of a list that can be read"),
        (["--saved", "nothing"], "nothing: expected a saved copy of a list that can be read"),
        (["--against", "nothing"], "nothing: No such file or directory"),
    ],
)
def test_show_reports_invalid_input_and_exits_with_2(tmp_path, monkeypatch, options, expected):
    monkeypatch.chdir(tmp_path)
    path = write_server_file(tmp_path / "s.json", server_entry("a", 1))
    result = invoke("show", path, *options)
    assert result.exit_code == 2
    assert expected in result.output
