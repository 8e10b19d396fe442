"""``agent.db`` as the agent before the renames wrote it: read, and written as the same text.

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
STORED = json.loads((FIXTURES / "rows.json").read_text("utf-8"))

ONE, TWO, THREE = Generation(1, "1" * 64), Generation(2, "2" * 64), Generation(3, "3" * 64)
STEP = Step("rollout-3-n1", 3, THREE, 2, 5_000_000)
OUTCOMES = (
    StepOutcome("rollout-1-n1", Verdict.APPLIED),
    StepOutcome("rollout-2-n1", Verdict.REJECTED, "class[0].aim: expected a time, got 'straks nå'"),
    StepOutcome("back-1-n1", Verdict.ROLLED_BACK, "exit code 1"),
)
SPEC = InstanceSpec(("127.0.0.1:7000", "127.0.0.1:7001"), Path("/var/lib/oakbridge/n1.sock"))
PROMISE = FencingTokenRecord(9, "kari", 1_700_000_000.25, released=False)
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


def rows(database: Path) -> dict:
    """All that a database has, as text."""
    with sqlite3.connect(database) as db:
        schema = [
            sql for (sql,) in db.execute("SELECT sql FROM sqlite_master WHERE sql IS NOT NULL")
        ]
        facts = dict(db.execute("SELECT name, value FROM facts ORDER BY name"))
        instances = {
            name: {"spec": spec, "record": record}
            for name, spec, record in db.execute(
                "SELECT name, spec, record FROM instances ORDER BY name"
            )
        }
    db.close()
    return {"schema": schema, "facts": facts, "instances": instances}


def copy(folder: Path) -> Path:
    folder.mkdir()
    shutil.copy(FIXTURES / "agent.db", folder)
    return folder


def write(folder: Path) -> None:
    store = Store(folder)
    store.journal.save_token_record(PROMISE)
    for name, (spec, record) in INSTANCES.items():
        store.journal.save_instance(name, spec, InstanceRecord())
        store.journal.save_record(name, record)
    store.close()


def test_the_rows_are_those_of_the_database(tmp_path):
    assert rows(copy(tmp_path / "old") / "agent.db") == STORED


def test_the_promise_is_read(tmp_path):
    store = Store(copy(tmp_path / "old"))
    assert store.journal.load_token_record() == PROMISE
    store.close()


@pytest.mark.parametrize("name", INSTANCES)
def test_each_instance_is_read(tmp_path, name):
    store = Store(copy(tmp_path / "old"))
    assert store.journal.load_instances()[name] == INSTANCES[name]
    assert store.journal.load_instances().keys() == INSTANCES.keys()
    store.close()


def test_the_same_records_are_stored_as_the_same_text(tmp_path):
    write(tmp_path / "new")
    assert rows(tmp_path / "new" / "agent.db") == STORED


def test_what_is_read_is_written_back_as_it_was(tmp_path):
    store = Store(copy(tmp_path / "old"))
    store.journal.save_token_record(store.journal.load_token_record())
    for name, (spec, record) in store.journal.load_instances().items():
        store.journal.save_instance(name, spec, record)
    store.close()
    assert rows(tmp_path / "old" / "agent.db") == STORED
