"""What a comparison leaves: a table, a chart of each figure by case, and lines to read."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path

import matplotlib

from oakbridge.lab import table
from oakbridge.lab.compare import COMPARED_COLUMNS, Compared, encode_compared

matplotlib.use("Agg")
from matplotlib import pyplot as plt

Figures = Mapping[str, Mapping[int, Mapping[str, float | None]]]
NEVER = 1e8  # stands for what never came


def write(out: Path, rows: Sequence[Compared], figures: Figures) -> None:
    """``compared.parquet``, ``runs.parquet`` and ``compared.png``."""
    table.write(out / "compared.parquet", COMPARED_COLUMNS, [encode_compared(row) for row in rows])
    runs = [
        (case, seed, name, value)
        for case, seeds in figures.items()
        for seed, found in seeds.items()
        for name, value in found.items()
    ]
    table.write(out / "runs.parquet", ("case", "seed", "figure", "value"), runs)
    names = sorted({row.figure for row in rows})
    cases = list(figures)
    across = 3
    down = -(-len(names) // across)
    figure, axes = plt.subplots(
        down, across, figsize=(5 * across, 2.6 * down), constrained_layout=True, squeeze=False
    )
    for axis in axes.flat[len(names) :]:
        axis.set_axis_off()
    for axis, name in zip(axes.flat, names, strict=False):
        for place, case in enumerate(cases):
            values = [
                v
                for one in figures[case].values()
                if (v := one.get(name)) is not None and v < NEVER
            ]
            axis.plot([place] * len(values), values, "o", alpha=0.5)
        axis.set(title=name, xticks=range(len(cases)), ylim=(0, None))
        axis.set_xticklabels(cases, fontsize=6)
    figure.savefig(out / "compared.png", dpi=100)
    plt.close(figure)


def lines(rows: Sequence[Compared]) -> list[str]:
    """One line a figure and case."""
    found = []
    for row in rows:
        text = f"{row.figure:<24}{row.case:<36}{row.median:>10.4g}"
        if row.difference is not None:
            between = f" ({row.low:.4g} to {row.high:.4g})" if row.low is not None else ""
            text += f"  {row.difference:+.4g}{between}: {row.verdict}"
        found.append(text)
    return found
