"""An operator's calls: one agent, or many at once; and the lease over a majority of them."""

from __future__ import annotations

import asyncio
import random
import ssl
import time
from dataclasses import dataclass, field

from oakbridge.fleet import quorum, wire
from oakbridge.fleet.http import Caller, CallFailed
from oakbridge.fleet.inventory import Inventory

AT_ONCE = 64
WITHIN_S = 5.0
RELEASE_S = 1.5


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
        return len(self.agents) >= quorum.majority(of)


class Operator:
    """One operator's end of the protocol; it keeps a connection to each agent from one call to the next."""

    def __init__(
        self, inventory: Inventory, tls: ssl.SSLContext, within_s: float = WITHIN_S, name: str = ""
    ) -> None:
        """``name``: as the certificate has it; only to say who gives way where two ask at once."""
        self.inventory, self._tls, self._within, self.name = inventory, tls, within_s, name
        self._places = asyncio.Semaphore(AT_ONCE)
        self._callers: dict[str, Caller] = {}
        self._random = random.Random()

    async def ask(self, agent: str, request: wire.Request, within_s: float | None = None) -> Heard:
        """Ask one agent."""
        caller = self._callers.get(agent)
        if caller is None:
            address = self.inventory.agents[agent]
            caller = self._callers[agent] = Caller(self._tls, self.inventory.name, agent, address)
        async with self._places:
            try:
                status, answer = await caller.call(wire.write(request), within_s or self._within)
            except CallFailed as e:
                return Heard(agent, error=str(e))
        return Heard(agent, status, answer)

    async def ask_all(
        self, request: wire.Request, agents: tuple[str, ...] | None = None, within_s: float | None = None
    ) -> list[Heard]:
        """Ask many at once; the answers are in the order of the agents."""
        names = tuple(self.inventory.agents) if agents is None else agents
        return list(await asyncio.gather(*(self.ask(name, request, within_s) for name in names)))

    def close(self) -> None:
        """Hang up everywhere."""
        for caller in self._callers.values():
            caller.close()

    async def acquire(self, length_s: float) -> Held:
        """Have the lease for the whole set or not at all: without a majority what was granted is given back."""
        of, number = len(self.inventory.agents), 0
        while True:
            highest = 0
            for heard in await self.ask_all(wire.Status()):
                if heard.status == 200:
                    highest = max(highest, int(heard.answer["lease"]["token"]))
            held = await self._acquire(highest + 1, int(length_s * 1e6))
            holders = tuple(h.answer["holder"] for h in held.refused if h.answer.get("ends_in_s"))
            word = quorum.decide(quorum.Bid(self.name, of, len(held.agents), holders), number)
            if word is quorum.Word.WON:
                return held
            await self.ask_all(wire.Release(held.token), held.agents)
            if word is quorum.Word.LOST:
                return held
            await asyncio.sleep(quorum.pause(number, self._random))
            number += 1

    async def _acquire(self, token: int, length: int) -> Held:
        heard = await self.ask_all(wire.Acquire(token, length))
        return Held(
            token,
            tuple(h.agent for h in heard if h.status == 200),
            tuple(h for h in heard if h.status and h.status != 200),
            tuple(h for h in heard if not h.status),
            time.time(),
        )

    async def higher(self, held: Held, length_s: float, above: int = 0) -> Held:
        """A higher token for the same holder, without letting go of the lease in between."""
        return await self._acquire(max(held.token, above) + 1, int(length_s * 1e6))

    async def release(self, held: Held) -> None:
        """Give the lease back; one that does not answer soon keeps it until it ends by itself."""
        await self.ask_all(wire.Release(held.token), held.agents, RELEASE_S)
