"""The stored format of the operator's journal, against fixtures of an earlier release.

The fixtures never change.  ``journal.db`` has rollouts of every kind of change and in every phase.
``rows.json`` is its table as text, ``resumed.json`` the first actions of a tool that resumes each
rollout, and ``history.json`` the output of ``oakbridge fleet history --json``.
"""

import json
import shutil
import sqlite3
from pathlib import Path

import pytest
from click.testing import CliRunner

from oakbridge.cli.rollout import command
from oakbridge.rollout import step_report
from oakbridge.rollout.actions import EvaluateGate, Finish, Persist, ResolveStep, RollBack, SendStep
from oakbridge.rollout.change import (
    Drain,
    ReplaceFiles,
    ReplaceServerFile,
    RollBackRollout,
    SetValues,
    Undrain,
    decode_change,
)
from oakbridge.rollout.change_error import ChangeError
from oakbridge.rollout.journal import Journal, JournalError
from oakbridge.rollout.machine import RolloutMachine
from oakbridge.rollout.plan import Target
from oakbridge.rollout.record import (
    InstanceOutcome,
    InstanceStatus,
    Phase,
    RolloutRecord,
    encode_record,
)

FIXTURES = Path(__file__).parent / "fixtures" / "rollout"
ROWS = {row["id"]: row for row in json.loads((FIXTURES / "rows.json").read_text("utf-8"))}
RESUMED = {
    int(rollout): resumed
    for rollout, resumed in json.loads((FIXTURES / "resumed.json").read_text()).items()
}

CONFIG = '[servers]\nfile = "s.toml"\n'
H0, H1 = Target("h0", "n0", "z0", 0, False), Target("h1", "n0", "z1", 1, False)
H2, H3 = Target("h2", "n0", "z0", 2, True), Target("h3", "n1")
GATE_REASON = "the gate after wave 2: it serves less"
TIME_REASON = "class[0].aim: expected a time"
SETTINGS = {
    "class.look.aim": "2s",
    "limits.max_open": 77,
    "limits.share": 0.5,
    "tls.on": True,
    "listen": ["127.0.0.1:1", "127.0.0.1:2"],
}

CHANGES = {
    1: ReplaceFiles({"oakbridge.toml": CONFIG, "s.toml": '[[server]]\nname = "å"\n'}),
    3: ReplaceServerFile('[[server]]\nname = "b"\n'),
    5: SetValues(SETTINGS),
    7: Drain("a new disk"),
    9: Undrain(),
    11: RollBackRollout(5),
    13: Drain(),
    15: ReplaceFiles({"oakbridge.toml": CONFIG}),
}
RECORDS = {
    1: RolloutRecord(
        ((H0,), (H1, H2)),
        2,
        False,
        Phase.DONE,
        1,
        (
            ("h0/n0", InstanceStatus(InstanceOutcome.APPLIED)),
            ("h1/n0", InstanceStatus(InstanceOutcome.APPLIED)),
            ("h2/n0", InstanceStatus(InstanceOutcome.APPLIED)),
        ),
    ),
    3: RolloutRecord(
        ((H0,), (H1,), (H2, H3)),
        1,
        True,
        Phase.ROLLED_BACK,
        1,
        (
            ("h0/n0", InstanceStatus(InstanceOutcome.ROLLED_BACK, GATE_REASON)),
            ("h1/n0", InstanceStatus(InstanceOutcome.ROLLED_BACK, "exit code 1")),
            ("h2/n0", InstanceStatus(InstanceOutcome.NOT_REACHED)),
            ("h3/n1", InstanceStatus(InstanceOutcome.NOT_REACHED)),
        ),
        GATE_REASON,
    ),
    5: RolloutRecord(
        ((H0, H1, H2),),
        2,
        False,
        Phase.HALTED,
        0,
        (
            ("h0/n0", InstanceStatus(InstanceOutcome.NOT_APPLIED, TIME_REASON)),
            (
                "h1/n0",
                InstanceStatus(
                    InstanceOutcome.UNKNOWN, "its agent does not answer", 1790000240.125
                ),
            ),
            ("h2/n0", InstanceStatus(InstanceOutcome.APPLIED)),
        ),
        f"h0/n0 did not: {TIME_REASON}",
    ),
    7: RolloutRecord(
        ((H2,),),
        1,
        False,
        Phase.RUNNING,
        0,
        (("h2/n0", InstanceStatus(InstanceOutcome.IN_PROGRESS)),),
    ),
    9: RolloutRecord(
        ((H2,), (H3,)),
        1,
        False,
        Phase.GATING,
        0,
        (
            ("h2/n0", InstanceStatus(InstanceOutcome.APPLIED)),
            ("h3/n1", InstanceStatus(InstanceOutcome.NOT_REACHED)),
        ),
    ),
    11: RolloutRecord(
        ((H0, H1, H2),),
        3,
        True,
        Phase.ROLLING_BACK,
        0,
        (
            ("h0/n0", InstanceStatus(InstanceOutcome.APPLIED)),
            ("h1/n0", InstanceStatus(InstanceOutcome.IN_PROGRESS)),
            ("h2/n0", InstanceStatus(InstanceOutcome.UNKNOWN, "its step has no end", 1790000508.0)),
        ),
        "h2/n0 did not: exit 1",
    ),
    13: RolloutRecord(((H1,),), 1, False),
    15: RolloutRecord(((H0,),), 1, False),
}
FIXTURE_ACTION_NAMES = {
    SendStep: "send",
    ResolveStep: "settle",
    RollBack: "take back",
    EvaluateGate: "judge",
    Finish: "finish",
}


@pytest.fixture
def folder(tmp_path):
    shutil.copy(FIXTURES / "journal.db", tmp_path)
    return tmp_path


def read_rows(folder: Path) -> dict[int, dict]:
    """Return the rows of the stored table by rollout number."""
    with sqlite3.connect(folder / "journal.db") as db:
        db.row_factory = sqlite3.Row
        return {row["id"]: dict(row) for row in db.execute("SELECT * FROM rollouts ORDER BY id")}


def read_schema(folder: Path) -> tuple[str, int]:
    """Return the definition of the stored table, and the version of the format."""
    with sqlite3.connect(folder / "journal.db") as db:
        (sql,) = db.execute("SELECT sql FROM sqlite_master WHERE name = 'rollouts'").fetchone()
        return sql, db.execute("PRAGMA user_version").fetchone()[0]


def describe_action(action) -> list[str]:
    """Return an action as the fixture has it."""
    words = [FIXTURE_ACTION_NAMES[type(action)]]
    if isinstance(action, EvaluateGate):
        return words + [target.name for target in action.changed]
    return [*words, action.phase.value if isinstance(action, Finish) else action.target.name]


def test_the_binary_fixture_agrees_with_its_text(folder):
    assert read_rows(folder) == ROWS


@pytest.mark.parametrize("rollout", sorted(ROWS))
def test_a_stored_rollout_is_read(folder, rollout):
    entry, row = Journal(folder).entry(rollout), ROWS[rollout]
    assert entry.change == CHANGES[rollout]
    assert entry.record == RECORDS[rollout]
    columns = entry.id, entry.operator, entry.started_unix_s, entry.updated_unix_s, entry.why
    assert columns == tuple(row[name] for name in ("id", "operator", "began", "changed", "why"))


def test_all_rollouts_are_read_newest_first(folder):
    assert [entry.id for entry in Journal(folder).entries()] == sorted(ROWS, reverse=True)


@pytest.mark.parametrize("rollout", sorted(ROWS))
def test_a_rollout_is_written_in_the_stored_format(folder, tmp_path, rollout):
    entry = Journal(folder).entry(rollout)
    (tmp_path / "new").mkdir()
    Journal(tmp_path / "new").add(entry)
    expected = dict(ROWS[rollout])
    if rollout == 15:  # of a release that stored no kind of change; the kind is added
        expected["files"] = json.dumps({"": "files", "files": json.loads(expected["files"])})
    assert read_rows(tmp_path / "new") == {rollout: expected}
    assert read_schema(tmp_path / "new") == read_schema(folder)


@pytest.mark.parametrize("rollout", sorted(ROWS))
def test_a_rollout_is_resumed(folder, rollout):
    journal = Journal(folder)
    actions = RolloutMachine(journal.entry(rollout).record).start()
    assert [
        describe_action(action) for action in actions if not isinstance(action, Persist)
    ] == RESUMED[rollout]["actions"]
    records = [action.record for action in actions if isinstance(action, Persist)]
    assert [json.loads(encode_record(persisted)) for persisted in records] == (
        [RESUMED[rollout]["kept"]] if RESUMED[rollout]["kept"] else []
    )
    for record in records:
        journal.update(rollout, record)
    written = read_rows(folder)[rollout]
    assert written["record"] == (
        json.dumps(RESUMED[rollout]["kept"]) if records else ROWS[rollout]["record"]
    )
    unchanged = ("id", "operator", "began", "why", "files")
    assert all(written[name] == ROWS[rollout][name] for name in unchanged)
    assert (written["changed"] > ROWS[rollout]["changed"]) == bool(records)


def test_the_history_is_printed(folder):
    result = CliRunner().invoke(command, ["history", "--fleet", str(folder), "--json"])
    assert result.exit_code == 0
    assert result.output == (FIXTURES / "history.json").read_text()


def test_step_ids_have_the_form_that_agents_store():
    assert step_report.step_id(7, "n0") == "r7-n0"
    assert step_report.rollback_step_id(7, "n0") == "r7-back-n0"


@pytest.mark.parametrize(
    ("raw", "problem"),
    [
        ({"": "paint"}, "expected a change of a known kind, got 'paint'"),
        ({"": "back"}, "expected a change of a known kind, got 'back'"),
        ({"": "drain", "why": "", "more": 1}, "expected a change of a known kind, got 'drain'"),
        ({"": ["drain"]}, "expected a change of a known kind, got ['drain']"),
    ],
)
def test_a_change_of_an_unknown_kind_is_rejected(folder, raw, problem):
    with pytest.raises(ChangeError) as caught:
        decode_change(raw)
    assert str(caught.value) == problem
    with sqlite3.connect(folder / "journal.db") as db:
        db.execute("UPDATE rollouts SET files = ? WHERE id = 5", (json.dumps(raw),))
    with pytest.raises(JournalError, match=r"^rollout 5: expected a change of a known kind"):
        Journal(folder).entry(5)


@pytest.mark.parametrize(
    "invalid_fields",
    [
        {"stage": "asleep"},
        {"rows": [["h0/n0", "eaten", "", 0.0]]},
        {"rows": [["h0/n0", "took it", ""]]},
        {"waves": [[["h0"]]]},
        {"wave": ...},
    ],
)
def test_an_invalid_record_is_rejected(folder, invalid_fields):
    record = json.loads(ROWS[5]["record"]) | invalid_fields
    record = {name: value for name, value in record.items() if value is not ...}
    with sqlite3.connect(folder / "journal.db") as db:
        db.execute("UPDATE rollouts SET record = ? WHERE id = 5", (json.dumps(record),))
    with pytest.raises(JournalError, match="a record that can't be read"):
        Journal(folder).entry(5)


def test_a_journal_of_another_format_is_rejected(folder):
    with sqlite3.connect(folder / "journal.db") as db:
        db.execute("PRAGMA user_version = 2")
    with pytest.raises(JournalError, match=r"journal\.db: expected format 1, got 2"):
        Journal(folder)


def test_an_unknown_rollout_is_rejected(folder):
    with pytest.raises(JournalError, match="there is no rollout 8"):
        Journal(folder).entry(8)
