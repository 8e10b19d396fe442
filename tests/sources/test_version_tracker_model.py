"""The version tracker with a model of the disk, of its writers and of the file source."""

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

SERVERS = st.frozensets(st.sampled_from("abcdefgh"), max_size=8)
CHECKSUMS_MATCH = st.sampled_from([None, True])


class DiskModel(RuleBasedStateMachine):
    """Runs steps of the file source and the writers in any order, and checks the tracker."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.tracker = VersionTracker(SETTLE_US, max_lost_fraction=0.5)
        # By digest: kind of the content, its servers, and whether its checksum matches.
        self.contents: dict[str, tuple[str, frozenset[str], bool | None]] = {}
        self.disk: str | None = None  # digest of the files on the disk
        # Digest of the last poll, and time since which polls have found it.
        self.polled: tuple[str | None, int] = None, 0
        self.poll_due: int | None = 0
        self.validations: list[tuple[ValidateFiles, str]] = []
        self.applies: list[ApplyVersion] = []
        self.saves: list[ListVersion] = []
        self.save_due: int | None = None
        self.applied: list[ListVersion] = []
        self.accepted: set[str] = set()

    # ---- steps of the writers

    def replace_files(
        self, kind: str, servers: frozenset[str] = frozenset(), checksum_matches: bool | None = None
    ) -> None:
        digest = f"{kind}{''.join(sorted(servers))}{checksum_matches}"
        self.contents[digest] = kind, servers, checksum_matches
        self.disk = digest

    @rule(servers=SERVERS, checksum_matches=CHECKSUMS_MATCH)
    def write(self, servers, checksum_matches):
        self.replace_files("list", servers, checksum_matches)

    @rule()
    def write_broken(self):
        self.replace_files("broken")

    @rule()
    def write_truncated(self):
        self.replace_files("cut", checksum_matches=False)

    @rule()
    def remove_files(self):
        self.disk = None

    # ---- steps of the file source

    @rule(ms=st.integers(1, 300))
    def wait(self, ms):
        until = self.now + ms * MS
        while self.poll_due is not None and self.poll_due <= until:
            self.now = max(self.now, self.poll_due)
            self.poll()
        self.now = until
        if self.save_due is not None and self.save_due <= self.now:
            self.save_due = None
            self.execute(self.tracker.on_save_retry())

    @rule()
    def poll(self):
        self.poll_due = None
        if self.polled[0] != self.disk:
            self.polled = self.disk, self.now
        if self.disk is None:
            self.execute(self.tracker.on_polled(self.now, FilesMissing("gone")))
        else:
            self.execute(
                self.tracker.on_polled(self.now, FilesRead(self.disk, self.contents[self.disk][2]))
            )

    @precondition(lambda self: self.validations)
    @rule()
    def finish_validation(self):
        validation, digest = self.validations.pop(0)
        kind, names, _ = self.contents[digest]
        if kind != "list" or not names:
            result = [Problem("f", (), "expected something else")]
        else:
            result = compare(validation.base, digest, parsed(*map(entry, sorted(names))), self.now)
        self.execute(self.tracker.on_validated(self.now, digest, result))

    @precondition(lambda self: self.applies)
    @rule()
    def finish_apply(self):
        apply = self.applies.pop(0)
        base = {} if apply.change.base_number == 0 else dict(self.applied[-1].servers)
        for name in apply.change.removed:
            del base[name]
        base |= {listed.server.id: listed for listed in apply.change.delta_entries()}
        assert base == apply.version.servers  # the delta applied to the base gives the new list
        self.applied.append(apply.version)
        self.execute(self.tracker.on_applied(self.now, apply.version.number))

    @precondition(lambda self: self.saves)
    @rule(fails=st.booleans())
    def finish_save(self, fails):
        number = self.saves.pop(0).number
        self.execute(
            self.tracker.on_save_failed(number, "full") if fails else self.tracker.on_saved(number)
        )

    @rule()
    def accept(self):
        pending = self.tracker.pending_approval
        try:
            actions = self.tracker.accept()
        except NotAcceptedError:
            return
        self.accepted.add(pending.change.digest)
        self.execute(actions)

    def execute(self, actions) -> None:
        for action in actions:
            if isinstance(action, PollAfter):
                self.poll_due = min(
                    self.poll_due or self.now + action.delay_us, self.now + action.delay_us
                )
            elif isinstance(action, ValidateFiles):
                self.check_settled(action.digest)
                self.validations.append((action, action.digest))
            elif isinstance(action, ApplyVersion):
                self.applies.append(action)
            elif isinstance(action, SaveVersion):
                self.saves.append(action.version)
            elif isinstance(action, RetrySaveAfter):
                self.save_due = self.now + action.delay_us
        assert len(self.validations) + len(self.applies) <= 1
        assert len(self.saves) <= 1

    def check_settled(self, digest: str) -> None:
        """Check that files without a matching checksum have been unchanged for long enough."""
        checksum_matches = self.contents[digest][2]
        assert self.polled[0] == digest
        unchanged_us = self.now - self.polled[1]
        if checksum_matches is None:
            assert unchanged_us >= SETTLE_US // 8
        elif checksum_matches is False:
            assert unchanged_us >= 2_000 * MS

    # ---- invariants

    @invariant()
    def version_in_use_is_a_complete_valid_list(self):
        for version in self.applied[-1:]:
            kind, names, _ = self.contents[version.digest]
            assert kind == "list"
            assert names
            assert set(version.servers) == names
            assert version is self.tracker.current
        assert [each.number for each in self.applied] == list(range(1, len(self.applied) + 1))

    @invariant()
    def list_that_loses_many_servers_is_applied_only_if_accepted(self):
        for old, new in zip(self.applied, self.applied[1:], strict=False):
            lost = sum(1 for name in old.servers if name not in new.servers)
            assert lost <= 0.5 * len(old.servers) or new.digest in self.accepted

    def teardown(self):
        """Without further writes, the tracker uses the list on the disk or gives a reason not to."""
        for _ in range(12):
            self.wait(500)
            if self.validations:
                self.finish_validation()
            if self.applies:
                self.finish_apply()
            self.poll()
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
