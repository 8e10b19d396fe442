"""Formats of divided servers: operators' JSON and texts, and reported rates, of 0.3.0.

The fixtures were written before the code's names were changed, and never change.
"""

import io
import json
from pathlib import Path

import pytest
from click.testing import CliRunner
from rich.console import Console

from oakbridge.cli.main import cli
from oakbridge.cli.spread import render_spread
from oakbridge.peers.view_state import ClusterView, ViewState
from oakbridge.spread import operator_view
from oakbridge.spread.request_rate import ReportedRate
from oakbridge.spread.subset_assigner import Replica, SubsetAssigner

FIXTURES = Path(__file__).parent / "fixtures" / "spread"
SECOND_US = 1_000_000
COMPLETE_VIEW = ClusterView(ViewState.COMPLETE, known=5, unreachable=0)
SIZE = ("--nodes", "30", "--servers", "30", "--to-nodes", "33", "--uneven", "0.5", "--seed", "3")


def operator_snapshots():
    """Return what operators see before members are known, with five replicas, and without one."""
    assigner = SubsetAssigner("n1", "a", 3)
    servers = {f"s{index:02}": ("a" if index % 2 else "b", 1.0 + index % 3) for index in range(12)}
    replicas = {
        f"n{index}": Replica("a" if index % 2 else "b", (0, 10, 10, 60)[index % 4])
        for index in range(5)
    }
    snapshots = [{"spread": operator_view.describe(assigner)}]
    for now_s, reachable in (
        (1, replicas),
        (9, {name: replica for name, replica in replicas.items() if name != "n3"}),
    ):
        weights = assigner.update(now_s * SECOND_US, COMPLETE_VIEW, reachable, servers)
        snapshots.append(
            {"used": dict(sorted(weights.items())), "spread": operator_view.describe(assigner)}
        )
    return snapshots


def rounded(value):
    """Round all numbers; their last digits depend on the platform's arithmetic."""
    if isinstance(value, float):
        return round(value, 9)
    if isinstance(value, dict):
        return {name: rounded(item) for name, item in value.items()}
    return [rounded(item) for item in value] if isinstance(value, list) else value


def operators_json():
    return json.dumps(rounded(operator_snapshots()), indent=1) + "\n"


def operators_text():
    console = Console(file=io.StringIO(), width=140, color_system=None)
    for snapshot in operator_snapshots():
        console.print(render_spread(snapshot["spread"]))
    return console.file.getvalue()


def plan_output(*options):
    result = CliRunner().invoke(cli, ["spread", "plan", *options])
    assert result.exit_code == 0, result.output
    return result.output


def plan_json():
    return json.dumps(rounded(json.loads(plan_output(*SIZE, "--json"))), indent=1) + "\n"


def reported_rates():
    """Return the reports for a rate that is 0, then steady, then eight times as high."""
    rate = ReportedRate()
    counts = (0, 0, 50, 100, 150, 550, 950, 1350)
    reports = [rate.update(10 * index * SECOND_US, count) for index, count in enumerate(counts)]
    return json.dumps(reports) + "\n"


OUTPUTS = [
    ("operators.json", operators_json),
    ("operators.txt", operators_text),
    ("plan.json", plan_json),
    ("plan.txt", lambda: plan_output(*SIZE)),
    ("rates.json", reported_rates),
]


@pytest.mark.parametrize(("name", "output"), OUTPUTS, ids=[name for name, _ in OUTPUTS])
def test_outputs_are_those_of_0_3_0(name, output):
    assert output() == (FIXTURES / name).read_text()
