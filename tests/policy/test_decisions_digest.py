"""Tests that all decisions in simulated scenarios stay the same, to the action and microsecond.

A different digest means that a decision, a random draw or the order of actions has changed.
Digests are replaced only in a change that is meant to change decisions.
"""

import os
import subprocess
import sys
from pathlib import Path

import decision_digest
import pytest

ROOT = Path(__file__).parents[2]
DIGESTS = {
    "zones with a price to cross": "0baa9fd0b58bff15ed63",
    "zones without a price": "8b1dd2778dcf45d98f20",
    "requests pinned to one list": "0e9aa59247aff5bef551",
    "an inner tier of many replicas": "f6491cafec4c1298def2",
    "nothing may be retried": "84ff41fcc5d22cb8750b",
    "overload of few servers": "6aed7a950c252448c3b2",
    "a hundred servers, assigned": "fc0d76c7da8783674bd8",
    "sites fail": "ed43f3576b9e4bc48320",
    "servers are assigned": "93eb68cb56f9326b0e50",
}


@pytest.mark.parametrize("name", DIGESTS)
def test_decisions_are_the_same(name):
    """Use a process with a fixed hash seed, as zones change in the order of a set of names."""
    process = subprocess.run(
        [sys.executable, decision_digest.__file__, name],
        env=os.environ | {"PYTHONPATH": str(ROOT), "PYTHONHASHSEED": "0"},
        capture_output=True,
        text=True,
        check=True,
    )
    assert process.stdout.strip() == DIGESTS[name]


def test_every_scenario_has_a_digest():
    assert set(DIGESTS) == {*decision_digest.DRIVER_SCENARIOS, *decision_digest.FLEET_SCENARIOS}
