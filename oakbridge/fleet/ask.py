"""An operator's calls: one agent, or many at once; and the lease over a majority of them."""

from __future__ import annotations

import asyncio
import ssl
import time
from dataclasses import dataclass, field

from oakbridge.agent.lease import majority
from oakbridge.fleet import wire
from oakbridge.fleet.http import CallFailed, call
from oakbridge.fleet.inventory import Inventory

AT_ONCE = 64
WITHIN_S = 5.0


@dataclass(frozen=True, slots=True)
class Heard:
    """What one agent answered: a status and an object, or why there is no answer."""

    agent: str
    status: int = 0
    answer: wire.Raw = field(default_factory=dict)
    error: str = ""


@dataclass(frozen=True, slots=True)
class Held:
    """The lease over the fleet, or why it is not ours."""

    token: int
    agents: tuple[str, ...]
    refused: tuple[Heard, ...] = ()
    silent: tuple[Heard, ...] = ()
    since: float = 0.0

    def won(self, of: int) -> bool:
        """Whether a majority of so many agents has granted it."""
        return len(self.agents) >= majority(of)


class Operator:
    """One operator's end of the protocol."""

    def __init__(self, inventory: Inventory, tls: ssl.SSLContext, within_s: float = WITHIN_S) -> None:
        self.inventory, self._tls, self._within = inventory, tls, within_s
        self._places = asyncio.Semaphore(AT_ONCE)

    async def ask(self, agent: str, request: wire.Request, within_s: float | None = None) -> Heard:
        """Ask one agent."""
        async with self._places:
            try:
                status, answer = await call(
                    self._tls, self.inventory.name, agent, self.inventory.agents[agent],
                    wire.write(request), within_s or self._within,
                )  # fmt: skip
            except CallFailed as e:
                return Heard(agent, error=str(e))
        return Heard(agent, status, answer)

    async def ask_all(
        self, request: wire.Request, agents: tuple[str, ...] | None = None, within_s: float | None = None
    ) -> list[Heard]:
        """Ask many at once; the answers are in the order of the agents."""
        names = tuple(self.inventory.agents) if agents is None else agents
        return list(await asyncio.gather(*(self.ask(name, request, within_s) for name in names)))

    async def acquire(self, length_s: float) -> Held:
        """Have the lease for the whole set or not at all: without a majority what was granted is given back."""
        highest = 0
        for heard in await self.ask_all(wire.Status()):
            if heard.status == 200:
                highest = max(highest, int(heard.answer["lease"]["token"]))
        held = await self._acquire(highest + 1, int(length_s * 1e6))
        if not held.won(len(self.inventory.agents)):
            await self.ask_all(wire.Release(held.token), held.agents)
        return held

    async def _acquire(self, token: int, length: int) -> Held:
        heard = await self.ask_all(wire.Acquire(token, length))
        return Held(
            token,
            tuple(h.agent for h in heard if h.status == 200),
            tuple(h for h in heard if h.status and h.status != 200),
            tuple(h for h in heard if not h.status),
            time.time(),
        )

    async def higher(self, held: Held, length_s: float) -> Held:
        """A higher token for the same holder, without letting go of the lease in between."""
        return await self._acquire(held.token + 1, int(length_s * 1e6))

    async def release(self, held: Held) -> None:
        """Give the lease back."""
        await self.ask_all(wire.Release(held.token), held.agents)
