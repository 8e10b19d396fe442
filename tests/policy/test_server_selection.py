"""Which of two servers gets a request."""

from driver import Driver

from oakbridge.policy.actions import (
    SendAttempt,
)
from oakbridge.policy.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    Endpoint,
)
from oakbridge.policy.settings import (
    Prices,
    WeightSource,
)


def test_instant_errors_lose_picks():
    d = Driver(servers=5)
    d.serve(40)
    used = d.serve(200, latency=1_000, fails={"s0"})
    assert used.count("s0") <= 12


def test_a_server_that_turns_away_gets_no_more_than_it_had():
    d = Driver(servers=1)
    d.serve(20)
    d.balancer.admission.limit = 9.0
    sent = [a for _ in range(4) for a in d.send_request() if isinstance(a, SendAttempt)]
    d.end_attempt(sent[-1], AttemptResult.REJECTED)
    assert d.balancer.servers["s0"].max_in_flight == 3
    assert d.balancer.servers["s0"].score < 0  # full is not sick


def test_members_above_their_even_part_are_passed_over():
    d = Driver(servers=8)
    d.serve(20)
    used = [a.server for _ in range(8) for a in d.send_request() if isinstance(a, SendAttempt)]
    assert len(set(used)) == 8


def test_slow_server_gets_fewer_calls_and_is_tried_again_later():
    d = Driver(4)
    for _ in range(400):  # one server takes five times as long, and calls never overlap
        d.run_to(d.now + 100_000)
        sent = [a for a in d.send_request() if isinstance(a, SendAttempt)]
        d.now += 50_000
        for a in sent:
            d.end_attempt(a, AttemptResult.OK, 0, 50_000 if a.server == "s0" else 10_000)
    late = [a.server for t, a in d.actions if isinstance(a, SendAttempt) and t > 20_000_000]
    assert 0 < late.count("s0") < 0.15 * len(late)


def test_tier_slow_as_a_whole_is_used_evenly():
    d = Driver(4)
    used = d.serve(100) + d.serve(600, latency=200_000)
    assert min(used[-400:].count(f"s{i}") for i in range(4)) > 50


def test_larger_servers_get_more_calls():
    """Day hanoi rough-1: the slow half got as many calls and turned slow at half load."""
    entries = [Endpoint(f"s{i}", weight=2.0 if i < 3 else 1.0) for i in range(6)]
    used = Driver(entries=entries, weight_source=WeightSource.NOMINAL).serve(600)
    large = sum(u in ("s0", "s1", "s2") for u in used)
    assert 1.3 < large / (len(used) - large) < 2.7
    used = Driver(entries=[*entries, Endpoint("odd", weight=0.0)]).serve(
        700
    )  # sizes mean nothing here
    assert 250 < sum(u in ("s0", "s1", "s2") for u in used) < 350
    assert (
        Driver(entries=[Endpoint("odd", weight=0.0)], weight_source=WeightSource.NOMINAL).serve(5)
        == ["odd"] * 5
    )


def test_the_own_zone_comes_first_where_crossing_has_a_price_and_spills_when_busy():
    """Every dakar day paid 0.05 to 0.09 for crossing rooms.

    The subset and its pairs were drawn blindly.
    """
    entries = [Endpoint(f"{zone}{i}", zone=zone) for zone in "abcd" for i in range(4)]
    options = {"zone": "a", "zones": tuple("abcd"), "replica_count": 8, "report_names": ("queued",)}
    d = Driver(entries=entries, prices=Prices(cross_zone=0.04), **options)
    near = sum(s.startswith("a") for s in d.serve(200))
    assert near > 180
    d = Driver(entries=entries, **options)  # crossing costs nothing
    assert sum(s.startswith("a") for s in d.serve(200)) < 120
    d = Driver(entries=entries, prices=Prices(cross_zone=0.04), **options)
    far = 0
    for _ in range(200):  # the own zone's servers say that work waits there
        d.run_to(d.now + 25_000)
        for send in [a for a in d.send_request() if isinstance(a, SendAttempt)]:
            far += not send.server.startswith("a")
            report = {"queued": 9.0 if send.server.startswith("a") else 0.0}
            d.feed(
                AttemptEnded(
                    send.request_id, 0, send.server, AttemptResult.OK, 20_000, True, report
                )
            )
    assert far > 60


def test_a_zone_that_no_server_is_in_changes_nothing():
    entries = [Endpoint(f"s{i}", zone="elsewhere") for i in range(4)]
    d = Driver(
        entries=entries, zone="here", zones=("here", "there"), prices=Prices(cross_zone=0.04)
    )
    assert len(set(d.serve(200))) == 4


def test_a_slow_servers_even_part_of_calls_is_a_smaller_one():
    """Day disco+zone+huge: servers that did 2 a second held as many calls as those that did 20."""
    d = Driver(servers=4)
    d.serve(60, gap=100_000)
    d.balancer.admission.limit = 100.0
    while min(len(s.in_flight) for s in d.balancer.servers.values()) < 2:
        d.send_request()
    slow = d.balancer.servers["s0"]
    d.run_to(d.now + 50_000)
    for (request, number), attempt in list(slow.in_flight.items())[1:]:
        d.feed(AttemptEnded(request, number, "s0", AttemptResult.OK, 50_000, True))
        assert attempt.result == AttemptResult.OK
    slow.slowness, slow.slowness_at = 6.0, d.now
    assert (
        len(slow.in_flight)
        == 1
        < min(len(s.in_flight) for s in d.balancer.servers.values() if s is not slow)
    )
    sent = [a for _ in range(4) for a in d.send_request() if isinstance(a, SendAttempt)]
    assert len(sent) == 4
    assert all(a.server != "s0" for a in sent)


def test_what_is_called_off_late_tells_that_its_server_is_slow():
    """Clients leave after three seconds: a server that needs five would never be heard of."""
    d = Driver(servers=2, cancellation_allowed=True)
    d.serve(60)
    for _ in range(4):
        sent = next(a for a in d.send_request() if isinstance(a, SendAttempt))
        server = d.balancer.servers[sent.server]
        before = d.balancer.selection.slowness(server, d.now)
        d.run_to(d.now + 200_000)
        d.feed(ClientDisconnected(sent.request_id))
        d.feed(AttemptEnded(sent.request_id, 0, sent.server, AttemptResult.CANCELLED, 200_000))
        assert d.balancer.selection.slowness(server, d.now) > before
    quick = next(a for a in d.send_request() if isinstance(a, SendAttempt))
    server = d.balancer.servers[quick.server]
    before = d.balancer.selection.slowness(server, d.now)
    d.feed(AttemptEnded(quick.request_id, 0, quick.server, AttemptResult.CANCELLED, 100))
    assert (
        d.balancer.selection.slowness(server, d.now) <= before
    )  # called off at once it tells nothing
