"""``oakbridge fleet plan | apply | drain | undrain | rollback | resume | history | rebuild | doctor``."""

from __future__ import annotations

import asyncio
import functools
import getpass
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click
from rich import box
from rich.console import Console
from rich.live import Live
from rich.table import Table

from oakbridge.agent.errors import StoreError
from oakbridge.agent.generations import check_files
from oakbridge.cli.common import BadInput, Failed, say_json
from oakbridge.cli.fleet import command, folder_option, members_by, operator_of, operator_option, via_options
from oakbridge.cli.rollout_view import picture
from oakbridge.fleet import messages, pki
from oakbridge.fleet.client import FleetClient, LeaseResult
from oakbridge.fleet.errors import PkiError
from oakbridge.rollout import change as changes
from oakbridge.rollout.change import CONFIG, BadChange, Change
from oakbridge.rollout.conduct import LEASE_S, Conductor, Options
from oakbridge.rollout.doctor import BAD, examine
from oakbridge.rollout.gate import Rules
from oakbridge.rollout.journal import Entry, Journal, JournalError
from oakbridge.rollout.machine import Fate, Record, Row, Stage
from oakbridge.rollout.plan import BadPlan, Target, Waves, plan
from oakbridge.rollout.rebuild import rebuild

PARTIAL, HALTED = 3, 4  # exit codes: done but for some that are unknown; halted or undone
SHOW_S = 0.25  # the least time between two pictures


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
    if CONFIG not in found:
        raise BadInput(f"{folder}: expected a file {CONFIG}")
    if changes.DRAINED in found:
        raise BadInput(f"{folder}: {changes.DRAINED}: this name is kept for `fleet drain`")
    return found


def read_change(files: Path | None, servers: Path | None, values: tuple[str, ...]) -> Change:
    """The change that the options tell of: exactly one kind of it."""
    if sum(1 for given in (files, servers, values) if given) != 1:
        raise BadInput("apply: expected one of --files, --servers or --set")
    if files is not None:
        return changes.Whole(read_files(files))
    try:
        if servers is not None:
            return changes.ServerFile(servers.read_text("utf-8"))
        return changes.Values(dict(map(changes.parse_setting, values)))
    except OSError as e:
        raise BadInput(f"{servers}: {e.strerror}") from None
    except UnicodeDecodeError as e:
        raise BadInput(f"{servers}: {e}") from None
    except BadChange as e:
        raise BadInput(str(e)) from None


@dataclass(frozen=True, slots=True)
class Cut:
    """How the whole is cut into waves, as the command line has it."""

    canary: int
    shares: tuple[float, ...]
    unavailable: int
    by_zone: bool
    only: tuple[str, ...]

    def waves(self, targets: list[Target]) -> list[list[Target]]:
        """The waves.  Raises BadInput."""
        shares = self.shares or (0.1, 0.5, 1.0)
        try:
            return plan(targets, Waves(self.canary, shares, self.by_zone, self.unavailable))
        except BadPlan as e:
            raise BadInput(str(e)) from None


def _options(function: Any, options: list[Any]) -> Any:
    for option in reversed(options):
        function = option(function)
    return function


def wave_options(function: Any) -> Any:
    """How the whole is cut into waves; the command gets a :class:`Cut`."""

    @functools.wraps(function)
    def with_cut(
        canary: int,
        shares: tuple[float, ...],
        unavailable: int,
        by_zone: bool,
        only: tuple[str, ...],
        **rest: Any,
    ) -> Any:
        return function(cut=Cut(canary, shares, unavailable, by_zone, only), **rest)

    return _options(with_cut, [
        click.option("--canary", default=1, type=click.IntRange(0), help="Instances of the first wave."),
        click.option(
            "--share", "shares", multiple=True, type=float, help="Of all, by the end of a wave; 0.1, 0.5 and 1."
        ),
        click.option("--unavailable", default=1, type=click.IntRange(1), help="Instances in change at one time."),
        click.option("--by-zone", is_flag=True, help="Never two zones in one wave, but for the canary."),
        click.option("--only", multiple=True, metavar="AGENT/INSTANCE", help="These alone; may be given again."),
    ])  # fmt: skip


def patience_options(function: Any) -> Any:
    """How patient a rollout is; the command gets :class:`Options`."""

    @functools.wraps(function)
    def with_options(watch: float, window: float, silent: float, **rest: Any) -> Any:
        return function(options=Options(watch, window, silent, Rules()), **rest)

    seconds = click.FloatRange
    return _options(with_options, [
        click.option("--watch", default=5.0, type=seconds(0.5, 600), help="Seconds that an instance is watched."),
        click.option("--window", default=10.0, type=seconds(0.5, 3600), help="Seconds that a gate looks."),
        click.option("--silent", default=30.0, type=seconds(1, 3600), help="Seconds after which silence is unknown."),
        click.option("--json", "as_json", is_flag=True, help="The report as JSON."),
    ])  # fmt: skip


async def find_targets(operator: FleetClient, only: tuple[str, ...]) -> tuple[list[Target], list[str]]:
    """All instances that can be seen now, and the agents that can't."""
    heard = await operator.call_all(messages.StatusRequest())
    found = [
        Target(h.agent, row["name"], h.body.get("zone", ""), row["generation"], row.get("drained", False))
        for h in heard if h.status == 200 for row in h.body["instances"]
    ]  # fmt: skip
    unseen = [f"{h.agent}: {h.error or h.body.get('error', '')}" for h in heard if h.status != 200]
    if missing := set(only) - {t.name for t in found}:
        raise BadInput(f"--only: there is no instance {', '.join(sorted(missing))} that can be seen")
    return [t for t in found if not only or t.name in only], unseen


@command.command("plan")
@folder_option
@operator_option
@wave_options
@click.option("--json", "as_json", is_flag=True, help="The waves as JSON.")
def plan_(folder: Path, operator: str, cut: Cut, as_json: bool) -> None:
    """Show the waves in which a change would go out; nothing is sent."""
    targets, unseen = asyncio.run(find_targets(operator_of(folder, operator, 5.0), cut.only))
    waves = cut.waves(targets)
    if as_json:
        return say_json({"waves": [[t.name for t in wave] for wave in waves], "unseen": unseen})
    for number, wave in enumerate(waves, 1):
        click.echo(f"wave {number}: {', '.join(t.name for t in wave)}")
    for text in unseen:
        click.echo(f"not seen, and so in no wave: {text}")


@dataclass(frozen=True, slots=True)
class Roll:
    """One call of a command that changes the fleet."""

    folder: Path
    operator: str
    options: Options
    as_json: bool

    def out(
        self, change: Change, cut: Cut, undo: bool, why: str, sources: dict[str, int] | None = None
    ) -> None:
        """Roll a change out; ends the command with its exit code."""

        async def run(asker: FleetClient, journal: Journal, held: LeaseResult) -> tuple[Conductor, list[str]]:
            targets, unseen = await find_targets(asker, cut.only)
            if sources is not None:
                targets = [t for t in targets if t.name in sources]
            waves = tuple(map(tuple, cut.waves(targets)))
            record = Record(waves, cut.unavailable, undo)
            now, who = time.time(), f"{self.operator} ({getpass.getuser()})"
            journal.add(Entry(held.token, who, now, now, why or change.says(), change, record))
            return await self._conduct(asker, journal, held.token, change, record, held, sources), unseen

        self._end(*self._with_lease(run))

    def again(self, rollout: int) -> None:
        """Go on with a rollout; ends the command with its exit code."""

        async def run(asker: FleetClient, journal: Journal, held: LeaseResult) -> tuple[Conductor, list[str]]:
            entry = journal.entry(rollout)
            sources = sources_of(journal, entry.change)
            return await self._conduct(asker, journal, rollout, entry.change, entry.record, held, sources), []

        self._end(*self._with_lease(run))

    def _with_lease(self, run: Callable[[FleetClient, Journal, LeaseResult], Any]) -> Any:
        """Run under the lease, which is given back however it ends."""
        asker, journal = operator_of(self.folder, self.operator, 5.0), open_journal(self.folder)

        async def whole() -> Any:
            held = await lease(asker)
            conductor: Conductor | None = None
            try:
                got = await run(asker, journal, held)
                conductor = got[0]
                return got
            finally:
                await asker.release_lease(conductor.held if conductor is not None else held)
                asker.close()

        try:
            return asyncio.run(whole())
        except JournalError as e:
            raise BadInput(str(e)) from None

    async def _conduct(
        self, asker: FleetClient, journal: Journal, rollout: int, change: Change, record: Record, held: LeaseResult,
        sources: dict[str, int] | None,
    ) -> Conductor:  # fmt: skip
        """Carry it out, with a live view where people look."""
        console, last = Console(), 0.0
        if self.as_json or not console.is_terminal:
            conductor = Conductor(
                asker, journal, rollout, change, record, held, self.options, sources=sources
            )
            await conductor.run()
            return conductor
        with Live(console=console, auto_refresh=False) as live:

            def show(conductor: Conductor) -> None:
                nonlocal last
                if time.monotonic() - last > SHOW_S:
                    last = time.monotonic()
                    live.update(picture(conductor), refresh=True)

            conductor = Conductor(asker, journal, rollout, change, record, held, self.options, show, sources)
            await conductor.run()
            live.update(picture(conductor), refresh=True)
        return conductor

    def _end(self, conductor: Conductor, unseen: list[str]) -> None:
        machine = conductor.machine
        if self.as_json:
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
                click.echo(f"not seen at the start, and so in no wave: {text}")
        if machine.record.stage is not Stage.DONE:
            raise click.exceptions.Exit(HALTED)
        if unseen or not machine.complete():
            raise click.exceptions.Exit(PARTIAL)


def _line(name: str, row: Row) -> dict[str, Any]:
    return {"instance": name, "fate": row.fate.value, "reason": row.reason, "last_heard": row.since or None}


def sources_of(journal: Journal, change: Change) -> dict[str, int] | None:
    """For a way back: the generation that each instance ran before that rollout."""
    if not isinstance(change, changes.Back):
        return None
    entry = journal.entry(change.rollout)
    fates = dict(entry.record.rows)
    return {
        t.name: t.base for wave in entry.record.waves for t in wave
        if t.base and t.name in fates and fates[t.name].fate is Fate.TOOK
    }  # fmt: skip


undo_option = click.option("--undo", is_flag=True, help="Take it back everywhere if it has to be halted.")
why_option = click.option("--why", default="", help="What it is for, for the history.")


@command.command("apply")
@folder_option
@operator_option
@wave_options
@click.option("--files", type=click.Path(path_type=Path), help="A folder with all files of a generation.")
@click.option("--servers", type=click.Path(path_type=Path), help="Another server file; the rest stays.")
@click.option("--set", "values", multiple=True, metavar="PATH=VALUE", help="One setting; may be given again.")
@why_option
@undo_option
@patience_options
def apply(
    folder: Path, operator: str, cut: Cut, files: Path | None, servers: Path | None, values: tuple[str, ...],
    why: str, undo: bool, options: Options, as_json: bool,
) -> None:  # fmt: skip
    """Roll a change out in waves, each with a gate; the report says what became of each instance.

    Exit code 0: every instance took it; 3: all but some that are unknown; 4: halted or undone; 1: somebody else has
    the lease.
    """
    change = read_change(files, servers, values)
    Roll(folder, operator, options, as_json).out(change, cut, undo, why)


@command.command("drain")
@folder_option
@operator_option
@wave_options
@why_option
@patience_options
def drain(folder: Path, operator: str, cut: Cut, why: str, options: Options, as_json: bool) -> None:
    """Have the nodes of --only end what they have and take nothing new, until they are undrained."""
    if not cut.only:
        raise BadInput("drain: expected --only AGENT/INSTANCE: a whole fleet is not drained by accident")
    Roll(folder, operator, options, as_json).out(changes.Drain(why), cut, False, why)


@command.command("undrain")
@folder_option
@operator_option
@wave_options
@why_option
@patience_options
def undrain(folder: Path, operator: str, cut: Cut, why: str, options: Options, as_json: bool) -> None:
    """Have drained nodes run again (all, or those of --only)."""
    roll = Roll(folder, operator, options, as_json)
    targets, _ = asyncio.run(find_targets(operator_of(folder, operator, 5.0), cut.only))
    drained = tuple(t.name for t in targets if t.drained)
    if not drained:
        raise BadInput("undrain: no instance is drained")
    only = Cut(cut.canary, cut.shares, cut.unavailable, cut.by_zone, drained)
    roll.out(changes.Undrain(), only, False, why)


@command.command("rollback")
@folder_option
@operator_option
@wave_options
@click.argument("rollout", type=int)
@why_option
@undo_option
@patience_options
def rollback(
    folder: Path, operator: str, cut: Cut, rollout: int, why: str, undo: bool, options: Options, as_json: bool
) -> None:
    """Bring the instances that took a rollout back to what each ran before it; a rollout like any other."""
    change = changes.Back(rollout)
    try:
        sources = sources_of(open_journal(folder), change)
    except JournalError as e:
        raise BadInput(str(e)) from None
    if not sources:
        raise BadInput(f"rollout {rollout}: no instance took it that ran anything before")
    Roll(folder, operator, options, as_json).out(change, cut, undo, why, sources)


@command.command("resume")
@folder_option
@operator_option
@click.argument("rollout", type=int)
@patience_options
def resume(folder: Path, operator: str, rollout: int, options: Options, as_json: bool) -> None:
    """Go on with a rollout whose tool was killed, or take along those that were unknown at its end."""
    try:
        open_journal(folder).entry(rollout)
    except JournalError as e:
        raise BadInput(str(e)) from None
    Roll(folder, operator, options, as_json).again(rollout)


@command.command("history")
@folder_option
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def history(folder: Path, as_json: bool) -> None:
    """Show past rollouts, and those that stand still."""
    try:
        entries = open_journal(folder).entries()
    except JournalError as e:
        raise BadInput(str(e)) from None
    if as_json:
        return say_json([
            {"rollout": entry.id, "operator": entry.operator, "began": entry.began, "why": entry.why,
             "change": entry.change.kind, "stage": entry.record.stage.value, "reason": entry.record.reason,
             "instances": {n: r.fate.value for n, r in entry.record.rows}}
            for entry in entries
        ])  # fmt: skip
    table = Table(box=box.SIMPLE_HEAD, pad_edge=False)
    for column in ("rollout", "began, by", "stage", "instances", "why, and why it stands"):
        table.add_column(column)
    for entry in entries:
        counts = Counter(row.fate.value for _, row in entry.record.rows)
        told = ", ".join(f"{n} {word}" for word, n in counts.most_common())
        began = time.strftime("%m-%d %H:%M", time.localtime(entry.began))
        reasons = "; ".join(filter(None, (entry.why, entry.record.reason)))
        table.add_row(str(entry.id), f"{began} {entry.operator}", entry.record.stage.value, told, reasons)
    Console().print(table)


@command.command("rebuild")
@folder_option
@operator_option
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def rebuild_(folder: Path, operator: str, as_json: bool) -> None:
    """Make a journal that was lost again, from what the agents remember; rollouts it has stay as they are."""
    asker, journal = operator_of(folder, operator, 5.0), open_journal(folder)

    async def run() -> tuple[list[Entry], list[str]]:
        heard = await asker.call_all(messages.StatusRequest())
        silent = [h.agent for h in heard if h.status != 200]
        there = {h.agent: h.body["instances"] for h in heard if h.status == 200}
        known, made = {e.id for e in journal.entries(1_000_000)}, []
        for found in rebuild(there, silent):
            if found.id in known:
                continue
            files: dict[str, str] = {}
            if found.held_by is not None:
                got = await asker.call(
                    found.held_by.agent, messages.FilesRequest(found.held_by.instance, found.id)
                )
                files = got.body.get("files", {})
            whole, now = changes.Whole(files), time.time()
            made.append(Entry(found.id, "unknown", now, now, "(rebuilt)", whole, found.record))
        asker.close()
        return made, silent

    made, silent = asyncio.run(run())
    for entry in made:
        journal.add(entry)
    if as_json:
        return say_json({"rebuilt": [e.id for e in made], "silent": silent})
    click.echo(f"rebuilt: {', '.join(str(e.id) for e in made) or 'nothing that the journal does not have'}")
    for agent in silent:
        click.echo(f"{agent} did not answer: what it alone remembers is not there")


@command.command("doctor")
@folder_option
@operator_option
@via_options
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def doctor(folder: Path, operator: str, via: str | None, secret_file: Path | None, as_json: bool) -> None:
    """Say what is wrong with the fleet and what to do about it; exit code 1 if anything is.

    With --via also where the inventory and what the members know of each other differ.
    """
    members = None if via is None else asyncio.run(members_by(via, secret_file))
    asker, journal = operator_of(folder, operator, 5.0), open_journal(folder)
    heard = asyncio.run(asker.call_all(messages.StatusRequest()))
    told = {h.agent: h.body if h.status == 200 else (h.error or str(h.body.get("error", ""))) for h in heard}
    certificates: dict[str, float] = {}
    for path in (folder / "ca.crt", *folder.glob("agents/*.crt"), *folder.glob("operators/*.crt")):
        try:
            certificates[str(path.relative_to(folder))] = pki.certificate_days_left(path)
        except (PkiError, OSError, ValueError):
            certificates[str(path.relative_to(folder))] = 0.0
    try:
        found = examine(told, journal.entries(), time.time(), certificates, members)
    except JournalError as e:
        raise BadInput(str(e)) from None
    if as_json:
        say_json([{"weight": f.weight, "where": f.where, "what": f.what, "do": f.do} for f in found])
    else:
        for f in found:
            click.echo(f"{f.weight:4}  {f.where}: {f.what}\n      -> {f.do}")
        click.echo(
            f"{sum(1 for f in found if f.weight == BAD)} bad, {len(found)} in all; {len(heard)} agents asked"
        )
    if any(f.weight == BAD for f in found):
        raise click.exceptions.Exit(1)


def open_journal(folder: Path) -> Journal:
    """The fleet's journal.  Raises BadInput."""
    try:
        return Journal(folder)
    except JournalError as e:
        raise BadInput(str(e)) from None


async def lease(operator: FleetClient) -> LeaseResult:
    """The lease, or Failed with who has it."""
    held = await operator.acquire_lease(LEASE_S)
    of = len(operator.inventory.agents)
    if held.has_majority(of):
        return held
    for heard in held.denied:
        if holder := heard.body.get("holder"):
            since = time.strftime("%H:%M:%S", time.localtime(heard.body["since"]))
            ends = f", ends in {heard.body['ends_in_s']:.0f} s" if heard.body.get("ends_in_s") else ""
            raise Failed(f"{holder} has the lease since {since}{ends} (agent {heard.agent})")
    for heard in held.denied:
        raise Failed(f"agent {heard.agent} refuses: {heard.body.get('error')}")
    raise Failed(f"{len(held.granted_by)} of {of} agents answer; a majority is needed for a change")
