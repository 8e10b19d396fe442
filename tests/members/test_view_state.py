"""Assessment of views, reactions to their states, and replica indices."""

from pathlib import Path

import pytest

from oakbridge.peers.replica_index import ReplicaIndex, ReplicaIndexTracker, replica_index
from oakbridge.peers.view_state import CLIENT_REQUESTS, VIEW_USES, MemberView, ViewState, assess

SECOND_US = 1_000_000


def views(reachable: str, unreachable: str = "", since_us: int = 0) -> list[MemberView]:
    """Return member views; each letter is the site of one: ``aabb`` is two of a and two of b."""
    return [
        MemberView(f"{i:02d}{site}", is_reachable, since_us, site, "x")
        for i, (site, is_reachable) in enumerate(
            [
                *((letter, True) for letter in reachable),
                *((letter, False) for letter in unreachable),
            ]
        )
    ]


@pytest.mark.parametrize(
    ("members", "now_us", "state", "sites", "is_larger"),
    [
        (views("aabb"), 0, "whole", (), True),
        (views("aaabbbccc", "c"), 0, "whole", (), True),
        (views("aabb", "cc"), 0, "parted", ("c",), True),
        (views("cc", "aabb"), 0, "parted", ("a", "b"), False),
        (views("aaaab", "bb"), 0, "parted", (), True),
        (views("aaaabbb", "c"), 0, "whole", (), True),  # a single failed member is no partition
        (views("aabb", "cc"), 3_700 * SECOND_US, "whole", (), True),  # failed more than an hour ago
        (views("a", "b"), 0, "alone", (), True),
        (views("ab", "cd"), 0, "parted", (), True),  # halves: the one with the first name is larger
        (views("a"), 0, "whole", (), True),
    ],
)
def test_state_of_the_view(members, now_us, state, sites, is_larger):
    found = assess(members[0].name, members, now_us)
    assert (found.state, found.unreachable_sites, found.is_larger_partition) == (
        state,
        sites,
        is_larger,
    )
    if state == "parted":
        assert "out of reach" in str(found)
        assert found.reporters == ("x",)


def test_only_one_of_two_partitions_is_the_larger_one():
    for reachable, unreachable in (("aab", "bcc"), ("aaa", "bbb")):
        members = views(reachable, unreachable)
        opposite_view = [
            MemberView(
                member.name,
                not member.is_reachable,
                member.since_us,
                member.site,
                member.reported_by,
            )
            for member in members
        ]
        assert (
            assess("", members, 0).is_larger_partition
            != assess("", opposite_view, 0).is_larger_partition
        )


def test_client_requests_are_served_in_every_state():
    assert VIEW_USES[0] is CLIENT_REQUESTS
    assert {CLIENT_REQUESTS.reaction(state) for state in ViewState} == {"serve"}
    assert assess("a", views("a"), 0, is_starting=True).state == "starting"
    assert assess("a", views("aa"), 0, is_replaced=True).state == "alone"


def test_the_operators_page_has_the_same_table():
    page = (Path(__file__).parents[2] / "docs" / "peers.md").read_text()
    for row in VIEW_USES:
        cells = " | ".join((row.name, row.starting, row.complete, row.partitioned, row.isolated))
        assert f"| {cells} |" in page


def test_replica_indices_are_consistent_and_change_only_in_complete_views():
    names = [f"n{i}" for i in range(7)]
    assert sorted(replica_index(name, names).index for name in names) == list(range(7))
    complete, partitioned = assess("n1", views("aaa"), 0), assess("n1", views("aa", "bb"), 0)
    tracker = ReplicaIndexTracker("n1", settle_us=3 * SECOND_US)
    assert tracker.update(0, complete, names) is None
    assert tracker.update(4 * SECOND_US, complete, names) == replica_index("n1", names)
    assert tracker.update(8 * SECOND_US, partitioned, names[:3]) is None
    assert tracker.update(60 * SECOND_US, partitioned, names[:3]) is None
    assert tracker.current == replica_index("n1", names)
    tracker.update(61 * SECOND_US, complete, names[:3])
    assert tracker.update(65 * SECOND_US, complete, names[:3]) == ReplicaIndex(
        replica_index("n1", names[:3]).index, 3
    )
