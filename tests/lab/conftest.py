"""A small plan, shared by the tests of the lab."""

import pytest

from oakbridge.lab.plan import load_plan

PLAN = """
[lab]
lasts = "60s"
quick = 0.5
[[site]]
name = "a"
nodes = 4
servers = 4
[[site]]
name = "b"
nodes = 4
servers = 2
[[class]]
name = "read"
aim = "1s"
deadline = "2s"
rate = 10.0
[[class]]
name = "write"
aim = "1s"
deadline = "2s"
worth = 3.0
repeat = "unsafe"
rate = 10.0
[[fault]]
at = "5s"
kind = "kill"
share = 0.25
[[fault]]
at = "10s"
kind = "cut"
site = "a"
lasts = "20s"
"""


@pytest.fixture
def plan_text():
    """Return the plan as TOML; tests append tables to it."""
    return PLAN


@pytest.fixture
def plan(tmp_path):
    """Return a plan with two sites and two classes; a kill at 5 s, and a cut from 10 to 30 s."""
    path = tmp_path / "plan.toml"
    path.write_text(PLAN)
    return load_plan(path)
