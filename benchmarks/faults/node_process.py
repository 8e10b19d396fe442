"""A node of the platform in a process of its own, whose system calls can be made to fail."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from contextlib import suppress
from pathlib import Path

from fault_control import FaultControl
from peers import SETTINGS, Client, endpoint, free_ports, listing, with_timeout

ROOT = Path(__file__).parents[2]
COMMAND = (sys.executable, "-m", "oakbridge")
US_PER_S = 1_000_000
CLASSES = [
    {"name": "look", "aim": 1_000_000, "deadline": 2_000_000, "idempotency": "pure"},
    {"name": "book", "aim": 1_000_000, "deadline": 2_000_000, "idempotency": "side_effect"},
    {
        "name": "close", "aim": 1_000_000, "deadline": 2_000_000, "idempotency": "token",
        "group": "all", "repeat-window": 5_000_000,
    },
]  # fmt: skip


def node_settings(**changes: object) -> dict:
    """Return settings with deadlines of two seconds, where lists are asked for."""
    invariants = SETTINGS["invariants"] | {"ask-within": 4 * US_PER_S}
    return SETTINGS | {"classes": CLASSES, "invariants": invariants} | changes


class NodeProcess:
    """``python -m oakbridge`` on a port of its own, for servers on these ports."""

    def __init__(
        self,
        folder: Path,
        server_ports: list[int],
        *,
        name: str = "n0",
        seed: int = 1,
        settings: dict | None = None,
        discovery: int = 9,
        sockets: int = 256,
        operated: bool = False,
    ) -> None:
        """Write the configuration; nothing is started yet.

        ``operated``: with an address for operators, so that a second process takes over from the
        first.
        """
        self.is_operated = operated
        self._folder = folder
        self.faults = FaultControl(folder / f"{name}.faults", seed=seed)
        self.port = free_ports(1)[0]
        self.log_path = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        servers = [endpoint(f"s-{number}", port) for number, port in enumerate(server_ports)]
        self._config = folder / f"{name}.json"
        self._configuration = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery}",
            "seed": f"{seed:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": listing(1, *servers),
            "settings": settings or node_settings(),
        }
        self.reconfigure()

    def reconfigure(self, **changes: object) -> None:
        """Write the configuration with changed fields, at once as a whole; SIGHUP has it read."""
        self._configuration |= changes
        unfinished = self._config.with_suffix(".new")
        unfinished.write_text(json.dumps(self._configuration))
        unfinished.rename(self._config)

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs; not by asyncio's, which may take its exit code."""
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def start(self, *, wait: bool = True) -> None:
        """Start the process; wait until it is ready."""
        environment = os.environ | self.faults.environment
        environment |= {"NODE_CONFIG": str(self._config), "FAULT_LISTEN_PORT": str(self.port)}
        if self.is_operated:  # each process at an address of its own
            environment["NODE_CONTROL"] = f"127.0.0.1:{free_ports(1)[0]}"
        environment["TMPDIR"] = str(self._folder)  # where the processes of a node meet
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=environment, stderr=log
            )
        if wait:
            await with_timeout(self.ready())

    async def ready(self) -> None:
        """Wait until the node says that it is ready."""
        while not await self._answers_ready():
            assert self.process is not None
            assert self.process.returncode is None, self.log()
            await asyncio.sleep(0.02)

    async def _answers_ready(self) -> bool:
        try:
            caller = await Client.connect(self.port)
        except OSError:
            return False
        try:
            caller.writer.write(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            return (await caller.read_response())[0] == 200
        except (OSError, EOFError):
            return False
        finally:
            caller.close()

    def log(self) -> str:
        """Return what the node has logged."""
        return self.log_path.read_text()

    async def stop(self) -> None:
        """Kill the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
