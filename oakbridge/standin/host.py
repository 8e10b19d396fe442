"""A machine whose node processes are played: for tests of agents and rollouts, and for figures with a thousand hosts.

A node's behaviour is read from a comment in its configuration, so that a change brings it along:

    # plays: dies 1.0        it ends by itself, so many seconds after its start
    # plays: serves 0.9      that share of what it is asked is served, the rest fails
    # plays: refused         the checker says no
    # plays: mute            it runs and never answers
    # plays: weak 1.0        on a host that is weak, it ends by itself like one that dies
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
_PLAYS = re.compile(r"# plays: (\w+) ?([\d.]*)")


class SimulatedNode:
    """One node that is played."""

    def __init__(self, config: Path, ended: Callable[[str], None], rate: float, weak: bool) -> None:
        text = config.read_text("utf-8")
        self.digest = hashlib.sha256(text.encode()).hexdigest()
        self.plays = {word: float(figure or 1) for word, figure in _PLAYS.findall(text)}
        self.pid, self.began, self._rate, self._ended = next(PIDS), time.monotonic(), rate, ended
        self.has_exited = self.frozen = False
        self._loop = asyncio.get_running_loop()
        dies = self.plays.get("dies", self.plays.get("weak") if weak else None)
        if dies is not None:
            self._loop.call_later(dies, self.end, "exit code 1")

    def end(self, how: str) -> None:
        """End the process."""
        if not self.has_exited:
            self.has_exited = True
            self._ended(how)

    def send_signal(self, number: signal.Signals) -> None:
        """End it by any signal but those that freeze and thaw."""
        if number in (signal.SIGSTOP, signal.SIGCONT):
            self.frozen = number == signal.SIGSTOP
        else:
            self._loop.call_soon(self.end, f"signal {int(number)}")

    def detach(self) -> None:
        """Its agent has ended: nobody hears of it."""
        self._ended = lambda _: None

    def follow(self, ended: Callable[[str], None]) -> None:
        """Another agent hears of it."""
        self._ended = ended

    def status(self) -> dict[str, Any]:
        """Return what it reports of itself."""
        answered = int((time.monotonic() - self.began) * self._rate)
        served = int(answered * self.plays.get("serves", 1.0))
        return {
            "pid": self.pid, "ready": True, "config_digest": self.digest, "source": {}, "servers": 1,
            "answers": {"served": served, "refused": 0, "failed": answered - served},
        }  # fmt: skip


class SimulatedHost:
    """One machine; nodes outlive its agent as they do on a real one."""

    def __init__(self, rate: float = 0.0, weak: bool = False) -> None:
        """``rate``: requests that each node answers a second."""
        self.rate, self.weak = rate, weak
        self.nodes: dict[Path, SimulatedNode] = {}

    def find_node(self, control: Path, ended: Callable[[str], None]) -> SimulatedNode | None:
        """Return the node that has this control socket."""
        node = self.nodes.get(control)
        if node is None or node.has_exited:
            return None
        node.follow(ended)
        return node

    def start_node(self, launch: NodeLaunch, ended: Callable[[str], None]) -> SimulatedNode:
        """Start a node."""
        node = self.nodes[launch.control] = SimulatedNode(
            launch.config, ended, self.rate, self.weak
        )
        return node

    def last_log_line(self, log: Path) -> str:  # noqa: ARG002 - the host's interface
        """Return nothing: nothing is logged."""
        return ""

    async def check_config(self, config: Path) -> str:
        """Return the message of the configuration's checker; empty if it accepts the file."""
        return (
            f"{config}: refused, as it plays"
            if "# plays: refused" in config.read_text("utf-8")  # noqa: ASYNC240 - a small file
            else ""
        )

    async def query_node(self, control: Path, command: str, **arguments: Any) -> Any:  # noqa: ARG002
        """Ask a node how it is."""
        node = self.nodes.get(control)
        if node is None or node.has_exited:
            raise ConnectionRefusedError(str(control))
        if node.frozen or "mute" in node.plays:
            await asyncio.sleep(3600)
        return node.status()
