"""Tests of server selection."""

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


def test_a_server_with_fast_errors_gets_few_requests():
    driver = Driver(servers=5)
    driver.serve(40)
    used = driver.serve(200, latency=1_000, fails={"s0"})
    assert used.count("s0") <= 12


def test_a_server_that_rejects_gets_no_more_attempts_than_it_had():
    driver = Driver(servers=1)
    driver.serve(20)
    driver.balancer.admission.limit = 9.0
    sent = [
        action
        for _ in range(4)
        for action in driver.send_request()
        if isinstance(action, SendAttempt)
    ]
    driver.end_attempt(sent[-1], AttemptResult.REJECTED)
    assert driver.balancer.servers["s0"].max_in_flight == 3
    assert driver.balancer.servers["s0"].score < 0  # a full server is not an outlier


def test_servers_above_their_fair_share_are_skipped():
    driver = Driver(servers=8)
    driver.serve(20)
    used = [
        action.server
        for _ in range(8)
        for action in driver.send_request()
        if isinstance(action, SendAttempt)
    ]
    assert len(set(used)) == 8


def test_a_slow_server_gets_fewer_requests_but_still_some():
    driver = Driver(4)
    for _ in range(400):  # one server takes five times as long, and requests never overlap
        driver.run_to(driver.now + 100_000)
        sent = [action for action in driver.send_request() if isinstance(action, SendAttempt)]
        driver.now += 50_000
        for action in sent:
            driver.end_attempt(
                action, AttemptResult.OK, 0, 50_000 if action.server == "s0" else 10_000
            )
    late = [
        action.server
        for at, action in driver.actions
        if isinstance(action, SendAttempt) and at > 20_000_000
    ]
    assert 0 < late.count("s0") < 0.15 * len(late)


def test_servers_that_are_all_slow_are_used_evenly():
    driver = Driver(4)
    used = driver.serve(100) + driver.serve(600, latency=200_000)
    assert min(used[-400:].count(f"s{i}") for i in range(4)) > 50


def test_servers_of_higher_weight_get_more_requests():
    """Guards against slow servers that get as many requests as others, and are overloaded."""
    entries = [Endpoint(f"s{i}", weight=2.0 if i < 3 else 1.0) for i in range(6)]
    used = Driver(entries=entries, weight_source=WeightSource.NOMINAL).serve(600)
    large = sum(name in ("s0", "s1", "s2") for name in used)
    assert 1.3 < large / (len(used) - large) < 2.7
    # Without the setting, weights are ignored.
    used = Driver(entries=[*entries, Endpoint("odd", weight=0.0)]).serve(700)
    assert 250 < sum(name in ("s0", "s1", "s2") for name in used) < 350
    assert (
        Driver(entries=[Endpoint("odd", weight=0.0)], weight_source=WeightSource.NOMINAL).serve(5)
        == ["odd"] * 5
    )


def test_the_local_zone_is_preferred_unless_busy_if_crossing_has_a_price():
    """Guards against a subset and candidates drawn without regard to zones.

    Crossing zones cost 0.05 to 0.09 points.
    """
    entries = [Endpoint(f"{zone}{i}", zone=zone) for zone in "abcd" for i in range(4)]
    options = {"zone": "a", "zones": tuple("abcd"), "replica_count": 8, "report_names": ("queued",)}
    driver = Driver(entries=entries, prices=Prices(cross_zone=0.04), **options)
    local = sum(name.startswith("a") for name in driver.serve(200))
    assert local > 180
    driver = Driver(entries=entries, **options)  # crossing costs nothing
    assert sum(name.startswith("a") for name in driver.serve(200)) < 120
    driver = Driver(entries=entries, prices=Prices(cross_zone=0.04), **options)
    remote = 0
    for _ in range(200):  # the servers of the local zone report queued requests
        driver.run_to(driver.now + 25_000)
        for send in [action for action in driver.send_request() if isinstance(action, SendAttempt)]:
            remote += not send.server.startswith("a")
            report = {"queued": 9.0 if send.server.startswith("a") else 0.0}
            driver.feed(
                AttemptEnded(
                    send.request_id, 0, send.server, AttemptResult.OK, 20_000, True, report
                )
            )
    assert remote > 60


def test_servers_are_used_evenly_if_none_is_in_the_local_zone():
    entries = [Endpoint(f"s{i}", zone="elsewhere") for i in range(4)]
    driver = Driver(
        entries=entries, zone="here", zones=("here", "there"), prices=Prices(cross_zone=0.04)
    )
    assert len(set(driver.serve(200))) == 4


def test_attempts_at_a_slow_server_count_more_towards_its_fair_share():
    """Guards against equal attempts in flight at servers that do 2 and 20 requests a second."""
    driver = Driver(servers=4)
    driver.serve(60, gap=100_000)
    driver.balancer.admission.limit = 100.0
    while min(len(server.in_flight) for server in driver.balancer.servers.values()) < 2:
        driver.send_request()
    slow = driver.balancer.servers["s0"]
    driver.run_to(driver.now + 50_000)
    for (request, number), attempt in list(slow.in_flight.items())[1:]:
        driver.feed(AttemptEnded(request, number, "s0", AttemptResult.OK, 50_000, True))
        assert attempt.result == AttemptResult.OK
    slow.slowness, slow.slowness_at = 6.0, driver.now
    assert (
        len(slow.in_flight)
        == 1
        < min(
            len(server.in_flight)
            for server in driver.balancer.servers.values()
            if server is not slow
        )
    )
    sent = [
        action
        for _ in range(4)
        for action in driver.send_request()
        if isinstance(action, SendAttempt)
    ]
    assert len(sent) == 4
    assert all(action.server != "s0" for action in sent)


def test_an_attempt_cancelled_late_shows_that_its_server_is_slow():
    """With clients that leave after 3 s, a server that takes 5 s never sends a response."""
    driver = Driver(servers=2, cancellation_allowed=True)
    driver.serve(60)
    for _ in range(4):
        sent = next(action for action in driver.send_request() if isinstance(action, SendAttempt))
        server = driver.balancer.servers[sent.server]
        before = driver.balancer.selection.slowness(server, driver.now)
        driver.run_to(driver.now + 200_000)
        driver.feed(ClientDisconnected(sent.request_id))
        driver.feed(AttemptEnded(sent.request_id, 0, sent.server, AttemptResult.CANCELLED, 200_000))
        assert driver.balancer.selection.slowness(server, driver.now) > before
    quick = next(action for action in driver.send_request() if isinstance(action, SendAttempt))
    server = driver.balancer.servers[quick.server]
    before = driver.balancer.selection.slowness(server, driver.now)
    driver.feed(AttemptEnded(quick.request_id, 0, quick.server, AttemptResult.CANCELLED, 100))
    # An attempt that is cancelled at once shows nothing.
    assert driver.balancer.selection.slowness(server, driver.now) <= before
