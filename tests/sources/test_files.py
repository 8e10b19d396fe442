"""The shell that watches server files, on a real disk: every way in which files change, break and vanish."""

import asyncio
import errno
import json
import os
import re
import stat
from pathlib import Path

import pytest
from peers import run, soon

from oakbridge.node.clock import Clock
from oakbridge.policy.events import Endpoint, EndpointState
from oakbridge.sources import files
from oakbridge.sources.files import CantRead, FileOptions, FileSource, load_saved, read_file, save
from oakbridge.sources.versions import Version


def text(*names: str, port: int = 9000) -> str:
    rows = [f'[[server]]\nname = "{n}"\naddress = "127.0.0.1:{port + i}"\n' for i, n in enumerate(names)]
    return "\n".join(rows)


def swap(path: Path, content: str) -> None:
    path.with_suffix(".new").write_text(content)
    os.rename(path.with_suffix(".new"), path)


class Listener:
    """Keeps a list as a node does; each version that is taken over can be awaited."""

    def __init__(self) -> None:
        self.servers: dict[str, object] = {}
        self.versions: asyncio.Queue[frozenset[str]] = asyncio.Queue()
        self.prepared: list[int] = []

    def prepare(self, entries) -> None:
        self.prepared.append(len(list(entries)))

    def on_endpoint_list(self, new, *, saved=False) -> None:
        if new.complete:
            self.servers = {}
        for entry in new.endpoints:
            self.servers[entry.server.id] = entry
            if entry.server.state == EndpointState.GONE:
                del self.servers[entry.server.id]
        assert self.servers
        self.versions.put_nowait(frozenset(self.servers))

    def on_poll_failed(self, waited: int = 0, stale: int = 0) -> None:
        raise AssertionError

    async def until(self, *names: str) -> None:
        while await soon(self.versions.get()) != frozenset(names):
            pass


class Watching:
    """A source on a path, in this process."""

    def __init__(self, path: Path, **options) -> None:
        options.setdefault("settle", 0.01)
        options.setdefault("poll", 0.2)
        options.setdefault("most_lost", 1.0)
        self.options = FileOptions(path, **options)

    async def __aenter__(self) -> "Watching":
        self.source = FileSource(self.options, Clock(asyncio.get_running_loop()).now)
        self.listener = Listener()
        self.source.attach(self.listener)
        self.source.start()
        return self

    async def __aexit__(self, *_) -> None:
        self.source.stop()

    async def until(self, word: str, says: str = "") -> dict:
        """Until the source has this to say of itself."""
        while not (told := self.source.describe())[word] or says not in str(told[word]):
            self.source.decided.clear()
            await soon(self.source.decided.wait())
        return told


def way_rename(path: Path, content: str) -> None:
    swap(path, content)


def way_in_place(path: Path, content: str) -> None:
    path.write_text(content)


def way_removed_first(path: Path, content: str) -> None:
    path.unlink()
    path.write_text(content)


@pytest.mark.parametrize("notify", [True, False])
@pytest.mark.parametrize("way", [way_rename, way_in_place, way_removed_first])
def test_a_file_is_followed_however_it_changes(tmp_path, way, notify):
    path = tmp_path / "servers.toml"
    path.write_text(text("a"))

    async def scenario():
        async with Watching(path, notify=notify) as w:
            await w.listener.until("a")
            for names in ("ab", "bc", "c", "cdef"):
                way(path, text(*names))
                await w.listener.until(*names)

    run(scenario())


def test_a_mounted_directory_is_followed_through_its_links(tmp_path):
    """A version is a folder of its own, and a link that is swapped; all files change at one moment."""
    mount = tmp_path / "mount"
    mount.mkdir()

    def publish(number: int, **contents: str) -> None:
        (mount / f"..{number}").mkdir()
        for name, content in contents.items():
            (mount / f"..{number}" / f"{name}.toml").write_text(content)
        os.symlink(f"..{number}", mount / "..data_tmp")
        os.rename(mount / "..data_tmp", mount / "..data")
        for name in contents:
            if not (mount / f"{name}.toml").is_symlink():
                os.symlink(f"..data/{name}.toml", mount / f"{name}.toml")

    publish(1, one=text("a"), two=text("b", port=9100))

    async def scenario():
        async with Watching(mount, directory=True) as w, Watching(mount / "one.toml") as single:
            await w.listener.until("a", "b")
            await single.listener.until("a")
            publish(2, one=text("a", "c"), two=text("d", port=9100))
            assert await soon(w.listener.versions.get()) == {"a", "c", "d"}  # never a mix of the two
            await single.listener.until("a", "c")
            publish(3, one=text("e"), two=text("f", port=9100))
            assert await soon(w.listener.versions.get()) == {"e", "f"}
            await single.listener.until("e")

    run(scenario())


def test_a_directory_that_is_replaced_is_followed(tmp_path):
    folder = tmp_path / "servers"
    folder.mkdir()
    (folder / "x.toml").write_text(text("a"))

    async def scenario():
        async with Watching(folder, directory=True, poll=0.1) as w:
            await w.listener.until("a")
            for n, name in enumerate("bc"):
                other = tmp_path / f"other{n}"
                other.mkdir()
                (other / "x.toml").write_text(text(name))
                os.rename(folder, tmp_path / f"old{n}")
                os.rename(other, folder)
                await w.listener.until(name)
                (folder / "y.toml").write_text(text(name + "2", port=9500))
                await w.listener.until(name, name + "2")

    run(scenario())


def test_hidden_and_foreign_files_of_a_directory_are_passed_over(tmp_path):
    (tmp_path / "a.toml").write_text(text("a"))
    (tmp_path / ".b.toml").write_text("half")
    (tmp_path / "#c.toml").write_text("half")
    (tmp_path / "d.toml~").write_text("half")
    assert [p.name for p in files.files_of(tmp_path, True)] == ["a.toml"]


def make_fifo(path: Path) -> None:
    os.mkfifo(path)


def make_folder(path: Path) -> None:
    path.mkdir()


def make_huge(path: Path) -> None:
    with path.open("wb") as file:
        file.truncate(200_000_000)


def make_loop(path: Path) -> None:
    os.symlink(path.name, path)


@pytest.mark.parametrize(
    ("make", "says"),
    [
        (lambda p: None, "No such file"),
        (make_fifo, "expected a regular file"),
        (make_folder, "expected a regular file"),
        (make_huge, "expected at most 16777216 bytes, got 200000000"),
        (make_loop, "symbolic link"),
    ],
)
def test_what_can_not_be_read_is_said_and_the_last_good_list_stays(tmp_path, make, says):
    path = tmp_path / "servers.toml"
    path.write_text(text("a", "b"))

    async def scenario():
        async with Watching(path) as w:
            await w.listener.until("a", "b")
            path.unlink()
            make(path)
            await w.until("missing", says)
            assert set(w.listener.servers) == {"a", "b"}
            if path.is_dir():
                path.rmdir()
            elif path.exists() or path.is_symlink():
                path.unlink()
            path.write_text(text("a", "b", "c"))
            await w.listener.until("a", "b", "c")
            assert w.source.describe()["missing"] == ""

    run(scenario())


def test_a_file_that_stops_in_the_middle_is_not_used(tmp_path):
    """Cut where what is left reads well: it is its writer's next write that keeps it out."""
    path = tmp_path / "servers.toml"
    whole = text("a", "b", "c")
    path.write_text(text("a"))

    async def scenario():
        async with Watching(path, settle=0.3, poll=0.02) as w:
            await w.listener.until("a")
            with path.open("w") as file:
                for part in whole.split("\n\n"):  # each part ends where a server does: valid every time
                    file.write(part + "\n\n")
                    file.flush()
                    for _ in range(3):
                        w.source.fetch()
                        await asyncio.sleep(0.01)
            assert await soon(w.listener.versions.get()) == {"a", "b", "c"}

    run(scenario())


def test_a_list_that_drops_too_many_is_held_and_can_be_accepted(tmp_path):
    path = tmp_path / "servers.toml"
    path.write_text(text(*"abcd"))

    async def scenario():
        async with Watching(path, most_lost=0.5) as w:
            await w.listener.until(*"abcd")
            swap(path, text("a"))
            held = (await w.until("held"))["held"]
            assert (held["lost"], held["of"]) == (3, 4)
            assert set(w.listener.servers) == set("abcd")
            with pytest.raises(ValueError, match="not ffff"):
                w.source.accept("ffff")
            w.source.accept(held["digest"][:12])
            await w.listener.until("a")

    run(scenario())


def test_the_last_good_list_outlives_the_process(tmp_path):
    path, saved = tmp_path / "servers.toml", tmp_path / "state" / "saved"
    path.write_text(text("a", "b"))

    async def first():
        async with Watching(path, saved=saved) as w:
            await w.listener.until("a", "b")
            while w.source.describe()["saved"] != 1:
                await asyncio.sleep(0.01)
        assert stat.S_IMODE(saved.stat().st_mode) == 0o600
        assert [p.name for p in saved.parent.iterdir()] == ["saved"]

    async def second():
        path.write_text("half of a")
        async with Watching(path, saved=saved) as w:
            assert set(w.listener.servers) == {"a", "b"}  # told before anything is read
            await w.until("refused")
            assert set(w.listener.servers) == {"a", "b"}
            swap(path, text("a", "b", "c"))
            await w.listener.until("a", "b", "c")
            assert w.source.describe()["used"]["number"] == 2

    run(first())
    run(second())


def saved_version() -> Version:
    entry = files.ListedEndpoint(
        Endpoint("a", zone="z", started_at=5, address="127.0.0.1:1"), ("127.0.0.1", 1)
    )
    return Version(3, "d" * 64, {"a": entry})


def test_a_full_disk_leaves_the_copy_before(tmp_path):
    path = tmp_path / "saved"
    save(path, saved_version())
    before = path.read_bytes()

    def full(fd: int, data: memoryview) -> int:
        if len(data) < 100:
            raise OSError(errno.ENOSPC, "No space left on device")
        return os.write(fd, data[:50])

    with pytest.raises(OSError, match="No space"):
        save(path, Version(4, "e" * 64, saved_version().servers), full)
    assert path.read_bytes() == before
    assert [p.name for p in tmp_path.iterdir()] == ["saved"]
    assert load_saved(path) == saved_version()


def test_a_copy_that_can_not_be_written_is_said_and_tried_again(tmp_path, monkeypatch):
    path, saved = tmp_path / "servers.toml", tmp_path / "saved"
    path.write_text(text("a"))
    monkeypatch.setattr("oakbridge.sources.versions.SAVE_AGAIN", 20_000)
    monkeypatch.setattr("oakbridge.sources.files.save", failing := Failing())

    async def scenario():
        async with Watching(path, saved=saved) as w:
            await w.listener.until("a")
            while not w.source.describe()["save_error"]:
                await asyncio.sleep(0.01)
            assert "No space" in w.source.describe()["save_error"]
            failing.full = False
            while w.source.describe()["saved"] != 1:
                await asyncio.sleep(0.01)
            assert w.source.describe()["save_error"] == ""

    run(scenario())
    assert load_saved(saved) is not None


class Failing:
    def __init__(self) -> None:
        self.full, self.save = True, save

    def __call__(self, path, version) -> None:
        if self.full:
            raise OSError(errno.ENOSPC, "No space left on device")
        self.save(path, version)


@pytest.mark.parametrize(
    "spoil", [lambda d: d[:-30], lambda d: d.replace(b'"a"', b'"b"'), lambda d: b"", lambda d: b"[]"]
)
def test_a_spoilt_copy_is_not_used(tmp_path, spoil):
    path = tmp_path / "saved"
    save(path, saved_version())
    path.write_bytes(spoil(path.read_bytes()))
    assert load_saved(path) is None
    assert load_saved(tmp_path / "nothing") is None


def test_a_hundred_rewrites_a_second_do_not_keep_new_versions_out(tmp_path):
    path = tmp_path / "servers.toml"
    path.write_text(text("a"))

    async def scenario():
        async with Watching(path, settle=0.04) as w:
            await w.listener.until("a")
            done = asyncio.Event()

            async def rewrite():
                for n in range(100_000):
                    swap(path, text("a", f"n{n}"))
                    await asyncio.sleep(0.01)
                    if done.is_set():
                        return

            writer = asyncio.create_task(rewrite())
            for _ in range(3):
                assert len(await soon(w.listener.versions.get())) == 2
            done.set()
            await writer
            names = {"a", *re.findall(r"n\d+", path.read_text())}
            while set(w.listener.servers) != names:
                await soon(w.listener.versions.get())

    run(scenario())


def test_changes_are_found_without_inotify(tmp_path, monkeypatch):
    import watchfiles

    async def none_left(*_, **__):
        raise OSError(errno.ENOSPC, "inotify watch limit reached")
        yield

    monkeypatch.setattr(watchfiles, "awatch", none_left)
    path = tmp_path / "servers.toml"
    path.write_text(text("a"))

    async def scenario():
        async with Watching(path, poll=60) as w:
            await w.listener.until("a")
            swap(path, text("a", "b"))
            await w.listener.until("a", "b")
            assert w.source.describe()["told_of_changes"] is False

    run(scenario())


def test_a_change_of_the_same_size_within_one_time_stamp_is_seen(tmp_path):
    path = tmp_path / "servers.toml"
    path.write_text(text("a"))

    async def scenario():
        async with Watching(path, notify=False, poll=0.02) as w:
            await w.listener.until("a")
            stamp = path.stat()
            path.write_text(text("b"))
            os.utime(path, ns=(stamp.st_atime_ns, stamp.st_mtime_ns))
            await w.listener.until("b")

    run(scenario())


def test_many_servers_are_made_ready_in_slices(tmp_path):
    path = tmp_path / "servers.json"
    rows = [{"name": f"s{i}", "address": f"127.0.{i // 250}.1:{1 + i % 250}"} for i in range(1000)]
    path.write_text(json.dumps({"endpoints": rows[:1]}))

    async def scenario():
        async with Watching(path) as w:
            await w.listener.until("s0")
            swap(path, json.dumps({"endpoints": rows}))
            assert len(await soon(w.listener.versions.get())) == 1000
            assert max(w.listener.prepared) <= files.SLICE and sum(w.listener.prepared) == 1000

    run(scenario())


def test_reading_never_waits_on_a_pipe(tmp_path):
    os.mkfifo(tmp_path / "pipe")
    with pytest.raises(CantRead, match="regular file"):
        read_file(tmp_path / "pipe")
