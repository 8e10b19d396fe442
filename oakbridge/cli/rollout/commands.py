"""``oakbridge fleet plan | apply | drain | undrain | rollback | resume``: roll changes out."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import click

from oakbridge.cli.common import InvalidInputError, print_json
from oakbridge.cli.fleet import command, folder_option, operator_client, operator_option
from oakbridge.cli.rollout.change_options import read_change
from oakbridge.cli.rollout.options import WaveArguments, timing_options, wave_options
from oakbridge.cli.rollout.session import (
    CALL_TIMEOUT_S,
    RolloutSession,
    find_targets,
    read_journal,
    rollback_sources,
)
from oakbridge.fleet.client import run_with_client
from oakbridge.rollout.change import Drain, RollBackRollout, Undrain
from oakbridge.rollout.coordinator import RolloutOptions

undo_option = click.option(
    "--undo", is_flag=True, help="Take it back everywhere if it has to be halted."
)
why_option = click.option("--why", default="", help="What it is for, for the history.")


@command.command("plan")
@folder_option
@operator_option
@wave_options
@click.option("--json", "as_json", is_flag=True, help="The waves as JSON.")
def plan(folder: Path, operator: str, waves: WaveArguments, as_json: bool) -> None:
    """Show the waves in which a change would go out; nothing is sent."""
    client = operator_client(folder, operator, CALL_TIMEOUT_S)
    targets, unreachable = run_with_client(client, lambda fleet: find_targets(fleet, waves.only))
    names = [[target.name for target in wave] for wave in waves.plan(targets)]
    if as_json:
        print_json({"waves": names, "unseen": unreachable})
        return
    for wave_number, wave in enumerate(names, 1):
        click.echo(f"wave {wave_number}: {', '.join(wave)}")
    for agent in unreachable:
        click.echo(f"not seen, and so in no wave: {agent}")


@command.command("apply")
@folder_option
@operator_option
@wave_options
@click.option(
    "--files",
    type=click.Path(path_type=Path),
    help="A folder with all files of a generation.",
)
@click.option(
    "--servers", type=click.Path(path_type=Path), help="Another server file; the rest stays."
)
@click.option(
    "--set",
    "values",
    multiple=True,
    metavar="PATH=VALUE",
    help="One setting; may be given again.",
)
@why_option
@undo_option
@timing_options
def apply(
    folder: Path,
    operator: str,
    waves: WaveArguments,
    files: Path | None,
    servers: Path | None,
    values: tuple[str, ...],
    why: str,
    undo: bool,
    options: RolloutOptions,
    as_json: bool,
) -> None:
    """Roll a change out in waves, each with a gate; the report says what became of each instance.

    Exit code 0: every instance took it; 3: all but some that are unknown; 4: halted or undone; 1:
    somebody else has the lease.
    """
    change = read_change(files, servers, values)
    session = RolloutSession(folder, operator, options, as_json)
    session.roll_out(change, waves, auto_rollback=undo, why=why)


@command.command(
    "drain",
    help="Have the nodes of --only end what they have and take nothing new, "
    + "until they are undrained.",
)
@folder_option
@operator_option
@wave_options
@why_option
@timing_options
def drain(
    folder: Path,
    operator: str,
    waves: WaveArguments,
    why: str,
    options: RolloutOptions,
    as_json: bool,
) -> None:
    """Roll out the drain marker."""
    if not waves.only:
        raise InvalidInputError(
            "drain: expected --only AGENT/INSTANCE: a whole fleet is not drained by accident"
        )
    session = RolloutSession(folder, operator, options, as_json)
    session.roll_out(Drain(why), waves, auto_rollback=False, why=why)


@command.command("undrain")
@folder_option
@operator_option
@wave_options
@why_option
@timing_options
def undrain(
    folder: Path,
    operator: str,
    waves: WaveArguments,
    why: str,
    options: RolloutOptions,
    as_json: bool,
) -> None:
    """Have drained nodes run again (all, or those of --only)."""
    client = operator_client(folder, operator, CALL_TIMEOUT_S)
    targets, _ = run_with_client(client, lambda fleet: find_targets(fleet, waves.only))
    drained = tuple(target.name for target in targets if target.is_drained)
    if not drained:
        raise InvalidInputError("undrain: no instance is drained")
    session = RolloutSession(folder, operator, options, as_json)
    only_drained = replace(waves, only=drained)
    session.roll_out(Undrain(), only_drained, auto_rollback=False, why=why)


@command.command(
    "rollback",
    help="Bring the instances that took a rollout back to what each ran before it; "
    + "a rollout like any other.",
)
@folder_option
@operator_option
@wave_options
@click.argument("rollout", type=int)
@why_option
@undo_option
@timing_options
def rollback(
    folder: Path,
    operator: str,
    waves: WaveArguments,
    rollout: int,
    why: str,
    undo: bool,
    options: RolloutOptions,
    as_json: bool,
) -> None:
    """Roll out what each instance ran before a rollout that it took."""
    change = RollBackRollout(rollout)
    sources = read_journal(folder, lambda journal: rollback_sources(journal, change))
    if not sources:
        raise InvalidInputError(f"rollout {rollout}: no instance took it that ran anything before")
    session = RolloutSession(folder, operator, options, as_json)
    session.roll_out(change, waves, auto_rollback=undo, why=why, sources=sources)


@command.command(
    "resume",
    help="Go on with a rollout whose tool was killed, "
    + "or take along those that were unknown at its end.",
)
@folder_option
@operator_option
@click.argument("rollout", type=int)
@timing_options
def resume(
    folder: Path, operator: str, rollout: int, options: RolloutOptions, as_json: bool
) -> None:
    """Resume a rollout from the journal."""
    # Fails for an unknown rollout before the lease is acquired.
    read_journal(folder, lambda journal: journal.entry(rollout))
    RolloutSession(folder, operator, options, as_json).resume(rollout)
