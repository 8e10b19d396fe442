"""Snapshots: invalid files, and atomic replacement."""

import json

import pytest

from oakbridge.peers import snapshot


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
def test_an_invalid_snapshot_is_reported_with_its_path(tmp_path, text):
    path = tmp_path / "kept"
    path.write_text(text)
    with pytest.raises(snapshot.SnapshotError, match="kept: expected"):
        snapshot.load(path)


def test_a_snapshot_that_is_too_long_is_reported_with_its_path(tmp_path):
    path = tmp_path / "kept"
    path.write_bytes(bytes(snapshot.MAX_SNAPSHOT_BYTES + 1))
    with pytest.raises(snapshot.SnapshotError, match="kept: expected at most 4194304 bytes"):
        snapshot.load(path)


def test_a_snapshot_is_replaced_atomically(tmp_path):
    path = tmp_path / "kept"
    assert snapshot.load(path) == snapshot.Snapshot()
    saved = snapshot.Snapshot(7, (("a", "127.0.0.1:1"),))
    snapshot.save(path, saved)
    assert snapshot.load(path) == saved
    assert [file.name for file in tmp_path.iterdir()] == ["kept"]
    assert json.loads(path.read_text())["life"] == 7
