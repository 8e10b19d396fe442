"""Real processes of one node, with the servers and the discovery of a test."""

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


class NodeProcesses:
    """The configuration of a node, and the processes that a test starts with it."""

    def __init__(self, folder: Path, *servers: ScriptedServer, **settings: object) -> None:
        self.folder = folder
        self.servers = servers
        self.settings = SETTINGS | {"discovery": "pushed"} | settings
        self.port, *self.operator_ports = free_ports(14)
        self.processes: list[asyncio.subprocess.Process] = []
        self.logs: list[list[bytes]] = []
        self.readers: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> "NodeProcesses":
        self.discovery = await ScriptedDiscovery().__aenter__()
        self.listed = [endpoint(f"s-{i}", server.port) for i, server in enumerate(self.servers)]
        self.write_config()
        return self

    def write_config(self, text: str | None = None, **changes: object) -> None:
        """Write the configuration file with these changes, or with this text instead."""
        raw = {
            "name": "n3",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.discovery.port}",
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
        await self.discovery.__aexit__()

    async def start(self, program: Path = ROOT) -> asyncio.subprocess.Process:
        """Start a process of the program in this folder; do not wait until it is ready."""
        inherited = {
            name: value for name, value in os.environ.items() if not name.startswith("NODE_")
        }
        variables = {
            "NODE_CONFIG": str(self.folder / "c.json"),
            "TMPDIR": str(self.folder),
            "NODE_NAME": "n3",
            "NODE_CONTROL": f"127.0.0.1:{self.operator_ports[len(self.processes)]}",
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

    async def send_command(self, line: str, number: int = -1) -> str:
        """Return a process's response to an operator's command; empty if it does not listen."""
        ports = self.operator_ports[: len(self.processes)]
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", ports[number])
            writer.write(line.encode() + b"\n")
            response = await with_timeout(reader.read())
            writer.close()
        except ConnectionError:
            return ""
        return response.decode()

    async def start_and_wait(self, program: Path = ROOT) -> asyncio.subprocess.Process:
        """Start a process of the program in this folder, and wait for its YES to HEALTH."""
        process = await self.start(program)
        while not (await self.send_command("HEALTH")).startswith("YES"):
            assert process.returncode is None, self.log()
            await asyncio.sleep(0.01)
        return process

    async def wait_for_health(self, is_expected: Callable[[str], bool], number: int = -1) -> None:
        """Wait until a process gives an expected response to HEALTH."""
        while True:
            if is_expected(await self.send_command("HEALTH", number)):
                return
            await asyncio.sleep(0.005)

    async def connect_client(self) -> Client:
        return await Client.connect(self.port)


class ClientLoad:
    """Clients that reuse their connection, and clients that open one for each request.

    ``counts``: the requests sent, the responses, and the connections closed before a response.
    """

    def __init__(
        self, node: NodeProcesses, reusing: int = 6, reconnecting: int = 2, **request: Any
    ) -> None:
        self.node, self.request = node, request
        self.counts = {"sent": 0, "responses": 0, "disconnects": 0}
        self.statuses: list[int] = []
        self.stop = asyncio.Event()
        reuses = [True] * reusing + [False] * reconnecting
        self.tasks = [asyncio.create_task(self._run_client(reuse=reuse)) for reuse in reuses]

    async def _run_client(self, *, reuse: bool) -> None:
        client = None
        while not self.stop.is_set():
            client = client or await self.node.connect_client()
            self.counts["sent"] += 1
            client.send(**self.request)
            try:
                status, headers, _ = await client.read_response()
            except (asyncio.IncompleteReadError, ConnectionError):
                self.counts["disconnects"] += 1
                client = None
                continue
            self.counts["responses"] += 1
            self.statuses.append(status)
            if not reuse or headers.get("connection") == "close":
                client.close()
                client = None
            await asyncio.sleep(0.002)
        if client is not None:
            client.close()

    async def wait_for_responses(self, count: int) -> None:
        """Wait for this number of further responses."""
        expected = self.counts["responses"] + count
        await until(lambda: self.counts["responses"] >= expected)

    async def finish(self) -> None:
        self.stop.set()
        await asyncio.gather(*self.tasks)
