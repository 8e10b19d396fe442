"""Applies endpoint lists to the balancer, the connection pool and the fronts, through what operators hold out."""

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
    """Which servers are listed, and the batches of a long list that are still to be applied."""

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
        self._listed: dict[
            str, ListedEndpoint
        ] = {}  # all servers, draining ones among them, as they are listed
        self._batches: deque[EndpointList] = deque()
        self._start_times = StartTimes()
        self._held_back: EndpointList | None = None  # a saved list, until a newer one comes

    # ---- what is known

    def has_usable(self) -> bool:
        """Return whether a server is known that may be sent to."""
        return bool(self._pool.endpoints or self._batches)

    def all_held_out(self) -> bool:
        """Return whether no server may be sent to, and operators hold some out."""
        is_listed = self._held_back is None
        return is_listed and not self._pool.endpoints and bool(self.offline_servers.names())

    def current(self) -> list[ListedEndpoint]:
        """Apply what is left of a list, and return all servers as they are listed."""
        self.release()
        self._apply_all_batches()
        return list(self._listed.values())

    # ---- lists

    def on_endpoint_list(self, new: EndpointList, *, saved: bool = False) -> None:
        """Apply a list from now on; a long one in batches, one in each turn of the loop."""
        self.release()
        self._apply_all_batches()  # a newer list builds on all of the one before
        self._log_list(new)
        starts = self._start_times.adjust(new.endpoints, self._clock.now(), new.staleness)
        new = replace(new, endpoints=starts)
        self._batches.extend([new] if saved else split_into_batches(new, self._listed))
        self._apply_next_batch(saved=saved)

    def hold_back(self, saved: EndpointList) -> None:
        """Apply a saved list only right before a newer one, or once it is released.

        What an agent has counts as told from the first moment of a process; the saved list may be
        older than that.
        """
        self._held_back = saved

    def release(self) -> None:
        """Apply the list that was held back, if one still is."""
        saved, self._held_back = self._held_back, None
        if saved is not None:
            self.on_endpoint_list(saved, saved=True)

    def prepare(self, endpoints: Iterable[ListedEndpoint]) -> None:
        """Have the balancer make records ahead for what the next list names; nothing is sent there yet."""
        self._dispatcher.post(EndpointsAnnounced([endpoint.server for endpoint in endpoints]))

    def add_front(self, front: Front) -> None:
        """Have another front on the same balancer; it hears of the servers that are listed now."""
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
            log.info("list %d: %s", new.version, first[:LOGGED_CHARACTERS])

    # ---- what operators hold out

    def take_offline(self, name: str) -> bool | None:
        """Hold a server out for operators, from this call on; False if it was out, None if there is none such."""
        self.release()
        if name not in self._listed and not self.offline_servers.is_offline(name):
            return None
        taken = self.offline_servers.take_offline(name, self._clock.now())
        if taken:
            self._apply_again(name)
        return taken

    def bring_online(self, name: str, warm_up: int) -> bool | None:
        """Use a server again that operators held out; False if it was not out, None if there is none such.

        ``warm_up``: microseconds after which a server is warm, restarted or not.
        """
        self.release()
        now = self._clock.now()
        self.offline_servers.forget_older(now - warm_up)
        if self.offline_servers.bring_online(name, now):
            self._apply_again(name, back=True)
            return True
        return False if name in self._listed else None

    def _apply_again(self, name: str, *, back: bool = False) -> None:
        """Have the balancer and the pool see one server as it counts now."""
        self._apply_all_batches()
        endpoint = self._listed.get(name)
        if endpoint is None:
            return  # it is not listed: whenever it is again, it counts as it does then
        self._batches.append(EndpointList(0, False, [endpoint]))
        self._apply_batch(back=back)

    # ---- batches

    def _apply_all_batches(self) -> None:
        while self._batches:
            self._apply_batch()

    def _apply_next_batch(self, *, saved: bool = False) -> None:
        if self._batches:
            self._apply_batch(saved=saved)
        if self._batches:
            self._loop.call_soon(self._apply_next_batch)

    def _apply_batch(self, *, saved: bool = False, back: bool = False) -> None:
        """Apply one batch: no connection that is given out after this leads elsewhere."""
        batch = self._batches.popleft()
        batch.apply_to(self._listed)
        batch = replace(batch, endpoints=self.offline_servers.apply_all(batch.endpoints))
        for front in self._dispatcher.fronts:
            front.on_endpoint_list(batch)
        servers = [endpoint.server for endpoint in batch.endpoints]
        event = EndpointListReceived(
            servers, batch.complete, cached=saved, more_follow=bool(self._batches), restored=back
        )
        # The balancer sees the list before it sees the ends of attempts that the list has caused.
        with self._dispatcher.posting_first(event):
            self._pool.update_endpoints(batch)
