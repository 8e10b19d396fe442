"""A site's loss and recovery with real processes, and the commands of ``oakbridge sites``."""

import asyncio
import json

import pytest
from click.testing import CliRunner
from example_sites import SITES_TOML
from peers import free_ports

from oakbridge.cli.main import cli
from oakbridge.cli.serve import ServeOptions, build_ready_node, node_services

PLAN = """
settings = "[sites]"
[lab]
warm_up = "3s"
lasts = "26s"
[servers]
time = "20ms"
workers = 2
cold_for = "1s"
[[class]]
name = "look"
aim = "3s"
deadline = "6s"
rate = 150.0
[callers]
repeats = 2
[[fault]]
at = "2s"
kind = "servers down"
site = "c"
lasts = "12s"
[[check]]
name = "moved"
most = 8.0
[[check]]
name = "kept"
least = 0.6
[[check]]
name = "carries"
most = 12.0
""" + "".join(f'[[site]]\nname = "{name}"\nnodes = 2\nservers = 3\n' for name in "abc")


def test_nodes_agree_on_a_sites_loss_and_recovery(tmp_path):
    (tmp_path / "plan.toml").write_text(PLAN)
    out = tmp_path / "out"
    result = CliRunner().invoke(cli, ["lab", "run", str(tmp_path / "plan.toml"), "--out", str(out)])
    summary = (
        json.loads((out / "summary.json").read_text()) if (out / "summary.json").exists() else {}
    )
    failed_checks = [check for check in summary.get("checks", ()) if not check["holds"]]
    assert (result.exit_code, failed_checks) == (0, []), result.output
    states_by_node = {}
    for log in (out / "nodes").glob("*.log"):
        lines = [json.loads(line) for line in log.read_text().splitlines() if '"was"' in line]
        states_by_node[log.name] = [line["state"] for line in lines if line["site"] == "c"]
    # A node may miss the loss if none of its attempts reaches the site's servers in these seconds.
    with_loss = [states for states in states_by_node.values() if "lost" in states]
    assert len(states_by_node) == 6, states_by_node
    assert len(with_loss) >= 4, states_by_node
    assert all(states.index("returning") > states.index("lost") for states in with_loss), (
        states_by_node
    )


NODE = """
[node]
name = "n1"
zone = "a"
listen = ["127.0.0.1:0"]
[servers]
[[servers.inline]]
name = "a1"
address = "127.0.0.1:9"
zone = "a"
[[servers.inline]]
name = "b1"
address = "127.0.0.1:8"
zone = "b"
[[class]]
name = "look"
aim = "2s"
deadline = "5s"
[control]
socket = "{0}/n1.sock"
[peers]
listen = "127.0.79.1:{1}"
secret_file = "secret"
[sites]
{2}
"""


@pytest.fixture
def files(tmp_path):
    (tmp_path / "secret").write_text("s" * 16)
    (tmp_path / "sites.toml").write_text(SITES_TOML)
    return tmp_path


def run_command(*words):
    result = CliRunner().invoke(cli, [str(word) for word in words])
    assert "Traceback" not in result.output
    return result.exit_code, result.output


def test_operators_show_drain_and_return_sites(files):
    (files / "node.toml").write_text(NODE.format(files, *free_ports(1), ""))
    socket_option = ("--socket", files / "n1.sock")

    async def run_commands() -> None:
        loop = asyncio.get_running_loop()
        loaded = ServeOptions(files / "node.toml", None, (), None).load()
        node = await build_ready_node(loaded, loop)
        async with asyncio.timeout(60), node_services(loaded, node, None):
            while "well" not in (await asyncio.to_thread(run_command, "sites", *socket_option))[1]:
                await asyncio.sleep(0.05)
            for words, code, text in (
                (("drain", "nowhere"), 1, "expected one of a, b"),
                (("return", "b"), 1, "not drained by anybody"),
                (("drain", "b"), 0, "is to be drained"),
                (("drain", "b"), 0, "is to be drained"),
                (("drain", "a"), 1, "the last one"),
                (("why", "b"), 0, "operators drain it"),
                (("why", "x"), 1, "no site of the name"),
            ):
                result = await asyncio.to_thread(run_command, "sites", *socket_option, *words)
                assert result[0] == code, (words, result)
                assert text in result[1], (words, result)
            while node.balancer.subset.closed_zones != {"b"}:
                await asyncio.sleep(0.05)
            assert "held out" in (await asyncio.to_thread(run_command, "sites", *socket_option))[1]
            assert (await asyncio.to_thread(run_command, "sites", *socket_option, "return", "b"))[
                0
            ] == 0
            assert "returning" in (await asyncio.to_thread(run_command, "sites", *socket_option))[1]
        node.close()

    asyncio.run(run_commands())


def test_plans_are_computed_checked_and_rejected_with_every_mistake(files):
    computed = run_command("sites", "plan", files / "sites.toml", "--out", files / "plan.json")
    assert computed[0] == 0
    assert "a lost: 9" in computed[1]
    assert "a and b lost" in computed[1]
    assert run_command("sites", "check", files / "sites.toml", files / "plan.json")[0] == 0
    (files / "node.toml").write_text(NODE.format(files, *free_ports(1), 'plan = "plan.json"'))
    assert run_command("check", files / "node.toml")[0] == 0
    (files / "sites.toml").write_text(SITES_TOML.replace("rate = 60.0", "rate = 61.0"))
    assert run_command("sites", "check", files / "sites.toml", files / "plan.json")[0] == 2
    (files / "plan.json").write_text("{}")
    for words in (
        ("check", files / "node.toml"),
        ("sites", "check", files / "sites.toml", files / "plan.json"),
    ):
        code, output = run_command(*words)
        assert code == 2
        assert "plan.json" in output
        assert "expected a plan" in output
    (files / "node.toml").write_text(
        NODE.format(files, *free_ports(1), "step = 5").replace('zone = "a"\nlisten', "listen")
    )
    code, output = run_command("check", files / "node.toml")
    assert code == 2
    assert "sites.step" in output
