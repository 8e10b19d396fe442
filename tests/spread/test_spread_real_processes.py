"""Division of servers among real nodes, one of which is killed, and ``oakbridge spread``."""

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


def test_nodes_divide_the_servers_and_divide_them_again_after_a_node_is_killed(tmp_path):
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
    changes = next(
        check
        for check in json.loads((out / "summary.json").read_text())["checks"]
        if check["name"] == "changes"
    )
    assert changes["figure"] > 0
    assert len(divisions) == 6
    assert all(lines and "of 8 for this node" in lines[-1] for lines in divisions.values()), (
        divisions
    )
    # The kill may leave the arcs of some nodes as they are.
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


def test_the_spread_command_needs_spread_and_peers_in_the_configuration(tmp_path):
    (tmp_path / "secret").write_text("s" * 16)
    node_port, plain_port = free_ports(2)
    files = {
        "node": PEERS.format(node_port) + "[spread]",
        "plain": PEERS.format(plain_port),
        "alone": "[spread]",
    }
    for name, tables in files.items():
        (tmp_path / f"{name}.toml").write_text(NODE.format(tmp_path, tables, SERVERS))
    spread_command = ("spread", "--socket", str(tmp_path / "n1.sock"))

    async def run_commands(name, *commands) -> None:
        loop = asyncio.get_running_loop()
        loaded = ServeOptions(tmp_path / name, None, (), None).load()
        node = await build_ready_node(loaded, loop)
        async with asyncio.timeout(60), node_services(loaded, node, None):
            for options, code, text in commands:
                result = await asyncio.to_thread(
                    CliRunner().invoke, cli, [*spread_command, *options]
                )
                assert (result.exit_code, text in result.output) == (code, True), result.output
        node.close()

    not_divided = (((), 0, "each node draws its own"), (("--json",), 0, '"divided": false'))
    asyncio.run(run_commands("node.toml", *not_divided))
    asyncio.run(run_commands("plain.toml", ((), 1, "no [spread]")))
    rejected = CliRunner().invoke(cli, ["check", str(tmp_path / "alone.toml")])
    assert rejected.exit_code == 2
    assert "[peers]" in rejected.output
