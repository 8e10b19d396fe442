"""The errors of a supervisor and its workers."""

from __future__ import annotations

MAX_SHOWN_BYTES = 80  # of a packet in an error's text


class WorkerError(Exception):
    """Base of the errors of this package."""


class WorkerLimitsError(WorkerError, ValueError):
    """The number of workers is out of range, or the node's limits are too small for it."""

    def __init__(self, field: str, expected: str, received: int) -> None:
        """``field``: the settings key of the invalid value; ``received``: the value."""
        self.field = field
        self.expected = expected
        self.received = received
        super().__init__(f"{field}: expected {expected}, got {received}")


class PacketError(WorkerError, ValueError):
    """The other end of a worker's channel sent an invalid packet."""

    def __init__(self, expected: str, packet: bytes) -> None:
        """``packet``: the bytes received; the error's text shows the first MAX_SHOWN_BYTES."""
        self.expected = expected
        self.packet = packet
        super().__init__(f"expected {expected}, got {packet[:MAX_SHOWN_BYTES]!r}")


class ChannelClosedError(WorkerError):
    """The worker's end of its channel is closed; its process has exited or is about to."""

    def __init__(self, worker: int) -> None:
        self.worker = worker
        super().__init__(f"worker {worker}: its channel is closed")
