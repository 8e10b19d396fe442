"""Agents and nodes under load freeze during a rollout; its report agrees with what nodes run.

There are twenty nodes on five hosts, or with ``OAKBRIDGE_WHOLE=1`` fifty on ten, which takes a
minute.
"""

import asyncio
import json
import os
import random
import signal
import time
from pathlib import Path

import pytest
from peers import TIMEOUT_S
from process_fleet import OAKBRIDGE, ProcessFleet

from oakbridge.standin.behaviour import Behaviour
from oakbridge.standin.server import StandInServer

HOSTS, INSTANCES_PER_HOST = (10, 5) if os.environ.get("OAKBRIDGE_WHOLE") else (5, 4)
INSTANCES = HOSTS * INSTANCES_PER_HOST
FROZEN_AGENTS = round(0.7 * HOSTS)
FROZEN_HOSTS = round(0.4 * HOSTS)  # of the frozen agents, those whose nodes are frozen too
FROZEN_SINGLE_NODES = 3  # on hosts whose agent runs
AIMS = ("1s", "2s", "3s")
TIMES = ("--watch", "1", "--window", "1", "--silent", "15")
WAVES = ("--canary", "2", "--unavailable", str(INSTANCES // 2))
ALL_AT_ONCE = ("--canary", "0", "--share", "1", "--unavailable", str(INSTANCES))
REQUEST_INTERVAL_S = 0.2
REQUEST = b"GET /look HTTP/1.1\r\nhost: n\r\nx-priority-class: look\r\ncontent-length: 0\r\n\r\n"


class Load:
    """Clients of all nodes, which count answered and lost requests by node."""

    def __init__(self, ports: dict[str, int]) -> None:
        self.ports, self.is_stopped = ports, False
        self.answered = dict.fromkeys(ports, 0)
        self.lost = dict.fromkeys(ports, 0)

    async def run(self) -> None:
        await asyncio.gather(*map(self._send_requests, self.ports))

    async def _send_requests(self, name: str) -> None:
        while not self.is_stopped:
            await self._send_request(name)
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _send_request(self, name: str) -> None:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[name])
        except OSError:
            return  # the node restarts and accepts nothing; a client would use another node
        try:
            writer.write(REQUEST)
            async with asyncio.timeout(TIMEOUT_S):
                line = await reader.readline()
            answered = line.startswith(b"HTTP/1.1 ")
        except (OSError, TimeoutError):
            answered = False
        finally:
            writer.transport.abort()
        counts = self.answered if answered else self.lost
        counts[name] += 1


def files_with_aim(aim: str, servers: list[int]) -> dict[str, str]:
    config = (
        '[servers]\nfile = "servers.toml"\n\n[[class]]\nname = "look"\n'
        f'aim = "{aim}"\ndeadline = "20s"\nrepeat = "safe"\n'
    )
    server_entries = "".join(
        f'[[server]]\nname = "s{port}"\naddress = "127.0.0.1:{port}"\n' for port in servers
    )
    return {"oakbridge.toml": config, "servers.toml": server_entries}


class FleetUnderLoad(ProcessFleet):
    """The hosts with their nodes, and the commands of ``oakbridge fleet`` on them."""

    def __init__(self, folder: Path, servers: list[int]) -> None:
        self.files = {aim: files_with_aim(aim, servers) for aim in AIMS}
        super().__init__(
            folder,
            hosts=HOSTS,
            instances=[f"n{number}" for number in range(INSTANCES_PER_HOST)],
            configurations={aim: files["oakbridge.toml"] for aim, files in self.files.items()},
            zones=3,
        )

    async def call(self, *words: str) -> tuple[int, str]:
        process = await asyncio.create_subprocess_exec(
            *OAKBRIDGE,
            "fleet",
            *words,
            cwd=self.folder,
            env=self.environment,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await asyncio.wait_for(process.communicate(), 4 * TIMEOUT_S)
        assert b"Traceback" not in err, err.decode()
        return process.returncode, out.decode() or err.decode()

    async def apply(self, aim: str, *options: str) -> tuple[int, dict]:
        folder = self.write_files(aim, self.files[aim])
        code, out = await self.call("apply", "--files", folder, *TIMES, *WAVES, "--json", *options)
        return code, json.loads(out)

    async def apply_to_all(self, aim: str) -> None:
        code, report = await self.apply(aim, *ALL_AT_ONCE, "--silent", "40")
        assert (code, report["complete"]) == (0, True), report

    async def count_reported(self) -> int:
        _, out = await self.call("status", "--json")
        return len(json.loads(out)["instances"])

    async def wait_until_all_reported(self) -> None:
        async with asyncio.timeout(4 * TIMEOUT_S):
            while await self.count_reported() < INSTANCES:
                await asyncio.sleep(0.2)

    async def wait_until_any_runs(self, aim: str) -> None:
        loop = asyncio.get_running_loop()
        running: list[str] = []
        while aim not in running:
            await asyncio.sleep(0.05)
            running = [
                await loop.run_in_executor(None, self.running_configuration, name)
                for name in self.instance_ports
            ]


class FrozenProcesses:
    """The agents and nodes to freeze, chosen at random."""

    def __init__(self, rng: random.Random, fleet: ProcessFleet) -> None:
        self.agents = rng.sample(sorted(fleet.agents), FROZEN_AGENTS)
        on_frozen_hosts = [
            f"{agent}/n{number}"
            for agent in self.agents[-FROZEN_HOSTS:]
            for number in range(INSTANCES_PER_HOST)
        ]
        with_running_agent = [
            name for name in fleet.instance_ports if name.split("/")[0] not in self.agents
        ]
        self.single_nodes = rng.sample(with_running_agent, FROZEN_SINGLE_NODES)
        self.nodes = {*on_frozen_hosts, *self.single_nodes}
        self.all = [*self.agents, *on_frozen_hosts, *self.single_nodes]

    def may_be_unknown(self, instance: str) -> bool:
        """Return whether the outcome of this instance may be unknown."""
        return instance.split("/")[0] in self.agents or instance in self.single_nodes


def check_report(report: dict, fleet: ProcessFleet, frozen: FrozenProcesses) -> None:
    """Check that each outcome agrees with the configuration that the node reports."""
    for row in report["instances"]:
        name, outcome = row["instance"], row["fate"]
        if outcome == "unknown":
            assert frozen.may_be_unknown(name), (name, report)
            continue
        running = "silent" if name in frozen.nodes else fleet.running_configuration(name)
        if running != "silent":
            assert (outcome == "took it") == (running == "2s"), (name, outcome, running)


async def run_scenario(folder: Path, seed: int) -> None:
    rng = random.Random(seed)
    servers = [StandInServer(f"s{number}", Behaviour()) for number in range(3)]
    for server in servers:
        await server.start()
    fleet = FleetUnderLoad(folder, [server.address[1] for server in servers])
    load = Load(fleet.instance_ports)
    try:
        await fleet.wait_until_all_reported()
        await fleet.apply_to_all("1s")
        load_task = asyncio.create_task(load.run())

        rollout = asyncio.create_task(fleet.apply("2s", "--window", "2"))
        await fleet.wait_until_any_runs("2s")
        frozen = FrozenProcesses(rng, fleet)
        await asyncio.sleep(rng.random())
        for name in frozen.all:
            fleet.send_signal(name, signal.SIGSTOP)
        code, report = await rollout
        assert code in (3, 4), report
        check_report(report, fleet, frozen)

        for name in frozen.all:
            fleet.send_signal(name, signal.SIGCONT)
        _, out = await fleet.call("resume", str(report["rollout"]), *TIMES, "--json")
        resumed = json.loads(out)
        assert "unknown" not in {row["fate"] for row in resumed["instances"]}, resumed
        await fleet.apply_to_all("3s")
        assert set(fleet.running_configurations().values()) == {"3s"}
        load.is_stopped = True
        await load_task
        assert (await fleet.call("doctor"))[0] in (0, 1)
        lost = {
            name: count for name, count in load.lost.items() if count and name not in frozen.nodes
        }
        assert not lost
        assert sum(load.answered.values()) > 20 * INSTANCES
    finally:
        load.is_stopped = True
        fleet.close()
        for server in servers:
            server.stop()


@pytest.mark.parametrize("seed", [7])
def test_nodes_and_agents_frozen_during_a_rollout(tmp_path, seed):
    started_s = time.monotonic()
    asyncio.run(run_scenario(tmp_path, seed))
    assert time.monotonic() - started_s < 8 * TIMEOUT_S
