"""Endpoint lists in discovery's JSON form."""

import pytest
from peers import endpoint, listing

from oakbridge.node.endpoint_list_json import parse_endpoint_list
from oakbridge.node.errors import EndpointListError
from oakbridge.policy.events import (
    EndpointState,
)


@pytest.mark.parametrize(
    "raw",
    [
        None,
        {},
        {"index": "2", "endpoints": []},
        {"index": 2, "endpoints": {}},
        {"index": 2, "endpoints": [7]},
        listing(2, endpoint("", 1)),
        listing(2, endpoint("s", 1, "resting")),
        listing(2, endpoint("s", 1) | {"status": ["ready"]}),
        listing(2, endpoint("s", 99_999)),
        listing(2, endpoint("s", 1) | {"since_ms": float("nan")}),
        listing(2, endpoint("s", 1) | {"weight": "big"}),
        listing(2, endpoint("s", 1) | {"weight": float("nan")}),
        listing(2, endpoint("s", 1) | {"weight": float("inf")}),
        listing(2, endpoint("s", 1) | {"weight": 10**400}),
        listing(2, endpoint("s", 1) | {"weight": -1}),
        listing(2, endpoint("s", 1) | {"since_ms": float("inf")}),
        listing(2, endpoint("s", 1) | {"since_ms": 10**400}),
        listing(2, endpoint("s", 0)),
        listing(2, endpoint("s\r\nt", 1)),
        listing(2, endpoint("s" * 2000, 1)),
        listing(2, endpoint("s", 1), endpoint("t", 2), endpoint("s", 3)),
        listing(-2),
        listing(2**63),
    ],
)
def test_list_with_an_invalid_part_is_rejected_as_a_whole(raw):
    with pytest.raises(EndpointListError):
        parse_endpoint_list(raw)


def test_list_is_parsed():
    raw = listing(
        9,
        endpoint("s", 80, since_ms=1_700_000_000_000),
        {"name": "t", "status": "gone"},
        is_complete=False,
    )
    parsed = parse_endpoint_list(raw)
    assert (parsed.version, parsed.complete) == (9, False)
    assert parsed.endpoints[0].address == ("127.0.0.1", 80)
    assert parsed.endpoints[0].server.started_at == 1_700_000_000_000_000
    assert [endpoint.server.state for endpoint in parsed.endpoints] == [
        EndpointState.UP,
        EndpointState.REMOVED,
    ]


def test_error_names_the_place_of_the_invalid_value():
    raw = listing(2, endpoint("s", 1), endpoint("t", 2) | {"weight": -1})
    with pytest.raises(EndpointListError, match=r"endpoints\[1\]\.weight: expected .* got -1"):
        parse_endpoint_list(raw)


def test_of_two_changes_of_a_server_the_last_one_counts():
    raw = listing(2, endpoint("s", 1), endpoint("s", 1, "draining"), is_complete=False)
    known = {}
    parse_endpoint_list(raw).apply_to(known)
    assert known["s"].server.state == EndpointState.DRAINING
