"""The decisions of the version tracker on versions of server files."""

import pytest
from list_versions import MS, SETTLE_US, change, entry, version

from oakbridge.node.endpoint_list import ListedEndpoint
from oakbridge.sources.errors import NotAcceptedError
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


def kinds(actions) -> list[type]:
    return [type(action) for action in actions if not isinstance(action, WriteLog)]


def bring_into_use(
    tracker: VersionTracker, digest: str, *entries: ListedEndpoint, now: int = 0
) -> None:
    """Let the tracker validate and apply a list."""
    tracker.on_polled(now, FilesRead(digest, True))
    [apply] = [
        action
        for action in tracker.on_validated(now, digest, change(tracker.current, digest, *entries))
        if isinstance(action, ApplyVersion)
    ]
    tracker.on_applied(now, apply.version.number)


def test_files_are_validated_once_they_have_settled():
    tracker = VersionTracker(SETTLE_US)
    assert kinds(tracker.on_polled(0, FilesRead("a"))) == [PollAfter]
    # The files have changed, so the settle time starts again.
    assert tracker.on_polled(10 * MS, FilesRead("b")) == [PollAfter(SETTLE_US)]
    assert tracker.on_polled(30 * MS, FilesRead("b")) == [PollAfter(20 * MS)]
    assert tracker.on_polled(50 * MS, FilesRead("b")) == [ValidateFiles("b", None)]


def test_matching_checksum_needs_no_settling_and_a_mismatch_is_validated_after_a_timeout():
    assert VersionTracker(SETTLE_US).on_polled(0, FilesRead("a", True)) == [
        ValidateFiles("a", None)
    ]
    tracker = VersionTracker(SETTLE_US)
    now = 0
    while kinds(actions := tracker.on_polled(now, FilesRead("cut", False))) == [PollAfter]:
        assert 0 < actions[0].delay_us <= SETTLE_US
        now += actions[0].delay_us
    assert actions == [ValidateFiles("cut", None)]
    assert 1_900 * MS < now < 2_100 * MS


def test_file_that_never_settles_is_used_after_a_shorter_settle_time():
    """Guards against a hundred rewrites a second, which would keep every new version from use."""
    tracker, now, validation_count = VersionTracker(SETTLE_US), 0, 0
    for n in range(200):  # a new content every 10 ms, polled twice
        for _ in range(2):
            if any(
                isinstance(action, ValidateFiles)
                for action in tracker.on_polled(now, FilesRead(f"v{n}"))
            ):
                validation_count += 1
                tracker.on_validated(now, f"v{n}", change(tracker.current, f"v{n}", entry("a")))
                tracker.on_applied(now, tracker.applying.number)
            now += 5 * MS
    assert validation_count >= 2


def test_list_that_removes_too_many_servers_waits_until_accepted():
    tracker = VersionTracker(SETTLE_US, max_lost_fraction=0.5)
    bring_into_use(tracker, "four", *(entry(name) for name in "abcd"))
    tracker.on_polled(0, FilesRead("one", True))
    actions = tracker.on_validated(1, "one", change(tracker.current, "one", entry("a")))
    assert kinds(actions) == [PollAfter]
    assert "lost_ready=3 base_ready=4 " in actions[0].text
    assert tracker.current.digest == "four"
    assert tracker.on_polled(2, FilesRead("one", True)) == []
    with pytest.raises(NotAcceptedError, match="not other"):
        tracker.accept("other")
    assert kinds(tracker.accept("on")) == [ApplyVersion]
    tracker.on_applied(4, 2)
    assert tracker.current.digest == "one"
    assert tracker.pending_approval is None
    with pytest.raises(NotAcceptedError, match="no version is held"):
        tracker.accept()


def test_pending_approval_is_dropped_when_the_file_has_the_version_in_use_again():
    tracker = VersionTracker(SETTLE_US)
    bring_into_use(tracker, "four", *(entry(name) for name in "abcd"))
    tracker.on_polled(0, FilesRead("one", True))
    tracker.on_validated(1, "one", change(tracker.current, "one", entry("a")))
    tracker.on_polled(2, FilesRead("four", True))
    assert tracker.pending_approval is None


def test_change_against_an_outdated_version_is_not_applied():
    tracker = VersionTracker(SETTLE_US)
    bring_into_use(tracker, "one", entry("a"), entry("b"))
    old = tracker.current
    bring_into_use(tracker, "two", entry("a"), entry("b"), entry("c"))
    tracker.on_polled(0, FilesRead("three", True))
    assert kinds(tracker.on_validated(1, "three", change(old, "three", entry("a")))) == [PollAfter]
    assert tracker.current.digest == "two"
    assert tracker.applying is None


def test_unrequested_or_abandoned_validation_changes_nothing():
    tracker = VersionTracker(SETTLE_US)
    assert tracker.on_validated(0, "x", change(None, "x", entry("a"))) == []
    tracker.on_polled(0, FilesRead("a", True))
    assert tracker.on_validated(1, "a", None) == [PollAfter(0)]
    assert tracker.on_applied(2, 1) == []
    assert tracker.current is None


def test_missing_files_are_logged_once_and_the_list_stays():
    tracker = VersionTracker(SETTLE_US)
    bring_into_use(tracker, "one", entry("a"))
    [log_line] = tracker.on_polled(5, FilesMissing("no such file"))
    assert "version 1 stays" in log_line.text
    assert tracker.on_polled(6, FilesMissing("no such file")) == []
    assert tracker.current.digest == "one"
    tracker.on_polled(7, FilesRead("one"))
    assert tracker.missing_reason == ""


def test_one_copy_is_saved_at_a_time_and_a_failed_save_is_retried():
    tracker = VersionTracker(SETTLE_US)
    tracker.on_polled(0, FilesRead("one", True))
    tracker.on_validated(0, "one", change(None, "one", entry("a")))
    assert kinds(tracker.on_applied(0, 1)) == [SaveVersion, PollAfter]
    tracker.on_polled(0, FilesRead("two", True))
    tracker.on_validated(0, "two", change(tracker.current, "two", entry("a"), entry("b")))
    assert kinds(tracker.on_applied(0, 2)) == [PollAfter]  # the first copy is still being written
    assert [action.version.number for action in tracker.on_saved(1)] == [2]
    [log_line, retry] = tracker.on_save_failed(2, "no space left on device")
    assert isinstance(log_line, WriteLog)
    assert retry == RetrySaveAfter(1_000 * MS)
    assert tracker.saved_number == 1
    assert "no space" in tracker.save_error
    assert [action.version.number for action in tracker.on_save_retry()] == [2]
    # The same error is logged once; the delay doubles.
    assert tracker.on_save_failed(2, "no space left on device") == [RetrySaveAfter(2_000 * MS)]
    tracker.on_save_retry()
    assert tracker.on_saved(2) == []
    assert tracker.saved_number == 2
    assert tracker.save_error == ""


def test_saved_version_is_in_use_until_the_file_has_a_newer_one():
    tracker = VersionTracker(SETTLE_US, saved=version(7, "old", entry("a"), entry("b")))
    assert tracker.saved_number == 7
    bring_into_use(tracker, "new", entry("a"), entry("b"), entry("c"))
    assert tracker.current.number == 8
