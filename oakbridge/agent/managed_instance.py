"""One instance on this host: its steps, its node, and the polling of the node's status."""

from __future__ import annotations

import asyncio
import hashlib
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from oakbridge.agent.actions import Action
from oakbridge.agent.clock import monotonic_us
from oakbridge.agent.errors import StepNotDurableError
from oakbridge.agent.executor import ActionExecutor
from oakbridge.agent.generations import Files
from oakbridge.agent.host import Host, MemberEndpoint, NodeLaunch
from oakbridge.agent.node_status import NodeStatus
from oakbridge.agent.records import (
    ChangeState,
    Generation,
    InstanceRecord,
    InstanceSpec,
    Step,
    StepOutcome,
)
from oakbridge.agent.state_machine import InstanceStateMachine
from oakbridge.agent.store import Store
from oakbridge.agent.supervised_node import SupervisedNode
from oakbridge.agent.timers import Timers
from oakbridge.control.errors import RequestRejectedError
from oakbridge.control.protocol import ControlCommand
from oakbridge.process import supervisor as process_supervisor

log = logging.getLogger(__name__)

CONFIG_FILE = "oakbridge.toml"  # the file of a generation that the node is started with
DRAINED_FILE = "drained"  # the node of a generation with this file is not run
LOG_FILE = "node.log"
POLL_INTERVAL_S = 0.5  # between two requests for a node's status
POLL_TIMEOUT_S = 2.0  # a node that does not respond for this long counts as unresponsive
UNKNOWN_GENERATION = 0
DISK_RETRY_DELAY_US = 200_000  # after a transient error of the disk


@dataclass(frozen=True, slots=True)
class InstanceContext:
    """What the instances of an agent share."""

    agent: str  # the agent's name, the first part of its nodes' names among members
    store: Store
    host: Host
    poll_interval_s: float = POLL_INTERVAL_S


class ManagedInstance:
    """Connects an instance's state machine with the disk and with the instance's node."""

    def __init__(
        self, name: str, spec: InstanceSpec, record: InstanceRecord, context: InstanceContext
    ) -> None:
        self.name = name
        self.spec = spec
        self.machine = InstanceStateMachine(record)
        self.node_status: dict[str, Any] = {}  # from the last poll; empty without a response
        self.status_received_at_s = 0.0  # Unix time of the last response
        self.running_generation = UNKNOWN_GENERATION  # the one that the process was started with
        self._member = (
            MemberEndpoint(f"{context.agent}/{name}", spec.member) if spec.member else None
        )
        self._generations = context.store.generations
        self._host = context.host
        self._poll_interval_s = context.poll_interval_s
        self._poll_task: asyncio.Task[None] | None = None
        # What the node's checker found in the files of the step in progress.
        self._config_problem = ""
        self._timers = Timers(name)
        self.node = self._make_node()
        self._executor = self._make_executor(context.store)

    def _make_node(self) -> SupervisedNode:
        return SupervisedNode(
            self.name,
            self._host,
            self._timers,
            log_file=self._log_file,
            prepare_launch=self._prepare_launch,
            on_exit=self._on_node_exit,
        )

    def _make_executor(self, store: Store) -> ActionExecutor:
        return ActionExecutor(
            store,
            self.name,
            self.machine,
            check_staged=lambda _: self._config_problem,
            run_generation=self._run_generation,
            set_timer=self._set_timer,
            set_retry_timer=self._set_retry_timer,
        )

    @property
    def durable_record(self) -> InstanceRecord:
        """The record on disk, which is the one that operators get."""
        return self._executor.durable_record

    @property
    def is_drained(self) -> bool:
        """Whether the current generation has the file that keeps its node stopped."""
        return (self._generations.current_link(self.name) / DRAINED_FILE).exists()

    @property
    def _config_file(self) -> Path:
        return self._generations.current_link(self.name) / CONFIG_FILE

    @property
    def _log_file(self) -> Path:
        return self._generations.instance_folder(self.name) / LOG_FILE

    def start(self) -> None:
        """Adopt the node if it is running, then continue from the journal's record."""
        self.node.adopt(self.spec.control)
        self._execute(self.machine.recover(monotonic_us()))
        self._poll_task = asyncio.get_running_loop().create_task(self._poll())

    def stop(self) -> None:
        """Stop managing the node, and leave it running."""
        if self._poll_task is not None:
            self._poll_task.cancel()
        self._timers.cancel_all()
        self.node.detach()

    # ---- steps

    def begin_step(
        self, step: Step, files: Files, config_problem: str, lease_problem: Callable[[], str]
    ) -> None:
        """Begin a step whose files have been checked; ``config_problem`` is the check's result.

        Raises:
            StepNotDurableError: if the disk fails; the same request may succeed later.
            StepConflictError: if the step is refused.
        """
        if not self._executor.is_blocked:
            self._config_problem = config_problem
            self._executor.begin_step(monotonic_us(), step, files, lease_problem)
        if not self._is_durable(step.step_id):
            raise StepNotDurableError(step.step_id)

    def outcome(self, step_id: str) -> StepOutcome | None:
        """Return a step's outcome from the record on disk; None if it has none there."""
        return next(
            (outcome for outcome in self.durable_record.outcomes if outcome.step_id == step_id),
            None,
        )

    def _is_durable(self, step_id: str) -> bool:
        record = self.durable_record
        in_progress = record.step is not None and record.step.step_id == step_id
        return in_progress or self.outcome(step_id) is not None

    def _execute(self, actions: list[Action]) -> None:
        if actions:
            self._executor.execute(monotonic_us(), actions)

    def _set_timer(self, at_us: int) -> None:
        self._timers.schedule(at_us, self._on_timer)

    def _set_retry_timer(self) -> None:
        self._timers.schedule(monotonic_us() + DISK_RETRY_DELAY_US, self._retry)

    def _retry(self) -> None:
        """Carry out the actions that wait for the disk; then report a drained node that exited."""
        self._executor.retry(monotonic_us())
        if not self._executor.is_blocked:
            self._report_drained()

    def _on_timer(self) -> None:
        self._execute(self.machine.on_timer(monotonic_us()))

    def _run_generation(self, target: Generation) -> None:
        """Run the node with a generation; restart it unless it runs with this one already."""
        if target.is_empty or self.is_drained:
            self.node.stop()
            # A node that was stopped before causes no exit event.
            asyncio.get_running_loop().call_soon(self._report_drained)
        elif (
            self.running_generation == target.number
            and self.node.state is process_supervisor.State.RUNNING
        ):
            self.node.keep_running()
        elif self._may_run_already():
            # The node was adopted; its first response shows which configuration it runs with.
            self.running_generation = target.number
        else:
            self.node.restart()

    def _may_run_already(self) -> bool:
        return (
            self.node.process is not None
            and self.running_generation == UNKNOWN_GENERATION
            and self.machine.state is ChangeState.SETTLED
        )

    # ---- the node

    def _prepare_launch(self) -> NodeLaunch:
        self.node_status = {}
        self.running_generation = self._generations.current_number(self.name)
        return NodeLaunch(
            config=self._config_file,
            name=self.name,
            listen=self.spec.listen,
            control=self.spec.control,
            log=self._log_file,
            member=self._member,
        )

    def _on_node_exit(self, reason: str, is_expected: bool) -> None:
        self.node_status = {}
        # While actions wait for the disk, the process that exited is from before the change.
        if not is_expected and not self._executor.is_blocked:
            self._execute(self.machine.on_failed(reason))
        self._report_drained()

    def _report_drained(self) -> None:
        """Report a drained instance as ready once its node has exited."""
        if self._executor.is_blocked:
            return  # RunGeneration may still be queued
        try:
            is_ready = self.node.state is process_supervisor.State.STOPPED and self.is_drained
        except OSError:  # the disk fails
            self._timers.schedule(monotonic_us() + DISK_RETRY_DELAY_US, self._report_drained)
            return
        if is_ready:
            self._execute(self.machine.on_ready(monotonic_us()))

    async def _poll(self) -> None:
        """Poll the node for its status until the task is cancelled."""
        while True:
            await asyncio.sleep(self._poll_interval_s)
            try:
                async with asyncio.timeout(POLL_TIMEOUT_S):
                    response = await self._host.query_node(
                        self.spec.control, ControlCommand.STATUS, rows=0
                    )
            except (OSError, TimeoutError, EOFError, ValueError, RequestRejectedError):
                self.node_status = {}
                continue
            self.node_status = response
            self.status_received_at_s = time.time()
            try:
                self._evaluate(NodeStatus.from_json(response))
            except Exception:  # polling must continue: without it the node never becomes ready
                log.exception("evaluation of a node's status failed: instance=%s", self.name)

    def _evaluate(self, status: NodeStatus) -> None:
        """Derive events for the supervisor and the state machine from the node's status."""
        if self.node.pid is None or status.pid != self.node.pid:
            return
        if not self.node.is_up or self._executor.is_blocked:
            return  # the status is of an old process, which exits or is still to be stopped
        if status.source_problem:
            reason = f"its server file is {status.source_problem}"
            self._execute(self.machine.on_failed(reason))
        elif self._should_run_current() and not self._runs_current_config(status):
            log.warning(
                "node does not run its current configuration, restarting it: instance=%s", self.name
            )
            self.node.restart()
        elif status.ready:
            self.node.mark_ready()
            self._execute(self.machine.on_ready(monotonic_us()))

    def _should_run_current(self) -> bool:
        """Whether the node should run the generation that the link points at."""
        return self.machine.state in (ChangeState.SETTLED, ChangeState.WATCHING)

    def _runs_current_config(self, status: NodeStatus) -> bool:
        """Whether the node was started with the current configuration, by the digest it reports.

        True as well if the file can't be read because of a transient error.
        """
        try:
            config = self._config_file.read_bytes()
        except FileNotFoundError:
            return False
        except OSError as error:
            log.warning(
                "node's configuration can't be read: instance=%s error=%s", self.name, error
            )
            return True
        return status.config_digest == hashlib.sha256(config).hexdigest()
