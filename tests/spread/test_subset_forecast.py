"""Forecasts of subsets for given numbers of replicas and servers."""

import pytest
from click.testing import CliRunner

from oakbridge.cli.main import cli
from oakbridge.spread.subset_forecast import TierSize, forecast


@pytest.mark.parametrize(
    ("replicas", "servers"), [(300, 300), (200, 10), (10, 1000), (1, 5), (2, 2)]
)
def test_assigned_subsets_are_even_at_any_size(replicas, servers):
    before, after = TierSize(replicas, servers), TierSize(replicas + 1, servers)
    by_members, by_chance = forecast(before, after, rings=4, sigma=0.5, seed=1)
    assert by_members.max_load == pytest.approx(1)
    assert by_members.min_load == pytest.approx(1)
    assert by_members.max_replicas_per_server <= max(replicas, 1)
    assert by_chance.max_load >= by_members.max_load - 1e-9
    if replicas == 300:
        assert by_chance.p99_load > 1.8
        assert by_members.moved_fraction < 0.75


def run_plan(*options):
    return CliRunner().invoke(cli, ["spread", "plan", *options])


def test_the_plan_command_prints_a_forecast_and_rejects_too_large_sizes():
    result = run_plan("--nodes", "30", "--servers", "30", "--to-nodes", "33")
    assert result.exit_code == 0
    assert "by members" in result.output
    assert "moved by the change" in result.output
    too_large = run_plan("--nodes", "20000", "--servers", "20000")
    assert too_large.exit_code == 2
    assert "pairs" in too_large.output
