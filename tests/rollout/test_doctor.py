"""The doctor reports differences between the inventory and the members."""

import pytest

from oakbridge.agent.config import read_agent_config
from oakbridge.agent.errors import AgentConfigError
from oakbridge.rollout.doctor import Severity, diagnose

HEALTHY_REPORT = {
    "process": "running",
    "crash_loop": False,
    "change": "settled",
    "drained": False,
    "answers": True,
    "node": {"ready": True, "servers": 1},
    "generation": 1,
    "crashes": 0,
    "last_exit": "",
    "heard_s_ago": 0.1,
    "outcomes": [],
    "digest": "d",
    "runs": 1,
}


def membership_findings(instance, members, agents=None):
    """Return the findings that are not there without ``members``."""
    report = HEALTHY_REPORT | {"name": "n", "member": "10.0.0.1:1"} | instance
    responses = {
        "h": {
            "time": 0.0,
            "instances": [report],
            "version": "1",
            "lease": {"alive": False, "token": 0, "holder": ""},
        }
    } | (agents or {})
    other_findings = diagnose(responses, [], 0.0)
    return [
        finding
        for finding in diagnose(responses, [], 0.0, None, members)
        if finding not in other_findings
    ]


def member(name, state="alive", address="10.0.0.1:1", by=""):
    return {"name": name, "state": state, "address": address, "by": by}


@pytest.mark.parametrize(
    ("instance", "members", "agents", "severity", "problem"),
    [
        ({}, [], None, Severity.BAD, "do not know it"),
        (
            {},
            [member("h/n", "failed", by="x")],
            None,
            Severity.BAD,
            "call it failed by the word of x",
        ),
        (
            {},
            [member("h/n", address="10.0.0.2:1")],
            None,
            Severity.NOTE,
            "members know it at 10.0.0.2:1",
        ),
        ({}, [member("h/n"), member("stray")], None, Severity.NOTE, "no agent of the inventory"),
        (
            {},
            [member("h/n"), member("g/n")],
            {"g": "no route"},
            Severity.NOTE,
            "its agent does not answer",
        ),
        ({}, [member("h/n")], None, "", ""),
        ({}, [member("h/n"), member("old", "left")], None, "", ""),
        ({"member": ""}, [member("h/n", "failed")], None, "", ""),
        (
            {"answers": False, "process": "down", "node": {}},
            [],
            None,
            "",
            "",
        ),  # agent and members agree that the node does not run
    ],
)
def test_differences_between_inventory_and_members(instance, members, agents, severity, problem):
    findings = membership_findings(instance, members, agents)
    assert [finding.severity for finding in findings] == ([severity] if severity else [])
    assert all(problem in finding.problem and finding.remedy for finding in findings)


def test_the_agent_configuration_has_the_member_address_of_an_instance(tmp_path):
    lines = 'name="h"\nfleet="f"\nlisten="127.0.0.1:1"\nstate="s"\nauthority="a"\ncertificate="c"\n'
    path = tmp_path / "agent.toml"
    path.write_text(
        lines + '[[instance]]\nname="n"\nlisten=["127.0.0.1:2"]\nmember="127.0.0.1:3"\n'
    )
    assert [(i.name, i.member) for i in read_agent_config(path).instances] == [("n", "127.0.0.1:3")]
    path.write_text(lines + '[[instance]]\nname="n"\nlisten=["127.0.0.1:2"]\nmember="here"\n')
    with pytest.raises(AgentConfigError, match=r"instance\[0\].member: expected"):
        read_agent_config(path)
