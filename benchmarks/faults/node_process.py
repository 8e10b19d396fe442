"""A node in a process of its own, whose system calls can be made to fail."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from contextlib import suppress
from pathlib import Path

from fault_control import FaultControl
from peers import SETTINGS, Client, endpoint, free_ports, listing, with_timeout

REPOSITORY_ROOT = Path(__file__).parents[2]
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
    """Return settings with deadlines of 2 s in which nodes poll discovery, with changed keys."""
    invariants = SETTINGS["invariants"] | {"ask-within": 4 * US_PER_S}
    return SETTINGS | {"classes": CLASSES, "invariants": invariants} | changes


class NodeProcess:
    """Runs ``python -m oakbridge`` on a free port, with the servers at the given ports."""

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
        """Write the configuration; ``start`` starts the process.

        ``discovery``: its port; ``sockets``: the limit of open sockets; ``operated``: whether the
        node has a control address, so that a second process becomes the successor of the first.
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
        """Replace the configuration file atomically, with changed fields; SIGHUP reloads it."""
        self._configuration |= changes
        unfinished = self._config.with_suffix(".new")
        unfinished.write_text(json.dumps(self._configuration))
        unfinished.rename(self._config)

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs.

        Not by asyncio's method, which may collect the exit code of an exited process.
        """
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def start(self, *, wait: bool = True) -> None:
        """Start the process; if ``wait``, wait until it is ready."""
        environment = os.environ | self.faults.environment
        environment |= {"NODE_CONFIG": str(self._config), "FAULT_LISTEN_PORT": str(self.port)}
        if self.is_operated:  # a separate address for each process
            environment["NODE_CONTROL"] = f"127.0.0.1:{free_ports(1)[0]}"
        environment["TMPDIR"] = str(self._folder)  # contains the hand-over socket
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=REPOSITORY_ROOT, env=environment, stderr=log
            )
        if wait:
            await with_timeout(self.ready())

    async def ready(self) -> None:
        """Wait until the node responds that it is ready; fail if its process exits."""
        while not await self._is_ready():
            assert self.process is not None
            assert self.process.returncode is None, self.log()
            await asyncio.sleep(0.02)

    async def _is_ready(self) -> bool:
        try:
            client = await Client.connect(self.port)
        except OSError:
            return False
        try:
            client.writer.write(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            return (await client.read_response())[0] == 200
        except (OSError, EOFError):
            return False
        finally:
            client.close()

    def log(self) -> str:
        """Return the log of all processes of the node so far."""
        return self.log_path.read_text()

    async def stop(self) -> None:
        """Kill the process if it runs, and wait for its exit."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
