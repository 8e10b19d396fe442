"""The JSON form that discovery gives an endpoint list, which is also the form of a saved one."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from oakbridge.node.address import parse_address
from oakbridge.node.endpoint_list import NO_ADDRESS, EndpointList, ListedEndpoint
from oakbridge.node.errors import ConfigError, EndpointListError
from oakbridge.policy.events import Endpoint, EndpointState

US_PER_MS = 1000

JsonObject = dict[str, Any]

_STATE_BY_NAME = {
    "ready": EndpointState.UP,
    "draining": EndpointState.DRAINING,
    "gone": EndpointState.GONE,
}
_NAME_BY_STATE = {state: name for name, state in _STATE_BY_NAME.items()}


def parse_endpoint_list(raw: Any) -> EndpointList:
    """Check and return a list as a whole: half a list is no list.  Raise EndpointListError."""
    if not isinstance(raw, dict) or not isinstance(raw.get("endpoints"), list):
        raise EndpointListError("expected an object with a list of endpoints")
    index = _number(raw.get("index"), int, "index")
    try:
        endpoints = [_parse_endpoint(one) for one in raw["endpoints"]]
    except (
        OverflowError,
        ValueError,
    ) as e:  # also not-a-number and infinity, which JSON's reader lets in
        raise EndpointListError(str(e)) from None
    return EndpointList(index, bool(raw.get("snapshot", False)), endpoints)


def encode_endpoint_list(index: int, endpoints: Iterable[ListedEndpoint]) -> JsonObject:
    """Return a complete list in discovery's form."""
    return {
        "index": index,
        "snapshot": True,
        "endpoints": [_encode_endpoint(one) for one in endpoints],
    }


def _encode_endpoint(endpoint: ListedEndpoint) -> JsonObject:
    server = endpoint.server
    host, port = endpoint.address
    return {
        "name": server.id,
        "address": f"{host}:{port}",
        "zone": server.zone,
        "group": server.cell,
        "status": _NAME_BY_STATE[server.state],
        "weight": server.weight,
        "since_ms": server.started_at / US_PER_MS,
    }


def _parse_endpoint(raw: Any) -> ListedEndpoint:
    """Parse one endpoint; its start is Unix time, which the node's clock counts in as well."""
    if not isinstance(raw, dict):
        raise EndpointListError(f"endpoints: expected objects, got {raw!r:.80}")
    name, state = raw.get("name"), raw.get("status", "ready")
    if not isinstance(name, str) or not name:
        raise EndpointListError(f"name: expected a string, got {name!r:.80}")
    if not isinstance(state, str) or state not in _STATE_BY_NAME:
        raise EndpointListError(f"status: expected ready, draining or gone, got {state!r:.80}")
    since_ms = _number(raw.get("since_ms", 0), (int, float), "since_ms")
    weight = _number(raw.get("weight", 1.0), (int, float), "weight")
    cell = _number(raw.get("group", 0), int, "group")
    zone = str(raw.get("zone") or "")
    server = Endpoint(
        name, _STATE_BY_NAME[state], zone, cell, float(weight), int(since_ms * US_PER_MS)
    )
    try:
        address = parse_address(raw.get("address"))
    except ConfigError as e:
        if server.state == EndpointState.GONE:  # nothing is sent there: its address does not matter
            return ListedEndpoint(server, NO_ADDRESS)
        raise EndpointListError(f"address: {e}") from None
    server.address = f"{address[0]}:{address[1]}"
    return ListedEndpoint(server, address)


def _number(value: Any, kind: type | tuple[type, ...], what: str) -> Any:
    if isinstance(value, bool) or not isinstance(value, kind):
        raise EndpointListError(f"{what}: expected a number, got {value!r:.80}")
    return value
