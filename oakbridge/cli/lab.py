"""``oakbridge lab``: runs a fleet of real processes under faults, from a plan file and a seed."""

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

SUMMARY_FILE = "summary.json"
RUN_FILE = "run.json"  # written when a run starts; shows that a folder holds a run


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
    except ConfigFileError as error:
        raise InvalidInputError(str(error)) from None
    started_s = time.monotonic()
    summary = _run_plan(plan, path, seed, out, quick, root)
    _print_summary(summary, as_json)
    print(f"{out}: {time.monotonic() - started_s:.0f} s", file=sys.stderr)
    if not summary["ok"]:
        raise click.exceptions.Exit(1)


def _run_plan(
    plan: Plan, path: Path, seed: int, out: Path, quick: bool, root: Path | None
) -> dict[str, Any]:
    """Run the plan once, write the results to ``out`` and return the summary.

    Raises InvalidInputError if ``out`` holds other files, CommandFailedError if the run fails.
    """
    from oakbridge.lab.addresses import NoFreeSlotError
    from oakbridge.lab.helper_process import RunFailedError
    from oakbridge.lab.plan import scale_down
    from oakbridge.lab.runner import LabRun

    if out.exists() and (
        not out.is_dir() or (any(out.iterdir()) and not (out / RUN_FILE).exists())
    ):
        raise InvalidInputError(f"{out}: expected an empty folder, or one of an earlier run")
    out.mkdir(parents=True, exist_ok=True)
    (out / RUN_FILE).write_text(
        json.dumps({"file": path.name, "seed": seed, "quick": quick}) + "\n"
    )
    for old_file in [*out.glob("*.parquet"), *out.glob(SUMMARY_FILE)]:
        old_file.unlink()
    plan = scale_down(plan) if quick else plan
    checkout = (root or Path(__file__).parents[2]).absolute()
    lab_run = LabRun(plan, seed, out.absolute(), checkout, show_progress=_show_progress)
    try:
        history, results = asyncio.run(lab_run.play())
    except (RunFailedError, NoFreeSlotError) as error:
        raise CommandFailedError(str(error)) from None
    except KeyboardInterrupt:
        raise click.Abort from None
    from oakbridge.lab import report
    from oakbridge.lab.checks.judge import judge

    return report.write(out, history, judge(history), results, seed, _read_commit(checkout))


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
    from oakbridge.lab import compare as case_comparison
    from oakbridge.lab import compare_report
    from oakbridge.lab.plan import load_plan

    try:
        cases = case_comparison.build_cases(
            paths, [case_comparison.parse_variation(text) for text in vary], roots
        )
        plans = {case.name: load_plan(case.file, case.changes) for case in cases}
    except ConfigFileError as error:
        raise InvalidInputError(str(error)) from None
    except case_comparison.InvalidVariationError as error:
        raise InvalidInputError(str(error)) from None
    figures: dict[str, dict[int, dict[str, float | None]]] = {case.name: {} for case in cases}
    for seed in range(1, seeds + 1):
        for number, case in enumerate(cases):
            run_folder = out / f"case-{number}" / f"seed-{seed}"
            if (run_folder / SUMMARY_FILE).exists():
                summary = _read_summary(run_folder / SUMMARY_FILE)
            else:
                summary = _run_plan(plans[case.name], case.file, seed, run_folder, quick, case.root)
            figures[case.name][seed] = {
                check["name"]: check["figure"] for check in summary["checks"]
            }
            failed_checks = [check["name"] for check in summary["checks"] if not check["holds"]]
            click.echo(f"seed {seed}, {case.name}: {', '.join(failed_checks) or 'holds'}", err=True)
    rows = case_comparison.compare(figures)
    compare_report.write(out, rows, figures)
    click.echo("\n".join(compare_report.lines(rows)))


@command.command("list")
@click.argument("folder", default=Path(), type=click.Path(path_type=Path, exists=True))
def list_runs(folder: Path) -> None:
    """List the runs below a folder."""
    for summary_path in sorted(folder.glob(f"**/{SUMMARY_FILE}")):
        summary = _read_summary(summary_path)
        failed_checks = [check["name"] for check in summary["checks"] if not check["holds"]]
        click.echo(
            f"{summary_path.parent}  seed {summary['seed']}  "
            f"{'holds' if not failed_checks else ', '.join(failed_checks)}"
        )


@command.command("show")
@click.argument("folder", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="The summary as JSON.")
def show(folder: Path, as_json: bool) -> None:
    """Show a run's figures."""
    _print_summary(_read_summary(folder / SUMMARY_FILE), as_json)


def _read_summary(path: Path) -> dict[str, Any]:
    try:
        summary = json.loads(path.read_text())
        summary["checks"], summary["latency_ms"], summary["seed"]
    except OSError as error:
        raise InvalidInputError(f"{path}: {error.strerror or error}") from None
    except (ValueError, KeyError, TypeError):
        raise InvalidInputError(f"{path}: expected the summary of a run") from None
    assert isinstance(summary, dict)
    return summary


def _print_summary(summary: dict[str, Any], as_json: bool) -> None:
    from oakbridge.lab.report import lines

    if as_json:
        print_json(summary)
        return
    click.echo("\n".join(lines(summary)))


def _show_progress(progress: Progress) -> None:
    if not sys.stderr.isatty():
        return
    elapsed = f"{progress.elapsed_s:.0f} of {progress.total_s:.0f} s" if progress.total_s else ""
    ready = f"{progress.ready_nodes} of {progress.nodes} nodes ready" if progress.nodes else ""
    print(f"\r\033[K{progress.phase} {elapsed}{ready}", end="", file=sys.stderr, flush=True)
    if progress.phase == "ending":
        print(file=sys.stderr)


def _read_commit(root: Path) -> str:
    """Return the checkout's abbreviated commit, read from .git, or "" if it can't be read."""
    try:
        head = (root / ".git" / "HEAD").read_text().strip()
        if head.startswith("ref: "):
            head = (root / ".git" / head[5:]).read_text().strip()
        return head[:12]
    except OSError:
        return ""
