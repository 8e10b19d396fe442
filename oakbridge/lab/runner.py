"""Performs one run: starts the processes, takes the steps when they are due, reads the results."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory

from oakbridge.lab import helper_configs, table
from oakbridge.lab.addresses import Slot, claim_slot
from oakbridge.lab.fleet import Fleet, build_fleet
from oakbridge.lab.helper_process import HelperProcesses, Results
from oakbridge.lab.history import History, PerformedStep, read_changes
from oakbridge.lab.node_processes import NodeProcesses
from oakbridge.lab.plan import Plan
from oakbridge.lab.process import HelperRole
from oakbridge.lab.schedule import Schedule, Step, StepKind, draw_schedule

PROGRESS_INTERVAL_S = 1.0
SIGNALS = {
    StepKind.KILL: signal.SIGKILL,
    StepKind.STOP: signal.SIGSTOP,
    StepKind.CONTINUE: signal.SIGCONT,
}
# The order in which helpers get a change of servers: a port of the switch closes before its server
# stops, and opens after its server has started again.
SERVER_STEP_ROLES = {
    StepKind.SERVERS_DOWN: (HelperRole.SWITCH, HelperRole.SERVERS),
    StepKind.SERVERS_UP: (HelperRole.SERVERS, HelperRole.SWITCH),
    StepKind.SERVERS_SPEED: (HelperRole.SERVERS, HelperRole.SWITCH),
}


@dataclass(frozen=True, slots=True)
class Progress:
    """The progress of a run; a field that does not apply to the phase is 0."""

    phase: str
    elapsed_s: float = 0.0
    total_s: float = 0.0
    ready_nodes: int = 0
    nodes: int = 0


@dataclass(slots=True)
class LabRun:
    """One run of a plan; ``checkout`` is the source directory of the nodes' code."""

    plan: Plan
    seed: int
    out: Path
    checkout: Path
    python: str = sys.executable
    show_progress: Callable[[Progress], None] = lambda _: None

    async def play(self) -> tuple[History, Results]:
        """Perform the run; return its history and the helpers' results.

        Raises RunFailedError, or NoFreeSlotError from :func:`claim_slot`.
        """
        fleet = build_fleet(self.plan)
        schedule = draw_schedule(self.plan, fleet, self.seed)
        slot, lock = claim_slot()
        self.out.mkdir(parents=True, exist_ok=True)
        with lock:
            return await self._play(slot, fleet, schedule)

    async def _play(self, slot: Slot, fleet: Fleet, schedule: Schedule) -> tuple[History, Results]:
        async with AsyncExitStack() as stack:
            # The path of a Unix socket has a short limit, which the path of the results may exceed.
            sockets = stack.enter_context(TemporaryDirectory(prefix="oakbridge-lab-"))
            helpers = HelperProcesses(lambda name, exit_code: nodes.record_exit(name, exit_code))
            nodes = NodeProcesses(slot, fleet, self.out / "nodes", helpers)
            await stack.enter_async_context(helpers)
            stack.callback(setattr, nodes, "is_shutting_down", True)
            await self._start_helpers(helpers, slot, fleet)
            nodes.write_configs(self.plan, self.seed, Path(sockets))
            await nodes.start_all(self.plan.lab.start_within / 1e6, self._show_starting)
            loaders = helpers.count(HelperRole.LOAD)
            helpers.send(HelperRole.LOAD, {"do": "go", "parts": loaders})
            await self._warm_up()
            player = SchedulePlayer(helpers, nodes, begin_us=time.time_ns() // 1000)
            await player.play(schedule, self.plan.lab.lasts / 1e6, self.show_progress)
            helpers.send(HelperRole.LOAD, {"do": "stop"})
            self.show_progress(Progress("ending"))
            nodes.is_shutting_down = True
            results = await helpers.end()
        history = History(
            self.plan,
            fleet,
            schedule,
            player.begin_us,
            self.plan.lab.lasts,
            performed_steps=player.performed_steps,
        )
        self._read_results(history, nodes, results)
        return history, results

    async def _start_helpers(self, helpers: HelperProcesses, slot: Slot, fleet: Fleet) -> None:
        plan, seed, out = self.plan, self.seed, self.out
        for config in helper_configs.switch_configs(plan, slot, fleet, seed):
            await helpers.start(HelperRole.SWITCH, config)
        for config in helper_configs.server_configs(plan, slot, fleet, seed, out):
            await helpers.start(HelperRole.SERVERS, config)
        for config in helper_configs.load_configs(plan, slot, fleet, seed, out):
            await helpers.start(HelperRole.LOAD, config)
        config = {"python": self.python, "path": str(self.checkout)}
        await helpers.start(HelperRole.PROCESS_MANAGER, config)

    def _show_starting(self, ready_nodes: int, nodes: int) -> None:
        self.show_progress(Progress("starting", ready_nodes=ready_nodes, nodes=nodes))

    async def _warm_up(self) -> None:
        total_s = self.plan.lab.warm_up / 1e6
        end_s = time.monotonic() + total_s
        while (left_s := end_s - time.monotonic()) > 0:
            self.show_progress(Progress("warming up", total_s - left_s, total_s))
            await asyncio.sleep(min(PROGRESS_INTERVAL_S, left_s))

    def _read_results(self, history: History, nodes: NodeProcesses, results: Results) -> None:
        history.requests = table.read(self.out.glob("requests-*.parquet"))
        history.executions = table.read(self.out.glob("executions-*.parquet"))
        for node in history.fleet.nodes:
            with nodes.log_path(node.name).open(errors="replace") as log:
                members, sites = read_changes(log, node.name, history.begin_us)
            # After the end of the schedule all nodes leave; these changes are not checked.
            end_us = history.duration_us
            history.member_changes += [change for change in members if change.at_us <= end_us]
            history.site_changes += [change for change in sites if change.at_us <= end_us]
        history.crashes = [f"{name} ended with {code}" for name, code in nodes.unexpected_exits]
        history.unsolicited_responses = sum(
            result["unasked answers"] for result in results[HelperRole.LOAD]
        )


@dataclass(slots=True)
class SchedulePlayer:
    """Takes the steps of a schedule when they are due."""

    helpers: HelperProcesses
    nodes: NodeProcesses
    begin_us: int  # start of the schedule, since the epoch
    performed_steps: list[PerformedStep] = field(default_factory=list)

    async def play(
        self, schedule: Schedule, total_s: float, show_progress: Callable[[Progress], None]
    ) -> None:
        """Take all steps of a schedule, and return after ``total_s``."""
        loop = asyncio.get_running_loop()
        begin_s, steps = loop.time(), list(schedule.steps)
        restarts: set[asyncio.Task[None]] = set()
        try:
            while (elapsed_s := loop.time() - begin_s) < total_s:
                while steps and steps[0].at_us / 1e6 <= elapsed_s:
                    step = steps.pop(0)
                    self._take(step)
                    if step.kind is StepKind.START:
                        restarts.add(loop.create_task(self._record_ready(step.names[0])))
                show_progress(Progress("playing", elapsed_s, total_s))
                next_s = min(steps[0].at_us / 1e6 if steps else total_s, total_s)
                await asyncio.sleep(max(0.0, min(PROGRESS_INTERVAL_S, next_s - elapsed_s)))
        finally:
            for task in restarts:
                task.cancel()

    async def _record_ready(self, name: str) -> None:
        if await self.nodes.is_ready_in_time(name):
            self._record(StepKind.READY, (name,))

    def _record(self, kind: StepKind, names: tuple[str, ...]) -> None:
        at_us = time.time_ns() // 1000 - self.begin_us
        self.performed_steps.append(PerformedStep(at_us, kind, names))

    def _take(self, step: Step) -> None:
        self._record(step.kind, step.names)
        match step.kind:
            case StepKind.KILL | StepKind.STOP | StepKind.CONTINUE:
                number = int(SIGNALS[step.kind])
                for name in step.names:
                    is_kill = step.kind is StepKind.KILL
                    self.nodes.send_signal(name, number, is_exit_expected=is_kill)
            case StepKind.START:
                self.nodes.start(step.names[0])
            case StepKind.SERVERS_DOWN | StepKind.SERVERS_UP | StepKind.SERVERS_SPEED:
                command = {"do": step.kind.value, "names": step.names, "speed": step.speed}
                for role in SERVER_STEP_ROLES[step.kind]:
                    self.helpers.send(role, command)
            case _:
                rule = step.rule.as_json() if step.rule is not None else None
                self.helpers.send(HelperRole.SWITCH, {"do": step.kind.value, "rule": rule})
