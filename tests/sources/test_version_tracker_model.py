"""The version tracker against a model of the disk and its writers."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from list_versions import MS, SETTLE_US, entry, parsed

from oakbridge.sources.errors import NotAcceptedError
from oakbridge.sources.list_version import ListVersion, compare
from oakbridge.sources.problem import Problem
from oakbridge.sources.tracker_messages import (
    ApplyVersion,
    FilesMissing,
    FilesRead,
    PollAfter,
    RetrySaveAfter,
    SaveVersion,
    ValidateFiles,
)
from oakbridge.sources.version_tracker import VersionTracker

LISTS = st.frozensets(st.sampled_from("abcdefgh"), max_size=8)


CHECKSUM = st.sampled_from([None, True])


class DiskModel(RuleBasedStateMachine):
    """Play the source, the disk and its writers in any order; check what the tracker promises."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.tracker = VersionTracker(SETTLE_US, max_lost_fraction=0.5)
        self.contents: dict[
            str, tuple[str, frozenset[str], bool | None]
        ] = {}  # digest: kind, servers, whole
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

    def put(
        self, kind: str, servers: frozenset[str] = frozenset(), whole: bool | None = None
    ) -> None:
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
            self.do(self.tracker.on_save_retry())

    @rule()
    def look(self):
        self.due = None
        if self.seen[0] != self.disk:
            self.seen = self.disk, self.now
        if self.disk is None:
            self.do(self.tracker.on_polled(self.now, FilesMissing("gone")))
        else:
            self.do(
                self.tracker.on_polled(self.now, FilesRead(self.disk, self.contents[self.disk][2]))
            )

    @precondition(lambda self: self.checks)
    @rule()
    def end_check(self):
        check, digest = self.checks.pop(0)
        kind, names, _ = self.contents[digest]
        if kind != "list" or not names:
            outcome = [Problem("f", (), "expected something else")]
        else:
            outcome = compare(check.base, digest, parsed(*map(entry, sorted(names))), self.now)
        self.do(self.tracker.on_validated(self.now, digest, outcome))

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
        self.do(self.tracker.on_applied(self.now, apply.version.number))

    @precondition(lambda self: self.saves)
    @rule(fails=st.booleans())
    def end_save(self, fails):
        number = self.saves.pop(0).number
        self.do(
            self.tracker.on_save_failed(number, "full") if fails else self.tracker.on_saved(number)
        )

    @rule()
    def accept(self):
        held = self.tracker.pending_approval
        try:
            actions = self.tracker.accept()
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
        assert len(self.checks) + len(self.applies) <= 1
        assert len(self.saves) <= 1

    def check_is_due(self, digest: str) -> None:
        """Check that a list without a checksum has settled; for how long depends on its file."""
        whole = self.contents[digest][2]
        assert self.seen[0] == digest
        stood = self.now - self.seen[1]
        if whole is None:
            assert stood >= SETTLE_US // 8
        elif whole is False:
            assert stood >= 2_000 * MS

    # ---- what must hold

    @invariant()
    def what_is_used_is_one_complete_valid_list(self):
        for used in self.used[-1:]:
            kind, names, _ = self.contents[used.digest]
            assert kind == "list"
            assert names
            assert set(used.servers) == names
            assert used is self.tracker.current
        assert [v.number for v in self.used] == list(range(1, len(self.used) + 1))

    @invariant()
    def a_list_that_takes_many_away_is_used_by_word_alone(self):
        for old, new in zip(self.used, self.used[1:], strict=False):
            lost = sum(1 for name in old.servers if name not in new.servers)
            assert lost <= 0.5 * len(old.servers) or new.digest in self.accepted

    def teardown(self):
        """Left alone, the tracker comes to rest with what is on the disk, or says why not."""
        for _ in range(12):
            self.wait(500)
            if self.checks:
                self.end_check()
            if self.applies:
                self.end_apply()
            self.look()
        tracker = self.tracker
        if self.disk is None:
            assert tracker.missing_reason
            return
        kind, names, _ = self.contents[self.disk]
        if kind != "list" or not names:
            assert tracker.rejected.digest == self.disk
        elif tracker.pending_approval is not None:
            assert tracker.pending_approval.change.digest == self.disk
            assert tracker.pending_approval.change.lost_fraction > 0.5
        else:
            assert tracker.current.digest == self.disk


DiskModel.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)


TestDiskModel = DiskModel.TestCase
