"""Events that a member's sockets count."""

from __future__ import annotations

from enum import StrEnum


class ServiceCounter(StrEnum):
    """Counted datagrams and exchanges; the values are keys in the JSON of ``oakbridge peers``."""

    RECEIVED = "received"
    RECEIVED_BYTES = "bytes received"
    SENT = "sent"
    SENT_BYTES = "bytes sent"
    SEND_FAILED = "could not send"
    ICMP_REFUSED = "refused"
    PUSH_PULL_BYTES = "bytes exchanged"
    PUSH_PULLS_REFUSED = "exchanges refused"
    PUSH_PULLS_BROKEN = "exchanges broken"
