"""Keeps the lease over the fleet while a rollout lasts, and raises its fencing token."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from oakbridge.fleet import messages
from oakbridge.fleet.client import AgentResponse, FleetClient, LeaseResult

LEASE_DURATION_S = 60.0
LEASE_RENEW_INTERVAL_S = 15.0
_LEASE_US = int(LEASE_DURATION_S * 1e6)


class LeaseHolder:
    """The lease of one tool; ``on_lost`` is called with the reason once it is lost."""

    def __init__(
        self,
        operator: FleetClient,
        lease: LeaseResult,
        *,
        on_granted: Callable[[str], None],
        on_lost: Callable[[str], None],
    ) -> None:
        """Keep an acquired lease; ``on_granted`` is called with each agent that joins later."""
        self.lease = lease
        self._operator = operator
        self._on_granted = on_granted
        self._on_lost = on_lost
        self._granted = set(lease.granted_by)
        self._raising = asyncio.Lock()  # one task at a time asks for a higher token

    async def renew_until_lost(self) -> None:
        """Renew the lease; return when it is lost, as nothing more may be sent then."""
        while True:
            await asyncio.sleep(LEASE_RENEW_INTERVAL_S)
            renewal = messages.LeaseRequest(self.lease.token, _LEASE_US, renew=True)
            responses = await self._operator.call_all(renewal)
            granted = sum(1 for response in responses if response.status == 200)
            if granted * 2 <= len(responses):
                self._on_lost(f"the lease is lost: {_loss_reason(responses)}")
                return

    async def admit(self, agent: str) -> bool:
        """Return whether an agent has promised our token; one that has not is asked for it."""
        if agent in self._granted:
            return True
        response = await self._operator.call(
            agent, messages.LeaseRequest(self.lease.token, _LEASE_US)
        )
        if response.status == 200:
            self._granted.add(agent)
            self._on_granted(agent)
            return True
        # A tool that lost to us may hold a part of the fleet for a moment, or have left a higher
        # token there.  A higher token of our own name is another tool of ours, which has taken
        # over: it is never outbid.
        expired = response.status == 409 and not response.body.get("ends_in_s")
        if expired and response.body.get("holder") != self._operator.name:
            await self.raise_above(int(response.body["token"]))
        return False

    async def raise_above(self, token: int) -> int:
        """Return a fencing token of ours above ``token``, acquiring one if ours is not higher."""
        async with self._raising:
            if self.lease.token <= token:
                self.lease = await self._operator.raise_token(self.lease, LEASE_DURATION_S, token)
                self._granted = set(self.lease.granted_by)
                if not self.lease.has_majority(len(self._operator.inventory.agents)):
                    self._on_lost("the lease is lost: a higher token was not granted")
            return self.lease.token

    async def has_been_raised(self, token: int) -> bool:
        """Return whether our token is another one by now, after a raise in progress has ended."""
        async with self._raising:
            return self.lease.token != token


def _loss_reason(responses: list[AgentResponse]) -> str:
    for response in responses:
        if response.status == 409 and response.body.get("holder"):
            return f"{response.body['holder']} has the lease"
    return "too few agents answer"
