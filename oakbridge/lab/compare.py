"""Runs set beside each other: which ones, paired by seed, and what may be said of the difference.  Pure."""

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
LEAST_PAIRS = 5  # with fewer the interval says nothing
INTERVAL = 0.95


class BadVary(ValueError):
    """What is to be varied makes no sense; the text says what was expected."""


@dataclass(frozen=True, slots=True)
class Case:
    """One thing to be run with each seed."""

    name: str
    file: Path
    changes: tuple[tuple[str, Any], ...]
    root: Path | None = None


def varied(text: str) -> tuple[str, list[Any]]:
    """``key=a,b,c``: the key's dotted path in the file, and its values as TOML has them.  Raises BadVary."""
    key, sign, values = text.partition("=")
    if not key or not sign:
        raise BadVary(f"vary: expected KEY=VALUE,VALUE..., got {text!r:.80}")
    try:
        found = tomllib.loads(f"v = [{values}]")["v"]
    except tomllib.TOMLDecodeError as e:
        raise BadVary(f"vary {key}: expected values as TOML has them, texts in quotes ({e})") from None
    if not found:
        raise BadVary(f"vary {key}: expected a value at least")
    return key, found


def changed(raw: dict[str, Any], key: str, value: Any) -> None:
    """Put a value at a dotted path; a number is a place in a list.  Raises BadVary where there is no such place."""
    *path, last = key.split(".")
    at: Any = raw
    for done, word in enumerate(path):
        if isinstance(at, list) and word.isdigit() and int(word) < len(at):
            at = at[int(word)]
        elif isinstance(at, dict) and isinstance(at.setdefault(word, {}), dict | list):
            at = at[word]
        else:
            raise BadVary(
                f"vary {key}: expected a table or a list's number at {'.'.join(path[: done + 1])!r}"
            )
    if isinstance(at, list) and last.isdigit() and int(last) < len(at):
        at[int(last)] = value
    elif isinstance(at, dict):
        at[last] = value
    else:
        raise BadVary(f"vary {key}: expected a field or a list's number at its end")


def cases(files: Sequence[Path], vary: Sequence[tuple[str, list[Any]]], roots: Sequence[Path]) -> list[Case]:
    """All of them: each file with each combination of values, from each checkout."""
    found = []
    for file, root in itertools.product(files, roots or (None,)):
        for values in itertools.product(*(values for _, values in vary)):
            changes = tuple((key, value) for (key, _), value in zip(vary, values, strict=True))
            words = [file.stem] if len(files) > 1 or not (changes or root) else []
            words += [f"{key.split('.')[-1]}={str(value) or 'nothing'}" for key, value in changes]
            words += [root.name] if root is not None else []
            found.append(Case(" ".join(words), file, changes, root))
    if len({c.name for c in found}) < len(found):
        raise BadVary("expected files, values and checkouts by names that differ")
    return found


@dataclass(frozen=True, slots=True)
class Compared:
    """One figure of one case, beside the first case's."""

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


def interval(differences: Sequence[float], seed: int = 1) -> tuple[float, float]:
    """The bootstrap interval of the median of paired differences (Efron's percentile method)."""
    rng = random.Random(seed)
    medians = sorted(
        statistics.median(rng.choices(differences, k=len(differences))) for _ in range(RESAMPLES)
    )
    cut = (1 - INTERVAL) / 2
    return medians[int(cut * RESAMPLES)], medians[int((1 - cut) * RESAMPLES) - 1]


def compare(found: Mapping[str, Mapping[int, Mapping[str, float | None]]]) -> list[Compared]:
    """``found``: by case, in order, and seed: its figures.  A verdict only where the interval leaves out 0."""
    (first, base), *others = found.items()
    rows = []
    for figure in sorted({name for seeds in found.values() for one in seeds.values() for name in one}):
        own = {seed: value for seed, one in base.items() if (value := one.get(figure)) is not None}
        if own:
            rows.append(Compared(figure, first, statistics.median(own.values())))
        for case, seeds in others:
            theirs = {seed: value for seed, one in seeds.items() if (value := one.get(figure)) is not None}
            if not theirs:
                continue
            pairs = [theirs[seed] - own[seed] for seed in sorted(theirs.keys() & own.keys())]
            middle = statistics.median(theirs.values())
            if len(pairs) < LEAST_PAIRS:
                told = statistics.median(pairs) if pairs else None
                rows.append(Compared(figure, case, middle, told, verdict=f"{len(pairs)} pairs: too few"))
                continue
            low, high = interval(pairs)
            verdict = "higher" if low > 0 else "lower" if high < 0 else "no difference shown"
            rows.append(Compared(figure, case, middle, statistics.median(pairs), low, high, verdict))
    return rows
