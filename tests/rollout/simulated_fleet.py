"""A fleet in one process: agents and coordinators on simulated hosts and a faulty network."""

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
from oakbridge.standin.host import SimulatedHost

QUICK = RolloutOptions(watch_s=0.05, window_s=0.05, silence_timeout_s=20.0)
WAVES = WaveOptions(canary=1, max_unavailable=99)
LEASE_DURATION_S = 60.0
NEVER_S = 3600.0  # delay of a lost message, longer than any test


def files_with_aim(aim: str, plays: str = "") -> dict[str, str]:
    """Return the files of a configuration; ``plays`` sets the behaviour of the simulated node."""
    marker = f"# plays: {plays}\n" if plays else ""
    config = f'{marker}[servers]\nfile = "s.toml"\n\n[[class]]\nname = "look"\naim = "{aim}"\n'
    servers = '[[server]]\nname = "a"\naddress = "127.0.0.1:9"\n'
    return {"oakbridge.toml": config, "s.toml": servers}


class Network:
    """The network between operators and agents, which loses, duplicates and delays messages.

    ``loss`` is the fraction of messages lost in each direction, ``duplication`` the fraction of
    requests that agents handle twice.  A frozen agent reads its messages after it has thawed.
    """

    def __init__(
        self, seed: int = 0, loss: float = 0.0, duplication: float = 0.0, max_delay_s: float = 0.0
    ) -> None:
        self.rng = random.Random(seed)
        self.loss, self.duplication, self.max_delay_s = loss, duplication, max_delay_s
        self.frozen: dict[str, asyncio.Event] = {}
        self.tasks: set[asyncio.Task] = set()

    def freeze(self, agent: str) -> None:
        self.frozen[agent] = asyncio.Event()

    def thaw(self, agent: str) -> None:
        self.frozen.pop(agent).set()

    async def exchange(self, agent: Agent, sender: Identity, request: messages.Request):
        """Deliver a request to an agent; return its response."""
        await asyncio.sleep(self.rng.random() * self.max_delay_s)
        if self.rng.random() < self.loss:
            await asyncio.sleep(NEVER_S)
        if (thawed := self.frozen.get(agent.name)) is not None:
            await thawed.wait()
        response = await OperatorApi(agent).handle(sender, *codec.encode_request(request))
        if self.rng.random() < self.duplication:
            response = await OperatorApi(agent).handle(sender, *codec.encode_request(request))
        if self.rng.random() < self.loss:
            await asyncio.sleep(NEVER_S)
        return response


class SimulatedOperator(FleetClient):
    """An operator on the simulated network; a request that has timed out is still delivered."""

    def __init__(self, fleet: "SimulatedFleet", name: str, timeout_s: float) -> None:
        inventory = Inventory("f", dict.fromkeys(fleet.agents, ("", 0)))
        super().__init__(inventory, None, timeout_s, name)
        self.fleet, self.identity = fleet, Identity("f", IdentityKind.OPERATOR, name, Role.WRITE)

    async def call(self, agent, request, timeout_s=None):
        network = self.fleet.network
        task = asyncio.create_task(
            network.exchange(self.fleet.agents[agent], self.identity, request)
        )
        network.tasks.add(task)
        task.add_done_callback(network.tasks.discard)
        try:
            async with asyncio.timeout(min(timeout_s or self.timeout_s, self.timeout_s)):
                status, body = await asyncio.shield(task)
        except TimeoutError:
            return AgentResponse(agent, error="no answer")
        return AgentResponse(agent, status, body)


class SimulatedFleet:
    """Hosts ``h0``, ``h1``, ... with instances ``n0``, ...; ``async with`` runs their agents.

    ``weak`` are the hosts whose nodes fail with a configuration that plays "weak"; other keywords
    are those of :class:`SimulatedHost`.
    """

    def __init__(
        self,
        folder: Path,
        hosts: int = 4,
        instances_per_host: int = 1,
        network: Network | None = None,
        weak: tuple[str, ...] = (),
        **host_options,
    ) -> None:
        self.folder, self.instances_per_host, self.network = (
            folder,
            instances_per_host,
            network or Network(),
        )
        names = [f"h{number}" for number in range(hosts)]
        self.hosts = {name: SimulatedHost(weak=name in weak, **host_options) for name in names}
        self.agents: dict[str, Agent] = {}

    async def __aenter__(self) -> "SimulatedFleet":
        for name in self.hosts:
            self._start(name)
        return self

    async def __aexit__(self, *_) -> None:
        for agent in self.agents.values():
            agent.stop()
        tasks = list(self.network.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _start(self, name: str) -> None:
        store = Store(self.folder / name)
        zone = f"z{len(self.agents) % 2}"
        agent = Agent(store, name, "f", zone, self.hosts[name], poll_interval_s=0.02)
        for number in range(self.instances_per_host):
            socket = self.folder / name / f"n{number}.sock"
            agent.add_instance(f"n{number}", ["127.0.0.1:1"], socket)
        agent.start()
        self.agents[name] = agent

    def operator(self, name: str = "kari", timeout_s: float = 5.0) -> SimulatedOperator:
        return SimulatedOperator(self, name, timeout_s)

    async def targets(self, operator: FleetClient) -> list[Target]:
        """Return the instances whose agents respond."""
        return [
            Target(
                agent=response.agent,
                instance=report["name"],
                zone=response.body["zone"],
                base_generation=report["generation"],
                is_drained=report["drained"],
            )
            for response in await operator.call_all(messages.StatusRequest())
            if response.status == 200
            for report in response.body["instances"]
        ]

    async def roll_out(
        self,
        change,
        operator=None,
        journal=None,
        waves=WAVES,
        auto_rollback=False,
        options=QUICK,
        sources=None,
        during=None,
    ) -> Coordinator | None:
        """Carry out a rollout; return its coordinator, or None if the lease was not granted.

        ``during`` is called with the coordinator after the rollout has started.
        """
        operator = operator or self.operator()
        journal = journal or Journal(self.folder)
        lease = await operator.acquire_lease(LEASE_DURATION_S)
        if not lease.has_majority(len(self.agents)):
            return None
        targets = await self.targets(operator)
        if sources is not None:
            targets = [target for target in targets if target.name in sources]
        record = RolloutRecord(plan_waves(targets, waves), waves.max_unavailable, auto_rollback)
        entry = JournalEntry(lease.token, operator.name, 0.0, 0.0, "", change, record)
        journal.add(entry)
        coordinator = Coordinator(operator, journal, entry, lease, options, sources=sources)
        return await self._run(coordinator, during)

    async def resume(self, rollout: int, operator=None, journal=None, options=QUICK) -> Coordinator:
        """Resume a rollout, after as many lease requests as it takes to acquire the lease."""
        operator, journal = operator or self.operator(), journal or Journal(self.folder)
        while not (lease := await operator.acquire_lease(LEASE_DURATION_S)).has_majority(
            len(self.agents)
        ):
            pass  # too few agents responded
        entry = journal.entry(rollout)
        return await self._run(Coordinator(operator, journal, entry, lease, options))

    @staticmethod
    async def _run(coordinator: Coordinator, during=None) -> Coordinator:
        task = asyncio.create_task(coordinator.run())
        if during is not None:
            await during(coordinator)
        await task
        await coordinator.operator.release_lease(coordinator.lease)
        return coordinator

    async def roll_out_first(self, aim: str = "1s") -> Coordinator:
        """Give every instance its first configuration."""
        waves = WaveOptions(canary=0, shares=(1.0,), max_unavailable=999)
        coordinator = await self.roll_out(ReplaceFiles(files_with_aim(aim)), waves=waves)
        assert coordinator.machine.is_complete(), coordinator.machine.statuses()
        return coordinator

    def running_aims(self) -> dict[str, str]:
        """Return the aim that the node of each instance runs by; "-" where no node runs."""
        return {
            f"{name}/n{number}": self._running_aim(name, number)
            for name in self.agents
            for number in range(self.instances_per_host)
        }

    def _running_aim(self, host: str, number: int) -> str:
        node = self.hosts[host].nodes.get(self.folder / host / f"n{number}.sock")
        if node is None or node.has_exited:
            return "-"
        config = self.agents[host].store.generations.current_link(f"n{number}") / "oakbridge.toml"
        return config.read_text().split('aim = "')[1].split('"')[0] if config.exists() else "-"

    def files(self, name: str) -> dict[str, str]:
        """Return the files of the generation that an instance runs."""
        agent, _, instance = name.partition("/")
        generations = self.agents[agent].store.generations
        return generations.read_files(instance, Generation(generations.current_number(instance)))


def outcomes(coordinator: Coordinator) -> dict[str, str]:
    """Return the outcome of each instance, in operators' words."""
    statuses = coordinator.machine.statuses()
    return {name: status.outcome.value for name, status in statuses.items()}
