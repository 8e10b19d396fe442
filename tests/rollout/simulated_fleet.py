"""A fleet in one process: real agents on played hosts, real conductors, and a network with faults by seed."""

import asyncio
import random
from pathlib import Path

from oakbridge.agent.agent import Agent
from oakbridge.agent.operator_api import OperatorApi
from oakbridge.agent.records import Generation
from oakbridge.agent.store import Store
from oakbridge.fleet import codec, messages
from oakbridge.fleet.client import AgentResponse, FleetClient
from oakbridge.fleet.identity import Identity, IdentityKind, Role
from oakbridge.fleet.inventory import Inventory
from oakbridge.rollout.change import ReplaceFiles
from oakbridge.rollout.coordinator import Coordinator, RolloutOptions
from oakbridge.rollout.journal import Journal, JournalEntry
from oakbridge.rollout.plan import Target, WaveOptions, plan_waves
from oakbridge.rollout.record import RolloutRecord
from oakbridge.standin.host import PlayedHost

QUICK = RolloutOptions(watch_s=0.05, window_s=0.05, silence_timeout_s=20.0)

WAVES = WaveOptions(canary=1, max_unavailable=99)


def config(word: str, plays: str = "") -> dict[str, str]:
    mark = f"# plays: {plays}\n" if plays else ""
    return {
        "oakbridge.toml": f'{mark}[servers]\nfile = "s.toml"\n\n[[class]]\nname = "look"\naim = "{word}"\n',
        "s.toml": '[[server]]\nname = "a"\naddress = "127.0.0.1:9"\n',
    }


class Network:
    """Between operators and agents: what is lost, doubled or late is drawn by seed; a frozen agent reads it later."""

    def __init__(self, seed: int = 0, lose: float = 0.0, double: float = 0.0, delay_s: float = 0.0) -> None:
        self.draw, self.lose, self.double, self.delay_s = random.Random(seed), lose, double, delay_s
        self.frozen: dict[str, asyncio.Event] = {}
        self.tasks: set[asyncio.Task] = set()

    def freeze(self, agent: str) -> None:
        self.frozen[agent] = asyncio.Event()

    def thaw(self, agent: str) -> None:
        self.frozen.pop(agent).set()

    async def carry(self, agent: Agent, who: Identity, request: messages.Request):
        await asyncio.sleep(self.draw.random() * self.delay_s)
        if self.draw.random() < self.lose:
            await asyncio.sleep(3600)
        if (gate := self.frozen.get(agent.name)) is not None:
            await gate.wait()
        got = await OperatorApi(agent).handle(who, *codec.encode_request(request))
        if self.draw.random() < self.double:
            got = await OperatorApi(agent).handle(who, *codec.encode_request(request))
        if self.draw.random() < self.lose:
            await asyncio.sleep(3600)
        return got


class Direct(FleetClient):
    """An operator whose calls go by such a network; a call that nobody waits for any more still arrives."""

    def __init__(self, fleet: "SimulatedFleet", name: str, within_s: float) -> None:
        super().__init__(Inventory("f", dict.fromkeys(fleet.agents, ("", 0))), None, within_s, name)
        self.fleet, self.who = fleet, Identity("f", IdentityKind.OPERATOR, name, Role.WRITE)

    async def call(self, agent, request, timeout_s=None):
        network = self.fleet.network
        task = asyncio.create_task(network.carry(self.fleet.agents[agent], self.who, request))
        network.tasks.add(task)
        task.add_done_callback(network.tasks.discard)
        try:
            async with asyncio.timeout(min(timeout_s or self.timeout_s, self.timeout_s)):
                status, answer = await asyncio.shield(task)
        except TimeoutError:
            return AgentResponse(agent, error="no answer")
        return AgentResponse(agent, status, answer)


class SimulatedFleet:
    """So many hosts with so many instances each; ``async with`` runs their agents."""

    def __init__(
        self, folder: Path, hosts: int = 4, each: int = 1, network: Network | None = None, **play
    ) -> None:
        self.folder, self.each, self.network = folder, each, network or Network()
        weak = play.pop("weak", ())
        names = [f"h{i}" for i in range(hosts)]
        self.hosts = {n: PlayedHost(weak=n in weak, **play) for n in names}
        self.agents: dict[str, Agent] = {}

    async def __aenter__(self) -> "SimulatedFleet":
        for name in self.hosts:
            self.start(name)
        return self

    async def __aexit__(self, *_) -> None:
        for agent in self.agents.values():
            agent.stop()
        tasks = list(self.network.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def start(self, name: str) -> None:
        store = Store(self.folder / name)
        agent = Agent(store, name, "f", f"z{len(self.agents) % 2}", self.hosts[name], poll_interval_s=0.02)
        for i in range(self.each):
            agent.add_instance(f"n{i}", ["127.0.0.1:1"], self.folder / name / f"n{i}.sock")
        agent.start()
        self.agents[name] = agent

    def operator(self, name: str = "kari", within_s: float = 5.0) -> Direct:
        return Direct(self, name, within_s)

    async def targets(self, operator: FleetClient) -> list[Target]:
        return [
            Target(h.agent, row["name"], h.body["zone"], row["generation"], row["drained"])
            for h in await operator.call_all(messages.StatusRequest()) if h.status == 200 for row in h.body["instances"]
        ]  # fmt: skip

    async def roll(
        self, change, operator=None, journal=None, waves=WAVES, undo=False, options=QUICK,
        sources=None, during=None,
    ):  # fmt: skip
        """Carry out a rollout; return its coordinator, or None without the lease."""
        operator = operator or self.operator()
        journal = journal or Journal(self.folder)
        held = await operator.acquire_lease(60.0)
        if not held.has_majority(len(self.agents)):
            return None
        targets = [t for t in await self.targets(operator) if sources is None or t.name in sources]
        record = RolloutRecord(plan_waves(targets, waves), waves.max_unavailable, undo)
        entry = JournalEntry(held.token, operator.name, 0.0, 0.0, "", change, record)
        journal.add(entry)
        coordinator = Coordinator(operator, journal, entry, held, options, sources=sources)
        return await self._run(coordinator, during)

    async def resume(self, rollout: int, operator=None, journal=None, options=QUICK):
        operator, journal = operator or self.operator(), journal or Journal(self.folder)
        while not (held := await operator.acquire_lease(60.0)).has_majority(len(self.agents)):
            pass  # some calls were lost
        entry = journal.entry(rollout)
        return await self._run(Coordinator(operator, journal, entry, held, options))

    @staticmethod
    async def _run(coordinator: Coordinator, during=None) -> Coordinator:
        task = asyncio.create_task(coordinator.run())
        if during is not None:
            await during(coordinator)
        await task
        await coordinator.operator.release_lease(coordinator.held)
        return coordinator

    async def first(self, word: str = "1s") -> Coordinator:
        done = await self.roll(
            ReplaceFiles(config(word)), waves=WaveOptions(canary=0, shares=(1.0,), max_unavailable=999)
        )
        assert done.machine.is_complete(), done.machine.statuses()
        return done

    def truth(self) -> dict[str, str]:
        """Return what each instance's own process runs, by its aim; "-" where none runs."""
        found = {}
        for name, agent in self.agents.items():
            for i in range(self.each):
                node = self.hosts[name].nodes.get(self.folder / name / f"n{i}.sock")
                place = agent.store.generations.current_link(f"n{i}")
                text = (place / "oakbridge.toml").read_text() if place.exists() else 'aim = "-"'
                word = text.split('aim = "')[1].split('"')[0]
                found[f"{name}/n{i}"] = word if node is not None and not node.gone else "-"
        return found

    def files(self, name: str) -> dict[str, str]:
        agent, _, instance = name.partition("/")
        generations = self.agents[agent].store.generations
        return generations.read_files(instance, Generation(generations.current_number(instance)))


def fates(coordinator: Coordinator) -> dict[str, str]:
    return {name: row.outcome.value for name, row in coordinator.machine.statuses().items()}
