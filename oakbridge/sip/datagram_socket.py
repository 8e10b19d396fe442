"""The UDP socket of the SIP front.

The socket's error queue (Linux) holds the datagrams that a host refused, so that a server whose
port is closed is detected at once and not by a timeout.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from oakbridge.node.address import Address
from oakbridge.sip.parser import MAX_MESSAGE_BYTES
from oakbridge.sip.peer import Peer

# Constants of Linux that the socket module of Python 3.11 lacks.
IP_RECVERR = 11
MSG_ERRQUEUE = 0x2000

MAX_DATAGRAMS_PER_TURN = 64  # datagrams read in one turn of the event loop
RECEIVE_BUFFER_BYTES = 1 << 20
REFUSED_DATAGRAM_BYTES = 1024  # bytes read of a refused datagram; they contain its Via
ANCILLARY_BYTES = 256
SEND_ATTEMPTS = 2  # the first sendto may only report that an earlier datagram was refused


class DatagramSocket:
    """A bound UDP socket that passes received and refused datagrams to two callbacks."""

    def __init__(
        self,
        address: Address,
        on_datagram: Callable[[Peer, bytes], None],
        on_refused: Callable[[bytes], None],
    ) -> None:
        """Bind the socket. Raises OSError with the address in its text."""
        self._on_datagram = on_datagram
        self._on_refused = on_refused
        self._loop = asyncio.get_running_loop()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            self._socket.setsockopt(socket.IPPROTO_IP, IP_RECVERR, 1)
            self._socket.bind(address)
        except OSError as error:
            self._socket.close()
            raise OSError(
                error.errno, f"sip: {address[0]}:{address[1]}: {error.strerror}"
            ) from None

    def start(self) -> None:
        """Start to receive datagrams."""
        self._loop.add_reader(self._socket, self._readable)

    def close(self) -> None:
        """Stop receiving, and close the socket."""
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def send(self, data: bytes, peer: Peer) -> None:
        """Send a datagram.

        If the send buffer is full, the datagram is lost; its transaction's timer retransmits it.
        """
        for _ in range(SEND_ATTEMPTS):
            try:
                self._socket.sendto(data, (peer.host, peer.port))
            except BlockingIOError:
                return
            except OSError:
                self._loop.call_soon(self._read_error_queue)
            else:
                return

    def _readable(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                data, (host, port) = self._socket.recvfrom(MAX_MESSAGE_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:  # a datagram was refused; the error queue holds it
                self._read_error_queue()
                continue
            self._on_datagram(Peer("UDP", host, port), data)

    def _read_error_queue(self) -> None:
        while True:
            try:
                data, *_ = self._socket.recvmsg(
                    REFUSED_DATAGRAM_BYTES,
                    ANCILLARY_BYTES,
                    MSG_ERRQUEUE,
                )
            except OSError:
                return
            self._on_refused(data)
