"""Runs the README's example, and checks the list and size of the policy's modules."""

import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_example_runs(capsys):
    [code] = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.DOTALL)
    exec(compile(code, "README.md", "exec"), {})
    assert capsys.readouterr().out.startswith("served by ")


def test_policy_modules_are_listed_and_within_their_size():
    policy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    assert policy == [
        "oakbridge/policy/balancer.py",
        "oakbridge/policy/admission.py",
        "oakbridge/policy/endpoint_reconciler.py",
        "oakbridge/policy/load_shedding.py",
        "oakbridge/policy/membership.py",
        "oakbridge/policy/outlier_detection.py",
        "oakbridge/policy/poll_backoff.py",
        "oakbridge/policy/request_times.py",
        "oakbridge/policy/retry_budget.py",
        "oakbridge/policy/retry_safety.py",
        "oakbridge/policy/server_selection.py",
        "oakbridge/policy/slow_start.py",
        "oakbridge/policy/subset.py",
    ]
    modules = [(ROOT / path).read_text().splitlines() for path in policy]
    for lines in modules:
        assert sum(1 for line in lines if line.strip()) <= 360
        assert max(map(len, lines)) <= 110
    assert any("events.py" in line for line in modules[0][:5])
