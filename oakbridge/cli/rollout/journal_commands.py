"""``oakbridge fleet history | rebuild``: show the journal, recover it from the agents."""

from __future__ import annotations

import time
from collections import Counter
from pathlib import Path
from typing import Any

import click
from rich import box
from rich.console import Console
from rich.table import Table

from oakbridge.cli.common import print_json
from oakbridge.cli.fleet import command, folder_option, operator_client, operator_option
from oakbridge.cli.rollout.session import CALL_TIMEOUT_S, open_journal, read_journal
from oakbridge.fleet import messages
from oakbridge.fleet.client import FleetClient, run_with_client
from oakbridge.rollout.change import ReplaceFiles
from oakbridge.rollout.journal import Journal, JournalEntry
from oakbridge.rollout.rebuild import RebuiltRollout, rebuild

ALL_ENTRIES = 1_000_000  # more than any journal has; used where a limit is required


@command.command("history")
@folder_option
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def history(folder: Path, as_json: bool) -> None:
    """Show past rollouts, and those that stand still."""
    entries = read_journal(folder, Journal.entries)
    if as_json:
        print_json([_entry_json(entry) for entry in entries])
    else:
        Console().print(_history_table(entries))


def _entry_json(entry: JournalEntry) -> dict[str, Any]:
    return {
        "rollout": entry.id,
        "operator": entry.operator,
        "began": entry.started_unix_s,
        "why": entry.why,
        "change": entry.change.kind.value,
        "stage": entry.record.phase.value,
        "reason": entry.record.reason,
        "instances": {name: status.outcome.value for name, status in entry.record.statuses},
    }


def _history_table(entries: list[JournalEntry]) -> Table:
    table = Table(box=box.SIMPLE_HEAD, pad_edge=False)
    for column in ("rollout", "began, by", "stage", "instances", "why, and why it stands"):
        table.add_column(column)
    for entry in entries:
        outcomes = Counter(status.outcome.value for _, status in entry.record.statuses)
        began = time.strftime("%m-%d %H:%M", time.localtime(entry.started_unix_s))
        table.add_row(
            str(entry.id),
            f"{began} {entry.operator}",
            entry.record.phase.value,
            ", ".join(f"{count} {outcome}" for outcome, count in outcomes.most_common()),
            "; ".join(filter(None, (entry.why, entry.record.reason))),
        )
    return table


@command.command(
    "rebuild",
    help="Make a journal that was lost again, from what the agents remember; "
    "rollouts it has stay as they are.",
)
@folder_option
@operator_option
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def rebuild_journal(folder: Path, operator: str, as_json: bool) -> None:
    """Add the rollouts that the journal lacks and agents remember."""
    client = operator_client(folder, operator, CALL_TIMEOUT_S)
    with open_journal(folder) as journal:
        entries, silent = run_with_client(client, lambda fleet: _missing_entries(fleet, journal))
        for entry in entries:
            journal.add(entry)
    if as_json:
        print_json({"rebuilt": [entry.id for entry in entries], "silent": silent})
        return
    numbers = ", ".join(str(entry.id) for entry in entries)
    click.echo(f"rebuilt: {numbers or 'nothing that the journal does not have'}")
    for agent in silent:
        click.echo(f"{agent} did not answer: what it alone remembers is not there")


async def _missing_entries(
    operator: FleetClient, journal: Journal
) -> tuple[list[JournalEntry], list[str]]:
    """Return rollouts that agents report and the journal lacks, and agents without a response."""
    responses = await operator.call_all(messages.StatusRequest())
    silent = [response.agent for response in responses if response.status != 200]
    reports = {
        response.agent: response.body["instances"]
        for response in responses
        if response.status == 200
    }
    known = {entry.id for entry in journal.entries(ALL_ENTRIES)}
    entries = [
        await _rebuilt_entry(operator, rollout)
        for rollout in rebuild(reports, silent)
        if rollout.id not in known
    ]
    return entries, silent


async def _rebuilt_entry(operator: FleetClient, rollout: RebuiltRollout) -> JournalEntry:
    files: dict[str, str] = {}
    if rollout.files_holder is not None:
        holder = rollout.files_holder
        response = await operator.call(
            holder.agent, messages.FilesRequest(holder.instance, rollout.id)
        )
        files = response.body.get("files", {})
    now_unix_s = time.time()
    return JournalEntry(
        id=rollout.id,
        operator="unknown",
        started_unix_s=now_unix_s,
        updated_unix_s=now_unix_s,
        why="(rebuilt)",
        change=ReplaceFiles(files),
        record=rollout.record,
    )
