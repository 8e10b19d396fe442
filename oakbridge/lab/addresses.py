"""Loopback addresses by host number, and ports by slot; concurrent runs use different slots.

A node connects to a server at the node's *own* address on the switch and the server's port there,
which tells the switch both ends of the connection.  Datagrams and connections between members go
to the receiver's address on the switch, and come from the sender's address there.
"""

from __future__ import annotations

import os
import socket
from dataclasses import dataclass

SLOTS = 30
FIRST_PORT = 20_000
PORTS_PER_SLOT = 400

# Port numbers within a slot.  Those from 0 are the servers' ports on the switch, by server number.
SERVER_PORT = 395
CLIENT_PORT = 396
MEMBER_PORT = 397
MEMBER_SWITCH_PORT = 398
LOCK_PORT = 399

# The second byte of the addresses of nodes, of the switch and of servers.
NODE_NET = 66
SWITCH_NET = 67
SERVER_NET = 68


def host_address(net: int, number: int) -> str:
    """Return a host's address in one of the nets; host numbers start at 0."""
    return f"127.{net}.{(number + 1) >> 8}.{(number + 1) & 255}"


def host_number(address: str) -> int:
    """Return the host number of an address that :func:`host_address` has returned."""
    parts = address.split(".")
    return (int(parts[2]) << 8) + int(parts[3]) - 1


@dataclass(frozen=True, slots=True)
class Slot:
    """A block of ports, used by one run."""

    base: int

    def port(self, offset: int) -> int:
        """Return the port number at an offset in the block."""
        return self.base + offset


class NoFreeSlotError(Exception):
    """All slots are taken."""


def claim_slot() -> tuple[Slot, socket.socket]:
    """Return a free slot, and a socket that reserves the slot until it is closed.

    Raises NoFreeSlotError if all slots are taken.
    """
    for attempt in range(SLOTS):
        slot = Slot(FIRST_PORT + PORTS_PER_SLOT * ((os.getpid() + attempt) % SLOTS))
        lock = socket.socket()
        try:
            lock.bind(("127.0.0.1", slot.port(LOCK_PORT)))
            lock.listen(1)
            return slot, lock
        except OSError:
            lock.close()
    raise NoFreeSlotError(
        f"expected one of {SLOTS} blocks of ports from {FIRST_PORT} on to be free"
    )
