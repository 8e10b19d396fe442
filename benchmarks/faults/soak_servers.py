"""The servers' processes of the fault soak, and what discovery has to tell of them."""

from __future__ import annotations

import subprocess
import sys
import time
from pathlib import Path

from discovery_standin import PublishedList
from peers import endpoint, free_ports
from soak_told import Drain

SERVER_PROGRAM = Path(__file__).with_name("soak_server.py")


class SoakServers:
    """The servers' processes, and what discovery has to tell of them."""

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
        """Start a server's process."""
        number = self.names.index(name)
        log = self.logs[number]
        log.touch()
        command = [sys.executable, SERVER_PROGRAM, self.ports[name], self._seed * 100 + number, log]
        self._processes[name] = subprocess.Popen([str(word) for word in command])

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
        """Have a server drain."""
        drain = Drain(name, self.published.index + 1, time.monotonic())
        self._draining[name] = drain
        self.drains.append(drain)
        self.published.publish()

    def restart(self, name: str) -> None:
        """Kill a server that drains, and have it back, cold."""
        self._processes[name].kill()
        self._processes[name].wait()
        self.kills[name].append(time.monotonic())
        self.start(name)
        self._since_ms[name] = int(time.time() * 1000)
        self._draining.pop(name).ended_at = time.monotonic()
        self.published.publish()

    def close(self) -> None:
        """Kill all processes."""
        for process in self._processes.values():
            process.kill()
            process.wait()
