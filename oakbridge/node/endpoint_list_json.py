"""The JSON form of an endpoint list, as discovery sends it and as it is saved."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any

from oakbridge.node.address import MAX_PORT, Address, parse_address
from oakbridge.node.endpoint_list import NO_ADDRESS, EndpointList, ListedEndpoint
from oakbridge.node.errors import ConfigError, EndpointListError
from oakbridge.policy.events import Endpoint, EndpointState

US_PER_MS = 1000
MAX_VERSION = 2**63 - 1
MAX_NAME_LENGTH = 1024
MAX_WEIGHT = 1e12
MAX_SINCE_MS = 2**53  # Unix time; about 285,000 years after 1970

JsonObject = dict[str, Any]

_STATE_BY_NAME = {
    "ready": EndpointState.UP,
    "draining": EndpointState.DRAINING,
    "gone": EndpointState.REMOVED,
}
_NAME_BY_STATE = {state: name for name, state in _STATE_BY_NAME.items()}


def parse_endpoint_list(raw: Any) -> EndpointList:
    """Parse a list; raise EndpointListError if any part of it is invalid."""
    if not isinstance(raw, dict) or not isinstance(raw.get("endpoints"), list):
        raise EndpointListError("expected an object with a list of endpoints")
    version = _number(raw.get("index"), int, "index")
    if not 0 <= version <= MAX_VERSION:
        raise EndpointListError(
            f"index: expected a number from 0 to {MAX_VERSION}, got {version!r:.80}"
        )
    endpoints = [_parse_endpoint(entry, number) for number, entry in enumerate(raw["endpoints"])]
    new = EndpointList(version, bool(raw.get("snapshot", False)), endpoints)
    if new.complete:
        _check_names_are_unique(new)
    return new


def _check_names_are_unique(new: EndpointList) -> None:
    """Raise EndpointListError if a complete list names a server twice; changes may."""
    names = Counter(endpoint.server.id for endpoint in new.endpoints)
    if len(names) < len(new.endpoints):
        [(name, count)] = names.most_common(1)
        raise EndpointListError(
            f"endpoints: expected each name once, got {name!r:.80} {count} times"
        )


def encode_endpoint_list(version: int, endpoints: Iterable[ListedEndpoint]) -> JsonObject:
    """Return a complete list in discovery's JSON form."""
    return {
        "index": version,
        "snapshot": True,
        "endpoints": [_encode_endpoint(endpoint) for endpoint in endpoints],
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


def _parse_endpoint(raw: Any, number: int) -> ListedEndpoint:
    """Parse one endpoint; ``since_ms``, its start, is Unix time, like the node's clock."""
    place = f"endpoints[{number}]"
    if not isinstance(raw, dict):
        raise EndpointListError(f"{place}: expected an object, got {raw!r:.80}")
    name, state = raw.get("name"), raw.get("status", "ready")
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_LENGTH or not name.isprintable():
        expected = f"expected a printable text of 1 to {MAX_NAME_LENGTH} characters"
        raise EndpointListError(f"{place}.name: {expected}, got {name!r:.80}")
    if not isinstance(state, str) or state not in _STATE_BY_NAME:
        raise EndpointListError(
            f"{place}.status: expected ready, draining or gone, got {state!r:.80}"
        )
    since_ms = _number(raw.get("since_ms", 0), (int, float), f"{place}.since_ms")
    if not abs(since_ms) <= MAX_SINCE_MS:  # written so that NaN fails, too
        raise EndpointListError(
            f"{place}.since_ms: expected milliseconds of Unix time, got {since_ms!r:.80}"
        )
    weight = _number(raw.get("weight", 1.0), (int, float), f"{place}.weight")
    if not 0 <= weight <= MAX_WEIGHT:  # written so that NaN fails, too
        raise EndpointListError(
            f"{place}.weight: expected a number from 0 to {MAX_WEIGHT:.0f}, got {weight!r:.80}"
        )
    cell = _number(raw.get("group", 0), int, f"{place}.group")
    zone = str(raw.get("zone") or "")
    server = Endpoint(
        name, _STATE_BY_NAME[state], zone, cell, float(weight), int(since_ms * US_PER_MS)
    )
    try:
        address = _parse_server_address(raw.get("address"))
    except ConfigError as error:
        if server.state == EndpointState.REMOVED:  # nothing is sent there, so it needs no address
            return ListedEndpoint(server, NO_ADDRESS)
        raise EndpointListError(f"{place}.address: {error}") from None
    server.address = f"{address[0]}:{address[1]}"
    return ListedEndpoint(server, address)


def _parse_server_address(text: object) -> Address:
    address = parse_address(text)
    if not address[1]:
        raise ConfigError(f"expected a port from 1 to {MAX_PORT}, got {text!r:.80}")
    return address


def _number(value: Any, kind: type | tuple[type, ...], place: str) -> Any:
    if isinstance(value, bool) or not isinstance(value, kind):
        raise EndpointListError(f"{place}: expected a number, got {value!r:.80}")
    return value
