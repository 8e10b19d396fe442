"""The agent's disk: complete or not at all, one agent, and a SIGKILL around every write."""

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


def test_records_and_promises_come_back(tmp_path):
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
    first = Store(tmp_path)
    first.journal.save_instance("a", SPEC, InstanceRecord())
    first.journal.save_record("a", record)
    first.journal.save_token_record(FencingTokenRecord(9, "kari", 5.0, False))
    first.close()
    again = Store(tmp_path)
    assert again.journal.load_instances() == {"a": (SPEC, record)}
    assert again.journal.load_token_record() == FencingTokenRecord(9, "kari", 5.0, False)
    again.delete_instance("a")
    assert again.journal.load_instances() == {}
    again.close()


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
def test_a_stored_record_of_another_form_is_refused(change):
    assert decode_record(json.dumps(RECORD)).state is ChangeState.WATCHING
    with pytest.raises(StoreError, match="journal: expected the record of an instance"):
        decode_record(json.dumps(RECORD | change))


@pytest.mark.parametrize("text", ["", "[]", "{}", '{"state": "settled"}'])
def test_a_text_that_is_no_record_is_refused(text):
    with pytest.raises(StoreError, match="journal: expected the record of an instance"):
        decode_record(text)


def test_a_second_agent_is_told_that_there_is_one(store):
    with pytest.raises(StoreError, match="another agent runs here"):
        Store(store.folder)


@pytest.mark.parametrize("spoil", ["not a database at all" * 100, None])
def test_a_state_that_can_not_be_used_is_named(tmp_path, spoil):
    Store(tmp_path).close()
    for extra in tmp_path.glob("agent.db-*"):
        extra.unlink()
    if spoil is not None:
        (tmp_path / "agent.db").write_text(spoil)
    else:
        with sqlite3.connect(tmp_path / "agent.db") as db:
            db.execute("UPDATE facts SET value = '99' WHERE name = 'format'")
        db.close()
    with pytest.raises(StoreError, match=r"agent.db|format 1, got 99"):
        Store(tmp_path)


def test_a_generation_is_staged_shown_and_read(store):
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
    store.generations.discard("a", two)  # it is shown: it stays
    store.generations.discard("a", one)
    assert store.generations.current_number("a") == 2
    assert not store.generations.generation_folder("a", one).exists()
    with pytest.raises(StoreError, match="expected a staged generation"):
        store.generations.activate("a", one)
    store.generations.activate("a", Generation())
    assert store.generations.current_number("a") == 0


@pytest.mark.parametrize(
    ("files", "says"),
    [
        ({}, "expected 1 to 64"),
        ({"../x": "1"}, "letters, digits"),
        ({"a/b": "1"}, "letters, digits"),
        ({".hidden": "1"}, "letters, digits"),
        ({"a": "x" * 40_000_000}, "at most"),
        ({f"f{i}": "" for i in range(65)}, "expected 1 to 64"),
    ],
)
def test_files_that_may_not_be_written_are_refused(store, files, says):
    with pytest.raises(StoreError, match=says):
        store.generations.stage("a", generation(1, files), files)
    assert not store.generations.generation_folder("a", generation(1)).exists()


def test_files_of_another_digest_are_refused(store):
    with pytest.raises(StoreError, match="not those of the digest"):
        store.generations.stage("a", Generation(1, "0" * 64), FILES)


@pytest.mark.parametrize("name", ["", "..", "a/b", "x" * 101, ".a", "a b"])
def test_names_stay_inside_the_state(store, name):
    with pytest.raises(StoreError):
        store.generations.current_link(name)


def test_old_generations_go_but_for_those_that_are_needed(store):
    for n in range(1, 20):
        store.generations.stage("a", generation(n), FILES)
    store.generations.activate("a", generation(2))
    store.generations.prune("a", InstanceRecord(current=generation(2), previous=generation(1)))
    left = sorted(int(p.name[4:]) for p in store.generations.current_link("a").parent.glob("gen-*"))
    assert left == [1, 2, *range(20 - RETAINED_GENERATIONS, 20)]


# ---- killed at every step


DRIVER = """
    import json, os, signal, sys
    from pathlib import Path
    from oakbridge.agent import generations as s
    from oakbridge.agent.executor import ActionExecutor
    from oakbridge.agent.journal import AgentJournal
    from oakbridge.agent.records import Generation, Step
    from oakbridge.agent.state_machine import InstanceStateMachine
    from oakbridge.agent.store import Store

    folder, kill_at, fate = Path(sys.argv[1]), int(sys.argv[2]), sys.argv[3]
    count = 0

    def counted(name, what):
        def call(*args, **named):
            global count
            for moment in ("before", "after"):
                count += 1
                if count == kill_at:
                    print(json.dumps([name, moment]), flush=True)
                    os.kill(os.getpid(), signal.SIGKILL)
                if moment == "before":
                    result = what(*args, **named)
            return result
        return call

    if kill_at:  # every way in which the store touches the disk
        AgentJournal._write = counted("journal", AgentJournal._write)
        s.os.fsync = counted("fsync", os.fsync)
        s.os.rename = counted("rename", os.rename)
        s.os.symlink = counted("symlink", os.symlink)
        s.shutil.rmtree = counted("rmtree", s.shutil.rmtree)

    store = Store(folder)
    spec, record = store.journal.load_instances()["a"]
    machine = InstanceStateMachine(record)
    now, ran = 0, []
    def check(generation):
        staged = store.generations.generation_folder("a", generation) / "oakbridge.toml"
        return "bad" if "bad" in staged.read_text() else ""
    executor = ActionExecutor(
        store, "a", machine,
        check_staged=check,
        run_generation=lambda g: ran.append(g.number),
        set_timer=lambda at: None,
    )
    executor.execute(now, machine.recover(now))
    text = {"took": "new", "bad": "bad", "dies": "new"}[fate]
    files = {"oakbridge.toml": text}
    target = Generation(2, s.digest_of(files))
    if machine.outcome("s") is None:
        executor.begin_step(now, Step("s", 2, target, 1, 10), files, lambda: "")
    if machine.state.value == "watching":
        if fate == "dies":
            executor.execute(now, machine.on_failed("exit 1"))
        else:
            machine.on_ready(now)
            executor.execute(100, machine.on_timer(100))
    print(json.dumps({"count": count, "ran": ran[-1] if ran else None}), flush=True)
    store.close()
"""


def drive(folder: Path, kill_at: int, fate: str) -> tuple[int, str]:
    done = subprocess.run(
        [sys.executable, "-c", textwrap.dedent(DRIVER), str(folder), str(kill_at), fate],
        env=os.environ | {"PYTHONPATH": str(ROOT)}, capture_output=True, text=True, timeout=TIMEOUT_S,
    )  # fmt: skip
    assert done.stderr == ""
    return done.returncode, done.stdout


def fresh(folder: Path) -> None:
    store = Store(folder)
    one = {"oakbridge.toml": "old"}
    store.journal.save_instance("a", SPEC, InstanceRecord(current=generation(1, one)))
    store.generations.stage("a", generation(1, one), one)
    store.generations.activate("a", generation(1, one))
    store.close()


@pytest.mark.parametrize(("fate", "text"), [("took", "new"), ("bad", "old"), ("dies", "old")])
def test_killed_before_and_after_every_write_it_comes_to_the_same_end(tmp_path, fate, text):
    """The list of kills is every touch of the disk in turn; then the agent starts again."""
    verdicts = {"took": {"took it"}, "bad": {"did not"}, "dies": {"undone"}}
    kill_at, seen = 1, []
    while True:
        folder = tmp_path / str(kill_at)
        fresh(folder)
        code, out = drive(folder, kill_at, fate)
        if code == 0:
            break
        assert code == -signal.SIGKILL
        seen.append(tuple(json.loads(out.splitlines()[0])))
        store = Store(folder)  # between two generations at no moment
        number = store.generations.current_number("a")
        record = store.journal.load_instances()["a"][1]
        assert store.generations.read_files("a", Generation(number)) == {
            "oakbridge.toml": "old" if number == 1 else "new"
        }
        store.close()
        if fate == "bad":
            assert number == 1
        # Killed while it was staged: the step is rejected; else it has the end it would have had.
        code, _ = drive(folder, 0, fate)
        assert code == 0
        store = Store(folder)
        record = store.journal.load_instances()["a"][1]
        [outcome] = record.outcomes
        ended_by_the_kill = outcome.reason == "the agent ended while it was staged"
        assert outcome.verdict.value in (
            verdicts[fate] | ({"did not"} if ended_by_the_kill else set())
        )
        wanted = "old" if ended_by_the_kill else text
        assert store.generations.read_files("a", record.current) == {"oakbridge.toml": wanted}
        assert store.generations.current_number("a") == record.current.number
        assert record.state is ChangeState.SETTLED
        store.close()
        kill_at += 1
    assert len(seen) >= 15
    assert len({name for name, _ in seen}) >= 3
    assert InstanceStateMachine(record).state is ChangeState.SETTLED
