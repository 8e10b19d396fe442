"""Runs one command that changes a fleet, from the lease to the report."""

from __future__ import annotations

import asyncio
import getpass
import time
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import click
from rich.console import Console
from rich.live import Live

from oakbridge.cli.common import CommandFailedError, InvalidInputError, print_json
from oakbridge.cli.fleet import operator_client
from oakbridge.cli.rollout.options import WaveArguments
from oakbridge.cli.rollout.view import render
from oakbridge.fleet import messages
from oakbridge.fleet.client import FleetClient, LeaseResult, run_with_client
from oakbridge.rollout.change import Change, RollBackRollout
from oakbridge.rollout.coordinator import JOURNAL_TIMEOUT_S, Coordinator, RolloutOptions
from oakbridge.rollout.journal import (
    Journal,
    JournalEntry,
    JournalError,
    JournalUnavailableError,
)
from oakbridge.rollout.lease_holder import LEASE_DURATION_S
from oakbridge.rollout.plan import Target
from oakbridge.rollout.record import InstanceOutcome, InstanceStatus, Phase, RolloutRecord

EXIT_PARTIAL = 3  # done, except for instances whose state is unknown
EXIT_HALTED = 4  # halted or rolled back
REFRESH_INTERVAL_S = 0.25  # shortest time between two updates of the live view
JOURNAL_RETRY_DELAY_S = 0.25  # between attempts to write a new rollout
CALL_TIMEOUT_S = 5.0  # how long an agent may take to respond to one call

Result = TypeVar("Result")


@dataclass(frozen=True, slots=True)
class RolloutResult:
    """A finished rollout, and the agents that did not respond when it started, with the reasons."""

    coordinator: Coordinator
    unreachable: list[str]


@dataclass(frozen=True, slots=True)
class RolloutSession:
    """One run of a command that changes the fleet."""

    folder: Path
    operator_name: str
    options: RolloutOptions
    as_json: bool

    def roll_out(
        self,
        change: Change,
        waves: WaveArguments,
        *,
        auto_rollback: bool,
        why: str,
        sources: Mapping[str, int] | None = None,
    ) -> None:
        """Roll a change out and print the report.

        ``sources``: see :func:`rollback_sources`.  Raises Exit with EXIT_HALTED or EXIT_PARTIAL if
        the rollout is not complete, InvalidInputError or CommandFailedError.
        """

        async def run(operator: FleetClient, journal: Journal, lease: LeaseResult) -> RolloutResult:
            targets, unreachable = await find_targets(operator, waves.only)
            if sources is not None:
                targets = [target for target in targets if target.name in sources]
            record = RolloutRecord(waves.plan(targets), waves.unavailable, auto_rollback)
            now_unix_s = time.time()
            entry = JournalEntry(
                id=lease.token,
                operator=f"{self.operator_name} ({getpass.getuser()})",
                started_unix_s=now_unix_s,
                updated_unix_s=now_unix_s,
                why=why or change.describe(),
                change=change,
                record=record,
            )
            await _add_entry(journal, entry)
            return RolloutResult(
                await self._coordinate(operator, journal, entry, lease, sources), unreachable
            )

        self._report(self._run_with_lease(run))

    def resume(self, rollout: int) -> None:
        """Resume a rollout and print the report.  Raises what :meth:`roll_out` raises."""

        async def run(operator: FleetClient, journal: Journal, lease: LeaseResult) -> RolloutResult:
            entry = journal.entry(rollout)
            sources = rollback_sources(journal, entry.change)
            return RolloutResult(
                await self._coordinate(operator, journal, entry, lease, sources), []
            )

        self._report(self._run_with_lease(run))

    def _run_with_lease(
        self, run: Callable[[FleetClient, Journal, LeaseResult], Awaitable[RolloutResult]]
    ) -> RolloutResult:
        """Acquire the lease, run, and release the lease, also if the run fails."""
        operator = operator_client(self.folder, self.operator_name, CALL_TIMEOUT_S)

        async def run_and_release(operator: FleetClient, journal: Journal) -> RolloutResult:
            lease = await acquire_lease(operator)
            result: RolloutResult | None = None
            try:
                result = await run(operator, journal, lease)
                return result
            finally:
                await operator.release_lease(lease if result is None else result.coordinator.lease)

        with open_journal(self.folder) as journal:
            try:
                return run_with_client(operator, lambda fleet: run_and_release(fleet, journal))
            except JournalError as error:
                raise InvalidInputError(str(error)) from None

    async def _coordinate(
        self,
        operator: FleetClient,
        journal: Journal,
        entry: JournalEntry,
        lease: LeaseResult,
        sources: Mapping[str, int] | None,
    ) -> Coordinator:
        """Run the rollout, with a live view on a terminal; return its coordinator."""
        console = Console()
        if self.as_json or not console.is_terminal:
            coordinator = Coordinator(
                operator, journal, entry, lease, self.options, sources=sources
            )
            await coordinator.run()
            return coordinator
        with Live(console=console, auto_refresh=False) as live:
            coordinator = Coordinator(
                operator,
                journal,
                entry,
                lease,
                self.options,
                on_update=_live_view_updater(live),
                sources=sources,
            )
            await coordinator.run()
            live.update(render(coordinator), refresh=True)
        return coordinator

    def _report(self, result: RolloutResult) -> None:
        machine = result.coordinator.machine
        if self.as_json:
            print_json(_report_json(result))
        else:
            console = Console()
            if not console.is_terminal:
                console.print(render(result.coordinator))
            for agent in result.unreachable:
                click.echo(f"not seen at the start, and so in no wave: {agent}")
        if machine.record.phase is not Phase.DONE:
            raise click.exceptions.Exit(EXIT_HALTED)
        if result.unreachable or not machine.is_complete():
            raise click.exceptions.Exit(EXIT_PARTIAL)


async def _add_entry(journal: Journal, entry: JournalEntry) -> None:
    """Write a new rollout to the journal, with retries while the disk fails.

    Raises JournalUnavailableError after JOURNAL_TIMEOUT_S.
    """
    give_up_at_s = time.monotonic() + JOURNAL_TIMEOUT_S
    while True:
        try:
            journal.add(entry)
            return
        except JournalUnavailableError:
            if time.monotonic() >= give_up_at_s:
                raise
        await asyncio.sleep(JOURNAL_RETRY_DELAY_S)


def _live_view_updater(live: Live) -> Callable[[Coordinator], None]:
    last_update_s = 0.0

    def update(coordinator: Coordinator) -> None:
        nonlocal last_update_s
        if time.monotonic() - last_update_s > REFRESH_INTERVAL_S:
            last_update_s = time.monotonic()
            live.update(render(coordinator), refresh=True)

    return update


def _report_json(result: RolloutResult) -> dict[str, Any]:
    machine = result.coordinator.machine
    return {
        "rollout": result.coordinator.rollout,
        "stage": machine.record.phase.value,
        "reason": machine.record.reason,
        "complete": machine.is_complete() and not result.unreachable,
        "unseen": result.unreachable,
        "instances": [_status_json(name, status) for name, status in machine.statuses().items()],
    }


def _status_json(name: str, status: InstanceStatus) -> dict[str, Any]:
    return {
        "instance": name,
        "fate": status.outcome.value,
        "reason": status.reason,
        "last_heard": status.last_response_unix_s or None,
    }


async def find_targets(
    operator: FleetClient, only: tuple[str, ...]
) -> tuple[list[Target], list[str]]:
    """Return the instances of all agents that respond, and the agents that don't, with the reasons.

    ``only``: names of the only instances to return; empty: all.  Raises InvalidInputError if one of
    them is missing.
    """
    responses = await operator.call_all(messages.StatusRequest())
    targets = [
        Target(
            agent=response.agent,
            instance=instance_report["name"],
            zone=response.body.get("zone", ""),
            base_generation=instance_report["generation"],
            is_drained=instance_report.get("drained", False),
        )
        for response in responses
        if response.status == 200
        for instance_report in response.body["instances"]
    ]
    unreachable = [
        f"{response.agent}: {response.error or response.body.get('error', '')}"
        for response in responses
        if response.status != 200
    ]
    if missing := set(only) - {target.name for target in targets}:
        names = ", ".join(sorted(missing))
        raise InvalidInputError(f"--only: there is no instance {names} that can be seen")
    return [target for target in targets if not only or target.name in only], unreachable


def rollback_sources(journal: Journal, change: Change) -> dict[str, int] | None:
    """Return the generation that each instance ran before the rollout that ``change`` rolls back.

    None for another kind of change.  Raises JournalError if that rollout is not in the journal.
    """
    if not isinstance(change, RollBackRollout):
        return None
    record = journal.entry(change.rollout).record
    statuses = dict(record.statuses)
    return {
        target.name: target.base_generation
        for wave in record.waves
        for target in wave
        if target.base_generation
        and target.name in statuses
        and statuses[target.name].outcome is InstanceOutcome.APPLIED
    }


def read_journal(folder: Path, read: Callable[[Journal], Result]) -> Result:
    """Return what ``read`` returns for the journal.  Raises InvalidInputError if it fails."""
    try:
        with Journal(folder) as journal:
            return read(journal)
    except JournalError as error:
        raise InvalidInputError(str(error)) from None


def open_journal(folder: Path) -> Journal:
    """Return the fleet's journal.  Raises InvalidInputError if it can't be opened."""
    try:
        return Journal(folder)
    except JournalError as error:
        raise InvalidInputError(str(error)) from None


async def acquire_lease(operator: FleetClient) -> LeaseResult:
    """Acquire the lease and return it.

    Raises CommandFailedError, with the lease's holder if there is one, if no majority of the agents
    grants it.
    """
    lease = await operator.acquire_lease(LEASE_DURATION_S)
    agent_count = len(operator.inventory.agents)
    if lease.has_majority(agent_count):
        return lease
    for response in lease.denied:
        if holder := response.body.get("holder"):
            held_since = time.strftime("%H:%M:%S", time.localtime(response.body["since"]))
            expires_in_s = response.body.get("ends_in_s")
            expiry = f", ends in {expires_in_s:.0f} s" if expires_in_s else ""
            raise CommandFailedError(
                f"{holder} has the lease since {held_since}{expiry} (agent {response.agent})"
            )
    if lease.denied:
        response = lease.denied[0]
        raise CommandFailedError(f"agent {response.agent} refuses: {response.body.get('error')}")
    raise CommandFailedError(
        f"{len(lease.granted_by)} of {agent_count} agents answer; a majority is needed for a change"
    )
