"""The formats of the files that a run of the lab writes, compared with fixtures.

Parquet files and histograms are compared by content, as their bytes depend on the library that
writes them.
"""

import json
from pathlib import Path

import pytest
from hdrh.histogram import HdrHistogram

from oakbridge.lab import compare_report, report, table
from oakbridge.lab.checks.check import Check
from oakbridge.lab.compare import Compared
from oakbridge.lab.fleet import build_fleet
from oakbridge.lab.history import History, MemberChange, PerformedStep, SiteChange, read_changes
from oakbridge.lab.links import Rule
from oakbridge.lab.plan import load_plan
from oakbridge.lab.process import HelperRole
from oakbridge.lab.schedule import Schedule, Span, StepKind

S = 1_000_000
FIXTURES = Path(__file__).parent / "fixtures" / "lab"
TABLES = {
    "views.parquet": [
        {"at": 5 * S, "who": "n000", "about": "n001", "before": "alive", "after": "suspect"},
        {"at": 8 * S, "who": "n000", "about": "n001", "before": "suspect", "after": "failed"},
    ],
    "steps.parquet": [
        {"at": 0, "do": "begin", "names": []},
        {"at": 4 * S, "do": "kill", "names": ["n001"]},
    ],
}
COMPARED = [
    Compared("served", "before", 0.975),
    Compared("served", "after", 0.98, 0.005, 0.001, 0.009, "higher"),
]
RULE = Rule(3, frozenset({"n001", "n000"}), frozenset({"s000"}), False, True, 0.5, 0.25, 1000, 200)


def make_history():
    plan = load_plan(FIXTURES / "plan.toml")
    fleet = build_fleet(plan)
    history = History(plan, fleet, Schedule((), {}, (Span(4 * S, 9 * S),)), 1000 * S, 10 * S)
    history.member_changes = [MemberChange(*row.values()) for row in TABLES["views.parquet"]]
    history.performed_steps = [
        PerformedStep(0, StepKind.BEGIN, ()),
        PerformedStep(4 * S, StepKind.KILL, ("n001",)),
    ]
    for number, status in enumerate((200, 200, 503, 200, 429)):
        due = 1000 * S + number * S
        history.requests.append(
            {
                "due": due,
                "class": number % 2,
                "site": 0,
                "node": 0,
                "status": status,
                "took": 20_000 * (number + 1),
                "tries": 1,
                "request": f"r{number}",
                "aim": S,
            }
        )
        history.executions.append(
            {"server": 0, "request": f"r{number}", "came": due, "ended": due + 15_000, "status": status, "begun": True}
        )  # fmt: skip
    return history


def write_results(out):
    checks = [
        Check("one answer", 0, "0", True),
        Check("served", 0.6, "at least 0.99", False, "one node was dead"),
        Check("idle", None, "", True),
    ]
    results = {
        HelperRole.SWITCH: [{"datagrams": 5, "lost": 1}, {"datagrams": 7}],
        HelperRole.LOAD: [{"sent late": 2}, {"sent late": 1}],
        HelperRole.PROCESS_MANAGER: [{"costs": {"n000": [0.5, 21.0], "n001": [0.25, 22.5]}}],
    }
    return report.write(out, make_history(), checks, results, 7, "fd72d9b")


def test_results_of_a_run_match_the_fixtures(tmp_path, monkeypatch):
    monkeypatch.setattr(report, "__version__", "0.3.0")
    summary = write_results(tmp_path)
    assert (tmp_path / "summary.json").read_bytes() == (FIXTURES / "summary.json").read_bytes()
    assert json.loads((FIXTURES / "summary.json").read_bytes()) == summary
    for name, rows in TABLES.items():
        assert table.read([tmp_path / name]) == rows
    written = json.loads((tmp_path / "latencies.hdr.json").read_bytes())
    expected = json.loads((FIXTURES / "latencies.hdr.json").read_bytes())
    assert list(written) == list(expected) == ["read", "write"]
    for name, served in (("read", 1), ("write", 2)):
        assert HdrHistogram.decode(expected[name]).get_total_count() == served
        assert HdrHistogram.decode(written[name]).equals(HdrHistogram.decode(expected[name]))


@pytest.mark.parametrize("name", TABLES)
def test_tables_of_a_run_are_read(name):
    assert table.read([FIXTURES / name]) == TABLES[name]


def test_summary_is_read():
    summary = json.loads((FIXTURES / "summary.json").read_bytes())
    assert report.lines(summary) == (FIXTURES / "summary.txt").read_text().splitlines()


def test_tables_of_a_comparison_match_the_fixtures(tmp_path):
    compare_report.write(
        tmp_path, COMPARED, {"before": {1: {"served": 0.975}}, "after": {1: {"served": 0.98}}}
    )
    expected = json.loads((FIXTURES / "compared.json").read_text())
    for name in ("compared.parquet", "runs.parquet"):
        rows = table.read([tmp_path / name])
        assert rows == table.read([FIXTURES / name]) == expected[name]
        assert [list(row) for row in rows] == [list(row) for row in expected[name]]


def test_rule_of_a_switch_is_read_and_written():
    expected = (FIXTURES / "rule.json").read_text()
    assert json.dumps(RULE.as_json()) + "\n" == expected
    assert Rule.from_json(json.loads(expected)) == RULE


def test_log_of_a_node_is_read():
    log = (FIXTURES / "node.log").read_text().splitlines()
    members, sites = read_changes(log, "n000", 1000 * S)
    assert members == [MemberChange(5 * S, "n000", "n001", "alive", "suspect")]
    assert sites == [SiteChange(6 * S, "n000", "b", "well", "doubted")]
