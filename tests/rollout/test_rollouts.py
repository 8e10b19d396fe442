"""Rollouts over agent and node processes: complete, refused, rolled back, and of two operators."""

import json
import signal
import subprocess
import time

import pytest
from peers import TIMEOUT_S
from process_fleet import OAKBRIDGE, ProcessFleet, files_with_aim

HOSTS = 4
QUICK = ("--watch", "1", "--window", "1", "--silent", "20")


class FleetWithTool(ProcessFleet):
    """Four hosts with a node each, and the commands of ``oakbridge fleet``."""

    def start_command(self, *words: str) -> subprocess.Popen:
        return subprocess.Popen(
            [*OAKBRIDGE, "fleet", *words],
            cwd=self.folder,
            env=self.environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def call(self, *words: str) -> tuple[int, str, str]:
        process = self.start_command(*words)
        out, err = process.communicate(timeout=4 * TIMEOUT_S)
        assert "Traceback" not in err, err
        return process.returncode, out, err

    def write_change(self, aim: str) -> str:
        return self.write_files(aim, files_with_aim(aim))

    def apply(self, aim: str, *options: str) -> tuple[int, dict]:
        code, out, err = self.call(
            "apply", "--files", self.write_change(aim), "--json", *QUICK, *options
        )
        assert out, err
        return code, json.loads(out)

    def wait_until(self, condition):
        deadline_s = time.monotonic() + TIMEOUT_S
        while not (result := condition()):
            assert time.monotonic() < deadline_s
            time.sleep(0.05)
        return result

    def has_all_instances(self) -> bool:
        return len(json.loads(self.call("status", "--json")[1])["instances"]) == HOSTS

    def is_healthy(self) -> bool:
        return self.call("status", "--json")[0] == 0

    def count_running(self, aim: str) -> int:
        return list(self.running_configurations().values()).count(aim)


@pytest.fixture
def fleet(tmp_path):
    configurations = {aim: files_with_aim(aim)["oakbridge.toml"] for aim in ("1s", "2s", "3s")}
    fleet = FleetWithTool(
        tmp_path,
        hosts=HOSTS,
        instances=("n",),
        configurations=configurations,
        operators=("admin", "ola"),
    )
    try:
        fleet.wait_until(fleet.has_all_instances)
        code, report = fleet.apply("1s", "--canary", "4", "--unavailable", "4")
        assert (code, report["complete"]) == (0, True), report
        yield fleet
    finally:
        fleet.close()


def outcomes(report) -> list[str]:
    return [row["fate"] for row in report["instances"]]


def test_a_valid_change_completes_and_an_invalid_one_halts_at_the_canary(fleet):
    code, report = fleet.apply("2s", "--unavailable", "2", "--why", "slower")
    assert code == 0, report
    assert outcomes(report) == ["took it"] * 4, report
    assert report["stage"] == "done", report
    assert set(fleet.running_configurations().values()) == {"2s"}
    code, report = fleet.apply("soon")
    assert code == 4
    assert sorted(outcomes(report)) == ["did not"] + ["not reached"] * 3
    assert "class[0].aim: expected a time" in report["reason"]
    assert set(fleet.running_configurations().values()) == {"2s"}
    _, out, _ = fleet.call("history", "--json")
    assert [(entry["stage"], entry["why"]) for entry in json.loads(out)][:2] == [
        ("halted", "2 files"),
        ("done", "slower"),
    ]
    assert json.loads(fleet.call("plan", "--json")[1])["waves"][0] == ["h0/n"]


def test_two_operators_at_once_have_one_winner(fleet):
    first = fleet.start_command("apply", "--files", fleet.write_change("2s"), "--json", *QUICK)
    fleet.wait_until(
        lambda: json.loads(fleet.call("history", "--json")[1])[0]["stage"] == "running"
    )
    code, _, err = fleet.call("apply", "--files", fleet.write_change("3s"), "--as", "ola", *QUICK)
    assert code == 1
    assert "admin has the lease since" in err
    first.communicate(timeout=4 * TIMEOUT_S)
    assert first.returncode == 0
    assert set(fleet.running_configurations().values()) == {"2s"}


def test_a_halted_change_is_rolled_back_on_all_instances(fleet):
    """The second instance is killed while its agent watches it; the first is rolled back too."""
    process = fleet.start_command(
        *("apply", "--files", fleet.write_change("2s"), "--json"),
        *QUICK,
        *("--watch", "6", "--undo", "--canary", "1"),
    )
    fleet.wait_until(lambda: fleet.count_running("2s") == 1)
    fleet.wait_until(lambda: fleet.count_running("2s") == 2)
    changed = [name for name, aim in fleet.running_configurations().items() if aim == "2s"]
    fleet.send_signal(changed[1], signal.SIGKILL)
    out, _ = process.communicate(timeout=4 * TIMEOUT_S)
    report = json.loads(out)
    assert process.returncode == 4, report
    assert report["stage"] == "undone", report
    assert sorted(outcomes(report)) == ["not reached", "not reached", "undone", "undone"]
    fleet.wait_until(fleet.is_healthy)
    assert set(fleet.running_configurations().values()) == {"1s"}
