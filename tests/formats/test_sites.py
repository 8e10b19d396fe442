"""What sites keep, send and tell operators: files, texts and bytes of 0.3.0, read and written.

The fixtures were written by the program before its names were changed.  They never change.
"""

import io
import json
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner
from rich.console import Console

from oakbridge.cli.main import cli
from oakbridge.cli.sites import picture
from oakbridge.config.errors import ConfigFileError
from oakbridge.config.sites import load_plan
from oakbridge.config.sites_file import load_topology
from oakbridge.peers.messages import SiteObservation, SiteReport
from oakbridge.peers.view_state import ClusterView, ViewState
from oakbridge.policy.view import ZoneView
from oakbridge.sites import operator_view
from oakbridge.sites.errors import SiteOverrideError
from oakbridge.sites.node_sites import NodeSites, ReceivedReport
from oakbridge.sites.plan_file import save_plan
from oakbridge.sites.request_rates import LocalObservations

FIXTURES = Path(__file__).parent / "fixtures" / "sites"
SECOND_US = 1_000_000
WHOLE = ClusterView(ViewState.COMPLETE, known=5, unreachable=0)
ALL_ANSWER = {"a": (3, 0, 0), "b": (3, 0, 0), "c": (3, 0, 0)}


def reported(**observed):
    """What four other members report, half a second old."""
    observations = tuple(SiteObservation(site, *counts) for site, counts in observed.items())
    age_us = SECOND_US // 2
    reports = {
        name: SiteReport(observations, 50, 120, 1400, name, plan_version=6)
        for name in ("n2", "n3", "n4", "n5")
    }
    return [ReceivedReport(name, "a", age_us, report) for name, report in reports.items()]


def play(sites, since_s, until_s, observed, overload=0.0):
    """Update twice a second."""
    for half in range(2 * since_s, 2 * until_s):
        zones = [ZoneView(zone, 3, *counts) for zone, counts in observed.items()]
        local = LocalObservations(zones, 50.0, overload, {"look": 0.7, "book": 0.3})
        now_us = half * SECOND_US // 2
        sites.update(now_us, 10_000 + now_us // 1000, WHOLE, reported(**observed), local)


def refusals(sites):
    """What operators are told that ask for what can't be."""
    texts = []
    for site, drained in (("nowhere", True), ("b", False), ("x" * 80, True)):
        with pytest.raises(SiteOverrideError) as caught:
            sites.override(12_000, site, "kim", drained=drained)
        texts.append(str(caught.value))
    return texts


def course():
    """A site is lost, another one drained, and the lost one returns; what is told at each point."""
    plan = load_plan(FIXTURES / "plan.json")
    sites = NodeSites("n1", "a", {"look": 1.0, "book": 5.0}, 7, has_quotas=True, plan=plan)
    told = []

    def tell(now_s):
        now_us = now_s * SECOND_US
        described = operator_view.describe(sites, now_us, reported(**ALL_ANSWER))
        told.append({
            "at_s": now_s,
            "sites": {"name": "n1", **described},
            "sites.why c": operator_view.state_history(sites.sites["c"], now_us),
            "report": msgspec.msgpack.encode(sites.report()).hex(),
        })  # fmt: skip

    play(sites, 0, 2, ALL_ANSWER)
    told.append({"refused": refusals(sites)})
    tell(2)
    play(sites, 2, 6, {**ALL_ANSWER, "c": (0, 1, 2)}, overload=0.2)
    tell(6)
    sites.override(16_000, "b", "kim", drained=True)
    play(sites, 6, 10, {**ALL_ANSWER, "c": (0, 3, 0)})
    tell(10)
    sites.override(20_000, "b", "ola", drained=False)
    play(sites, 10, 60, ALL_ANSWER)
    tell(60)
    return told


def as_text(told):
    """A table as an operator sees it."""
    console = Console(file=io.StringIO(), width=140, color_system=None)
    console.print(picture(told))
    return console.file.getvalue()


def mistakes():
    """The messages of a sites.toml and of plans with mistakes."""
    texts = []
    for read, name in (
        (load_topology, "mistakes.toml"),
        (load_topology, "missing.toml"),
        (load_plan, "plan_mistakes.json"),
        (load_plan, "sites.toml"),
    ):
        with pytest.raises(ConfigFileError) as caught:
            read(FIXTURES / name)
        texts.append(str(caught.value).replace(f"{FIXTURES}/", ""))
    return "\n".join(texts) + "\n"


def typed(*words):
    result = CliRunner().invoke(cli, ["sites", *map(str, words)])
    assert result.exit_code == 0, result.output
    return result.output.replace(f"{FIXTURES}/", "")


def test_a_plan_is_read_and_written_the_same(tmp_path):
    save_plan(tmp_path / "plan.json", load_plan(FIXTURES / "plan.json"))
    assert (tmp_path / "plan.json").read_bytes() == (FIXTURES / "plan.json").read_bytes()


def operators_json():
    return json.dumps(course(), indent=1) + "\n"


def operators_text():
    return "".join(as_text(moment["sites"]) for moment in course() if "sites" in moment)


def plan_text():
    checked = typed("check", FIXTURES / "sites.toml", FIXTURES / "plan.json")
    return typed("plan", FIXTURES / "sites.toml") + checked


TOLD = [
    ("operators.json", operators_json),
    ("operators.txt", operators_text),
    ("plan.txt", plan_text),
    ("mistakes.txt", mistakes),
]


@pytest.mark.parametrize(("name", "tell"), TOLD, ids=[name for name, _ in TOLD])
def test_what_is_told_and_sent_is_the_same(name, tell):
    assert tell() == (FIXTURES / name).read_text()


def test_the_json_of_a_computed_plan_has_the_names_of_the_file():
    """Figures are the solver's; names are ours."""
    computed = json.loads(typed("plan", FIXTURES / "sites.toml", "--json"))
    stored = json.loads((FIXTURES / "plan.json").read_text())
    assert set(computed) == set(stored)
    assert [set(s) for s in computed["scenarios"]] == [set(s) for s in stored["scenarios"]]
    assert [s["lost"] for s in computed["scenarios"]] == [s["lost"] for s in stored["scenarios"]]
