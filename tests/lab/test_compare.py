"""Comparisons of runs: cases, paired intervals and verdicts."""

import random
from pathlib import Path

import pytest
from click.testing import CliRunner

from oakbridge.cli.main import cli
from oakbridge.lab import compare
from oakbridge.lab.plan import load_plan

PLANS = Path(__file__).parents[2] / "benchmarks" / "lab"


def test_cases_are_all_combinations_of_values():
    variations = [
        compare.parse_variation('settings="","[spread]"'),
        compare.parse_variation("class.0.rate=1.5,2.5,9.0"),
    ]
    cases = compare.build_cases([PLANS / "even.toml"], variations, [])
    assert len(cases) == 6
    assert cases[0].name == "settings=nothing rate=1.5"
    plan = load_plan(cases[-1].file, cases[-1].changes)
    assert plan.settings == "[spread]"
    assert plan.classes[0].rate == 9.0
    assert load_plan(PLANS / "even.toml").classes[0].rate == 450.0


@pytest.mark.parametrize(
    ("vary", "message"),
    [
        ("settings", "KEY=VALUE"),
        ("settings=[spread]", "texts in quotes"),
        ("class.9.rate=1.0", "list's number"),
        ("class.0.rate='fast'", "class.0.rate"),
        ("lab.none=1", "lab.none"),
        ("settings=", "a value at least"),
    ],
)
def test_invalid_variation_is_reported_without_a_traceback(tmp_path, vary, message):
    arguments = ["lab", "compare", str(PLANS / "even.toml"), "--vary", vary, "--out", str(tmp_path)]
    result = CliRunner().invoke(cli, arguments)
    assert result.exit_code == 2
    assert message in result.output
    assert "Traceback" not in result.output


@pytest.mark.parametrize(
    ("shift", "pairs", "verdict"),
    [
        (0.5, 20, "higher"),
        (-0.5, 20, "lower"),
        (0.0, 20, "no difference shown"),
        (0.5, 4, "4 pairs: too few"),
    ],
)
def test_difference_is_claimed_only_if_its_interval_excludes_zero(shift, pairs, verdict):
    """Seeds differ far more than cases, so that only pairs of the same seed show the difference."""
    rng = random.Random(7)
    values = {seed: rng.gauss(10, 5) for seed in range(pairs)}
    figures = {
        "before": {seed: {"figure": value} for seed, value in values.items()},
        "after": {
            seed: {"figure": value + shift + rng.gauss(0, 0.2)} for seed, value in values.items()
        },
    }
    before, after = compare.compare(figures)
    assert before.case == "before"
    assert not before.verdict
    assert after.verdict == verdict
    if pairs == 20:
        assert after.low <= after.difference <= after.high
