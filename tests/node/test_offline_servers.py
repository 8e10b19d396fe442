"""Servers that operators took offline stay offline until operators bring them online."""

from hypothesis import given
from hypothesis import strategies as st

from oakbridge.node.endpoint_list import EndpointList, ListedEndpoint
from oakbridge.node.offline_servers import OfflineServers
from oakbridge.policy.events import Endpoint, EndpointState


def entry(
    name: str, state: str = EndpointState.UP, started: int = 0, address=("127.0.0.1", 1)
) -> ListedEndpoint:
    return ListedEndpoint(Endpoint(name, state, started_at=started), address)


def test_offline_server_counts_as_draining_whatever_the_list_says():
    offline_servers = OfflineServers()
    assert offline_servers.take_offline("a", 100)
    assert not offline_servers.take_offline("a", 200)
    for listed in (
        entry("a"),
        entry("a", EndpointState.DRAINING),
        entry("a", started=150),
        entry("a", address=("127.0.0.1", 9)),
    ):
        assert offline_servers.apply(listed).server.state == EndpointState.DRAINING
    assert (
        offline_servers.apply(entry("a", EndpointState.REMOVED)).server.state
        == EndpointState.REMOVED
    )
    assert offline_servers.apply(entry("b")).server.state == EndpointState.UP
    assert offline_servers.bring_online("a", 300)
    assert not offline_servers.bring_online("a", 310)
    assert offline_servers.apply(entry("a")).server.state == EndpointState.UP


def test_server_brought_online_counts_as_started_then_until_a_list_has_its_start():
    """Guards slow start: the list may not have the restart of a server that was offline yet."""
    offline_servers = OfflineServers()
    offline_servers.take_offline("a", 100)
    offline_servers.bring_online("a", 300)
    assert [offline_servers.apply(entry("a", started=50)).server.started_at for _ in range(3)] == [
        300
    ] * 3
    assert offline_servers.apply(entry("a", started=290)).server.started_at == 290
    assert offline_servers.apply(entry("a", started=290)).server.started_at == 290
    offline_servers.take_offline("a", 400)
    offline_servers.bring_online("a", 500)
    offline_servers.forget_before(501)
    assert offline_servers.apply(entry("a", started=290)).server.started_at == 290


@given(
    st.lists(
        st.tuples(
            st.sampled_from("ab"),
            st.sampled_from(["take offline", "bring online", "list", "hot restart"]),
        ),
        max_size=30,
    )
)
def test_the_last_operators_command_holds_over_lists_and_hot_restarts(steps):
    offline_servers, offline, online_since = OfflineServers(), set(), {}
    for now, (name, step) in enumerate(steps, 1):
        if step == "take offline":
            assert offline_servers.take_offline(name, now) == (name not in offline)
            offline.add(name)
        elif step == "bring online":
            assert offline_servers.bring_online(name, now) == (name in offline)
            if name in offline:
                online_since[name] = now
            offline.discard(name)
        elif step == "hot restart":
            saved, offline_servers = offline_servers.saved(), OfflineServers()
            offline_servers.restore(saved)
        for listed in offline_servers.apply_all([entry("a"), entry("b")]):
            name = listed.server.id
            assert (listed.server.state == EndpointState.DRAINING) == (name in offline)
            assert name in offline or listed.server.started_at == online_since.get(name, 0)
    assert set(offline_servers.names()) == offline


def test_list_in_which_all_servers_are_offline_keeps_its_servers():
    offline_servers = OfflineServers()
    offline_servers.take_offline("a", 1)
    listing = EndpointList(3, True, [entry("a")])
    applied = offline_servers.apply_all(listing.endpoints)
    assert [endpoint.server.state for endpoint in applied] == [EndpointState.DRAINING]
