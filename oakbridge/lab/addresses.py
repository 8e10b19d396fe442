"""Who is where: loopback addresses by number, ports by the run's slot, so that runs don't meet.

A node dials a server at its *own* address on the switch and the server's port there: so the switch knows both ends of
each connection without a word in between.  Datagrams and full exchanges go to the other's address on the switch, and
come from the sender's there.
"""

from __future__ import annotations

import os
import socket
from dataclasses import dataclass

SLOTS, FIRST_PORT, PORTS = 30, 20_000, 400
MEMBER_SWITCH, MEMBER, CALLERS, SERVER, LOCK = 398, 397, 396, 395, 399
NODE_NET, SWITCH_NET, SERVER_NET = 66, 67, 68


def host(net: int, number: int) -> str:
    """The address of number (from 0) in one of the nets."""
    return f"127.{net}.{(number + 1) >> 8}.{(number + 1) & 255}"


def number_of(address: str) -> int:
    """The reverse of :func:`host`."""
    parts = address.split(".")
    return (int(parts[2]) << 8) + int(parts[3]) - 1


@dataclass(frozen=True, slots=True)
class Slot:
    """The ports of one run."""

    base: int

    def port(self, which: int) -> int:
        """One of them."""
        return self.base + which


class NoSlot(Exception):
    """All are taken."""


def claim() -> tuple[Slot, socket.socket]:
    """A slot, and the socket that holds it for as long as it is open.  Raises :class:`NoSlot`."""
    for turn in range(SLOTS):
        slot = Slot(FIRST_PORT + PORTS * ((os.getpid() + turn) % SLOTS))
        lock = socket.socket()
        try:
            lock.bind(("127.0.0.1", slot.port(LOCK)))
            lock.listen(1)
            return slot, lock
        except OSError:
            lock.close()
    raise NoSlot(f"expected one of {SLOTS} blocks of ports from {FIRST_PORT} on to be free")
