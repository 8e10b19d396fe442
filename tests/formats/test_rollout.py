"""The operator's journal as stored: fixtures of the program before the renames, which never change.

``journal.db`` has a rollout of every kind of change and in every state; ``rows.json`` is its one
table as text, ``resumed.json`` what a tool that resumes each of them does first, and
``history.json`` what ``oakbridge fleet history --json`` prints of it.
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
RESUMED = {int(k): v for k, v in json.loads((FIXTURES / "resumed.json").read_text()).items()}

CONFIG = '[servers]\nfile = "s.toml"\n'
H0, H1 = Target("h0", "n0", "z0", 0, False), Target("h1", "n0", "z1", 1, False)
H2, H3 = Target("h2", "n0", "z0", 2, True), Target("h3", "n1")
GATE = "the gate after wave 2: it serves less"
TIME = "class[0].aim: expected a time"
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
            ("h0/n0", InstanceStatus(InstanceOutcome.ROLLED_BACK, GATE)),
            ("h1/n0", InstanceStatus(InstanceOutcome.ROLLED_BACK, "exit code 1")),
            ("h2/n0", InstanceStatus(InstanceOutcome.NOT_REACHED)),
            ("h3/n1", InstanceStatus(InstanceOutcome.NOT_REACHED)),
        ),
        GATE,
    ),
    5: RolloutRecord(
        ((H0, H1, H2),),
        2,
        False,
        Phase.HALTED,
        0,
        (
            ("h0/n0", InstanceStatus(InstanceOutcome.NOT_APPLIED, TIME)),
            (
                "h1/n0",
                InstanceStatus(
                    InstanceOutcome.UNKNOWN, "its agent does not answer", 1790000240.125
                ),
            ),
            ("h2/n0", InstanceStatus(InstanceOutcome.APPLIED)),
        ),
        f"h0/n0 did not: {TIME}",
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
ACTIONS = {
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


def stored(folder: Path) -> dict[int, dict]:
    """Return the table as it is on disk."""
    with sqlite3.connect(folder / "journal.db") as db:
        db.row_factory = sqlite3.Row
        return {row["id"]: dict(row) for row in db.execute("SELECT * FROM rollouts ORDER BY id")}


def schema(folder: Path) -> tuple[str, int]:
    with sqlite3.connect(folder / "journal.db") as db:
        (sql,) = db.execute("SELECT sql FROM sqlite_master WHERE name = 'rollouts'").fetchone()
        return sql, db.execute("PRAGMA user_version").fetchone()[0]


def act(action) -> list[str]:
    """Return an action in the fixture's words."""
    words = [ACTIONS[type(action)]]
    if isinstance(action, EvaluateGate):
        return words + [target.name for target in action.changed]
    return [*words, action.phase.value if isinstance(action, Finish) else action.target.name]


def test_the_binary_fixture_is_the_one_that_is_written_out(folder):
    assert stored(folder) == ROWS


@pytest.mark.parametrize("rollout", sorted(ROWS))
def test_a_stored_rollout_is_read(folder, rollout):
    entry, row = Journal(folder).entry(rollout), ROWS[rollout]
    assert entry.change == CHANGES[rollout]
    assert entry.record == RECORDS[rollout]
    told = entry.id, entry.operator, entry.started_unix_s, entry.updated_unix_s, entry.why
    assert told == tuple(row[name] for name in ("id", "operator", "began", "changed", "why"))


def test_all_of_them_are_read_newest_first(folder):
    assert [entry.id for entry in Journal(folder).entries()] == sorted(ROWS, reverse=True)


@pytest.mark.parametrize("rollout", sorted(ROWS))
def test_a_rollout_is_written_as_it_is_stored(folder, tmp_path, rollout):
    entry = Journal(folder).entry(rollout)
    (tmp_path / "new").mkdir()
    Journal(tmp_path / "new").add(entry)
    expected = dict(ROWS[rollout])
    if rollout == 15:  # written before a change had a kind: it gets one
        expected["files"] = json.dumps({"": "files", "files": json.loads(expected["files"])})
    assert stored(tmp_path / "new") == {rollout: expected}
    assert schema(tmp_path / "new") == schema(folder)


@pytest.mark.parametrize("rollout", sorted(ROWS))
def test_a_rollout_is_resumed(folder, rollout):
    journal = Journal(folder)
    actions = RolloutMachine(journal.entry(rollout).record).start()
    assert [act(a) for a in actions if not isinstance(a, Persist)] == RESUMED[rollout]["actions"]
    kept = [a.record for a in actions if isinstance(a, Persist)]
    assert [json.loads(encode_record(r)) for r in kept] == (
        [RESUMED[rollout]["kept"]] if RESUMED[rollout]["kept"] else []
    )
    for record in kept:
        journal.update(rollout, record)
    written = stored(folder)[rollout]
    assert written["record"] == (
        json.dumps(RESUMED[rollout]["kept"]) if kept else ROWS[rollout]["record"]
    )
    unchanged = ("id", "operator", "began", "why", "files")
    assert all(written[name] == ROWS[rollout][name] for name in unchanged)
    assert (written["changed"] > ROWS[rollout]["changed"]) == bool(kept)


def test_the_history_is_printed(folder):
    got = CliRunner().invoke(command, ["history", "--fleet", str(folder), "--json"])
    assert got.exit_code == 0
    assert got.output == (FIXTURES / "history.json").read_text()


def test_a_step_is_known_to_agents_by_its_id():
    assert step_report.step_id(7, "n0") == "r7-n0"
    assert step_report.rollback_step_id(7, "n0") == "r7-back-n0"


@pytest.mark.parametrize(
    ("raw", "says"),
    [
        ({"": "paint"}, "expected a change of a known kind, got 'paint'"),
        ({"": "back"}, "expected a change of a known kind, got 'back'"),
        ({"": "drain", "why": "", "more": 1}, "expected a change of a known kind, got 'drain'"),
        ({"": ["drain"]}, "expected a change of a known kind, got ['drain']"),
    ],
)
def test_a_change_of_no_known_kind_is_refused(folder, raw, says):
    with pytest.raises(ChangeError) as refused:
        decode_change(raw)
    assert str(refused.value) == says
    with sqlite3.connect(folder / "journal.db") as db:
        db.execute("UPDATE rollouts SET files = ? WHERE id = 5", (json.dumps(raw),))
    with pytest.raises(JournalError, match=r"^rollout 5: expected a change of a known kind"):
        Journal(folder).entry(5)


@pytest.mark.parametrize(
    "broken",
    [
        {"stage": "asleep"},
        {"rows": [["h0/n0", "eaten", "", 0.0]]},
        {"rows": [["h0/n0", "took it", ""]]},
        {"waves": [[["h0"]]]},
        {"wave": ...},
    ],
)
def test_a_record_that_cannot_be_read_is_refused(folder, broken):
    record = json.loads(ROWS[5]["record"]) | broken
    record = {name: value for name, value in record.items() if value is not ...}
    with sqlite3.connect(folder / "journal.db") as db:
        db.execute("UPDATE rollouts SET record = ? WHERE id = 5", (json.dumps(record),))
    with pytest.raises(JournalError, match="a record that can't be read"):
        Journal(folder).entry(5)


def test_a_journal_of_another_format_is_refused(folder):
    with sqlite3.connect(folder / "journal.db") as db:
        db.execute("PRAGMA user_version = 2")
    with pytest.raises(JournalError, match=r"journal\.db: expected format 1, got 2"):
        Journal(folder)


def test_a_rollout_that_is_not_there_is_refused(folder):
    with pytest.raises(JournalError, match="there is no rollout 8"):
        Journal(folder).entry(8)
