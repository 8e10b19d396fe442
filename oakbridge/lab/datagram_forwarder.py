"""The switch's forwarding of members' datagrams, which links lose, duplicate and delay."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from collections import Counter
from collections.abc import Sequence

from oakbridge.lab.addresses import (
    MEMBER_PORT,
    MEMBER_SWITCH_PORT,
    NODE_NET,
    SWITCH_NET,
    Slot,
    host_address,
    host_number,
)
from oakbridge.lab.links import Links

IP_PKTINFO = 8  # Linux constant that the socket module lacks
PKTINFO = struct.Struct("=I4s4s")  # interface, local address, destination address
ANY_ADDRESS = b"\0\0\0\0"
MAX_DATAGRAMS_PER_TURN = 64
MAX_DATAGRAM_BYTES = 2048
MAX_ANCILLARY_BYTES = 128
RECEIVE_BUFFER_BYTES = 8 * 1024 * 1024


def bind_shared(kind: int, port: int) -> socket.socket:
    """Return a socket on all addresses, whose port is shared with other switch processes."""
    sock = socket.socket(socket.AF_INET, kind)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("0.0.0.0", port))
    return sock


class DatagramForwarder:
    """Receives datagrams at the receivers' switch addresses; sends them from the senders'."""

    def __init__(
        self,
        slot: Slot,
        nodes: Sequence[str],
        links: Links,
        rng: random.Random,
        counts: Counter[str],
    ) -> None:
        """``nodes``: names in the order of their numbers; ``counts``: to be updated."""
        self._slot = slot
        self._nodes = nodes
        self._links = links
        self._random = rng
        self._counts = counts
        self._socket = bind_shared(socket.SOCK_DGRAM, slot.port(MEMBER_SWITCH_PORT))

    def start(self) -> None:
        """Start to receive."""
        self._socket.setsockopt(socket.IPPROTO_IP, IP_PKTINFO, 1)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._socket.setblocking(False)
        asyncio.get_running_loop().add_reader(self._socket, self._receive)

    def _receive(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                data, ancillary, _, source = self._socket.recvmsg(
                    MAX_DATAGRAM_BYTES, MAX_ANCILLARY_BYTES
                )
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self._counts["refused"] += 1  # ICMP error about an earlier datagram
                continue
            destination = _destination(ancillary)
            if destination is not None:
                self._forward(data, host_number(source[0]), host_number(destination))

    def _forward(self, data: bytes, sender: int, receiver: int) -> None:
        node_numbers = range(len(self._nodes))
        if sender not in node_numbers or receiver not in node_numbers:
            self._counts["strangers"] += 1
            return
        self._counts["datagrams"] += 1
        self._counts["bytes"] += len(data)
        delays_us = self._links.draw_datagram_delays(
            self._nodes[sender], self._nodes[receiver], self._random
        )
        self._counts["dropped"] += not delays_us
        loop = asyncio.get_running_loop()
        for delay_us in delays_us:
            if delay_us:
                loop.call_later(delay_us / 1e6, self._send, data, sender, receiver)
            else:
                self._send(data, sender, receiver)

    def _send(self, data: bytes, sender: int, receiver: int) -> None:
        local = socket.inet_aton(host_address(SWITCH_NET, sender))
        ancillary = [(socket.IPPROTO_IP, IP_PKTINFO, PKTINFO.pack(0, local, ANY_ADDRESS))]
        address = (host_address(NODE_NET, receiver), self._slot.port(MEMBER_PORT))
        try:
            self._socket.sendmsg([data], ancillary, 0, address)
        except OSError:
            self._counts["could not send"] += 1


def _destination(ancillary: list[tuple[int, int, bytes]]) -> str | None:
    """Return the destination address of a datagram, None if it is unknown."""
    for level, kind, data in ancillary:
        if (level, kind) == (socket.IPPROTO_IP, IP_PKTINFO):
            _, _, address = PKTINFO.unpack(data[: PKTINFO.size])
            return socket.inet_ntoa(address)
    return None
