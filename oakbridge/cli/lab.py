"""``oakbridge lab``: a fleet of real processes under faults, by a file and a seed."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from oakbridge.cli.common import CommandFailedError, InvalidInputError, print_json
from oakbridge.config.errors import ConfigFileError

if TYPE_CHECKING:
    from oakbridge.lab.plan import Plan
    from oakbridge.lab.runner import Progress

LATEST = "summary.json"
MARK = "run.json"  # from a run's begin on


@click.group("lab")
def command() -> None:
    """Play a fleet of real processes under faults, on loopback (docs/lab.md)."""


@command.command("run")
@click.argument("path", metavar="FILE", type=click.Path(path_type=Path))
@click.option(
    "--seed", default=1, type=click.IntRange(0, 2**31), help="Draws load, faults and all else."
)
@click.option(
    "--out", required=True, type=click.Path(path_type=Path), help="A folder for the results."
)
@click.option("--quick", is_flag=True, help="Fewer of everything, as the file says.")
@click.option(
    "--root",
    type=click.Path(path_type=Path, exists=True),
    help="Another checkout, whose nodes are run.",
)
@click.option("--json", "as_json", is_flag=True, help="The summary as JSON.")
def run(path: Path, seed: int, out: Path, quick: bool, root: Path | None, as_json: bool) -> None:
    """Play FILE once; exit code 0 if all checks hold, 1 if not, 2 for a mistake in the file."""
    from oakbridge.lab.plan import load_plan

    try:
        plan = load_plan(path)
    except ConfigFileError as e:
        raise InvalidInputError(str(e)) from None
    began = time.monotonic()
    summary = _play(plan, path, seed, out, quick, root)
    _show(summary, as_json)
    print(f"{out}: {time.monotonic() - began:.0f} s", file=sys.stderr)
    if not summary["ok"]:
        raise click.exceptions.Exit(1)


def _play(
    plan: Plan, path: Path, seed: int, out: Path, quick: bool, root: Path | None
) -> dict[str, Any]:
    """One run; returns its summary."""
    from oakbridge.lab.addresses import NoFreeSlotError
    from oakbridge.lab.helper_process import RunFailedError
    from oakbridge.lab.plan import scale_down
    from oakbridge.lab.runner import LabRun

    if out.exists() and (not out.is_dir() or (any(out.iterdir()) and not (out / MARK).exists())):
        raise InvalidInputError(f"{out}: expected an empty folder, or one of an earlier run")
    out.mkdir(parents=True, exist_ok=True)
    (out / MARK).write_text(json.dumps({"file": path.name, "seed": seed, "quick": quick}) + "\n")
    for old in [*out.glob("*.parquet"), *out.glob(LATEST)]:
        old.unlink()
    plan = scale_down(plan) if quick else plan
    checkout = (root or Path(__file__).parents[2]).absolute()
    lab_run = LabRun(plan, seed, out.absolute(), checkout, show_progress=_show_progress)
    try:
        history, results = asyncio.run(lab_run.play())
    except (RunFailedError, NoFreeSlotError) as e:
        raise CommandFailedError(str(e)) from None
    except KeyboardInterrupt:
        raise click.Abort from None
    from oakbridge.lab import report
    from oakbridge.lab.checks.judge import judge

    return report.write(out, history, judge(history), results, seed, _commit(checkout))


@command.command("compare")
@click.argument(
    "paths", metavar="FILE...", nargs=-1, required=True, type=click.Path(path_type=Path)
)
@click.option(
    "--seeds",
    default=20,
    type=click.IntRange(1, 1000),
    help="Each case is played with the seeds 1 to this.",
)
@click.option(
    "--vary",
    multiple=True,
    metavar="KEY=A,B",
    help="A field of the file by its dotted path; TOML values.",
)
@click.option(
    "--root",
    "roots",
    multiple=True,
    type=click.Path(path_type=Path, exists=True),
    help="A checkout each.",
)
@click.option(
    "--out",
    required=True,
    type=click.Path(path_type=Path),
    help="A folder; runs that are there are kept.",
)
@click.option("--quick", is_flag=True, help="Fewer of everything, as the file says.")
def compare(
    paths: tuple[Path, ...],
    seeds: int,
    vary: tuple[str, ...],
    roots: tuple[Path, ...],
    out: Path,
    quick: bool,
) -> None:
    """Play files, settings and versions with the same seeds, and tell what may be said of the differences."""
    from oakbridge.lab import compare as comparing
    from oakbridge.lab import compare_report
    from oakbridge.lab.plan import load_plan

    try:
        found = comparing.build_cases(
            paths, [comparing.parse_variation(text) for text in vary], roots
        )
        plans = {case.name: load_plan(case.file, case.changes) for case in found}
    except ConfigFileError as e:
        raise InvalidInputError(str(e)) from None
    except comparing.InvalidVariationError as e:
        raise InvalidInputError(str(e)) from None
    figures: dict[str, dict[int, dict[str, float | None]]] = {case.name: {} for case in found}
    for seed in range(1, seeds + 1):
        for number, case in enumerate(found):
            at = out / f"case-{number}" / f"seed-{seed}"
            if (at / LATEST).exists():
                summary = _read(at / LATEST)
            else:
                summary = _play(plans[case.name], case.file, seed, at, quick, case.root)
            figures[case.name][seed] = {c["name"]: c["figure"] for c in summary["checks"]}
            broken = [c["name"] for c in summary["checks"] if not c["holds"]]
            click.echo(f"seed {seed}, {case.name}: {', '.join(broken) or 'holds'}", err=True)
    rows = comparing.compare(figures)
    compare_report.write(out, rows, figures)
    click.echo("\n".join(compare_report.lines(rows)))


@command.command("list")
@click.argument("folder", default=Path(), type=click.Path(path_type=Path, exists=True))
def list_runs(folder: Path) -> None:
    """List the runs below a folder."""
    for found in sorted(folder.glob(f"**/{LATEST}")):
        summary = _read(found)
        broken = [c["name"] for c in summary["checks"] if not c["holds"]]
        click.echo(
            f"{found.parent}  seed {summary['seed']}  {'holds' if not broken else ', '.join(broken)}"
        )


@command.command("show")
@click.argument("folder", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="The summary as JSON.")
def show(folder: Path, as_json: bool) -> None:
    """Show a run's figures."""
    _show(_read(folder / LATEST), as_json)


def _read(path: Path) -> dict[str, Any]:
    try:
        found = json.loads(path.read_text())
        found["checks"], found["latency_ms"], found["seed"]
    except OSError as e:
        raise InvalidInputError(f"{path}: {e.strerror or e}") from None
    except (ValueError, KeyError, TypeError):
        raise InvalidInputError(f"{path}: expected the summary of a run") from None
    assert isinstance(found, dict)
    return found


def _show(summary: dict[str, Any], as_json: bool) -> None:
    from oakbridge.lab.report import lines

    if as_json:
        print_json(summary)
        return
    click.echo("\n".join(lines(summary)))


def _show_progress(progress: Progress) -> None:
    if not sys.stderr.isatty():
        return
    where = f"{progress.elapsed_s:.0f} of {progress.total_s:.0f} s" if progress.total_s else ""
    ready = f"{progress.ready_nodes} of {progress.nodes} nodes ready" if progress.nodes else ""
    print(f"\r\033[K{progress.phase} {where}{ready}", end="", file=sys.stderr, flush=True)
    if progress.phase == "ending":
        print(file=sys.stderr)


def _commit(root: Path) -> str:
    """The checkout's commit, read from its files."""
    try:
        head = (root / ".git" / "HEAD").read_text().strip()
        if head.startswith("ref: "):
            head = (root / ".git" / head[5:]).read_text().strip()
        return head[:12]
    except OSError:
        return ""
