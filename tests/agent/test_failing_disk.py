"""A disk that fails at any operation: steps finish, and only durable records are reported."""

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
US_PER_S = 1_000_000
RETRY_DELAY_US = US_PER_S // 5


class FailingDisk:
    """Counts journal writes, fsyncs and renames; those whose number ``fails`` accepts fail."""

    def __init__(self, monkeypatch, fails) -> None:
        self.operation_count = 0
        self._fails = fails
        self._write = AgentJournal._write
        monkeypatch.setattr(
            AgentJournal, "_write", lambda *arguments: self._journal_write(*arguments)
        )
        for module, name in ((generations.os, "fsync"), (generations.os, "rename")):
            monkeypatch.setattr(module, name, self._failing(getattr(module, name)))

    def _next_fails(self) -> bool:
        self.operation_count += 1
        return self._fails(self.operation_count)

    def _journal_write(self, journal, statement, values) -> None:
        if self._next_fails():
            raise StoreUnavailableError("agent.db", "database or disk is full")
        self._write(journal, statement, values)

    def _failing(self, call):
        def operation(*arguments, **keywords):
            if self._next_fails():
                raise OSError(28, "No space left on device")
            return call(*arguments, **keywords)

        return operation


class Instance:
    """One instance, whose executor is retried after each failure."""

    def __init__(self, folder) -> None:
        self.store = Store(folder)
        self.now_us, self.started_generations, self.is_retry_due = 0, [], False
        _, record = self.store.journal.load_instances()["a"]
        self.machine = InstanceStateMachine(record)
        self.executor = ActionExecutor(
            self.store,
            "a",
            self.machine,
            check_staged=lambda _: "",
            run_generation=lambda generation: self.started_generations.append(generation.number),
            set_timer=lambda at_us: None,
            set_retry_timer=self._set_retry_timer,
        )

    def _set_retry_timer(self) -> None:
        self.is_retry_due = True

    def record_on_disk(self) -> InstanceRecord:
        return self.store.journal.load_instances()["a"][1]

    def retry_until_unblocked(self) -> None:
        """Retry until no action waits for the disk; the durable record is always on disk."""
        for _ in range(1000):
            assert self.executor.durable_record == self.record_on_disk()
            if not self.executor.is_blocked:
                return
            assert self.is_retry_due
            self.is_retry_due = False
            self.now_us += RETRY_DELAY_US
            self.executor.retry(self.now_us)
        raise AssertionError("actions still wait for the disk")

    def apply_step(self) -> None:
        """Begin a step, report its node ready, and let its watch pass."""
        target = Generation(2, digest_of(FILES))
        self.executor.begin_step(self.now_us, Step("s", 2, target, 0, US_PER_S), FILES, lambda: "")
        self.retry_until_unblocked()
        self.machine.on_ready(self.now_us)
        self.now_us += 2 * US_PER_S
        self.executor.execute(self.now_us, self.machine.on_timer(self.now_us))
        self.retry_until_unblocked()


@pytest.fixture
def instance(tmp_path):
    store = Store(tmp_path)
    store.journal.save_instance("a", SPEC, InstanceRecord())
    store.close()
    instance = Instance(tmp_path)
    yield instance
    instance.store.close()


def verdict(instance: Instance) -> str:
    [outcome] = instance.record_on_disk().outcomes
    assert instance.record_on_disk().state is ChangeState.SETTLED
    return outcome.verdict.value


def failing_operations():
    """Each operation in turn, once and three times in a row, and random ones by seed."""
    for number, count in itertools.product(range(1, 9), (1, 3)):
        yield pytest.param(range(number, number + count), id=f"{count} from {number}")
    for seed in range(8):
        numbers = {
            operation
            for operation in range(1, 200)
            if random.Random(1000 * seed + operation).random() < 0.35
        }
        yield pytest.param(numbers, id=f"seed {seed}")


@pytest.mark.parametrize("numbers", list(failing_operations()))
def test_step_is_applied_whichever_disk_operations_fail(instance, monkeypatch, numbers):
    disk = FailingDisk(monkeypatch, lambda number: number in numbers)
    instance.apply_step()
    assert verdict(instance) == "took it"
    assert instance.started_generations[-1] == 2
    assert disk.operation_count >= min(numbers)


def test_step_is_rejected_if_its_files_can_not_be_written_until_the_timeout(instance, monkeypatch):
    """The outcome has the reason, and is written once the journal can be written again."""
    FailingDisk(monkeypatch, lambda number: 1 < number < 80)
    instance.apply_step()
    assert instance.now_us > executor_module.RETRY_TIMEOUT_US
    assert verdict(instance) == "did not"
    assert "No space left" in instance.record_on_disk().outcomes[0].reason


def test_journal_reports_a_failing_disk_as_transient(tmp_path):
    """A full or failing disk is not reported like a file that is no database."""
    journal = AgentJournal(tmp_path / "agent.db")
    journal.close()

    class FailingDatabase:
        def execute(self, *_):
            raise sqlite3.OperationalError("disk I/O error")

    journal._database = FailingDatabase()
    for call in (lambda: journal.load_token_record(), lambda: journal.delete_instance("a")):
        with pytest.raises(StoreUnavailableError, match="I/O"):
            call()
