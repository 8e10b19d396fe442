"""Reads and writes the Parquet tables of a run."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

import pyarrow as pa
import pyarrow.parquet as pq


def write(path: Path, columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Write rows atomically: write a temporary file, then rename it."""
    by_column = list(zip(*rows, strict=True)) if rows else [()] * len(columns)
    arrow = pa.table({name: list(values) for name, values in zip(columns, by_column, strict=True)})
    temporary = path.with_suffix(".new")
    pq.write_table(arrow, temporary, compression="zstd")
    temporary.replace(path)


def read(paths: Iterable[Path]) -> list[dict[str, Any]]:
    """Return all rows of several tables with the same columns."""
    rows: list[dict[str, Any]] = []
    for path in sorted(paths):
        rows += pq.read_table(path).to_pylist()
    return rows
