"""One worker process, with the supervisor's end of the channel to it."""

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

# A worker that receives one of these commands sends itself the signal, which has the same effect.
_SIGNAL_FOR_COMMAND = {
    SupervisorCommand.SHUT_DOWN: signal.SIGTERM,
    SupervisorCommand.RELOAD: signal.SIGHUP,
}

# Returns the command line of a worker, given its number and the descriptor of its channel's end.
CommandLine = Callable[[int, int], Sequence[str]]


class WorkerProcess:
    """A running process, its channel and its unacknowledged connections; owns all three."""

    def __init__(
        self, worker: int, process: asyncio.subprocess.Process, channel: socket.socket
    ) -> None:
        self.worker = worker
        self.channel = channel  # the supervisor adds it to the event loop
        self.unacknowledged = UnacknowledgedConnections[socket.socket]()
        self._process = process

    @classmethod
    async def start(cls, worker: int, command_line: CommandLine) -> WorkerProcess:
        """Start a worker's process.  Raises OSError."""
        supervisor_end, worker_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        supervisor_end.setblocking(False)
        try:
            process = await asyncio.create_subprocess_exec(
                *command_line(worker, worker_end.fileno()),
                pass_fds=[worker_end.fileno()],
                stdin=asyncio.subprocess.DEVNULL,
            )
        except OSError:
            supervisor_end.close()
            raise
        finally:
            worker_end.close()
        return cls(worker, process, supervisor_end)

    def receive(self) -> WorkerMessage | None:
        """Receive one message; return None if none is queued.

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
        """Send a command, as a signal if the channel fails; return False if neither is possible."""
        try:
            socket.send_fds(self.channel, [encode_command(command)], list(descriptors))
        except OSError as error:  # the worker is frozen with a full queue, or has just exited
            log.warning("sending to a worker failed: worker=%d error=%s", self.worker, error)
            return self._signal_instead(command)
        return True

    def _signal_instead(self, command: SupervisorCommand) -> bool:
        """Send the signal for a command; return False if the command has none.

        The kernel keeps a signal to a frozen process until it continues; a command that could not
        be sent is lost.
        """
        signal_number = _SIGNAL_FOR_COMMAND.get(command)
        if signal_number is None:
            return False
        with suppress(ProcessLookupError):
            self._process.send_signal(signal_number)
        return True

    def send_connection(self, connection: socket.socket) -> bool:
        """Send a connection, and keep it until the worker acknowledges it.

        Returns False if it could not be sent; the connection is then still owned by the caller.
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
        """Kill the process if it has not exited."""
        with suppress(ProcessLookupError):
            self._process.kill()

    async def wait(self) -> int:
        """Wait for the process and return its exit code; negative: the signal that killed it."""
        return await self._process.wait()

    def close(self) -> None:
        """Close the channel and the unacknowledged connections."""
        self.channel.close()
        for connection in self.unacknowledged.take_all():
            connection.close()


def describe_exit(exit_code: int) -> str:
    """Return a readable reason of a process's exit; ``exit_code``: from ``WorkerProcess.wait``."""
    return f"exit code {exit_code}" if exit_code >= 0 else signal.Signals(-exit_code).name
