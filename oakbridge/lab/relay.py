"""Relayed connections of the switch: each pairs a connection from a node with one to its target."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Protocol

from oakbridge.lab.links import Links

CONNECT_RETRY_S = 0.1  # while the link is cut, like the retransmission of a SYN
EOF_RETRY_S = 0.01  # while delayed data is still to be written
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for 0 s


@dataclass(frozen=True, slots=True)
class Route:
    """The hosts at both ends of a connection, and the address at which the target listens."""

    source: str
    target: str
    address: tuple[str, int]


class Router(Protocol):
    """Finds the route of a connection by its local and remote addresses at the switch."""

    def __call__(self, local: str, remote: str) -> Route | None:
        """Return the route, None if an address belongs to no host."""


@dataclass(slots=True)
class RelayGroup:
    """All relays of one switch process, with the links and the counts that they share."""

    links: Links
    counts: Counter[str]
    relays: set[Relay] = field(default_factory=set)

    def apply_links(self) -> None:
        """Pause or resume reading according to the current state of the links."""
        for relay in self.relays:
            relay.apply_links()

    def reset_to(self, targets: set[str]) -> None:
        """Reset all connections to these target hosts."""
        for relay in [relay for relay in self.relays if relay.target in targets]:
            relay.reset()


class RelayEnd(asyncio.Protocol):
    """One of the two connections of a relay."""

    def __init__(self, relay: Relay) -> None:
        """``relay``: the relay that this end belongs to."""
        self.transport: asyncio.Transport | None = None  # None: not open yet, or closed
        self.is_peer_full = False  # whether the other end's write buffer is full
        self.delayed_chunks = 0
        self._relay = relay

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to relay."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._relay.end_opened(self)

    def data_received(self, data: bytes) -> None:
        """Forward the data to the other end."""
        self._relay.forward(self, data)

    def eof_received(self) -> bool:
        """Forward the EOF; return True to keep the other direction open."""
        self._relay.forward_eof(self)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other end."""
        self.transport = None
        self._relay.end_lost(self, exc)

    def pause_writing(self) -> None:
        """Stop reading at the other end."""
        self._relay.other(self).is_peer_full = True
        self._relay.apply_links()

    def resume_writing(self) -> None:
        """Resume reading at the other end."""
        self._relay.other(self).is_peer_full = False
        self._relay.apply_links()


class Relay:
    """A connection from a node and the one to its target, with the faults of their links."""

    def __init__(self, group: RelayGroup, find_route: Router) -> None:
        """``find_route``: returns the route for the addresses of the node's connection."""
        self.source = ""
        self.target = ""
        self.front = RelayEnd(self)  # the connection from the node
        self.back = RelayEnd(self)  # the connection to the target
        self._group = group
        self._find_route = find_route
        self._early_data: list[bytes] = []  # data received before the back is open
        self._has_early_eof = False
        self._connecting: asyncio.Task[None] | None = None

    def other(self, end: RelayEnd) -> RelayEnd:
        """Return the other end."""
        return self.back if end is self.front else self.front

    def end_opened(self, end: RelayEnd) -> None:
        """Connect the back when the front opens; send the early data when the back opens."""
        if end is self.front:
            self._open_back()
        else:
            self._send_early()
            self.apply_links()

    def _open_back(self) -> None:
        transport = self.front.transport
        assert transport is not None
        local, remote = (transport.get_extra_info(key)[0] for key in ("sockname", "peername"))
        route = self._find_route(local, remote)
        if route is None:
            transport.abort()
            return
        self.source, self.target = route.source, route.target
        self._group.counts["connections"] += 1
        self._group.relays.add(self)
        loop = asyncio.get_running_loop()
        self._connecting = loop.create_task(self._connect(route.address))

    async def _connect(self, address: tuple[str, int]) -> None:
        while self._group.links.link(self.source, self.target).is_cut:  # noqa: ASYNC110
            await asyncio.sleep(CONNECT_RETRY_S)
        try:
            await asyncio.get_running_loop().create_connection(lambda: self.back, *address)
        except OSError:
            self.reset()

    def _send_early(self) -> None:
        for data in self._early_data:
            self._write(self.back, data)
        self._early_data.clear()
        if self._has_early_eof and self.back.transport is not None:
            with suppress(OSError):  # the connection may be closed already
                self.back.transport.write_eof()

    def forward(self, end: RelayEnd, data: bytes) -> None:
        """Forward data received at one end to the other, after the link's delay."""
        is_front = end is self.front
        sender, receiver = (self.source, self.target) if is_front else (self.target, self.source)
        link = self._group.links.link(sender, receiver)
        self._group.counts["bytes relayed"] += len(data)
        if link.delay_us:
            end.delayed_chunks += 1
            loop = asyncio.get_running_loop()
            loop.call_later(link.delay_us / 1e6, self._forward_delayed, end, data)
        else:
            self._write(self.other(end), data)

    def _forward_delayed(self, end: RelayEnd, data: bytes) -> None:
        end.delayed_chunks -= 1
        self._write(self.other(end), data)

    def _write(self, end: RelayEnd, data: bytes) -> None:
        if end.transport is not None:
            end.transport.write(data)
        elif end is self.back:
            self._early_data.append(data)

    def forward_eof(self, end: RelayEnd) -> None:
        """Write EOF at the other end, after all delayed data."""
        other = self.other(end)
        if end.delayed_chunks:
            asyncio.get_running_loop().call_later(EOF_RETRY_S, self.forward_eof, end)
        elif other.transport is not None:
            if other.transport.can_write_eof() and not other.transport.is_closing():
                other.transport.write_eof()
        elif other is self.back:
            self._has_early_eof = True

    def end_lost(self, end: RelayEnd, exc: Exception | None) -> None:
        """Close the other end; reset it if this end was reset."""
        self._group.relays.discard(self)
        transport = self.other(end).transport
        if transport is not None:
            if exc is not None:
                transport.abort()
            else:
                transport.close()
        elif end is self.front and self._connecting is not None:
            self._connecting.cancel()

    def reset(self) -> None:
        """Reset both ends."""
        self._group.relays.discard(self)
        for end in (self.front, self.back):
            if end.transport is not None:
                sock = end.transport.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                end.transport.abort()

    def apply_links(self) -> None:
        """Read at each end only while its link is not cut and the other end can write."""
        directions = (
            (self.front, self.source, self.target),
            (self.back, self.target, self.source),
        )
        for end, sender, receiver in directions:
            if end.transport is None or end.transport.is_closing():
                continue
            is_blocked = end.is_peer_full or self._group.links.link(sender, receiver).is_cut
            if is_blocked and end.transport.is_reading():
                end.transport.pause_reading()
            elif not is_blocked and not end.transport.is_reading():
                end.transport.resume_reading()
