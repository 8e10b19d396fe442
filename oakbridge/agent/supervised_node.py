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
from oakbridge.process import supervisor as process_supervisor

log = logging.getLogger(__name__)


class SupervisedNode:
    """Carries out a supervisor's actions on the node's process, and reports the process's exit."""

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
        """``on_exit`` gets how the process exited, and whether it had been stopped."""
        self.supervisor = process_supervisor.Supervisor()
        self.process: NodeProcess | None = None
        self._name = name
        self._host = host
        self._timers = timers
        self._log_file = log_file
        self._prepare_launch = prepare_launch
        self._on_exit = on_exit

    @property
    def state(self) -> process_supervisor.State:
        """The supervisor's state of the process."""
        return self.supervisor.state

    @property
    def pid(self) -> int | None:
        """The process ID; None if no process runs."""
        return None if self.process is None else self.process.pid

    @property
    def is_up(self) -> bool:
        """Whether the process has been started and not been stopped."""
        return self.state in (process_supervisor.State.STARTING, process_supervisor.State.RUNNING)

    def adopt(self, control: Path) -> None:
        """Watch the running node that listens on this control socket, if there is one."""
        self.process = self._host.find_node(control, self._handle_exit)
        if self.process is None:
            return
        log.info("running node adopted: instance=%s pid=%d", self._name, self.process.pid)
        self.supervisor.adopt()

    def detach(self) -> None:
        """Stop watching the process, and leave it running."""
        if self.process is not None:
            self.process.detach()

    def keep_running(self) -> None:
        """Start the process unless it runs already."""
        self._execute(self.supervisor.start(monotonic_us()))

    def restart(self) -> None:
        """Stop the process if it runs, and start it again."""
        self._execute(self.supervisor.restart(monotonic_us()))

    def stop(self) -> None:
        """Stop the process, or cancel its next start."""
        self._execute(self.supervisor.stop(monotonic_us()))

    def mark_ready(self) -> None:
        """Notify the supervisor that the process serves requests."""
        self._execute(self.supervisor.ready(monotonic_us()))

    def _execute(self, actions: list[process_supervisor.Action]) -> None:
        for action in actions:
            match action:
                case process_supervisor.Start():
                    self._start()
                case process_supervisor.Stop():
                    self._send_signal(signal.SIGTERM)
                case process_supervisor.Kill():
                    self._send_signal(signal.SIGKILL)
                case process_supervisor.SetTimer(at):
                    self._timers.schedule(at, self._on_timer)

    def _on_timer(self) -> None:
        self._execute(self.supervisor.tick(monotonic_us()))

    def _send_signal(self, number: signal.Signals) -> None:
        if self.process is not None:
            self.process.send_signal(number)

    def _start(self) -> None:
        try:
            launch = self._prepare_launch()
            self.process = self._host.start_node(launch, self._handle_exit)
        except OSError as error:
            reason = f"it could not be started: {error}"
            asyncio.get_running_loop().call_soon(self._handle_exit, reason)

    def _handle_exit(self, reason: str) -> None:
        self.process = None
        is_expected = self.state is process_supervisor.State.STOPPING
        if not is_expected:
            last_line = self._host.last_log_line(self._log_file)
            reason = f"{reason}: {last_line}" if last_line else reason
            log.warning("node's process exited: instance=%s reason=%s", self._name, reason)
        self._execute(self.supervisor.exited(monotonic_us(), reason))
        self._on_exit(reason, is_expected)
