"""Formats of sites: files, messages between members, and operators' JSON and texts of 0.3.0.

The fixtures were written before the code's names were changed, and never change.
"""

import io
import json
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner
from rich.console import Console

from oakbridge.cli.main import cli
from oakbridge.cli.sites import render_sites
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
COMPLETE_VIEW = ClusterView(ViewState.COMPLETE, known=5, unreachable=0)
ALL_RESPOND = {"a": (3, 0, 0), "b": (3, 0, 0), "c": (3, 0, 0)}


def received_reports(**observed):
    """Return the reports of four other members, half a second old."""
    observations = tuple(SiteObservation(site, *counts) for site, counts in observed.items())
    age_us = SECOND_US // 2
    reports = {
        name: SiteReport(observations, 50, 120, 1400, name, plan_version=6)
        for name in ("n2", "n3", "n4", "n5")
    }
    return [ReceivedReport(name, "a", age_us, report) for name, report in reports.items()]


def update(sites, since_s, until_s, observed, overload=0.0):
    """Update twice a second."""
    for half_second in range(2 * since_s, 2 * until_s):
        zones = [ZoneView(zone, 3, *counts) for zone, counts in observed.items()]
        local = LocalObservations(zones, 50.0, overload, {"look": 0.7, "book": 0.3})
        now_us = half_second * SECOND_US // 2
        sites.update(
            now_us,
            10_000 + now_us // 1000,
            COMPLETE_VIEW,
            received_reports(**observed),
            local,
        )


def override_errors(sites):
    """Return the errors of overrides that are rejected."""
    texts = []
    for site, drained in (("nowhere", True), ("b", False), ("x" * 80, True)):
        with pytest.raises(SiteOverrideError) as caught:
            sites.override(12_000, site, "kim", drained=drained)
        texts.append(str(caught.value))
    return texts


def operator_snapshots():
    """Return what operators see as a site is lost, another one drained, and both return."""
    plan = load_plan(FIXTURES / "plan.json")
    sites = NodeSites("n1", "a", {"look": 1.0, "book": 5.0}, 7, has_quotas=True, plan=plan)
    snapshots = []

    def add_snapshot(now_s):
        now_us = now_s * SECOND_US
        described = operator_view.describe(sites, now_us, received_reports(**ALL_RESPOND))
        snapshots.append({
            "at_s": now_s,
            "sites": {"name": "n1", **described},
            "sites.why c": operator_view.state_history(sites.sites["c"], now_us),
            "report": msgspec.msgpack.encode(sites.report()).hex(),
        })  # fmt: skip

    update(sites, 0, 2, ALL_RESPOND)
    snapshots.append({"refused": override_errors(sites)})
    add_snapshot(2)
    update(sites, 2, 6, {**ALL_RESPOND, "c": (0, 1, 2)}, overload=0.2)
    add_snapshot(6)
    sites.override(16_000, "b", "kim", drained=True)
    update(sites, 6, 10, {**ALL_RESPOND, "c": (0, 3, 0)})
    add_snapshot(10)
    sites.override(20_000, "b", "ola", drained=False)
    update(sites, 10, 60, ALL_RESPOND)
    add_snapshot(60)
    return snapshots


def as_text(described):
    """Return the table that an operator sees."""
    console = Console(file=io.StringIO(), width=140, color_system=None)
    console.print(render_sites(described))
    return console.file.getvalue()


def file_mistakes():
    """Return the messages for a sites.toml and plans with mistakes, and for a missing file."""
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


def command_output(*words):
    result = CliRunner().invoke(cli, ["sites", *map(str, words)])
    assert result.exit_code == 0, result.output
    return result.output.replace(f"{FIXTURES}/", "")


def test_a_plan_of_0_3_0_is_written_with_the_same_bytes(tmp_path):
    save_plan(tmp_path / "plan.json", load_plan(FIXTURES / "plan.json"))
    assert (tmp_path / "plan.json").read_bytes() == (FIXTURES / "plan.json").read_bytes()


def operators_json():
    return json.dumps(operator_snapshots(), indent=1) + "\n"


def operators_text():
    return "".join(
        as_text(snapshot["sites"]) for snapshot in operator_snapshots() if "sites" in snapshot
    )


def plan_text():
    checked = command_output("check", FIXTURES / "sites.toml", FIXTURES / "plan.json")
    return command_output("plan", FIXTURES / "sites.toml") + checked


OUTPUTS = [
    ("operators.json", operators_json),
    ("operators.txt", operators_text),
    ("plan.txt", plan_text),
    ("mistakes.txt", file_mistakes),
]


@pytest.mark.parametrize(("name", "output"), OUTPUTS, ids=[name for name, _ in OUTPUTS])
def test_outputs_are_those_of_0_3_0(name, output):
    assert output() == (FIXTURES / name).read_text()


def test_the_json_of_a_computed_plan_has_the_keys_of_a_plan_file():
    """Only keys and losses are compared; other values depend on the solver."""
    computed = json.loads(command_output("plan", FIXTURES / "sites.toml", "--json"))
    stored = json.loads((FIXTURES / "plan.json").read_text())
    assert set(computed) == set(stored)
    assert [set(each) for each in computed["scenarios"]] == [
        set(each) for each in stored["scenarios"]
    ]
    assert [each["lost"] for each in computed["scenarios"]] == [
        each["lost"] for each in stored["scenarios"]
    ]
