"""How complete a view is, and what follows from it; replica indices."""

from pathlib import Path

import pytest

from oakbridge.peers.replica_index import ReplicaIndex, ReplicaIndexTracker, replica_index
from oakbridge.peers.view_state import CLIENT_REQUESTS, VIEW_USES, MemberView, ViewState, assess

S = 1_000_000


def views(there: str, lost: str = "", since: int = 0) -> list[MemberView]:
    """Members by site: ``aabb`` are two of site a and two of b."""
    return [
        MemberView(f"{n:02d}{site}", up, since, site, "x")
        for n, (site, up) in enumerate([*((s, True) for s in there), *((s, False) for s in lost)])
    ]


@pytest.mark.parametrize(
    ("members", "now", "kind", "sites", "larger"),
    [
        (views("aabb"), 0, "whole", (), True),
        (views("aaabbbccc", "c"), 0, "whole", (), True),
        (views("aabb", "cc"), 0, "parted", ("c",), True),
        (views("cc", "aabb"), 0, "parted", ("a", "b"), False),
        (views("aaaab", "bb"), 0, "parted", (), True),
        (views("aaaabbb", "c"), 0, "whole", (), True),  # one alone is no part
        (views("aabb", "cc"), 3_700 * S, "whole", (), True),  # gone for more than an hour
        (views("a", "b"), 0, "alone", (), True),
        (views("ab", "cd"), 0, "parted", (), True),  # halves: the one with the first name
        (views("a"), 0, "whole", (), True),
    ],
)
def test_state_of_the_view(members, now, kind, sites, larger):
    found = assess(members[0].name, members, now)
    assert (found.state, found.unreachable_sites, found.is_larger_partition) == (
        kind,
        sites,
        larger,
    )
    if kind == "parted":
        assert "out of reach" in str(found)
        assert found.reporters == ("x",)


def test_halves_never_both_take_themselves_for_the_larger():
    for there, lost in (("aab", "bcc"), ("aaa", "bbb")):
        members = views(there, lost)
        other = [
            MemberView(m.name, not m.is_reachable, m.since_us, m.site, m.reported_by)
            for m in members
        ]
        assert (
            assess("", members, 0).is_larger_partition != assess("", other, 0).is_larger_partition
        )


def test_calls_are_served_in_every_state():
    assert VIEW_USES[0] is CLIENT_REQUESTS
    assert {CLIENT_REQUESTS.reaction(state) for state in ViewState} == {"serve"}
    assert assess("a", views("a"), 0, is_starting=True).state == "starting"
    assert assess("a", views("aa"), 0, is_replaced=True).state == "alone"


def test_the_operators_page_tells_the_same_table():
    page = (Path(__file__).parents[2] / "docs" / "peers.md").read_text()
    for row in VIEW_USES:
        cells = " | ".join((row.name, row.starting, row.complete, row.partitioned, row.isolated))
        assert f"| {cells} |" in page


def test_replica_indices_agree_and_change_only_while_all_are_there():
    names = [f"n{i}" for i in range(7)]
    assert sorted(replica_index(n, names).index for n in names) == list(range(7))
    whole, parted = assess("n1", views("aaa"), 0), assess("n1", views("aa", "bb"), 0)
    places = ReplicaIndexTracker("n1", settle_us=3 * S)
    assert places.update(0, whole, names) is None
    assert places.update(4 * S, whole, names) == replica_index("n1", names)
    assert places.update(8 * S, parted, names[:3]) is None
    assert places.update(60 * S, parted, names[:3]) is None
    assert places.current == replica_index("n1", names)
    places.update(61 * S, whole, names[:3])
    assert places.update(65 * S, whole, names[:3]) == ReplicaIndex(
        replica_index("n1", names[:3]).index, 3
    )
