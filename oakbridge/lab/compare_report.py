"""Writes the results of a comparison: tables, a chart of each figure by case, and lines of text."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path

import matplotlib

from oakbridge.lab import table
from oakbridge.lab.compare import COMPARED_COLUMNS, Compared, encode_compared

matplotlib.use("Agg")
from matplotlib import pyplot as plt

Figures = Mapping[str, Mapping[int, Mapping[str, float | None]]]
NEVER_S = 1e8  # times from this on stand for an event that never happened


def write(out: Path, rows: Sequence[Compared], figures: Figures) -> None:
    """Write ``compared.parquet``, ``runs.parquet`` and ``compared.png``."""
    table.write(out / "compared.parquet", COMPARED_COLUMNS, [encode_compared(row) for row in rows])
    runs = [
        (case, seed, name, value)
        for case, seeds in figures.items()
        for seed, run in seeds.items()
        for name, value in run.items()
    ]
    table.write(out / "runs.parquet", ("case", "seed", "figure", "value"), runs)
    names = sorted({row.figure for row in rows})
    cases = list(figures)
    chart_columns = 3
    chart_rows = -(-len(names) // chart_columns)
    figure, axes = plt.subplots(
        chart_rows,
        chart_columns,
        figsize=(5 * chart_columns, 2.6 * chart_rows),
        constrained_layout=True,
        squeeze=False,
    )
    for axis in axes.flat[len(names) :]:
        axis.set_axis_off()
    for axis, name in zip(axes.flat, names, strict=False):
        for position, case in enumerate(cases):
            values = [
                charted
                for run_figures in figures[case].values()
                if (charted := run_figures.get(name)) is not None and charted < NEVER_S
            ]
            axis.plot([position] * len(values), values, "o", alpha=0.5)
        axis.set(title=name, xticks=range(len(cases)), ylim=(0, None))
        axis.set_xticklabels(cases, fontsize=6)
    figure.savefig(out / "compared.png", dpi=100)
    plt.close(figure)


def lines(rows: Sequence[Compared]) -> list[str]:
    """Return one line for each figure and case."""
    found = []
    for row in rows:
        text = f"{row.figure:<24}{row.case:<36}{row.median:>10.4g}"
        if row.difference is not None:
            interval = f" ({row.low:.4g} to {row.high:.4g})" if row.low is not None else ""
            text += f"  {row.difference:+.4g}{interval}: {row.verdict}"
        found.append(text)
    return found
