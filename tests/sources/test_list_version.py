"""The changes of a new list against the version in use."""

from list_versions import change, entry, version

from oakbridge.policy.events import EndpointState
from oakbridge.sources.list_version import ListVersion, compare
from oakbridge.sources.server_row import ParsedServers


def test_draining_and_moved_servers_count_as_lost():
    base = version(1, "x", entry("a", 1), entry("b", 2), entry("c", 3), entry("d", 4))
    new = change(
        base,
        "y",
        entry("a", 1),
        entry("b", 9),
        entry("c", 3, EndpointState.DRAINING),
        entry("e", 5),
    )
    assert (new.added, new.updated, new.moved, new.removed) == (("e",), ("c",), ("b",), ("d",))
    assert (new.lost_ready, new.base_ready, new.lost_fraction) == (3, 4, 0.75)


def test_unchanged_entry_is_the_same_object_and_not_in_the_delta():
    base = version(1, "x", entry("a", 1), entry("b", 2))
    new = change(base, "y", entry("a", 1), entry("b", 2), entry("c", 3))
    assert new.servers["a"] is base.servers["a"]
    assert [listed.server.id for listed in new.delta_entries()] == ["c"]


def test_new_server_without_start_time_counts_as_started_now_except_in_the_first_list():
    """Guards against overload of a cold server that a file adds: its slow start begins now."""
    first = change(None, "x", entry("a"), now=7)
    assert first.servers["a"].server.started_at == 0
    base = ListVersion(1, "x", first.servers)
    second = change(base, "y", entry("a"), entry("b", 2), now=9)
    assert (second.servers["a"].server.started_at, second.servers["b"].server.started_at) == (0, 9)
    third = change(ListVersion(2, "y", second.servers), "z", entry("a"), entry("b", 2), now=11)
    assert third.servers["b"] is second.servers["b"]  # its start time is kept
    with_time = ParsedServers({"c": entry("c", 3, started=4)}, with_start_time={"c"})
    assert compare(base, "q", with_time, 13).servers["c"].server.started_at == 4
    moved = change(base, "r", entry("a", 8), now=15)
    assert moved.servers["a"].server.started_at == 15
