"""The machine that decides which version of a server file is used: its rules, and a state machine against them."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from oakbridge.node.endpoint_list import ListedEndpoint
from oakbridge.policy.events import Endpoint, EndpointState
from oakbridge.sources.errors import NotAcceptedError
from oakbridge.sources.list_version import ListChange, ListVersion, compare
from oakbridge.sources.problem import Problem
from oakbridge.sources.server_row import ParsedServers
from oakbridge.sources.tracker_messages import (
    ApplyVersion,
    FilesMissing,
    FilesRead,
    PollAfter,
    RetrySaveAfter,
    SaveVersion,
    ValidateFiles,
    WriteLog,
)
from oakbridge.sources.version_tracker import VersionTracker

MS = 1000
SETTLE = 40 * MS


def entry(name: str, port: int = 1, state: str = EndpointState.UP, started: int = 0) -> ListedEndpoint:
    place = f"127.0.0.1:{port}"
    return ListedEndpoint(Endpoint(name, state, started_at=started, address=place), ("127.0.0.1", port))


def parsed(*entries: ListedEndpoint) -> ParsedServers:
    return ParsedServers({e.server.id: e for e in entries})


def version(number: int, digest: str, *entries: ListedEndpoint) -> ListVersion:
    return ListVersion(number, digest, {e.server.id: e for e in entries})


def change(base: ListVersion | None, digest: str, *entries: ListedEndpoint, now: int = 5) -> ListChange:
    return compare(base, digest, parsed(*entries), now)


def kinds(actions) -> list[type]:
    return [type(a) for a in actions if not isinstance(a, WriteLog)]


def in_use(machine: VersionTracker, digest: str, *entries: ListedEndpoint, now: int = 0) -> None:
    """Bring a list through to use."""
    machine.on_polled(now, FilesRead(digest, True))
    [apply] = [
        a
        for a in machine.on_validated(now, digest, change(machine.current, digest, *entries))
        if isinstance(a, ApplyVersion)
    ]
    machine.on_applied(now, apply.version.number)


def test_a_reading_is_checked_once_it_has_stood_still():
    machine = VersionTracker(SETTLE)
    assert kinds(machine.on_polled(0, FilesRead("a"))) == [PollAfter]
    assert machine.on_polled(10 * MS, FilesRead("b")) == [
        PollAfter(SETTLE)
    ]  # it changed: the wait begins anew
    assert machine.on_polled(30 * MS, FilesRead("b")) == [PollAfter(20 * MS)]
    assert machine.on_polled(50 * MS, FilesRead("b")) == [ValidateFiles("b", None)]


def test_a_checksum_that_fits_needs_no_wait_and_one_that_does_not_is_awaited_then_refused():
    assert VersionTracker(SETTLE).on_polled(0, FilesRead("a", True)) == [ValidateFiles("a", None)]
    machine = VersionTracker(SETTLE)
    now = 0
    while kinds(actions := machine.on_polled(now, FilesRead("cut", False))) == [PollAfter]:
        assert 0 < actions[0].delay_us <= SETTLE
        now += actions[0].delay_us
    assert actions == [ValidateFiles("cut", None)]
    assert 1_900 * MS < now < 2_100 * MS


def test_a_file_that_never_stands_still_is_used_all_the_same():
    """Guards against a hundred rewrites a second that would keep every new version out for good."""
    machine, now, checked = VersionTracker(SETTLE), 0, 0
    for n in range(200):  # one content every 10 ms, looked at twice
        for _ in range(2):
            if any(isinstance(a, ValidateFiles) for a in machine.on_polled(now, FilesRead(f"v{n}"))):
                checked += 1
                machine.on_validated(now, f"v{n}", change(machine.current, f"v{n}", entry("a")))
                machine.on_applied(now, machine.applying.number)
            now += 5 * MS
    assert checked >= 2


def test_a_list_that_takes_too_many_away_is_held_until_somebody_says_so():
    machine = VersionTracker(SETTLE, max_lost_share=0.5)
    in_use(machine, "four", *(entry(n) for n in "abcd"))
    machine.on_polled(0, FilesRead("one", True))
    said = machine.on_validated(1, "one", change(machine.current, "one", entry("a")))
    assert kinds(said) == [PollAfter] and "3 of 4" in said[0].text
    assert machine.current.digest == "four" and machine.on_polled(2, FilesRead("one", True)) == []
    with pytest.raises(NotAcceptedError, match="not other"):
        machine.accept("other")
    assert kinds(machine.accept("on")) == [ApplyVersion]
    machine.on_applied(4, 2)
    assert machine.current.digest == "one" and machine.pending_approval is None
    with pytest.raises(NotAcceptedError, match="no version is held"):
        machine.accept()


def test_a_held_list_is_forgotten_when_the_file_is_as_it_was():
    machine = VersionTracker(SETTLE)
    in_use(machine, "four", *(entry(n) for n in "abcd"))
    machine.on_polled(0, FilesRead("one", True))
    machine.on_validated(1, "one", change(machine.current, "one", entry("a")))
    machine.on_polled(2, FilesRead("four", True))
    assert machine.pending_approval is None


def test_drains_and_moves_count_as_taken_away():
    base = version(1, "x", entry("a", 1), entry("b", 2), entry("c", 3), entry("d", 4))
    new = change(
        base, "y", entry("a", 1), entry("b", 9), entry("c", 3, EndpointState.DRAINING), entry("e", 5)
    )
    assert (new.added, new.updated, new.moved, new.removed) == (("e",), ("c",), ("b",), ("d",))
    assert (new.lost_ready, new.base_ready, new.lost_share) == (3, 4, 0.75)


def test_what_stays_equal_is_the_same_object_and_no_part_of_the_delta():
    base = version(1, "x", entry("a", 1), entry("b", 2))
    new = change(base, "y", entry("a", 1), entry("b", 2), entry("c", 3))
    assert new.servers["a"] is base.servers["a"]
    assert [e.server.id for e in new.delta_entries()] == ["c"]


def test_a_newcomer_without_a_start_counts_as_started_now_but_not_in_the_first_list():
    """Guards cold servers: one that joins by file is not pushed over."""
    first = change(None, "x", entry("a"), now=7)
    assert first.servers["a"].server.started_at == 0
    base = ListVersion(1, "x", first.servers)
    second = change(base, "y", entry("a"), entry("b", 2), now=9)
    assert (second.servers["a"].server.started_at, second.servers["b"].server.started_at) == (0, 9)
    third = change(ListVersion(2, "y", second.servers), "z", entry("a"), entry("b", 2), now=11)
    assert third.servers["b"] is second.servers["b"]  # its start stays what it was
    told = ParsedServers({"c": entry("c", 3, started=4)}, with_start_time={"c"})
    assert compare(base, "q", told, 13).servers["c"].server.started_at == 4
    moved = change(base, "r", entry("a", 8), now=15)
    assert moved.servers["a"].server.started_at == 15


def test_a_change_against_a_list_that_is_no_longer_in_use_is_not_applied():
    machine = VersionTracker(SETTLE)
    in_use(machine, "one", entry("a"), entry("b"))
    old = machine.current
    in_use(machine, "two", entry("a"), entry("b"), entry("c"))
    machine.on_polled(0, FilesRead("three", True))
    assert kinds(machine.on_validated(1, "three", change(old, "three", entry("a")))) == [PollAfter]
    assert machine.current.digest == "two" and machine.applying is None


def test_a_check_that_was_not_asked_for_or_not_made_changes_nothing():
    machine = VersionTracker(SETTLE)
    assert machine.on_validated(0, "x", change(None, "x", entry("a"))) == []
    machine.on_polled(0, FilesRead("a", True))
    assert machine.on_validated(1, "a", None) == [PollAfter(0)]
    assert machine.on_applied(2, 1) == [] and machine.current is None


def test_missing_is_said_once_and_the_list_stays():
    machine = VersionTracker(SETTLE)
    in_use(machine, "one", entry("a"))
    [said] = machine.on_polled(5, FilesMissing("no such file"))
    assert "version 1 stays" in said.text
    assert machine.on_polled(6, FilesMissing("no such file")) == []
    assert machine.current.digest == "one"
    machine.on_polled(7, FilesRead("one"))
    assert machine.missing_reason == ""


def test_one_copy_is_written_at_a_time_and_a_failed_one_again_later():
    machine = VersionTracker(SETTLE)
    machine.on_polled(0, FilesRead("one", True))
    machine.on_validated(0, "one", change(None, "one", entry("a")))
    assert kinds(machine.on_applied(0, 1)) == [SaveVersion, PollAfter]
    machine.on_polled(0, FilesRead("two", True))
    machine.on_validated(0, "two", change(machine.current, "two", entry("a"), entry("b")))
    assert kinds(machine.on_applied(0, 2)) == [PollAfter]  # the first copy is still being written
    assert [a.version.number for a in machine.on_saved(1)] == [2]
    [said, retry] = machine.on_save_failed(2, "no space left on device")
    assert isinstance(said, WriteLog) and retry == RetrySaveAfter(1_000 * MS)
    assert machine.saved_number == 1 and "no space" in machine.save_error
    assert [a.version.number for a in machine.on_save_retry()] == [2]
    # Logged once, tried ever more seldom.
    assert machine.on_save_failed(2, "no space left on device") == [RetrySaveAfter(2_000 * MS)]
    machine.on_save_retry()
    assert machine.on_saved(2) == []
    assert machine.saved_number == 2 and machine.save_error == ""


def test_a_saved_list_is_in_use_until_the_file_has_a_newer_one():
    machine = VersionTracker(SETTLE, saved=version(7, "old", entry("a"), entry("b")))
    assert machine.saved_number == 7
    in_use(machine, "new", entry("a"), entry("b"), entry("c"))
    assert machine.current.number == 8


# ---- against a model of the disk


LISTS = st.frozensets(st.sampled_from("abcdefgh"), max_size=8)
CHECKSUM = st.sampled_from([None, True])


class Disk(RuleBasedStateMachine):
    """Plays the shell, the disk and its writers in any order; holds the machine against what it promises."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.machine = VersionTracker(SETTLE, max_lost_share=0.5)
        self.contents: dict[str, tuple[str, frozenset[str], bool | None]] = {}  # digest: kind, servers, whole
        self.disk: str | None = None
        self.seen: tuple[str | None, int] = None, 0  # what looks have found, and since which look
        self.due: int | None = 0
        self.checks: list[tuple[ValidateFiles, str]] = []
        self.applies: list[ApplyVersion] = []
        self.saves: list[ListVersion] = []
        self.save_due: int | None = None
        self.used: list[ListVersion] = []
        self.accepted: set[str] = set()

    # ---- the writers

    def put(self, kind: str, servers: frozenset[str] = frozenset(), whole: bool | None = None) -> None:
        digest = f"{kind}{''.join(sorted(servers))}{whole}"
        self.contents[digest] = kind, servers, whole
        self.disk = digest

    @rule(servers=LISTS, whole=CHECKSUM)
    def write(self, servers, whole):
        self.put("list", servers, whole)

    @rule()
    def write_broken(self):
        self.put("broken")

    @rule()
    def write_cut(self):
        self.put("cut", whole=False)

    @rule()
    def remove(self):
        self.disk = None

    # ---- the shell

    @rule(ms=st.integers(1, 300))
    def wait(self, ms):
        until = self.now + ms * MS
        while self.due is not None and self.due <= until:
            self.now = max(self.now, self.due)
            self.look()
        self.now = until
        if self.save_due is not None and self.save_due <= self.now:
            self.save_due = None
            self.do(self.machine.on_save_retry())

    @rule()
    def look(self):
        self.due = None
        if self.seen[0] != self.disk:
            self.seen = self.disk, self.now
        if self.disk is None:
            self.do(self.machine.on_polled(self.now, FilesMissing("gone")))
        else:
            self.do(self.machine.on_polled(self.now, FilesRead(self.disk, self.contents[self.disk][2])))

    @precondition(lambda self: self.checks)
    @rule()
    def end_check(self):
        check, digest = self.checks.pop(0)
        kind, names, _ = self.contents[digest]
        if kind != "list" or not names:
            outcome = [Problem("f", (), "expected something else")]
        else:
            outcome = compare(check.base, digest, parsed(*map(entry, sorted(names))), self.now)
        self.do(self.machine.on_validated(self.now, digest, outcome))

    @precondition(lambda self: self.applies)
    @rule()
    def end_apply(self):
        apply = self.applies.pop(0)
        base = {} if apply.change.base_number == 0 else dict(self.used[-1].servers)
        for gone in apply.change.removed:
            del base[gone]
        base |= {e.server.id: e for e in apply.change.delta_entries()}
        assert base == apply.version.servers  # what a node makes of the delta is the whole new list
        self.used.append(apply.version)
        self.do(self.machine.on_applied(self.now, apply.version.number))

    @precondition(lambda self: self.saves)
    @rule(fails=st.booleans())
    def end_save(self, fails):
        number = self.saves.pop(0).number
        self.do(self.machine.on_save_failed(number, "full") if fails else self.machine.on_saved(number))

    @rule()
    def accept(self):
        held = self.machine.pending_approval
        try:
            actions = self.machine.accept()
        except NotAcceptedError:
            return
        self.accepted.add(held.change.digest)
        self.do(actions)

    def do(self, actions) -> None:
        for action in actions:
            if isinstance(action, PollAfter):
                self.due = min(self.due or self.now + action.delay_us, self.now + action.delay_us)
            elif isinstance(action, ValidateFiles):
                self.check_is_due(action.digest)
                self.checks.append((action, action.digest))
            elif isinstance(action, ApplyVersion):
                self.applies.append(action)
            elif isinstance(action, SaveVersion):
                self.saves.append(action.version)
            elif isinstance(action, RetrySaveAfter):
                self.save_due = self.now + action.delay_us
        assert len(self.checks) + len(self.applies) <= 1 and len(self.saves) <= 1

    def check_is_due(self, digest: str) -> None:
        """A list without a checksum has stood still; how long depends on how restless its file is."""
        whole = self.contents[digest][2]
        assert self.seen[0] == digest
        stood = self.now - self.seen[1]
        if whole is None:
            assert stood >= SETTLE // 8
        elif whole is False:
            assert stood >= 2_000 * MS

    # ---- what must hold

    @invariant()
    def what_is_used_is_one_complete_valid_list(self):
        for used in self.used[-1:]:
            kind, names, _ = self.contents[used.digest]
            assert kind == "list" and names
            assert set(used.servers) == names
            assert used is self.machine.current
        assert [v.number for v in self.used] == list(range(1, len(self.used) + 1))

    @invariant()
    def a_list_that_takes_many_away_is_used_by_word_alone(self):
        for old, new in zip(self.used, self.used[1:], strict=False):
            lost = sum(1 for name in old.servers if name not in new.servers)
            assert lost <= 0.5 * len(old.servers) or new.digest in self.accepted

    def teardown(self):
        """Left alone, the machine comes to rest with what is on the disk, or says why not."""
        for _ in range(12):
            self.wait(500)
            if self.checks:
                self.end_check()
            if self.applies:
                self.end_apply()
            self.look()
        machine = self.machine
        if self.disk is None:
            assert machine.missing_reason
            return
        kind, names, _ = self.contents[self.disk]
        if kind != "list" or not names:
            assert machine.rejected.digest == self.disk
        elif machine.pending_approval is not None:
            assert (
                machine.pending_approval.change.digest == self.disk
                and machine.pending_approval.change.lost_share > 0.5
            )
        else:
            assert machine.current.digest == self.disk


Disk.TestCase.settings = settings(max_examples=150, stateful_step_count=40, deadline=None, derandomize=True)
TestDisk = Disk.TestCase
