"""``oakbridge fleet doctor``: reports problems of a fleet and what to do about each."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

import click

from oakbridge.cli.common import InvalidInputError, print_json
from oakbridge.cli.fleet import (
    command,
    folder_option,
    operator_client,
    operator_option,
    query_members_via,
    via_options,
)
from oakbridge.cli.rollout.session import CALL_TIMEOUT_S, open_journal
from oakbridge.fleet import messages, pki
from oakbridge.fleet.client import run_with_client
from oakbridge.fleet.errors import PkiError
from oakbridge.rollout.doctor import Finding, Severity, diagnose
from oakbridge.rollout.journal import JournalError


@command.command("doctor")
@folder_option
@operator_option
@via_options
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def doctor(
    folder: Path, operator: str, via: str | None, secret_file: Path | None, as_json: bool
) -> None:
    """Say what is wrong with the fleet and what to do about it; exit code 1 if anything is.

    With --via also where the inventory and what the members know of each other differ.
    """
    members = None if via is None else asyncio.run(query_members_via(via, secret_file))
    client = operator_client(folder, operator, CALL_TIMEOUT_S)
    with open_journal(folder) as journal:
        responses = run_with_client(client, lambda fleet: fleet.call_all(messages.StatusRequest()))
        try:
            entries = journal.entries()
        except JournalError as error:
            raise InvalidInputError(str(error)) from None
    responses_by_agent: dict[str, dict[str, Any] | str] = {
        response.agent: response.body
        if response.status == 200
        else response.error or str(response.body.get("error", ""))
        for response in responses
    }
    findings = diagnose(responses_by_agent, entries, time.time(), _days_left(folder), members)
    bad_count = sum(1 for finding in findings if finding.severity is Severity.BAD)
    if as_json:
        print_json([_finding_json(finding) for finding in findings])
    else:
        for finding in findings:
            click.echo(f"{finding.severity.value:4}  {finding.subject}: {finding.problem}")
            click.echo(f"      -> {finding.remedy}")
        click.echo(
            f"{bad_count} bad, {len(findings)} in all; {len(responses_by_agent)} agents asked"
        )
    if bad_count:
        raise click.exceptions.Exit(1)


def _days_left(folder: Path) -> dict[str, float]:
    """Return the days until each certificate of the folder expires, by its path in the folder.

    A certificate that can't be read has 0 days.
    """
    paths = (folder / "ca.crt", *folder.glob("agents/*.crt"), *folder.glob("operators/*.crt"))
    days_by_path: dict[str, float] = {}
    for path in paths:
        try:
            days = pki.certificate_days_left(path)
        except (PkiError, OSError, ValueError):
            days = 0.0
        days_by_path[str(path.relative_to(folder))] = days
    return days_by_path


def _finding_json(finding: Finding) -> dict[str, str]:
    return {
        "weight": finding.severity.value,
        "where": finding.subject,
        "what": finding.problem,
        "do": finding.remedy,
    }
