"""The saved copy of the version in use."""

import asyncio
import errno
import os
import stat

import pytest
from peers import run
from watched_source import WatchedSource, replace_file, server_tables

from oakbridge.node.endpoint_list import ListedEndpoint
from oakbridge.policy.events import Endpoint
from oakbridge.sources.list_version import ListVersion
from oakbridge.sources.saved_copy import load_saved_version, save_version


def test_saved_version_is_in_use_after_a_restart(tmp_path):
    path, saved = tmp_path / "servers.toml", tmp_path / "state" / "saved"
    path.write_text(server_tables("a", "b"))

    async def first():
        async with WatchedSource(path, saved_path=saved) as watched:
            await watched.listener.until("a", "b")
            while watched.source.describe()["saved"] != 1:
                await asyncio.sleep(0.01)
        assert stat.S_IMODE(saved.stat().st_mode) == 0o600
        assert [file.name for file in saved.parent.iterdir()] == ["saved"]

    async def second():
        path.write_text("half of a")
        async with WatchedSource(path, saved_path=saved) as watched:
            assert set(watched.listener.servers) == {"a", "b"}  # before the file is read
            await watched.until("refused")
            assert set(watched.listener.servers) == {"a", "b"}
            replace_file(path, server_tables("a", "b", "c"))
            await watched.listener.until("a", "b", "c")
            assert watched.source.describe()["used"]["number"] == 2

    run(first())
    run(second())


def version_with_one_server() -> ListVersion:
    entry = ListedEndpoint(
        Endpoint("a", zone="z", started_at=5, address="127.0.0.1:1"), ("127.0.0.1", 1)
    )
    return ListVersion(3, "d" * 64, {"a": entry})


def test_full_disk_leaves_the_previous_copy_unchanged(tmp_path):
    path = tmp_path / "saved"
    save_version(path, version_with_one_server())
    before = path.read_bytes()

    def write_to_full_disk(fd: int, data: memoryview) -> int:
        if len(data) < 100:
            raise OSError(errno.ENOSPC, "No space left on device")
        return os.write(fd, data[:50])

    with pytest.raises(OSError, match="No space"):
        save_version(
            path, ListVersion(4, "e" * 64, version_with_one_server().servers), write_to_full_disk
        )
    assert path.read_bytes() == before
    assert [file.name for file in tmp_path.iterdir()] == ["saved"]
    assert load_saved_version(path) == version_with_one_server()


def test_failed_save_is_reported_and_retried(tmp_path, monkeypatch):
    path, saved = tmp_path / "servers.toml", tmp_path / "saved"
    path.write_text(server_tables("a"))
    monkeypatch.setattr("oakbridge.sources.version_tracker.SAVE_BACKOFF_MIN_US", 20_000)
    monkeypatch.setattr("oakbridge.sources.file_source.save_version", failing := FailingSave())

    async def scenario():
        async with WatchedSource(path, saved_path=saved) as watched:
            await watched.listener.until("a")
            while not watched.source.describe()["save_error"]:
                await asyncio.sleep(0.01)
            assert "No space" in watched.source.describe()["save_error"]
            failing.is_full = False
            while watched.source.describe()["saved"] != 1:
                await asyncio.sleep(0.01)
            assert watched.source.describe()["save_error"] == ""

    run(scenario())
    assert load_saved_version(saved) is not None


class FailingSave:
    """Saves a copy, or raises the error of a full disk."""

    def __init__(self) -> None:
        self.is_full, self.save = True, save_version

    def __call__(self, path, version) -> None:
        if self.is_full:
            raise OSError(errno.ENOSPC, "No space left on device")
        self.save(path, version)


@pytest.mark.parametrize(
    "corrupt",
    [
        lambda data: data[:-30],
        lambda data: data.replace(b'"a"', b'"b"'),
        lambda _: b"",
        lambda _: b"[]",
    ],
)
def test_corrupt_copy_is_not_used(tmp_path, corrupt):
    path = tmp_path / "saved"
    save_version(path, version_with_one_server())
    path.write_bytes(corrupt(path.read_bytes()))
    assert load_saved_version(path) is None
    assert load_saved_version(tmp_path / "nothing") is None
