"""``oakbridge fleet plan | apply | resume | history``: one change over many instances, and which of them took it."""

from __future__ import annotations

import asyncio
import getpass
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
from rich import box
from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from oakbridge.agent.store import StoreError, check_files
from oakbridge.cli.common import BadInput, Failed, say_json
from oakbridge.cli.fleet import command, folder_option, operator_of, operator_option
from oakbridge.fleet import wire
from oakbridge.fleet.ask import Held, Operator
from oakbridge.rollout.conduct import LEASE_S, Conductor, Options
from oakbridge.rollout.gate import Rules
from oakbridge.rollout.journal import Entry, Journal, JournalError
from oakbridge.rollout.machine import Fate, Record, Row, Stage
from oakbridge.rollout.plan import BadPlan, Target, Waves, plan

PARTIAL, HALTED = 3, 4  # exit codes: done but for some that are unknown; halted or undone
STYLE = {Fate.TOOK: "green", Fate.UNKNOWN: "yellow", Fate.DID_NOT: "red", Fate.UNDONE: "red"}


def read_files(folder: Path) -> dict[str, str]:
    """The files of a change: all of a folder that are not hidden."""
    try:
        found = {
            p.name: p.read_text("utf-8") for p in sorted(folder.iterdir()) if p.is_file() and p.name[0] != "."
        }
        check_files(found)
    except OSError as e:
        raise BadInput(f"{folder}: {e.strerror}") from None
    except (UnicodeDecodeError, StoreError) as e:
        raise BadInput(f"{folder}: {e}") from None
    if "oakbridge.toml" not in found:
        raise BadInput(f"{folder}: expected a file oakbridge.toml")
    return found


def wave_options(function: Any) -> Any:
    """How the whole is cut into waves."""
    for option in (
        click.option("--canary", default=1, type=click.IntRange(0), help="Instances of the first wave."),
        click.option(
            "--share",
            "shares",
            multiple=True,
            type=float,
            help="Of all, by the end of a wave; 0.1, 0.5 and 1.",
        ),
        click.option(
            "--unavailable", default=1, type=click.IntRange(1), help="Instances in change at one time."
        ),
        click.option(
            "--only", multiple=True, metavar="AGENT/INSTANCE", help="These alone; may be given again."
        ),
    ):
        function = option(function)
    return function


async def find_targets(operator: Operator, only: tuple[str, ...]) -> tuple[list[Target], list[str]]:
    """All instances that can be seen now, and the agents that can't."""
    heard = await operator.ask_all(wire.Status())
    found = [
        Target(h.agent, row["name"], "", row["generation"])
        for h in heard if h.status == 200 for row in h.answer["instances"]
    ]  # fmt: skip
    unseen = [f"{h.agent}: {h.error or h.answer.get('error', '')}" for h in heard if h.status != 200]
    if missing := set(only) - {t.name for t in found}:
        raise BadInput(f"--only: there is no instance {', '.join(sorted(missing))} that can be seen")
    return [t for t in found if not only or t.name in only], unseen


def cut(
    targets: list[Target], canary: int, shares: tuple[float, ...], unavailable: int
) -> list[list[Target]]:
    """The waves.  Raises BadInput."""
    try:
        return plan(targets, Waves(canary, shares or (0.1, 0.5, 1.0), unavailable=unavailable))
    except BadPlan as e:
        raise BadInput(str(e)) from None


@command.command("plan")
@folder_option
@operator_option
@wave_options
@click.option("--json", "as_json", is_flag=True, help="The waves as JSON.")
def plan_(
    folder: Path,
    operator: str,
    canary: int,
    shares: tuple[float, ...],
    unavailable: int,
    only: tuple[str, ...],
    as_json: bool,
) -> None:
    """Show the waves in which a change would go out; nothing is sent."""
    targets, unseen = asyncio.run(find_targets(operator_of(folder, operator, 5.0), only))
    waves = cut(targets, canary, shares, unavailable)
    if as_json:
        return say_json({"waves": [[t.name for t in wave] for wave in waves], "unseen": unseen})
    for number, wave in enumerate(waves, 1):
        click.echo(f"wave {number}: {', '.join(t.name for t in wave)}")
    for text in unseen:
        click.echo(f"not seen, and so in no wave: {text}")


@command.command("apply")
@folder_option
@operator_option
@wave_options
@click.option(
    "--files", required=True, type=click.Path(path_type=Path), help="A folder with all files of the change."
)
@click.option("--why", default="", help="What it is for, for the history.")
@click.option("--undo", is_flag=True, help="Take it back everywhere if it has to be halted.")
@click.option(
    "--watch", default=5.0, type=click.FloatRange(0.5, 600), help="Seconds that an instance is watched."
)
@click.option("--window", default=10.0, type=click.FloatRange(0.5, 3600), help="Seconds that a gate looks.")
@click.option(
    "--silent", default=30.0, type=click.FloatRange(1, 3600), help="Seconds after which silence is unknown."
)
@click.option("--json", "as_json", is_flag=True, help="The report as JSON.")
def apply(
    folder: Path, operator: str, canary: int, shares: tuple[float, ...], unavailable: int, only: tuple[str, ...],
    files: Path, why: str, undo: bool, watch: float, window: float, silent: float, as_json: bool,
) -> None:  # fmt: skip
    """Roll a change out in waves, each with a gate; the report says what became of each instance.

    Exit code 0: every instance took it; 3: all but some that are unknown; 4: halted or undone; 1: somebody else has
    the lease.
    """
    found, options = read_files(files), Options(watch, window, silent, Rules())
    asker, journal = operator_of(folder, operator, 5.0), _journal(folder)

    async def run() -> tuple[Conductor, list[str]]:
        held = await lease(asker)
        try:
            targets, unseen = await find_targets(asker, only)
            waves = cut(targets, canary, shares, unavailable)
            record = Record(tuple(map(tuple, waves)), unavailable, undo)
            now = time.time()
            journal.add(Entry(held.token, f"{operator} ({getpass.getuser()})", now, now, why, found, record))
            return await conduct(asker, journal, held.token, found, record, held, options, as_json), unseen
        except BaseException:
            await asker.release(held)
            raise

    _end(*asyncio.run(run()), as_json)


@command.command("resume")
@folder_option
@operator_option
@click.argument("rollout", type=int)
@click.option("--watch", default=5.0, type=click.FloatRange(0.5, 600), help="As with apply.")
@click.option("--window", default=10.0, type=click.FloatRange(0.5, 3600), help="As with apply.")
@click.option("--silent", default=30.0, type=click.FloatRange(1, 3600), help="As with apply.")
@click.option("--json", "as_json", is_flag=True, help="The report as JSON.")
def resume(
    folder: Path, operator: str, rollout: int, watch: float, window: float, silent: float, as_json: bool
) -> None:
    """Go on with a rollout whose tool was killed, by its journal and by what the agents say."""
    asker, journal = operator_of(folder, operator, 5.0), _journal(folder)
    try:
        entry = journal.entry(rollout)
    except JournalError as e:
        raise BadInput(str(e)) from None

    async def run() -> Conductor:
        held = await lease(asker)
        try:
            options = Options(watch, window, silent)
            return await conduct(asker, journal, rollout, entry.files, entry.record, held, options, as_json)
        except BaseException:
            await asker.release(held)
            raise

    _end(asyncio.run(run()), [], as_json)


@command.command("history")
@folder_option
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def history(folder: Path, as_json: bool) -> None:
    """Show past rollouts, and those that stand still."""
    entries = _journal(folder).entries()
    if as_json:
        return say_json([
            {"rollout": e.id, "operator": e.operator, "began": e.began, "why": e.why, "stage": e.record.stage.value,
             "reason": e.record.reason, "instances": {n: r.fate.value for n, r in e.record.rows}}
            for e in entries
        ])  # fmt: skip
    table = Table(box=box.SIMPLE_HEAD)
    for column in ("rollout", "began", "operator", "stage", "instances", "why, and why it stands"):
        table.add_column(column)
    for e in entries:
        counts = Counter(row.fate.value for _, row in e.record.rows)
        told = ", ".join(f"{n} {word}" for word, n in counts.most_common())
        began = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(e.began))
        table.add_row(
            str(e.id),
            began,
            e.operator,
            e.record.stage.value,
            told,
            "; ".join(filter(None, (e.why, e.record.reason))),
        )
    Console().print(table)


def _journal(folder: Path) -> Journal:
    try:
        return Journal(folder)
    except JournalError as e:
        raise BadInput(str(e)) from None


async def lease(operator: Operator) -> Held:
    """The lease, or Failed with who has it."""
    held = await operator.acquire(LEASE_S)
    of = len(operator.inventory.agents)
    if held.won(of):
        return held
    for heard in held.refused:
        if holder := heard.answer.get("holder"):
            since = time.strftime("%H:%M:%S", time.localtime(heard.answer["since"]))
            ends = f", ends in {heard.answer['ends_in_s']:.0f} s" if heard.answer.get("ends_in_s") else ""
            raise Failed(f"{holder} has the lease since {since}{ends} (agent {heard.agent})")
    for heard in held.refused:
        raise Failed(f"agent {heard.agent} refuses: {heard.answer.get('error')}")
    raise Failed(f"{len(held.agents)} of {of} agents answer; a majority is needed for a change")


async def conduct(
    operator: Operator, journal: Journal, rollout: int, files: dict[str, str], record: Record, held: Held,
    options: Options, quiet: bool,
) -> Conductor:  # fmt: skip
    """Carry it out, with a live view where people look."""
    console = Console()
    show: Callable[[Conductor], None] = lambda _: None  # noqa: E731
    if quiet or not console.is_terminal:
        conductor = Conductor(operator, journal, rollout, files, record, held, options, show)
        await conductor.run()
    else:
        with Live(console=console, auto_refresh=False) as live:
            conductor = Conductor(
                operator, journal, rollout, files, record, held, options,
                lambda c: live.update(picture(c), refresh=True),
            )  # fmt: skip
            await conductor.run()
    await operator.release(conductor.held)
    return conductor


def _line(name: str, row: Row) -> dict[str, Any]:
    return {"instance": name, "fate": row.fate.value, "reason": row.reason, "last_heard": row.since or None}


def _end(conductor: Conductor, unseen: list[str], as_json: bool) -> None:
    machine = conductor.machine
    if as_json:
        say_json({
            "rollout": conductor.rollout, "stage": machine.record.stage.value, "reason": machine.record.reason,
            "complete": machine.complete() and not unseen, "unseen": unseen,
            "instances": [_line(n, r) for n, r in machine.report().items()],
        })  # fmt: skip
    else:
        console = Console()
        if not console.is_terminal:
            console.print(picture(conductor))
        for text in unseen:
            console.print(f"not seen at the start, and so in no wave: {text}")
    if machine.record.stage is not Stage.DONE:
        raise click.exceptions.Exit(HALTED)
    if unseen or not machine.complete():
        raise click.exceptions.Exit(PARTIAL)


def picture(conductor: Conductor) -> Group:
    """The rollout as a table, a line for each instance."""
    machine = conductor.machine
    table = Table(box=box.SIMPLE_HEAD)
    for column in ("wave", "instance", "fate", "why"):
        table.add_column(column)
    report = machine.report()
    for number, wave in enumerate(machine.record.waves, 1):
        for target in wave:
            row = report[target.name]
            why = row.reason
            if row.fate is Fate.UNKNOWN:
                last = time.strftime("%H:%M:%S", time.localtime(row.since)) if row.since else "never"
                why = f"{why}; last heard {last}"
            table.add_row(str(number), target.name, Text(row.fate.value, style=STYLE.get(row.fate, "")), why)
    counts = Counter(row.fate.value for row in report.values())
    told = ", ".join(f"{n} {word}" for word, n in counts.most_common())
    gate = f"; gate: {conductor.judgement.reason}" if conductor.judgement is not None else ""
    record = machine.record
    where = (
        f"rollout {conductor.rollout}: {record.stage.value}, wave {record.wave + 1} of {len(record.waves)}"
    )
    return Group(
        table, Text(f"{where}; {told}{gate}"), *([Text(record.reason, style="red")] if record.reason else [])
    )
