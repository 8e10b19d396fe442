"""A tool is killed by SIGKILL at each write of its journal in turn, and its rollout resumed."""

import asyncio
import contextlib
import itertools
import json
import os
import signal
import sys
from pathlib import Path

import pytest
from peers import TIMEOUT_S, run
from simulated_fleet import SimulatedFleet

from oakbridge.agent.operator_api import OperatorApi
from oakbridge.fleet import pki
from oakbridge.fleet.identity import Identity, IdentityKind, Role
from oakbridge.fleet.inventory import Inventory, write_inventory
from oakbridge.fleet.server import AgentServer
from oakbridge.rollout.journal import Journal

HERE = Path(__file__).parent


async def run_tool(folder: Path, *arguments: object) -> tuple[int, dict[str, str]]:
    """Run the tool; return its exit code and the outcome of each instance."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(HERE / "killed_tool.py"),
        str(folder),
        *map(str, arguments),
        env=os.environ | {"PYTHONPATH": f"{HERE.parents[1]}:{HERE}"},
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await asyncio.wait_for(process.communicate(), TIMEOUT_S)
    return process.returncode, json.loads(out) if out else {}


@contextlib.asynccontextmanager
async def serve_agents(fleet: SimulatedFleet, folder: Path):
    """Serve the agents of a fleet on loopback, with certificates and an inventory in ``folder``."""
    pki.create_authority(folder, "f")
    operator = Identity("f", IdentityKind.OPERATOR, "admin", Role.WRITE)
    pki.issue_certificate(folder, operator, folder / "operators" / "admin")
    servers: dict[str, AgentServer] = {}
    for name, agent in fleet.agents.items():
        certificate = folder / "agents" / name
        pki.issue_certificate(
            folder, Identity("f", IdentityKind.AGENT, name, Role.READ), certificate
        )
        tls = pki.tls_context(folder / "ca.crt", certificate, server=True)
        servers[name] = AgentServer(tls, "f", OperatorApi(agent).handle)
        await servers[name].start(("127.0.0.1", 0))
    write_inventory(
        folder, Inventory("f", {name: server.address for name, server in servers.items()})
    )
    try:
        yield
    finally:
        for server in servers.values():
            server.close()


def find_rollout(folder: Path, aim: str) -> int | None:
    """Return the number of the rollout to this aim, or None if the journal has none."""
    journal = Journal(folder)
    entries = journal.entries()
    journal.close()
    for entry in entries:
        if f'"{aim}"' in entry.change.files["oakbridge.toml"]:
            return entry.id
    return None


@pytest.mark.parametrize("part", range(4))
def test_killed_at_each_write_the_tool_resumes_to_the_same_end(tmp_path, part):
    """Parts 0 and 2 kill before a write, 1 and 3 after it; each part takes every other write."""
    side = ("before", "after")[part % 2]
    folder = tmp_path / "fleet"

    async def test():
        async with SimulatedFleet(tmp_path, 3) as fleet, serve_agents(fleet, folder):
            kills = 0
            for write in itertools.count(1 + part // 2, 2):
                aims_before, aim = fleet.running_aims(), f"{write}s"
                code, outcomes = await run_tool(folder, aim, 0, write, side)
                if code == 0:  # the rollout needed fewer writes
                    assert set(outcomes.values()) == {"took it"}
                    break
                assert code == -signal.SIGKILL
                kills += 1
                rollout = find_rollout(folder, aim)
                if rollout is None:  # killed before its first write: nothing was sent
                    assert fleet.running_aims() == aims_before
                    assert (write, side) == (1, "before")
                    continue
                code, outcomes = await run_tool(folder, aim, rollout, 0, side)
                assert code == 0, (write, outcomes)
                assert set(outcomes.values()) == {"took it"}, (write, outcomes)
                assert set(fleet.running_aims().values()) == {aim}
            assert kills >= 3

    run(test(), 4 * TIMEOUT_S)
