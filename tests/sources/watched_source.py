"""A file source on a real disk, and a listener that records its lists."""

import asyncio
from collections.abc import Iterable
from pathlib import Path

from peers import with_timeout

from oakbridge.node.clock import Clock
from oakbridge.node.endpoint_list import EndpointList, ListedEndpoint
from oakbridge.policy.events import EndpointState
from oakbridge.sources.file_source import FileOptions, FileSource
from oakbridge.sources.source_status import JsonObject


def server_tables(*names: str, port: int = 9000) -> str:
    """Return a TOML server file with these servers, on consecutive ports."""
    rows = [
        f'[[server]]\nname = "{name}"\naddress = "127.0.0.1:{port + i}"\n'
        for i, name in enumerate(names)
    ]
    return "\n".join(rows)


def replace_file(path: Path, content: str) -> None:
    """Write a new file and rename it over the old one."""
    path.with_suffix(".new").write_text(content)
    path.with_suffix(".new").rename(path)


class RecordingListener:
    """Applies lists as a node does; ``versions`` has the server names of each applied version."""

    def __init__(self) -> None:
        self.servers: dict[str, object] = {}
        self.versions: asyncio.Queue[frozenset[str]] = asyncio.Queue()
        self.prepared: list[int] = []  # number of servers in each call of ``prepare``

    def prepare(self, entries: Iterable[ListedEndpoint]) -> None:
        self.prepared.append(len(list(entries)))

    def on_endpoint_list(self, new: EndpointList, *, saved: bool = False) -> None:
        if new.complete:
            self.servers = {}
        for entry in new.endpoints:
            self.servers[entry.server.id] = entry
            if entry.server.state == EndpointState.REMOVED:
                del self.servers[entry.server.id]
        assert self.servers
        self.versions.put_nowait(frozenset(self.servers))

    async def until(self, *names: str) -> None:
        """Wait for a version with exactly these servers."""
        while await with_timeout(self.versions.get()) != frozenset(names):
            pass


class WatchedSource:
    """A source that watches a path, with short intervals; an asynchronous context manager."""

    def __init__(self, path: Path, **options) -> None:
        options.setdefault("settle_s", 0.01)
        options.setdefault("poll_interval_s", 0.2)
        options.setdefault("max_lost_fraction", 1.0)
        self.options = FileOptions(path, **options)

    async def __aenter__(self) -> "WatchedSource":
        self.source = FileSource(self.options, Clock(asyncio.get_running_loop()).now)
        self.listener = RecordingListener()
        self.source.attach(self.listener)
        self.source.start()
        return self

    async def __aexit__(self, *_) -> None:
        self.source.stop()

    async def until(self, key: str, text: str = "") -> JsonObject:
        """Wait until the status has a value with this text under the key; return the status."""
        while not (status := self.source.describe())[key] or text not in str(status[key]):
            self.source.state_changed.clear()
            await with_timeout(self.source.state_changed.wait())
        return status
