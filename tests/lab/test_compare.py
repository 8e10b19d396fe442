"""Runs set beside each other: cases, paired intervals, and a verdict only where there is one."""

import random
from pathlib import Path

import pytest
from click.testing import CliRunner

from oakbridge.cli.main import cli
from oakbridge.lab import compare
from oakbridge.lab.plan import load_plan

LAB = Path(__file__).parents[2] / "benchmarks" / "lab"


def test_cases_are_all_combinations_and_change_the_plan():
    vary = [
        compare.parse_variation('settings="","[spread]"'),
        compare.parse_variation("class.0.rate=1.5,2.5,9.0"),
    ]
    found = compare.build_cases([LAB / "even.toml"], vary, [])
    assert len(found) == 6
    assert found[0].name == "settings=nothing rate=1.5"
    plan = load_plan(found[-1].file, found[-1].changes)
    assert plan.settings == "[spread]"
    assert plan.classes[0].rate == 9.0
    assert load_plan(LAB / "even.toml").classes[0].rate == 450.0


@pytest.mark.parametrize(
    ("vary", "says"),
    [
        ("settings", "KEY=VALUE"),
        ("settings=[spread]", "texts in quotes"),
        ("class.9.rate=1.0", "list's number"),
        ("class.0.rate='fast'", "class.0.rate"),
        ("lab.none=1", "lab.none"),
        ("settings=", "a value at least"),
    ],
)
def test_a_vary_that_makes_no_sense_is_told_in_a_line(tmp_path, vary, says):
    words = ["lab", "compare", str(LAB / "even.toml"), "--vary", vary, "--out", str(tmp_path)]
    result = CliRunner().invoke(cli, words)
    assert result.exit_code == 2
    assert says in result.output
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
def test_a_verdict_only_where_the_interval_says_so(shift, pairs, verdict):
    """Seeds differ far more than cases: pairs see what two samples would not."""
    rng = random.Random(7)
    days = {seed: rng.gauss(10, 5) for seed in range(pairs)}
    found = {
        "before": {seed: {"figure": day} for seed, day in days.items()},
        "after": {seed: {"figure": day + shift + rng.gauss(0, 0.2)} for seed, day in days.items()},
    }
    before, after = compare.compare(found)
    assert before.case == "before"
    assert not before.verdict
    assert after.verdict == verdict
    if pairs == 20:
        assert after.low <= after.difference <= after.high
