"""The SIP front of a node: sockets, one timer, and the node's balancer beside the proxy.

All decisions about messages are in :mod:`oakbridge.sip.proxy`.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from dataclasses import dataclass

from oakbridge.node.address import Address
from oakbridge.node.clock import Timer
from oakbridge.node.endpoint_list import EndpointList
from oakbridge.node.node import Node
from oakbridge.policy.actions import Action
from oakbridge.policy.events import EndpointState
from oakbridge.sip.caller_connections import CallerConnections
from oakbridge.sip.datagram_socket import DatagramSocket
from oakbridge.sip.outbox import PostEvent, ProxyAction, Transmit
from oakbridge.sip.peer import Peer
from oakbridge.sip.proxy import Proxy
from oakbridge.sip.settings import ProxySettings

log = logging.getLogger(__name__)

DRAIN_TIMEOUT_S = 3.0  # after the node's own end, for the responses to open requests
DRAIN_POLL_S = 0.02


@dataclass(frozen=True, slots=True)
class FrontOptions:
    """Where the front listens, and the port of the servers."""

    listen: Address
    server_port: int  # 0: the port of the endpoint list
    tcp: bool = True


class Front:
    """A SIP front on a node's balancer; an asynchronous context manager."""

    def __init__(
        self,
        node: Node,
        settings: ProxySettings,
        options: FrontOptions,
        seed: int,
    ) -> None:
        """Bind the UDP socket. Raises OSError with the address in its text."""
        self.node = node
        self.options = options
        self.proxy = Proxy(settings, seed, node.ids)
        self._loop = asyncio.get_running_loop()
        self._timer: Timer | None = None
        self._timer_at = 0
        self._actions: deque[ProxyAction] = deque()
        self._carrying_out = False
        self._server: asyncio.Server | None = None
        self._connections = CallerConnections(self._message_received, self._connection_lost)
        self._datagrams = DatagramSocket(
            options.listen,
            self._message_received,
            self._datagram_refused,
        )

    async def __aenter__(self) -> Front:
        """Receive messages from now on."""
        if self.options.tcp:
            try:
                self._server = await self._loop.create_server(
                    self._connections.new_connection, *self.options.listen
                )
            except OSError as e:
                self._datagrams.close()
                raise OSError(e.errno, f"sip: {e.strerror}") from None
        self.node.add_front(self)
        self._datagrams.start()
        log.info("sip: listens on %s:%d", *self.options.listen)
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Reject new requests, wait for open ones for a while, and close the sockets."""
        self.proxy.start_draining()
        for _ in range(int(DRAIN_TIMEOUT_S / DRAIN_POLL_S)):
            if not self.proxy.store.pending_requests():
                break
            await asyncio.sleep(DRAIN_POLL_S)
        if self._timer is not None:
            self._timer.cancel()
        if self._server is not None:
            self._server.close()
        self._connections.close()
        self._datagrams.close()

    # ---- the node's side

    def owns(self, request: int) -> bool:
        """Whether a request of the balancer's was received here."""
        return self.proxy.owns(request)

    def carry_out(self, action: Action) -> None:
        """Carry out an action of the balancer."""
        self._do(self.proxy.carry_out(self.node.clock.now(), action))

    def on_endpoint_list(self, new: EndpointList) -> None:
        """Follow the endpoint list: a draining server stays reachable for its dialogs."""
        servers = self.proxy.servers
        if new.complete:
            servers.clear()
        for entry in new.endpoints:
            if entry.server.state == EndpointState.REMOVED:
                servers.pop(entry.server.id, None)
            else:
                host, port = entry.address
                servers[entry.server.id] = Peer("UDP", host, self.options.server_port or port)

    # ---- from the network

    def _message_received(self, peer: Peer, data: bytes) -> None:
        """Handle one message; a fault in it is contained."""
        try:
            self._do(self.proxy.message_received(self.node.clock.now(), peer, data))
        except Exception:
            log.exception("sip: a message from %s:%d failed", peer.host, peer.port)

    def _datagram_refused(self, data: bytes) -> None:
        self._do(self.proxy.datagram_refused(self.node.clock.now(), data))

    def _connection_lost(self, peer: Peer) -> None:
        self._do(self.proxy.connection_lost(self.node.clock.now(), peer))

    # ---- the proxy's actions

    def _do(self, actions: list[ProxyAction]) -> None:
        """Carry out actions in order.

        Actions that come up meanwhile are appended, so that a long chain does not nest.
        """
        self._actions.extend(actions)
        if self._carrying_out:
            return
        self._carrying_out = True
        try:
            while self._actions:
                action = self._actions.popleft()
                if isinstance(action, PostEvent):
                    self.node.post(action.event)
                else:
                    self._transmit(action)
        finally:
            self._carrying_out = False
        self._schedule_timer()

    def _transmit(self, action: Transmit) -> None:
        if action.peer.transport == "TCP":
            self._connections.send(action.data, action.peer)
        else:
            self._datagrams.send(action.data, action.peer)

    def _schedule_timer(self) -> None:
        due = self.proxy.next_timer()
        if due is None or (self._timer is not None and self._timer_at <= due):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = due
        self._timer = self.node.clock.call_at(due, self._fire_timers)

    def _fire_timers(self) -> None:
        self._timer = None
        self._do(self.proxy.fire_timers(self.node.clock.now()))
        self._schedule_timer()
