"""What the balancer does with zone weights and with a load-shedding level."""

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
NOT_REPEATED = RequestClass(
    "book", 2 * SECOND_US, 5 * SECOND_US, 5.0, idempotency=Idempotency.NOT_IDEMPOTENT
)


class BalancerDriver:
    def __init__(self, servers=None, **more):
        settings = Settings(
            (IDEMPOTENT, NOT_REPEATED),
            max_retry_after=2 * SECOND_US,
            cancellation_allowed=True,
            **more,
        )
        self.balancer = Balancer(settings, 3)
        self.now, self.ids = SECOND_US, 0
        listed = servers or [Endpoint(f"{z}{n}", zone=z) for z in "abc" for n in range(6)]
        self.balancer.handle(self.now, EndpointListReceived(listed))

    def request(self, klass="look"):
        """One request; where it is sent, or what is said of it."""
        self.ids += 1
        done = self.balancer.handle(self.now, RequestReceived(self.ids, klass, 5 * SECOND_US))
        return next(a for a in done if isinstance(a, SendAttempt | RejectRequest | FailRequest))

    def serve(self, count=300, klass="look", result=AttemptResult.OK):
        """So many requests, one after another; which zones they were sent to."""
        went = Counter()
        for _ in range(count):
            sent = self.request(klass)
            went[sent.server[0]] += 1
            self.now += 20_000
            self.balancer.handle(
                self.now, AttemptEnded(self.ids, 0, sent.server, result, 10_000, True)
            )
        return went


@pytest.mark.parametrize("home", ["", "a", "c"])
def test_a_zone_of_weight_0_gets_only_probes(home):
    more = (
        {"zone": home, "zones": ("a", "b", "c"), "prices": Prices(cross_zone=0.02)} if home else {}
    )
    driver = BalancerDriver(**more)
    assert driver.serve()[home or "c"]
    driver.balancer.handle(driver.now, ZoneWeights({"c": 0.0}))
    assert set(driver.serve()) <= {"a", "b"}
    for n in range(5):
        driver.balancer.handle(driver.now, ZoneWeights({"c": 0.0}, ("c",)))
        assert driver.request("book").server[0] != "c"  # never by a call that may not be repeated
        assert driver.serve(10) - Counter(a=10, b=10) == Counter(c=1), n
    driver.balancer.handle(driver.now, ZoneWeights({}))
    assert driver.serve()[home or "c"] > 30


def test_only_open_zones_are_used_also_when_these_are_full_or_unhealthy():
    driver = BalancerDriver()
    driver.balancer.handle(driver.now, ZoneWeights({"b": 0.0, "c": 0.0}))
    sent = [driver.request() for _ in range(200)]
    assert {s.server[0] for s in sent if isinstance(s, SendAttempt)} == {"a"}
    driver = BalancerDriver()
    driver.balancer.handle(driver.now, ZoneWeights({"b": 0.0, "c": 0.0}))
    assert set(driver.serve(60, result=AttemptResult.CONNECT_FAILED)) == {"a"}


def test_a_weight_is_about_kept_and_applies_to_new_servers_of_a_zone():
    driver = BalancerDriver()
    driver.balancer.handle(driver.now, ZoneWeights({"c": 0.2}))
    went = driver.serve(3000)
    assert 0.02 < went["c"] / went["a"] < 0.6
    for part, most in ((0.0, 0), (1.0, 1000)):
        driver.balancer.handle(driver.now, ZoneWeights({"c": part} if part < 1 else {}))
        new = [Endpoint(f"c9{part:g}{n}", zone="c") for n in range(6)]
        driver.balancer.handle(driver.now, EndpointListReceived(new, complete=False))
        assert (driver.serve(300)["c"] > 0) == (most > 0)


def test_a_class_is_rejected_in_part_with_spread_retry_after():
    driver = BalancerDriver(tenants=(Tenant("t", 0.01),))
    driver.balancer.handle(driver.now, LoadSheddingLevel({"look": 0.5}))
    said = [driver.request() for _ in range(400)]
    refused = [a for a in said if isinstance(a, RejectRequest)]
    assert 150 < len(refused) < 250
    assert driver.balancer.shedding.rejected == len(refused)
    waits = [a.retry_after for a in refused]
    assert min(waits) > SECOND_US // 2
    assert max(waits) - min(waits) > SECOND_US // 2  # and not all at once
    driver.balancer.handle(driver.now, LoadSheddingLevel({}, over_quota_fraction=1.0))
    assert not isinstance(driver.request("book"), RejectRequest)


def test_a_zone_view_counts_servers_by_how_their_last_attempt_ended():
    driver = BalancerDriver()
    driver.serve(100)
    before = {
        z.zone: (z.responding > 0, z.timed_out, z.failed)
        for z in zone_views(driver.balancer, driver.now, 4 * SECOND_US)
    }
    assert before == dict.fromkeys("abc", (True, 0, 0))
    for result, mute in (
        (AttemptResult.CONNECT_FAILED, 0),
        (AttemptResult.TIMEOUT, 1),
        (AttemptResult.REJECTED, 0),
    ):
        driver = BalancerDriver([Endpoint("a1", zone="a")])
        driver.serve(1, result=result)
        (found,) = zone_views(driver.balancer, driver.now, 4 * SECOND_US)
        assert (found.timed_out, found.failed) == (
            mute,
            int(result == AttemptResult.CONNECT_FAILED),
        )


@pytest.mark.parametrize(
    ("failed", "answers", "ejected"),
    [
        (("c0", "c1"), (), set()),
        (("c0", "c0", "c0", "c0"), (), {"c0"}),  # one server, however often, is one
        (("c0", "c1", "c2"), (), {f"c{n}" for n in range(6)}),
        (("c0", "c1", "a0"), (), set()),
        (("c0", "c1", "c2"), ("c5",), set()),  # it answered between: the zone is there
        (("c0", "c1", "c2"), ("a5",), {f"c{n}" for n in range(6)}),
        (("c0", "c1", "c2"), ("c5 failed",), set()),  # so it is by an error
    ],
)
def test_failures_of_several_servers_of_a_zone_eject_its_other_ones(failed, answers, ejected):
    driver = BalancerDriver()
    balancer = driver.balancer

    def end(server, result):
        driver.ids, number = driver.ids + 1, driver.ids + 1
        driver.now += 1000
        balancer.handle(driver.now, RequestReceived(number, "look", 5 * SECOND_US))
        call = balancer.requests[number]
        sent = call.attempts[0].server
        if sent.id != server:  # as if it had been drawn
            del sent.in_flight[number, 0]
            call.attempts[0].server = balancer.servers[server]
            balancer.servers[server].in_flight[number, 0] = call.attempts[0]
        balancer.handle(
            driver.now, AttemptEnded(number, 0, server, result, 500, result == AttemptResult.OK)
        )

    for server in ("a0", "b0", "c5"):
        end(server, AttemptResult.OK)
    for server in failed[:2]:
        end(server, AttemptResult.RESET)
    for server in answers:
        end(server.split()[0], AttemptResult.ERROR if " " in server else AttemptResult.OK)
    for server in failed[2:]:
        end(server, AttemptResult.RESET)
    assert {s.id for s in balancer.servers.values() if s.ejected_until > driver.now} == ejected
    for s in balancer.servers.values():
        s.ejected_until = 0
    balancer.outliers.failure_rate = 0.5  # half of all fails anyway: three in a row say nothing
    for server in ("b1", "b2", "b3"):
        end(server, AttemptResult.RESET)
    assert not any(s.ejected_until for s in balancer.servers.values() if s.zone == "b")
