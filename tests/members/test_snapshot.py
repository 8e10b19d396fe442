"""What a member keeps over a restart."""

import json

import pytest

from oakbridge.peers import snapshot as snap


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{",
        "[]",
        '{"life": -1, "members": []}',
        '{"life": 1, "members": [[1, 2]]}',
        '{"life": true, "members": []}',
    ],
)
def test_a_broken_snapshot_is_named(tmp_path, text):
    path = tmp_path / "kept"
    path.write_text(text)
    with pytest.raises(snap.SnapshotError, match="kept: expected"):
        snap.load(path)


def test_a_snapshot_that_is_too_long_is_named(tmp_path):
    path = tmp_path / "kept"
    path.write_bytes(bytes(snap.MAX_SNAPSHOT_BYTES + 1))
    with pytest.raises(snap.SnapshotError, match="kept: expected at most 4194304 bytes"):
        snap.load(path)


def test_a_snapshot_is_replaced_as_a_whole(tmp_path):
    path = tmp_path / "kept"
    assert snap.load(path) == snap.Snapshot()
    kept = snap.Snapshot(7, (("a", "127.0.0.1:1"),))
    snap.save(path, kept)
    assert snap.load(path) == kept
    assert [p.name for p in tmp_path.iterdir()] == ["kept"]
    assert json.loads(path.read_text())["life"] == 7
