"""The SIP front of a node: connects the proxy to sockets, a timer and the node's balancer.

All decisions about messages are made in :mod:`oakbridge.sip.proxy`.
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

# How long the front waits for the responses to open requests after the node itself has stopped.
DRAIN_TIMEOUT_S = 3.0
DRAIN_POLL_INTERVAL_S = 0.02


@dataclass(frozen=True, slots=True)
class FrontOptions:
    """The address that the front listens on, and the SIP port of the servers."""

    listen: Address
    server_port: int  # 0: each server's port in the endpoint list
    tcp: bool = True


class Front:
    """Serves SIP with a node's balancer; an asynchronous context manager."""

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
        self._is_carrying_out = False
        self._server: asyncio.Server | None = None
        self._connections = CallerConnections(self._message_received, self._connection_lost)
        self._datagrams = DatagramSocket(
            options.listen,
            self._message_received,
            self._datagram_refused,
        )

    async def __aenter__(self) -> Front:
        """Start to receive messages. Raises OSError if the TCP address can't be bound."""
        if self.options.tcp:
            try:
                self._server = await self._loop.create_server(
                    self._connections.new_connection, *self.options.listen
                )
            except OSError as error:
                self._datagrams.close()
                raise OSError(error.errno, f"sip: {error.strerror}") from None
        self.node.add_front(self)
        self._datagrams.start()
        log.info("sip front listening: address=%s:%d", *self.options.listen)
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Reject new requests, wait for open ones until a timeout, and close the sockets."""
        self.proxy.start_draining()
        for _ in range(int(DRAIN_TIMEOUT_S / DRAIN_POLL_INTERVAL_S)):
            if not self.proxy.store.pending_requests():
                break
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        if self._timer is not None:
            self._timer.cancel()
        if self._server is not None:
            self._server.close()
        self._connections.close()
        self._datagrams.close()

    # ---- called by the node

    def owns(self, request: int) -> bool:
        """Return whether a request, given by its balancer id, arrived at this front."""
        return self.proxy.owns(request)

    def carry_out(self, action: Action) -> None:
        """Carry out an action of the balancer for a request of this front."""
        self._carry_out_all(self.proxy.carry_out(self.node.clock.now(), action))

    def on_endpoint_list(self, new: EndpointList) -> None:
        """Apply a list, or the changes in it; a draining server stays reachable for its dialogs."""
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
        """Handle one message; an exception is logged, and the front goes on serving."""
        try:
            self._carry_out_all(self.proxy.message_received(self.node.clock.now(), peer, data))
        except Exception:
            log.exception("handling of a sip message failed: source=%s:%d", peer.host, peer.port)

    def _datagram_refused(self, data: bytes) -> None:
        self._carry_out_all(self.proxy.datagram_refused(self.node.clock.now(), data))

    def _connection_lost(self, peer: Peer) -> None:
        self._carry_out_all(self.proxy.connection_lost(self.node.clock.now(), peer))

    # ---- the proxy's actions

    def _carry_out_all(self, actions: list[ProxyAction]) -> None:
        """Carry out the proxy's actions in order.

        Actions that an action causes are appended to the queue, so that a long chain of them does
        not nest calls.
        """
        self._actions.extend(actions)
        if self._is_carrying_out:
            return
        self._is_carrying_out = True
        try:
            while self._actions:
                action = self._actions.popleft()
                if isinstance(action, PostEvent):
                    self.node.post(action.event)
                else:
                    self._transmit(action)
        finally:
            self._is_carrying_out = False
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
        self._carry_out_all(self.proxy.fire_timers(self.node.clock.now()))
        self._schedule_timer()
