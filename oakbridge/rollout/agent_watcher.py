"""Polls the agents of a rollout, each in a task of its own, so that a silent one delays nobody."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from oakbridge.fleet import messages
from oakbridge.fleet.client import AgentResponse, FleetClient
from oakbridge.rollout.step_report import Report

POLL_STEP_S = 0.25  # the shortest poll interval
RESPONSE_TIMEOUT_S = 1.5  # an agent that takes longer is polled again
MAX_MISSES = 3  # polls in a row without an answer until an agent is silent


class AgentWatcher:
    """The last response of each agent; :attr:`updated` is set with each new one."""

    def __init__(
        self,
        operator: FleetClient,
        agents: tuple[str, ...],
        poll_interval_s: Callable[[str], float],
    ) -> None:
        """Watch these agents; ``poll_interval_s`` is called anew for each wait."""
        self._operator = operator
        self._poll_interval_s = poll_interval_s
        self._agents = agents
        self._responses: dict[str, AgentResponse] = {}  # of the agents that are not silent
        self._last_response_unix_s: dict[str, float] = {}
        self._misses: dict[str, int] = {}
        self._poll_requested = {agent: asyncio.Event() for agent in agents}
        self._tasks: list[asyncio.Task[None]] = []
        self.updated = asyncio.Event()

    def start(self) -> None:
        """Start to poll."""
        self._tasks = [asyncio.create_task(self._watch(agent)) for agent in self._agents]

    async def close(self) -> None:
        """Stop to poll."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def request_poll(self, agent: str) -> None:
        """Have an agent polled without waiting for its interval."""
        self._poll_requested[agent].set()

    async def poll_all(self) -> None:
        """Poll every agent that is not silent, and wait for the responses."""
        polled = [agent for agent in self._agents if agent in self._responses or not self._tasks]
        await asyncio.gather(*(self._poll_until_answered(agent) for agent in polled))

    def is_silent(self, agent: str) -> bool:
        """Return whether an agent has not answered lately."""
        return agent not in self._responses

    def last_response_unix_s(self, agent: str) -> float:
        """Return when an agent answered last, or 0 if it never did."""
        return self._last_response_unix_s.get(agent, 0.0)

    def report(self, agent: str, instance: str) -> Report | None:
        """Return the last report on an instance; None if the agent is silent or has none."""
        response = self._responses.get(agent)
        reports = response.body["instances"] if response is not None else []
        return next((report for report in reports if report["name"] == instance), None)

    def promised_token(self, agent: str) -> int:
        """Return the highest fencing token that the agent is known to have promised."""
        response = self._responses.get(agent)
        return int(response.body["lease"]["token"]) if response is not None else 0

    async def _poll_until_answered(self, agent: str) -> None:
        """Poll until the agent has answered, or is silent."""
        while not await self._poll(agent) and not self.is_silent(agent):
            pass

    async def _poll(self, agent: str) -> bool:
        response = await self._operator.call(agent, messages.StatusRequest(), RESPONSE_TIMEOUT_S)
        answered = response.status == 200
        self._misses[agent] = 0 if answered else self._misses.get(agent, 0) + 1
        if answered:
            self._responses[agent] = response
            self._last_response_unix_s[agent] = time.time()
        elif self._misses[agent] >= MAX_MISSES:
            self._responses.pop(agent, None)
        self.updated.set()
        return answered

    async def _watch(self, agent: str) -> None:
        poll_requested, waited_s = self._poll_requested[agent], 0.0
        while True:
            try:
                # asyncio.wait_for may swallow a cancellation (Python 3.11).
                async with asyncio.timeout(POLL_STEP_S):
                    await poll_requested.wait()
            except TimeoutError:
                waited_s += POLL_STEP_S
                if waited_s < self._poll_interval_s(agent):
                    continue
            poll_requested.clear()
            waited_s = 0.0
            await self._poll(agent)
