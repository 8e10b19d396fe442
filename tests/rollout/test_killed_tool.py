"""A tool killed by SIGKILL at each write of its journal in turn, then resumed: the same end, and a true report."""

import asyncio
import itertools
import json
import os
import signal
import sys
from pathlib import Path

import pytest
from peers import LIMIT, run
from simulated_fleet import SimulatedFleet

from oakbridge.agent.operator_api import OperatorApi
from oakbridge.fleet import pki
from oakbridge.fleet.identity import Identity, IdentityKind, Role
from oakbridge.fleet.inventory import Inventory, write_inventory
from oakbridge.fleet.server import AgentServer
from oakbridge.rollout.journal import Journal

HERE = Path(__file__).parent


async def tool(folder: Path, *words: object) -> tuple[int, dict[str, str]]:
    process = await asyncio.create_subprocess_exec(
        sys.executable, str(HERE / "killed_tool.py"), str(folder), *map(str, words),
        env=os.environ | {"PYTHONPATH": f"{HERE.parents[1]}:{HERE}"}, stdout=asyncio.subprocess.PIPE,
    )  # fmt: skip
    out, _ = await asyncio.wait_for(process.communicate(), LIMIT)
    return process.returncode, json.loads(out) if out else {}


@pytest.mark.parametrize("part", range(4))
def test_killed_at_each_write_it_is_resumed_to_the_same_end(tmp_path, part):
    side = ("before", "after")[part % 2]

    async def test():
        fleet = SimulatedFleet(tmp_path, 3)
        folder = tmp_path / "fleet"
        pki.create_authority(folder, "f")
        pki.issue_certificate(
            folder, Identity("f", IdentityKind.OPERATOR, "admin", Role.WRITE), folder / "operators" / "admin"
        )
        servers, addresses = [], {}
        async with fleet:
            for name, agent in fleet.agents.items():
                pki.issue_certificate(
                    folder, Identity("f", IdentityKind.AGENT, name, Role.READ), folder / "agents" / name
                )
                tls = pki.tls_context(folder / "ca.crt", folder / "agents" / name, server=True)
                servers.append(AgentServer(tls, "f", OperatorApi(agent).handle))
                await servers[-1].start(("127.0.0.1", 0))
                addresses[name] = servers[-1].address
            write_inventory(folder, Inventory("f", addresses))
            kills = 0
            for at in itertools.count(1 + part // 2, 2):
                before, word = fleet.truth(), f"{at}s"
                code, told = await tool(folder, word, 0, at, side)
                if code == 0:
                    assert set(told.values()) == {"took it"}
                    break
                assert code == -signal.SIGKILL
                kills += 1
                journal = Journal(folder)
                entries = [
                    e for e in journal.entries() if e.change.files["oakbridge.toml"].count(f'"{word}"')
                ]
                journal.close()
                if not entries:  # killed before its first write: nothing was sent
                    assert fleet.truth() == before
                    assert (at, side) == (1, "before")
                    continue
                code, told = await tool(folder, word, entries[0].id, 0, side)
                assert code == 0, (at, told)
                assert set(told.values()) == {"took it"}, (at, told)
                assert set(fleet.truth().values()) == {word}
            assert kills >= 3
            for server in servers:
                server.close()

    run(test(), 4 * LIMIT)
