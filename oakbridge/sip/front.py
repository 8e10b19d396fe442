"""The sockets of the SIP front: datagrams and streams in and out, one timer, and the node's module beside them.

All that is decided is decided in :mod:`oakbridge.sip.proxy`.  A peer that refuses datagrams is heard of through the
socket's error queue (Linux), so that "nobody listens there" is known at once and not by a time-out.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from dataclasses import dataclass
from typing import cast

from oakbridge.node.address import Address
from oakbridge.node.clock import Timer
from oakbridge.node.endpoint_list import EndpointList
from oakbridge.node.node import Node
from oakbridge.policy.actions import Action
from oakbridge.policy.events import EndpointState
from oakbridge.sip import proxy as core
from oakbridge.sip.errors import SipMessageError
from oakbridge.sip.framing import PONG, Stream
from oakbridge.sip.parser import MAX_MESSAGE_BYTES
from oakbridge.sip.proxy import Peer, Post, Proxy, Transmit

log = logging.getLogger(__name__)

IP_RECVERR, MSG_ERRQUEUE = 11, 0x2000  # Linux; not in the socket module of Python 3.11
BATCH = 64  # datagrams of one turn of the loop
RECEIVE_BUFFER = 1 << 20
STREAMS = 1024  # connections of callers
BEHIND = 256 * 1024  # bytes that a peer on a stream may leave unread before its connection is given up
ENDING_S = 3.0  # after the node's own end: for the answers of what is still open


@dataclass(frozen=True, slots=True)
class Options:
    """Where the front listens, and at which port servers do."""

    listen: Address
    server_port: int  # 0: the port that the list names
    tcp: bool = True


class _Stream(asyncio.Protocol):
    """A caller's connection."""

    def __init__(self, front: Front) -> None:
        self.front, self.stream = front, Stream()
        self.transport: asyncio.Transport | None = None
        self.peer: Peer | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        host, port = self.transport.get_extra_info("peername")[:2]
        self.peer = self.front.joined(self, host, port)

    def data_received(self, data: bytes) -> None:
        assert self.peer is not None and self.transport is not None
        try:
            messages = self.stream.feed(data)
        except SipMessageError as e:
            log.warning("sip: %s:%d: %s", self.peer.host, self.peer.port, e)
            self.transport.abort()
            return
        for _ in range(self.stream.pings):
            self.transport.write(PONG)
        self.stream.pings = 0
        for message in messages:
            self.front.heard(self.peer, message)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.peer is not None:
            self.front.left(self.peer)


class Front:
    """One SIP front on a node's module."""

    def __init__(self, node: Node, settings: core.Settings, options: Options, seed: int) -> None:
        """Listen.  Raises OSError with the address in its text."""
        self.node, self.options = node, options
        self.proxy = Proxy(settings, seed, node.ids)
        self._loop = asyncio.get_running_loop()
        self._streams: dict[int, _Stream] = {}
        self._joined = 0
        self._timer: Timer | None = None
        self._armed = 0
        self._todo: deque[core.Action] = deque()
        self._doing = False
        self._server: asyncio.Server | None = None
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
            self._sock.setsockopt(socket.IPPROTO_IP, IP_RECVERR, 1)
            self._sock.bind(options.listen)
        except OSError as e:
            self._sock.close()
            raise OSError(e.errno, f"sip: {options.listen[0]}:{options.listen[1]}: {e.strerror}") from None

    async def __aenter__(self) -> Front:
        """Take messages."""
        if self.options.tcp:
            try:
                self._server = await self._loop.create_server(lambda: _Stream(self), *self.options.listen)
            except OSError as e:
                self._sock.close()
                raise OSError(e.errno, f"sip: {e.strerror}") from None
        self.node.add_front(self)
        self._loop.add_reader(self._sock, self._readable)
        log.info("sip: listens on %s:%d", *self.options.listen)
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Give what is open its answer, for a while; nothing new is taken."""
        self.proxy.leaving = True
        for _ in range(int(ENDING_S / 0.02)):
            if not self.proxy.owed():
                break
            await asyncio.sleep(0.02)
        self._loop.remove_reader(self._sock)
        if self._timer is not None:
            self._timer.cancel()
        if self._server is not None:
            self._server.close()
        for stream in list(self._streams.values()):
            if stream.transport is not None:
                stream.transport.close()
        self._sock.close()

    # ---- the node's side

    def owns(self, request: int) -> bool:
        """Whether a request of the module's came in here."""
        return request in self.proxy.by_id

    def carry_out(self, action: Action) -> None:
        """One action of the module."""
        self._do(self.proxy.carry_out(self.node.clock.now(), action))

    def on_endpoint_list(self, new: EndpointList) -> None:
        """Keep to the list of servers: those that drain stay known to their dialogs, those that are gone do not."""
        if new.complete:
            self.proxy.servers = {}
        for entry in new.endpoints:
            if entry.server.state == EndpointState.GONE:
                self.proxy.servers.pop(entry.server.id, None)
            else:
                host, port = entry.address
                self.proxy.servers[entry.server.id] = Peer("UDP", host, self.options.server_port or port)

    # ---- in

    def _readable(self) -> None:
        for _ in range(BATCH):
            try:
                data, (host, port) = self._sock.recvfrom(MAX_MESSAGE_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:  # somebody refused what was sent: the queue says who
                self._refused()
                continue
            self.heard(Peer("UDP", host, port), data)

    def _refused(self) -> None:
        while True:
            try:
                data, *_ = self._sock.recvmsg(1024, 256, MSG_ERRQUEUE)
            except OSError:
                return
            self._do(self.proxy.refused(self.node.clock.now(), data))

    def heard(self, peer: Peer, data: bytes) -> None:
        """One message; a fault in it is contained."""
        try:
            self._do(self.proxy.received(self.node.clock.now(), peer, data))
        except Exception:
            log.exception("sip: a message from %s:%d failed", peer.host, peer.port)

    def joined(self, stream: _Stream, host: str, port: int) -> Peer:
        """A caller's connection; past the bound it is closed."""
        self._joined += 1
        self._streams[self._joined] = stream
        if len(self._streams) > STREAMS and stream.transport is not None:
            stream.transport.abort()
        return Peer("TCP", host, port, self._joined)

    def left(self, peer: Peer) -> None:
        """A caller's connection has ended."""
        self._streams.pop(peer.connection, None)
        self._do(self.proxy.lost(self.node.clock.now(), peer))

    # ---- out

    def _do(self, actions: list[core.Action]) -> None:
        """Carry out in order; what comes up meanwhile waits its turn, so that a long chain does not nest."""
        self._todo.extend(actions)
        if self._doing:
            return
        self._doing = True
        try:
            while self._todo:
                action = self._todo.popleft()
                if isinstance(action, Post):
                    self.node.post(action.event)
                else:
                    self._transmit(action)
        finally:
            self._doing = False
        self._arm()

    def _transmit(self, action: Transmit) -> None:
        peer = action.peer
        if peer.transport == "TCP":
            stream = self._streams.get(peer.connection)
            if stream is not None and stream.transport is not None:
                stream.transport.write(action.data)
                if stream.transport.get_write_buffer_size() > BEHIND:
                    stream.transport.abort()  # it reads nothing: memory is not its to take
            return
        for _ in range(2):  # the first may only tell that an earlier datagram was refused
            try:
                self._sock.sendto(action.data, (peer.host, peer.port))
                return
            except BlockingIOError:
                return  # as lost on the way: it is sent again by its timer
            except OSError:
                self._loop.call_soon(self._refused)

    def _arm(self) -> None:
        due = self.proxy.due()
        if due is None or (self._timer is not None and self._armed <= due):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._armed = due
        self._timer = self.node.clock.call_at(due, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._do(self.proxy.tick(self.node.clock.now()))
        self._arm()
