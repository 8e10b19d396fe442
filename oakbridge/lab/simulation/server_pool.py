"""The servers of a simulated fleet: the processing of attempts, and faults."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial

from oakbridge.lab.simulation.event_queue import SECOND_US, EventQueue
from oakbridge.lab.simulation.server import AttemptKey, SimulatedServer, Visit
from oakbridge.policy.events import AttemptResult
from oakbridge.policy.settings import Settings

MEAN_WORK_US = 200_000  # mean processing time of an attempt at a warm server
WORK_SPREAD = (0.7, 1.3)  # range of the random factor on the processing time
REFUSAL_DELAY_US = 1000  # until a replica is notified that a server is full or down

OnResult = Callable[[AttemptKey, str, AttemptResult, int], None]  # key, server, result, start time


class ServerPool:
    """Processes attempts at servers, and reports their results."""

    def __init__(
        self,
        events: EventQueue,
        rng: random.Random,
        settings: Settings,
        servers: Iterable[SimulatedServer],
        on_result: OnResult,
    ) -> None:
        """``on_result`` is called with each attempt's result and the time at which it started."""
        self.servers = {server.name: server for server in servers}
        self.server_indexes = {name: index for index, name in enumerate(self.servers)}
        self.visits: list[Visit] = []
        self.results: Counter[tuple[str, AttemptResult]] = Counter()  # by server
        self._events = events
        self._random = rng
        self._settings = settings
        self._on_result = on_result
        # Attempts that their replica has ended; the result of each is reported once.
        self._cancelled: set[AttemptKey] = set()

    def add(self, server: SimulatedServer) -> None:
        """Add a server that is in no replica's list yet."""
        self.servers[server.name] = server
        self.server_indexes[server.name] = len(self.server_indexes)

    def speed(self, server: SimulatedServer, at_us: int) -> float:
        """Return a server's speed at a time as a fraction of that of a warm one."""
        settings = self._settings
        return server.speed(at_us, settings.slow_start_minimum, settings.slow_start_window)

    # ---- attempts

    def receive(self, key: AttemptKey, server_name: str, timeout_us: int) -> None:
        """Queue an attempt, or refuse it if the server is down or full."""
        server, now = self.servers[server_name], self._events.now
        if server.is_down:
            self._refuse(key, server, AttemptResult.CONNECT_FAILED)
            return
        server.sent_at_us.append(now)
        if not server.accepts(key.replica):
            self._refuse(key, server, AttemptResult.REJECTED)
            return
        server.enqueue(key, now)
        self._start_waiting(server)
        self._events.schedule(now + timeout_us, lambda: self.end(key, AttemptResult.TIMEOUT))

    def _refuse(self, key: AttemptKey, server: SimulatedServer, result: AttemptResult) -> None:
        now = self._events.now
        at_us = now + REFUSAL_DELAY_US
        self._events.schedule(at_us, lambda: self._report(key, server, result, now))

    def _start_waiting(self, server: SimulatedServer) -> None:
        """Start waiting attempts while workers are free."""
        now = self._events.now
        while server.waiting and len(server.running) < server.workers:
            key = server.waiting.popleft()
            server.running.add(key)
            work_us = MEAN_WORK_US * self._random.uniform(*WORK_SPREAD) / self.speed(server, now)
            if not server.is_hung:
                self._events.schedule(now + work_us, partial(self._complete, server, key, now))

    def _complete(self, server: SimulatedServer, key: AttemptKey, started_us: int) -> None:
        if key in server.running and not server.is_hung:
            self._remove(server, key)
            self._report(key, server, AttemptResult.OK, started_us)

    def _remove(self, server: SimulatedServer, key: AttemptKey) -> None:
        """Remove an attempt from a server, record its visit, and start waiting attempts."""
        arrived_us = server.arrived_us.pop(key, None)
        if arrived_us is not None:
            index = self.server_indexes[server.name]
            self.visits.append(Visit(index, arrived_us, self._events.now))
        server.remove(key)
        self._start_waiting(server)

    def end(self, key: AttemptKey, result: AttemptResult) -> None:
        """End an attempt on its replica's side; a hung server keeps it."""
        now = self._events.now
        for server in self.servers.values():
            if not server.holds(key):
                continue
            if not server.is_hung:
                self._remove(server, key)
            if key not in self._cancelled:
                self._cancelled.add(key)
                self._events.schedule(now, partial(self._report, key, server, result, now))

    def _report(
        self, key: AttemptKey, server: SimulatedServer, result: AttemptResult, started_us: int
    ) -> None:
        self.results[server.name, result] += 1
        self._on_result(key, server.name, result, started_us)

    # ---- faults

    def fail_sites(self, sites: Iterable[str], seconds: float, *, hang: bool) -> None:
        """Take all servers of these sites down for a time; they restart cold.

        With ``hang`` they send no responses for that time instead, and resume warm.
        """
        failed_sites = set(sites)
        failed = [server for server in self.servers.values() if server.site in failed_sites]
        now = self._events.now
        stop = self._hang if hang else self._take_down
        resume = self._resume_hung if hang else self._bring_up
        self._events.schedule(now, partial(self._for_each, stop, failed))
        self._events.schedule(now + seconds * SECOND_US, partial(self._for_each, resume, failed))

    @staticmethod
    def _for_each(
        change: Callable[[SimulatedServer], None], servers: Iterable[SimulatedServer]
    ) -> None:
        for server in servers:
            change(server)

    def _hang(self, server: SimulatedServer) -> None:
        server.is_hung = True

    def _take_down(self, server: SimulatedServer) -> None:
        server.is_down = True
        now = self._events.now
        for key in (*server.running, *server.waiting):
            self._events.schedule(now, partial(self._report, key, server, AttemptResult.RESET, now))
        server.running.clear()
        server.waiting.clear()

    def _resume_hung(self, server: SimulatedServer) -> None:
        self._clear_faults(server)
        server.running.clear()
        self._start_waiting(server)

    def _bring_up(self, server: SimulatedServer) -> None:
        self._clear_faults(server)
        server.unannounced_start_us = self._events.now

    def _clear_faults(self, server: SimulatedServer) -> None:
        server.is_hung = False
        server.is_down = False
