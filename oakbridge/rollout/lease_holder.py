"""Renews the lease over the fleet during a rollout, and raises its fencing token."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from oakbridge.fleet import messages
from oakbridge.fleet.client import AgentResponse, FleetClient, LeaseResult

LEASE_DURATION_S = 60.0  # an agent grants the lease for this time
LEASE_RENEW_INTERVAL_S = 15.0
_LEASE_DURATION_US = int(LEASE_DURATION_S * 1e6)


class LeaseHolder:
    """The lease of one tool; ``on_lost`` is called with the reason when the lease is lost."""

    def __init__(
        self,
        operator: FleetClient,
        lease: LeaseResult,
        *,
        on_granted: Callable[[str], None],
        on_lost: Callable[[str], None],
    ) -> None:
        """Keep an acquired lease; ``on_granted`` is called with each agent that grants it later."""
        self.lease = lease
        self._operator = operator
        self._on_granted = on_granted
        self._on_lost = on_lost
        self._granted = set(lease.granted_by)
        self._raise_lock = asyncio.Lock()  # held by the task that requests a higher token

    async def renew_until_lost(self) -> None:
        """Renew the lease; return when it is lost, after which nothing more may be sent."""
        while True:
            await asyncio.sleep(LEASE_RENEW_INTERVAL_S)
            renewal = messages.LeaseRequest(self.lease.token, _LEASE_DURATION_US, renew=True)
            responses = await self._operator.call_all(renewal)
            granted = sum(1 for response in responses if response.status == 200)
            if granted * 2 <= len(responses):
                self._on_lost(f"the lease is lost: {_loss_reason(responses)}")
                return

    async def ensure_granted(self, agent: str) -> bool:
        """Return whether an agent has promised our token; request the promise if it has not."""
        if agent in self._granted:
            return True
        response = await self._operator.call(
            agent, messages.LeaseRequest(self.lease.token, _LEASE_DURATION_US)
        )
        if response.status == 200:
            self._granted.add(agent)
            self._on_granted(agent)
            return True
        # A tool that did not get the majority may hold the lease of some agents for a moment, or
        # have left a higher token there.  A higher token under our own name belongs to another
        # tool of this operator, which has taken over, so that it is never outbid.
        is_expired = response.status == 409 and not response.body.get("ends_in_s")
        if is_expired and response.body.get("holder") != self._operator.name:
            await self.raise_token_above(int(response.body["token"]))
        return False

    async def raise_token_above(self, token: int) -> int:
        """Return our fencing token, which is raised first if it is not above ``token``."""
        async with self._raise_lock:
            if self.lease.token <= token:
                self.lease = await self._operator.raise_token(self.lease, LEASE_DURATION_S, token)
                self._granted = set(self.lease.granted_by)
                if not self.lease.has_majority(len(self._operator.inventory.agents)):
                    self._on_lost("the lease is lost: a higher token was not granted")
            return self.lease.token

    async def has_token_changed(self, token: int) -> bool:
        """Return whether our token differs from ``token``, once a raise in progress has ended."""
        async with self._raise_lock:
            return self.lease.token != token


def _loss_reason(responses: list[AgentResponse]) -> str:
    for response in responses:
        if response.status == 409 and response.body.get("holder"):
            return f"{response.body['holder']} has the lease"
    return "too few agents answer"
