"""Loopback addresses by a host's number, and ports by the run's slot, so that runs do not collide.

A node connects to a server at the node's *own* address on the switch and the server's port there:
so the switch knows both ends of each connection.  Datagrams and connections between members go to
the receiver's address on the switch, and come from the sender's there.
"""

from __future__ import annotations

import os
import socket
from dataclasses import dataclass

SLOTS = 30
FIRST_PORT = 20_000
PORTS_PER_SLOT = 400

# Ports within a slot; those from 0 on are the servers' on the switch, by number.
SERVER_PORT = 395
CLIENT_PORT = 396
MEMBER_PORT = 397
MEMBER_SWITCH_PORT = 398
LOCK_PORT = 399

# The second byte of each kind of address.
NODE_NET = 66
SWITCH_NET = 67
SERVER_NET = 68


def host_address(net: int, number: int) -> str:
    """Return the address of a host number, from 0, in one of the nets."""
    return f"127.{net}.{(number + 1) >> 8}.{(number + 1) & 255}"


def host_number(address: str) -> int:
    """Return the host number of an address that :func:`host_address` made."""
    parts = address.split(".")
    return (int(parts[2]) << 8) + int(parts[3]) - 1


@dataclass(frozen=True, slots=True)
class Slot:
    """The block of ports of one run."""

    base: int

    def port(self, which: int) -> int:
        """Return the number of one of its ports."""
        return self.base + which


class NoFreeSlotError(Exception):
    """All slots are taken."""


def claim_slot() -> tuple[Slot, socket.socket]:
    """Return a slot, and the socket that holds it for as long as it is open.

    Raise NoFreeSlotError where all are taken.
    """
    for offset in range(SLOTS):
        slot = Slot(FIRST_PORT + PORTS_PER_SLOT * ((os.getpid() + offset) % SLOTS))
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
