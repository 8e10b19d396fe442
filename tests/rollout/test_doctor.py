"""What the doctor finds where the inventory and the members differ."""

import pytest

from oakbridge.agent.config import read_agent_config
from oakbridge.agent.errors import AgentConfigError
from oakbridge.rollout.doctor import Severity, diagnose

WELL = {
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


def drift(instance, members, agents=None):
    """Return the findings that members bring about."""
    row = WELL | {"name": "n", "member": "10.0.0.1:1"} | instance
    told = {
        "h": {
            "time": 0.0,
            "instances": [row],
            "version": "1",
            "lease": {"alive": False, "token": 0, "holder": ""},
        }
    } | (agents or {})
    before = diagnose(told, [], 0.0)
    return [f for f in diagnose(told, [], 0.0, None, members) if f not in before]


def member(name, state="alive", address="10.0.0.1:1", by=""):
    return {"name": name, "state": state, "address": address, "by": by}


@pytest.mark.parametrize(
    ("instance", "members", "agents", "severity", "says"),
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
        ),  # both say that it is not there
    ],
)
def test_where_inventory_and_members_differ(instance, members, agents, severity, says):
    found = drift(instance, members, agents)
    assert [f.severity for f in found] == ([severity] if severity else [])
    assert all(says in f.problem and f.remedy for f in found)


def test_an_instance_has_an_address_among_members(tmp_path):
    lines = 'name="h"\nfleet="f"\nlisten="127.0.0.1:1"\nstate="s"\nauthority="a"\ncertificate="c"\n'
    path = tmp_path / "agent.toml"
    path.write_text(
        lines + '[[instance]]\nname="n"\nlisten=["127.0.0.1:2"]\nmember="127.0.0.1:3"\n'
    )
    assert [(i.name, i.member) for i in read_agent_config(path).instances] == [("n", "127.0.0.1:3")]
    path.write_text(lines + '[[instance]]\nname="n"\nlisten=["127.0.0.1:2"]\nmember="here"\n')
    with pytest.raises(AgentConfigError, match=r"instance\[0\].member: expected"):
        read_agent_config(path)
