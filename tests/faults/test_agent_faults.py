"""Agents whose disks fail transiently: accepted steps are carried out."""

import errno
import json
import random
import subprocess
import threading
import time

import pytest
from fault_control import DISK_FAULTS, FaultControl
from peers import TIMEOUT_S
from process_fleet import OAKBRIDGE, ProcessFleet, files_with_aim

HOSTS, INSTANCES = 4, ("n0", "n1")
SHORT_TIMES = ("--watch", "1", "--window", "1", "--silent", "20")

FAILING_S, PERIOD_S = 0.5, 1.5  # each disk fails this long in each period
DISK_ERRORS = (errno.ENOSPC, errno.EIO)


class KilledAgents:
    """Kills agents at random times, and restarts them at once."""

    def __init__(self, fleet: "FaultyFleet", seed: int) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.kills = 0

    def __enter__(self) -> "KilledAgents":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.wait(self._random.uniform(2.0, 5.0)):
            self._fleet.kill_and_restart(self._random.choice(list(self._fleet.agents)))
            self.kills += 1


class FailingDisks:
    """Makes disks fail for a part of each period, at a different time for each disk."""

    def __init__(self, controls: list[FaultControl]) -> None:
        self._controls = controls
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(control, number))
            for number, control in enumerate(controls)
        ]

    def __enter__(self) -> "FailingDisks":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def injected(self) -> int:
        """Return how many system calls failed."""
        return sum(control.injected(fault) for control in self._controls for fault in DISK_FAULTS)

    def _run(self, control: FaultControl, number: int) -> None:
        self._stop.wait(PERIOD_S * number / len(self._controls))
        while not self._stop.is_set():
            for fault in DISK_FAULTS:
                control.start(fault, DISK_ERRORS[number % 2])
            self._stop.wait(FAILING_S)
            control.stop()
            self._stop.wait(PERIOD_S - FAILING_S)


class FaultyFleet(ProcessFleet):
    """Four hosts with two nodes each; faults are injected separately for each agent's disk."""

    def __init__(self, folder) -> None:
        agents = [f"h{number}" for number in range(HOSTS)]
        self.disks = {
            agent: FaultControl(folder / f"{agent}.faults", seed=number, disk=folder / agent)
            for number, agent in enumerate(agents, 1)
        }
        super().__init__(
            folder,
            hosts=HOSTS,
            instances=INSTANCES,
            configurations={
                aim: files_with_aim(aim)["oakbridge.toml"] for aim in ("1s", "2s", "3s")
            },
            agent_environments={
                agent: control.environment for agent, control in self.disks.items()
            },
        )

    def command(self, *words: str) -> subprocess.CompletedProcess:
        """Run a command of ``oakbridge fleet``."""
        return subprocess.run(
            [*OAKBRIDGE, "fleet", *words],
            cwd=self.folder,
            env=self.environment,
            capture_output=True,
            text=True,
            timeout=4 * TIMEOUT_S,
        )

    def wait_until_all_respond(self) -> None:
        """Wait until every agent reports its instances."""
        for _ in range(200):
            completed = self.command("status", "--json")
            if len(json.loads(completed.stdout or "{}").get("instances", ())) == HOSTS * len(
                INSTANCES
            ):
                return
        raise AssertionError(completed.stderr)

    def apply(self, aim: str) -> dict[str, str]:
        """Roll out a change; return the result of each instance."""
        files = self.write_files(aim, files_with_aim(aim))
        completed = self.command("apply", "--files", files, "--json", *SHORT_TIMES)
        assert "Traceback" not in completed.stderr, completed.stderr
        assert completed.stdout, completed.stderr
        return {row["instance"]: row["fate"] for row in json.loads(completed.stdout)["instances"]}

    def kill_and_restart(self, agent: str) -> None:
        """Kill an agent, and start it again."""
        self.agents[agent].kill()
        self.agents[agent].wait()
        self.start_agent(agent)

    def agent_logs(self) -> str:
        """Return what all agents have logged."""
        return "".join((self.folder / f"{agent}.log").read_text() for agent in self.agents)


@pytest.fixture
def fleet(tmp_path):
    faulty_fleet = FaultyFleet(tmp_path)
    try:
        yield faulty_fleet
    finally:
        faulty_fleet.close()


def test_steps_are_applied_though_the_disks_of_all_agents_fail_transiently(fleet):
    """Guards against a rollout that makes no progress after one failed write."""
    fleet.wait_until_all_respond()
    with FailingDisks(list(fleet.disks.values())) as disks:
        results = fleet.apply("1s")
        assert disks.injected() > 0
    assert results == dict.fromkeys(fleet.instance_ports, "took it")
    assert set(fleet.running_configurations().values()) == {"1s"}
    assert "Traceback" not in fleet.agent_logs()


@pytest.mark.parametrize("seed", [1, 2])
def test_instances_run_what_was_reported_though_agents_are_killed_and_disks_fail(fleet, seed):
    """A kill may interrupt a write; a step that was reported as applied or refused stays so."""
    fleet.wait_until_all_respond()
    assert set(fleet.apply("1s").values()) == {"took it"}
    with FailingDisks(list(fleet.disks.values())), KilledAgents(fleet, seed) as killed_agents:
        results = fleet.apply("2s")
        assert killed_agents.kills > 0
    fleet.wait_until_all_respond()
    expected = {"took it": {"2s"}, "did not": {"1s"}, "undone": {"1s"}, "not reached": {"1s"}}
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        running = fleet.running_configurations()
        wrong = {
            name: (result, running[name])
            for name, result in results.items()
            if running[name] not in expected.get(result, {"1s", "2s"})
        }
        if not wrong:
            break
        time.sleep(0.2)
    assert not wrong
    assert "Traceback" not in fleet.agent_logs()
