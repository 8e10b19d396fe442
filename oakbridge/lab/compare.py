"""Compares runs: builds the cases, pairs figures by seed, and judges the differences.  No I/O."""

from __future__ import annotations

import itertools
import random
import statistics
import tomllib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

RESAMPLES = 4000
MIN_PAIRS = 5  # an interval of fewer pairs is meaningless
CONFIDENCE = 0.95


class InvalidVariationError(ValueError):
    """A variation cannot be applied; the text says what was expected."""


@dataclass(frozen=True, slots=True)
class Case:
    """A plan file with changed values, run with each seed and the code of a checkout."""

    name: str
    file: Path
    changes: tuple[tuple[str, Any], ...]
    root: Path | None = None


def parse_variation(text: str) -> tuple[str, list[Any]]:
    """Parse ``key=a,b,c`` into a dotted path in the plan file and TOML values.

    Raises InvalidVariationError for any other text.
    """
    key, separator, values = text.partition("=")
    if not key or not separator:
        raise InvalidVariationError(f"vary: expected KEY=VALUE,VALUE..., got {text!r:.80}")
    try:
        parsed = tomllib.loads(f"v = [{values}]")["v"]
    except tomllib.TOMLDecodeError as error:
        raise InvalidVariationError(
            f"vary {key}: expected values as TOML has them, texts in quotes ({error})"
        ) from None
    if not parsed:
        raise InvalidVariationError(f"vary {key}: expected a value at least")
    return key, parsed


def apply_change(raw: dict[str, Any], key: str, value: Any) -> None:
    """Set the value at a dotted path, in which a number is the index of a list item.

    Raises InvalidVariationError if the path does not fit the file.
    """
    *path, last = key.split(".")
    container: Any = raw
    for depth, part in enumerate(path):
        if isinstance(container, list) and part.isdigit() and int(part) < len(container):
            container = container[int(part)]
        elif isinstance(container, dict) and isinstance(
            container.setdefault(part, {}), dict | list
        ):
            container = container[part]
        else:
            raise InvalidVariationError(
                f"vary {key}: expected a table or a list's number at {'.'.join(path[: depth + 1])!r}"
            )
    if isinstance(container, list) and last.isdigit() and int(last) < len(container):
        container[int(last)] = value
    elif isinstance(container, dict):
        container[last] = value
    else:
        raise InvalidVariationError(f"vary {key}: expected a field or a list's number at its end")


def build_cases(
    files: Sequence[Path], vary: Sequence[tuple[str, list[Any]]], roots: Sequence[Path]
) -> list[Case]:
    """Return a case for each file, combination of values and checkout.

    Raises InvalidVariationError if two cases have the same name.
    """
    cases = []
    for file, root in itertools.product(files, roots or (None,)):
        for values in itertools.product(*(values for _, values in vary)):
            changes = tuple((key, value) for (key, _), value in zip(vary, values, strict=True))
            name_parts = [file.stem] if len(files) > 1 or not (changes or root) else []
            name_parts += [
                f"{key.split('.')[-1]}={str(value) or 'nothing'}" for key, value in changes
            ]
            name_parts += [root.name] if root is not None else []
            cases.append(Case(" ".join(name_parts), file, changes, root))
    if len({case.name for case in cases}) < len(cases):
        raise InvalidVariationError("expected files, values and checkouts by names that differ")
    return cases


@dataclass(frozen=True, slots=True)
class Compared:
    """One figure of one case, compared with that of the first case."""

    figure: str
    case: str
    median: float
    difference: float | None = None  # median of the differences of pairs with the same seed
    low: float | None = None
    high: float | None = None
    verdict: str = ""  # higher, lower, no difference shown, or too few pairs


COMPARED_COLUMNS = ("figure", "case", "median", "difference", "low", "high", "verdict")


def encode_compared(row: Compared) -> tuple[str | float | None, ...]:
    """Return a row of ``compared.parquet``, in the order of :data:`COMPARED_COLUMNS`."""
    return (
        row.figure,
        row.case,
        row.median,
        row.difference,
        row.low,
        row.high,
        row.verdict,
    )


def bootstrap_interval(differences: Sequence[float], seed: int = 1) -> tuple[float, float]:
    """Return the bootstrap interval of the median of paired differences.

    It is computed by Efron's percentile method, at a confidence of 95%.
    """
    rng = random.Random(seed)
    medians = sorted(
        statistics.median(rng.choices(differences, k=len(differences))) for _ in range(RESAMPLES)
    )
    tail = (1 - CONFIDENCE) / 2
    return medians[int(tail * RESAMPLES)], medians[int((1 - tail) * RESAMPLES) - 1]


def compare(figures: Mapping[str, Mapping[int, Mapping[str, float | None]]]) -> list[Compared]:
    """Compare all cases with the first one, by figure.

    ``figures``: by case, in order, by seed and by name.  A difference is claimed only if its
    interval excludes 0.
    """
    (first_case, first_seeds), *others = figures.items()
    rows = []
    for figure in sorted(
        {name for seeds in figures.values() for run in seeds.values() for name in run}
    ):
        first_values = {
            seed: value
            for seed, run in first_seeds.items()
            if (value := run.get(figure)) is not None
        }
        if first_values:
            rows.append(Compared(figure, first_case, statistics.median(first_values.values())))
        for case, seeds in others:
            values = {
                seed: value for seed, run in seeds.items() if (value := run.get(figure)) is not None
            }
            if not values:
                continue
            differences = [
                values[seed] - first_values[seed]
                for seed in sorted(values.keys() & first_values.keys())
            ]
            median = statistics.median(values.values())
            if len(differences) < MIN_PAIRS:
                difference = statistics.median(differences) if differences else None
                rows.append(
                    Compared(
                        figure,
                        case,
                        median,
                        difference,
                        verdict=f"{len(differences)} pairs: too few",
                    )
                )
                continue
            low, high = bootstrap_interval(differences)
            verdict = "higher" if low > 0 else "lower" if high < 0 else "no difference shown"
            rows.append(
                Compared(figure, case, median, statistics.median(differences), low, high, verdict)
            )
    return rows
