"""What operators are told of divided servers: JSON and texts of 0.3.0.

The fixtures were written by the program before its names were changed.  They never change.
"""

import io
import json
from pathlib import Path

import pytest
from click.testing import CliRunner
from rich.console import Console

from oakbridge.cli.main import cli
from oakbridge.cli.spread import picture
from oakbridge.peers.view_state import ClusterView, ViewState
from oakbridge.spread import operator_view
from oakbridge.spread.request_rate import ReportedRate
from oakbridge.spread.subset_assigner import Replica, SubsetAssigner

FIXTURES = Path(__file__).parent / "fixtures" / "spread"
SECOND_US = 1_000_000
WHOLE = ClusterView(ViewState.COMPLETE, known=5, unreachable=0)
SIZE = ("--nodes", "30", "--servers", "30", "--to-nodes", "33", "--uneven", "0.5", "--seed", "3")


def course():
    """What is told and used before members are known, divided in two zones, and without one."""
    assigner = SubsetAssigner("n1", "a", 3)
    servers = {f"s{n:02}": ("a" if n % 2 else "b", 1.0 + n % 3) for n in range(12)}
    copies = {f"n{n}": Replica("a" if n % 2 else "b", (0, 10, 10, 60)[n % 4]) for n in range(5)}
    told = [{"spread": operator_view.describe(assigner)}]
    for now_s, there in ((1, copies), (9, {n: c for n, c in copies.items() if n != "n3"})):
        used = assigner.update(now_s * SECOND_US, WHOLE, there, servers)
        told.append(
            {"used": dict(sorted(used.items())), "spread": operator_view.describe(assigner)}
        )
    return told


def rounded(value):
    """The last digits are those of a platform's arithmetic."""
    if isinstance(value, float):
        return round(value, 9)
    if isinstance(value, dict):
        return {name: rounded(part) for name, part in value.items()}
    return [rounded(part) for part in value] if isinstance(value, list) else value


def operators_json():
    return json.dumps(rounded(course()), indent=1) + "\n"


def operators_text():
    console = Console(file=io.StringIO(), width=140, color_system=None)
    for moment in course():
        console.print(picture(moment["spread"]))
    return console.file.getvalue()


def typed(*words):
    result = CliRunner().invoke(cli, ["spread", "plan", *words])
    assert result.exit_code == 0, result.output
    return result.output


def plan_json():
    return json.dumps(rounded(json.loads(typed(*SIZE, "--json"))), indent=1) + "\n"


def rates_told():
    """What is told of a rate that is 0, then steady, then eight times as much."""
    rate = ReportedRate()
    counts = (0, 0, 50, 100, 150, 550, 950, 1350)
    told = [rate.update(10 * n * SECOND_US, count) for n, count in enumerate(counts)]
    return json.dumps(told) + "\n"


TOLD = [
    ("operators.json", operators_json),
    ("operators.txt", operators_text),
    ("plan.json", plan_json),
    ("plan.txt", lambda: typed(*SIZE)),
    ("rates.json", rates_told),
]


@pytest.mark.parametrize(("name", "tell"), TOLD, ids=[name for name, _ in TOLD])
def test_what_is_told_is_the_same(name, tell):
    assert tell() == (FIXTURES / name).read_text()
