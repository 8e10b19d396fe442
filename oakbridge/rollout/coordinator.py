"""The coordinator of a rollout: feeds the state machine with reports and carries out its actions.

It makes no decisions: those are the state machine's and the gate's.  Sending is the
``StepSender``'s, polling the ``AgentWatcher``'s, and the lease the ``LeaseHolder``'s part.
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

TICK_S = 0.25  # the longest wait between two checks of what has expired
# The intervals at which an agent is polled: while it is awaited, during a gate, and otherwise.
AWAITED_POLL_S = 0.25
GATE_POLL_S = 1.0
IDLE_POLL_S = 5.0
JOURNAL_TIMEOUT_S = 30.0  # for a journal that can't be written; nothing is sent meanwhile
GATE_POLLS_PER_S = 500  # the most polls in a second during a gate, over all agents


@dataclass(frozen=True, slots=True)
class RolloutOptions:
    """The times of a rollout, and the rules of its gates."""

    watch_s: float = 5.0  # how long an agent watches an instance after its step
    window_s: float = 10.0  # how long a gate compares
    silence_timeout_s: float = 30.0  # beyond the watch, until a silent instance is unknown
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
        """Take up a rollout that is in the journal.

        ``sources`` is the generation that an instance's files are made from, where it is not the
        one that it runs; ``on_update`` is called after each round of events.
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
        self._names_by_agent = _names_by_agent(self._targets)
        self._watcher = AgentWatcher(operator, tuple(self._names_by_agent), self._poll_interval_s)
        self._lease_holder = LeaseHolder(
            operator, lease, on_granted=self._watcher.request_poll, on_lost=self._stop
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
        self._steps = SilenceTimeout(timeout_s)
        self._rollbacks = SilenceTimeout(timeout_s)
        self._resolving: set[str] = set()  # instances whose step is not sent any more
        self._gate: GateWindow | None = None
        self._counts_before_rollout: dict[str, ResponseCounts] = {}
        self._queue: deque[actions.Action] = deque()
        self._tasks: set[asyncio.Task[None]] = set()
        self._finished: Phase | None = None
        self._journal_failing_since_s: float | None = None

    @property
    def lease(self) -> LeaseResult:
        """The lease as it is now: its token may have been raised."""
        return self._lease_holder.lease

    async def run(self) -> Phase:
        """Carry the rollout through, and return the phase in which it ended or was halted."""
        await self._watcher.poll_all()
        self._counts_before_rollout = self._view().counts()
        self._enqueue(self.machine.start())
        self._watcher.start()
        self._spawn(self._lease_holder.renew_until_lost())
        try:
            while True:
                self._carry_out_queue()
                self._on_update(self)
                if self._finished is not None and not self._queue:
                    return self._finished
                await self._wait_for_update()
                self._take_reports()
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

    def _stop(self, reason: str) -> None:
        self._enqueue(self.machine.stop(reason))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._stop(f"the tool failed: {error}")

    def _carry_out_queue(self) -> None:
        """Carry out the queued actions in order, those that wait for agents in tasks."""
        records = [a.record for a in self._queue if isinstance(a, actions.Persist)]
        # The last one covers the whole queue, and is written before any of it is done.
        if records and not self._write_record(records[-1]):
            return
        while self._queue:
            self._carry_out(self._queue.popleft())

    def _write_record(self, record: RolloutRecord) -> bool:
        """Write the record; return False if the disk fails, and the queue has to wait.

        It is tried again with each round of events.  Raises JournalUnavailableError after
        :data:`JOURNAL_TIMEOUT_S`: then the rollout can be resumed from the record before.
        """
        now_s = time.monotonic()
        try:
            self._journal.update(self.rollout, record)
        except JournalUnavailableError as error:
            if self._journal_failing_since_s is None:
                self._journal_failing_since_s = now_s
                log.warning("the journal can't be written, and is tried again: %s", error)
            if now_s - self._journal_failing_since_s >= JOURNAL_TIMEOUT_S:
                raise
            return False
        self._journal_failing_since_s = None
        return True

    def _carry_out(self, action: actions.Action) -> None:
        match action:
            case actions.Persist():
                pass  # written before
            case actions.SendStep(target):
                self._steps.start(target.name, time.monotonic())
                self._spawn(self._send_step(target))
            case actions.RollBack(target):
                self._rollbacks.start(target.name, time.monotonic())
                self._spawn(self._roll_back(target))
            case actions.ResolveStep(target):
                self._steps.start(target.name, time.monotonic())
                self._resolving.add(target.name)
                self._spawn(self._resolve_step(target))
            case actions.EvaluateGate(changed):
                self._spawn(self._run_gate(changed))
            case actions.Finish(phase):
                self._finished = phase

    async def _send_step(self, target: Target) -> None:
        try:
            await self._sender.send(target, lambda: self._steps.is_pending(target.name))
        except StepRefusedError as refusal:
            self._steps.cancel(target.name)
            self._enqueue(
                self.machine.on_step_ended(target.name, InstanceOutcome.NOT_APPLIED, refusal.reason)
            )

    async def _resolve_step(self, target: Target) -> None:
        await self._sender.resolve(target, lambda: self._steps.is_pending(target.name))

    async def _roll_back(self, target: Target) -> None:
        try:
            await self._sender.roll_back(target, lambda: self._rollbacks.is_pending(target.name))
        except StepRefusedError as refusal:
            self._rollbacks.cancel(target.name)
            self._fail_rollback(target.name, refusal.reason)

    def _fail_rollback(self, name: str, reason: str) -> None:
        reason = f"it was not taken back: {reason}"
        self._enqueue(self.machine.on_outcome_unknown(name, reason, time.time()))

    # ---- reports of the agents

    def _poll_interval_s(self, agent: str) -> float:
        """Return how often an agent is polled: often while something is awaited of it."""
        for name in self._names_by_agent[agent]:
            if self._steps.is_pending(name) or self._rollbacks.is_pending(name):
                return AWAITED_POLL_S
        if self._gate is None:
            return IDLE_POLL_S
        return max(GATE_POLL_S, len(self._names_by_agent) / GATE_POLLS_PER_S)

    async def _wait_for_update(self) -> None:
        """Wait for a report, or until it is time to check what has expired."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TICK_S):
                await self._watcher.updated.wait()
        self._watcher.updated.clear()

    def _view(self) -> FleetView:
        reports = {
            name: self._watcher.report(target.agent, target.instance)
            for name, target in self._targets.items()
        }
        return FleetView(reports, self.machine.statuses())

    def _take_reports(self) -> None:
        """Pass on which steps and rollbacks have ended by the agents' reports."""
        for name, target in self._targets.items():
            if not self._steps.is_pending(name) and not self._rollbacks.is_pending(name):
                continue
            report = self._watcher.report(target.agent, target.instance)
            if self._steps.is_pending(name):
                self._take_step_report(target, report)
            if self._rollbacks.is_pending(name):
                self._take_rollback_report(target, report)

    def _take_step_report(self, target: Target, report: step_report.Report | None) -> None:
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
            self._steps.cancel(target.name)
            self._resolving.discard(target.name)
            self._enqueue(self.machine.on_step_ended(target.name, result.outcome, result.reason))

    def _take_rollback_report(self, target: Target, report: step_report.Report | None) -> None:
        step = step_report.rollback_step_id(self.rollout, target.instance)
        result = step_report.step_result(report, step)
        if result is None:
            return
        self._rollbacks.cancel(target.name)
        if result.outcome is InstanceOutcome.APPLIED:
            self._enqueue(self.machine.on_rolled_back(target.name))
        else:
            self._fail_rollback(target.name, result.reason)

    def _expire_silent(self) -> None:
        """Give up on instances whose step or rollback has no known end in time."""
        now_s = time.monotonic()
        for name in {*self._steps.pop_expired(now_s), *self._rollbacks.pop_expired(now_s)}:
            self._resolving.discard(name)
            agent = self._targets[name].agent
            silent = self._watcher.is_silent(agent)
            reason = "its agent does not answer" if silent else "its step has no end"
            last_response_unix_s = self._watcher.last_response_unix_s(agent)
            self._enqueue(self.machine.on_outcome_unknown(name, reason, last_response_unix_s))

    # ---- the gate

    async def _run_gate(self, changed: tuple[Target, ...]) -> None:
        """Keep a gate open for its window.

        It begins and ends with a poll of all agents, so that no report is old.
        """
        await self._watcher.poll_all()
        gate = self._gate = GateWindow(
            self.rollout, changed, self._view(), self._options.gate_rules, time.monotonic()
        )
        await asyncio.sleep(self._options.window_s)
        if self._gate is gate:
            await self._watcher.poll_all()
            gate.ended = True

    def _evaluate_gate(self) -> None:
        gate, now_s = self._gate, time.monotonic()
        if gate is None or not gate.is_due(now_s):
            return
        self.gate_result = gate.evaluate(self._view(), self._counts_before_rollout, now_s)
        if self.gate_result.verdict is not Verdict.PENDING:
            self._gate = None
            self._enqueue(self.machine.on_gate_result(self.gate_result))


def _names_by_agent(targets: Mapping[str, Target]) -> dict[str, list[str]]:
    names: dict[str, list[str]] = defaultdict(list)
    for name, target in targets.items():
        names[target.agent].append(name)
    return names
