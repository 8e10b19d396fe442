"""An agent's machine whose node processes are simulated, without real processes.

Tests of agents and rollouts use it, and a benchmark with a thousand hosts.  Comments in a node's
configuration give its behaviour, so that a rollout of a configuration changes the behaviour too:

    # plays: dies 1.0        the node exits with code 1, this many seconds after its start
    # plays: serves 0.9      this fraction of its responses is served, the rest is failed
    # plays: refused         the configuration checker refuses the file
    # plays: mute            the node runs and never answers on its control socket
    # plays: weak 1.0        like "dies", but only on a host that is weak
"""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import re
import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from oakbridge.agent.host import NodeLaunch

PIDS = itertools.count(1_000_000)
_BEHAVIOUR = re.compile(r"# plays: (\w+) ?([\d.]*)")


class SimulatedNode:
    """One simulated node process."""

    def __init__(
        self, config: Path, on_exit: Callable[[str], None], rate: float, weak: bool
    ) -> None:
        text = config.read_text("utf-8")
        self.digest = hashlib.sha256(text.encode()).hexdigest()
        self.behaviours = {name: float(value or 1) for name, value in _BEHAVIOUR.findall(text)}
        self.pid, self.started_s, self._rate, self._on_exit = (
            next(PIDS),
            time.monotonic(),
            rate,
            on_exit,
        )
        self.has_exited = self.frozen = False
        self._loop = asyncio.get_running_loop()
        dies_after_s = self.behaviours.get("dies", self.behaviours.get("weak") if weak else None)
        if dies_after_s is not None:
            self._loop.call_later(dies_after_s, self.exit, "exit code 1")

    def exit(self, reason: str) -> None:
        """Exit, and call the exit callback with the reason."""
        if not self.has_exited:
            self.has_exited = True
            self._on_exit(reason)

    def send_signal(self, number: signal.Signals) -> None:
        """Freeze on SIGSTOP and thaw on SIGCONT; exit on any other signal."""
        if number in (signal.SIGSTOP, signal.SIGCONT):
            self.frozen = number == signal.SIGSTOP
        else:
            self._loop.call_soon(self.exit, f"signal {int(number)}")

    def detach(self) -> None:
        """Stop calling the exit callback, as the agent stops."""
        self._on_exit = lambda _: None

    def set_exit_callback(self, on_exit: Callable[[str], None]) -> None:
        """Have another agent notified of the exit."""
        self._on_exit = on_exit

    def status(self) -> dict[str, Any]:
        """Return the status that the node gives on its control socket."""
        responses = int((time.monotonic() - self.started_s) * self._rate)
        served = int(responses * self.behaviours.get("serves", 1.0))
        return {
            "pid": self.pid, "ready": True, "config_digest": self.digest, "source": {}, "servers": 1,
            "answers": {"served": served, "refused": 0, "failed": responses - served},
        }  # fmt: skip


class SimulatedHost:
    """One machine; its nodes keep running when its agent stops, as real ones do."""

    def __init__(self, rate: float = 0.0, weak: bool = False) -> None:
        """``rate``: responses per second of each node.  ``weak``: nodes marked weak exit."""
        self.rate, self.weak = rate, weak
        self.nodes: dict[Path, SimulatedNode] = {}

    def find_node(self, control: Path, on_exit: Callable[[str], None]) -> SimulatedNode | None:
        """Return the running node that has this control socket, None if there is none."""
        node = self.nodes.get(control)
        if node is None or node.has_exited:
            return None
        node.set_exit_callback(on_exit)
        return node

    def start_node(self, launch: NodeLaunch, on_exit: Callable[[str], None]) -> SimulatedNode:
        """Start a node."""
        node = self.nodes[launch.control] = SimulatedNode(
            launch.config, on_exit, self.rate, self.weak
        )
        return node

    def last_log_line(self, log: Path) -> str:  # noqa: ARG002 - the host's interface
        """Return no text: simulated nodes write no log."""
        return ""

    async def check_config(self, config: Path) -> str:
        """Return the message of the configuration's checker; empty if it accepts the file."""
        return (
            f"{config}: refused, as it plays"
            if "# plays: refused" in config.read_text("utf-8")  # noqa: ASYNC240 - a small file
            else ""
        )

    async def query_node(self, control: Path, command: str, **arguments: Any) -> Any:  # noqa: ARG002
        """Return a node's status, whatever the command.  Raises ConnectionRefusedError."""
        node = self.nodes.get(control)
        if node is None or node.has_exited:
            raise ConnectionRefusedError(str(control))
        if node.frozen or "mute" in node.behaviours:
            await asyncio.sleep(3600)
        return node.status()
