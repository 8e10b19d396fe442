"""The machine that decides which version of a server file is used: its rules, and a state machine against them."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from oakbridge.node.endpoint_list import ListedEndpoint
from oakbridge.policy.events import Endpoint, EndpointState
from oakbridge.sources.formats import Parsed, Problem
from oakbridge.sources.versions import (
    Apply,
    Change,
    Check,
    LookAgain,
    Missing,
    Reading,
    Save,
    Say,
    Version,
    Versions,
    compare,
)

MS = 1000
SETTLE = 40 * MS


def entry(name: str, port: int = 1, state: str = EndpointState.UP, started: int = 0) -> ListedEndpoint:
    place = f"127.0.0.1:{port}"
    return ListedEndpoint(Endpoint(name, state, started_at=started, address=place), ("127.0.0.1", port))


def parsed(*entries: ListedEndpoint) -> Parsed:
    return Parsed({e.server.id: e for e in entries})


def version(number: int, digest: str, *entries: ListedEndpoint) -> Version:
    return Version(number, digest, {e.server.id: e for e in entries})


def change(base: Version | None, digest: str, *entries: ListedEndpoint, now: int = 5) -> Change:
    return compare(base, digest, parsed(*entries), now, lambda: None)


def kinds(actions) -> list[type]:
    return [type(a) for a in actions if not isinstance(a, Say)]


def in_use(machine: Versions, digest: str, *entries: ListedEndpoint, now: int = 0) -> None:
    """Bring a list through to use."""
    machine.looked(now, Reading(digest, True))
    [apply] = [
        a
        for a in machine.checked(now, digest, change(machine.used, digest, *entries))
        if isinstance(a, Apply)
    ]
    machine.applied(now, apply.version.number)


def test_a_reading_is_checked_once_it_has_stood_still():
    machine = Versions(SETTLE)
    assert kinds(machine.looked(0, Reading("a"))) == [LookAgain]
    assert machine.looked(10 * MS, Reading("b")) == [LookAgain(SETTLE)]  # it changed: the wait begins anew
    assert machine.looked(30 * MS, Reading("b")) == [LookAgain(20 * MS)]
    assert machine.looked(50 * MS, Reading("b")) == [Check("b", None)]


def test_a_checksum_that_fits_needs_no_wait_and_one_that_does_not_is_awaited_then_refused():
    assert Versions(SETTLE).looked(0, Reading("a", True)) == [Check("a", None)]
    machine = Versions(SETTLE)
    now = 0
    while kinds(actions := machine.looked(now, Reading("cut", False))) == [LookAgain]:
        assert 0 < actions[0].delay <= SETTLE
        now += actions[0].delay
    assert actions == [Check("cut", None)]
    assert 1_900 * MS < now < 2_100 * MS


def test_a_file_that_never_stands_still_is_used_all_the_same():
    """Guards against a hundred rewrites a second that would keep every new version out for good."""
    machine, now, checked = Versions(SETTLE), 0, 0
    for n in range(200):  # one content every 10 ms, looked at twice
        for _ in range(2):
            if any(isinstance(a, Check) for a in machine.looked(now, Reading(f"v{n}"))):
                checked += 1
                machine.checked(now, f"v{n}", change(machine.used, f"v{n}", entry("a")))
                machine.applied(now, machine.applying.number)
            now += 5 * MS
    assert checked >= 2


def test_a_list_that_takes_too_many_away_is_held_until_somebody_says_so():
    machine = Versions(SETTLE, most_lost=0.5)
    in_use(machine, "four", *(entry(n) for n in "abcd"))
    machine.looked(0, Reading("one", True))
    said = machine.checked(1, "one", change(machine.used, "one", entry("a")))
    assert kinds(said) == [LookAgain] and "3 of 4" in said[0].text
    assert machine.used.digest == "four" and machine.looked(2, Reading("one", True)) == []
    with pytest.raises(ValueError, match="not other"):
        machine.accept(3, "other")
    assert kinds(machine.accept(3, "on")) == [Apply]
    machine.applied(4, 2)
    assert machine.used.digest == "one" and machine.held is None
    with pytest.raises(ValueError, match="no version is held"):
        machine.accept(5)


def test_a_held_list_is_forgotten_when_the_file_is_as_it_was():
    machine = Versions(SETTLE)
    in_use(machine, "four", *(entry(n) for n in "abcd"))
    machine.looked(0, Reading("one", True))
    machine.checked(1, "one", change(machine.used, "one", entry("a")))
    machine.looked(2, Reading("four", True))
    assert machine.held is None


def test_drains_and_moves_count_as_taken_away():
    base = version(1, "x", entry("a", 1), entry("b", 2), entry("c", 3), entry("d", 4))
    new = change(
        base, "y", entry("a", 1), entry("b", 9), entry("c", 3, EndpointState.DRAINING), entry("e", 5)
    )
    assert (new.added, new.changed, new.moved, new.gone) == (("e",), ("c",), ("b",), ("d",))
    assert (new.lost, new.of, new.share) == (3, 4, 0.75)


def test_what_stays_equal_is_the_same_object_and_no_part_of_the_delta():
    base = version(1, "x", entry("a", 1), entry("b", 2))
    new = change(base, "y", entry("a", 1), entry("b", 2), entry("c", 3))
    assert new.servers["a"] is base.servers["a"]
    assert [e.server.id for e in new.entries()] == ["c"]


def test_a_newcomer_without_a_start_counts_as_started_now_but_not_in_the_first_list():
    """Guards cold servers: one that joins by file is not pushed over."""
    first = change(None, "x", entry("a"), now=7)
    assert first.servers["a"].server.started_at == 0
    base = Version(1, "x", first.servers)
    second = change(base, "y", entry("a"), entry("b", 2), now=9)
    assert (second.servers["a"].server.started_at, second.servers["b"].server.started_at) == (0, 9)
    third = change(Version(2, "y", second.servers), "z", entry("a"), entry("b", 2), now=11)
    assert third.servers["b"] is second.servers["b"]  # its start stays what it was
    told = Parsed({"c": entry("c", 3, started=4)}, dated={"c"})
    assert compare(base, "q", told, 13, lambda: None).servers["c"].server.started_at == 4
    moved = change(base, "r", entry("a", 8), now=15)
    assert moved.servers["a"].server.started_at == 15


def test_a_change_against_a_list_that_is_no_longer_in_use_is_not_applied():
    machine = Versions(SETTLE)
    in_use(machine, "one", entry("a"), entry("b"))
    old = machine.used
    in_use(machine, "two", entry("a"), entry("b"), entry("c"))
    machine.looked(0, Reading("three", True))
    assert kinds(machine.checked(1, "three", change(old, "three", entry("a")))) == [LookAgain]
    assert machine.used.digest == "two" and machine.applying is None


def test_a_check_that_was_not_asked_for_or_not_made_changes_nothing():
    machine = Versions(SETTLE)
    assert machine.checked(0, "x", change(None, "x", entry("a"))) == []
    machine.looked(0, Reading("a", True))
    assert machine.checked(1, "a", None) == [LookAgain(0)]
    assert machine.applied(2, 1) == [] and machine.used is None


def test_missing_is_said_once_and_the_list_stays():
    machine = Versions(SETTLE)
    in_use(machine, "one", entry("a"))
    [said] = machine.looked(5, Missing("no such file"))
    assert "version 1 stays" in said.text
    assert machine.looked(6, Missing("no such file")) == []
    assert machine.used.digest == "one"
    machine.looked(7, Reading("one"))
    assert machine.status().missing == ""


def test_one_copy_is_written_at_a_time_and_a_failed_one_again_later():
    machine = Versions(SETTLE)
    machine.looked(0, Reading("one", True))
    machine.checked(0, "one", change(None, "one", entry("a")))
    assert kinds(machine.applied(0, 1)) == [Save, LookAgain]
    machine.looked(0, Reading("two", True))
    machine.checked(0, "two", change(machine.used, "two", entry("a"), entry("b")))
    assert kinds(machine.applied(0, 2)) == [LookAgain]  # the first copy is still being written
    actions, _ = machine.save_ended(1, 1)
    assert [a.version.number for a in actions] == [2]
    actions, wait = machine.save_ended(2, 2, "no space left on device")
    assert isinstance(actions[0], Say) and wait == 1_000 * MS
    assert machine.status().saved == 1 and "no space" in machine.status().save_error
    assert [a.version.number for a in machine.save_due()] == [2]
    actions, longer = machine.save_ended(3, 2, "no space left on device")
    assert actions == [] and longer == 2 * wait  # said once, tried ever more seldom
    machine.save_due()
    assert machine.save_ended(4, 2) == ([], 0)
    assert machine.status().saved == 2 and machine.status().save_error == ""


def test_a_saved_list_is_in_use_until_the_file_has_a_newer_one():
    machine = Versions(SETTLE, saved=version(7, "old", entry("a"), entry("b")))
    assert machine.status().saved == 7
    in_use(machine, "new", entry("a"), entry("b"), entry("c"))
    assert machine.used.number == 8


# ---- against a model of the disk


LISTS = st.frozensets(st.sampled_from("abcdefgh"), max_size=8)
CHECKSUM = st.sampled_from([None, True])


class Disk(RuleBasedStateMachine):
    """Plays the shell, the disk and its writers in any order; holds the machine against what it promises."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.machine = Versions(SETTLE, most_lost=0.5)
        self.contents: dict[str, tuple[str, frozenset[str], bool | None]] = {}  # digest: kind, servers, whole
        self.disk: str | None = None
        self.seen: tuple[str | None, int] = None, 0  # what looks have found, and since which look
        self.due: int | None = 0
        self.checks: list[tuple[Check, str]] = []
        self.applies: list[Apply] = []
        self.saves: list[Version] = []
        self.save_due: int | None = None
        self.used: list[Version] = []
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
            self.do(self.machine.save_due())

    @rule()
    def look(self):
        self.due = None
        if self.seen[0] != self.disk:
            self.seen = self.disk, self.now
        if self.disk is None:
            self.do(self.machine.looked(self.now, Missing("gone")))
        else:
            self.do(self.machine.looked(self.now, Reading(self.disk, self.contents[self.disk][2])))

    @precondition(lambda self: self.checks)
    @rule()
    def end_check(self):
        check, digest = self.checks.pop(0)
        kind, names, _ = self.contents[digest]
        if kind != "list" or not names:
            outcome = [Problem("f", (), "expected something else")]
        else:
            outcome = compare(check.base, digest, parsed(*map(entry, sorted(names))), self.now, lambda: None)
        self.do(self.machine.checked(self.now, digest, outcome))

    @precondition(lambda self: self.applies)
    @rule()
    def end_apply(self):
        apply = self.applies.pop(0)
        base = {} if apply.change.base == 0 else dict(self.used[-1].servers)
        for gone in apply.change.gone:
            del base[gone]
        base |= {e.server.id: e for e in apply.change.entries()}
        assert base == apply.version.servers  # what a node makes of the delta is the whole new list
        self.used.append(apply.version)
        self.do(self.machine.applied(self.now, apply.version.number))

    @precondition(lambda self: self.saves)
    @rule(fails=st.booleans())
    def end_save(self, fails):
        actions, wait = self.machine.save_ended(self.now, self.saves.pop(0).number, "full" if fails else "")
        self.save_due = self.now + wait if wait else None
        self.do(actions)

    @rule()
    def accept(self):
        held = self.machine.held
        try:
            actions = self.machine.accept(self.now)
        except ValueError:
            return
        self.accepted.add(held.change.digest)
        self.do(actions)

    def do(self, actions) -> None:
        for action in actions:
            if isinstance(action, LookAgain):
                self.due = min(self.due or self.now + action.delay, self.now + action.delay)
            elif isinstance(action, Check):
                self.check_is_due(action.digest)
                self.checks.append((action, action.digest))
            elif isinstance(action, Apply):
                self.applies.append(action)
            elif isinstance(action, Save):
                self.saves.append(action.version)
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
            assert used is self.machine.used
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
        status = self.machine.status()
        if self.disk is None:
            assert status.missing
            return
        kind, names, _ = self.contents[self.disk]
        if kind != "list" or not names:
            assert status.refused.digest == self.disk
        elif status.held is not None:
            assert status.held.change.digest == self.disk and status.held.change.share > 0.5
        else:
            assert status.used.digest == self.disk


Disk.TestCase.settings = settings(max_examples=150, stateful_step_count=40, deadline=None, derandomize=True)
TestDisk = Disk.TestCase
