"""The shell of a rollout: sends steps, listens to the agents, keeps the lease and the journal.  It decides nothing."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from oakbridge.fleet import wire
from oakbridge.fleet.ask import Heard, Held, Operator
from oakbridge.rollout import machine as m
from oakbridge.rollout.gate import Counts, Judgement, Rules, Word, judge, unwell_because
from oakbridge.rollout.journal import Journal
from oakbridge.rollout.plan import Target

LOOK_S = 0.5  # how often the agents are asked
LOOK_WITHIN_S = 1.5  # an agent that takes longer is asked again: it must not hold the others up
LEASE_S = 60.0
RENEW_S = 15.0
ENDS = {"took it": m.Fate.TOOK, "did not": m.Fate.DID_NOT, "undone": m.Fate.UNDONE}


@dataclass(frozen=True, slots=True)
class Options:
    """How patient a rollout is; times in seconds."""

    watch: float = 5.0  # an instance is watched for so long by its agent
    window: float = 10.0  # a gate looks for so long
    silent: float = 30.0  # beyond the watch, without news, an instance is unknown
    rules: Rules = Rules()


class Conductor:
    """Carries out one rollout."""

    def __init__(
        self, operator: Operator, journal: Journal, rollout: int, files: dict[str, str], record: m.Record,
        held: Held, options: Options, show: Callable[[Conductor], None] = lambda _: None,
    ) -> None:  # fmt: skip
        self.operator, self.journal, self.rollout, self.files = operator, journal, rollout, files
        self.machine, self.held, self.options, self._show = m.Rollout(record), held, options, show
        self.heard: dict[str, Heard] = {}
        self.last_heard: dict[str, float] = {}
        self.judgement: Judgement | None = None
        self._sent: dict[str, float] = {}  # instances that news is awaited of, since when
        self._back: dict[
            str, tuple[int, float]
        ] = {}  # those that are taken back: under which token, since when
        self._gate: tuple[tuple[Target, ...], dict[str, Counts], float] | None = None
        self._first: dict[str, Counts] = {}
        self._queue: deque[m.Action] = deque()
        self._finished: m.Stage | None = None

    async def run(self) -> m.Stage:
        """Carry it through to its end, or to where it stands still."""
        renewed = time.monotonic()
        await self._look()
        self._first = {name: self._counts(name) for name in self.machine.report()}
        self._do(self.machine.begin())
        while True:
            await self._work()
            self._show(self)
            if self._finished is not None and not self._queue:
                return self._finished
            await asyncio.sleep(LOOK_S)
            if time.monotonic() - renewed > RENEW_S:
                renewed = time.monotonic()
                await self._renew()
            await self._look()
            self._news()

    def _do(self, actions: list[m.Action]) -> None:
        self._queue.extend(actions)

    async def _work(self) -> None:
        while self._queue:
            action = self._queue.popleft()
            if isinstance(action, m.Keep):
                self.journal.keep(self.rollout, action.record)
            elif isinstance(action, m.Send):
                await self._send(action.target)
            elif isinstance(action, m.TakeBack):
                await self._take_back(action.target)
            elif isinstance(action, m.Judge):
                self._gate = (
                    action.changed,
                    {name: self._counts(name) for name in self.machine.report()},
                    time.monotonic(),
                )
            else:
                self._finished = action.stage

    async def _renew(self) -> None:
        """Keep the lease; without a majority nothing more may be sent."""
        request = wire.Acquire(self.held.token, int(LEASE_S * 1e6), renew=True)
        heard = await self.operator.ask_all(request)
        taken = next((h for h in heard if h.status == 409 and h.answer.get("holder")), None)
        if sum(1 for h in heard if h.status == 200) * 2 <= len(heard):
            why = f"{taken.answer['holder']} has the lease" if taken else "too few agents answer"
            self._do(self.machine.stopped(f"the lease is lost: {why}"))

    # ---- steps

    def step_id(self, target: Target) -> str:
        """The same at every sending: an agent knows a step by it."""
        return f"r{self.rollout}-{target.instance}"

    async def _send(self, target: Target) -> None:
        self._sent.setdefault(target.name, time.monotonic())
        order = wire.StepOrder(
            self.held.token, self.step_id(target), target.instance, self.rollout, target.base,
            int(self.options.watch * 1e6), self.files,
        )  # fmt: skip
        heard = await self.operator.ask(target.agent, order)
        if heard.status in (400, 403, 404, 409):
            self._sent.pop(target.name, None)
            self._do(
                self.machine.ended(target.name, m.Fate.DID_NOT, str(heard.answer.get("error", heard.status)))
            )

    async def _take_back(self, target: Target) -> None:
        """A step like any other, with the files of the generation before, under a number of its own."""
        row = self._instance(target)
        previous = int(row["previous"]) if row else target.base
        files = await self.operator.ask(target.agent, wire.Fetch(target.instance, previous))
        if files.status != 200:
            return self._do(
                self.machine.silent(
                    target.name, files.error or "what it ran before is not there", time.time()
                )
            )
        token = self.held.token
        if token <= self.rollout:
            self.held = await self.operator.higher(self.held, LEASE_S)
            token = self.held.token
        order = wire.StepOrder(
            token, f"r{self.rollout}-back-{target.instance}", target.instance, token, self.rollout,
            int(self.options.watch * 1e6), files.answer["files"],
        )  # fmt: skip
        self._back.setdefault(target.name, (token, time.monotonic()))
        await self.operator.ask(target.agent, order)

    # ---- news

    async def _look(self) -> None:
        agents = tuple(dict.fromkeys(t.agent for wave in self.machine.record.waves for t in wave))
        for heard in await self.operator.ask_all(wire.Status(), agents, LOOK_WITHIN_S):
            if heard.status == 200:
                self.heard[heard.agent] = heard
                self.last_heard[heard.agent] = time.time()
            else:
                self.heard.pop(heard.agent, None)

    def _instance(self, target: Target) -> wire.Raw | None:
        heard = self.heard.get(target.agent)
        rows = heard.answer["instances"] if heard is not None else []
        return next((row for row in rows if row["name"] == target.instance), None)

    def _targets(self) -> dict[str, Target]:
        return {t.name: t for wave in self.machine.record.waves for t in wave}

    def _counts(self, name: str) -> Counts:
        row = self._instance(self._targets()[name])
        told = row["node"].get("answers", {}) if row else {}
        return Counts(told.get("served", 0), told.get("refused", 0), told.get("failed", 0))

    def _news(self) -> None:
        """Tell the machine what has ended, what has gone silent, and what the gate says."""
        for name, target in self._targets().items():
            row = self._instance(target)
            outcomes = {step: (verdict, reason) for step, verdict, reason in row["outcomes"]} if row else {}
            if (ended := outcomes.get(self.step_id(target))) is not None:
                self._sent.pop(name, None)
                self._do(self.machine.ended(name, ENDS[ended[0]], ended[1]))
            if (
                name in self._back
                and (ended := outcomes.get(f"r{self.rollout}-back-{target.instance}")) is not None
            ):
                del self._back[name]
                if ended[0] == "took it":
                    self._do(self.machine.taken_back(name))
                else:
                    self._do(self.machine.silent(name, f"it was not taken back: {ended[1]}", time.time()))
            self._silence(name, target, row is not None)
        self._judge()

    def _silence(self, name: str, target: Target, heard: bool) -> None:
        since = self._sent.get(name) or (self._back[name][1] if name in self._back else None)
        patience = self.options.watch + self.options.silent
        if since is None or time.monotonic() - since < patience:
            return
        self._sent.pop(name, None)
        self._back.pop(name, None)
        last = self.last_heard.get(target.agent, 0.0)
        reason = "its step has no end" if heard else "its agent does not answer"
        self._do(self.machine.silent(name, reason, last))

    def _judge(self) -> None:
        if self._gate is None:
            return
        changed, before, begun = self._gate
        over = time.monotonic() - begun >= self.options.window
        names = {t.name for t in changed}
        now = {name: self._counts(name).since(before[name]) for name in before}
        mine = {name: counts for name, counts in now.items() if name in names}
        others = {
            n: c for n, c in now.items() if n not in names and self.machine.report()[n].fate is m.Fate.WAITS
        }
        if not others:  # nobody is unchanged any more: what they answered before
            others = self._first
        unwell = {t.name: why for t in changed if (why := unwell_because(self._instance(t), self.rollout))}
        self.judgement = judge(mine, others, unwell, self.options.rules, over)
        if self.judgement.word is not Word.WAIT:
            self._gate = None
            self._do(self.machine.judged(self.judgement))
