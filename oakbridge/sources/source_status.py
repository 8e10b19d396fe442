"""The JSON form of a file source's status, for the control socket."""

from __future__ import annotations

from typing import Any

from oakbridge.sources.version_tracker import VersionTracker

JsonObject = dict[str, Any]


def encode_status(
    tracker: VersionTracker, now_us: int, *, path: str, is_directory: bool, inotify_active: bool
) -> JsonObject:
    """Return which version is in use, and why no newer one is."""
    return {
        "kind": "directory" if is_directory else "file",
        "path": path,
        "told_of_changes": inotify_active,
        "missing": tracker.missing_reason,
        "saved": tracker.saved_number,
        "save_error": tracker.save_error,
        "used": _encode_current(tracker, now_us),
        "held": _encode_pending(tracker, now_us),
        "refused": _encode_rejected(tracker, now_us),
    }


def _encode_current(tracker: VersionTracker, now_us: int) -> JsonObject | None:
    current = tracker.current
    if current is None:
        return None
    since_us = tracker.current_since_us
    return {
        "number": current.number,
        "digest": current.digest,
        "servers": len(current.servers),
        "for_s": _elapsed_s(since_us, now_us) if since_us else None,
    }


def _encode_pending(tracker: VersionTracker, now_us: int) -> JsonObject | None:
    pending = tracker.pending_approval
    if pending is None:
        return None
    return {
        "digest": pending.change.digest,
        "lost": pending.change.lost_ready,
        "of": pending.change.base_ready,
        "for_s": _elapsed_s(pending.since_us, now_us),
    }


def _encode_rejected(tracker: VersionTracker, now_us: int) -> JsonObject | None:
    rejected = tracker.rejected
    if rejected is None:
        return None
    return {
        "digest": rejected.digest,
        "problems": [str(problem) for problem in rejected.problems],
        "for_s": _elapsed_s(rejected.since_us, now_us),
    }


def _elapsed_s(since_us: int, now_us: int) -> float:
    return (now_us - since_us) / 1e6
