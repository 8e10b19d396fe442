"""``agent.db`` as an earlier release wrote it: it is read, and written again as the same text.

``fixtures/agent/agent.db`` is the database; ``rows.json`` has its rows, so that they can be checked
by hand.
"""

import json
import shutil
import sqlite3
from dataclasses import replace
from pathlib import Path

import pytest

from oakbridge.agent.lease import FencingTokenRecord
from oakbridge.agent.records import (
    ChangeState,
    Generation,
    InstanceRecord,
    InstanceSpec,
    Step,
    StepOutcome,
    Verdict,
)
from oakbridge.agent.store import Store

FIXTURES = Path(__file__).parent / "fixtures" / "agent"
STORED_ROWS = json.loads((FIXTURES / "rows.json").read_text("utf-8"))

ONE, TWO, THREE = Generation(1, "1" * 64), Generation(2, "2" * 64), Generation(3, "3" * 64)
STEP = Step("rollout-3-n1", 3, THREE, 2, 5_000_000)
OUTCOMES = (
    StepOutcome("rollout-1-n1", Verdict.APPLIED),
    StepOutcome("rollout-2-n1", Verdict.REJECTED, "class[0].aim: expected a time, got 'straks nå'"),
    StepOutcome("back-1-n1", Verdict.ROLLED_BACK, "exit code 1"),
)
SPEC = InstanceSpec(("127.0.0.1:7000", "127.0.0.1:7001"), Path("/var/lib/oakbridge/n1.sock"))
TOKEN_RECORD = FencingTokenRecord(9, "kari", 1_700_000_000.25, released=False)
INSTANCES = {
    "flipping": (SPEC, InstanceRecord(ChangeState.ACTIVATING, TWO, ONE, STEP, "", OUTCOMES)),
    "new": (SPEC, InstanceRecord()),
    "settled": (
        replace(SPEC, member="127.0.0.1:7946"),
        InstanceRecord(ChangeState.SETTLED, TWO, ONE, None, "", OUTCOMES),
    ),
    "staging": (SPEC, InstanceRecord(ChangeState.STAGING, TWO, ONE, STEP)),
    "undoing": (
        SPEC,
        InstanceRecord(
            ChangeState.ROLLING_BACK, TWO, ONE, STEP, "signal 9: no more memory", OUTCOMES[:1]
        ),
    ),
    "watching": (SPEC, InstanceRecord(ChangeState.WATCHING, TWO, ONE, STEP, "", OUTCOMES[1:])),
}


def read_rows(path: Path) -> dict:
    """Return the schema and the rows of a database."""
    with sqlite3.connect(path) as database:
        schema = [
            sql
            for (sql,) in database.execute("SELECT sql FROM sqlite_master WHERE sql IS NOT NULL")
        ]
        facts = dict(database.execute("SELECT name, value FROM facts ORDER BY name"))
        instances = {
            name: {"spec": spec, "record": record}
            for name, spec, record in database.execute(
                "SELECT name, spec, record FROM instances ORDER BY name"
            )
        }
    database.close()
    return {"schema": schema, "facts": facts, "instances": instances}


def copy_fixture(folder: Path) -> Path:
    folder.mkdir()
    shutil.copy(FIXTURES / "agent.db", folder)
    return folder


def write_records(folder: Path) -> None:
    store = Store(folder)
    store.journal.save_token_record(TOKEN_RECORD)
    for name, (spec, record) in INSTANCES.items():
        store.journal.save_instance(name, spec, InstanceRecord())
        store.journal.save_record(name, record)
    store.close()


def test_rows_file_matches_the_database(tmp_path):
    assert read_rows(copy_fixture(tmp_path / "old") / "agent.db") == STORED_ROWS


def test_token_record_is_read(tmp_path):
    store = Store(copy_fixture(tmp_path / "old"))
    assert store.journal.load_token_record() == TOKEN_RECORD
    store.close()


@pytest.mark.parametrize("name", INSTANCES)
def test_each_instance_is_read(tmp_path, name):
    store = Store(copy_fixture(tmp_path / "old"))
    assert store.journal.load_instances()[name] == INSTANCES[name]
    assert store.journal.load_instances().keys() == INSTANCES.keys()
    store.close()


def test_records_are_stored_as_the_same_text(tmp_path):
    write_records(tmp_path / "new")
    assert read_rows(tmp_path / "new" / "agent.db") == STORED_ROWS


def test_records_that_are_read_are_written_back_unchanged(tmp_path):
    store = Store(copy_fixture(tmp_path / "old"))
    store.journal.save_token_record(store.journal.load_token_record())
    for name, (spec, record) in store.journal.load_instances().items():
        store.journal.save_instance(name, spec, record)
    store.close()
    assert read_rows(tmp_path / "old" / "agent.db") == STORED_ROWS
