"""The state machine of the workers, with simulated processes that act at random from a seed."""

import random

import pytest

from oakbridge.process.supervisor import SECOND_US, Kill, SetTimer, Start, Stop
from oakbridge.workers.pool import (
    ActOnProcess,
    AddToBalancer,
    Exit,
    LogWarning,
    RemoveFromBalancer,
    WorkerPool,
)

WORKERS = {1, 2, 3, 4}
ROLLING_RESTART_COMPLETED = "rolling restart completed"


class SimulatedProcesses:
    """Executes a pool's actions on processes that start, crash, hang and exit as a seed says."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now_us = 0
        self.pool = WorkerPool(len(WORKERS))
        # Each worker with a process is starting, running or stopping.
        self.states: dict[int, str] = {}
        self.in_balancer: set[int] = set()
        self.warnings: list[str] = []
        self.timers: list[tuple[int, int]] = []  # due time in microseconds, and worker
        self.exit_code = None

    def execute(self, actions):
        for action in actions:
            assert self.exit_code is None
            match action:
                case AddToBalancer():
                    assert self.states[action.worker] == "running"
                    self.in_balancer.add(action.worker)
                case RemoveFromBalancer():
                    self.in_balancer.remove(action.worker)
                case LogWarning():
                    self.warnings.append(action.text)
                case Exit():
                    assert not self.states
                    self.exit_code = action.code
                case ActOnProcess():
                    self.act_on_process(action.worker, action.action)
                case _:
                    pytest.fail(f"unknown action {action}")

    def act_on_process(self, worker, action):
        match action:
            case Start():
                assert worker not in self.states  # a worker never has two processes
                self.states[worker] = "starting"
            case Stop():
                assert worker in self.states
                self.states[worker] = "stopping"
            case SetTimer():
                self.timers.append((action.at, worker))
            case Kill():
                if worker in self.states:
                    self.exit(worker, "SIGKILL", None)
            case _:
                pytest.fail(f"unknown action {action}")

    def exit(self, worker, reason, exit_code):
        del self.states[worker]
        self.execute(self.pool.exited(worker, reason, exit_code, self.now_us))

    def become_ready(self, worker):
        self.states[worker] = "running"
        self.execute(self.pool.ready(worker, 100, self.now_us))

    def step(self, *, has_faults=True):
        self.now_us += self.rng.randrange(SECOND_US)
        due = [timer for timer in self.timers if timer[0] <= self.now_us]
        self.timers = [timer for timer in self.timers if timer[0] > self.now_us]
        for _, worker in due:
            self.execute(self.pool.tick(worker, self.now_us))
        for worker, state in list(self.states.items()):
            draw = self.rng.random()
            if self.states.get(worker) != state:
                continue
            if has_faults and draw < 0.1:
                self.exit(worker, "exit code 1", 1)
            elif state == "starting" and draw < 0.7:
                self.become_ready(worker)
            elif state == "stopping" and draw < 0.7:
                self.exit(worker, "exit code 0", 0)

    def settle(self):
        """Run without faults until all workers have reached the state that they should have."""
        for _ in range(400):
            self.step(has_faults=False)


@pytest.mark.parametrize("seed", range(40))
def test_workers_run_again_after_crashes_and_rolling_restarts_and_shut_down(seed):
    simulated = SimulatedProcesses(seed)
    pool = simulated.pool
    simulated.execute(pool.start(0))
    for _ in range(60):
        simulated.step()
        if simulated.rng.random() < 0.1:
            simulated.execute(pool.rolling_restart(simulated.now_us))
        # A rolling restart takes one worker at a time.
        assert sum(state == "stopping" for state in simulated.states.values()) <= 1
    simulated.settle()
    assert simulated.in_balancer == set(simulated.states) == set(pool.processes)

    warnings_before = len(simulated.warnings)
    simulated.execute(pool.rolling_restart(simulated.now_us))
    simulated.settle()
    assert simulated.warnings[warnings_before:] == [ROLLING_RESTART_COMPLETED]
    assert simulated.in_balancer == WORKERS

    simulated.execute(pool.shut_down(simulated.now_us))
    # Workers take the connections that still arrive until their processes have exited.
    assert simulated.in_balancer == set(simulated.states)
    simulated.settle()
    assert simulated.exit_code == 0
    assert not simulated.in_balancer
    assert pool.rolling_restart(simulated.now_us) == []


def test_rolling_restart_stops_if_a_worker_does_not_start_again():
    simulated = SimulatedProcesses(1)
    simulated.execute(simulated.pool.start(0))
    simulated.settle()
    simulated.execute(simulated.pool.rolling_restart(simulated.now_us))
    simulated.exit(1, "exit code 0", 0)
    simulated.exit(1, "exit code 2", 2)  # the new configuration is invalid
    assert simulated.warnings[-1] == "rolling restart stopped: worker=1 reason=worker failed"
    assert simulated.in_balancer == {2, 3, 4}


def test_supervisor_exits_with_a_usage_error_if_no_worker_can_use_the_configuration():
    simulated = SimulatedProcesses(1)
    simulated.execute(simulated.pool.start(0))
    for worker in (2, 1, 3, 4):
        if worker in simulated.states:
            simulated.exit(worker, "exit code 2", 2)
    assert simulated.exit_code == 2
