"""The supervisor of a node's worker processes: runs them and dispatches connections to them.

It executes the decisions of two state machines: ``pool`` decides which workers run, and
``connection_balancer`` which worker gets a connection.
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

# Connections still arrive for a while after a shutdown begins.  Workers wait for them 0.1 s longer
# than this.
ACCEPT_AFTER_SHUTDOWN_S = 0.4
# If the last accept fails, it is retried at this interval until the timeout.  Workers stop waiting
# for connections shortly after the timeout, so it can't be longer.
LAST_ACCEPT_RETRY_INTERVAL_S = 0.02
LAST_ACCEPT_TIMEOUT_S = 0.08


class WorkerSupervisor:
    """Runs the workers of one node; owns the listening sockets and the workers' processes."""

    def __init__(
        self,
        name: str,
        addresses: Sequence[Address],
        worker_count: int,
        command_line: CommandLine,
        control_socket: Path | None,
    ) -> None:
        """Listen.  Raises OSError with the address in its text.

        ``control_socket``: the path of the node's control socket, None for no control socket.
        """
        self.name = name
        self._loop = asyncio.get_running_loop()
        self._started_at_s = time.monotonic()
        self._command_line = command_line
        self._control_socket = control_socket
        self._pool = WorkerPool(worker_count)
        self._balancer = ConnectionBalancer()
        self._processes: dict[int, WorkerProcess] = {}
        self._tasks: set[asyncio.Task[None]] = set()  # one for each process
        # Accepted connections that wait for a worker with capacity.
        self._undispatched: deque[socket.socket] = deque()
        self._exit_code: asyncio.Future[int] = self._loop.create_future()
        self._acceptor = Acceptor(
            self._loop, addresses, has_capacity=self._balancer.has_capacity, dispatch=self._dispatch
        )

    async def run(self, peers: PeerDirectory | None = None) -> int:
        """Serve until all workers have exited, and return the exit code.

        SIGTERM and SIGINT shut down, SIGHUP reloads, SIGUSR1 begins a rolling restart.  ``peers``:
        None if the configuration has no [peers].
        """
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(signal_number, self.shut_down)
        self._loop.add_signal_handler(signal.SIGHUP, self.reload)
        self._loop.add_signal_handler(signal.SIGUSR1, self.rolling_restart)
        try:
            async with self._control_server(peers):
                addresses = ", ".join(f"{host}:{port}" for host, port in self._acceptor.addresses)
                workers = len(self._pool.processes)
                log.info(
                    "supervisor listens: node=%s addresses=%s workers=%d",
                    self.name,
                    addresses,
                    workers,
                )
                self._execute(self._pool.start(_now_us()))
                return await self._exit_code
        finally:
            self._close()

    def shut_down(self) -> None:
        """Shut down all workers gracefully.

        Connections are accepted and dispatched for ACCEPT_AFTER_SHUTDOWN_S more.
        """
        if self._pool.is_shutting_down:
            return
        log.info("supervisor shuts down: node=%s", self.name)
        deadline_s = self._loop.time() + ACCEPT_AFTER_SHUTDOWN_S + LAST_ACCEPT_TIMEOUT_S
        self._loop.call_later(ACCEPT_AFTER_SHUTDOWN_S, self._accept_last, deadline_s)
        self._execute(self._pool.shut_down(_now_us()))

    def reload(self) -> None:
        """Have all workers read the configuration again."""
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
            started_at_s=self._started_at_s,
        )
        return ControlServer(self._control_socket, handler.handle)

    def _accept_last(self, deadline_s: float) -> None:
        """Accept the queued connections and close the listening sockets.

        Retries until ``deadline_s``, a time of the event loop, if connections remain in the queues.
        """
        if self._acceptor.accept_queued() or self._loop.time() >= deadline_s:
            self._acceptor.close()
        else:
            self._loop.call_later(LAST_ACCEPT_RETRY_INTERVAL_S, self._accept_last, deadline_s)

    def _close(self) -> None:
        """Close all sockets and kill all processes.

        After a graceful shutdown only the listening sockets can still be open.
        """
        self._acceptor.close()
        for connection in self._undispatched:
            connection.close()
        for process in self._processes.values():
            process.kill()
        for task in self._tasks:
            task.cancel()

    # ---- the pool's actions

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
        self._dispatch_pending()

    def _act_on_process(self, worker: int, action: ProcessAction) -> None:
        process = self._processes.get(worker)  # None while the process is being created
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
                    log.warning("worker timed out and is killed: worker=%d", worker)
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
        """Run a worker's process once, from its start to its exit."""
        try:
            process = await WorkerProcess.start(worker, self._command_line)
        except OSError as error:
            reason = f"could not be started: {error}"
            self._execute(self._pool.exited(worker, reason, None, _now_us()))
            return
        with self._attached(process):
            # The worker may have been told to stop while its process was being created.
            if self._pool.processes[worker].state is ProcessState.STOPPING:
                process.send(SupervisorCommand.SHUT_DOWN)
            return_code = await process.wait()
            while self._receive(process):  # the worker's last load reports
                pass
            self._undispatched.extend(process.unacknowledged.take_all())
        exit_code = return_code if return_code >= 0 else None
        self._execute(self._pool.exited(worker, describe_exit(return_code), exit_code, _now_us()))

    @contextmanager
    def _attached(self, process: WorkerProcess) -> Iterator[None]:
        """Receive a worker's messages, and close the channel when the context exits."""
        self._processes[process.worker] = process
        self._loop.add_reader(process.channel, self._receive, process)
        try:
            yield
        finally:
            self._loop.remove_reader(process.channel)
            del self._processes[process.worker]
            process.close()

    def _receive(self, process: WorkerProcess) -> bool:
        """Receive and handle one message; return whether more may be queued."""
        try:
            message = process.receive()
        except PacketError as error:
            # A traceback adds nothing.
            log.error(  # noqa: TRY400
                "packet from a worker is invalid: worker=%d error=%s", process.worker, error
            )
            return True
        except ChannelClosedError:  # _run_worker handles the exit of the process
            self._loop.remove_reader(process.channel)
            return False
        match message:
            case None:
                return False
            case WorkerReady():
                log.info("worker is ready: worker=%d", process.worker)
                self._execute(self._pool.ready(process.worker, message.max_connections, _now_us()))
            case LoadReport():
                process.acknowledge(message.received_connections)
                self._balancer.report(
                    process.worker, message.open_connections, message.received_connections
                )
                self._dispatch_pending()
            case _:
                assert_never(message)
        return True

    # ---- connections

    def _dispatch_pending(self) -> None:
        """Dispatch connections that have no worker, then accept more while a worker has capacity.

        Connections that an exited worker did not acknowledge have no worker either.
        """
        while self._undispatched and self._balancer.has_capacity():
            self._dispatch(self._undispatched.popleft())
        self._acceptor.accept_while_capacity()

    def _dispatch(self, connection: socket.socket) -> None:
        """Send a connection to the worker with the fewest connections.

        A worker to which it can't be sent gets no more connections until its process has exited.
        """
        while (worker := self._balancer.choose()) is not None:
            process = self._processes.get(worker)
            if process is not None and process.send_connection(connection):
                return
            self._balancer.remove(worker)
        self._undispatched.append(connection)


def _now_us() -> int:
    """Return the monotonic time in microseconds."""
    return time.monotonic_ns() // 1000
