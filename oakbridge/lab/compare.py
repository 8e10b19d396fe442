"""Comparisons of runs: the cases, pairs by seed, and the verdict on the differences.  Pure."""

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
MIN_PAIRS = 5  # with fewer the interval says nothing
CONFIDENCE = 0.95


class InvalidVariationError(ValueError):
    """A variation cannot be applied; the text says what was expected."""


@dataclass(frozen=True, slots=True)
class Case:
    """A plan, with changed values and from a checkout, that is played with each seed."""

    name: str
    file: Path
    changes: tuple[tuple[str, Any], ...]
    root: Path | None = None


def parse_variation(text: str) -> tuple[str, list[Any]]:
    """Parse ``key=a,b,c``: a dotted path in the file, and its values in TOML.

    Raise InvalidVariationError for anything else.
    """
    key, sign, values = text.partition("=")
    if not key or not sign:
        raise InvalidVariationError(f"vary: expected KEY=VALUE,VALUE..., got {text!r:.80}")
    try:
        found = tomllib.loads(f"v = [{values}]")["v"]
    except tomllib.TOMLDecodeError as e:
        raise InvalidVariationError(
            f"vary {key}: expected values as TOML has them, texts in quotes ({e})"
        ) from None
    if not found:
        raise InvalidVariationError(f"vary {key}: expected a value at least")
    return key, found


def apply_change(raw: dict[str, Any], key: str, value: Any) -> None:
    """Put a value at a dotted path, in which a number is an index of a list.

    Raise InvalidVariationError where the path does not fit the file.
    """
    *path, last = key.split(".")
    at: Any = raw
    for done, word in enumerate(path):
        if isinstance(at, list) and word.isdigit() and int(word) < len(at):
            at = at[int(word)]
        elif isinstance(at, dict) and isinstance(at.setdefault(word, {}), dict | list):
            at = at[word]
        else:
            raise InvalidVariationError(
                f"vary {key}: expected a table or a list's number at {'.'.join(path[: done + 1])!r}"
            )
    if isinstance(at, list) and last.isdigit() and int(last) < len(at):
        at[int(last)] = value
    elif isinstance(at, dict):
        at[last] = value
    else:
        raise InvalidVariationError(f"vary {key}: expected a field or a list's number at its end")


def build_cases(
    files: Sequence[Path], vary: Sequence[tuple[str, list[Any]]], roots: Sequence[Path]
) -> list[Case]:
    """Return each file with each combination of values, from each checkout.

    Raise InvalidVariationError where two cases have the same name.
    """
    found = []
    for file, root in itertools.product(files, roots or (None,)):
        for values in itertools.product(*(values for _, values in vary)):
            changes = tuple((key, value) for (key, _), value in zip(vary, values, strict=True))
            words = [file.stem] if len(files) > 1 or not (changes or root) else []
            words += [f"{key.split('.')[-1]}={str(value) or 'nothing'}" for key, value in changes]
            words += [root.name] if root is not None else []
            found.append(Case(" ".join(words), file, changes, root))
    if len({c.name for c in found}) < len(found):
        raise InvalidVariationError("expected files, values and checkouts by names that differ")
    return found


@dataclass(frozen=True, slots=True)
class Compared:
    """One figure of one case, beside that of the first case."""

    figure: str
    case: str
    median: float
    difference: float | None = None  # the median of the pairs'
    low: float | None = None
    high: float | None = None
    verdict: str = ""  # higher, lower, or that nothing can be said


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

    By Efron's percentile method, at a confidence of 95%.
    """
    rng = random.Random(seed)
    medians = sorted(
        statistics.median(rng.choices(differences, k=len(differences))) for _ in range(RESAMPLES)
    )
    cut = (1 - CONFIDENCE) / 2
    return medians[int(cut * RESAMPLES)], medians[int((1 - cut) * RESAMPLES) - 1]


def compare(found: Mapping[str, Mapping[int, Mapping[str, float | None]]]) -> list[Compared]:
    """Compare all cases with the first one, by figure.

    ``found``: the figures by case, in order, and seed.  A verdict is given only where the interval
    leaves out 0.
    """
    (first, base), *others = found.items()
    rows = []
    for figure in sorted(
        {name for seeds in found.values() for one in seeds.values() for name in one}
    ):
        own = {seed: value for seed, one in base.items() if (value := one.get(figure)) is not None}
        if own:
            rows.append(Compared(figure, first, statistics.median(own.values())))
        for case, seeds in others:
            theirs = {
                seed: value for seed, one in seeds.items() if (value := one.get(figure)) is not None
            }
            if not theirs:
                continue
            pairs = [theirs[seed] - own[seed] for seed in sorted(theirs.keys() & own.keys())]
            middle = statistics.median(theirs.values())
            if len(pairs) < MIN_PAIRS:
                told = statistics.median(pairs) if pairs else None
                rows.append(
                    Compared(figure, case, middle, told, verdict=f"{len(pairs)} pairs: too few")
                )
                continue
            low, high = bootstrap_interval(pairs)
            verdict = "higher" if low > 0 else "lower" if high < 0 else "no difference shown"
            rows.append(
                Compared(figure, case, middle, statistics.median(pairs), low, high, verdict)
            )
    return rows
