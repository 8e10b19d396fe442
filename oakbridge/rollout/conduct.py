"""The shell of a rollout: sends steps, listens to the agents, keeps the lease and the journal.  It decides nothing."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from oakbridge.fleet import messages
from oakbridge.fleet.client import AgentResponse, FleetClient, LeaseResult
from oakbridge.fleet.health import health_problem
from oakbridge.rollout import machine as m
from oakbridge.rollout import news
from oakbridge.rollout.change import BadChange, Change, Drain, Files, Whole
from oakbridge.rollout.gate import Counts, Judgement, Rules, Word, judge
from oakbridge.rollout.journal import Journal
from oakbridge.rollout.listen import Listener
from oakbridge.rollout.patience import Patience
from oakbridge.rollout.plan import Target

TICK_S = 0.25  # the longest wait between two looks at what has run out
LOOK_S, GATE_LOOK_S, IDLE_S = 0.25, 1.0, 5.0  # how often an agent is asked: awaited, in a gate, otherwise
JUDGE_S = 0.5  # the least time between two judgements of one gate
AGAIN_S = 0.5  # before a step without an answer is sent again
LEASE_S = 60.0
RENEW_S = 15.0


@dataclass(frozen=True, slots=True)
class Options:
    """How patient a rollout is; times in seconds."""

    watch: float = 5.0  # an instance is watched for so long by its agent
    window: float = 10.0  # a gate looks for so long
    silent: float = 30.0  # beyond the watch, without news, an instance is unknown
    rules: Rules = Rules()


@dataclass(slots=True)
class Gate:
    """A gate that is open."""

    changed: tuple[Target, ...]
    before: dict[str, Counts]
    looked: float
    over: bool = False


class Conductor:
    """Carries out one rollout."""

    def __init__(
        self, operator: FleetClient, journal: Journal, rollout: int, change: Change, record: m.Record,
        held: LeaseResult, options: Options, show: Callable[[Conductor], None] = lambda _: None,
        sources: dict[str, int] | None = None,
    ) -> None:  # fmt: skip
        """``sources``: the generation that an instance's files are made from, where it is not what it runs."""
        self.operator, self.journal, self.rollout, self.change = operator, journal, rollout, change
        self.machine, self.held, self.options, self._show = m.Rollout(record), held, options, show
        self.targets = {t.name: t for wave in record.waves for t in wave}
        self._sources = sources or {}
        self._granted = set(held.granted_by)
        self._of_agent: dict[str, list[str]] = {}
        for name, target in self.targets.items():
            self._of_agent.setdefault(target.agent, []).append(name)
        self.listener = Listener(operator, tuple(self._of_agent), self._pace)
        self.judgement: Judgement | None = None
        self._steps = Patience(options.watch + options.silent)
        self._backs = Patience(options.watch + options.silent)
        self._settling: set[str] = set()
        self._gate: Gate | None = None
        self._first: dict[str, Counts] = {}
        self._queue: deque[m.Action] = deque()
        self._tasks: set[asyncio.Task[None]] = set()
        self._raising = asyncio.Lock()  # one at a time asks for a higher token
        self._finished: m.Stage | None = None

    async def run(self) -> m.Stage:
        """Carry it through to its end, or to where it stands still."""
        await self.listener.look_at_all()
        self._first = self._all_counts()
        self._do(self.machine.begin())
        self.listener.start()
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
            await self.listener.close()

    async def _next(self) -> None:
        """Wait for news, or for the time of the next look."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TICK_S):
                await self.listener.news.wait()
        self.listener.news.clear()

    def _pace(self, agent: str) -> float:
        """How often this agent is asked, in seconds: often while something is awaited of it."""
        if any(self._steps.awaited(n) or self._backs.awaited(n) for n in self._of_agent[agent]):
            return LOOK_S
        return max(GATE_LOOK_S, len(self._of_agent) / 500) if self._gate is not None else IDLE_S

    def _do(self, actions: list[m.Action]) -> None:
        self._queue.extend(actions)
        self.listener.news.set()

    def _spawn(self, what: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(what)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (problem := task.exception()) is not None:
            self._do(self.machine.stopped(f"the tool failed: {problem}"))

    def _work(self) -> None:
        """Carry out what is asked, in order; whatever waits for an agent does so on its own."""
        kept = [action.record for action in self._queue if isinstance(action, m.Keep)]
        if kept:  # the last one speaks of all that is in the queue, and is on disk before any of it
            self.journal.keep(self.rollout, kept[-1])
        while self._queue:
            action = self._queue.popleft()
            if isinstance(action, m.Send):
                self._steps.await_(action.target.name, time.monotonic())
                self._spawn(self._send(action.target))
            elif isinstance(action, m.TakeBack):
                self._backs.await_(action.target.name, time.monotonic())
                self._spawn(self._take_back(action.target))
            elif isinstance(action, m.Settle):
                self._steps.await_(action.target.name, time.monotonic())
                self._settling.add(action.target.name)
                self._spawn(self._settle(action.target))
            elif isinstance(action, m.Judge):
                self._spawn(self._open_gate(action.changed))
            elif isinstance(action, m.Finish):
                self._finished = action.stage

    # ---- the lease

    async def _keep_lease(self) -> None:
        """Renew it; without a majority nothing more may be sent."""
        while True:
            await asyncio.sleep(RENEW_S)
            heard = await self.operator.call_all(
                messages.LeaseRequest(self.held.token, int(LEASE_S * 1e6), renew=True)
            )
            if sum(1 for h in heard if h.status == 200) * 2 <= len(heard):
                taken = next((h for h in heard if h.status == 409 and h.body.get("holder")), None)
                why = f"{taken.body['holder']} has the lease" if taken else "too few agents answer"
                return self._do(self.machine.stopped(f"the lease is lost: {why}"))

    async def _admit(self, agent: str) -> bool:
        """Whether our token is promised by an agent that did not grant it when we asked all; asked for here."""
        if agent in self._granted:
            return True
        heard = await self.operator.call(agent, messages.LeaseRequest(self.held.token, int(LEASE_S * 1e6)))
        if heard.status == 200:
            self._granted.add(agent)
            self.listener.look(agent)
            return True
        # One that lost to us may have a part of the fleet for a moment, or have left a higher token there.  A higher
        # one of our own name is another tool of ours, which has taken over: that is never outbid.
        ended = heard.status == 409 and not heard.body.get("ends_in_s")
        if ended and heard.body.get("holder") != self.operator.name:
            await self._above(int(heard.body["token"]))
        return False

    async def _above(self, number: int) -> int:
        """A token of ours above a number: the next one, if ours is not."""
        async with self._raising:
            if self.held.token <= number:
                self.held = await self.operator.raise_token(self.held, LEASE_S, number)
                self._granted = set(self.held.granted_by)
                if not self.held.has_majority(len(self.operator.inventory.agents)):
                    self._do(self.machine.stopped("the lease is lost: a higher token was not granted"))
            return self.held.token

    # ---- steps

    async def _files(self, target: Target) -> Files | str | None:
        """What the instance should run by, or why that can't be told; None without an answer."""
        number = self._sources.get(target.name, target.base)
        before: Files = {}
        if number and (target.drained or not isinstance(self.change, Whole)):
            heard = await self.operator.call(target.agent, messages.FilesRequest(target.instance, number))
            if heard.status != 200:
                return _refusal(heard)
            before = heard.body["files"]
        try:
            return self.change.after(before)
        except BadChange as e:
            return str(e)

    async def _order(self, target: Target, order: messages.StepRequest) -> AgentResponse:
        heard = await self.operator.call(target.agent, order)
        self.listener.look(target.agent)
        if heard.status == 409:
            async with self._raising:  # an agent may have the new token before we know that it is granted
                raised = self.held.token != order.token
            if raised:  # sent again under the new one
                return AgentResponse(target.agent, error="our token has been raised meanwhile")
        return heard

    async def _send(self, target: Target) -> None:
        """Send the step until the agent has answered, or it is waited for no longer."""
        while self._steps.awaited(target.name):
            why = await self._try(target)
            if why is not None:
                if why:
                    self._steps.heard(target.name)
                    self._do(self.machine.ended(target.name, m.Fate.DID_NOT, why))
                return
            await asyncio.sleep(AGAIN_S)

    async def _try(self, target: Target) -> str | None:
        """Send the step once: "" if the agent has it, why it will not have it, or None without an answer."""
        if not await self._admit(target.agent):
            return None
        files = await self._files(target)
        if files is None or isinstance(files, str):
            return files
        order = messages.StepRequest(
            self.held.token, news.step_id(self.rollout, target.instance), target.instance, self.rollout,
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
                    self._do(self.machine.silent(target.name, f"it was not taken back: {why}", time.time()))
                return
            await asyncio.sleep(AGAIN_S)

    async def _try_back(self, target: Target) -> str | None:
        base = target.base
        heard = await self.operator.call(
            target.agent, messages.FilesRequest(target.instance, base or self.rollout)
        )
        if heard.status != 200:
            return _refusal(heard)
        files: Files = heard.body["files"]
        if not base:
            files = Drain("it ran nothing before").after(files)
        token = await self._above(self.rollout)
        if not await self._admit(target.agent):
            return None
        order = messages.StepRequest(
            token, news.back_id(self.rollout, target.instance), target.instance, token, self.rollout,
            int(self.options.watch * 1e6), files,
        )  # fmt: skip
        return _refusal(await self._order(target, order))

    # ---- the gate

    async def _open_gate(self, changed: tuple[Target, ...]) -> None:
        """Look at all for a window; its first and last look are at everybody, so that nothing old counts."""
        await self.listener.look_at_all()
        gate = self._gate = Gate(changed, self._all_counts(), time.monotonic())
        await asyncio.sleep(self.options.window)
        if self._gate is gate:
            await self.listener.look_at_all()
            gate.over = True

    # ---- news

    def _row(self, target: Target) -> messages.JsonObject | None:
        return self.listener.row(target.agent, target.instance)

    def _all_counts(self) -> dict[str, Counts]:
        return {name: self._counts(target) for name, target in self.targets.items()}

    def _counts(self, target: Target) -> Counts:
        row = self._row(target)
        told = row["node"].get("answers", {}) if row else {}
        return Counts(told.get("served", 0), told.get("refused", 0), told.get("failed", 0))

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
            reason = "its step has no end" if agent in self.listener.heard else "its agent does not answer"
            self._do(self.machine.silent(name, reason, self.listener.last_heard.get(agent, 0.0)))
        self._judge()

    def _step_news(self, name: str, target: Target, row: messages.JsonObject | None) -> None:
        step = news.step_id(self.rollout, target.instance)
        if name in self._settling:
            ended = news.settled(row, step, self.listener.promised(target.agent), self.held.token)
        else:
            ended = news.ended(row, step)
        if ended is not None:
            self._steps.heard(name)
            self._settling.discard(name)
            self._do(self.machine.ended(name, *ended))

    def _back_news(self, name: str, target: Target, row: messages.JsonObject | None) -> None:
        ended = news.ended(row, news.back_id(self.rollout, target.instance))
        if ended is None:
            return
        self._backs.heard(name)
        if ended[0] is m.Fate.TOOK:
            self._do(self.machine.taken_back(name))
        else:
            self._do(self.machine.silent(name, f"it was not taken back: {ended[1]}", time.time()))

    def _judge(self) -> None:
        gate = self._gate
        if gate is None or (not gate.over and time.monotonic() - gate.looked < JUDGE_S):
            return
        gate.looked = time.monotonic()
        names = {t.name for t in gate.changed}
        now = {name: counts.since(gate.before[name]) for name, counts in self._all_counts().items()}
        mine = {name: counts for name, counts in now.items() if name in names}
        rows = self.machine.report()
        others = {n: c for n, c in now.items() if n not in names and rows[n].fate is m.Fate.WAITS}
        if not others:  # nobody is unchanged any more: what they answered before
            others = self._first
        unwell = {t.name: why for t in gate.changed if (why := health_problem(self._row(t), self.rollout))}
        self.judgement = judge(mine, others, unwell, self.options.rules, gate.over)
        if self.judgement.word is not Word.WAIT:
            self._gate = None
            self._do(self.machine.judged(self.judgement))


def _refusal(heard: AgentResponse) -> str | None:
    """Why an agent will not do what was asked; "" if it will, None without an answer."""
    if not heard.status or heard.status >= 500:
        return None
    return str(heard.body.get("error", heard.status)) if heard.status >= 400 else ""
