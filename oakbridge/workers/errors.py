"""What can go wrong between a supervisor and its workers."""

from __future__ import annotations

MAX_SHOWN_BYTES = 80  # of a packet, in an error's text


class WorkerError(Exception):
    """Base of the errors of this package."""


class WorkerLimitsError(WorkerError, ValueError):
    """The limits of a node can't be divided among so many workers."""

    def __init__(self, field: str, expected: str, received: int) -> None:
        """``field``: the setting that is too small or too large."""
        self.field = field
        self.expected = expected
        self.received = received
        super().__init__(f"{field}: expected {expected}, got {received}")


class PacketError(WorkerError, ValueError):
    """The other end of a worker's channel sent a packet that can't be used."""

    def __init__(self, expected: str, packet: bytes) -> None:
        """``packet``: as it came; the text shows its beginning."""
        self.expected = expected
        self.packet = packet
        super().__init__(f"expected {expected}, got {packet[:MAX_SHOWN_BYTES]!r}")


class ChannelClosedError(WorkerError):
    """The worker's end of its channel is closed; its process has ended or is about to."""

    def __init__(self, worker: int) -> None:
        self.worker = worker
        super().__init__(f"worker {worker}: its channel is closed")
