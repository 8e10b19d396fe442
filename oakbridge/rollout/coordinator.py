"""The coordinator of a rollout: passes reports to the state machine and carries out its actions.

The state machine and the gate make all decisions.  The ``StepSender`` sends steps, the
``AgentWatcher`` polls agents, and the ``LeaseHolder`` keeps the lease.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from collections import defaultdict, deque
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass, field
from typing import Any

from oakbridge.fleet.client import FleetClient, LeaseResult
from oakbridge.rollout import actions, step_report
from oakbridge.rollout.agent_watcher import AgentWatcher
from oakbridge.rollout.gate import GateResult, GateRules, ResponseCounts, Verdict
from oakbridge.rollout.gate_window import FleetView, GateWindow
from oakbridge.rollout.journal import Journal, JournalEntry, JournalUnavailableError
from oakbridge.rollout.lease_holder import LeaseHolder
from oakbridge.rollout.machine import RolloutMachine
from oakbridge.rollout.plan import Target
from oakbridge.rollout.record import InstanceOutcome, Phase, RolloutRecord
from oakbridge.rollout.silence_timeout import SilenceTimeout
from oakbridge.rollout.step_sender import StepRefusedError, StepSender

log = logging.getLogger(__name__)

EXPIRY_CHECK_INTERVAL_S = 0.25  # the longest wait between two checks for expired timeouts
# Poll intervals of an agent: while its result is awaited, during a gate, and otherwise.
AWAITED_POLL_S = 0.25
GATE_POLL_S = 1.0
IDLE_POLL_S = 5.0
JOURNAL_TIMEOUT_S = 30.0  # a journal may fail for this time, in which nothing is sent
MAX_GATE_POLLS_PER_S = 500  # during a gate, limit for all agents together


@dataclass(frozen=True, slots=True)
class RolloutOptions:
    """The timeouts of a rollout, and the rules of its gates."""

    watch_s: float = 5.0  # how long an agent watches an instance after its step
    window_s: float = 10.0  # how long a gate compares responses
    silence_timeout_s: float = 30.0  # after watch_s plus this, a missing result is unknown
    gate_rules: GateRules = field(default_factory=GateRules)


class Coordinator:
    """Carries out one rollout."""

    def __init__(
        self,
        operator: FleetClient,
        journal: Journal,
        entry: JournalEntry,
        lease: LeaseResult,
        options: RolloutOptions,
        *,
        on_update: Callable[[Coordinator], None] = lambda _: None,
        sources: Mapping[str, int] | None = None,
    ) -> None:
        """Prepare to carry out a rollout that is in the journal.

        ``sources`` has, by instance name, the generation whose files the change is applied to,
        where that is not the running generation.  ``on_update`` is called after each round of
        events.
        """
        self.operator = operator
        self.rollout = entry.id
        self.change = entry.change
        self.machine = RolloutMachine(entry.record)
        self.gate_result: GateResult | None = None
        self._journal = journal
        self._options = options
        self._on_update = on_update
        self._targets = {target.name: target for wave in entry.record.waves for target in wave}
        self._instances_by_agent = _instances_by_agent(self._targets)
        self._watcher = AgentWatcher(
            operator, tuple(self._instances_by_agent), self._poll_interval_s
        )
        self._lease_holder = LeaseHolder(
            operator, lease, on_granted=self._watcher.request_poll, on_lost=self._halt
        )
        self._sender = StepSender(
            operator,
            self._lease_holder,
            self._watcher,
            entry.id,
            entry.change,
            sources=sources or {},
            watch_s=options.watch_s,
        )
        timeout_s = options.watch_s + options.silence_timeout_s
        self._step_timeouts = SilenceTimeout(timeout_s)
        self._rollback_timeouts = SilenceTimeout(timeout_s)
        self._resolving: set[str] = set()  # instances whose step is no longer sent, only resolved
        self._gate_window: GateWindow | None = None
        self._counts_before_rollout: dict[str, ResponseCounts] = {}
        self._queue: deque[actions.Action] = deque()
        self._tasks: set[asyncio.Task[None]] = set()
        self._final_phase: Phase | None = None
        self._journal_failing_since_s: float | None = None

    @property
    def lease(self) -> LeaseResult:
        """The present lease, whose token may have been raised since the rollout began."""
        return self._lease_holder.lease

    async def run(self) -> Phase:
        """Carry the rollout out; return the phase in which it ended or was halted.

        Raise :class:`JournalUnavailableError` if the journal cannot be written for
        :data:`JOURNAL_TIMEOUT_S`.
        """
        await self._watcher.poll_all()
        self._counts_before_rollout = self._fleet_view().counts()
        self._enqueue(self.machine.start())
        self._watcher.start()
        self._spawn(self._lease_holder.renew_until_lost())
        try:
            while True:
                self._carry_out_queue()
                self._on_update(self)
                if self._final_phase is not None and not self._queue:
                    return self._final_phase
                await self._wait_for_update()
                self._process_reports()
                self._expire_silent()
                self._evaluate_gate()
        finally:
            await self._close()

    async def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._watcher.close()

    # ---- tasks and actions

    def _enqueue(self, new_actions: list[actions.Action]) -> None:
        self._queue.extend(new_actions)
        self._watcher.updated.set()

    def _halt(self, reason: str) -> None:
        self._enqueue(self.machine.stop(reason))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._halt(f"the tool failed: {error}")

    def _carry_out_queue(self) -> None:
        """Carry out the queued actions in order; those that wait for agents run in tasks."""
        records = [a.record for a in self._queue if isinstance(a, actions.Persist)]
        # The last record covers the whole queue, and is written before any queued action.
        if records and not self._write_record(records[-1]):
            return
        while self._queue:
            self._carry_out(self._queue.popleft())

    def _write_record(self, record: RolloutRecord) -> bool:
        """Write the record; return False if the disk fails, so that the queue has to wait.

        The write is retried in each round of events.  Raises JournalUnavailableError after
        :data:`JOURNAL_TIMEOUT_S`; the rollout can then be resumed from the previous record.
        """
        now_s = time.monotonic()
        try:
            self._journal.update(self.rollout, record)
        except JournalUnavailableError as error:
            if self._journal_failing_since_s is None:
                self._journal_failing_since_s = now_s
                log.warning("write of the rollout journal failed, retrying: error=%s", error)
            if now_s - self._journal_failing_since_s >= JOURNAL_TIMEOUT_S:
                raise
            return False
        self._journal_failing_since_s = None
        return True

    def _carry_out(self, action: actions.Action) -> None:
        match action:
            case actions.Persist():
                pass  # _carry_out_queue has written the record
            case actions.SendStep(target):
                self._step_timeouts.start(target.name, time.monotonic())
                self._spawn(self._send_step(target))
            case actions.RollBack(target):
                self._rollback_timeouts.start(target.name, time.monotonic())
                self._spawn(self._roll_back(target))
            case actions.ResolveStep(target):
                self._step_timeouts.start(target.name, time.monotonic())
                self._resolving.add(target.name)
                self._spawn(self._resolve_step(target))
            case actions.EvaluateGate(changed):
                self._spawn(self._run_gate(changed))
            case actions.Finish(phase):
                self._final_phase = phase

    async def _send_step(self, target: Target) -> None:
        try:
            await self._sender.send(target, lambda: self._step_timeouts.is_pending(target.name))
        except StepRefusedError as refusal:
            self._step_timeouts.cancel(target.name)
            self._enqueue(
                self.machine.on_step_ended(target.name, InstanceOutcome.NOT_APPLIED, refusal.reason)
            )

    async def _resolve_step(self, target: Target) -> None:
        await self._sender.resolve(target, lambda: self._step_timeouts.is_pending(target.name))

    async def _roll_back(self, target: Target) -> None:
        try:
            await self._sender.roll_back(
                target, lambda: self._rollback_timeouts.is_pending(target.name)
            )
        except StepRefusedError as refusal:
            self._rollback_timeouts.cancel(target.name)
            self._fail_rollback(target.name, refusal.reason)

    def _fail_rollback(self, name: str, reason: str) -> None:
        reason = f"it was not taken back: {reason}"
        self._enqueue(self.machine.on_outcome_unknown(name, reason, time.time()))

    # ---- reports of the agents

    def _poll_interval_s(self, agent: str) -> float:
        """Return the poll interval of an agent, which is short while its result is awaited."""
        for name in self._instances_by_agent[agent]:
            if self._step_timeouts.is_pending(name) or self._rollback_timeouts.is_pending(name):
                return AWAITED_POLL_S
        if self._gate_window is None:
            return IDLE_POLL_S
        return max(GATE_POLL_S, len(self._instances_by_agent) / MAX_GATE_POLLS_PER_S)

    async def _wait_for_update(self) -> None:
        """Wait for a report, for at most the time to the next check for expired timeouts."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(EXPIRY_CHECK_INTERVAL_S):
                await self._watcher.updated.wait()
        self._watcher.updated.clear()

    def _fleet_view(self) -> FleetView:
        reports = {
            name: self._watcher.report(target.agent, target.instance)
            for name, target in self._targets.items()
        }
        return FleetView(reports, self.machine.statuses())

    def _process_reports(self) -> None:
        """Pass the results of ended steps and rollbacks to the state machine."""
        for name, target in self._targets.items():
            if not self._step_timeouts.is_pending(name) and not self._rollback_timeouts.is_pending(
                name
            ):
                continue
            report = self._watcher.report(target.agent, target.instance)
            if self._step_timeouts.is_pending(name):
                self._process_step_report(target, report)
            if self._rollback_timeouts.is_pending(name):
                self._process_rollback_report(target, report)

    def _process_step_report(self, target: Target, report: step_report.Report | None) -> None:
        step = step_report.step_id(self.rollout, target.instance)
        if target.name in self._resolving:
            result = step_report.resolved_result(
                report,
                step,
                promised_token=self._watcher.promised_token(target.agent),
                own_token=self.lease.token,
            )
        else:
            result = step_report.step_result(report, step)
        if result is not None:
            self._step_timeouts.cancel(target.name)
            self._resolving.discard(target.name)
            self._enqueue(self.machine.on_step_ended(target.name, result.outcome, result.reason))

    def _process_rollback_report(self, target: Target, report: step_report.Report | None) -> None:
        step = step_report.rollback_step_id(self.rollout, target.instance)
        result = step_report.step_result(report, step)
        if result is None:
            return
        self._rollback_timeouts.cancel(target.name)
        if result.outcome is InstanceOutcome.APPLIED:
            self._enqueue(self.machine.on_rolled_back(target.name))
        else:
            self._fail_rollback(target.name, result.reason)

    def _expire_silent(self) -> None:
        """Report instances as unknown whose step or rollback had no result in time."""
        now_s = time.monotonic()
        for name in {
            *self._step_timeouts.pop_expired(now_s),
            *self._rollback_timeouts.pop_expired(now_s),
        }:
            self._resolving.discard(name)
            agent = self._targets[name].agent
            is_silent = self._watcher.is_silent(agent)
            reason = "its agent does not answer" if is_silent else "its step has no end"
            last_response_unix_s = self._watcher.last_response_unix_s(agent)
            self._enqueue(self.machine.on_outcome_unknown(name, reason, last_response_unix_s))

    # ---- the gate

    async def _run_gate(self, changed: tuple[Target, ...]) -> None:
        """Keep a gate open for its window.

        All agents are polled at both ends of the window, so that no report is old.
        """
        await self._watcher.poll_all()
        window = self._gate_window = GateWindow(
            self.rollout, changed, self._fleet_view(), self._options.gate_rules, time.monotonic()
        )
        await asyncio.sleep(self._options.window_s)
        if self._gate_window is window:
            await self._watcher.poll_all()
            window.has_ended = True

    def _evaluate_gate(self) -> None:
        window, now_s = self._gate_window, time.monotonic()
        if window is None or not window.is_due(now_s):
            return
        self.gate_result = window.evaluate(self._fleet_view(), self._counts_before_rollout, now_s)
        if self.gate_result.verdict is not Verdict.PENDING:
            self._gate_window = None
            self._enqueue(self.machine.on_gate_result(self.gate_result))


def _instances_by_agent(targets: Mapping[str, Target]) -> dict[str, list[str]]:
    names: dict[str, list[str]] = defaultdict(list)
    for name, target in targets.items():
        names[target.agent].append(name)
    return names
