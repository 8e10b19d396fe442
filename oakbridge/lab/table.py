"""Tables of a run, as Parquet."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

import pyarrow as pa
import pyarrow.parquet as pq


def write(path: Path, columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Write rows whole: a temporary file, then a rename."""
    turned = list(zip(*rows, strict=True)) if rows else [()] * len(columns)
    made = pa.table({name: list(column) for name, column in zip(columns, turned, strict=True)})
    temporary = path.with_suffix(".new")
    pq.write_table(made, temporary, compression="zstd")
    temporary.replace(path)


def read(paths: Iterable[Path]) -> list[dict[str, Any]]:
    """All rows of several tables of one kind."""
    rows: list[dict[str, Any]] = []
    for path in sorted(paths):
        rows += pq.read_table(path).to_pylist()
    return rows
