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


def test_a_plan_keeps_most_weight_is_checked_and_written_whole(tmp_path):
    topology = topology_from(tmp_path)
    plan = compute_plan(topology)
    assert check_plan(plan, topology) == []
    assert len(plan.scenarios) == 1 + 3 + 3
    nothing_lost, lost_a = plan.scenario(()), plan.scenario(["a"])
    assert nothing_lost.served_weight == pytest.approx(nothing_lost.offered_weight)
    assert nothing_lost.routing["a"] == {"a": pytest.approx(1.0)}
    # 90 + 40 is left for 110 + 30 of work: what gives way is the class worth less for its work.
    assert lost_a.rejected_fractions["book"] == pytest.approx(0, abs=1e-6)
    assert lost_a.rejected_fractions["look"] == pytest.approx(10 / 110)
    save_plan(tmp_path / "plan.json", plan)
    assert load_plan(tmp_path / "plan.json") == plan
    assert plan.scenario(["a", "gone since"]) == lost_a


def test_all_mistakes_of_a_sites_file_are_told_at_once_with_their_lines(tmp_path):
    text = SITES_TOML.replace('site = "c"\nclass = "book"', 'site = "d"\nclass = "cook"')
    text = text.replace('b = "c"', 'b = "a"') + '[[site]]\nname = "a"\ncapacity = 1.0\n'
    with pytest.raises(ConfigFileError) as caught:
        topology_from(tmp_path, text)
    problems = caught.value.problems
    fields = [problem.field_name() for problem in problems]
    assert fields == ["load[2].site", "load[2].class", "distance[0]", "site[3]"]
    assert all(problem.line for problem in problems)


def test_a_plan_that_is_wrong_in_itself_is_not_used(tmp_path):
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
    other_file = replace(topology, digest="another")
    assert check_plan(compute_plan(topology), other_file)[0].startswith("version")


@pytest.mark.parametrize("seed", range(5))
def test_a_plan_never_keeps_less_than_passing_on_by_free_capacity(seed):
    figures = TopologyArrays(random_topology(random.Random(seed), 5))
    for lost in planned_losses(figures.sites):
        assert (
            compute_scenario(figures, lost).served_weight
            >= proportional_served_weight(figures, lost) - 1e-6
        )


def random_topology(rng, count):
    names, classes = [f"s{n}" for n in range(count)], ["look", "status", "book"]
    file = SitesFile.model_validate({
        "version": 1,
        "site": [
            {"name": n, "capacity": rng.uniform(50, 500), "keep_free": rng.uniform(0, 0.2)} for n in names
        ],
        "class": [{"name": c, "worth": rng.uniform(0.5, 10), "work": rng.uniform(0.5, 2)} for c in classes],
        "load": [{"site": n, "class": c, "rate": rng.uniform(0, 100)} for n in names for c in classes],
        "distance": [{"a": names[0], "b": n, "cost": rng.uniform(0, 5)} for n in names[1:]],
    })  # fmt: skip
    return topology_of(file, "")
