"""The state machine of the workers, with processes that are simulated from a seed."""

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
ROLLING_RESTART_DONE = "the rolling restart is done"


class SimulatedProcesses:
    """Carry out a pool's actions on processes that start, die, hang and end as a seed says."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 0
        self.pool = WorkerPool(len(WORKERS))
        self.alive: dict[int, str] = {}  # worker: starting, running, stopping
        self.in_balancer: set[int] = set()
        self.warnings: list[str] = []
        self.timers: list[tuple[int, int]] = []
        self.exit_code = None

    def execute(self, actions):
        for action in actions:
            assert self.exit_code is None
            match action:
                case AddToBalancer():
                    assert self.alive[action.worker] == "running"
                    self.in_balancer.add(action.worker)
                case RemoveFromBalancer():
                    self.in_balancer.remove(action.worker)
                case LogWarning():
                    self.warnings.append(action.text)
                case Exit():
                    assert not self.alive
                    self.exit_code = action.code
                case ActOnProcess():
                    self.act_on_process(action.worker, action.action)
                case _:
                    pytest.fail(f"unknown action {action}")

    def act_on_process(self, worker, action):
        match action:
            case Start():
                assert worker not in self.alive  # never two of one worker
                self.alive[worker] = "starting"
            case Stop():
                assert worker in self.alive
                self.alive[worker] = "stopping"
            case SetTimer():
                self.timers.append((action.at, worker))
            case Kill():
                if worker in self.alive:
                    self.end(worker, "SIGKILL", None)
            case _:
                pytest.fail(f"unknown action {action}")

    def end(self, worker, how, code):
        del self.alive[worker]
        self.execute(self.pool.exited(worker, how, code, self.now))

    def become_ready(self, worker):
        self.alive[worker] = "running"
        self.execute(self.pool.ready(worker, 100, self.now))

    def step(self, *, faults=True):
        self.now += self.rng.randrange(SECOND_US)
        due = [timer for timer in self.timers if timer[0] <= self.now]
        self.timers = [timer for timer in self.timers if timer[0] > self.now]
        for _, worker in due:
            self.execute(self.pool.tick(worker, self.now))
        for worker, state in list(self.alive.items()):
            draw = self.rng.random()
            if self.alive.get(worker) != state:
                continue
            if faults and draw < 0.1:
                self.end(worker, "exit code 1", 1)
            elif state == "starting" and draw < 0.7:
                self.become_ready(worker)
            elif state == "stopping" and draw < 0.7:
                self.end(worker, "exit code 0", 0)

    def settle(self):
        for _ in range(400):
            self.step(faults=False)


@pytest.mark.parametrize("seed", range(40))
def test_workers_survive_crashes_and_rolling_restarts_and_shut_down(seed):
    simulated = SimulatedProcesses(seed)
    pool = simulated.pool
    simulated.execute(pool.start(0))
    for _ in range(60):
        simulated.step()
        if simulated.rng.random() < 0.1:
            simulated.execute(pool.rolling_restart(simulated.now))
        # A rolling restart takes one worker at a time.
        assert sum(state == "stopping" for state in simulated.alive.values()) <= 1
    simulated.settle()
    assert simulated.in_balancer == set(simulated.alive) == set(pool.processes)

    warnings_before = len(simulated.warnings)
    simulated.execute(pool.rolling_restart(simulated.now))
    simulated.settle()
    assert simulated.warnings[warnings_before:] == [ROLLING_RESTART_DONE]
    assert simulated.in_balancer == WORKERS

    simulated.execute(pool.shut_down(simulated.now))
    # Until they have ended they take the connections that still come.
    assert simulated.in_balancer == set(simulated.alive)
    simulated.settle()
    assert simulated.exit_code == 0
    assert not simulated.in_balancer
    assert pool.rolling_restart(simulated.now) == []


def test_a_rolling_restart_stops_where_a_worker_does_not_come_back():
    simulated = SimulatedProcesses(1)
    simulated.execute(simulated.pool.start(0))
    simulated.settle()
    simulated.execute(simulated.pool.rolling_restart(simulated.now))
    simulated.end(1, "exit code 0", 0)
    simulated.end(1, "exit code 2", 2)  # the new configuration can't be used
    assert "stops: worker 1 did not come back" in simulated.warnings[-1]
    assert simulated.in_balancer == {2, 3, 4}


def test_a_configuration_that_no_worker_can_use_ends_the_supervisor_as_it_would_one_node():
    simulated = SimulatedProcesses(1)
    simulated.execute(simulated.pool.start(0))
    for worker in (2, 1, 3, 4):
        if worker in simulated.alive:
            simulated.end(worker, "exit code 2", 2)
    assert simulated.exit_code == 2
