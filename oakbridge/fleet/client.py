"""An operator's client: calls to one or several agents, and the lease of a majority of them."""

from __future__ import annotations

import asyncio
import random
import ssl
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TypeVar

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
# Before a retry at agents that responded with 5xx: an agent whose disk fails with a transient error
# decides nothing.
UNAVAILABLE_RETRY_DELAY_S = 0.3
MAX_LEASE_RETRIES = 30  # of a lease request at agents that responded with 5xx
MAX_RELEASE_RETRIES = 5  # of a release at agents that responded with 5xx

Result = TypeVar("Result")


@dataclass(frozen=True, slots=True)
class AgentResponse:
    """One agent's response to a call, or why there is none."""

    agent: str
    status: int = 0  # the HTTP status; 0 without a response
    body: JsonObject = field(default_factory=dict)
    error: str = ""  # why there is no response

    @property
    def ok(self) -> bool:
        """Whether the response has status 200."""
        return self.status == HTTPStatus.OK


@dataclass(frozen=True, slots=True)
class LeaseResult:
    """Which agents granted the lease with a token, denied it, or did not respond."""

    token: int
    granted_by: tuple[str, ...]
    denied: tuple[AgentResponse, ...] = ()
    unanswered: tuple[AgentResponse, ...] = ()

    def has_majority(self, agent_count: int) -> bool:
        """Return whether a majority of ``agent_count`` agents granted the lease."""
        return len(self.granted_by) >= quorum.majority(agent_count)

    def rival_holders(self) -> tuple[str, ...]:
        """Return the holder at each agent that denied the lease because another operator has it."""
        return tuple(
            response.body["holder"] for response in self.denied if response.body.get("ends_in_s")
        )


class FleetClient:
    """Calls a fleet's agents, over one persistent connection to each."""

    def __init__(
        self,
        inventory: Inventory,
        tls: ssl.SSLContext,
        timeout_s: float = CALL_TIMEOUT_S,
        name: str = "",
    ) -> None:
        """``tls`` has the operator's certificate.  ``name`` decides a tie of two operators."""
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
        """Send a request to one agent; the result has the reason if there is no response."""
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
        """Send a request to several agents concurrently, by default to all.

        The responses are in the order of the agents.
        """
        names = tuple(self.inventory.agents) if agents is None else agents
        calls = (self.call(name, request, timeout_s) for name in names)
        return list(await asyncio.gather(*calls))

    async def __aenter__(self) -> FleetClient:
        """Return the client; its connections close when the block ends."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close all connections, while their event loop runs."""
        self.close()

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.close()

    async def acquire_lease(self, duration_s: float) -> LeaseResult:
        """Acquire the lease at a majority of the agents; on failure, release what was granted."""
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
        """Acquire the lease with a token above its own and ``above``, without releasing it."""
        return await self._request_lease(max(lease.token, above) + 1, duration_s)

    async def release_lease(self, lease: LeaseResult) -> None:
        """Release the lease; at an agent that does not respond in time, it expires."""
        request = ReleaseRequest(lease.token)
        responses = await self.call_all(request, lease.granted_by, RELEASE_TIMEOUT_S)
        for _ in range(MAX_RELEASE_RETRIES):
            if not _unavailable_responses(responses):
                break
            await asyncio.sleep(UNAVAILABLE_RETRY_DELAY_S)
            responses = await self._retry_unavailable(request, responses, RELEASE_TIMEOUT_S)

    def _connection_to(self, agent: str) -> AgentConnection:
        connection = self._connections.get(agent)
        if connection is None:
            address = self.inventory.agents[agent]
            connection = AgentConnection(self._tls, self.inventory.name, agent, address)
            self._connections[agent] = connection
        return connection

    async def _highest_token(self) -> int:
        responses = await self.call_all(StatusRequest())
        return max(
            (int(response.body["lease"]["token"]) for response in responses if response.ok),
            default=0,
        )

    async def _request_lease(self, token: int, duration_s: float) -> LeaseResult:
        request = LeaseRequest(token, int(duration_s * US_PER_S))
        responses = await self.call_all(request)
        for _ in range(MAX_LEASE_RETRIES):
            result = LeaseResult(
                token,
                granted_by=tuple(response.agent for response in responses if response.ok),
                denied=tuple(
                    response for response in responses if response.status and not response.ok
                ),
                unanswered=tuple(response for response in responses if not response.status),
            )
            if result.has_majority(len(responses)) or not _unavailable_responses(responses):
                break
            await asyncio.sleep(UNAVAILABLE_RETRY_DELAY_S)
            responses = await self._retry_unavailable(request, responses)
        return result

    async def _retry_unavailable(
        self, request: Request, responses: list[AgentResponse], timeout_s: float | None = None
    ) -> list[AgentResponse]:
        """Retry a request at the agents that responded with 5xx; return the latest responses."""
        agents = tuple(response.agent for response in _unavailable_responses(responses))
        retried = await self.call_all(request, agents, timeout_s)
        by_agent = {response.agent: response for response in retried}
        return [by_agent.get(response.agent, response) for response in responses]

    def _votes(self, result: LeaseResult) -> quorum.Votes:
        return quorum.Votes(
            self.name, len(self.inventory.agents), len(result.granted_by), result.rival_holders()
        )


def _unavailable_responses(responses: list[AgentResponse]) -> list[AgentResponse]:
    """Return the responses with status 5xx."""
    return [
        response for response in responses if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR
    ]


def run_with_client(client: FleetClient, use: Callable[[FleetClient], Awaitable[Result]]) -> Result:
    """Run ``use`` in an event loop of its own, and close the client's connections before it ends.

    A connection that outlives its event loop can't be closed any more.
    """

    async def use_and_close() -> Result:
        async with client:
            return await use(client)

    return asyncio.run(use_and_close())
