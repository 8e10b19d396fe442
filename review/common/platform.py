"""A stand-in for the platform: starts nodes by the deploy file, and ends them."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tomllib
from contextlib import suppress
from pathlib import Path
from typing import Any

from common.http import read_message
from common.record import Record

ROOT = Path(__file__).parents[2]
READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 2.0


class CannotRunError(Exception):
    """The case could not run, so that it says nothing about the rule."""


def free_port() -> int:
    """Return a port of the loopback address that nothing uses."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


def settings(classes: list[dict[str, Any]], **allowed: Any) -> dict[str, Any]:
    """Return the settings of a small deployment: one tier, one or two nodes, discovery asked."""
    return {
        "allowed": {
            "cancelling": True,
            "conn-idle": 30_000_000,
            "connect-timeout": 150_000,
            "max-attempts": 6,
            "max-open": 20_000,
            "max-retry-after": 2_000_000,
            "retry-after": True,
            "second-copies": False,
            "streams-per-conn": 1,
        }
        | allowed,
        "classes": classes,
        "discovery": "on_request",
        "instances": 1,
        "invariants": {
            "answer-slack": 20_000,
            "ask-within": 10_000_000,
            "cold-from": 0.13,
            "fall": 3_000_000,
            "fall-multiple": 2.5,
            "stop-sending-within": 250_000,
            "warm-up": 24_000_000,
        },
        "layers": ["api"],
        "me": 0,
        "resolution": 5000,
        "stage": 0,
        "weight-source": "rough",
        "zone": "z1",
        "zones": ["z1"],
    }


def request_class(name: str, idempotency: str, deadline_ms: int = 6000) -> dict[str, Any]:
    """Return a class of requests."""
    return {
        "name": name,
        "aim": min(2_500_000, deadline_ms * 1000),
        "deadline": deadline_ms * 1000,
        "group": "all",
        "idempotency": idempotency,
        "importance": 2.0,
        "late-worth": 0.5,
        "repeat-window": 10_000_000,
        "streamed": False,
    }


class NodeProcess:
    """One process of a node."""

    def __init__(self, process: asyncio.subprocess.Process, control_port: int) -> None:
        self.process = process
        self.pid = process.pid
        self.control_port = control_port

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process has not ended."""
        with suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def call(self, line: str) -> str:
        """Make an operator's call; return the answer, empty if there is none."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.control_port)
                writer.write(line.encode() + b"\n")
                text = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return ""
        return text.decode().strip()


class Platform:
    """Starts the processes of one node, and ends all of them."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder  # of the configuration and $TMPDIR
        self.port = free_port()
        self.processes: list[NodeProcess] = []
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text("utf-8"))
        self._run = deploy["run"]
        self._log = (folder / "node.log").open("wb")

    def write_config(
        self, discovery_port: int, known: dict[str, Any], wanted: dict[str, Any], **limits: Any
    ) -> None:
        """Write the configuration file."""
        raw = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery_port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024} | limits,
            "known": known,
            "settings": wanted,
        }
        self._config = raw
        (self.folder / "config.json").write_text(json.dumps(raw), "utf-8")

    async def start(self, *, control: bool = False) -> NodeProcess:
        """Start a process of the node by the deploy file."""
        environment = {k: v for k, v in os.environ.items() if not k.startswith("NODE_")}
        environment |= {
            "NODE_NAME": "n1",
            "NODE_LISTEN": f"127.0.0.1:{self.port}",
            "NODE_DISCOVERY": self._config["discovery"],
            "NODE_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder),
        }
        control_port = free_port() if control else 0
        if control:
            environment["NODE_CONTROL"] = f"127.0.0.1:{control_port}"
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", self._run, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=self._log, stderr=self._log,
        )  # fmt: skip
        started = NodeProcess(process, control_port)
        self.processes.append(started)
        self.record.add(f"platform started process {len(self.processes)} of the node")
        return started

    async def wait_until_ready(self) -> None:
        """Wait until the node answers 200 to its readiness check.  Raises CannotRunError."""
        for _ in range(int(READY_TIMEOUT_S / POLL_INTERVAL_S)):
            if await self._is_ready():
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise CannotRunError("the node did not become ready")

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
            return (await read_message(reader)).status == 200
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    def log(self) -> str:
        """Return what the node's processes have logged."""
        return (self.folder / "node.log").read_text("utf-8", "replace")

    async def stop(self) -> None:
        """End all processes that are left."""
        for started in self.processes:
            if started.process.returncode is None:
                started.signal(signal.SIGCONT)
                started.signal(signal.SIGKILL)
            await started.process.wait()
