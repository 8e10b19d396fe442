"""A short fault soak with a few seeds; the long soak is run manually (see ``soak.py``)."""

import pytest
from soak import run_soak

DURATION_S = 14.0  # a drain must last longer than nodes may take to learn of it


@pytest.mark.parametrize("seed", [1, 3, 7, 8])
def test_all_rules_hold_under_overlapping_faults(tmp_path, seed):
    result = run_soak(seed, DURATION_S, tmp_path)
    assert not result.findings.by_rule, str(result)
    assert result.outcomes["answered"] > 200, str(result)
    assert len(result.injected) > 4, str(result)
