"""What the module does with parts of zones and with classes that are turned away."""

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
from oakbridge.policy.view import zones

S = 1_000_000
SAFE = RequestClass("look", 2 * S, 5 * S, 1.0, idempotency=Idempotency.IDEMPOTENT)
ONCE = RequestClass("book", 2 * S, 5 * S, 5.0, idempotency=Idempotency.NOT_IDEMPOTENT)


class Driver:
    def __init__(self, servers=None, **more):
        self.b = Balancer(Settings((SAFE, ONCE), max_retry_after=2 * S, cancellation_allowed=True, **more), 3)
        self.now, self.ids = S, 0
        listed = servers or [Endpoint(f"{z}{n}", zone=z) for z in "abc" for n in range(6)]
        self.b.handle(self.now, EndpointListReceived(listed))

    def ask(self, klass="look"):
        """One request; where it is sent, or what is said of it."""
        self.ids += 1
        done = self.b.handle(self.now, RequestReceived(self.ids, klass, 5 * S))
        return next(a for a in done if isinstance(a, SendAttempt | RejectRequest | FailRequest))

    def serve(self, many=300, klass="look", result=AttemptResult.OK):
        """So many requests, one after another; which zones they were sent to."""
        went = Counter()
        for _ in range(many):
            sent = self.ask(klass)
            went[sent.server[0]] += 1
            self.now += 20_000
            self.b.handle(self.now, AttemptEnded(self.ids, 0, sent.server, result, 10_000, True))
        return went


@pytest.mark.parametrize("home", ["", "a", "c"])
def test_a_closed_zone_gets_only_calls_that_look(home):
    more = {"zone": home, "zones": ("a", "b", "c"), "prices": Prices(cross_zone=0.02)} if home else {}
    d = Driver(**more)
    assert d.serve()[home or "c"]
    d.b.handle(d.now, ZoneWeights({"c": 0.0}))
    assert set(d.serve()) <= {"a", "b"}
    for n in range(5):
        d.b.handle(d.now, ZoneWeights({"c": 0.0}, ("c",)))
        assert d.ask("book").server[0] != "c"  # never by a call that may not be repeated
        assert d.serve(10) - Counter(a=10, b=10) == Counter(c=1), n
    d.b.handle(d.now, ZoneWeights({}))
    assert d.serve()[home or "c"] > 30


def test_nothing_but_open_zones_is_left_when_these_are_full_or_sick():
    d = Driver()
    d.b.handle(d.now, ZoneWeights({"b": 0.0, "c": 0.0}))
    sent = [d.ask() for _ in range(200)]
    assert {s.server[0] for s in sent if isinstance(s, SendAttempt)} == {"a"}
    d = Driver()
    d.b.handle(d.now, ZoneWeights({"b": 0.0, "c": 0.0}))
    assert set(d.serve(60, result=AttemptResult.CONNECT_FAILED)) == {"a"}


def test_a_part_is_about_kept_and_new_servers_of_a_zone_have_its_part():
    d = Driver()
    d.b.handle(d.now, ZoneWeights({"c": 0.2}))
    went = d.serve(3000)
    assert 0.02 < went["c"] / went["a"] < 0.6
    for part, most in ((0.0, 0), (1.0, 1000)):
        d.b.handle(d.now, ZoneWeights({"c": part} if part < 1 else {}))
        new = [Endpoint(f"c9{part:g}{n}", zone="c") for n in range(6)]
        d.b.handle(d.now, EndpointListReceived(new, complete=False))
        assert (d.serve(300)["c"] > 0) == (most > 0)


def test_a_class_is_turned_away_in_part_and_told_to_come_late():
    d = Driver(tenants=(Tenant("t", 0.01),))
    d.b.handle(d.now, LoadSheddingLevel({"look": 0.5}))
    said = [d.ask() for _ in range(400)]
    refused = [a for a in said if isinstance(a, RejectRequest)]
    assert 150 < len(refused) < 250 and d.b.turned == len(refused)
    waits = [a.retry_after for a in refused]
    assert min(waits) > S // 2 and max(waits) - min(waits) > S // 2  # and not all at once
    d.b.handle(d.now, LoadSheddingLevel({}, over_quota_fraction=1.0))
    assert not isinstance(d.ask("book"), RejectRequest)


def test_a_view_tells_how_each_zone_was_found():
    d = Driver()
    d.serve(100)
    before = {z.zone: (z.good > 0, z.mute, z.dead) for z in zones(d.b, d.now, 4 * S)}
    assert before == dict.fromkeys("abc", (True, 0, 0))
    for result, mute in (
        (AttemptResult.CONNECT_FAILED, 0),
        (AttemptResult.TIMEOUT, 1),
        (AttemptResult.REJECTED, 0),
    ):
        d = Driver([Endpoint("a1", zone="a")])
        d.serve(1, result=result)
        (found,) = zones(d.b, d.now, 4 * S)
        assert (found.mute, found.dead) == (mute, int(result == AttemptResult.CONNECT_FAILED))


@pytest.mark.parametrize(
    ("failed", "answers", "rests"),
    [
        (("c0", "c1"), (), set()),
        (("c0", "c0", "c0", "c0"), (), {"c0"}),  # one server, however often, is one
        (("c0", "c1", "c2"), (), {f"c{n}" for n in range(6)}),
        (("c0", "c1", "a0"), (), set()),
        (("c0", "c1", "c2"), ("c5",), set()),  # it answered between: the zone is there
        (("c0", "c1", "c2"), ("a5",), {f"c{n}" for n in range(6)}),
        (("c0", "c1", "c2"), ("c5 failed",), set()),  # nor is one gone that answers, whatever it says
    ],
)
def test_what_several_servers_of_a_zone_show_counts_for_those_not_met_yet(failed, answers, rests):
    d = Driver()
    b = d.b

    def end(server, result):
        d.ids, number = d.ids + 1, d.ids + 1
        d.now += 1000
        b.handle(d.now, RequestReceived(number, "look", 5 * S))
        call = b.calls[number]
        sent = call.attempts[0].server
        if sent.id != server:  # as if it had been drawn
            del sent.out[number, 0]
            call.attempts[0].server = b.servers[server]
            b.servers[server].out[number, 0] = call.attempts[0]
        b.handle(d.now, AttemptEnded(number, 0, server, result, 500, result == AttemptResult.OK))

    for server in ("a0", "b0", "c5"):
        end(server, AttemptResult.OK)
    for server in failed[:2]:
        end(server, AttemptResult.RESET)
    for server in answers:
        end(server.split()[0], AttemptResult.ERROR if " " in server else AttemptResult.OK)
    for server in failed[2:]:
        end(server, AttemptResult.RESET)
    assert {s.id for s in b.servers.values() if s.ejected_until > d.now} == rests
    for s in b.servers.values():
        s.ejected_until = 0
    b.health.rate = 0.5  # half of all fails anyway: three in a row say nothing
    for server in ("b1", "b2", "b3"):
        end(server, AttemptResult.RESET)
    assert not any(s.ejected_until for s in b.servers.values() if s.zone == "b")
