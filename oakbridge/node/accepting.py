"""Accepts one connection on a listening socket, and classifies failures of accept()."""

from __future__ import annotations

import logging
import socket
from dataclasses import dataclass
from enum import Enum

from oakbridge.node.system_errors import is_connection_error

log = logging.getLogger(__name__)

# Delay before accept() is retried after an error of the process or the system.  It is short, as the
# timeouts of clients in the kernel's accept queue are running.
ACCEPT_RETRY_US = 20_000


class AcceptStatus(Enum):
    """The result of one accept()."""

    ACCEPTED = "accepted"
    QUEUE_EMPTY = "queue empty"
    CONNECTION_FAILED = "connection failed"  # the next connection in the queue may be accepted
    UNAVAILABLE = "unavailable"  # transient error of the process or the system


@dataclass(frozen=True, slots=True)
class AcceptResult:
    """The result of one accept(); ``connection`` is set if the status is ACCEPTED."""

    status: AcceptStatus
    connection: socket.socket | None = None


_EMPTY = AcceptResult(AcceptStatus.QUEUE_EMPTY)
_CONNECTION_FAILED = AcceptResult(AcceptStatus.CONNECTION_FAILED)
_UNAVAILABLE = AcceptResult(AcceptStatus.UNAVAILABLE)


class AcceptFailureLog:
    """Logs the first of a series of failures, and the success that ends the series."""

    def __init__(self) -> None:
        self._failure_count = 0

    def on_failure(self, error: OSError) -> None:
        """Count a failure, and log it if it is the first of a series."""
        if not self._failure_count:
            log.warning("accept failed; retrying: error=%s", error)
        self._failure_count += 1

    def on_success(self) -> None:
        """Log the end of a series of failures, and reset the count."""
        if self._failure_count:
            log.info("accept succeeded after failures: failures=%d", self._failure_count)
            self._failure_count = 0


def accept(listening: socket.socket, failures: AcceptFailureLog) -> AcceptResult:
    """Accept one connection.  Raises no OSError: the status of the result tells of a failure."""
    try:
        connection, _ = listening.accept()
    except (BlockingIOError, InterruptedError):
        return _EMPTY
    except OSError as error:
        failures.on_failure(error)
        return _CONNECTION_FAILED if is_connection_error(error) else _UNAVAILABLE
    failures.on_success()
    return AcceptResult(AcceptStatus.ACCEPTED, connection)
