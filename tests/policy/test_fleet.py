"""What copies do together: counted across forty of them that share servers, in simulated time."""

import pytest

from oakbridge.lab.world import SECOND, Fleet
from oakbridge.policy.events import EndpointListReceived


def replaced_one_by_one(fleet: Fleet) -> None:
    """Day churn+huge: shares of cold servers shrank with what they held back, to nothing."""
    for i in range(48):
        fleet.replace(f"s{i}", f"s{i + 24}")
        fleet.run(0.5)


def replaced_at_once(count: int):
    """A whole tier: shares must follow what servers carried, as what comes in stays the same."""

    def happens(fleet: Fleet) -> None:
        for i in range(count):
            fleet.replace(f"s{i}", f"new{i}", told_after=0)

    return happens


def hang(*names: str, connections: int = 1000):
    """They answer nothing; one without connections says "full" at once, and looks idle to all."""

    def happens(fleet: Fleet) -> None:
        for name in names:
            fleet.servers[name].hangs, fleet.servers[name].connections = True, connections

    return happens


@pytest.mark.parametrize(
    ("copies", "servers", "load", "seconds", "happens", "served", "cold"),
    [
        pytest.param(40, 30, 300, 10, lambda fleet: None, 0.999, 0, id="calm"),
        # 140 of the 480 a second that warm servers can do; in the end they do a third of that
        pytest.param(40, 24, 140, 30, replaced_one_by_one, 0.9, 0.5, id="one by one"),
        pytest.param(40, 24, 250, 20, replaced_at_once(8), 0.97, 0.1, id="eight cold"),
        pytest.param(40, 24, 250, 25, replaced_at_once(24), 0.65, 0.5, id="all cold"),
        pytest.param(7, 24, 250, 25, replaced_at_once(24), 0.65, 0.5, id="all cold, few copies"),
        pytest.param(40, 24, 350, 25, replaced_at_once(24), 0.65, 0.5, id="all cold, busy"),
        pytest.param(7, 24, 350, 25, replaced_at_once(24), 0.65, 0.5, id="all cold, busy, few copies"),
        pytest.param(40, 24, 250, 20, hang("s0", connections=12), 0.95, 0, id="stuck and full"),
        pytest.param(16, 28, 160, 15, hang("s0", "s1", "s2"), 0.985, 0, id="three hang"),
    ],
)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_copies_together(copies, servers, load, seconds, happens, served, cold, seed):
    """``served``: of what is asked, at least.

    ``cold``: the most that a cold server is sent, of what it can do.
    """
    fleet = Fleet(copies, servers, seed)
    fleet.load(load, seconds)
    fleet.run(3)
    happens(fleet)
    fleet.run(seconds + 5)
    assert fleet.ends["served"] >= served * fleet.ends["asked"]
    assert fleet.ends["asked"] == sum(n for how, n in fleet.ends.items() if how != "asked")  # one end each
    assert cold <= fleet.most_over_cold() < fleet.settings.overload_factor
    assert fleet.ejected() < 0.02
    held = fleet.connections()
    assert held[-1] < 4 * sum(held) / len(held)  # subsets that are drawn alone crowd no server
    stuck = [name for name, s in fleet.servers.items() if s.connections < 1000]
    assert all(0 < fleet.results[name, "REJECTED"] < 0.04 * fleet.ends["asked"] for name in stuck)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_copies_that_ask_together_do_not_keep_discovery_down(seed):
    """It can take one call of every copy in four seconds; all begin at once."""
    fleet = Fleet(60, 24, seed, poll_discovery=True)
    fleet.turn = 4 * SECOND // 60
    fleet.load(250, 15)
    fleet.run(20)
    assert all(b.members.version > 1 for b in fleet.copies)
    assert fleet.lost <= fleet.asked / 2


@pytest.mark.parametrize("seed", range(6))
def test_copies_that_lose_discovery_at_once_all_know_the_list_again_before_news_counts_as_told(
    seed,
):
    """It can take a call of every copy in five seconds, and turns away what would wait longer."""
    fleet = Fleet(60, 24, seed, poll_discovery=True)
    fleet.turn = 4 * SECOND // 60
    fleet.load(250, 25)
    fleet.run(15)
    versions = [b.members.version for b in fleet.copies]
    for copy in range(60):
        fleet.feed(copy, EndpointListReceived(failed=True))
    fleet.run(6)
    assert all(b.members.version > before for b, before in zip(fleet.copies, versions, strict=True))
