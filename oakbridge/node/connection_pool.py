"""The pool of connections to servers: reuses idle ones, opens new ones, and limits their number."""

from __future__ import annotations

import asyncio
import logging
from bisect import bisect_right

from oakbridge.node.address import Address
from oakbridge.node.attempt import Attempt, AttemptEnd
from oakbridge.node.clock import Clock, Timer
from oakbridge.node.endpoint_list import EndpointList
from oakbridge.node.memory_account import MemoryAccount
from oakbridge.node.observer import NodeObserver
from oakbridge.node.server_connection import ServerConnection
from oakbridge.policy.events import AttemptResult, EndpointState

log = logging.getLogger(__name__)

# A connection is reused only after this idle time: unexpected bytes after a response have arrived
# by then.
MIN_IDLE_US = 5_000
DIAL_RETRY_US = 20_000  # delay after a dial that failed on this machine
DIAL_LOG_INTERVAL_US = 1_000_000  # minimum time between two log lines about such dials
# An idle connection is closed 1/10 of the server's idle timeout before the server closes it.
IDLE_MARGIN_DIVISOR = 10


class PooledServer:
    """A server that requests may be sent to, as last listed, and the connections to it."""

    __slots__ = ("address", "busy", "idle", "started")

    def __init__(self, address: Address, started: int) -> None:
        """Create a server that started at ``started``; connections are not used after a restart."""
        self.address = address
        self.started = started
        self.idle: list[ServerConnection] = []  # sorted by last use; the most recent is last
        self.busy: set[ServerConnection] = set()

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in list(self.idle):
            connection.close()


def _idle_since(connection: ServerConnection) -> int:
    return connection.idle_since


class ConnectionPool:
    """The connections to all servers, limited in number.  Times are in microseconds."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        connect_timeout: int,
        idle_timeout: int,
        max_connections: int,
        memory: MemoryAccount,
    ) -> None:
        """``connect_timeout``: 0 for none.

        ``idle_timeout``: the time after which servers close an idle connection.
        """
        self.loop = loop
        self.clock = clock
        self.memory = memory
        self.max_connections = max_connections
        self.connection_count = 0
        # Address and start time of each server that requests may be sent to, by name.
        self.endpoints: dict[str, tuple[Address, int]] = {}
        self.servers: dict[str, PooledServer] = {}  # the subset that attempts were sent to
        self.observer: NodeObserver | None = None
        self._expiry_timer: Timer | None = None
        self._dial_failure_logged_at = -DIAL_LOG_INTERVAL_US
        self.configure(connect_timeout, idle_timeout)

    def configure(self, connect_timeout: int, idle_timeout: int) -> None:
        """Use other timeouts from now on, in microseconds."""
        self.connect_timeout = connect_timeout
        self._max_idle = idle_timeout - idle_timeout // IDLE_MARGIN_DIVISOR

    # ---- servers

    def update_endpoints(self, new: EndpointList) -> None:
        """Update the usable servers; retire connections to others, old addresses and old starts."""
        if new.complete:
            self.endpoints = {}
        for endpoint in new.endpoints:
            server = endpoint.server
            if server.state == EndpointState.UP:
                self.endpoints[server.id] = endpoint.address, server.started_at
            else:
                self.endpoints.pop(server.id, None)
        changed = (
            self.servers if new.complete else [endpoint.server.id for endpoint in new.endpoints]
        )
        for name in list(changed):
            pooled = self.servers.get(name)
            if pooled is not None and self.endpoints.get(name) != (pooled.address, pooled.started):
                self._retire(self.servers.pop(name))

    def _server(self, name: str) -> PooledServer | None:
        """Return a server, created for its first attempt; None if nothing may be sent to it."""
        server = self.servers.get(name)
        if server is None and name in self.endpoints:
            server = self.servers[name] = PooledServer(*self.endpoints[name])
        return server

    def _retire(self, server: PooledServer) -> None:
        """Close idle connections; connected attempts may finish, those still connecting fail.

        Otherwise an attempt that is still connecting would send its first byte after a drain.
        """
        server.close_idle()
        for connection in list(server.busy):
            connection.may_be_reused = False
            attempt = connection.attempt
            if not connection.connected and attempt is not None:
                self.fail_unsent(attempt)

    def close_idle(self) -> None:
        """Close all idle connections."""
        for server in self.servers.values():
            server.close_idle()

    # ---- attempts

    def send(self, attempt: Attempt) -> None:
        """Start an attempt; its end is never reported before this returns."""
        self._set_timer(attempt, attempt.deadline)
        server = self._server(attempt.server)
        if server is None:
            self._fail_in_next_iteration(attempt)
            return
        dial_deadline = self.clock.now() + self.connect_timeout if self.connect_timeout else None
        self._start(server, attempt, dial_deadline)

    def _start(self, server: PooledServer, attempt: Attempt, dial_deadline: int | None) -> None:
        """Write an attempt to an idle connection, or dial a new one until ``dial_deadline``."""
        connection = self._checkout_idle(server, MIN_IDLE_US)
        if connection is None and self.connection_count >= self.max_connections:
            connection = self._checkout_idle(server, 0)
        if connection is not None:
            server.busy.add(connection)
            connection.send(attempt)
            return
        if self.connection_count >= self.max_connections and not self._evict_oldest_idle():
            self._fail_in_next_iteration(attempt)
            return
        self._dial(server, attempt, dial_deadline)

    def _fail_in_next_iteration(self, attempt: Attempt) -> None:
        """Fail an attempt for which there is no connection, in the event loop's next iteration."""
        self.loop.call_soon(attempt.finish, AttemptEnd(AttemptResult.CONNECT_FAILED))

    def _dial(self, server: PooledServer, attempt: Attempt, dial_deadline: int | None) -> None:
        """Open a connection for an attempt.

        A dial that fails on this machine says nothing about the server.  It is retried until its
        deadline, while the attempt is open and the server is listed.
        """
        if self.observer is not None:
            self.observer.on_connection_opened()
        now = self.clock.now()
        try:
            connection = ServerConnection(self, server)
        except OSError as error:
            self._retry_dial_later(server, attempt, dial_deadline, error)
            return
        self.connection_count += 1
        server.busy.add(connection)
        try:
            connection.connect(attempt, 0 if dial_deadline is None else max(1, dial_deadline - now))
        except OSError as error:
            connection.abort()
            attempt.connection = None
            self._retry_dial_later(server, attempt, dial_deadline, error)

    def _retry_dial_later(
        self, server: PooledServer, attempt: Attempt, dial_deadline: int | None, error: OSError
    ) -> None:
        now = self.clock.now()
        if now - self._dial_failure_logged_at >= DIAL_LOG_INTERVAL_US:
            self._dial_failure_logged_at = now
            log.warning("dial failed on this machine, retrying: error=%s", error)
        retry_at = now + DIAL_RETRY_US
        if dial_deadline is not None and retry_at >= dial_deadline:
            # In the loop's next iteration: the forwarder has not finished starting the attempt.
            self.loop.call_soon(self.withdraw, attempt)
        else:
            self.clock.call_at(retry_at, lambda: self._retry_dial(server, attempt, dial_deadline))

    def _retry_dial(
        self, server: PooledServer, attempt: Attempt, dial_deadline: int | None
    ) -> None:
        if attempt.ended:
            return
        if self.servers.get(attempt.server) is not server:
            self.fail_unsent(attempt)  # the server drains by now, or has been removed
        elif not attempt.is_wanted():
            self.withdraw(attempt)
        else:
            self._start(server, attempt, dial_deadline)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt: its connection is closed before this returns."""
        self._abort(attempt, AttemptResult.CANCELLED)

    def fail_unsent(self, attempt: Attempt) -> None:
        """Fail an attempt of which nothing was written, and nothing may be written any more."""
        self._abort(attempt, AttemptResult.CONNECT_FAILED)

    def withdraw(self, attempt: Attempt) -> None:
        """End an attempt that has not run, for a reason other than the server."""
        self._abort(attempt, AttemptResult.NOT_SENT)

    @staticmethod
    def _abort(attempt: Attempt, result: AttemptResult) -> None:
        if attempt.ended:
            return
        if attempt.connection is not None:
            attempt.connection.abort()
        attempt.finish(AttemptEnd(result))

    def set_deadline(self, attempt: Attempt, deadline: int) -> None:
        """Change the deadline of an attempt."""
        if not attempt.ended and attempt.timer is not None:
            attempt.deadline = deadline
            attempt.client_deadline = deadline
            attempt.timer.cancel()
            self._set_timer(attempt, deadline)
            if attempt.connection is not None:
                attempt.connection.on_deadline_changed()

    def _set_timer(self, attempt: Attempt, deadline: int) -> None:
        attempt.timer = self.clock.call_at(deadline, lambda: self.expire(attempt))

    @staticmethod
    def expire(attempt: Attempt) -> None:
        """End an attempt at its deadline; without its last byte, the request can't have run."""
        if not attempt.ended:
            may_have_run = attempt.connection is not None and attempt.connection.abort()
            attempt.finish(
                AttemptEnd(AttemptResult.TIMEOUT if may_have_run else AttemptResult.CONNECT_FAILED)
            )

    # ---- idle connections

    def _checkout_idle(self, server: PooledServer, min_idle: int) -> ServerConnection | None:
        """Take the most recently used connection that was idle for long enough and is still usable.

        The minimum idle time guards against a duplicate response, or stray bytes after a response,
        that would be read as the response to the next request.
        """
        idle = server.idle
        position = bisect_right(idle, self.clock.now() - min_idle, key=_idle_since)
        while position > 0:
            position -= 1
            connection = idle.pop(position)
            if not connection.is_stale():
                return connection
            connection.close()
        return None

    def put_idle(self, connection: ServerConnection) -> None:
        """Keep a connection for another attempt, until shortly before the server would close it."""
        connection.server.busy.discard(connection)
        connection.server.idle.append(connection)
        connection.idle_since = self.clock.now()
        if self._expiry_timer is None and self._max_idle > 0:
            self._expiry_timer = self.clock.call_at(
                connection.idle_since + self._max_idle, self._close_expired
            )

    def _close_expired(self) -> None:
        """Close connections that were idle for the maximum time; set the timer for the next one."""
        self._expiry_timer = None
        now = self.clock.now()
        oldest = now
        for server in self.servers.values():
            while server.idle and server.idle[0].idle_since + self._max_idle <= now:
                server.idle[0].close()
            if server.idle:
                oldest = min(oldest, server.idle[0].idle_since)
        if oldest < now:
            self._expiry_timer = self.clock.call_at(oldest + self._max_idle, self._close_expired)

    def _evict_oldest_idle(self) -> bool:
        """Close the longest idle connection to any server; return whether there was one."""
        oldest = min(
            (server.idle[0] for server in self.servers.values() if server.idle),
            default=None,
            key=_idle_since,
        )
        if oldest is not None:
            oldest.close()
        return oldest is not None

    # ---- close

    def remove(self, connection: ServerConnection) -> None:
        """Forget a connection that was closed."""
        self.connection_count -= 1
        server = connection.server
        server.busy.discard(connection)
        if connection in server.idle:
            server.idle.remove(connection)

    def close(self) -> None:
        """Close all connections when the node stops."""
        for server in self.servers.values():
            for connection in [*server.idle, *server.busy]:
                connection.abort()
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
