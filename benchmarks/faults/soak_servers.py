"""Starts, drains and kills the servers of the fault soak, and publishes their endpoint list."""

from __future__ import annotations

import subprocess
import sys
import time
from pathlib import Path

from discovery_standin import PublishedList
from peers import endpoint, free_ports
from soak_notices import Drain

SERVER_PROGRAM = Path(__file__).with_name("soak_server.py")


class SoakServers:
    """The server processes, and the endpoint list that discovery publishes of them."""

    def __init__(self, folder: Path, count: int, seed: int) -> None:
        self.published = PublishedList(self._entries)
        self.names = [f"s-{number}" for number in range(count)]
        self.ports = dict(zip(self.names, free_ports(count), strict=True))
        self.logs = [folder / f"{name}.jsonl" for name in self.names]
        self.drains: list[Drain] = []
        self.kills: dict[str, list[float]] = {name: [] for name in self.names}
        self._folder, self._seed = folder, seed
        self._draining: dict[str, Drain] = {}
        self._since_ms = dict.fromkeys(self.names, 0)
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start the process of a server; its log goes on in the same file."""
        number = self.names.index(name)
        log = self.logs[number]
        log.touch()
        command = [sys.executable, SERVER_PROGRAM, self.ports[name], self._seed * 100 + number, log]
        self._processes[name] = subprocess.Popen([str(argument) for argument in command])

    def _entries(self) -> list[dict]:
        return [
            endpoint(
                name,
                self.ports[name],
                "draining" if name in self._draining else "ready",
                self._since_ms[name],
            )
            for name in self.names
        ]

    def drain(self, name: str) -> None:
        """Publish that a server drains."""
        drain = Drain(name, self.published.index + 1, time.monotonic())
        self._draining[name] = drain
        self.drains.append(drain)
        self.published.publish()

    def restart(self, name: str) -> None:
        """Kill a draining server, start it again, and publish it as ready with a new start time."""
        self._processes[name].kill()
        self._processes[name].wait()
        self.kills[name].append(time.monotonic())
        self.start(name)
        self._since_ms[name] = int(time.time() * 1000)
        self._draining.pop(name).ended_at = time.monotonic()
        self.published.publish()

    def close(self) -> None:
        """Kill all server processes."""
        for process in self._processes.values():
            process.kill()
            process.wait()
