"""An operator's client: calls to one agent or to many, and the lease over a majority."""

from __future__ import annotations

import asyncio
import random
import ssl
from dataclasses import dataclass, field
from http import HTTPStatus

from oakbridge.fleet import quorum
from oakbridge.fleet.codec import US_PER_S, encode_request
from oakbridge.fleet.connection import AgentConnection
from oakbridge.fleet.errors import CallError
from oakbridge.fleet.inventory import Inventory
from oakbridge.fleet.messages import (
    JsonObject,
    LeaseRequest,
    ReleaseRequest,
    Request,
    StatusRequest,
)

MAX_CONCURRENT_CALLS = 64
CALL_TIMEOUT_S = 5.0
RELEASE_TIMEOUT_S = 1.5
# An agent that answers 5xx has decided nothing, as its disk fails for a moment: it is asked again.
UNAVAILABLE_RETRY_S = 0.3
UNAVAILABLE_RETRIES = 30
RELEASE_RETRIES = 5


@dataclass(frozen=True, slots=True)
class AgentResponse:
    """What one agent answered, or why there is no answer."""

    agent: str
    status: int = 0  # of HTTP; 0: no answer
    body: JsonObject = field(default_factory=dict)
    error: str = ""  # why there is no answer

    @property
    def ok(self) -> bool:
        """Whether the agent answered with what it was asked for."""
        return self.status == HTTPStatus.OK


@dataclass(frozen=True, slots=True)
class LeaseResult:
    """Which agents granted a lease under a token, and which did not."""

    token: int
    granted_by: tuple[str, ...]
    denied: tuple[AgentResponse, ...] = ()
    unanswered: tuple[AgentResponse, ...] = ()

    def has_majority(self, agent_count: int) -> bool:
        """Return whether a majority of so many agents granted it."""
        return len(self.granted_by) >= quorum.majority(agent_count)

    def rival_holders(self) -> tuple[str, ...]:
        """Return who holds the lease at the agents that denied it, once for each agent."""
        return tuple(r.body["holder"] for r in self.denied if r.body.get("ends_in_s"))


class FleetClient:
    """Calls a fleet's agents; keeps a connection to each of them from one call to the next."""

    def __init__(
        self,
        inventory: Inventory,
        tls: ssl.SSLContext,
        timeout_s: float = CALL_TIMEOUT_S,
        name: str = "",
    ) -> None:
        """Take the operator's certificate and name; the name breaks ties between two candidates."""
        self.inventory = inventory
        self.name = name
        self.timeout_s = timeout_s
        self._tls = tls
        self._slots = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        self._connections: dict[str, AgentConnection] = {}
        self._rng = random.Random()

    async def call(
        self, agent: str, request: Request, timeout_s: float | None = None
    ) -> AgentResponse:
        """Send a request to one agent."""
        connection = self._connection_to(agent)
        async with self._slots:
            try:
                response = await connection.call(
                    encode_request(request), timeout_s or self.timeout_s
                )
            except CallError as error:
                return AgentResponse(agent, error=str(error))
        return AgentResponse(agent, response.status, response.body)

    async def call_all(
        self,
        request: Request,
        agents: tuple[str, ...] | None = None,
        timeout_s: float | None = None,
    ) -> list[AgentResponse]:
        """Send a request to many agents at once, by default to all.

        The responses are in the order of the agents.
        """
        names = tuple(self.inventory.agents) if agents is None else agents
        calls = (self.call(name, request, timeout_s) for name in names)
        return list(await asyncio.gather(*calls))

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.close()

    async def acquire_lease(self, duration_s: float) -> LeaseResult:
        """Acquire the lease at a majority of the agents, or else give back what was granted."""
        round_index = 0
        while True:
            token = await self._highest_token() + 1
            result = await self._request_lease(token, duration_s)
            election = quorum.decide(self._votes(result), round_index)
            if election is quorum.ElectionResult.WON:
                return result
            await self.call_all(ReleaseRequest(token), result.granted_by)
            if election is quorum.ElectionResult.LOST:
                return result
            await asyncio.sleep(quorum.backoff_s(round_index, self._rng))
            round_index += 1

    async def raise_token(
        self, lease: LeaseResult, duration_s: float, above: int = 0
    ) -> LeaseResult:
        """Acquire a token above the lease's and ``above``, without releasing in between."""
        return await self._request_lease(max(lease.token, above) + 1, duration_s)

    async def release_lease(self, lease: LeaseResult) -> None:
        """Give the lease back; at an agent that does not answer soon it ends by itself."""
        request = ReleaseRequest(lease.token)
        responses = await self.call_all(request, lease.granted_by, RELEASE_TIMEOUT_S)
        for _ in range(RELEASE_RETRIES):
            if not _unavailable(responses):
                break
            await asyncio.sleep(UNAVAILABLE_RETRY_S)
            responses = await self._call_unavailable_again(request, responses, RELEASE_TIMEOUT_S)

    def _connection_to(self, agent: str) -> AgentConnection:
        connection = self._connections.get(agent)
        if connection is None:
            address = self.inventory.agents[agent]
            connection = AgentConnection(self._tls, self.inventory.name, agent, address)
            self._connections[agent] = connection
        return connection

    async def _highest_token(self) -> int:
        responses = await self.call_all(StatusRequest())
        return max((int(r.body["lease"]["token"]) for r in responses if r.ok), default=0)

    async def _request_lease(self, token: int, duration_s: float) -> LeaseResult:
        request = LeaseRequest(token, int(duration_s * US_PER_S))
        responses = await self.call_all(request)
        for _ in range(UNAVAILABLE_RETRIES):
            result = LeaseResult(
                token,
                granted_by=tuple(r.agent for r in responses if r.ok),
                denied=tuple(r for r in responses if r.status and not r.ok),
                unanswered=tuple(r for r in responses if not r.status),
            )
            if result.has_majority(len(responses)) or not _unavailable(responses):
                break
            await asyncio.sleep(UNAVAILABLE_RETRY_S)
            responses = await self._call_unavailable_again(request, responses)
        return result

    async def _call_unavailable_again(
        self, request: Request, responses: list[AgentResponse], timeout_s: float | None = None
    ) -> list[AgentResponse]:
        """Send a request again to the agents that could not decide; return all responses."""
        agents = tuple(r.agent for r in _unavailable(responses))
        again = await self.call_all(request, agents, timeout_s)
        by_agent = {r.agent: r for r in again}
        return [by_agent.get(r.agent, r) for r in responses]

    def _votes(self, result: LeaseResult) -> quorum.Votes:
        return quorum.Votes(
            self.name, len(self.inventory.agents), len(result.granted_by), result.rival_holders()
        )


def _unavailable(responses: list[AgentResponse]) -> list[AgentResponse]:
    return [r for r in responses if r.status >= HTTPStatus.INTERNAL_SERVER_ERROR]
