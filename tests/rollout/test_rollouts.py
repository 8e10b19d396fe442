"""Whole rollouts over real agents and nodes: complete, refused, undone, and two operators at once."""

import json
import os
import signal
import subprocess
import sys
import time
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

ROOT = Path(__file__).parents[2]
HOSTS = 4
QUICK = ("--watch", "1", "--window", "1", "--silent", "20")


def config(aim: str) -> dict[str, str]:
    return {
        "oakbridge.toml": '[servers]\nfile = "servers.toml"\n\n[[class]]\nname = "look"\n'
        f'aim = "{aim}"\ndeadline = "9s"\nrepeat = "safe"\n',
        "servers.toml": '[[server]]\nname = "a"\naddress = "127.0.0.1:9"\n',
    }


class Fleet:
    """Four hosts with a node each."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.fleet = folder, folder / "fleet"
        self.environment = os.environ | {"PYTHONPATH": str(ROOT)}
        pki.create_authority(self.fleet, "f")
        for name in ("admin", "ola"):
            pki.issue_certificate(
                self.fleet,
                Identity("f", IdentityKind.OPERATOR, name, Role.WRITE),
                self.fleet / "operators" / name,
            )
        ports = free_ports(2 * HOSTS)
        self.names = [f"h{i}" for i in range(HOSTS)]
        write_inventory(
            self.fleet, Inventory("f", {n: ("127.0.0.1", ports[i]) for i, n in enumerate(self.names)})
        )
        self.agents: dict[str, subprocess.Popen] = {}
        for i, name in enumerate(self.names):
            pki.issue_certificate(
                self.fleet, Identity("f", IdentityKind.AGENT, name, Role.READ), self.fleet / "agents" / name
            )
            (folder / f"{name}.toml").write_text(
                f'name = "{name}"\nfleet = "f"\nlisten = "127.0.0.1:{ports[i]}"\nstate = "{name}"\n'
                f'authority = "fleet/ca.crt"\ncertificate = "fleet/agents/{name}"\n'
                f'[[instance]]\nname = "n"\nlisten = ["127.0.0.1:{ports[HOSTS + i]}"]\n'
            )
            self.start(name)

    def start(self, name: str) -> None:
        with (self.folder / f"{name}.log").open("ab") as out:
            command = [
                sys.executable,
                "-m",
                "oakbridge.cli",
                "agent",
                "--config",
                str(self.folder / f"{name}.toml"),
            ]
            self.agents[name] = subprocess.Popen(command, env=self.environment, stdout=out, stderr=out)

    def call(self, *words: str, wait: bool = True):
        command = [sys.executable, "-m", "oakbridge.cli", "fleet", *words]
        process = subprocess.Popen(
            command, cwd=self.folder, env=self.environment, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
        )  # fmt: skip
        if not wait:
            return process
        out, err = process.communicate(timeout=4 * LIMIT)
        assert "Traceback" not in err, err
        return process.returncode, out, err

    def files(self, aim: str) -> str:
        folder = self.folder / f"change-{aim}"
        folder.mkdir(exist_ok=True)
        for name, text in config(aim).items():
            (folder / name).write_text(text)
        return str(folder)

    def apply(self, aim: str, *more: str):
        code, out, err = self.call("apply", "--files", self.files(aim), "--json", *QUICK, *more)
        return code, json.loads(out) if out else err

    def truth(self) -> dict[str, str]:
        """Return what each node's own process says that it runs, by the aim of its class."""
        import hashlib

        by_digest = {
            hashlib.sha256(config(a)["oakbridge.toml"].encode()).hexdigest(): a for a in ("1s", "2s", "3s")
        }
        found = {}
        for name in self.names:
            try:
                with ControlClient(self.folder / name / "n.sock") as client:
                    found[name] = by_digest[client.request(ControlCommand.STATUS, rows=0)["config_digest"]]
            except NodeUnreachableError as e:
                found[name] = f"silent: {e}"
        return found

    def until(self, what):
        end = time.monotonic() + LIMIT
        while not (got := what()):
            assert time.monotonic() < end
            time.sleep(0.05)
        return got

    def well(self) -> bool:
        return self.call("status", "--json")[0] == 0

    def close(self) -> None:
        for agent in self.agents.values():
            agent.send_signal(signal.SIGCONT)
            agent.kill()
            agent.wait()
        for name in self.names:
            pid = listener_pid(self.folder / name / "n.sock")
            if pid is not None:
                os.kill(pid, signal.SIGCONT)
                os.kill(pid, signal.SIGKILL)


@pytest.fixture
def fleet(tmp_path):
    fleet = Fleet(tmp_path)
    try:
        fleet.until(lambda: len(json.loads(fleet.call("status", "--json")[1])["instances"]) == HOSTS)
        code, told = fleet.apply("1s", "--canary", "4", "--unavailable", "4")
        assert (code, told["complete"]) == (0, True), told
        yield fleet
    finally:
        fleet.close()


def fates(told) -> list[str]:
    return [row["fate"] for row in told["instances"]]


def test_a_change_goes_through_and_one_that_is_refused_halts_at_its_canary(fleet):
    code, told = fleet.apply("2s", "--unavailable", "2", "--why", "slower")
    assert code == 0, told
    assert fates(told) == ["took it"] * 4, told
    assert told["stage"] == "done", told
    assert set(fleet.truth().values()) == {"2s"}
    code, told = fleet.apply("soon")
    assert code == 4
    assert sorted(fates(told)) == ["did not"] + ["not reached"] * 3
    assert "class[0].aim: expected a time" in told["reason"]
    assert set(fleet.truth().values()) == {"2s"}
    _, out, _ = fleet.call("history", "--json")
    assert [(e["stage"], e["why"]) for e in json.loads(out)][:2] == [
        ("halted", "2 files"),
        ("done", "slower"),
    ]
    assert json.loads(fleet.call("plan", "--json")[1])["waves"][0] == ["h0/n"]


def test_two_operators_at_once_have_one_winner(fleet):
    first = fleet.call("apply", "--files", fleet.files("2s"), "--json", *QUICK, wait=False)
    fleet.until(lambda: json.loads(fleet.call("history", "--json")[1])[0]["stage"] == "running")
    code, _, err = fleet.call("apply", "--files", fleet.files("3s"), "--as", "ola", *QUICK)
    assert code == 1
    assert "admin has the lease since" in err
    first.communicate(timeout=4 * LIMIT)
    assert first.returncode == 0
    assert set(fleet.truth().values()) == {"2s"}


def test_a_change_that_has_to_be_halted_is_taken_back_everywhere(fleet):
    """Its second instance is killed while it is watched; the first, which took it, goes back as well."""
    process = fleet.call(
        "apply",
        "--files",
        fleet.files("2s"),
        "--json",
        *QUICK,
        "--watch",
        "6",
        "--undo",
        "--canary",
        "1",
        wait=False,
    )
    fleet.until(lambda: list(fleet.truth().values()).count("2s") == 1)
    fleet.until(lambda: list(fleet.truth().values()).count("2s") == 2)
    second = [name for name, aim in fleet.truth().items() if aim == "2s"][1]
    os.kill(listener_pid(fleet.folder / second / "n.sock"), signal.SIGKILL)
    out, _ = process.communicate(timeout=4 * LIMIT)
    told = json.loads(out)
    assert process.returncode == 4, told
    assert told["stage"] == "undone", told
    assert sorted(fates(told)) == ["not reached", "not reached", "undone", "undone"]
    fleet.until(fleet.well)
    assert set(fleet.truth().values()) == {"1s"}
