"""What copies do together: counted across forty of them that share servers, in simulated time."""

import pytest
from fleet import SECOND, Fleet

SEEDS = (1, 2, 3)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_calm_day_is_served_whole(seed):
    fleet = Fleet(40, 30, seed)
    fleet.load(300, 10)
    fleet.run(14)
    assert fleet.ends["served"] >= 0.999 * fleet.ends["asked"]
    assert not fleet.owners


@pytest.mark.parametrize("seed", SEEDS)
def test_a_tier_that_is_replaced_one_by_one_goes_on_serving(seed):
    """Day churn+huge: shares of cold servers shrank with what they held back, until nothing came through."""
    fleet = Fleet(40, 24, seed)
    fleet.load(140, 30)  # of the 480 a second that all warm servers could do; at the end they can do a third
    fleet.run(3)
    for i in range(48):
        fleet.replace(f"s{i}", f"s{i + 24}")
        fleet.run(0.5)
    fleet.run(10)
    assert fleet.ends["served"] >= 0.9 * fleet.ends["asked"]


@pytest.mark.parametrize("seed", SEEDS)
def test_all_copies_together_do_not_push_a_cold_server_over(seed):
    fleet = Fleet(40, 24, seed)
    fleet.load(250, 20)
    fleet.run(3)
    for i in range(8):
        fleet.replace(f"s{i}", f"new{i}", told_after=0)
    fleet.run(20)
    assert 0 < fleet.most_over_cold() < fleet.settings.fall_multiple
    assert fleet.ends["served"] >= 0.97 * fleet.ends["asked"]


@pytest.mark.parametrize(("copies", "load"), [(40, 250), (7, 250), (40, 350), (7, 350)])
def test_a_tier_that_comes_back_cold_as_a_whole_is_not_pushed_over(copies, load):
    """Its shares must follow from what servers were seen to carry, not from what comes in: that stays the same."""
    fleet = Fleet(copies, 24, seed=5)
    fleet.load(load, 25)
    fleet.run(4)
    for i in range(24):
        fleet.replace(f"s{i}", f"new{i}", told_after=0)
    fleet.run(24)
    assert 0.5 < fleet.most_over_cold() < fleet.settings.fall_multiple
    assert fleet.ends["served"] >= 0.65 * fleet.ends["asked"]


@pytest.mark.parametrize("seed", SEEDS)
def test_a_stuck_server_that_says_full_is_not_asked_time_and_again(seed):
    """It answers at once and has no call out, so it looks idle to every copy."""
    fleet = Fleet(40, 24, seed)
    fleet.servers["s0"].connections = 12
    fleet.load(250, 20)
    fleet.run(3)
    fleet.servers["s0"].hangs = True
    fleet.run(20)
    assert 0 < fleet.results["s0", "FULL"] < 0.04 * fleet.ends["asked"]
    assert fleet.ends["served"] >= 0.95 * fleet.ends["asked"]


@pytest.mark.parametrize("seed", SEEDS)
def test_calls_at_servers_that_hang_come_back_in_time(seed):
    fleet = Fleet(16, 28, seed)
    fleet.load(160, 15)
    fleet.run(5)
    for name in ("s0", "s1", "s2"):
        fleet.servers[name].hangs = True
    fleet.run(16)
    assert fleet.ends["served"] >= 0.985 * fleet.ends["asked"]


@pytest.mark.parametrize("seed", SEEDS)
def test_copies_that_ask_together_do_not_keep_discovery_down(seed):
    """It can take one call of every copy in four seconds; all begin at once."""
    fleet = Fleet(60, 24, seed, must_ask=True)
    fleet.turn = 4 * SECOND // 60
    fleet.load(250, 15)
    fleet.run(20)
    assert all(b.version > 1 for b in fleet.copies)
    assert fleet.lost <= fleet.asked / 2
