"""Keeps connections to all servers: which are idle, which is used next, and how many there may be."""

from __future__ import annotations

import asyncio
import logging
from bisect import bisect_right

from oakbridge.node.address import Address
from oakbridge.node.attempt import Attempt, AttemptEnd
from oakbridge.node.clock import Clock, Timer
from oakbridge.node.endpoint_list import EndpointList
from oakbridge.node.observer import NodeObserver
from oakbridge.node.server_connection import ServerConnection
from oakbridge.policy.events import AttemptResult, EndpointState

log = logging.getLogger(__name__)

# A connection is idle for so long before it is used again: what comes behind a response shows by
# then.
MIN_IDLE_US = 5_000
DIAL_RETRY_US = 20_000  # after a dial that failed on this machine
DIAL_LOG_INTERVAL_US = 1_000_000  # between two lines of the log about such dials
# An idle connection is closed before the server would: by this part of the server's own timeout.
IDLE_MARGIN_DIVISOR = 10


class PooledServer:
    """A server that may be sent to, as discovery last listed it, and the connections to it."""

    __slots__ = ("address", "busy", "idle", "started")

    def __init__(self, address: Address, started: int) -> None:
        """Make the server that started at ``started``; its connections last no longer."""
        self.address = address
        self.started = started
        self.idle: list[ServerConnection] = []  # the most recently used comes last
        self.busy: set[ServerConnection] = set()

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in list(self.idle):
            connection.close()


def _idle_since(connection: ServerConnection) -> int:
    return connection.idle_since


class ConnectionPool:
    """The connections to all servers, within a bound.  Times are in microseconds."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        connect_timeout: int,
        idle_timeout: int,
        max_connections: int,
    ) -> None:
        """``connect_timeout``: 0 for none; ``idle_timeout``: after which servers close idle connections."""
        self.loop = loop
        self.clock = clock
        self.max_connections = max_connections
        self.connection_count = 0
        self.endpoints: dict[str, tuple[Address, int]] = {}  # where servers listen, and since when
        self.servers: dict[str, PooledServer] = {}  # those of them that something was sent to
        self.observer: NodeObserver | None = None
        self._expiry_timer: Timer | None = None
        self._dial_failure_logged_at = -DIAL_LOG_INTERVAL_US
        self.configure(connect_timeout, idle_timeout)

    def configure(self, connect_timeout: int, idle_timeout: int) -> None:
        """Use other timeouts from now on."""
        self.connect_timeout = connect_timeout
        self._max_idle = idle_timeout - idle_timeout // IDLE_MARGIN_DIVISOR

    # ---- servers

    def update_endpoints(self, new: EndpointList) -> None:
        """Take the servers that may be sent to; retire connections to any other, or to an earlier start."""
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
        """Return what is kept for a server, from the first attempt on; None if it may not be sent to."""
        server = self.servers.get(name)
        if server is None and name in self.endpoints:
            server = self.servers[name] = PooledServer(*self.endpoints[name])
        return server

    def _retire(self, server: PooledServer) -> None:
        """Close idle connections; attempts that were written may end, and those that were not fail.

        Guards drains: an attempt that still connects would put its first byte on the wire after the
        drain.
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
        """Start an attempt; it never ends before this returns."""
        self._set_timer(attempt, attempt.deadline)
        server = self._server(attempt.server)
        if server is None:
            self._fail_soon(attempt)
            return
        dial_by = self.clock.now() + self.connect_timeout if self.connect_timeout else None
        self._start(server, attempt, dial_by)

    def _start(self, server: PooledServer, attempt: Attempt, dial_by: int | None) -> None:
        """Write an attempt to an idle connection, or dial for it; ``dial_by``: until when."""
        connection = self._checkout_idle(server, MIN_IDLE_US)
        if connection is None and self.connection_count >= self.max_connections:
            connection = self._checkout_idle(server, 0)
        if connection is not None:
            server.busy.add(connection)
            connection.send(attempt)
            return
        if self.connection_count >= self.max_connections and not self._evict_oldest_idle():
            self._fail_soon(attempt)
            return
        self._dial(server, attempt, dial_by)

    def _fail_soon(self, attempt: Attempt) -> None:
        """Fail an attempt for which there is no connection, in the loop's next round."""
        self.loop.call_soon(attempt.finish, AttemptEnd(AttemptResult.CONNECT_FAILED))

    def _dial(self, server: PooledServer, attempt: Attempt, dial_by: int | None) -> None:
        """Open a connection for an attempt.

        A dial that fails on this machine says nothing of the server: it is made again, for as long
        as a dial may take, the attempt lasts and the server is listed.
        """
        if self.observer is not None:
            self.observer.on_connection_opened()
        now = self.clock.now()
        try:
            connection = ServerConnection(self, server)
        except OSError as error:
            self._dial_later(server, attempt, dial_by, error)
            return
        self.connection_count += 1
        server.busy.add(connection)
        try:
            connection.connect(attempt, 0 if dial_by is None else max(1, dial_by - now))
        except OSError as error:
            connection.abort()
            attempt.connection = None
            self._dial_later(server, attempt, dial_by, error)

    def _dial_later(
        self, server: PooledServer, attempt: Attempt, dial_by: int | None, error: OSError
    ) -> None:
        now = self.clock.now()
        if now - self._dial_failure_logged_at >= DIAL_LOG_INTERVAL_US:
            self._dial_failure_logged_at = now
            log.warning("a dial fails on this machine and is made again: %s", error)
        retry_at = now + DIAL_RETRY_US
        if dial_by is not None and retry_at >= dial_by:
            # In the loop's next round: the node still holds the attempt as being started.
            self.loop.call_soon(self.withdraw, attempt)
        else:
            self.clock.call_at(retry_at, lambda: self._dial_again(server, attempt, dial_by))

    def _dial_again(self, server: PooledServer, attempt: Attempt, dial_by: int | None) -> None:
        if attempt.ended:
            return
        if self.servers.get(attempt.server) is not server:
            self.fail_unsent(attempt)  # it drains by now, or is gone
        elif not attempt.is_wanted():
            self.withdraw(attempt)
        else:
            self._start(server, attempt, dial_by)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt: its connection is closed before this returns."""
        self._abort(attempt, AttemptResult.CANCELLED)

    def fail_unsent(self, attempt: Attempt) -> None:
        """Fail an attempt of which nothing was written, and nothing may be any more."""
        self._abort(attempt, AttemptResult.CONNECT_FAILED)

    def withdraw(self, attempt: Attempt) -> None:
        """End an attempt of which the last byte was not written, through no fault of the server."""
        self._abort(attempt, AttemptResult.NOT_SENT)

    @staticmethod
    def _abort(attempt: Attempt, result: AttemptResult) -> None:
        if attempt.ended:
            return
        if attempt.connection is not None:
            attempt.connection.abort()
        attempt.finish(AttemptEnd(result))

    def set_deadline(self, attempt: Attempt, deadline: int) -> None:
        """Wait for an attempt's response until another time."""
        if not attempt.ended and attempt.timer is not None:
            attempt.timer.cancel()
            self._set_timer(attempt, deadline)

    def _set_timer(self, attempt: Attempt, deadline: int) -> None:
        attempt.timer = self.clock.call_at(deadline, lambda: self._on_deadline(attempt))

    @staticmethod
    def _on_deadline(attempt: Attempt) -> None:
        """Stop waiting; a request whose last byte was never written has not run."""
        if not attempt.ended:
            written = attempt.connection is not None and attempt.connection.abort()
            attempt.finish(
                AttemptEnd(AttemptResult.TIMEOUT if written else AttemptResult.CONNECT_FAILED)
            )

    # ---- idle connections

    def _checkout_idle(self, server: PooledServer, min_idle: int) -> ServerConnection | None:
        """Take the most recently used connection that was idle for long enough and is still good.

        Guards against a second copy of a response, or noise behind it, that is read as the next
        one's response.
        """
        idle = server.idle
        place = bisect_right(idle, self.clock.now() - min_idle, key=_idle_since)
        while place > 0:
            place -= 1
            connection = idle.pop(place)
            if not connection.is_stale():
                return connection
            connection.close()
        return None

    def put_idle(self, connection: ServerConnection) -> None:
        """Keep a connection for the next attempt, until shortly before the server would close it."""
        connection.server.busy.discard(connection)
        connection.server.idle.append(connection)
        connection.idle_since = self.clock.now()
        if self._expiry_timer is None and self._max_idle > 0:
            self._expiry_timer = self.clock.call_at(
                connection.idle_since + self._max_idle, self._close_expired
            )

    def _close_expired(self) -> None:
        """Close what was idle for long enough; look again when the next one is due."""
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
        """Close the connection that was idle for longest, to any server; return whether there was one."""
        oldest = min(
            (s.idle[0] for s in self.servers.values() if s.idle), default=None, key=_idle_since
        )
        if oldest is not None:
            oldest.close()
        return oldest is not None

    # ---- ends

    def remove(self, connection: ServerConnection) -> None:
        """Forget a connection that was closed."""
        self.connection_count -= 1
        server = connection.server
        server.busy.discard(connection)
        if connection in server.idle:
            server.idle.remove(connection)

    def close(self) -> None:
        """Close all connections, at the node's end."""
        for server in self.servers.values():
            for connection in [*server.idle, *server.busy]:
                connection.abort()
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
