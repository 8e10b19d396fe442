"""sites.toml, plans computed from it, and plan files."""

import random
from dataclasses import replace

import msgspec
import pytest
from example_sites import SITES_TOML, topology_from

from oakbridge.config.errors import ConfigFileError
from oakbridge.config.sites import load_plan
from oakbridge.config.sites_file import SitesFile, topology_of
from oakbridge.sites.plan_file import check_plan, planned_losses, save_plan
from oakbridge.sites.planning import TopologyArrays, compute_plan, compute_scenario
from oakbridge.sites.proportional_routing import proportional_served_weight


def test_a_plan_rejects_the_least_weight_is_valid_and_saved(tmp_path):
    topology = topology_from(tmp_path)
    plan = compute_plan(topology)
    assert check_plan(plan, topology) == []
    assert len(plan.scenarios) == 1 + 3 + 3
    nothing_lost, lost_a = plan.scenario(()), plan.scenario(["a"])
    assert nothing_lost.served_weight == pytest.approx(nothing_lost.offered_weight)
    assert nothing_lost.routing["a"] == {"a": pytest.approx(1.0)}
    # Sites b and c can serve 90 + 40 of the 110 + 30 units of work.  The plan rejects requests of
    # the class with less priority weight for its work.
    assert lost_a.rejected_fractions["book"] == pytest.approx(0, abs=1e-6)
    assert lost_a.rejected_fractions["look"] == pytest.approx(10 / 110)
    save_plan(tmp_path / "plan.json", plan)
    assert load_plan(tmp_path / "plan.json") == plan
    assert plan.scenario(["a", "unknown to the plan"]) == lost_a


def test_all_mistakes_of_a_sites_file_are_reported_at_once_with_their_lines(tmp_path):
    text = SITES_TOML.replace('site = "c"\nclass = "book"', 'site = "d"\nclass = "cook"')
    text = text.replace('b = "c"', 'b = "a"') + '[[site]]\nname = "a"\ncapacity = 1.0\n'
    with pytest.raises(ConfigFileError) as caught:
        topology_from(tmp_path, text)
    problems = caught.value.problems
    fields = [problem.field_name() for problem in problems]
    assert fields == ["load[2].site", "load[2].class", "distance[0]", "site[3]"]
    assert all(problem.line for problem in problems)


def test_an_invalid_plan_is_rejected_with_all_its_mistakes(tmp_path):
    topology = topology_from(tmp_path)
    plan = compute_plan(topology)
    broken = msgspec.structs.replace(
        plan.scenarios[1], routing={"b": {"a": 0.7}}, rejected_fractions={"x": 1.2}
    )
    plan = msgspec.structs.replace(plan, scenarios=(broken, *plan.scenarios[2:]))
    save_plan(tmp_path / "plan.json", plan)
    with pytest.raises(ConfigFileError) as caught:
        load_plan(tmp_path / "plan.json")
    assert len(caught.value.problems) == 5
    other_topology = replace(topology, digest="another")
    assert check_plan(compute_plan(topology), other_topology)[0].startswith("version")


@pytest.mark.parametrize("seed", range(5))
def test_a_plan_never_serves_less_weight_than_proportional_routing(seed):
    arrays = TopologyArrays(random_topology(random.Random(seed), 5))
    for lost in planned_losses(arrays.sites):
        assert (
            compute_scenario(arrays, lost).served_weight
            >= proportional_served_weight(arrays, lost) - 1e-6
        )


def random_topology(rng, site_count):
    names, classes = [f"s{index}" for index in range(site_count)], ["look", "status", "book"]
    file = SitesFile.model_validate({
        "version": 1,
        "site": [
            {"name": name, "capacity": rng.uniform(50, 500), "keep_free": rng.uniform(0, 0.2)}
            for name in names
        ],
        "class": [
            {"name": each, "worth": rng.uniform(0.5, 10), "work": rng.uniform(0.5, 2)}
            for each in classes
        ],
        "load": [
            {"site": name, "class": each, "rate": rng.uniform(0, 100)}
            for name in names for each in classes
        ],
        "distance": [{"a": names[0], "b": name, "cost": rng.uniform(0, 5)} for name in names[1:]],
    })  # fmt: skip
    return topology_of(file, "")
