"""The connections to all servers: which are kept, which is used next, and how many there may be."""

from __future__ import annotations

import asyncio
import logging
from bisect import bisect_right

from oakbridge.node.attempt import Attempt, Reply
from oakbridge.node.clock import Clock, Timer
from oakbridge.node.listing import Address, Listing
from oakbridge.node.server_connection import Connection
from oakbridge.policy.vocabulary import UP, Result

log = logging.getLogger(__name__)

SETTLE = (
    5_000  # a connection rests so long before it is used again: what comes behind an answer shows by then
)
IDLE_PART = 10  # an idle connection is closed this part of the server's limit before the limit


class Target:
    """A server that may be sent to, as discovery last told it, and the connections to it."""

    __slots__ = ("address", "started", "idle", "busy")

    def __init__(self, address: Address, started: int) -> None:
        self.address, self.started = address, started
        self.idle: list[Connection] = []  # used last comes last
        self.busy: set[Connection] = set()


def _idle_since(connection: Connection) -> int:
    return connection.idle_since


class Pool:
    """The connections to all servers, within a bound."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, connect_timeout: int, idle: int, most: int
    ) -> None:
        self.loop, self.clock, self.connect_timeout, self.most = loop, clock, connect_timeout, most
        self.idle_for = idle - idle // IDLE_PART
        self.listed: dict[str, tuple[Address, int]] = {}  # where servers listen, and since when
        self.targets: dict[str, Target] = {}  # those of them that something was sent to
        self.count = 0
        self._sweep: Timer | None = None

    def retune(self, connect_timeout: int, idle: int) -> None:
        """Go by other settings from now on."""
        self.connect_timeout, self.idle_for = connect_timeout, idle - idle // IDLE_PART

    def take(self, listing: Listing) -> None:
        """Take the servers that may be sent to; connections to any other, or to an earlier start, go."""
        if listing.whole:
            self.listed = {}
        for entry in listing.entries:
            server = entry.server
            if server.state == UP:
                self.listed[server.id] = entry.address, server.started
            else:
                self.listed.pop(server.id, None)
        named = self.targets if listing.whole else [e.server.id for e in listing.entries]
        for name in list(named):
            target = self.targets.get(name)
            if target is not None and self.listed.get(name) != (target.address, target.started):
                self._retire(self.targets.pop(name))

    def _target(self, server: str) -> Target | None:
        """What is kept for a server, from the first attempt on; None if it may not be sent to."""
        target = self.targets.get(server)
        if target is None and server in self.listed:
            target = self.targets[server] = Target(*self.listed[server])
        return target

    def _retire(self, target: Target) -> None:
        """Give idle connections back; what is out may end, and what has not begun ends unsent.

        Guards drains: an attempt that still connects would put its first byte on the wire after the drain.
        """
        self._close_idle(target)
        for connection in list(target.busy):
            connection.keep = False
            attempt = connection.attempt
            if not connection.connected and attempt is not None:
                self.not_begun(attempt)

    def close_idle(self) -> None:
        """Give back all connections that rest."""
        for target in self.targets.values():
            self._close_idle(target)

    @staticmethod
    def _close_idle(target: Target) -> None:
        for connection in list(target.idle):
            connection.close()

    def release(self, server: str) -> None:
        """Give back the idle connections to a server."""
        if server in self.targets:
            self._close_idle(self.targets[server])

    def send(self, attempt: Attempt) -> None:
        """Start an attempt; its end is told later, never from in here."""
        attempt.timer = self.clock.call_at(attempt.due, lambda: self._timed_out(attempt))
        target = self._target(attempt.server)
        if target is None:
            self.loop.call_soon(attempt.end, Reply(Result.CONNECT_FAILED))
            return
        connection = self._rested(target, SETTLE)
        if connection is None and self.count >= self.most:
            connection = self._rested(target, 0)
        if connection is not None:
            target.busy.add(connection)
            return connection.use(attempt)
        if self.count >= self.most and not self._make_room():
            self.loop.call_soon(attempt.end, Reply(Result.CONNECT_FAILED))
            return
        self._open(target, attempt)

    def _rested(self, target: Target, least: int) -> Connection | None:
        """Take the connection that was used last of those that have rested for long enough and are still good.

        Guards against a second copy of an answer, or noise behind it, that is read as the next one's answer.
        """
        idle = target.idle
        place = bisect_right(idle, self.clock.now() - least, key=_idle_since)
        while place > 0:
            place -= 1
            connection = idle.pop(place)
            if not connection.stale():
                return connection
            connection.close()
        return None

    def _open(self, target: Target, attempt: Attempt) -> None:
        try:
            connection = Connection(self, target)
        except OSError as e:  # no descriptor is left: nothing was sent
            log.error("no socket for a connection: %s", e)
            self.loop.call_soon(attempt.end, Reply(Result.CONNECT_FAILED))
            return
        self.count += 1
        target.busy.add(connection)
        connection.open(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Call an attempt off: its connection is closed before this returns."""
        if not attempt.ended:
            if attempt.connection is not None:
                attempt.connection.give_up()
            attempt.end(Reply(Result.CANCELLED))

    def not_begun(self, attempt: Attempt) -> None:
        """End an attempt of which nothing may be written any more."""
        if not attempt.ended:
            if attempt.connection is not None:
                attempt.connection.give_up()
            attempt.end(Reply(Result.CONNECT_FAILED))

    def postpone(self, attempt: Attempt, due: int) -> None:
        """Wait for an attempt's answer until then."""
        if not attempt.ended and attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = self.clock.call_at(due, lambda: self._timed_out(attempt))

    def _timed_out(self, attempt: Attempt) -> None:
        """Stop waiting; a request whose last byte was never written has not run."""
        if not attempt.ended:
            written = attempt.connection is not None and attempt.connection.give_up()
            attempt.end(Reply(Result.TIMEOUT if written else Result.CONNECT_FAILED))

    def _make_room(self) -> bool:
        """Close the connection that has been idle longest, of any server."""
        oldest = min((t.idle[0] for t in self.targets.values() if t.idle), default=None,
                     key=lambda c: c.idle_since)  # fmt: skip
        if oldest is not None:
            oldest.close()
        return oldest is not None

    def rest(self, connection: Connection) -> None:
        """Keep a connection for the next attempt, until shortly before the server would close it."""
        connection.target.busy.discard(connection)
        connection.target.idle.append(connection)
        connection.idle_since = self.clock.now()
        if self._sweep is None and self.idle_for > 0:
            self._sweep = self.clock.call_at(connection.idle_since + self.idle_for, self._close_expired)

    def _close_expired(self) -> None:
        """Close what has been idle for long enough; look again when the next one is due."""
        self._sweep = None
        now = self.clock.now()
        first = now
        for target in self.targets.values():
            while target.idle and target.idle[0].idle_since + self.idle_for <= now:
                target.idle[0].close()
            if target.idle:
                first = min(first, target.idle[0].idle_since)
        if first < now:
            self._sweep = self.clock.call_at(first + self.idle_for, self._close_expired)

    def forget(self, connection: Connection) -> None:
        """A connection has been closed."""
        self.count -= 1
        target = connection.target
        target.busy.discard(connection)
        if connection in target.idle:
            target.idle.remove(connection)

    def close(self) -> None:
        """Close all connections, at the node's end."""
        for target in self.targets.values():
            for connection in [*target.idle, *target.busy]:
                connection.give_up()
        if self._sweep is not None:
            self._sweep.cancel()
