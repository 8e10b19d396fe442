"""An agent as a process, with real nodes: applies, rolls back, outlives and is outlived."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from peers import TIMEOUT_S, free_ports

from oakbridge.agent.node_process import listener_pid
from oakbridge.fleet import messages, pki
from oakbridge.fleet.client import FleetClient
from oakbridge.fleet.identity import Identity, IdentityKind, Role
from oakbridge.fleet.inventory import Inventory, read_inventory, write_inventory
from oakbridge.fleet.quorum import majority

ROOT = Path(__file__).parents[2]
SECOND = 1_000_000
NODES = ("n1", "n2")


def config(aim: str = "1s") -> dict[str, str]:
    return {
        "oakbridge.toml": '[servers]\nfile = "servers.toml"\n\n[[class]]\nname = "look"\n'
        f'aim = "{aim}"\ndeadline = "9s"\nrepeat = "safe"\n',
        "servers.toml": '[[server]]\nname = "a"\naddress = "127.0.0.1:9"\n',
    }


def environment() -> dict[str, str]:
    return os.environ | {"PYTHONPATH": str(ROOT)}


class Host:
    """One agent with two nodes, and an operator of its fleet."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.fleet = folder, folder / "fleet"
        pki.create_authority(self.fleet, "f")
        pki.issue_certificate(
            self.fleet, Identity("f", IdentityKind.AGENT, "h1", Role.READ), self.fleet / "h1"
        )
        for name, role in (("kari", Role.WRITE), ("ola", Role.WRITE), ("look", Role.READ)):
            pki.issue_certificate(
                self.fleet, Identity("f", IdentityKind.OPERATOR, name, role), self.fleet / name
            )
        self.inventory = Inventory("f", {"h1": ("127.0.0.1", free_ports(1)[0])})
        self.state = folder / "state"
        lines = [
            'name = "h1"\nfleet = "f"\nstate = "state"',
            'authority = "fleet/ca.crt"\ncertificate = "fleet/h1"',
            f'listen = "127.0.0.1:{self.inventory.agents["h1"][1]}"',
        ]
        lines += [
            f'[[instance]]\nname = "{name}"\nlisten = ["127.0.0.1:{free_ports(1)[0]}"]'
            for name in NODES
        ]
        (folder / "agent.toml").write_text("\n".join(lines))
        self.agent: subprocess.Popen | None = None

    def __enter__(self) -> "Host":
        self.start()
        return self

    def start(self) -> None:
        config = self.folder / "agent.toml"
        with (self.folder / "agent.log").open("ab") as out:
            self.agent = subprocess.Popen(
                [sys.executable, "-m", "oakbridge.cli", "agent", "--config", str(config)],
                env=environment(), stdout=out, stderr=out,
            )  # fmt: skip
        self.until(lambda: self.status())

    def kill(self) -> None:
        self.agent.kill()
        self.agent.wait()

    def __exit__(self, *_) -> None:
        if self.agent.poll() is None:
            self.kill()
        for name in NODES:
            pid = listener_pid(self.state / f"{name}.sock")
            if pid is not None:
                os.kill(pid, signal.SIGCONT)
                os.kill(pid, signal.SIGKILL)

    def ask(self, request, who: str = "kari"):
        tls = pki.tls_context(self.fleet / "ca.crt", self.fleet / who, server=False)
        return asyncio.run(FleetClient(self.inventory, tls).call("h1", request))

    def lease(self, token: int, who: str = "kari", length: float = 60):
        return self.ask(messages.LeaseRequest(token, int(length * SECOND)), who)

    def step(
        self, token: int, name: str, base: int, files=None, step: str = "", watch: float = 1.0
    ):
        order = messages.StepRequest(
            token,
            step or f"s{token}-{name}",
            name,
            token,
            base,
            int(watch * SECOND),
            files or config(),
        )
        return self.ask(order)

    def status(self):
        heard = self.ask(messages.StatusRequest(), "look")
        return heard.body if heard.status == 200 else None

    def instance(self, name: str) -> dict:
        return next(
            i for i in (self.status() or {"instances": []})["instances"] if i["name"] == name
        )

    def until(self, what):
        end = time.monotonic() + TIMEOUT_S
        while not (got := what()):
            assert self.agent.poll() is None, (self.folder / "agent.log").read_text()
            assert time.monotonic() < end, (self.folder / "agent.log").read_text()[-3000:]
            time.sleep(0.05)
        return got

    def ended(self, name: str, step: str) -> list:
        return self.until(
            lambda: next((o for o in self.instance(name)["outcomes"] if o[0] == step), None)
        )

    def well(self, name: str, generation: int) -> dict:
        """Until an instance runs a generation, by what its process says."""
        return self.until(
            lambda: (
                (i := self.instance(name))["generation"] == generation
                and i["process"] == "running"
                and i["change"] == "settled"
                and i["node"].get("ready")
                and i
            )
        )


@pytest.fixture
def host(tmp_path):
    with Host(tmp_path) as host:
        host.lease(1)
        for name in NODES:
            assert host.step(1, name, 0).status == 202
        for name in NODES:
            assert host.ended(name, f"s1-{name}")[1] == "took it"
            host.well(name, 1)
        yield host


def test_a_change_is_taken_kept_and_sent_again_without_effect(host):
    host.lease(2)
    before = host.instance("n1")["pid"]
    assert host.step(2, "n1", 1, config("2s")).status == 202
    assert host.ended("n1", "s2-n1")[1] == "took it"
    after = host.well("n1", 2)
    assert after["pid"] != before
    assert host.instance("n2")["generation"] == 1
    again = host.step(2, "n1", 1, config("2s"))
    assert (again.status, again.body["verdict"]) == (200, "took it")
    assert host.instance("n1")["pid"] == after["pid"]
    got = host.ask(messages.FilesRequest("n1", 2), "look")
    assert got.body["files"] == config("2s")


def test_what_the_nodes_own_checker_refuses_changes_nothing(host):
    host.lease(2)
    pid = host.instance("n1")["pid"]
    told = host.step(2, "n1", 1, config("soon"))
    assert told.body["verdict"] == "did not"
    assert "class[0].aim: expected a time" in told.body["reason"]
    told = host.step(2, "n1", 1, {"servers.toml": "x"}, step="other")
    assert told.status == 400
    assert "expected oakbridge.toml" in told.body["error"]
    assert (host.instance("n1")["generation"], host.instance("n1")["pid"]) == (1, pid)


def test_a_node_that_dies_while_it_is_watched_is_taken_back(host):
    host.lease(2)
    old = host.instance("n1")["pid"]
    host.step(2, "n1", 1, config("2s"), watch=20)
    new = host.until(
        lambda: (i := host.instance("n1"))["pid"] != old and i["process"] == "running" and i
    )
    assert new["change"] == "watching"
    os.kill(new["pid"], signal.SIGKILL)
    _, verdict, reason = host.ended("n1", "s2-n1")
    assert verdict == "undone"
    assert "signal 9" in reason
    host.well("n1", 1)
    assert host.ask(messages.FilesRequest("n1", 1), "look").body["files"] == config()


def test_a_node_that_crashes_is_started_again(host):
    first = host.instance("n1")["pid"]
    os.kill(first, signal.SIGKILL)
    host.until(lambda: host.instance("n1")["pid"] not in (first, None))
    assert host.well("n1", 1)["crashes"] == 1
    assert host.instance("n2")["crashes"] == 0


def test_nodes_outlive_their_agent_and_are_found_again(host):
    before = {name: host.instance(name)["pid"] for name in NODES}
    host.kill()
    assert {name: listener_pid(host.state / f"{name}.sock") for name in NODES} == before
    host.start()
    for name in NODES:
        assert host.well(name, 1)["pid"] == before[name]


def test_an_agent_killed_in_mid_change_goes_on_when_it_is_back(host):
    host.lease(2)
    host.step(2, "n1", 1, config("2s"), watch=3)
    host.until(lambda: host.instance("n1")["change"] == "watching")
    host.kill()
    host.start()
    assert host.ended("n1", "s2-n1")[1] == "took it"
    host.well("n1", 2)


def test_an_agent_frozen_through_a_lease_wakes_and_does_as_was_decided_meanwhile(host):
    host.lease(2, length=1)
    host.agent.send_signal(signal.SIGSTOP)
    late = host.step(2, "n1", 1, config("2s"))
    assert late.error.startswith("no answer within")
    time.sleep(1.2)
    host.agent.send_signal(signal.SIGCONT)
    host.until(lambda: host.status())
    told = host.lease(3, "ola")
    assert told.status == 200
    told = host.step(2, "n1", 1, config("2s"), step="again")
    assert told.status == 409
    assert told.body["holder"] == "ola"
    assert host.instance("n1")["generation"] == 1


def test_two_operators_and_one_that_may_only_look(host):
    host.lease(2)
    told = host.lease(3, "ola")
    assert told.status == 409
    assert told.body["holder"] == "kari"
    assert told.body["since"] > 0
    assert host.ask(messages.LeaseRequest(9, SECOND), "look").status == 403
    assert (
        host.ask(messages.StepRequest(2, "x", "n1", 2, 1, SECOND, config("2s")), "look").status
        == 403
    )
    assert host.instance("n1")["generation"] == 1
    assert host.step(2, "n9", 1).status == 404


@pytest.fixture
def call(tmp_path):
    """Calls a command of ``oakbridge fleet`` in a folder of its own."""

    def call(*words: str):
        command = [sys.executable, "-m", "oakbridge.cli", "fleet", *words]
        return subprocess.run(
            command,
            cwd=tmp_path,
            env=environment(),
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )

    return call


def test_fleet_watch_writes_each_change_of_health_once(call):
    port = free_ports(1)[0]
    call("init", "bergen")
    call("add-agent", "h1", f"127.0.0.1:{port}")
    done = call("watch", "--every", "0.2", "--count", "2", "--json")
    assert (done.returncode, done.stderr) == (0, "")
    [line] = done.stdout.splitlines()
    change = json.loads(line)
    assert change.pop("time") > 0
    assert change == {"name": "h1", "was": None, "is": "unknown"}
    done = call("watch", "--every", "0.2", "--count", "2")
    assert done.returncode == 0
    assert done.stdout.count("no instances; 1 of 1 agents unknown; generations: none") == 2


def test_fleet_commands_from_init_to_status(call, tmp_path):
    assert call("status").returncode == 2
    assert call("init", "bergen").returncode == 0
    assert "already exists" in call("init", "bergen").stderr
    assert call("status").returncode == 2
    port = free_ports(1)[0]
    assert call("add-agent", "h1", f"127.0.0.1:{port}").returncode == 0
    assert call("add-agent", "h1", "127.0.0.1:1").returncode == 2
    assert call("add-agent", "h2", "here").returncode == 2
    assert call("add-operator", "ola", "--read-only").returncode == 0
    assert list(read_inventory(tmp_path / "fleet").agents) == ["h1"]
    done = call("status", "--as", "ola", "--json", "--within", "1")
    told = json.loads(done.stdout)
    assert done.returncode == 1
    assert told["agents"][0]["state"] == "unknown"
    assert told["instances"] == []
    assert "1 of 1 agents unknown" in call("status", "--within", "1").stdout
    write_inventory(tmp_path / "fleet", Inventory("bergen", {}))
    assert "Traceback" not in call("status").stderr


def test_a_majority_of_one_is_one():
    assert majority(1) == 1
