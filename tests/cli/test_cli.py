"""The command line as a process: output and exit codes, without and with a running node."""

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
CLASS_TABLE = '[[class]]\nname = "look"\naim = "1s"\ndeadline = "2s"\nrepeat = "safe"\n'
SERVER_TABLE = '[[server]]\nname = "{}"\naddress = "127.0.0.1:{}"\n'


def environment(**variables: str) -> dict[str, str]:
    return (
        {name: value for name, value in os.environ.items() if not name.startswith("NODE_")}
        | {"PYTHONPATH": str(ROOT)}
        | variables
    )


def run_cli(*arguments: str, cwd: Path = ROOT, **variables: str) -> subprocess.CompletedProcess:
    command = [sys.executable, "-m", "oakbridge.cli", *map(str, arguments)]
    return subprocess.run(
        command,
        cwd=cwd,
        env=environment(**variables),
        capture_output=True,
        text=True,
        timeout=2 * TIMEOUT_S,
    )


def write_config(
    folder: Path, servers: str = 'file = "servers.toml"', more_tables: str = ""
) -> Path:
    path = folder / "oakbridge.toml"
    path.write_text(
        f'[node]\nname = "t"\nlisten = ["127.0.0.1:{free_ports(1)[0]}", "127.0.0.1:{free_ports(1)[0]}"]\n\n'
        f"[servers]\n{servers}\n\n"
        f'{CLASS_TABLE}\n[control]\nsocket = "{folder}/t.sock"\n{more_tables}'
    )
    return path


class ServeProcess:
    """`oakbridge serve` with this configuration, as a process."""

    def __init__(self, config: Path) -> None:
        self.config, self.log = config, config.with_suffix(".log")

    def __enter__(self) -> "ServeProcess":
        with self.log.open("wb") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "oakbridge.cli", "serve", "--config", str(self.config)],
                env=environment(), stdout=out, stderr=out,
            )  # fmt: skip
        self.wait_until(lambda: self.request("status"))
        return self

    def request(self, command_name: str, **arguments):
        """Return the result of a control command, None while the node is unreachable."""
        try:
            with ControlClient(self.config.parent / "t.sock") as client:
                return client.request(ControlCommand(command_name), **arguments)
        except NodeUnreachableError:
            return None

    def wait_until(self, condition):
        """Wait until the condition is true, and return its value; fail if the node exits."""
        deadline_s = time.monotonic() + TIMEOUT_S
        while not (value := condition()):
            assert self.process.poll() is None, self.log.read_text()
            assert time.monotonic() < deadline_s, self.log.read_text()
            time.sleep(0.02)
        return value

    def __exit__(self, *_) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


def source(node: ServeProcess) -> dict:
    return node.request("status")["source"]


def test_a_node_with_a_server_file_from_its_start_to_its_exit(tmp_path):
    servers = tmp_path / "servers.toml"
    servers.write_text(SERVER_TABLE.format("a", 1) + SERVER_TABLE.format("b", 2))
    config = write_config(tmp_path)
    with ServeProcess(config) as node:
        status = json.loads(run_cli("status", "--socket", tmp_path / "t.sock", "--json").stdout)
        assert (status["name"], status["servers"], status["pid"], len(status["listen"])) == (
            "t",
            2,
            node.process.pid,
            2,
        )
        for address in status["listen"]:
            host, port = address.split(":")
            with socket.create_connection((host, int(port))) as connection:
                connection.sendall(b"GET /-/ready HTTP/1.1\r\nHost: t\r\n\r\n")
                assert connection.recv(100).startswith(b"HTTP/1.1 200")
        status_result = run_cli("status", "--config", config)
        assert status_result.returncode == 0
        assert "version 1 (2 servers" in status_result.stdout

        servers.write_text("broken")
        node.wait_until(lambda: source(node)["refused"])
        assert (
            "NOT USED: servers.toml:1: expected TOML"
            in run_cli("status", "--config", config).stdout
        )
        servers.write_text(SERVER_TABLE.format("c", 3))
        held = node.wait_until(lambda: source(node)["held"])
        rejection = run_cli("servers", "accept", "--config", config, "--digest", "00")
        assert rejection.returncode == 1
        assert f"is {held['digest'][:12]}, not 00" in rejection.stderr
        assert (
            run_cli("servers", "accept", "--config", config, "--digest", held["digest"]).returncode
            == 0
        )
        node.wait_until(lambda: source(node)["used"]["number"] == 2)
        assert [row["name"] for row in node.request("status")["rows"]] == ["c"]

        config.write_text(config.read_text().replace("1s", "soon"))
        node.process.send_signal(signal.SIGHUP)
        node.wait_until(
            lambda: "oakbridge.toml:10: class[0].aim: expected a time" in node.log.read_text()
        )
        assert node.request("status")["servers"] == 1

        node.process.terminate()
        assert node.process.wait(TIMEOUT_S) == 0
        assert not (tmp_path / "t.sock").exists()
        assert "Traceback" not in node.log.read_text()


def test_a_node_with_servers_in_its_configuration(tmp_path):
    config = write_config(tmp_path, 'inline = [{name = "a", address = "127.0.0.1:1"}]')
    with ServeProcess(config) as node:
        status = node.request("status")
        assert (status["source"]["kind"], status["servers"]) == ("inline", 1)
        assert run_cli("servers", "accept", "--config", config).returncode == 1


@pytest.mark.parametrize(
    ("content", "expected"),
    [
        (None, "No such file"),
        ("", "empty file"),
        ('[[server]]\nname = "a"\n', "servers.toml:1: server[0].address"),
    ],
)
def test_an_invalid_server_file_at_the_start_prints_one_error_line(tmp_path, content, expected):
    if content is not None:
        (tmp_path / "servers.toml").write_text(content)
    result = run_cli("serve", "--config", write_config(tmp_path))
    assert result.returncode == 2
    lines = [line for line in result.stderr.splitlines() if line.startswith("oakbridge: ")]
    assert len(lines) == 1
    assert expected in lines[0]
    assert "Traceback" not in result.stderr


def test_a_port_in_use_prints_one_error_line(tmp_path):
    config = write_config(tmp_path, 'inline = [{name = "a", address = "127.0.0.1:1"}]')
    with socket.create_server(("127.0.0.1", 0)) as busy_socket:
        address = f"127.0.0.1:{busy_socket.getsockname()[1]}"
        config.write_text(config.read_text().replace("listen = [", f'listen = ["{address}", '))
        result = run_cli("serve", "--config", config)
    assert result.returncode == 1
    assert address in result.stderr
    assert len(result.stderr.splitlines()) == 1


def test_check_reports_every_mistake_of_the_configuration_and_of_its_servers(tmp_path):
    config = write_config(tmp_path)
    (tmp_path / "servers.toml").write_text(
        '[[server]]\nname = "a"\naddress = "127.0.0.1:1"\nweight = -1\n'
    )
    result = run_cli("check", config)
    assert result.returncode == 2
    assert "servers.toml:4: server[0].weight: expected a number above 0" in result.stderr
    config.write_text(config.read_text().replace('"1s"', '"x"').replace('"safe"', '"y"'))
    result = run_cli("check", config, "--json")
    assert result.returncode == 2
    report = json.loads(result.stdout)
    assert [problem["line"] for problem in report["problems"]] == [10, 12]
    assert report["ok"] is False
    (tmp_path / "servers.toml").write_text(SERVER_TABLE.format("a", 1))
    result = run_cli("check", write_config(tmp_path))
    assert (result.returncode, "1 servers" in result.stdout) == (0, True)


def test_servers_show_prints_what_a_file_would_change(tmp_path):
    old_file, new_file = tmp_path / "old.toml", tmp_path / "new.toml"
    old_file.write_text(
        SERVER_TABLE.format("a", 1) + SERVER_TABLE.format("b", 2) + SERVER_TABLE.format("c", 3)
    )
    new_file.write_text(
        SERVER_TABLE.format("a", 1) + SERVER_TABLE.format("b", 9) + SERVER_TABLE.format("d", 4)
    )
    change = json.loads(
        run_cli("servers", "show", new_file, "--against", old_file, "--json").stdout
    )
    assert (change["added"], change["moved"], change["gone"], change["taken_away"]) == (
        ["d"],
        ["b"],
        ["c"],
        2,
    )
    output = run_cli("servers", "show", new_file, "--against", old_file).stdout
    assert "1 added, 0 changed, 1 moved, 1 gone; 2 of 3 ready servers (67%)" in output
    assert run_cli("servers", "check", new_file).stdout.endswith(
        "good (3 servers, 3 of them ready)\n"
    )
    new_file.write_text("x")
    assert run_cli("servers", "check", new_file).returncode == 2
    assert json.loads(run_cli("servers", "check", new_file, "--json").stdout)["ok"] is False


@pytest.mark.parametrize(
    ("arguments", "exit_code", "expected"),
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
def test_invalid_usage_prints_an_error_without_a_traceback(arguments, exit_code, expected):
    result = run_cli(*arguments)
    assert result.returncode == exit_code
    assert expected in result.stderr
    assert "Traceback" not in result.stderr


def test_status_without_options_fails_if_no_node_runs(tmp_path):
    result = run_cli("status", XDG_RUNTIME_DIR=str(tmp_path))
    assert result.returncode == 1
    assert "is a node running?" in result.stderr


def test_the_demo_answers_every_request():
    result = run_cli("demo", "--seconds", "3", "--rate", "120", "--json")
    assert result.returncode == 0, result.stderr
    report = json.loads(result.stdout)
    assert report["lost"] == 0
    assert sum(report["answered"].values()) == report["sent"] > 200
    assert report["by_server"]["late"] > 0
    assert report["list_version"] == 2


def test_the_platforms_node_imports_no_unused_library_or_subsystem():
    """Guards start-up time and memory, which unused libraries and subsystems would cost."""
    code = "import sys, oakbridge.__main__; print(*sys.modules)"
    result = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_S
    )
    modules = set(result.stdout.split())
    assert "oakbridge.node.node" in modules
    for name in ("click", "rich", "pydantic", "watchfiles", "tree_sitter", "sqlite3", "tomllib"):
        assert name not in modules
    subsystems = {name.split(".")[1] for name in modules if name.startswith("oakbridge.")}
    assert subsystems == {"node", "policy", "__main__"}


def test_without_configuration_and_arguments_the_program_prints_how_to_start():
    result = subprocess.run(
        [sys.executable, "-m", "oakbridge"],
        cwd=ROOT,
        env=environment(),
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert result.returncode == 2
    assert len(result.stderr.splitlines()) == 1
    assert "NODE_CONFIG" in result.stderr
    assert "oakbridge demo" in result.stderr
