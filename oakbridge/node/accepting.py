"""One accept() on a listening socket, and what its failures mean."""

from __future__ import annotations

import logging
import socket
from dataclasses import dataclass
from enum import Enum

from oakbridge.node.system_errors import is_connection_error

log = logging.getLogger(__name__)

# After a failure of the process or the system: until accept() is tried again.  Who waits in the
# kernel's queue is owed a response, and its time runs.
ACCEPT_RETRY_US = 20_000


class AcceptStatus(Enum):
    """What became of one accept()."""

    ACCEPTED = "accepted"
    QUEUE_EMPTY = "queue empty"
    CONNECTION_FAILED = "connection failed"  # that connection is gone; the next one may be good
    UNAVAILABLE = "unavailable"  # nothing can be accepted for a moment


@dataclass(frozen=True, slots=True)
class AcceptResult:
    """The outcome of one accept(); ``connection`` is set where the status is ACCEPTED."""

    status: AcceptStatus
    connection: socket.socket | None = None


_EMPTY = AcceptResult(AcceptStatus.QUEUE_EMPTY)
_CONNECTION_FAILED = AcceptResult(AcceptStatus.CONNECTION_FAILED)
_UNAVAILABLE = AcceptResult(AcceptStatus.UNAVAILABLE)


class AcceptFailureLog:
    """Logs the first failure of a series, and its end."""

    def __init__(self) -> None:
        self._failures = 0

    def on_failure(self, error: OSError) -> None:
        """Count a failure, and log the first of a series."""
        if not self._failures:
            log.warning("accept fails and is tried again: %s", error)
        self._failures += 1

    def on_success(self) -> None:
        """End a series of failures."""
        if self._failures:
            log.info("accept succeeds again: failures=%d", self._failures)
            self._failures = 0


def accept(listening: socket.socket, failures: AcceptFailureLog) -> AcceptResult:
    """Accept one connection; raises nothing."""
    try:
        connection, _ = listening.accept()
    except (BlockingIOError, InterruptedError):
        return _EMPTY
    except OSError as error:
        failures.on_failure(error)
        return _CONNECTION_FAILED if is_connection_error(error) else _UNAVAILABLE
    failures.on_success()
    return AcceptResult(AcceptStatus.ACCEPTED, connection)
