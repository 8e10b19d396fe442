"""Options of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass

from oakbridge.peers.codec import NEWEST_VERSION

SECOND_US = 1_000_000
HOUR_US = 3_600 * SECOND_US


@dataclass(frozen=True, slots=True)
class ProtocolOptions:
    """Intervals, timeouts and sizes of the protocol, with the defaults of a node."""

    probe_interval_us: int = 500_000
    probe_timeout_us: int = 200_000  # without an acknowledgement, helpers are asked to probe
    indirect_probes: int = 3  # number of helpers
    gossip_interval_us: int = 200_000  # while records are queued
    gossip_fanout: int = 3
    push_pull_interval_us: int = 30 * SECOND_US  # longer in proportion beyond 64 members
    reconnect_interval_us: int = 4 * SECOND_US  # each retries one failed member or unknown seed
    forget_after_us: int = 24 * HOUR_US  # time after which failed and left members are forgotten
    max_members: int = 10_000  # including failed and left ones
    local_health: bool = True
    max_version: int = NEWEST_VERSION
