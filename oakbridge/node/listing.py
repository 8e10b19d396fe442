"""A list of servers as a node takes it, from whatever source, and the form that discovery gives it."""

from __future__ import annotations

import ipaddress
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from oakbridge.policy.events import Endpoint, EndpointState

PIECE = 500  # servers of a list that are taken in one turn of the loop: 1 to 2 ms

Address = tuple[str, int]
Raw = dict[str, Any]
NOWHERE: Address = ("0.0.0.0", 0)

_STATE = {"ready": EndpointState.UP, "draining": EndpointState.DRAINING, "gone": EndpointState.GONE}


class ConfigError(ValueError):
    """The configuration can't be used; the text is one line that says why."""


class BadList(ValueError):
    """A list of servers that can't be used."""


@dataclass(frozen=True, slots=True)
class Entry:
    """One server as listed, and where it listens."""

    server: Endpoint
    address: Address


@dataclass(frozen=True, slots=True)
class Listing:
    """A version of the list, or what changed up to it."""

    index: int
    whole: bool
    entries: list[Entry]

    def put_into(self, known: dict[str, Entry]) -> None:
        """Bring what is known, by name, up to this version."""
        if self.whole:
            known.clear()
        for entry in self.entries:
            if entry.server.state == EndpointState.GONE:
                known.pop(entry.server.id, None)
            else:
                known[entry.server.id] = entry


def pieces(listing: Listing, known: Collection[str]) -> list[Listing]:
    """A long list as changes that are taken one after another, so that none holds the loop up; a short one as it is.

    ``known``: the names of all servers that are listed so far.  What is gone or drains comes first, as nothing may be
    sent there a quarter of a second later, however many others there are to take.
    """
    gone, named = list[Entry](), {entry.server.id: entry for entry in listing.entries}
    if len(named) <= PIECE and (not listing.whole or len(known) <= PIECE):
        return [listing]
    if listing.whole:
        gone = [Entry(Endpoint(name, EndpointState.GONE), NOWHERE) for name in known if name not in named]
    gone += [entry for entry in named.values() if entry.server.state != EndpointState.UP]
    changes = gone + [entry for entry in named.values() if entry.server.state == EndpointState.UP]
    return [
        Listing(listing.index, False, changes[start : start + PIECE])
        for start in range(0, len(changes), PIECE)
    ]


class Listener(Protocol):
    """Who is told of lists: the node."""

    def prepare(self, entries: Iterable[Entry]) -> None:
        """Make ready for servers that the next listing may name; nothing is sent to them yet."""

    def listed(self, listing: Listing, saved: bool = False) -> None:
        """Keep to a list from now on."""

    def lost_watch(self, waited: int = 0, stale: int = 0) -> None:
        """A call failed that waited so long for an answer, or (0) a watch that was on broke; the list stays.

        ``stale``: how long ago it was last known to be up to date.
        """


class Source(Protocol):
    """Where a node's list of servers comes from."""

    def tell(self, listener: Listener) -> None:
        """Name who is told, once and before the start; a list that is known already is told in here."""

    def start(self) -> None:
        """Begin to tell of lists."""

    def watch(self, on: bool) -> None:
        """Begin to watch, or leave off, where the module has to ask."""

    def fetch(self) -> None:
        """Tell the whole list once."""

    def stop(self) -> None:
        """Tell nothing more."""


def parse_address(text: object) -> Address:
    """``host:port`` with a numeric IPv4 host: there are no names to look up."""
    host, _, port = str(text).rpartition(":")
    try:
        number = int(port)
        ipaddress.IPv4Address(host)
    except ValueError:
        raise ConfigError(f"expected an IPv4 address and a port, got {text!r:.80}") from None
    if not 0 <= number < 65536:
        raise ConfigError(f"expected a port below 65536, got {text!r:.80}")
    return host, number


def _number(value: Any, kind: type | tuple[type, ...], what: str) -> Any:
    if isinstance(value, bool) or not isinstance(value, kind):
        raise BadList(f"{what}: expected a number, got {value!r:.80}")
    return value


def _entry(raw: Any) -> Entry:
    """One entry; its start is Unix time, which the node's clock counts in as well."""
    if not isinstance(raw, dict):
        raise BadList(f"endpoints: expected objects, got {raw!r:.80}")
    name, state = raw.get("name"), raw.get("status", "ready")
    if not isinstance(name, str) or not name:
        raise BadList(f"name: expected a string, got {name!r:.80}")
    if not isinstance(state, str) or state not in _STATE:
        raise BadList(f"status: expected ready, draining or gone, got {state!r:.80}")
    since = _number(raw.get("since_ms", 0), (int, float), "since_ms")
    weight = _number(raw.get("weight", 1.0), (int, float), "weight")
    cell = _number(raw.get("group", 0), int, "group")
    listed = Endpoint(name, _STATE[state], str(raw.get("zone") or ""), cell, float(weight), int(since * 1000))
    try:
        address = parse_address(raw.get("address"))
    except ConfigError as e:
        if listed.state == EndpointState.GONE:  # nothing is sent there: its address does not matter
            return Entry(listed, NOWHERE)
        raise BadList(f"address: {e}") from None
    listed.address = f"{address[0]}:{address[1]}"
    return Entry(listed, address)


def as_raw(index: int, entries: Iterable[Entry]) -> Raw:
    """Entries in discovery's form."""
    states = {state: name for name, state in _STATE.items()}
    endpoints = [
        {"name": e.server.id, "address": f"{e.address[0]}:{e.address[1]}", "zone": e.server.zone,
         "group": e.server.cell, "status": states[e.server.state], "weight": e.server.weight,
         "since_ms": e.server.started_at / 1000}
        for e in entries
    ]  # fmt: skip
    return {"index": index, "snapshot": True, "endpoints": endpoints}


def parse(raw: Any) -> Listing:
    """An answer, or the configuration's ``known``, checked as a whole: half a list is no list."""
    if not isinstance(raw, dict) or not isinstance(raw.get("endpoints"), list):
        raise BadList("expected an object with a list of endpoints")
    index = _number(raw.get("index"), int, "index")
    try:
        entries = [_entry(e) for e in raw["endpoints"]]
    except (OverflowError, ValueError) as e:  # also not-a-number and infinity, which JSON's reader lets in
        raise BadList(str(e)) from None
    return Listing(index, bool(raw.get("snapshot", False)), entries)
