"""The balancer with zone weights and a load-shedding level, and its views and ejection by zone."""

from collections import Counter

import pytest

from oakbridge.policy.actions import FailRequest, RejectRequest, SendAttempt
from oakbridge.policy.balancer import Balancer
from oakbridge.policy.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointListReceived,
    LoadSheddingLevel,
    RequestReceived,
    ZoneWeights,
)
from oakbridge.policy.settings import Idempotency, Prices, RequestClass, Settings, Tenant
from oakbridge.policy.view import zone_views

SECOND_US = 1_000_000
IDEMPOTENT = RequestClass(
    "look", 2 * SECOND_US, 5 * SECOND_US, 1.0, idempotency=Idempotency.IDEMPOTENT
)
NOT_IDEMPOTENT = RequestClass(
    "book", 2 * SECOND_US, 5 * SECOND_US, 5.0, idempotency=Idempotency.NOT_IDEMPOTENT
)


class BalancerDriver:
    def __init__(self, endpoints=None, **more_settings):
        settings = Settings(
            (IDEMPOTENT, NOT_IDEMPOTENT),
            max_retry_after=2 * SECOND_US,
            cancellation_allowed=True,
            **more_settings,
        )
        self.balancer = Balancer(settings, 3)
        self.now_us, self.last_id = SECOND_US, 0
        listed = endpoints or [
            Endpoint(f"{zone}{index}", zone=zone) for zone in "abc" for index in range(6)
        ]
        self.balancer.handle(self.now_us, EndpointListReceived(listed))

    def request(self, class_name="look"):
        """Send one request to the balancer; return its attempt, rejection or failure."""
        self.last_id += 1
        actions = self.balancer.handle(
            self.now_us, RequestReceived(self.last_id, class_name, 5 * SECOND_US)
        )
        return next(
            action
            for action in actions
            if isinstance(action, SendAttempt | RejectRequest | FailRequest)
        )

    def serve(self, count=300, class_name="look", result=AttemptResult.OK):
        """Finish ``count`` requests one after another; return the attempts by zone."""
        attempts_by_zone = Counter()
        for _ in range(count):
            attempt = self.request(class_name)
            attempts_by_zone[attempt.server[0]] += 1
            self.now_us += 20_000
            self.balancer.handle(
                self.now_us,
                AttemptEnded(self.last_id, 0, attempt.server, result, 10_000, True),
            )
        return attempts_by_zone


@pytest.mark.parametrize("home", ["", "a", "c"])
def test_a_zone_of_weight_0_gets_only_probes(home):
    zone_settings = (
        {"zone": home, "zones": ("a", "b", "c"), "prices": Prices(cross_zone=0.02)} if home else {}
    )
    driver = BalancerDriver(**zone_settings)
    assert driver.serve()[home or "c"]
    driver.balancer.handle(driver.now_us, ZoneWeights({"c": 0.0}))
    assert set(driver.serve()) <= {"a", "b"}
    for update in range(5):
        driver.balancer.handle(driver.now_us, ZoneWeights({"c": 0.0}, ("c",)))
        assert driver.request("book").server[0] != "c"  # a request that is not idempotent: no probe
        assert driver.serve(10) - Counter(a=10, b=10) == Counter(c=1), update
    driver.balancer.handle(driver.now_us, ZoneWeights({}))
    assert driver.serve()[home or "c"] > 30


def test_zones_of_weight_0_stay_closed_when_the_open_one_is_full_or_unhealthy():
    driver = BalancerDriver()
    driver.balancer.handle(driver.now_us, ZoneWeights({"b": 0.0, "c": 0.0}))
    results = [driver.request() for _ in range(200)]
    assert {attempt.server[0] for attempt in results if isinstance(attempt, SendAttempt)} == {"a"}
    driver = BalancerDriver()
    driver.balancer.handle(driver.now_us, ZoneWeights({"b": 0.0, "c": 0.0}))
    assert set(driver.serve(60, result=AttemptResult.CONNECT_FAILED)) == {"a"}


def test_a_zones_attempts_follow_its_weight_also_at_its_new_servers():
    driver = BalancerDriver()
    driver.balancer.handle(driver.now_us, ZoneWeights({"c": 0.2}))
    attempts_by_zone = driver.serve(3000)
    assert 0.02 < attempts_by_zone["c"] / attempts_by_zone["a"] < 0.6
    for weight, max_attempts in ((0.0, 0), (1.0, 1000)):
        driver.balancer.handle(driver.now_us, ZoneWeights({"c": weight} if weight < 1 else {}))
        new = [Endpoint(f"c9{weight:g}{index}", zone="c") for index in range(6)]
        driver.balancer.handle(driver.now_us, EndpointListReceived(new, complete=False))
        assert (driver.serve(300)["c"] > 0) == (max_attempts > 0)


def test_a_fraction_of_a_class_is_rejected_with_varying_retry_after():
    driver = BalancerDriver(tenants=(Tenant("t", 0.01),))
    driver.balancer.handle(driver.now_us, LoadSheddingLevel({"look": 0.5}))
    results = [driver.request() for _ in range(400)]
    rejections = [action for action in results if isinstance(action, RejectRequest)]
    assert 150 < len(rejections) < 250
    assert driver.balancer.shedding.rejected == len(rejections)
    retry_delays = [action.retry_after for action in rejections]
    assert min(retry_delays) > SECOND_US // 2
    assert max(retry_delays) - min(retry_delays) > SECOND_US // 2  # clients retry at varying times
    driver.balancer.handle(driver.now_us, LoadSheddingLevel({}, over_quota_fraction=1.0))
    assert not isinstance(driver.request("book"), RejectRequest)


def test_a_zone_view_counts_servers_by_the_result_of_their_last_attempt():
    driver = BalancerDriver()
    driver.serve(100)
    counts = {
        view.zone: (view.responding > 0, view.timed_out, view.failed)
        for view in zone_views(driver.balancer, driver.now_us, 4 * SECOND_US)
    }
    assert counts == dict.fromkeys("abc", (True, 0, 0))
    for result, timed_out in (
        (AttemptResult.CONNECT_FAILED, 0),
        (AttemptResult.TIMEOUT, 1),
        (AttemptResult.REJECTED, 0),
    ):
        driver = BalancerDriver([Endpoint("a1", zone="a")])
        driver.serve(1, result=result)
        (zone_view,) = zone_views(driver.balancer, driver.now_us, 4 * SECOND_US)
        assert (zone_view.timed_out, zone_view.failed) == (
            timed_out,
            int(result == AttemptResult.CONNECT_FAILED),
        )


@pytest.mark.parametrize(
    ("failed", "responding", "ejected"),
    [
        (("c0", "c1"), (), set()),
        (("c0", "c0", "c0", "c0"), (), {"c0"}),  # all failures are of one server
        (("c0", "c1", "c2"), (), {f"c{index}" for index in range(6)}),
        (("c0", "c1", "a0"), (), set()),
        (("c0", "c1", "c2"), ("c5",), set()),  # a server of the zone responds in between
        (("c0", "c1", "c2"), ("a5",), {f"c{index}" for index in range(6)}),
        (("c0", "c1", "c2"), ("c5 failed",), set()),  # an error is a response, too
    ],
)
def test_failures_of_several_servers_of_a_zone_eject_its_other_servers(failed, responding, ejected):
    driver = BalancerDriver()
    balancer = driver.balancer

    def end_attempt(server_id, result):
        """End an attempt at this server, whichever server the balancer selects."""
        driver.last_id, request_id = driver.last_id + 1, driver.last_id + 1
        driver.now_us += 1000
        balancer.handle(driver.now_us, RequestReceived(request_id, "look", 5 * SECOND_US))
        request = balancer.requests[request_id]
        selected = request.attempts[0].server
        if selected.id != server_id:
            del selected.in_flight[request_id, 0]
            request.attempts[0].server = balancer.servers[server_id]
            balancer.servers[server_id].in_flight[request_id, 0] = request.attempts[0]
        balancer.handle(
            driver.now_us,
            AttemptEnded(request_id, 0, server_id, result, 500, result == AttemptResult.OK),
        )

    for server_id in ("a0", "b0", "c5"):
        end_attempt(server_id, AttemptResult.OK)
    for server_id in failed[:2]:
        end_attempt(server_id, AttemptResult.RESET)
    for server_id in responding:
        end_attempt(
            server_id.split()[0], AttemptResult.ERROR if " " in server_id else AttemptResult.OK
        )
    for server_id in failed[2:]:
        end_attempt(server_id, AttemptResult.RESET)
    assert {
        server.id for server in balancer.servers.values() if server.ejected_until > driver.now_us
    } == ejected
    for server in balancer.servers.values():
        server.ejected_until = 0
    # Half of all attempts fail anyway, so three failures in a row show no failure of a zone.
    balancer.outliers.failure_rate = 0.5
    for server_id in ("b1", "b2", "b3"):
        end_attempt(server_id, AttemptResult.RESET)
    assert not any(
        server.ejected_until for server in balancer.servers.values() if server.zone == "b"
    )
