"""Listens to the agents of a rollout: each is asked again and again on its own, so a silent one holds up nobody."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from oakbridge.fleet import messages
from oakbridge.fleet.client import AgentResponse, FleetClient

STEP_S = 0.25  # the shortest pace
LOOK_WITHIN_S = 1.5  # an agent that takes longer is asked again
MISSES = 3  # an agent that did not answer so many times in a row is silent: one lost answer halts no rollout


class Listener:
    """What each agent said last; :attr:`news` is set with each answer."""

    def __init__(self, operator: FleetClient, agents: tuple[str, ...], pace: Callable[[str], float]) -> None:
        """``pace``: how many seconds to wait between two looks at this agent; asked anew all the time."""
        self._operator, self._pace = operator, pace
        self.agents = agents
        self.heard: dict[str, AgentResponse] = {}  # of those that answered when they were asked last
        self.last_heard: dict[str, float] = {}  # Unix time
        self._misses: dict[str, int] = {}  # asks in a row without an answer
        self.news = asyncio.Event()
        self._wake = {agent: asyncio.Event() for agent in agents}
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin."""
        self._tasks = [asyncio.create_task(self._follow(agent)) for agent in self.agents]

    async def close(self) -> None:
        """Listen no more."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def look(self, agent: str) -> None:
        """Ask this one now."""
        self._wake[agent].set()

    async def look_at_all(self) -> None:
        """Ask once, and wait for what they say, all but those that did not answer when they were asked last."""
        asked = [agent for agent in self.agents if agent in self.heard or not self._tasks]
        await asyncio.gather(*(self._look(agent) for agent in asked))

    def row(self, agent: str, instance: str) -> messages.JsonObject | None:
        """What is known of an instance; None where its agent did not answer."""
        heard = self.heard.get(agent)
        rows = heard.body["instances"] if heard is not None else []
        return next((row for row in rows if row["name"] == instance), None)

    def promised(self, agent: str) -> int:
        """The highest token that the agent has promised, as far as is known."""
        heard = self.heard.get(agent)
        return int(heard.body["lease"]["token"]) if heard is not None else 0

    async def _look(self, agent: str) -> None:
        """Ask until it has answered, or is silent."""
        while not await self._ask(agent) and agent in self.heard:
            pass

    async def _ask(self, agent: str) -> bool:
        heard = await self._operator.call(agent, messages.StatusRequest(), LOOK_WITHIN_S)
        answers = heard.status == 200
        self._misses[agent] = 0 if answers else self._misses.get(agent, 0) + 1
        if answers:
            self.heard[agent] = heard
            self.last_heard[agent] = time.time()
        elif self._misses[agent] >= MISSES:
            self.heard.pop(agent, None)
        self.news.set()
        return answers

    async def _follow(self, agent: str) -> None:
        wake, waited = self._wake[agent], 0.0
        while True:
            try:
                async with asyncio.timeout(STEP_S):  # wait_for may swallow a cancellation (Python 3.11)
                    await wake.wait()
            except TimeoutError:
                waited += STEP_S
                if waited < self._pace(agent):
                    continue
            wake.clear()
            waited = 0.0
            await self._ask(agent)
