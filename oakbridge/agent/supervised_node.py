"""The node process of one instance, kept running by a supervisor."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import Callable
from pathlib import Path

from oakbridge.agent.clock import monotonic_us
from oakbridge.agent.host import Host, NodeLaunch, NodeProcess
from oakbridge.agent.timers import Timers
from oakbridge.process import supervisor as sup

log = logging.getLogger(__name__)


class SupervisedNode:
    """Carries out what a supervisor asks: starts the process, signals it, and reports its end."""

    def __init__(
        self,
        name: str,
        host: Host,
        timers: Timers,
        *,
        log_file: Path,
        prepare_launch: Callable[[], NodeLaunch],
        on_exit: Callable[[str, bool], None],
    ) -> None:
        """``on_exit`` is called with how the process ended, and whether it was asked to."""
        self.supervisor = sup.Supervisor()
        self.process: NodeProcess | None = None
        self._name = name
        self._host = host
        self._timers = timers
        self._log_file = log_file
        self._prepare_launch = prepare_launch
        self._on_exit = on_exit

    @property
    def state(self) -> sup.State:
        """The state of the process."""
        return self.supervisor.state

    @property
    def pid(self) -> int | None:
        """The process number; None if no process runs."""
        return None if self.process is None else self.process.pid

    @property
    def is_up(self) -> bool:
        """Whether the process has been started, and not been asked to end."""
        return self.state in (sup.State.STARTING, sup.State.RUNNING)

    def adopt(self, control: Path) -> None:
        """Watch the node that listens on this control socket, if it runs already."""
        self.process = self._host.find_node(control, self._exited)
        if self.process is None:
            return
        log.info("%s: found running as process %d", self._name, self.process.pid)
        self.supervisor.adopt()

    def detach(self) -> None:
        """Leave the process as it is, and stop watching it."""
        if self.process is not None:
            self.process.detach()

    def keep_running(self) -> None:
        """Have the process run, as it is if it runs already."""
        self._execute(self.supervisor.start(monotonic_us()))

    def restart(self) -> None:
        """Have the process started anew."""
        self._execute(self.supervisor.restart(monotonic_us()))

    def stop(self) -> None:
        """Have the process not run."""
        self._execute(self.supervisor.stop(monotonic_us()))

    def mark_ready(self) -> None:
        """Tell the supervisor that the process serves."""
        self._execute(self.supervisor.ready(monotonic_us()))

    def _execute(self, actions: list[sup.Action]) -> None:
        for action in actions:
            match action:
                case sup.Start():
                    self._start()
                case sup.Stop():
                    self._send_signal(signal.SIGTERM)
                case sup.Kill():
                    self._send_signal(signal.SIGKILL)
                case sup.SetTimer(at):
                    self._timers.schedule(at, self._on_timer)

    def _on_timer(self) -> None:
        self._execute(self.supervisor.tick(monotonic_us()))

    def _send_signal(self, number: signal.Signals) -> None:
        if self.process is not None:
            self.process.send_signal(number)

    def _start(self) -> None:
        try:
            launch = self._prepare_launch()
            self.process = self._host.start_node(launch, self._exited)
        except OSError as e:
            reason = f"it could not be started: {e}"
            asyncio.get_running_loop().call_soon(self._exited, reason)

    def _exited(self, reason: str) -> None:
        self.process = None
        expected = self.state is sup.State.STOPPING
        if not expected:
            last_line = self._host.last_log_line(self._log_file)
            reason = f"{reason}: {last_line}" if last_line else reason
            log.warning("%s ended: %s", self._name, reason)
        self._execute(self.supervisor.exited(monotonic_us(), reason))
        self._on_exit(reason, expected)
