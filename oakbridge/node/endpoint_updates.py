"""Applies endpoint lists to the balancer, the pool and the fronts, with operators' overrides."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Iterable
from dataclasses import replace
from itertools import islice

from oakbridge.node.clock import Clock
from oakbridge.node.connection_pool import ConnectionPool
from oakbridge.node.dispatcher import Dispatcher, Front
from oakbridge.node.endpoint_list import EndpointList, ListedEndpoint, split_into_batches
from oakbridge.node.offline_servers import OfflineServers
from oakbridge.node.start_times import StartTimes
from oakbridge.policy.events import EndpointListReceived, EndpointsAnnounced

log = logging.getLogger(__name__)

LOGGED_ENDPOINTS = 20
LOGGED_CHARACTERS = 400


class EndpointUpdates:
    """The listed servers, and the batches of a long list that are not applied yet."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        dispatcher: Dispatcher,
        pool: ConnectionPool,
        offline_servers: OfflineServers,
    ) -> None:
        self.offline_servers = offline_servers
        self._loop = loop
        self._clock = clock
        self._dispatcher = dispatcher
        self._pool = pool
        # All servers as they are listed, including draining ones.
        self._listed: dict[str, ListedEndpoint] = {}
        self._batches: deque[EndpointList] = deque()
        self._start_times = StartTimes()
        # A saved list that is not applied yet, see hold_back().
        self._saved_list: EndpointList | None = None

    # ---- state

    def has_usable(self) -> bool:
        """Return whether there is a server that requests may be sent to."""
        return bool(self._pool.endpoints or self._batches)

    def all_offline(self) -> bool:
        """Return whether there is no usable server, and operators took some offline."""
        is_listed = self._saved_list is None
        return is_listed and not self._pool.endpoints and bool(self.offline_servers.names())

    def current(self) -> list[ListedEndpoint]:
        """Apply the remaining batches, and return all servers as they are listed."""
        self.release()
        self._apply_all_batches()
        return list(self._listed.values())

    # ---- lists

    def on_endpoint_list(self, new: EndpointList, *, saved: bool = False) -> None:
        """Apply a list; a long one in batches, one per iteration of the event loop."""
        self.release()
        self._apply_all_batches()  # a newer list builds on the complete previous one
        self._log_list(new)
        adjusted = self._start_times.adjust(new.endpoints, self._clock.now(), new.previous_age_us)
        new = replace(new, endpoints=adjusted)
        self._batches.extend([new] if saved else split_into_batches(new, self._listed))
        self._apply_next_batch(saved=saved)

    def hold_back(self, saved: EndpointList) -> None:
        """Apply a saved list only right before a newer one, or in :meth:`release`.

        A process must know from its start what its agent knows, and the saved list may be older.
        """
        self._saved_list = saved

    def release(self) -> None:
        """Apply the list that was held back, if there is one."""
        saved, self._saved_list = self._saved_list, None
        if saved is not None:
            self.on_endpoint_list(saved, saved=True)

    def prepare(self, endpoints: Iterable[ListedEndpoint]) -> None:
        """Have the balancer create records for servers of the next list; nothing is sent yet."""
        self._dispatcher.post(EndpointsAnnounced([endpoint.server for endpoint in endpoints]))

    def add_front(self, front: Front) -> None:
        """Add another protocol's front to the same balancer, and pass it the current list."""
        self._dispatcher.fronts.append(front)
        front.on_endpoint_list(
            EndpointList(0, True, self.offline_servers.apply_all(self._listed.values()))
        )

    @staticmethod
    def _log_list(new: EndpointList) -> None:
        states = {endpoint.server.id: endpoint.server.state for endpoint in new.endpoints}
        if states:
            first = ", ".join(
                f"{name} {state}" for name, state in islice(states.items(), LOGGED_ENDPOINTS)
            )
            log.info(
                "endpoint list received: version=%d endpoints=%s",
                new.version,
                first[:LOGGED_CHARACTERS],
            )

    # ---- servers that operators take offline

    def take_offline(self, name: str) -> bool | None:
        """Take a server offline; return False if it was offline, None if it is unknown."""
        self.release()
        if name not in self._listed and not self.offline_servers.is_offline(name):
            return None
        has_changed = self.offline_servers.take_offline(name, self._clock.now())
        if has_changed:
            self._apply_again(name)
        return has_changed

    def bring_online(self, name: str, warm_up_us: int) -> bool | None:
        """Bring a server back online; return False if it was not offline, None if it is unknown.

        ``warm_up_us``: after this time in use a server is warm, even if it has been restarted.
        """
        self.release()
        now = self._clock.now()
        self.offline_servers.forget_before(now - warm_up_us)
        if self.offline_servers.bring_online(name, now):
            self._apply_again(name, restored=True)
            return True
        return False if name in self._listed else None

    def _apply_again(self, name: str, *, restored: bool = False) -> None:
        """Update one server in the balancer and the pool after a change by an operator."""
        self._apply_all_batches()
        endpoint = self._listed.get(name)
        if endpoint is None:
            return  # it is not listed; the next list that names it applies the change
        self._batches.append(EndpointList(0, False, [endpoint]))
        self._apply_batch(restored=restored)

    # ---- batches

    def _apply_all_batches(self) -> None:
        while self._batches:
            self._apply_batch()

    def _apply_next_batch(self, *, saved: bool = False) -> None:
        if self._batches:
            self._apply_batch(saved=saved)
        if self._batches:
            self._loop.call_soon(self._apply_next_batch)

    def _apply_batch(self, *, saved: bool = False, restored: bool = False) -> None:
        """Apply one batch; from then on the pool only uses connections to the listed addresses."""
        batch = self._batches.popleft()
        batch.apply_to(self._listed)
        batch = replace(batch, endpoints=self.offline_servers.apply_all(batch.endpoints))
        for front in self._dispatcher.fronts:
            front.on_endpoint_list(batch)
        servers = [endpoint.server for endpoint in batch.endpoints]
        event = EndpointListReceived(
            servers,
            batch.complete,
            cached=saved,
            more_follow=bool(self._batches),
            restored=restored,
        )
        # The balancer sees the list before the ends of those attempts that the pool fails because
        # of it.
        with self._dispatcher.posting_first(event):
            self._pool.update_endpoints(batch)
