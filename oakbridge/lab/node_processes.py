"""The nodes of a run: configuration files, starts, signals, and readiness."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from oakbridge.lab.addresses import CLIENT_PORT, NODE_NET, Slot, host_address
from oakbridge.lab.fleet import Fleet, Host
from oakbridge.lab.helper_process import HelperProcesses, RunFailedError
from oakbridge.lab.node_config import SECRET_FILE, render_node_config
from oakbridge.lab.plan import Plan
from oakbridge.lab.process import HelperRole
from oakbridge.lab.schedule import StepKind

READY_TIMEOUT_S = 90.0  # from the start until all nodes must be ready
REQUEST_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.1
PROGRESS_INTERVAL_S = 0.2
LOG_TAIL_CHARACTERS = 1000
READY_REQUEST = b"GET /-/ready HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n"


class NodeProcesses:
    """The nodes of a run; the process manager starts and signals them."""

    def __init__(self, slot: Slot, fleet: Fleet, directory: Path, helpers: HelperProcesses) -> None:
        """``directory``: holds the nodes' configurations, logs and snapshots."""
        self.unexpected_exits: list[tuple[str, int]] = []  # name and exit code
        self.is_shutting_down = False  # if set, all exits are expected
        self._slot = slot
        self._fleet = fleet
        self._directory = directory
        self._helpers = helpers
        self._expected_exits: Counter[str] = Counter()  # by name, of killed nodes

    def log_path(self, name: str) -> Path:
        """Return the path of a node's log."""
        return self._directory / f"{name}.log"

    def write_configs(self, plan: Plan, seed: int, socket_directory: Path) -> None:
        """Write all nodes' configurations, and remove the logs of an earlier run."""
        self._directory.mkdir(exist_ok=True)
        (self._directory / SECRET_FILE).write_text(secrets.token_hex(16))
        for node in self._fleet.nodes:
            config = render_node_config(plan, self._slot, self._fleet, node, seed, socket_directory)
            self._config_path(node.name).write_text(config)
            self.log_path(node.name).unlink(missing_ok=True)

    def _config_path(self, name: str) -> Path:
        return self._directory / f"{name}.toml"

    def start(self, name: str) -> None:
        """Start a node."""
        config = str(self._config_path(name))
        arguments = ["-m", "oakbridge.cli", "serve", "--config", config, "--log-format", "json"]
        command = {
            "do": StepKind.START.value,
            "name": name,
            "words": arguments,
            "log": str(self.log_path(name)),
        }
        self._helpers.send(HelperRole.PROCESS_MANAGER, command)

    def send_signal(self, name: str, number: int, *, is_exit_expected: bool) -> None:
        """Send a signal to a node; ``is_exit_expected``: whether the signal makes it exit."""
        if is_exit_expected:
            self._expected_exits[name] += 1
        command = {"do": "signal", "name": name, "signal": number}
        self._helpers.send(HelperRole.PROCESS_MANAGER, command)

    def record_exit(self, name: str, exit_code: int) -> None:
        """Record an exit, unless it was expected."""
        if self._expected_exits[name]:
            self._expected_exits[name] -= 1
        elif not self.is_shutting_down:
            self.unexpected_exits.append((name, exit_code))

    async def start_all(self, within_s: float, on_progress: Callable[[int, int], None]) -> None:
        """Start all nodes, spread over ``within_s``, and wait until they are ready.

        ``on_progress`` gets the number of ready nodes, and of all.  Raises RunFailedError if a node
        exits or is not ready in time.
        """
        for node in self._fleet.nodes:
            self.start(node.name)
            await asyncio.sleep(within_s / len(self._fleet.nodes))
        deadline = time.monotonic() + READY_TIMEOUT_S
        waiting = {
            node.name: asyncio.create_task(self._wait_until_ready(node, deadline))
            for node in self._fleet.nodes
        }
        try:
            while not all(task.done() for task in waiting.values()):
                on_progress(sum(task.done() for task in waiting.values()), len(waiting))
                self._raise_for_exit()
                await asyncio.sleep(PROGRESS_INTERVAL_S)
        finally:
            for task in waiting.values():
                task.cancel()
        late = [name for name, task in waiting.items() if not task.result()]
        if late:
            raise RunFailedError(
                f"{len(late)} nodes not ready within {READY_TIMEOUT_S:g} s, such as {late[0]}"
            )

    def _raise_for_exit(self) -> None:
        if not self.unexpected_exits:
            return
        name, exit_code = self.unexpected_exits[0]
        log_tail = self.log_path(name).read_text(errors="replace")[-LOG_TAIL_CHARACTERS:]
        raise RunFailedError(f"{name} ended with {exit_code} at its start:\n{log_tail}")

    async def is_ready_in_time(self, name: str) -> bool:
        """Wait until a node is ready; return False if it is not in time."""
        node = next(node for node in self._fleet.nodes if node.name == name)
        return await self._wait_until_ready(node, time.monotonic() + READY_TIMEOUT_S)

    async def _wait_until_ready(self, node: Host, deadline: float) -> bool:
        while time.monotonic() < deadline:
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(REQUEST_TIMEOUT_S):
                    if await self._is_ready(node):
                        return True
            await asyncio.sleep(RETRY_DELAY_S)
        return False

    async def _is_ready(self, node: Host) -> bool:
        address = host_address(NODE_NET, node.number)
        reader, writer = await asyncio.open_connection(address, self._slot.port(CLIENT_PORT))
        try:
            writer.write(READY_REQUEST)
            return b" 200 " in await reader.readline()
        finally:
            writer.close()
