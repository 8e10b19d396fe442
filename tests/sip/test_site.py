"""Tests of the proxy with the real balancer, phones and servers, in simulated time by seed."""

from collections import Counter

import pytest
from network import Site

from oakbridge.sip.standins.scripts import respond_at_random, respond_normally

EMPTY_STATE = (0, 0, 0, 0)
CALL_INTERVAL_US = 40_000


def run_site(seed, requests, script, **network):
    """Run a site with a new request every 40 ms; return the site and the sent requests."""
    site = Site(seed, script=script, **network)
    sent = []
    for number in range(requests):
        phone = site.rng.choice(site.phones)
        method = site.rng.choice(("INVITE", "MESSAGE", "OPTIONS"))

        def send(phone=phone, method=method, number=number):
            sent.append(site.send_request(phone, method, f"call-{number}"))

        site.call_at(site.now + number * CALL_INTERVAL_US, send)
    site.run(requests * 0.04 + 120)
    return site, sent


@pytest.mark.parametrize(
    ("script", "network"),
    [
        (respond_normally, {}),
        (respond_at_random, {}),
        (respond_at_random, {"loss": 0.1, "duplication": 0.05, "delay_us": (200, 300_000)}),
    ],
)
@pytest.mark.parametrize("seed", range(4))
def test_each_request_gets_one_response_and_runs_once_unless_idempotent(script, network, seed):
    site, sent = run_site(seed, 170, script, **network)
    assert len(sent) == 170
    assert [request.final_statuses for request in sent if len(request.final_statuses) != 1] == []
    runs = sum((server.runs for server in site.servers.values()), start=Counter())
    assert [key for key, count in runs.items() if count > 1 and "OPTIONS" not in key[1]] == []
    assert sum(server.unacknowledged for server in site.servers.values()) == 0
    assert site.proxy_state_sizes() == EMPTY_STATE
    assert site.balancer.requests == {}
    assert not any(endpoint.in_flight for endpoint in site.balancer.endpoints.known.values())
    if script is respond_normally:
        assert {status for request in sent for status in request.final_statuses} == {200}


@pytest.mark.parametrize("part", range(5))
def test_cancel_that_races_the_response_gets_one_valid_result(part):
    """Each CANCEL and its INVITE get one final response, whichever message arrives first.

    Each part makes 200 calls; the CANCEL is sent at offsets from before the first provisional
    response to after the final response.
    """
    site = Site(part, script=respond_normally, delay_us=(100, 5_000))
    invites = []
    cancels = []

    def call(number):
        phone = site.phones[number % 4]
        invite = site.send_request(phone, "INVITE", f"call-{number}")

        def cancel():
            invites.append(invite)
            cancels.append(phone.cancel(invite, site.now))
            site.flush(phone)

        site.call_at(site.now + number * 2_200 + part * 440, cancel)

    for number in range(200):
        site.call_at(site.now + number * 50_000, lambda number=number: call(number))
    site.run(120)
    assert len(invites) == 200
    unexpected = [
        request.final_statuses
        for request in invites
        if request.final_statuses not in ([200], [487])
    ]
    assert unexpected == []
    unexpected = [
        sent.final_statuses for sent in cancels if sent.final_statuses not in ([200], [481])
    ]
    assert unexpected == []
    final_statuses = [invite.final_statuses[0] for invite in invites]
    assert 20 < final_statuses.count(487) < 180
    assert site.proxy_state_sizes() == EMPTY_STATE


def never_respond(_server, _request, _now):
    """Script of a server that sends no response."""


def test_request_to_an_overloaded_tier_is_rejected_with_retry_after():
    site = Site(3, script=lambda server, request, now: server.respond(request, 503, now))
    rejected = site.send_request(site.phones[0], "MESSAGE", "full")
    site.run(30)
    assert rejected.final_statuses == [503]
    assert int(rejected.retry_after) >= 1


def test_frozen_servers_cost_an_attempt_but_not_the_request():
    site = Site(4)
    site.frozen_servers = {"s0", "s1"}
    sent = []

    def send(number):
        sent.append(site.send_request(site.phones[0], "OPTIONS", f"c{number}"))

    for number in range(60):
        site.call_at(site.now + number * 100_000, lambda number=number: send(number))
    site.run(60)
    assert sum(request.final_statuses == [200] for request in sent) >= 55
    assert all(len(request.final_statuses) == 1 for request in sent)


def test_flood_from_one_address_is_limited():
    site = Site(5, script=never_respond, max_server_transactions_per_host=100)
    flood = [
        site.send_request(site.phones[0], "INVITE", f"flood-{number}") for number in range(1_000)
    ]
    site.run(0.1)
    # 900 requests are above the limit; the balancer rejects some of the other 100, which can't be
    # served in time.
    rejected = sum(request.final_statuses == [503] for request in flood)
    assert len(site.proxy.store.contexts) == 100
    assert 900 <= rejected < 950
    site.run(120)
    assert all(len(request.final_statuses) == 1 for request in flood)
    assert site.proxy_state_sizes() == EMPTY_STATE
