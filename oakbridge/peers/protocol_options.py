"""What can be set about the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass

from oakbridge.peers.codec import NEWEST_VERSION

SECOND_US = 1_000_000
HOUR_US = 3_600 * SECOND_US


@dataclass(frozen=True, slots=True)
class ProtocolOptions:
    """Intervals, time-outs and sizes of the protocol; the defaults are the program's."""

    probe_interval_us: int = 500_000
    probe_timeout_us: int = 200_000  # until other members are asked to probe
    indirect_probes: int = 3  # so many other members
    gossip_interval_us: int = 200_000  # while there is anything to tell
    gossip_fanout: int = 3
    push_pull_interval_us: int = 30 * SECOND_US  # rarer in proportion beyond 64 members
    reconnect_interval_us: int = 4 * SECOND_US  # one failed member is tried again
    forget_after_us: int = 24 * HOUR_US  # members that failed or left
    max_members: int = 10_000  # those that failed or left included
    local_health: bool = True
    max_version: int = NEWEST_VERSION
