"""The command line as it is called: nodes, files, status, and how each command ends."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest
from peers import TIMEOUT_S, free_ports

from oakbridge.control.client import ControlClient
from oakbridge.control.errors import NodeUnreachableError
from oakbridge.control.protocol import ControlCommand

ROOT = Path(__file__).parents[2]
CLASSES = '[[class]]\nname = "look"\naim = "1s"\ndeadline = "2s"\nrepeat = "safe"\n'
SERVERS = '[[server]]\nname = "{}"\naddress = "127.0.0.1:{}"\n'


def environment(**more: str) -> dict[str, str]:
    return (
        {k: v for k, v in os.environ.items() if not k.startswith("NODE_")}
        | {"PYTHONPATH": str(ROOT)}
        | more
    )


def call(*words: str, cwd: Path = ROOT, **more: str) -> subprocess.CompletedProcess:
    command = [sys.executable, "-m", "oakbridge.cli", *map(str, words)]
    return subprocess.run(
        command, cwd=cwd, env=environment(**more), capture_output=True, text=True, timeout=2 * TIMEOUT_S
    )  # fmt: skip


def written(folder: Path, servers: str = 'file = "servers.toml"', more: str = "") -> Path:
    path = folder / "oakbridge.toml"
    path.write_text(
        f'[node]\nname = "t"\nlisten = ["127.0.0.1:{free_ports(1)[0]}", "127.0.0.1:{free_ports(1)[0]}"]\n\n'
        f"[servers]\n{servers}\n\n"
        f'{CLASSES}\n[control]\nsocket = "{folder}/t.sock"\n{more}'
    )
    return path


class Serving:
    """`oakbridge serve` as a process of its own."""

    def __init__(self, config: Path) -> None:
        self.config, self.log = config, config.with_suffix(".log")

    def __enter__(self) -> "Serving":
        with self.log.open("wb") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "oakbridge.cli", "serve", "--config", str(self.config)],
                env=environment(), stdout=out, stderr=out,
            )  # fmt: skip
        self.until(lambda: self.ask("status"))
        return self

    def ask(self, do: str, **arguments):
        try:
            with ControlClient(self.config.parent / "t.sock") as client:
                return client.request(ControlCommand(do), **arguments)
        except NodeUnreachableError:
            return None

    def until(self, what):
        """Until something is so; the node may not end meanwhile."""
        end = time.monotonic() + TIMEOUT_S
        while not (got := what()):
            assert self.process.poll() is None, self.log.read_text()
            assert time.monotonic() < end, self.log.read_text()
            time.sleep(0.02)
        return got

    def __exit__(self, *_) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


def source(node: Serving) -> dict:
    return node.ask("status")["source"]


def test_a_node_from_a_file_to_its_end(tmp_path):
    servers = tmp_path / "servers.toml"
    servers.write_text(SERVERS.format("a", 1) + SERVERS.format("b", 2))
    config = written(tmp_path)
    with Serving(config) as node:
        told = json.loads(call("status", "--socket", tmp_path / "t.sock", "--json").stdout)
        assert (told["name"], told["servers"], told["pid"], len(told["listen"])) == (
            "t",
            2,
            node.process.pid,
            2,
        )
        for address in told["listen"]:
            host, port = address.split(":")
            with socket.create_connection((host, int(port))) as caller:
                caller.sendall(b"GET /-/ready HTTP/1.1\r\nHost: t\r\n\r\n")
                assert caller.recv(100).startswith(b"HTTP/1.1 200")
        shown = call("status", "--config", config)
        assert shown.returncode == 0
        assert "version 1 (2 servers" in shown.stdout

        servers.write_text("broken")
        node.until(lambda: source(node)["refused"])
        assert (
            "NOT USED: servers.toml:1: expected TOML" in call("status", "--config", config).stdout
        )
        servers.write_text(SERVERS.format("c", 3))
        held = node.until(lambda: source(node)["held"])
        refused = call("servers", "accept", "--config", config, "--digest", "00")
        assert refused.returncode == 1
        assert f"is {held['digest'][:12]}, not 00" in refused.stderr
        assert (
            call("servers", "accept", "--config", config, "--digest", held["digest"]).returncode
            == 0
        )
        node.until(lambda: source(node)["used"]["number"] == 2)
        assert [row["name"] for row in node.ask("status")["rows"]] == ["c"]

        config.write_text(config.read_text().replace("1s", "soon"))
        node.process.send_signal(signal.SIGHUP)
        node.until(
            lambda: "oakbridge.toml:10: class[0].aim: expected a time" in node.log.read_text()
        )
        assert node.ask("status")["servers"] == 1

        node.process.terminate()
        assert node.process.wait(TIMEOUT_S) == 0
        assert not (tmp_path / "t.sock").exists()
        assert "Traceback" not in node.log.read_text()


def test_a_node_with_servers_in_its_configuration(tmp_path):
    config = written(tmp_path, 'inline = [{name = "a", address = "127.0.0.1:1"}]')
    with Serving(config) as node:
        told = node.ask("status")
        assert (told["source"]["kind"], told["servers"]) == ("inline", 1)
        assert call("servers", "accept", "--config", config).returncode == 1


@pytest.mark.parametrize(
    ("content", "says"),
    [
        (None, "No such file"),
        ("", "empty file"),
        ('[[server]]\nname = "a"\n', "servers.toml:1: server[0].address"),
    ],
)
def test_a_bad_server_file_at_the_start_is_one_line(tmp_path, content, says):
    if content is not None:
        (tmp_path / "servers.toml").write_text(content)
    done = call("serve", "--config", written(tmp_path))
    assert done.returncode == 2
    lines = [line for line in done.stderr.splitlines() if line.startswith("oakbridge: ")]
    assert len(lines) == 1
    assert says in lines[0]
    assert "Traceback" not in done.stderr


def test_a_port_in_use_is_one_line(tmp_path):
    config = written(tmp_path, 'inline = [{name = "a", address = "127.0.0.1:1"}]')
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        config.write_text(config.read_text().replace("listen = [", f'listen = ["{address}", '))
        done = call("serve", "--config", config)
    assert done.returncode == 1
    assert address in done.stderr
    assert len(done.stderr.splitlines()) == 1


def test_check_tells_every_mistake_of_the_configuration_and_of_its_servers(tmp_path):
    config = written(tmp_path)
    (tmp_path / "servers.toml").write_text(
        '[[server]]\nname = "a"\naddress = "127.0.0.1:1"\nweight = -1\n'
    )
    done = call("check", config)
    assert done.returncode == 2
    assert "servers.toml:4: server[0].weight: expected a number above 0" in done.stderr
    config.write_text(config.read_text().replace('"1s"', '"x"').replace('"safe"', '"y"'))
    done = call("check", config, "--json")
    assert done.returncode == 2
    told = json.loads(done.stdout)
    assert [p["line"] for p in told["problems"]] == [10, 12]
    assert told["ok"] is False
    (tmp_path / "servers.toml").write_text(SERVERS.format("a", 1))
    done = call("check", written(tmp_path))
    assert (done.returncode, "1 servers" in done.stdout) == (0, True)


def test_servers_show_tells_what_a_file_would_change(tmp_path):
    old, new = tmp_path / "old.toml", tmp_path / "new.toml"
    old.write_text(SERVERS.format("a", 1) + SERVERS.format("b", 2) + SERVERS.format("c", 3))
    new.write_text(SERVERS.format("a", 1) + SERVERS.format("b", 9) + SERVERS.format("d", 4))
    told = json.loads(call("servers", "show", new, "--against", old, "--json").stdout)
    assert (told["added"], told["moved"], told["gone"], told["taken_away"]) == (
        ["d"],
        ["b"],
        ["c"],
        2,
    )
    shown = call("servers", "show", new, "--against", old).stdout
    assert "1 added, 0 changed, 1 moved, 1 gone; 2 of 3 ready servers (67%)" in shown
    assert call("servers", "check", new).stdout.endswith("good (3 servers, 3 of them ready)\n")
    new.write_text("x")
    assert call("servers", "check", new).returncode == 2
    assert json.loads(call("servers", "check", new, "--json").stdout)["ok"] is False


@pytest.mark.parametrize(
    ("words", "code", "says"),
    [
        (["unheard-of"], 2, "No such command"),
        (["serve"], 2, "expected --config FILE"),
        (["serve", "--config", "/nonexistent.toml"], 2, "No such file"),
        (["check"], 2, "expected the configuration's FILE"),
        (["status", "--socket", "/nonexistent.sock"], 1, "no node answers there"),
        (["status", "--rows", "x"], 2, "--rows"),
        (["demo", "--rate", "0"], 2, "--rate"),
    ],
)
def test_a_mistake_in_the_call_is_told_without_a_traceback(words, code, says):
    done = call(*words)
    assert done.returncode == code
    assert says in done.stderr
    assert "Traceback" not in done.stderr


def test_status_without_a_name_finds_the_only_node(tmp_path):
    done = call("status", XDG_RUNTIME_DIR=str(tmp_path))
    assert done.returncode == 1
    assert "is a node running?" in done.stderr


def test_the_demo_runs_to_its_end():
    done = call("demo", "--seconds", "3", "--rate", "120", "--json")
    assert done.returncode == 0, done.stderr
    told = json.loads(done.stdout)
    assert told["lost"] == 0
    assert sum(told["answered"].values()) == told["sent"] > 200
    assert told["by_server"]["late"] > 0
    assert told["list_version"] == 2


def test_the_platforms_node_imports_none_of_what_it_does_not_use():
    """Guards start-up and memory: the command line's libraries, and every subsystem that is off there."""
    code = "import sys, oakbridge.__main__; print(*sys.modules)"
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_S
    )
    loaded = set(done.stdout.split())
    assert "oakbridge.node.node" in loaded
    for name in ("click", "rich", "pydantic", "watchfiles", "tree_sitter", "sqlite3", "tomllib"):
        assert name not in loaded
    ours = {name.split(".")[1] for name in loaded if name.startswith("oakbridge.")}
    assert ours == {"node", "policy", "__main__"}


def test_without_platform_and_arguments_the_program_says_what_there_is():
    done = subprocess.run(
        [sys.executable, "-m", "oakbridge"],
        cwd=ROOT,
        env=environment(),
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert done.returncode == 2
    assert len(done.stderr.splitlines()) == 1
    assert "NODE_CONFIG" in done.stderr
    assert "oakbridge demo" in done.stderr
