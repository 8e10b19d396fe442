"""An agent whose disk fails at any touch: the step comes to its end, and only what is on disk is told."""

import itertools
import random
import sqlite3
from pathlib import Path

import pytest

from oakbridge.agent import executor as executor_module
from oakbridge.agent import generations
from oakbridge.agent.errors import StoreUnavailableError
from oakbridge.agent.executor import ActionExecutor
from oakbridge.agent.generations import digest_of
from oakbridge.agent.journal import AgentJournal
from oakbridge.agent.records import ChangeState, Generation, InstanceRecord, InstanceSpec, Step
from oakbridge.agent.state_machine import InstanceStateMachine
from oakbridge.agent.store import Store

FILES = {"oakbridge.toml": "new"}
SPEC = InstanceSpec(("127.0.0.1:80",), Path("c"))
SECOND = 1_000_000
RETRY_US = SECOND // 5


class FailingDisk:
    """Makes the touches of the disk fail that ``fails`` names by their number."""

    def __init__(self, monkeypatch, fails) -> None:
        self.touches = 0
        self._fails = fails
        self._write = AgentJournal._write
        monkeypatch.setattr(AgentJournal, "_write", lambda *given: self._journal_write(*given))
        for module, name in ((generations.os, "fsync"), (generations.os, "rename")):
            monkeypatch.setattr(module, name, self._failing(getattr(module, name)))

    def _touch(self) -> bool:
        self.touches += 1
        return self._fails(self.touches)

    def _journal_write(self, journal, statement, values) -> None:
        if self._touch():
            raise StoreUnavailableError("agent.db", "database or disk is full")
        self._write(journal, statement, values)

    def _failing(self, call):
        def touch(*arguments, **named):
            if self._touch():
                raise OSError(28, "No space left on device")
            return call(*arguments, **named)

        return touch


class Instance:
    """One instance whose executor is retried as time goes on."""

    def __init__(self, folder) -> None:
        self.store = Store(folder)
        self.now, self.runs, self.is_retry_due = 0, [], False
        _, record = self.store.journal.load_instances()["a"]
        self.machine = InstanceStateMachine(record)
        self.executor = ActionExecutor(
            self.store,
            "a",
            self.machine,
            check_staged=lambda _: "",
            run_generation=lambda generation: self.runs.append(generation.number),
            set_timer=lambda at: None,
            set_retry_timer=self._set_retry_timer,
        )

    def _set_retry_timer(self) -> None:
        self.is_retry_due = True

    def record_on_disk(self) -> InstanceRecord:
        return self.store.journal.load_instances()["a"][1]

    def settle(self) -> None:
        """Go on until nothing waits for the disk; what may be told is on disk at every moment."""
        for _ in range(1000):
            assert self.executor.durable_record == self.record_on_disk()
            if not self.executor.is_blocked:
                return
            assert self.is_retry_due
            self.is_retry_due = False
            self.now += RETRY_US
            self.executor.retry(self.now)
        raise AssertionError("it never settles")

    def change(self) -> None:
        """Carry one step through: begin it, and have its node ready and watched."""
        target = Generation(2, digest_of(FILES))
        self.executor.begin_step(self.now, Step("s", 2, target, 0, SECOND), FILES, lambda: "")
        self.settle()
        self.machine.on_ready(self.now)
        self.now += 2 * SECOND
        self.executor.execute(self.now, self.machine.on_timer(self.now))
        self.settle()


@pytest.fixture
def instance(tmp_path):
    store = Store(tmp_path)
    store.journal.save_instance("a", SPEC, InstanceRecord())
    store.close()
    found = Instance(tmp_path)
    yield found
    found.store.close()


def verdict(instance: Instance) -> str:
    [outcome] = instance.record_on_disk().outcomes
    assert instance.record_on_disk().state is ChangeState.SETTLED
    return outcome.verdict.value


def failing_touches():
    """Each touch in turn, once and three times in a row, and random ones by seeds."""
    for number, count in itertools.product(range(1, 9), (1, 3)):
        yield pytest.param(range(number, number + count), id=f"{count} from {number}")
    for seed in range(8):
        found = {n for n in range(1, 200) if random.Random(1000 * seed + n).random() < 0.35}
        yield pytest.param(found, id=f"seed {seed}")


@pytest.mark.parametrize("numbers", list(failing_touches()))
def test_step_is_applied_whichever_touches_of_the_disk_fail(instance, monkeypatch, numbers):
    disk = FailingDisk(monkeypatch, lambda touch: touch in numbers)
    instance.change()
    assert verdict(instance) == "took it"
    assert instance.runs[-1] == 2
    assert disk.touches >= min(numbers)


def test_files_that_can_not_be_written_for_long_reject_the_step(instance, monkeypatch):
    """What is given up is told with its reason, once the record can be written."""
    FailingDisk(monkeypatch, lambda touch: 1 < touch < 80)
    instance.change()
    assert instance.now > executor_module.RETRY_TIMEOUT_US
    assert verdict(instance) == "did not"
    assert "No space left" in instance.record_on_disk().outcomes[0].reason


def test_journal_that_fails_says_that_it_may_pass(tmp_path):
    """What SQLite says of a full or broken disk is told apart from a file that is no database."""
    journal = AgentJournal(tmp_path / "agent.db")
    journal.close()

    class Failing:
        def execute(self, *_):
            raise sqlite3.OperationalError("disk I/O error")

    journal._database = Failing()
    for call in (lambda: journal.load_token_record(), lambda: journal.delete_instance("a")):
        with pytest.raises(StoreUnavailableError, match="I/O"):
            call()
