"""An operator's word about a server goes before every list, until one call takes it back."""

from hypothesis import given
from hypothesis import strategies as st

from oakbridge.node.endpoint_list import EndpointList, ListedEndpoint
from oakbridge.node.offline_servers import OfflineServers
from oakbridge.policy.events import Endpoint, EndpointState


def entry(
    name: str, state: str = EndpointState.UP, started: int = 0, address=("127.0.0.1", 1)
) -> ListedEndpoint:
    return ListedEndpoint(Endpoint(name, state, started_at=started), address)


def test_held_server_is_listed_as_draining_whatever_the_list_says():
    offline_servers = OfflineServers()
    assert offline_servers.take_offline("a", 100)
    assert not offline_servers.take_offline("a", 200)
    for seen in (
        entry("a"),
        entry("a", EndpointState.DRAINING),
        entry("a", started=150),
        entry("a", address=("127.0.0.1", 9)),
    ):
        assert offline_servers.apply(seen).server.state == EndpointState.DRAINING
    assert (
        offline_servers.apply(entry("a", EndpointState.REMOVED)).server.state
        == EndpointState.REMOVED
    )
    assert offline_servers.apply(entry("b")).server.state == EndpointState.UP
    assert offline_servers.bring_online("a", 300)
    assert not offline_servers.bring_online("a", 310)
    assert offline_servers.apply(entry("a")).server.state == EndpointState.UP


def test_one_put_back_counts_as_started_then_until_a_list_tells_of_its_start():
    """Guards the rule on cold servers: the list may not know yet that it was restarted while it was out."""
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
        st.tuples(st.sampled_from("ab"), st.sampled_from(["out", "back", "list", "upgrade"])),
        max_size=30,
    )
)
def test_every_course_of_calls_lists_and_upgrades_keeps_the_last_word(course):
    offline_servers, out, since = OfflineServers(), set(), {}
    for now, (name, what) in enumerate(course, 1):
        if what == "out":
            assert offline_servers.take_offline(name, now) == (name not in out)
            out.add(name)
        elif what == "back":
            assert offline_servers.bring_online(name, now) == (name in out)
            if name in out:
                since[name] = now
            out.discard(name)
        elif what == "upgrade":
            saved, offline_servers = offline_servers.saved(), OfflineServers()
            offline_servers.restore(saved)
        for seen in offline_servers.apply_all([entry("a"), entry("b")]):
            name = seen.server.id
            assert (seen.server.state == EndpointState.DRAINING) == (name in out)
            assert name in out or seen.server.started_at == since.get(name, 0)
    assert set(offline_servers.names()) == out


def test_list_in_which_all_are_held_out_is_still_a_list():
    offline_servers = OfflineServers()
    offline_servers.take_offline("a", 1)
    listing = EndpointList(3, True, [entry("a")])
    assert [e.server.state for e in offline_servers.apply_all(listing.endpoints)] == [
        EndpointState.DRAINING
    ]
