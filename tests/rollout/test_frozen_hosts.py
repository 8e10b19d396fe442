"""Node processes under load on many hosts, some frozen in mid-change: the report and the truth of each process.

Twenty nodes on five hosts; with ``OAKBRIDGE_WHOLE=1`` it is fifty on ten, which takes a machine a
minute.
"""

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import time
from hashlib import sha256
from pathlib import Path

import pytest
from peers import LIMIT, free_ports

from oakbridge.agent.node_process import listener_pid
from oakbridge.control.client import ControlClient
from oakbridge.control.errors import NodeUnreachableError
from oakbridge.control.protocol import ControlCommand
from oakbridge.fleet import pki
from oakbridge.fleet.identity import Identity, IdentityKind, Role
from oakbridge.fleet.inventory import Inventory, write_inventory
from oakbridge.standin.behaviour import Behaviour
from oakbridge.standin.server import StandIn

ROOT = Path(__file__).parents[2]
HOSTS, EACH = (10, 5) if os.environ.get("OAKBRIDGE_WHOLE") else (5, 4)
ALL = str(HOSTS * EACH)
FROZEN, WHOLE = (
    round(0.7 * HOSTS),
    round(0.4 * HOSTS),
)  # agents that stop, and of these with all that they run
WORDS = ("1s", "2s", "3s")
QUICK = (
    "--watch",
    "1",
    "--window",
    "1",
    "--silent",
    "15",
    "--canary",
    "2",
    "--unavailable",
    str(HOSTS * EACH // 2),
    "--json",
)


class Load:
    """Callers of all nodes: each request goes to a node that accepts it, and is counted by what became of it."""

    def __init__(self, ports: dict[str, int]) -> None:
        self.ports, self.stop = ports, False
        self.answered, self.lost, self.refused = dict.fromkeys(ports, 0), dict.fromkeys(ports, 0), 0

    async def one(self, name: str) -> None:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[name])
        except OSError:
            self.refused += 1  # it is being restarted: nothing was taken, and a caller goes to another node
            return
        try:
            writer.write(
                b"GET /look HTTP/1.1\r\nhost: n\r\nx-priority-class: look\r\ncontent-length: 0\r\n\r\n"
            )
            async with asyncio.timeout(LIMIT):
                line = await reader.readline()
            if line.startswith(b"HTTP/1.1 "):
                self.answered[name] += 1
            else:
                self.lost[name] += 1
        except (OSError, TimeoutError):
            self.lost[name] += 1
        finally:
            writer.transport.abort()

    async def run(self) -> None:
        async def each(name: str) -> None:
            while not self.stop:
                await self.one(name)
                await asyncio.sleep(0.2)

        await asyncio.gather(*map(each, self.ports))


def config(aim: str, servers: list[int]) -> dict[str, str]:
    listed = "".join(f'[[server]]\nname = "s{p}"\naddress = "127.0.0.1:{p}"\n' for p in servers)
    return {
        "oakbridge.toml": '[servers]\nfile = "servers.toml"\n\n[[class]]\nname = "look"\n'
        f'aim = "{aim}"\ndeadline = "20s"\nrepeat = "safe"\n',
        "servers.toml": listed,
    }


class Fleet:
    """The hosts with their nodes, as processes."""

    def __init__(self, folder: Path, servers: list[int]) -> None:
        self.folder, self.fleet = folder, folder / "fleet"
        self.environment = os.environ | {"PYTHONPATH": str(ROOT)}
        pki.create_authority(self.fleet, "f")
        pki.issue_certificate(
            self.fleet,
            Identity("f", IdentityKind.OPERATOR, "admin", Role.WRITE),
            self.fleet / "operators" / "admin",
        )
        self.files = {word: config(word, servers) for word in WORDS}
        self.digests = {sha256(f["oakbridge.toml"].encode()).hexdigest(): w for w, f in self.files.items()}
        self.agents: dict[str, subprocess.Popen] = {}
        self.ports: dict[str, int] = {}
        addresses = {f"h{i}": ("127.0.0.1", port) for i, port in enumerate(free_ports(HOSTS))}
        write_inventory(self.fleet, Inventory("f", addresses))
        for i, (name, (_, port)) in enumerate(addresses.items()):
            pki.issue_certificate(
                self.fleet, Identity("f", IdentityKind.AGENT, name, Role.READ), self.fleet / "agents" / name
            )
            lines = [
                f'name = "{name}"\nfleet = "f"\nlisten = "127.0.0.1:{port}"\nstate = "{name}"\nzone = "z{i % 3}"',
                f'authority = "fleet/ca.crt"\ncertificate = "fleet/agents/{name}"',
            ]
            for j, own in enumerate(free_ports(EACH)):
                self.ports[f"{name}/n{j}"] = own
                lines.append(f'[[instance]]\nname = "n{j}"\nlisten = ["127.0.0.1:{own}"]')
            (folder / f"{name}.toml").write_text("\n".join(lines))
            command = [
                sys.executable,
                "-m",
                "oakbridge.cli",
                "agent",
                "--config",
                str(folder / f"{name}.toml"),
            ]
            with (folder / f"{name}.log").open("ab") as out:
                self.agents[name] = subprocess.Popen(command, env=self.environment, stdout=out, stderr=out)

    async def call(self, *words: str) -> tuple[int, str]:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "oakbridge.cli", "fleet", *words, cwd=self.folder, env=self.environment,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        out, err = await asyncio.wait_for(process.communicate(), 4 * LIMIT)
        assert b"Traceback" not in err, err.decode()
        return process.returncode, out.decode() or err.decode()

    async def apply(self, word: str, *more: str) -> tuple[int, dict]:
        folder = self.folder / word
        folder.mkdir()
        for name, text in self.files[word].items():
            (folder / name).write_text(text)
        code, out = await self.call("apply", "--files", str(folder), *QUICK, *more)
        return code, json.loads(out)

    def socket(self, name: str) -> Path:
        return self.folder / name.split("/")[0] / f"{name.split('/')[1]}.sock"

    def runs(self, name: str) -> str:
        """Return what a node's own process says that it runs."""
        try:
            with ControlClient(self.socket(name)) as client:
                return self.digests[client.request(ControlCommand.STATUS, rows=0)["config_digest"]]
        except NodeUnreachableError:
            return "silent"

    def send(self, name: str, number: signal.Signals) -> None:
        """To an agent (``h1``) or a node (``h1/n1``)."""
        pid = self.agents[name].pid if "/" not in name else listener_pid(self.socket(name))
        if pid is not None:
            os.kill(pid, number)

    def close(self) -> None:
        for agent in self.agents.values():
            agent.kill()
            agent.wait()
        for name in self.ports:
            for number in (signal.SIGCONT, signal.SIGKILL):
                self.send(name, number)


async def scenario(folder: Path, seed: int) -> None:
    draw, stand_ins = random.Random(seed), [StandIn(f"s{i}", Behaviour()) for i in range(3)]
    for stand_in in stand_ins:
        await stand_in.start()
    fleet = Fleet(folder, [s.address[1] for s in stand_ins])
    load = Load(fleet.ports)
    try:
        async with asyncio.timeout(4 * LIMIT):
            while len(json.loads((await fleet.call("status", "--json"))[1])["instances"]) < HOSTS * EACH:
                await asyncio.sleep(0.2)
        code, told = await fleet.apply(
            "1s", "--canary", "0", "--share", "1", "--unavailable", ALL, "--silent", "40"
        )
        assert (code, told["complete"]) == (0, True), told
        loading = asyncio.create_task(load.run())

        rolling = asyncio.create_task(fleet.apply("2s", "--window", "2"))
        watched = asyncio.get_running_loop()
        while not any([await watched.run_in_executor(None, fleet.runs, n) == "2s" for n in fleet.ports]):
            await asyncio.sleep(0.05)
        hosts = draw.sample(sorted(fleet.agents), FROZEN)
        whole = [f"{h}/n{j}" for h in hosts[-WHOLE:] for j in range(EACH)]
        single = draw.sample([n for n in fleet.ports if n.split("/")[0] not in hosts], 3)
        frozen = [*hosts, *whole, *single]
        await asyncio.sleep(draw.random())
        for name in frozen:
            fleet.send(name, signal.SIGSTOP)
        stopped = {*whole, *single}
        code, told = await rolling
        assert code in (3, 4), told
        fates = {row["instance"]: row["fate"] for row in told["instances"]}
        for name, fate in fates.items():
            runs = fleet.runs(name) if name not in stopped else "silent"
            if runs != "silent" and fate != "unknown":
                assert (fate == "took it") == (runs == "2s"), (name, fate, runs)
            if fate == "unknown":
                assert name.split("/")[0] in hosts or name in single, (name, told)

        for name in frozen:
            fleet.send(name, signal.SIGCONT)
        code, out = await fleet.call("resume", str(told["rollout"]), *QUICK[:6], "--json")
        again = json.loads(out)
        assert "unknown" not in {row["fate"] for row in again["instances"]}, again
        code, told = await fleet.apply(
            "3s", "--canary", "0", "--share", "1", "--unavailable", ALL, "--silent", "40"
        )
        assert (code, told["complete"]) == (0, True), told
        assert {fleet.runs(name) for name in fleet.ports} == {"3s"}
        load.stop = True
        await loading
        assert (await fleet.call("doctor"))[0] in (0, 1)
        hurt = {n for n, count in load.lost.items() if count and n not in stopped}
        assert not hurt, {n: load.lost[n] for n in hurt}
        assert sum(load.answered.values()) > 20 * HOSTS * EACH
    finally:
        load.stop = True
        fleet.close()
        for stand_in in stand_ins:
            stand_in.stop()


@pytest.mark.parametrize("seed", [7])
def test_nodes_and_agents_frozen_in_mid_change(tmp_path, seed):
    began = time.monotonic()
    asyncio.run(scenario(tmp_path, seed))
    assert time.monotonic() - began < 8 * LIMIT
