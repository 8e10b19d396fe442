"""Server files on a real disk: how they change, become unreadable and are removed."""

import asyncio
import errno
import json
import os
import re
from pathlib import Path

import pytest
from peers import run, with_timeout
from watched_source import WatchedSource, replace_file, server_tables

from oakbridge.sources.file_source import PREPARE_BATCH_SIZE


def rename_over(path: Path, content: str) -> None:
    replace_file(path, content)


def write_in_place(path: Path, content: str) -> None:
    path.write_text(content)


def remove_and_write(path: Path, content: str) -> None:
    path.unlink()
    path.write_text(content)


@pytest.mark.parametrize("use_inotify", [True, False])
@pytest.mark.parametrize("change_file", [rename_over, write_in_place, remove_and_write])
def test_each_way_of_changing_a_file_is_noticed(tmp_path, change_file, use_inotify):
    path = tmp_path / "servers.toml"
    path.write_text(server_tables("a"))

    async def scenario():
        async with WatchedSource(path, use_inotify=use_inotify) as watched:
            await watched.listener.until("a")
            for names in ("ab", "bc", "c", "cdef"):
                change_file(path, server_tables(*names))
                await watched.listener.until(*names)

    run(scenario())


def test_changes_of_a_mounted_volume_are_noticed_through_its_links(tmp_path):
    """Each version is a directory behind one link; replacing the link changes all files at once."""
    mount = tmp_path / "mount"
    mount.mkdir()

    def publish(number: int, **contents: str) -> None:
        (mount / f"..{number}").mkdir()
        for name, content in contents.items():
            (mount / f"..{number}" / f"{name}.toml").write_text(content)
        (mount / "..data_tmp").symlink_to(f"..{number}")
        (mount / "..data_tmp").rename(mount / "..data")
        for name in contents:
            if not (mount / f"{name}.toml").is_symlink():
                (mount / f"{name}.toml").symlink_to(f"..data/{name}.toml")

    publish(1, one=server_tables("a"), two=server_tables("b", port=9100))

    async def scenario():
        async with (
            WatchedSource(mount, is_directory=True) as watched,
            WatchedSource(mount / "one.toml") as single,
        ):
            await watched.listener.until("a", "b")
            await single.listener.until("a")
            publish(2, one=server_tables("a", "c"), two=server_tables("d", port=9100))
            # No version mixes files of two directories.
            assert await with_timeout(watched.listener.versions.get()) == {"a", "c", "d"}
            await single.listener.until("a", "c")
            publish(3, one=server_tables("e"), two=server_tables("f", port=9100))
            assert await with_timeout(watched.listener.versions.get()) == {"e", "f"}
            await single.listener.until("e")

    run(scenario())


def test_changes_in_a_replaced_directory_are_noticed(tmp_path):
    folder = tmp_path / "servers"
    folder.mkdir()
    (folder / "x.toml").write_text(server_tables("a"))

    async def scenario():
        async with WatchedSource(folder, is_directory=True, poll_interval_s=0.1) as watched:
            await watched.listener.until("a")
            for n, name in enumerate("bc"):
                other = tmp_path / f"other{n}"
                other.mkdir()
                (other / "x.toml").write_text(server_tables(name))
                folder.rename(tmp_path / f"old{n}")
                other.rename(folder)
                await watched.listener.until(name)
                (folder / "y.toml").write_text(server_tables(name + "2", port=9500))
                await watched.listener.until(name, name + "2")

    run(scenario())


def make_fifo(path: Path) -> None:
    os.mkfifo(path)


def make_directory(path: Path) -> None:
    path.mkdir()


def make_huge(path: Path) -> None:
    with path.open("wb") as file:
        file.truncate(200_000_000)


def make_link_loop(path: Path) -> None:
    path.symlink_to(path.name)


@pytest.mark.parametrize(
    ("make_unreadable", "reason"),
    [
        (lambda _: None, "No such file"),
        (make_fifo, "expected a regular file"),
        (make_directory, "expected a regular file"),
        (make_huge, "expected at most 16777216 bytes, got 200000000"),
        (make_link_loop, "symbolic link"),
    ],
)
def test_unreadable_path_is_reported_and_the_version_in_use_stays(
    tmp_path, make_unreadable, reason
):
    path = tmp_path / "servers.toml"
    path.write_text(server_tables("a", "b"))

    async def scenario():
        async with WatchedSource(path) as watched:
            await watched.listener.until("a", "b")
            path.unlink()
            make_unreadable(path)
            await watched.until("missing", reason)
            assert set(watched.listener.servers) == {"a", "b"}
            if path.is_dir():
                path.rmdir()
            elif path.exists() or path.is_symlink():
                path.unlink()
            path.write_text(server_tables("a", "b", "c"))
            await watched.listener.until("a", "b", "c")
            assert watched.source.describe()["missing"] == ""

    run(scenario())


def test_half_written_file_is_not_used(tmp_path):
    """Each part of the file is valid: only the next write, within the settle time, continues it."""
    path = tmp_path / "servers.toml"
    whole = server_tables("a", "b", "c")
    path.write_text(server_tables("a"))

    async def scenario():
        async with WatchedSource(path, settle_s=0.3, poll_interval_s=0.02) as watched:
            await watched.listener.until("a")
            with path.open("w") as file:
                # Each part ends after a server's table: the file is valid after each write.
                for part in whole.split("\n\n"):
                    file.write(part + "\n\n")
                    file.flush()
                    for _ in range(3):
                        watched.source.fetch()
                        await asyncio.sleep(0.01)
            assert await with_timeout(watched.listener.versions.get()) == {"a", "b", "c"}

    run(scenario())


def test_list_that_removes_too_many_servers_waits_for_approval(tmp_path):
    path = tmp_path / "servers.toml"
    path.write_text(server_tables(*"abcd"))

    async def scenario():
        async with WatchedSource(path, max_lost_fraction=0.5) as watched:
            await watched.listener.until(*"abcd")
            replace_file(path, server_tables("a"))
            held = (await watched.until("held"))["held"]
            assert (held["lost"], held["of"]) == (3, 4)
            assert set(watched.listener.servers) == set("abcd")
            with pytest.raises(ValueError, match="not ffff"):
                watched.source.accept("ffff")
            watched.source.accept(held["digest"][:12])
            await watched.listener.until("a")

    run(scenario())


def test_new_versions_are_applied_despite_constant_rewrites(tmp_path):
    path = tmp_path / "servers.toml"
    path.write_text(server_tables("a"))

    async def scenario():
        async with WatchedSource(path, settle_s=0.04) as watched:
            await watched.listener.until("a")
            is_done = asyncio.Event()

            async def rewrite():
                for n in range(100_000):
                    replace_file(path, server_tables("a", f"n{n}"))
                    await asyncio.sleep(0.01)
                    if is_done.is_set():
                        return

            writer = asyncio.create_task(rewrite())
            for _ in range(3):
                assert len(await with_timeout(watched.listener.versions.get())) == 2
            is_done.set()
            await writer
            names = {"a", *re.findall(r"n\d+", path.read_text())}
            while set(watched.listener.servers) != names:
                await with_timeout(watched.listener.versions.get())

    run(scenario())


def test_changes_are_found_without_inotify(tmp_path, monkeypatch):
    import watchfiles

    async def raise_no_space(*_, **__):
        raise OSError(errno.ENOSPC, "inotify watch limit reached")
        yield

    monkeypatch.setattr(watchfiles, "awatch", raise_no_space)
    path = tmp_path / "servers.toml"
    path.write_text(server_tables("a"))

    async def scenario():
        async with WatchedSource(path, poll_interval_s=60) as watched:
            await watched.listener.until("a")
            replace_file(path, server_tables("a", "b"))
            await watched.listener.until("a", "b")
            assert watched.source.describe()["told_of_changes"] is False

    run(scenario())


def test_change_with_the_same_size_and_timestamp_is_noticed(tmp_path):
    path = tmp_path / "servers.toml"
    path.write_text(server_tables("a"))

    async def scenario():
        async with WatchedSource(path, use_inotify=False, poll_interval_s=0.02) as watched:
            await watched.listener.until("a")
            status = path.stat()
            path.write_text(server_tables("b"))
            os.utime(path, ns=(status.st_atime_ns, status.st_mtime_ns))
            await watched.listener.until("b")

    run(scenario())


def test_many_servers_are_prepared_in_batches(tmp_path):
    path = tmp_path / "servers.json"
    rows = [{"name": f"s{i}", "address": f"127.0.{i // 250}.1:{1 + i % 250}"} for i in range(1000)]
    path.write_text(json.dumps({"endpoints": rows[:1]}))

    async def scenario():
        async with WatchedSource(path) as watched:
            await watched.listener.until("s0")
            replace_file(path, json.dumps({"endpoints": rows}))
            assert len(await with_timeout(watched.listener.versions.get())) == 1000
            assert max(watched.listener.prepared) <= PREPARE_BATCH_SIZE
            assert sum(watched.listener.prepared) == 1000

    run(scenario())
