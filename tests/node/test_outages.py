"""An operator's word about a server goes before every list, until one call takes it back."""

from hypothesis import given
from hypothesis import strategies as st

from oakbridge.node.endpoint_list import EndpointList, ListedEndpoint
from oakbridge.node.outages import Outages
from oakbridge.policy.events import Endpoint, EndpointState


def entry(
    name: str, state: str = EndpointState.UP, started: int = 0, address=("127.0.0.1", 1)
) -> ListedEndpoint:
    return ListedEndpoint(Endpoint(name, state, started_at=started), address)


def test_held_server_is_listed_as_draining_whatever_the_list_says():
    outages = Outages()
    assert outages.take_out("a", 100)
    assert not outages.take_out("a", 200)
    for seen in (
        entry("a"),
        entry("a", EndpointState.DRAINING),
        entry("a", started=150),
        entry("a", address=("127.0.0.1", 9)),
    ):
        assert outages.apply(seen).server.state == EndpointState.DRAINING
    assert outages.apply(entry("a", EndpointState.REMOVED)).server.state == EndpointState.REMOVED
    assert outages.apply(entry("b")).server.state == EndpointState.UP
    assert outages.put_back("a", 300)
    assert not outages.put_back("a", 310)
    assert outages.apply(entry("a")).server.state == EndpointState.UP


def test_one_put_back_counts_as_started_then_until_a_list_tells_of_its_start():
    """Guards the rule on cold servers: the list may not know yet that it was restarted while it was out."""
    outages = Outages()
    outages.take_out("a", 100)
    outages.put_back("a", 300)
    assert [outages.apply(entry("a", started=50)).server.started_at for _ in range(3)] == [300] * 3
    assert outages.apply(entry("a", started=290)).server.started_at == 290
    assert outages.apply(entry("a", started=290)).server.started_at == 290
    outages.take_out("a", 400)
    outages.put_back("a", 500)
    outages.forget_older(501)
    assert outages.apply(entry("a", started=290)).server.started_at == 290


@given(
    st.lists(
        st.tuples(st.sampled_from("ab"), st.sampled_from(["out", "back", "list", "upgrade"])),
        max_size=30,
    )
)
def test_every_course_of_calls_lists_and_upgrades_keeps_the_last_word(course):
    outages, out, since = Outages(), set(), {}
    for now, (name, what) in enumerate(course, 1):
        if what == "out":
            assert outages.take_out(name, now) == (name not in out)
            out.add(name)
        elif what == "back":
            assert outages.put_back(name, now) == (name in out)
            if name in out:
                since[name] = now
            out.discard(name)
        elif what == "upgrade":
            saved, outages = outages.saved(), Outages()
            outages.restore(saved)
        for seen in outages.apply_all([entry("a"), entry("b")]):
            name = seen.server.id
            assert (seen.server.state == EndpointState.DRAINING) == (name in out)
            assert name in out or seen.server.started_at == since.get(name, 0)
    assert set(outages.out()) == out


def test_list_in_which_all_are_held_out_is_still_a_list():
    outages = Outages()
    outages.take_out("a", 1)
    listing = EndpointList(3, True, [entry("a")])
    assert [e.server.state for e in outages.apply_all(listing.endpoints)] == [
        EndpointState.DRAINING
    ]
