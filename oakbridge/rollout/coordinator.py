"""The shell of a rollout: sends steps, listens to the agents, keeps the lease and the journal.  It decides nothing."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from oakbridge.fleet import wire
from oakbridge.fleet.ask import Heard, Held, Operator
from oakbridge.fleet.health import unwell_because
from oakbridge.rollout import machine as m
from oakbridge.rollout import step_report
from oakbridge.rollout.agent_watcher import AgentWatcher
from oakbridge.rollout.change import Change, ChangeError, Drain, Files, ReplaceFiles
from oakbridge.rollout.gate import GateResult, GateRules, ResponseCounts, Verdict, evaluate
from oakbridge.rollout.journal import Journal
from oakbridge.rollout.plan import Target
from oakbridge.rollout.silence_timeout import SilenceTimeout

TICK_S = 0.25  # the longest wait between two looks at what has run out
LOOK_S, GATE_LOOK_S, IDLE_S = 0.25, 1.0, 5.0  # how often an agent is asked: awaited, in a gate, otherwise
JUDGE_S = 0.5  # the least time between two judgements of one gate
AGAIN_S = 0.5  # before a step without an answer is sent again
LEASE_S = 60.0
RENEW_S = 15.0


@dataclass(frozen=True, slots=True)
class RolloutOptions:
    """How patient a rollout is; times in seconds."""

    watch: float = 5.0  # an instance is watched for so long by its agent
    window: float = 10.0  # a gate looks for so long
    silent: float = 30.0  # beyond the watch, without news, an instance is unknown
    rules: GateRules = GateRules()


@dataclass(slots=True)
class Gate:
    """A gate that is open."""

    changed: tuple[Target, ...]
    before: dict[str, ResponseCounts]
    looked: float
    over: bool = False


class Coordinator:
    """Carries out one rollout."""

    def __init__(
        self, operator: Operator, journal: Journal, rollout: int, change: Change, record: m.RolloutRecord,
        held: Held, options: RolloutOptions, show: Callable[[Coordinator], None] = lambda _: None,
        sources: dict[str, int] | None = None,
    ) -> None:  # fmt: skip
        """``sources``: the generation that an instance's files are made from, where it is not what it runs."""
        self.operator, self.journal, self.rollout, self.change = operator, journal, rollout, change
        self.machine, self.held, self.options, self._show = m.RolloutMachine(record), held, options, show
        self.targets = {t.name: t for wave in record.waves for t in wave}
        self._sources = sources or {}
        self._granted = set(held.agents)
        self._of_agent: dict[str, list[str]] = {}
        for name, target in self.targets.items():
            self._of_agent.setdefault(target.agent, []).append(name)
        self.watcher = AgentWatcher(operator, tuple(self._of_agent), self._pace)
        self.gate_result: GateResult | None = None
        self._steps = SilenceTimeout(options.watch + options.silent)
        self._backs = SilenceTimeout(options.watch + options.silent)
        self._settling: set[str] = set()
        self._gate: Gate | None = None
        self._first: dict[str, ResponseCounts] = {}
        self._queue: deque[m.Action] = deque()
        self._tasks: set[asyncio.Task[None]] = set()
        self._raising = asyncio.Lock()  # one at a time asks for a higher token
        self._finished: m.Phase | None = None

    async def run(self) -> m.Phase:
        """Carry it through to its end, or to where it stands still."""
        await self.watcher.look_at_all()
        self._first = self._all_counts()
        self._do(self.machine.start())
        self.watcher.start()
        self._spawn(self._keep_lease())
        try:
            while True:
                self._work()
                self._show(self)
                if self._finished is not None and not self._queue:
                    return self._finished
                await self._next()
                self._news()
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            await self.watcher.close()

    async def _next(self) -> None:
        """Wait for news, or for the time of the next look."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TICK_S):
                await self.watcher.news.wait()
        self.watcher.news.clear()

    def _pace(self, agent: str) -> float:
        """How often this agent is asked, in seconds: often while something is awaited of it."""
        if any(self._steps.awaited(n) or self._backs.awaited(n) for n in self._of_agent[agent]):
            return LOOK_S
        return max(GATE_LOOK_S, len(self._of_agent) / 500) if self._gate is not None else IDLE_S

    def _do(self, actions: list[m.Action]) -> None:
        self._queue.extend(actions)
        self.watcher.news.set()

    def _spawn(self, what: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(what)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (problem := task.exception()) is not None:
            self._do(self.machine.stop(f"the tool failed: {problem}"))

    def _work(self) -> None:
        """Carry out what is asked, in order; whatever waits for an agent does so on its own."""
        kept = [action.record for action in self._queue if isinstance(action, m.Persist)]
        if kept:  # the last one speaks of all that is in the queue, and is on disk before any of it
            self.journal.keep(self.rollout, kept[-1])
        while self._queue:
            action = self._queue.popleft()
            if isinstance(action, m.SendStep):
                self._steps.await_(action.target.name, time.monotonic())
                self._spawn(self._send(action.target))
            elif isinstance(action, m.RollBack):
                self._backs.await_(action.target.name, time.monotonic())
                self._spawn(self._take_back(action.target))
            elif isinstance(action, m.ResolveStep):
                self._steps.await_(action.target.name, time.monotonic())
                self._settling.add(action.target.name)
                self._spawn(self._settle(action.target))
            elif isinstance(action, m.EvaluateGate):
                self._spawn(self._open_gate(action.changed))
            elif isinstance(action, m.Finish):
                self._finished = action.phase

    # ---- the lease

    async def _keep_lease(self) -> None:
        """Renew it; without a majority nothing more may be sent."""
        while True:
            await asyncio.sleep(RENEW_S)
            heard = await self.operator.ask_all(wire.Acquire(self.held.token, int(LEASE_S * 1e6), renew=True))
            if sum(1 for h in heard if h.status == 200) * 2 <= len(heard):
                taken = next((h for h in heard if h.status == 409 and h.answer.get("holder")), None)
                why = f"{taken.answer['holder']} has the lease" if taken else "too few agents answer"
                return self._do(self.machine.stop(f"the lease is lost: {why}"))

    async def _admit(self, agent: str) -> bool:
        """Whether our token is promised by an agent that did not grant it when we asked all; asked for here."""
        if agent in self._granted:
            return True
        heard = await self.operator.ask(agent, wire.Acquire(self.held.token, int(LEASE_S * 1e6)))
        if heard.status == 200:
            self._granted.add(agent)
            self.watcher.look(agent)
            return True
        # One that lost to us may have a part of the fleet for a moment, or have left a higher token there.  A higher
        # one of our own name is another tool of ours, which has taken over: that is never outbid.
        ended = heard.status == 409 and not heard.answer.get("ends_in_s")
        if ended and heard.answer.get("holder") != self.operator.name:
            await self._above(int(heard.answer["token"]))
        return False

    async def _above(self, number: int) -> int:
        """A token of ours above a number: the next one, if ours is not."""
        async with self._raising:
            if self.held.token <= number:
                self.held = await self.operator.higher(self.held, LEASE_S, number)
                self._granted = set(self.held.agents)
                if not self.held.won(len(self.operator.inventory.agents)):
                    self._do(self.machine.stop("the lease is lost: a higher token was not granted"))
            return self.held.token

    # ---- steps

    async def _files(self, target: Target) -> Files | str | None:
        """What the instance should run by, or why that can't be told; None without an answer."""
        number = self._sources.get(target.name, target.base)
        before: Files = {}
        if number and (target.drained or not isinstance(self.change, ReplaceFiles)):
            heard = await self.operator.ask(target.agent, wire.Fetch(target.instance, number))
            if heard.status != 200:
                return _refusal(heard)
            before = heard.answer["files"]
        try:
            return self.change.apply(before)
        except ChangeError as e:
            return str(e)

    async def _order(self, target: Target, order: wire.StepOrder) -> Heard:
        heard = await self.operator.ask(target.agent, order)
        self.watcher.look(target.agent)
        if heard.status == 409:
            async with self._raising:  # an agent may have the new token before we know that it is granted
                raised = self.held.token != order.token
            if raised:  # sent again under the new one
                return Heard(target.agent, error="our token has been raised meanwhile")
        return heard

    async def _send(self, target: Target) -> None:
        """Send the step until the agent has answered, or it is waited for no longer."""
        while self._steps.awaited(target.name):
            why = await self._try(target)
            if why is not None:
                if why:
                    self._steps.heard(target.name)
                    self._do(self.machine.on_step_ended(target.name, m.InstanceOutcome.NOT_APPLIED, why))
                return
            await asyncio.sleep(AGAIN_S)

    async def _try(self, target: Target) -> str | None:
        """Send the step once: "" if the agent has it, why it will not have it, or None without an answer."""
        if not await self._admit(target.agent):
            return None
        files = await self._files(target)
        if files is None or isinstance(files, str):
            return files
        order = wire.StepOrder(
            self.held.token, step_report.step_id(self.rollout, target.instance), target.instance, self.rollout,
            target.base, int(self.options.watch * 1e6), files,
        )  # fmt: skip
        return _refusal(await self._order(target, order))

    async def _settle(self, target: Target) -> None:
        """Have the agent promise our token, so that what it has not begun by then it never will."""
        while self._steps.awaited(target.name):
            await self._admit(target.agent)
            await asyncio.sleep(AGAIN_S)

    async def _take_back(self, target: Target) -> None:
        """A step like any other, with the files of the generation before, under a number of its own."""
        while self._backs.awaited(target.name):
            why = await self._try_back(target)
            if why is not None:
                if why:
                    self._backs.heard(target.name)
                    self._do(
                        self.machine.on_silence(target.name, f"it was not taken back: {why}", time.time())
                    )
                return
            await asyncio.sleep(AGAIN_S)

    async def _try_back(self, target: Target) -> str | None:
        base = target.base
        heard = await self.operator.ask(target.agent, wire.Fetch(target.instance, base or self.rollout))
        if heard.status != 200:
            return _refusal(heard)
        files: Files = heard.answer["files"]
        if not base:
            files = Drain("it ran nothing before").apply(files)
        token = await self._above(self.rollout)
        if not await self._admit(target.agent):
            return None
        order = wire.StepOrder(
            token, step_report.rollback_step_id(self.rollout, target.instance), target.instance, token, self.rollout,
            int(self.options.watch * 1e6), files,
        )  # fmt: skip
        return _refusal(await self._order(target, order))

    # ---- the gate

    async def _open_gate(self, changed: tuple[Target, ...]) -> None:
        """Look at all for a window; its first and last look are at everybody, so that nothing old counts."""
        await self.watcher.look_at_all()
        gate = self._gate = Gate(changed, self._all_counts(), time.monotonic())
        await asyncio.sleep(self.options.window)
        if self._gate is gate:
            await self.watcher.look_at_all()
            gate.over = True

    # ---- news

    def _row(self, target: Target) -> wire.Raw | None:
        return self.watcher.row(target.agent, target.instance)

    def _all_counts(self) -> dict[str, ResponseCounts]:
        return {name: self._counts(target) for name, target in self.targets.items()}

    def _counts(self, target: Target) -> ResponseCounts:
        row = self._row(target)
        told = row["node"].get("answers", {}) if row else {}
        return ResponseCounts(told.get("served", 0), told.get("refused", 0), told.get("failed", 0))

    def _news(self) -> None:
        """Tell the machine what has ended, what has gone silent, and what the gate says."""
        for name, target in self.targets.items():
            if self._steps.awaited(name):
                self._step_news(name, target, self._row(target))
            if self._backs.awaited(name):
                self._back_news(name, target, self._row(target))
        now = time.monotonic()
        for name in {*self._steps.run_out(now), *self._backs.run_out(now)}:
            self._settling.discard(name)
            agent = self.targets[name].agent
            reason = "its step has no end" if agent in self.watcher.heard else "its agent does not answer"
            self._do(self.machine.on_silence(name, reason, self.watcher.last_heard.get(agent, 0.0)))
        self._judge()

    def _step_news(self, name: str, target: Target, row: wire.Raw | None) -> None:
        step = step_report.step_id(self.rollout, target.instance)
        if name in self._settling:
            ended = step_report.resolved_result(
                row, step, self.watcher.promised(target.agent), self.held.token
            )
        else:
            ended = step_report.step_result(row, step)
        if ended is not None:
            self._steps.heard(name)
            self._settling.discard(name)
            self._do(self.machine.on_step_ended(name, *ended))

    def _back_news(self, name: str, target: Target, row: wire.Raw | None) -> None:
        ended = step_report.step_result(row, step_report.rollback_step_id(self.rollout, target.instance))
        if ended is None:
            return
        self._backs.heard(name)
        if ended[0] is m.InstanceOutcome.APPLIED:
            self._do(self.machine.on_rolled_back(name))
        else:
            self._do(self.machine.on_silence(name, f"it was not taken back: {ended[1]}", time.time()))

    def _judge(self) -> None:
        gate = self._gate
        if gate is None or (not gate.over and time.monotonic() - gate.looked < JUDGE_S):
            return
        gate.looked = time.monotonic()
        names = {t.name for t in gate.changed}
        now = {name: counts.since(gate.before[name]) for name, counts in self._all_counts().items()}
        mine = {name: counts for name, counts in now.items() if name in names}
        rows = self.machine.statuses()
        others = {
            n: c
            for n, c in now.items()
            if n not in names and rows[n].outcome is m.InstanceOutcome.NOT_REACHED
        }
        if not others:  # nobody is unchanged any more: what they answered before
            others = self._first
        unwell = {t.name: why for t in gate.changed if (why := unwell_because(self._row(t), self.rollout))}
        self.gate_result = evaluate(mine, others, unwell, self.options.rules, gate.over)
        if self.gate_result.word is not Verdict.PENDING:
            self._gate = None
            self._do(self.machine.on_gate_result(self.gate_result))


def _refusal(heard: Heard) -> str | None:
    """Why an agent will not do what was asked; "" if it will, None without an answer."""
    if not heard.status or heard.status >= 500:
        return None
    return str(heard.answer.get("error", heard.status)) if heard.status >= 400 else ""
