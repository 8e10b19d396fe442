"""One run of a worker's process, with the supervisor's end of the channel to it."""

from __future__ import annotations

import asyncio
import logging
import signal
import socket
from collections.abc import Callable, Sequence
from contextlib import suppress

from oakbridge.workers.errors import ChannelClosedError
from oakbridge.workers.messages import (
    MAX_PACKET_BYTES,
    SupervisorCommand,
    WorkerMessage,
    decode_message,
    encode_command,
)
from oakbridge.workers.unacknowledged import UnacknowledgedConnections

log = logging.getLogger(__name__)

# The signals that a worker sends itself where one of these commands arrives.
_SIGNALS = {
    SupervisorCommand.SHUT_DOWN: signal.SIGTERM,
    SupervisorCommand.RELOAD: signal.SIGHUP,
}

# Returns the command line of a worker, by its number and the descriptor of its end of the channel.
CommandLine = Callable[[int, int], Sequence[str]]


class WorkerProcess:
    """A process that runs, its channel, and the connections that it has not acknowledged.

    It owns all three.
    """

    def __init__(
        self, worker: int, process: asyncio.subprocess.Process, channel: socket.socket
    ) -> None:
        self.worker = worker
        self.channel = channel  # for the event loop to watch
        self.unacknowledged = UnacknowledgedConnections[socket.socket]()
        self._process = process

    @classmethod
    async def start(cls, worker: int, command_line: CommandLine) -> WorkerProcess:
        """Start a worker's process.  Raises OSError."""
        ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        ours.setblocking(False)
        try:
            process = await asyncio.create_subprocess_exec(
                *command_line(worker, theirs.fileno()),
                pass_fds=[theirs.fileno()],
                stdin=asyncio.subprocess.DEVNULL,
            )
        except OSError:
            ours.close()
            raise
        finally:
            theirs.close()
        return cls(worker, process, ours)

    def receive(self) -> WorkerMessage | None:
        """Read one message; None if there is none now.

        Raises PacketError or ChannelClosedError.
        """
        try:
            packet = self.channel.recv(MAX_PACKET_BYTES)
        except BlockingIOError:
            return None
        except OSError:
            packet = b""
        if not packet:
            raise ChannelClosedError(self.worker)
        return decode_message(packet)

    def send(self, command: SupervisorCommand, descriptors: Sequence[int] = ()) -> bool:
        """Send a command; return False where the worker takes none."""
        try:
            socket.send_fds(self.channel, [encode_command(command)], list(descriptors))
        except OSError as e:  # it is frozen and its queue is full, or it has just died
            log.warning("worker %d takes nothing: %s", self.worker, e)
            return self._signal_instead(command)
        return True

    def _signal_instead(self, command: SupervisorCommand) -> bool:
        """Have a command take effect by a signal, if it can; return whether it does.

        A signal waits for a process that is frozen, as a command that was not sent would not.
        """
        number = _SIGNALS.get(command)
        if number is None:
            return False
        with suppress(ProcessLookupError):
            self._process.send_signal(number)
        return True

    def send_connection(self, connection: socket.socket) -> bool:
        """Send a connection, and keep it until the worker acknowledges it.

        Return False where the worker takes none; the connection is then still the caller's.
        """
        if not self.send(SupervisorCommand.SERVE_CONNECTION, [connection.fileno()]):
            return False
        self.unacknowledged.add(connection)
        return True

    def acknowledge(self, received_connections: int) -> None:
        """Close the supervisor's copies of the connections that the worker has received."""
        for connection in self.unacknowledged.acknowledge(received_connections):
            connection.close()

    def kill(self) -> None:
        """End the process at once, if it has not ended."""
        with suppress(ProcessLookupError):
            self._process.kill()

    async def wait(self) -> int:
        """Return the exit code once the process has ended; negative: the signal that ended it."""
        return await self._process.wait()

    def close(self) -> None:
        """Close the channel and the connections that were not acknowledged."""
        self.channel.close()
        for connection in self.unacknowledged.take_all():
            connection.close()


def describe_exit(code: int) -> str:
    """Return how a process ended, for people; ``code`` as ``wait`` returns it."""
    return f"exit code {code}" if code >= 0 else signal.Signals(-code).name
