"""Polls the agents of a rollout, each in its own task, so that silent ones do not delay others."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from oakbridge.fleet import messages
from oakbridge.fleet.client import AgentResponse, FleetClient
from oakbridge.rollout.step_report import Report

MIN_POLL_INTERVAL_S = 0.25  # the shortest poll interval; a longer one is rounded up to a multiple
RESPONSE_TIMEOUT_S = 1.5  # an agent that does not respond within this time is polled again
MAX_MISSED_POLLS = 3  # consecutive polls without a response until an agent is silent


class AgentWatcher:
    """Keeps the last response of each agent; :attr:`updated` is set after each poll."""

    def __init__(
        self,
        operator: FleetClient,
        agents: tuple[str, ...],
        poll_interval_s: Callable[[str], float],
    ) -> None:
        """Watch these agents; ``poll_interval_s`` returns an agent's present interval."""
        self._operator = operator
        self._poll_interval_s = poll_interval_s
        self._agents = agents
        self._responses: dict[str, AgentResponse] = {}  # only agents that are not silent
        self._last_response_unix_s: dict[str, float] = {}
        self._missed_polls: dict[str, int] = {}
        self._poll_requested = {agent: asyncio.Event() for agent in agents}
        self._tasks: list[asyncio.Task[None]] = []
        self.updated = asyncio.Event()

    def start(self) -> None:
        """Start polling."""
        self._tasks = [asyncio.create_task(self._watch(agent)) for agent in self._agents]

    async def close(self) -> None:
        """Stop polling."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def request_poll(self, agent: str) -> None:
        """Poll an agent without waiting for the end of its interval."""
        self._poll_requested[agent].set()

    async def poll_all(self) -> None:
        """Poll every agent that is not silent, and wait for the responses."""
        polled = [agent for agent in self._agents if agent in self._responses or not self._tasks]
        await asyncio.gather(*(self._poll_until_response(agent) for agent in polled))

    def is_silent(self, agent: str) -> bool:
        """Return whether an agent has missed too many polls in a row, or never responded."""
        return agent not in self._responses

    def last_response_unix_s(self, agent: str) -> float:
        """Return the Unix time of an agent's last response in seconds, or 0 if there is none."""
        return self._last_response_unix_s.get(agent, 0.0)

    def report(self, agent: str, instance: str) -> Report | None:
        """Return the last report on an instance; None if its agent is silent or has none."""
        response = self._responses.get(agent)
        reports = response.body["instances"] if response is not None else []
        return next((report for report in reports if report["name"] == instance), None)

    def promised_token(self, agent: str) -> int:
        """Return the highest fencing token that an agent has promised; 0 if the agent is silent."""
        response = self._responses.get(agent)
        return int(response.body["lease"]["token"]) if response is not None else 0

    async def _poll_until_response(self, agent: str) -> None:
        """Poll until the agent responds or is silent."""
        while not await self._poll(agent) and not self.is_silent(agent):
            pass

    async def _poll(self, agent: str) -> bool:
        response = await self._operator.call(agent, messages.StatusRequest(), RESPONSE_TIMEOUT_S)
        has_responded = response.status == 200
        self._missed_polls[agent] = 0 if has_responded else self._missed_polls.get(agent, 0) + 1
        if has_responded:
            self._responses[agent] = response
            self._last_response_unix_s[agent] = time.time()
        elif self._missed_polls[agent] >= MAX_MISSED_POLLS:
            self._responses.pop(agent, None)
        self.updated.set()
        return has_responded

    async def _watch(self, agent: str) -> None:
        poll_requested, waited_s = self._poll_requested[agent], 0.0
        while True:
            try:
                # Not asyncio.wait_for, which may swallow a cancellation in Python 3.11.
                async with asyncio.timeout(MIN_POLL_INTERVAL_S):
                    await poll_requested.wait()
            except TimeoutError:
                waited_s += MIN_POLL_INTERVAL_S
                if waited_s < self._poll_interval_s(agent):
                    continue
            poll_requested.clear()
            waited_s = 0.0
            await self._poll(agent)
