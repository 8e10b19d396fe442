"""Real processes of one node beside one another; servers and discovery are the test's own."""

import asyncio
import json
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from peers import (
    SETTINGS,
    Client,
    ScriptedDiscovery,
    ScriptedServer,
    endpoint,
    free_ports,
    listing,
    until,
    with_timeout,
)

ROOT = Path(__file__).parents[2]


class Site:
    """A node's configuration, and the processes that were started by it."""

    def __init__(self, folder: Path, *peers: ScriptedServer, **settings: object) -> None:
        self.folder = folder
        self.peers = peers
        self.settings = SETTINGS | {"discovery": "pushed"} | settings
        self.port, *self.controls = free_ports(14)
        self.processes: list[asyncio.subprocess.Process] = []
        self.logs: list[list[bytes]] = []
        self.readers: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> "Site":
        self.registry = await ScriptedDiscovery().__aenter__()
        self.listed = [endpoint(f"s-{i}", p.port) for i, p in enumerate(self.peers)]
        self.write()
        return self

    def write(self, text: str | None = None, **changes: object) -> None:
        raw = {
            "name": "n3",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.registry.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "known": listing(1, *self.listed),
            "settings": self.settings,
        }
        (self.folder / "c.json").write_text(json.dumps(raw | changes) if text is None else text)

    async def __aexit__(self, *_: object) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()
        await asyncio.gather(*self.readers)
        await self.registry.__aexit__()

    async def start(self, program: Path = ROOT) -> asyncio.subprocess.Process:
        """Start one more process, of the program in that folder, and wait for nothing."""
        inherited = {k: v for k, v in os.environ.items() if not k.startswith("NODE_")}
        variables = {
            "NODE_CONFIG": str(self.folder / "c.json"),
            "TMPDIR": str(self.folder),
            "NODE_NAME": "n3",
            "NODE_CONTROL": f"127.0.0.1:{self.controls[len(self.processes)]}",
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "oakbridge",
            cwd=program,
            env=inherited | variables,
            stderr=asyncio.subprocess.PIPE,
        )
        self.processes.append(process)
        self.logs.append([])
        self.readers.append(asyncio.create_task(self._read(process, self.logs[-1])))
        return process

    @staticmethod
    async def _read(process: asyncio.subprocess.Process, lines: list[bytes]) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            lines.append(line)

    def log(self, number: int = -1) -> str:
        return b"".join(self.logs[number]).decode()

    async def call(self, line: str, number: int = -1) -> str:
        """An operator's call to a process; empty if it does not listen."""
        controls = self.controls[: len(self.processes)]
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", controls[number])
            writer.write(line.encode() + b"\n")
            said = await with_timeout(reader.read())
            writer.close()
        except ConnectionError:
            return ""
        return said.decode()

    async def started(self, program: Path = ROOT) -> asyncio.subprocess.Process:
        """Start one more process, of the program in that folder, and wait for its yes."""
        process = await self.start(program)
        while not (await self.call("HEALTH")).startswith("YES"):
            assert process.returncode is None, self.log()
            await asyncio.sleep(0.01)
        return process

    async def health_until(self, accepted: Callable[[str], bool], number: int = -1) -> None:
        """Wait until a process gives an accepted answer to HEALTH."""
        while True:
            if accepted(await self.call("HEALTH", number)):
                return
            await asyncio.sleep(0.005)

    async def caller(self) -> Client:
        return await Client.connect(self.port)


class Load:
    """Clients that keep their connections, and some that open one for each request; counts both."""

    def __init__(self, site: Site, kept: int = 6, fresh: int = 2, **request: Any) -> None:
        self.site, self.request = site, request
        self.counts = {"sent": 0, "answered": 0, "closed": 0}
        self.statuses: list[int] = []
        self.stop = asyncio.Event()
        keeps = [True] * kept + [False] * fresh
        self.tasks = [asyncio.create_task(self._one(keep=keep)) for keep in keeps]

    async def _one(self, *, keep: bool) -> None:
        caller = None
        while not self.stop.is_set():
            caller = caller or await self.site.caller()
            self.counts["sent"] += 1
            caller.send(**self.request)
            try:
                status, headers, _ = await caller.read_response()
            except (asyncio.IncompleteReadError, ConnectionError):
                self.counts["closed"] += 1
                caller = None
                continue
            self.counts["answered"] += 1
            self.statuses.append(status)
            if not keep or headers.get("connection") == "close":
                caller.close()
                caller = None
            await asyncio.sleep(0.002)
        if caller is not None:
            caller.close()

    async def answered(self, more: int) -> None:
        """Wait for so many more answers."""
        enough = self.counts["answered"] + more
        await until(lambda: self.counts["answered"] >= enough)

    async def end(self) -> None:
        self.stop.set()
        await asyncio.gather(*self.tasks)
