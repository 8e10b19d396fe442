"""The supervisor of several worker processes on one port: run them, and dispatch connections.

It carries out what the state machines decide: ``pool`` which workers run, ``connection_balancer``
which of them gets a connection.
"""

from __future__ import annotations

import asyncio
import logging
import signal
import socket
import time
from collections import deque
from collections.abc import Iterator, Sequence
from contextlib import AbstractAsyncContextManager, contextmanager, nullcontext
from pathlib import Path
from typing import assert_never

from oakbridge.control.peers import PeerDirectory
from oakbridge.control.server import ControlServer
from oakbridge.node.address import Address
from oakbridge.process.supervisor import SECOND_US, Kill, SetTimer, Start, Stop
from oakbridge.process.supervisor import Action as ProcessAction
from oakbridge.process.supervisor import State as ProcessState
from oakbridge.workers.acceptor import Acceptor
from oakbridge.workers.connection_balancer import ConnectionBalancer
from oakbridge.workers.control_handler import WorkersControlHandler
from oakbridge.workers.errors import ChannelClosedError, PacketError
from oakbridge.workers.messages import LoadReport, SupervisorCommand, WorkerReady
from oakbridge.workers.pool import (
    Action,
    ActOnProcess,
    AddToBalancer,
    Exit,
    LogWarning,
    RemoveFromBalancer,
    WorkerPool,
)
from oakbridge.workers.worker_process import (
    CommandLine,
    WorkerProcess,
    describe_exit,
)

log = logging.getLogger(__name__)

# Connections still come for a while after a stop; workers wait 0.1 s longer for them.
ACCEPT_AFTER_STOP_S = 0.4
ACCEPT_LAST_RETRY_S = 0.02  # where accept fails at that moment,
ACCEPT_LAST_PATIENCE_S = 0.08  # for so long: workers wait no longer


class WorkerSupervisor:
    """Run the workers of one node; owns the listening sockets and the workers' processes."""

    def __init__(
        self,
        name: str,
        addresses: Sequence[Address],
        worker_count: int,
        command_line: CommandLine,
        control_socket: Path | None,
    ) -> None:
        """Listen.  Raises OSError with the address in its text."""
        self.name = name
        self._loop = asyncio.get_running_loop()
        self._started_at = time.monotonic()
        self._command_line = command_line
        self._control_socket = control_socket
        self._pool = WorkerPool(worker_count)
        self._balancer = ConnectionBalancer()
        self._processes: dict[int, WorkerProcess] = {}
        self._tasks: set[asyncio.Task[None]] = set()  # one for each process
        # Accepted, and waiting for a worker with capacity.
        self._undispatched: deque[socket.socket] = deque()
        self._exit_code: asyncio.Future[int] = self._loop.create_future()
        self._acceptor = Acceptor(
            self._loop, addresses, has_capacity=self._balancer.has_capacity, dispatch=self._dispatch
        )

    async def run(self, peers: PeerDirectory | None = None) -> int:
        """Serve until all workers have ended, and return the exit code.

        SIGTERM and SIGINT shut down, SIGHUP reloads, SIGUSR1 begins a rolling restart.  ``peers``:
        the other nodes, None where the configuration has no such table.
        """
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self.shut_down)
        self._loop.add_signal_handler(signal.SIGHUP, self.reload)
        self._loop.add_signal_handler(signal.SIGUSR1, self.rolling_restart)
        try:
            async with self._control_server(peers):
                addresses = ", ".join(f"{host}:{port}" for host, port in self._acceptor.addresses)
                workers = len(self._pool.processes)
                log.info("%s listens on %s with %d workers", self.name, addresses, workers)
                self._execute(self._pool.start(_now_us()))
                return await self._exit_code
        finally:
            self._close()

    def shut_down(self) -> None:
        """Shut all workers down gracefully; new connections are dispatched for a moment more."""
        if self._pool.is_shutting_down:
            return
        log.info("%s ends", self.name)
        give_up_at = self._loop.time() + ACCEPT_AFTER_STOP_S + ACCEPT_LAST_PATIENCE_S
        self._loop.call_later(ACCEPT_AFTER_STOP_S, self._accept_last, give_up_at)
        self._execute(self._pool.shut_down(_now_us()))

    def reload(self) -> None:
        """Have all workers read the configuration anew."""
        for process in list(self._processes.values()):
            process.send(SupervisorCommand.RELOAD)

    def rolling_restart(self) -> None:
        """Restart the workers one after the other."""
        self._execute(self._pool.rolling_restart(_now_us()))

    def _control_server(
        self, peers: PeerDirectory | None
    ) -> AbstractAsyncContextManager[ControlServer | None]:
        if self._control_socket is None:
            return nullcontext()
        handler = WorkersControlHandler(
            self.name,
            self._acceptor.addresses,
            self._control_socket,
            self._pool,
            self._balancer,
            peers,
            started_at=self._started_at,
        )
        return ControlServer(self._control_socket, handler.handle)

    def _accept_last(self, give_up_at: float) -> None:
        """Accept what waits, and close; again in a moment if that fails, up to a time."""
        if self._acceptor.accept_waiting() or self._loop.time() >= give_up_at:
            self._acceptor.close()
        else:
            self._loop.call_later(ACCEPT_LAST_RETRY_S, self._accept_last, give_up_at)

    def _close(self) -> None:
        """Close what is open; after a graceful shutdown nothing but the listening sockets is."""
        self._acceptor.close()
        for connection in self._undispatched:
            connection.close()
        for process in self._processes.values():
            process.kill()
        for task in self._tasks:
            task.cancel()

    # ---- actions of the pool

    def _execute(self, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case ActOnProcess():
                    self._act_on_process(action.worker, action.action)
                case AddToBalancer():
                    self._balancer.add(action.worker, action.max_connections)
                case RemoveFromBalancer():
                    self._balancer.remove(action.worker)
                case LogWarning():
                    log.warning("%s", action.text)
                case Exit():
                    if not self._exit_code.done():
                        self._exit_code.set_result(action.code)
                case _:
                    assert_never(action)
        self._dispatch_waiting()

    def _act_on_process(self, worker: int, action: ProcessAction) -> None:
        process = self._processes.get(worker)  # None while it is being started
        match action:
            case Start():
                task = self._loop.create_task(self._run_worker(worker))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            case Stop():
                if process is not None:
                    process.send(SupervisorCommand.SHUT_DOWN)
            case Kill():
                if process is not None:
                    log.warning("worker %d does not end, and is killed", worker)
                    process.kill()
            case SetTimer():
                delay_s = max(0, action.at - _now_us()) / SECOND_US
                self._loop.call_later(delay_s, self._tick, worker)
            case _:
                assert_never(action)

    def _tick(self, worker: int) -> None:
        self._execute(self._pool.tick(worker, _now_us()))

    # ---- workers' processes

    async def _run_worker(self, worker: int) -> None:
        """Run a worker's process once, from its start to its end."""
        try:
            process = await WorkerProcess.start(worker, self._command_line)
        except OSError as e:
            how = f"could not be started: {e}"
            self._execute(self._pool.exited(worker, how, None, _now_us()))
            return
        with self._attached(process):
            if self._pool.processes[worker].state is ProcessState.STOPPING:  # since it was begun
                process.send(SupervisorCommand.SHUT_DOWN)
            code = await process.wait()
            while self._receive(process):  # its last load reports
                pass
            self._undispatched.extend(process.unacknowledged.take_all())
        exit_code = code if code >= 0 else None
        self._execute(self._pool.exited(worker, describe_exit(code), exit_code, _now_us()))

    @contextmanager
    def _attached(self, process: WorkerProcess) -> Iterator[None]:
        """Receive a worker's messages, and close the channel at the end."""
        self._processes[process.worker] = process
        self._loop.add_reader(process.channel, self._receive, process)
        try:
            yield
        finally:
            self._loop.remove_reader(process.channel)
            del self._processes[process.worker]
            process.close()

    def _receive(self, process: WorkerProcess) -> bool:
        """Read one message and act on it; return whether more may wait."""
        try:
            message = process.receive()
        except PacketError as e:
            log.error("worker %d: %s", process.worker, e)  # noqa: TRY400 - its place is known
            return True
        except ChannelClosedError:  # the end of the process is told by the process itself
            self._loop.remove_reader(process.channel)
            return False
        match message:
            case None:
                return False
            case WorkerReady():
                log.info("worker %d is ready", process.worker)
                self._execute(self._pool.ready(process.worker, message.max_connections, _now_us()))
            case LoadReport():
                process.acknowledge(message.received_connections)
                self._balancer.report(
                    process.worker, message.open_connections, message.received_connections
                )
                self._dispatch_waiting()
            case _:
                assert_never(message)
        return True

    # ---- connections

    def _dispatch_waiting(self) -> None:
        """Dispatch what dead workers have left, then accept while a worker has capacity."""
        while self._undispatched and self._balancer.has_capacity():
            self._dispatch(self._undispatched.popleft())
        self._acceptor.accept_while_capacity()

    def _dispatch(self, connection: socket.socket) -> None:
        """Send a connection to the worker with the fewest.

        A worker that takes nothing is out of the balancer until its process has ended.
        """
        while (worker := self._balancer.choose()) is not None:
            process = self._processes.get(worker)
            if process is not None and process.send_connection(connection):
                return
            self._balancer.remove(worker)
        self._undispatched.append(connection)


def _now_us() -> int:
    """Return the monotonic time."""
    return time.monotonic_ns() // 1000
