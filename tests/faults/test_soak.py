"""The fault soak, short: a few seeds; the long run is by hand (see ``soak.py``)."""

import pytest
from soak import run_soak

SECONDS = 14.0  # a drain has to outlast the time at which it counts as told


@pytest.mark.parametrize("seed", [1, 3, 7, 8])
def test_all_rules_hold_under_overlapping_faults(tmp_path, seed):
    result = run_soak(seed, SECONDS, tmp_path)
    assert not result.findings.by_rule, str(result)
    assert result.outcomes["answered"] > 200, str(result)
    assert len(result.injected) > 4, str(result)
