"""Servers divided among real nodes, one of which is killed; and what an operator sees of it."""

import asyncio
import json

from click.testing import CliRunner
from peers import free_ports

from oakbridge.cli.main import cli
from oakbridge.cli.serve import ServeOptions, build_ready_node, node_services

PLAN = """
settings = "[spread]"
[lab]
warm_up = "6s"
lasts = "16s"
[[site]]
name = "a"
nodes = 6
servers = 8
[servers]
time = "20ms"
workers = 2
[[class]]
name = "look"
aim = "3s"
deadline = "6s"
rate = 80.0
[[fault]]
at = "1s"
kind = "kill"
share = 0.17
[[check]]
name = "served"
least = 0.95
[[check]]
name = "idle beyond chance"
most = 5.0
"""


def test_nodes_divide_the_servers_and_do_so_anew_without_one_that_is_dead(tmp_path):
    (tmp_path / "plan.toml").write_text(PLAN)
    out = tmp_path / "out"
    result = CliRunner().invoke(cli, ["lab", "run", str(tmp_path / "plan.toml"), "--out", str(out)])
    assert result.exit_code == 0, result.output
    divisions = {}
    for log in (out / "nodes").glob("*.log"):
        lines = [
            json.loads(line) for line in log.read_text().splitlines() if "servers divided" in line
        ]
        divisions[log.name] = [line["event"] for line in lines]
    killed = next(
        s
        for s in json.loads((out / "summary.json").read_text())["checks"]
        if s["name"] == "changes"
    )
    assert killed["figure"] > 0
    assert len(divisions) == 6
    assert all(lines and "of 8 for this node" in lines[-1] for lines in divisions.values()), (
        divisions
    )
    # Some arcs may stay where they are.
    assert sum(len(lines) >= 2 for lines in divisions.values()) >= 3, divisions


NODE = """
[node]
name = "n1"
listen = ["127.0.0.1:0"]
[servers]
{2}
[[class]]
name = "look"
aim = "2s"
deadline = "5s"
[control]
socket = "{0}/n1.sock"
{1}
"""
PEERS = """[peers]
listen = "127.0.79.1:{}"
secret_file = "secret"
"""
SERVERS = "".join(
    f'[[servers.inline]]\nname = "s{n}"\naddress = "127.0.0.1:{n + 1}"\n' for n in range(4)
)


def test_an_operator_sees_who_uses_which_server(tmp_path):
    (tmp_path / "secret").write_text("s" * 16)
    node_port, plain_port = free_ports(2)
    files = {
        "node": PEERS.format(node_port) + "[spread]",
        "plain": PEERS.format(plain_port),
        "alone": "[spread]",
    }
    for name, more in files.items():
        (tmp_path / f"{name}.toml").write_text(NODE.format(tmp_path, more, SERVERS))
    ask = ("spread", "--socket", str(tmp_path / "n1.sock"))

    async def played(name, *looks) -> None:
        loop = asyncio.get_running_loop()
        loaded = ServeOptions(tmp_path / name, None, (), None).load()
        node = await build_ready_node(loaded, loop)
        async with asyncio.timeout(60), node_services(loaded, node, None):
            for words, code, text in looks:
                found = await asyncio.to_thread(CliRunner().invoke, cli, [*ask, *words])
                assert (found.exit_code, text in found.output) == (code, True), found.output
        node.close()

    divided = (((), 0, "each node draws its own"), (("--json",), 0, '"divided": false'))
    asyncio.run(played("node.toml", *divided))
    asyncio.run(played("plain.toml", ((), 1, "no [spread]")))
    refused = CliRunner().invoke(cli, ["check", str(tmp_path / "alone.toml")])
    assert refused.exit_code == 2
    assert "[peers]" in refused.output
