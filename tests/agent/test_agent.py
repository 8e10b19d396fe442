"""An agent process with real nodes: steps, rollbacks, restarts and operators' leases."""

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
from oakbridge.fleet.client import FleetClient, run_with_client
from oakbridge.fleet.identity import Identity, IdentityKind, Role
from oakbridge.fleet.inventory import Inventory, read_inventory, write_inventory
from oakbridge.fleet.quorum import majority

ROOT = Path(__file__).parents[2]
US_PER_S = 1_000_000
INSTANCES = ("n1", "n2")


def config_files(aim: str = "1s") -> dict[str, str]:
    return {
        "oakbridge.toml": '[servers]\nfile = "servers.toml"\n\n[[class]]\nname = "look"\n'
        f'aim = "{aim}"\ndeadline = "9s"\nrepeat = "safe"\n',
        "servers.toml": '[[server]]\nname = "a"\naddress = "127.0.0.1:9"\n',
    }


def environment() -> dict[str, str]:
    return os.environ | {"PYTHONPATH": str(ROOT)}


class AgentHost:
    """An agent with two instances, and the operators of its fleet."""

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
            for name in INSTANCES
        ]
        (folder / "agent.toml").write_text("\n".join(lines))
        self.agent: subprocess.Popen | None = None

    def __enter__(self) -> "AgentHost":
        self.start()
        return self

    def start(self) -> None:
        config_file = self.folder / "agent.toml"
        with (self.folder / "agent.log").open("ab") as log_file:
            self.agent = subprocess.Popen(
                [sys.executable, "-m", "oakbridge.cli", "agent", "--config", str(config_file)],
                env=environment(), stdout=log_file, stderr=log_file,
            )  # fmt: skip
        self.wait_until(lambda: self.status())

    def kill(self) -> None:
        self.agent.kill()
        self.agent.wait()

    def __exit__(self, *_) -> None:
        if self.agent.poll() is None:
            self.kill()
        for name in INSTANCES:
            pid = listener_pid(self.state / f"{name}.sock")
            if pid is not None:
                os.kill(pid, signal.SIGCONT)
                os.kill(pid, signal.SIGKILL)

    def call(self, request, operator: str = "kari"):
        tls = pki.tls_context(self.fleet / "ca.crt", self.fleet / operator, server=False)
        client = FleetClient(self.inventory, tls)
        return run_with_client(client, lambda fleet: fleet.call("h1", request))

    def acquire_lease(self, token: int, operator: str = "kari", duration_s: float = 60):
        return self.call(messages.LeaseRequest(token, int(duration_s * US_PER_S)), operator)

    def send_step(
        self,
        token: int,
        instance: str,
        base_generation: int,
        files=None,
        step_id: str = "",
        watch_s: float = 1.0,
    ):
        request = messages.StepRequest(
            token,
            step_id or f"s{token}-{instance}",
            instance,
            token,
            base_generation,
            int(watch_s * US_PER_S),
            files or config_files(),
        )
        return self.call(request)

    def status(self):
        response = self.call(messages.StatusRequest(), "look")
        return response.body if response.status == 200 else None

    def instance(self, name: str) -> dict:
        return next(
            row for row in (self.status() or {"instances": []})["instances"] if row["name"] == name
        )

    def wait_until(self, condition):
        deadline_s = time.monotonic() + TIMEOUT_S
        while not (value := condition()):
            assert self.agent.poll() is None, (self.folder / "agent.log").read_text()
            assert time.monotonic() < deadline_s, (self.folder / "agent.log").read_text()[-3000:]
            time.sleep(0.05)
        return value

    def wait_for_outcome(self, name: str, step_id: str) -> list:
        return self.wait_until(
            lambda: next(
                (outcome for outcome in self.instance(name)["outcomes"] if outcome[0] == step_id),
                None,
            )
        )

    def wait_until_ready(self, name: str, generation: int) -> dict:
        """Wait until an instance's node reports that it is ready with a generation."""
        return self.wait_until(
            lambda: (
                (row := self.instance(name))["generation"] == generation
                and row["process"] == "running"
                and row["change"] == "settled"
                and row["node"].get("ready")
                and row
            )
        )


@pytest.fixture
def host(tmp_path):
    with AgentHost(tmp_path) as host:
        host.acquire_lease(1)
        for name in INSTANCES:
            assert host.send_step(1, name, 0).status == 202
        for name in INSTANCES:
            assert host.wait_for_outcome(name, f"s1-{name}")[1] == "took it"
            host.wait_until_ready(name, 1)
        yield host


def test_step_is_applied_once_though_it_is_sent_twice(host):
    host.acquire_lease(2)
    before = host.instance("n1")["pid"]
    assert host.send_step(2, "n1", 1, config_files("2s")).status == 202
    assert host.wait_for_outcome("n1", "s2-n1")[1] == "took it"
    after = host.wait_until_ready("n1", 2)
    assert after["pid"] != before
    assert host.instance("n2")["generation"] == 1
    repeated = host.send_step(2, "n1", 1, config_files("2s"))
    assert (repeated.status, repeated.body["verdict"]) == (200, "took it")
    assert host.instance("n1")["pid"] == after["pid"]
    response = host.call(messages.FilesRequest("n1", 2), "look")
    assert response.body["files"] == config_files("2s")


def test_step_with_invalid_files_changes_nothing(host):
    host.acquire_lease(2)
    pid = host.instance("n1")["pid"]
    response = host.send_step(2, "n1", 1, config_files("soon"))
    assert response.body["verdict"] == "did not"
    assert "class[0].aim: expected a time" in response.body["reason"]
    response = host.send_step(2, "n1", 1, {"servers.toml": "x"}, step_id="other")
    assert response.status == 400
    assert "expected oakbridge.toml" in response.body["error"]
    assert (host.instance("n1")["generation"], host.instance("n1")["pid"]) == (1, pid)


def test_node_that_crashes_while_watched_is_rolled_back(host):
    host.acquire_lease(2)
    old_pid = host.instance("n1")["pid"]
    host.send_step(2, "n1", 1, config_files("2s"), watch_s=20)
    instance = host.wait_until(
        lambda: (
            (row := host.instance("n1"))["pid"] != old_pid and row["process"] == "running" and row
        )
    )
    assert instance["change"] == "watching"
    os.kill(instance["pid"], signal.SIGKILL)
    _, verdict, reason = host.wait_for_outcome("n1", "s2-n1")
    assert verdict == "undone"
    assert "signal 9" in reason
    host.wait_until_ready("n1", 1)
    assert host.call(messages.FilesRequest("n1", 1), "look").body["files"] == config_files()


def test_node_is_restarted_after_a_crash(host):
    old_pid = host.instance("n1")["pid"]
    os.kill(old_pid, signal.SIGKILL)
    host.wait_until(lambda: host.instance("n1")["pid"] not in (old_pid, None))
    assert host.wait_until_ready("n1", 1)["crashes"] == 1
    assert host.instance("n2")["crashes"] == 0


def test_nodes_outlive_their_agent_and_are_adopted_after_its_restart(host):
    pids = {name: host.instance(name)["pid"] for name in INSTANCES}
    host.kill()
    assert {name: listener_pid(host.state / f"{name}.sock") for name in INSTANCES} == pids
    host.start()
    for name in INSTANCES:
        assert host.wait_until_ready(name, 1)["pid"] == pids[name]


def test_agent_killed_during_a_step_continues_after_its_restart(host):
    host.acquire_lease(2)
    host.send_step(2, "n1", 1, config_files("2s"), watch_s=3)
    host.wait_until(lambda: host.instance("n1")["change"] == "watching")
    host.kill()
    host.start()
    assert host.wait_for_outcome("n1", "s2-n1")[1] == "took it"
    host.wait_until_ready("n1", 2)


def test_step_to_a_suspended_agent_is_refused_once_the_lease_has_expired(host):
    """SIGSTOP suspends the agent when the step arrives, until after the lease has expired."""
    host.acquire_lease(2, duration_s=1)
    host.agent.send_signal(signal.SIGSTOP)
    unanswered = host.send_step(2, "n1", 1, config_files("2s"))
    assert unanswered.error.startswith("no answer within")
    time.sleep(1.2)
    host.agent.send_signal(signal.SIGCONT)
    host.wait_until(lambda: host.status())
    response = host.acquire_lease(3, "ola")
    assert response.status == 200
    response = host.send_step(2, "n1", 1, config_files("2s"), step_id="again")
    assert response.status == 409
    assert response.body["holder"] == "ola"
    assert host.instance("n1")["generation"] == 1


def test_requests_without_the_lease_or_the_role_are_refused(host):
    host.acquire_lease(2)
    response = host.acquire_lease(3, "ola")
    assert response.status == 409
    assert response.body["holder"] == "kari"
    assert response.body["since"] > 0
    assert host.call(messages.LeaseRequest(9, US_PER_S), "look").status == 403
    assert (
        host.call(
            messages.StepRequest(2, "x", "n1", 2, 1, US_PER_S, config_files("2s")), "look"
        ).status
        == 403
    )
    assert host.instance("n1")["generation"] == 1
    assert host.send_step(2, "n9", 1).status == 404


@pytest.fixture
def run_fleet(tmp_path):
    """Runs a command of ``oakbridge fleet`` in a temporary folder."""

    def run_fleet(*arguments: str):
        command = [sys.executable, "-m", "oakbridge.cli", "fleet", *arguments]
        return subprocess.run(
            command,
            cwd=tmp_path,
            env=environment(),
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )

    return run_fleet


def test_fleet_watch_prints_each_change_of_health_once(run_fleet):
    port = free_ports(1)[0]
    run_fleet("init", "bergen")
    run_fleet("add-agent", "h1", f"127.0.0.1:{port}")
    done = run_fleet("watch", "--every", "0.2", "--count", "2", "--json")
    assert (done.returncode, done.stderr) == (0, "")
    [line] = done.stdout.splitlines()
    change = json.loads(line)
    assert change.pop("time") > 0
    assert change == {"name": "h1", "was": None, "is": "unknown"}
    done = run_fleet("watch", "--every", "0.2", "--count", "2")
    assert done.returncode == 0
    assert done.stdout.count("no instances; 1 of 1 agents unknown; generations: none") == 2


def test_fleet_commands_from_init_to_status(run_fleet, tmp_path):
    assert run_fleet("status").returncode == 2
    assert run_fleet("init", "bergen").returncode == 0
    assert "ca.key: already exists" in run_fleet("init", "bergen").stderr
    assert run_fleet("status").returncode == 2
    port = free_ports(1)[0]
    assert run_fleet("add-agent", "h1", f"127.0.0.1:{port}").returncode == 0
    assert run_fleet("add-agent", "h1", "127.0.0.1:1").returncode == 2
    assert run_fleet("add-agent", "h2", "here").returncode == 2
    assert run_fleet("add-operator", "ola", "--read-only").returncode == 0
    assert list(read_inventory(tmp_path / "fleet").agents) == ["h1"]
    done = run_fleet("status", "--as", "ola", "--json", "--within", "1")
    status = json.loads(done.stdout)
    assert done.returncode == 1
    assert status["agents"][0]["state"] == "unknown"
    assert status["instances"] == []
    assert "1 of 1 agents unknown" in run_fleet("status", "--within", "1").stdout
    write_inventory(tmp_path / "fleet", Inventory("bergen", {}))
    assert "Traceback" not in run_fleet("status").stderr


def test_majority_of_one_agent_is_one():
    assert majority(1) == 1
