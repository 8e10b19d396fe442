"""The agent's state on disk: atomic changes, its lock, and a SIGKILL at every write."""

import json
import os
import signal
import sqlite3
import subprocess
import sys
import textwrap
from pathlib import Path

import pytest
from peers import TIMEOUT_S

from oakbridge.agent.errors import StoreError
from oakbridge.agent.generations import RETAINED_GENERATIONS, digest_of
from oakbridge.agent.lease import FencingTokenRecord
from oakbridge.agent.record_codec import decode_record, encode_record
from oakbridge.agent.records import (
    ChangeState,
    Generation,
    InstanceRecord,
    InstanceSpec,
    Step,
    StepOutcome,
    Verdict,
)
from oakbridge.agent.state_machine import InstanceStateMachine
from oakbridge.agent.store import Store

ROOT = Path(__file__).parents[2]
FILES = {"oakbridge.toml": "a = 1\n", "servers.toml": "é\n"}
SPEC = InstanceSpec(("127.0.0.1:1",), Path("/run/a.sock"))


@pytest.fixture
def store(tmp_path):
    store = Store(tmp_path / "state")
    yield store
    store.close()


def generation(number: int, files=FILES) -> Generation:
    return Generation(number, digest_of(files))


def test_records_are_read_as_they_were_written(tmp_path):
    step = Step("s", 3, Generation(3, "x"), 2, 7)
    record = InstanceRecord(
        ChangeState.WATCHING,
        Generation(2, "y"),
        Generation(1, "z"),
        step,
        "",
        (StepOutcome("r", Verdict.ROLLED_BACK, "why"),),
    )
    assert decode_record(encode_record(record)) == record
    store = Store(tmp_path)
    store.journal.save_instance("a", SPEC, InstanceRecord())
    store.journal.save_record("a", record)
    store.journal.save_token_record(FencingTokenRecord(9, "kari", 5.0, False))
    store.close()
    reopened = Store(tmp_path)
    assert reopened.journal.load_instances() == {"a": (SPEC, record)}
    assert reopened.journal.load_token_record() == FencingTokenRecord(9, "kari", 5.0, False)
    reopened.delete_instance("a")
    assert reopened.journal.load_instances() == {}
    reopened.close()


RECORD = {
    "state": "watching",
    "current": {"number": 2, "digest": "y"},
    "previous": {"number": 1, "digest": "z"},
    "step": {"id": "s", "token": 3, "target": {"number": 3, "digest": "x"}, "base": 2, "watch": 7},
    "reason": "",
    "outcomes": [["r", "undone", "why"]],
}


@pytest.mark.parametrize(
    "change",
    [
        {"state": "flying"},
        {"current": {"number": 2, "digest": "y", "size": 1}},
        {"step": {"id": "s"}},
        {"step": RECORD["step"] | {"force": True}},
        {"outcomes": [["r", "perhaps", "why"]]},
        {"outcomes": [["r"]]},
    ],
)
def test_stored_record_with_an_invalid_field_is_refused(change):
    assert decode_record(json.dumps(RECORD)).state is ChangeState.WATCHING
    with pytest.raises(StoreError, match="journal: expected the record of an instance"):
        decode_record(json.dumps(RECORD | change))


@pytest.mark.parametrize("text", ["", "[]", "{}", '{"state": "settled"}'])
def test_stored_text_that_is_no_record_is_refused(text):
    with pytest.raises(StoreError, match="journal: expected the record of an instance"):
        decode_record(text)


def test_second_agent_can_not_open_the_state(store):
    with pytest.raises(StoreError, match="another agent runs here"):
        Store(store.folder)


@pytest.mark.parametrize("database_text", ["not a database at all" * 100, None])
def test_invalid_state_is_refused_with_its_path(tmp_path, database_text):
    Store(tmp_path).close()
    for journal_file in tmp_path.glob("agent.db-*"):
        journal_file.unlink()
    if database_text is not None:
        (tmp_path / "agent.db").write_text(database_text)
    else:
        with sqlite3.connect(tmp_path / "agent.db") as database:
            database.execute("UPDATE facts SET value = '99' WHERE name = 'format'")
        database.close()
    with pytest.raises(StoreError, match=r"agent.db|format 1, got 99"):
        Store(tmp_path)


def test_generation_is_staged_activated_and_read(store):
    one, two = generation(1), generation(2, {"oakbridge.toml": "b"})
    store.generations.stage("a", one, FILES)
    store.generations.activate("a", one)
    assert (store.generations.current_number("a"), store.generations.read_files("a", one)) == (
        1,
        FILES,
    )
    assert (store.generations.current_link("a") / "servers.toml").read_text() == "é\n"
    store.generations.stage("a", two, {"oakbridge.toml": "b"})
    assert store.generations.current_number("a") == 1
    store.generations.activate("a", two)
    store.generations.discard("a", two)  # not deleted, as it is current
    store.generations.discard("a", one)
    assert store.generations.current_number("a") == 2
    assert not store.generations.generation_folder("a", one).exists()
    with pytest.raises(StoreError, match="expected a staged generation"):
        store.generations.activate("a", one)
    store.generations.activate("a", Generation())
    assert store.generations.current_number("a") == 0


@pytest.mark.parametrize(
    ("files", "message"),
    [
        ({}, "expected 1 to 64"),
        ({"../x": "1"}, "letters, digits"),
        ({"a/b": "1"}, "letters, digits"),
        ({".hidden": "1"}, "letters, digits"),
        ({"a": "x" * 40_000_000}, "at most"),
        ({f"f{i}": "" for i in range(65)}, "expected 1 to 64"),
    ],
)
def test_invalid_files_are_refused(store, files, message):
    with pytest.raises(StoreError, match=message):
        store.generations.stage("a", generation(1, files), files)
    assert not store.generations.generation_folder("a", generation(1)).exists()


def test_files_of_another_digest_are_refused(store):
    with pytest.raises(StoreError, match="not those of the digest"):
        store.generations.stage("a", Generation(1, "0" * 64), FILES)


@pytest.mark.parametrize("name", ["", "..", "a/b", "x" * 101, ".a", "a b"])
def test_instance_name_that_is_no_safe_path_is_refused(store, name):
    with pytest.raises(StoreError):
        store.generations.current_link(name)


def test_old_generations_are_deleted_unless_they_are_referred_to(store):
    for number in range(1, 20):
        store.generations.stage("a", generation(number), FILES)
    store.generations.activate("a", generation(2))
    store.generations.prune("a", InstanceRecord(current=generation(2), previous=generation(1)))
    remaining = sorted(
        int(path.name[4:]) for path in store.generations.current_link("a").parent.glob("gen-*")
    )
    assert remaining == [1, 2, *range(20 - RETAINED_GENERATIONS, 20)]


# ---- an agent that is killed at each write


DRIVER = """
    import json, os, signal, sys
    from pathlib import Path
    from oakbridge.agent import generations
    from oakbridge.agent.executor import ActionExecutor
    from oakbridge.agent.journal import AgentJournal
    from oakbridge.agent.records import Generation, Step
    from oakbridge.agent.state_machine import InstanceStateMachine
    from oakbridge.agent.store import Store

    folder, kill_at, scenario = Path(sys.argv[1]), int(sys.argv[2]), sys.argv[3]
    count = 0  # moments before and after each operation on the disk

    def counted(name, operation):
        def call(*arguments, **keywords):
            global count
            for moment in ("before", "after"):
                count += 1
                if count == kill_at:
                    print(json.dumps([name, moment]), flush=True)
                    os.kill(os.getpid(), signal.SIGKILL)
                if moment == "before":
                    result = operation(*arguments, **keywords)
            return result
        return call

    if kill_at:  # all operations by which the store changes the disk
        AgentJournal._write = counted("journal", AgentJournal._write)
        generations.os.fsync = counted("fsync", os.fsync)
        generations.os.rename = counted("rename", os.rename)
        generations.os.symlink = counted("symlink", os.symlink)
        generations.shutil.rmtree = counted("rmtree", generations.shutil.rmtree)

    store = Store(folder)
    spec, record = store.journal.load_instances()["a"]
    machine = InstanceStateMachine(record)
    now_us, started = 0, []
    def check(generation):
        staged = store.generations.generation_folder("a", generation) / "oakbridge.toml"
        return "bad" if "bad" in staged.read_text() else ""
    executor = ActionExecutor(
        store, "a", machine,
        check_staged=check,
        run_generation=lambda generation: started.append(generation.number),
        set_timer=lambda at_us: None,
    )
    executor.execute(now_us, machine.recover(now_us))
    text = {"applied": "new", "invalid": "bad", "crashes": "new"}[scenario]
    files = {"oakbridge.toml": text}
    target = Generation(2, generations.digest_of(files))
    if machine.outcome("s") is None:
        executor.begin_step(now_us, Step("s", 2, target, 1, 10), files, lambda: "")
    if machine.state.value == "watching":
        if scenario == "crashes":
            executor.execute(now_us, machine.on_failed("exit 1"))
        else:
            machine.on_ready(now_us)
            executor.execute(100, machine.on_timer(100))
    print(json.dumps({"count": count, "started": started[-1] if started else None}), flush=True)
    store.close()
"""


def run_driver(folder: Path, kill_at: int, scenario: str) -> tuple[int, str]:
    done = subprocess.run(
        [sys.executable, "-c", textwrap.dedent(DRIVER), str(folder), str(kill_at), scenario],
        env=os.environ | {"PYTHONPATH": str(ROOT)}, capture_output=True, text=True, timeout=TIMEOUT_S,
    )  # fmt: skip
    assert done.stderr == ""
    return done.returncode, done.stdout


def create_state(folder: Path) -> None:
    store = Store(folder)
    files = {"oakbridge.toml": "old"}
    store.journal.save_instance("a", SPEC, InstanceRecord(current=generation(1, files)))
    store.generations.stage("a", generation(1, files), files)
    store.generations.activate("a", generation(1, files))
    store.close()


@pytest.mark.parametrize(
    ("scenario", "text"), [("applied", "new"), ("invalid", "old"), ("crashes", "old")]
)
def test_step_has_the_same_outcome_if_the_agent_is_killed_at_any_write(tmp_path, scenario, text):
    """The agent is killed before and after each operation on the disk in turn, and restarted."""
    verdicts = {"applied": {"took it"}, "invalid": {"did not"}, "crashes": {"undone"}}
    kill_at, kills = 1, []
    while True:
        folder = tmp_path / str(kill_at)
        create_state(folder)
        code, out = run_driver(folder, kill_at, scenario)
        if code == 0:
            break
        assert code == -signal.SIGKILL
        kills.append(tuple(json.loads(out.splitlines()[0])))
        store = Store(folder)  # the link always points at a complete generation
        number = store.generations.current_number("a")
        record = store.journal.load_instances()["a"][1]
        assert store.generations.read_files("a", Generation(number)) == {
            "oakbridge.toml": "old" if number == 1 else "new"
        }
        store.close()
        if scenario == "invalid":
            assert number == 1
        # A step that was killed while it was staged is rejected; others have their usual outcome.
        code, _ = run_driver(folder, 0, scenario)
        assert code == 0
        store = Store(folder)
        record = store.journal.load_instances()["a"][1]
        [outcome] = record.outcomes
        was_killed_in_staging = outcome.reason == "the agent ended while it was staged"
        assert outcome.verdict.value in (
            verdicts[scenario] | ({"did not"} if was_killed_in_staging else set())
        )
        expected = "old" if was_killed_in_staging else text
        assert store.generations.read_files("a", record.current) == {"oakbridge.toml": expected}
        assert store.generations.current_number("a") == record.current.number
        assert record.state is ChangeState.SETTLED
        store.close()
        kill_at += 1
    assert len(kills) >= 15
    assert len({name for name, _ in kills}) >= 3
    assert InstanceStateMachine(record).state is ChangeState.SETTLED
