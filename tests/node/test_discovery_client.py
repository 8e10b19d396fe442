"""The versions of the list: what the next request asks for, and which responses are used."""

import random

import pytest

from oakbridge.node.discovery_client import BEFORE_ALL_VERSIONS, DiscoveryClient
from oakbridge.node.endpoint_list import EndpointList
from oakbridge.node.errors import OutdatedListError
from oakbridge.node.list_refresh import Failure, RefreshSchedule

OLD, NEW = ("127.0.0.1", 1), ("127.0.0.1", 2)


def watching_client(version: int, *, pushed: bool = False) -> DiscoveryClient:
    """Return a client with a list of this version, whose watch is to be renewed now, at 0."""
    schedule = RefreshSchedule(0.0, 10_000_000, random.Random(1), pushed=pushed)
    client = DiscoveryClient(OLD, schedule, pushed=pushed)
    client.watch(0.0)
    request = client.begin_request(0.0)
    client.on_response(request, EndpointList(version, True, []), 0.0)
    client.on_applied(request, version, 0.0, 0.0)
    return client


@pytest.mark.parametrize("complete", [True, False])
def test_a_list_older_than_one_adopted_during_its_request_is_not_used(complete):
    """Guards against using a draining server again until the next response."""
    client = watching_client(6)
    request = client.begin_request(0.0)
    assert client.adopt(8, 100_000, 0.5)
    assert client.on_response(request, EndpointList(7, complete, []), 0.6) is None
    client.on_applied(request, 7, 0.6, 0.6)
    assert client.version == 8
    assert client.list_age_us(0.6) == pytest.approx(200_000, abs=1)  # as old as the adopted one
    next_request = client.begin_request(client.next_request_at())
    assert (next_request.since, next_request.target) == (8, "/api/targets?since=8&timeout_ms=1")


def test_the_next_response_shows_whether_discovery_has_started_counting_versions_again():
    client = watching_client(6)
    request = client.begin_request(0.0)
    client.adopt(8, 0, 0.5)
    client.on_response(request, EndpointList(2, True, []), 0.6)
    client.on_applied(request, 2, 0.6, 0.6)
    next_request = client.begin_request(0.6)
    with pytest.raises(OutdatedListError):
        client.on_response(next_request, EndpointList(2, False, []), 0.7)
    client.on_failure(next_request, Failure.OUTDATED, 0.7)
    assert client.next_request_at() == 0.7
    complete = client.begin_request(0.7)
    assert complete.since == BEFORE_ALL_VERSIONS
    assert client.on_response(complete, EndpointList(2, True, []), 0.8).version == 2
    client.on_applied(complete, 2, 0.8, 0.8)
    assert client.version == 2


def test_complete_list_with_a_lower_version_is_used_where_nothing_newer_was_adopted():
    client = watching_client(6)
    request = client.begin_request(0.0)
    assert client.on_response(request, EndpointList(2, True, []), 0.1).version == 2


def test_a_list_that_could_not_be_applied_does_not_count_as_read():
    client = watching_client(6)
    request = client.begin_request(0.0)
    assert client.on_response(request, EndpointList(7, True, []), 1.0) is not None
    client.on_failure(request, Failure.REFUSED, 1.0)
    assert (client.version, client.list_age_us(1.0)) == (6, 1_000_000)
    assert client.begin_request(client.next_request_at()).since == 6


@pytest.mark.parametrize("pushed", [False, True])
def test_stopped_client_sends_no_requests(pushed):
    client = watching_client(6, pushed=pushed)
    client.stop()
    client.watch(1.0)
    assert not client.move(NEW, 1.0)
    client.fetch()
    assert client.next_request_at() == float("inf")
