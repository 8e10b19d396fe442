"""Agents whose disks fail for moments: steps that were taken on are carried through."""

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
QUICK = ("--watch", "1", "--window", "1", "--silent", "20")

FAILING_S, PERIOD_S = 0.5, 1.5
DISK_ERRORS = (errno.ENOSPC, errno.EIO)


class KilledAgents:
    """Agents that are killed at random times, and start again at once."""

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
    """Disks that fail in one part of each period, each at a time of its own."""

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
        """Return how many calls were made to fail."""
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
    """Four hosts with two nodes each; each agent's disk has a control of its own."""

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
            configurations={a: files_with_aim(a)["oakbridge.toml"] for a in ("1s", "2s", "3s")},
            agent_environments={a: control.environment for a, control in self.disks.items()},
        )

    def command(self, *words: str) -> subprocess.CompletedProcess:
        """Carry out a command of ``oakbridge fleet``."""
        return subprocess.run(
            [*OAKBRIDGE, "fleet", *words],
            cwd=self.folder,
            env=self.environment,
            capture_output=True,
            text=True,
            timeout=4 * TIMEOUT_S,
        )

    def wait_until_all_answer(self) -> None:
        """Wait until every agent reports its instances."""
        for _ in range(200):
            done = self.command("status", "--json")
            if len(json.loads(done.stdout or "{}").get("instances", ())) == HOSTS * len(INSTANCES):
                return
        raise AssertionError(done.stderr)

    def apply(self, aim: str) -> dict[str, str]:
        """Roll a change out; return what became of each instance."""
        files = self.write_files(aim, files_with_aim(aim))
        done = self.command("apply", "--files", files, "--json", *QUICK)
        assert "Traceback" not in done.stderr, done.stderr
        assert done.stdout, done.stderr
        return {row["instance"]: row["fate"] for row in json.loads(done.stdout)["instances"]}

    def kill_and_restart(self, agent: str) -> None:
        """Kill an agent at once, and start it again."""
        self.agents[agent].kill()
        self.agents[agent].wait()
        self.start_agent(agent)

    def agent_logs(self) -> str:
        """Return what all agents have logged."""
        return "".join((self.folder / f"{agent}.log").read_text() for agent in self.agents)


@pytest.fixture
def fleet(tmp_path):
    found = FaultyFleet(tmp_path)
    try:
        yield found
    finally:
        found.close()


def test_steps_are_applied_though_the_disks_of_all_agents_fail_for_moments(fleet):
    """Guards against a change that stands still after one write that failed."""
    fleet.wait_until_all_answer()
    with FailingDisks(list(fleet.disks.values())) as disks:
        outcomes = fleet.apply("1s")
        assert disks.injected() > 0
    assert outcomes == dict.fromkeys(fleet.instance_ports, "took it")
    assert set(fleet.running_configurations().values()) == {"1s"}
    assert "Traceback" not in fleet.agent_logs()


@pytest.mark.parametrize("seed", [1, 2])
def test_what_is_told_is_what_runs_though_agents_are_killed_and_disks_fail(fleet, seed):
    """A kill leaves a write half done; a step that was told as applied or refused stays so."""
    fleet.wait_until_all_answer()
    assert set(fleet.apply("1s").values()) == {"took it"}
    with FailingDisks(list(fleet.disks.values())), KilledAgents(fleet, seed) as killed:
        outcomes = fleet.apply("2s")
        assert killed.kills > 0
    fleet.wait_until_all_answer()
    expected = {"took it": {"2s"}, "did not": {"1s"}, "undone": {"1s"}, "not reached": {"1s"}}
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        running = fleet.running_configurations()
        wrong = {
            name: (outcome, running[name])
            for name, outcome in outcomes.items()
            if running[name] not in expected.get(outcome, {"1s", "2s"})
        }
        if not wrong:
            break
        time.sleep(0.2)
    assert not wrong
    assert "Traceback" not in fleet.agent_logs()
