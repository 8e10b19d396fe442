"""A stand-in server of the fault soak: logs when each request began to arrive and was complete.

Run as a process with ``PORT SEED LOG``.  The seed determines its latencies, errors, resets and
missing responses.
Times in the log are in seconds of CLOCK_MONOTONIC, which all processes of a machine share.
"""

from __future__ import annotations

import asyncio
import json
import random
import socket
import struct
import sys
import time
from typing import TextIO

# tcpi_last_data_recv in TCP_INFO: milliseconds since data last arrived.
LAST_DATA_RECEIVED = struct.Struct("52xI")
BODY_REPEATS = (0, 1, 20, 2000)  # how often a response's body repeats the request id
LONG_BODY_REPEATS = 30_000  # so long that a node forwards the body while it arrives
LONG_BODY_FRACTION = 0.03  # of all responses
SILENCE_S = 60.0  # longer than any client waits


def arrived_at(transport: asyncio.BaseTransport) -> float:
    """Return when the kernel received the last bytes of a connection, however late they are read.

    In seconds of CLOCK_MONOTONIC.  Raises OSError if the socket gives no TCP_INFO.
    """
    sock = transport.get_extra_info("socket")
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size)
    return time.monotonic() - LAST_DATA_RECEIVED.unpack(info)[0] / 1000


class Behaviour:
    """Draws how the server handles each request."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def next(self) -> tuple[str, float]:
        """Return an action, and the delay in seconds before it."""
        draw, latency_s = self._random.random(), self._random.uniform(0.002, 0.06)
        if draw < 0.02:
            return "error", latency_s
        if draw < 0.04:
            return "not processed", latency_s
        if draw < 0.06:
            return "reset", latency_s
        if draw < 0.07:
            return "silence", SILENCE_S
        if draw < 0.10:
            return "answer", self._random.uniform(0.2, 0.8)
        if draw < 0.12:
            return "answer and close", latency_s
        return "answer", latency_s

    def body(self, request_id: str) -> bytes:
        """Return a body that only the response to this request has."""
        is_long = self._random.random() < LONG_BODY_FRACTION
        return body_of(
            request_id, LONG_BODY_REPEATS if is_long else self._random.choice(BODY_REPEATS)
        )


def body_of(request_id: str, repeats: int) -> bytes:
    """Return a response's body: the request id, the count, and the id repeated as often."""
    return f"{request_id}:{repeats}:".encode() + request_id.encode() * repeats


class Connection(asyncio.Protocol):
    """One connection from a node, on which requests follow each other one at a time."""

    def __init__(self, behaviour: Behaviour, log: TextIO) -> None:
        self._behaviour = behaviour
        self._log = log
        self._received = bytearray()
        self._began_at = 0.0
        self._request_id = ""  # of the request being served; empty between requests
        self._timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Collect received data, and serve the request once it is complete."""
        if not self._received:
            self._began_at = self._arrived_at()
        self._received += data
        head, end, body = bytes(self._received).partition(b"\r\n\r\n")
        if not end:
            return
        lines = head.decode("latin-1").split("\r\n")
        headers = {
            name.lower(): value.strip()
            for name, value in (line.split(":", 1) for line in lines[1:])
        }
        if len(body) < int(headers.get("content-length", "0")):
            return
        self._received.clear()
        self._serve(headers)

    def connection_lost(self, exc: Exception | None) -> None:
        """Log that the connection closed before the request being served had its response."""
        if self._timer is not None:
            self._timer.cancel()
        self._log_end("closed by the node")

    def _arrived_at(self) -> float:
        """Return when the kernel received the bytes that were just read."""
        assert self._transport is not None
        return arrived_at(self._transport)

    def _serve(self, headers: dict[str, str]) -> None:
        self._request_id = headers["x-request-id"]
        self._write_log(
            event="request",
            key=headers.get("idempotency-key", ""),
            cls=headers["x-priority-class"],
            began=self._began_at,
            whole=self._arrived_at(),
            timeout_us=int(headers["x-timeout"].removesuffix("u")),
        )
        action, delay_s = self._behaviour.next()
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._respond, action)

    def _respond(self, action: str) -> None:
        assert self._transport is not None
        request_id = self._request_id
        self._log_end(action)
        if action == "reset":
            self._transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            self._transport.abort()
        elif action == "error":
            self._write(500, b"", "")
        elif action == "not processed":
            self._write(503, b"", "X-Not-Processed: 1\r\n")
        else:
            self._write(200, self._behaviour.body(request_id), "")
            if action == "answer and close":
                self._transport.close()

    def _write(self, status: int, body: bytes, extra_headers: str) -> None:
        assert self._transport is not None
        head = f"HTTP/1.1 {status} Whatever\r\n{extra_headers}Content-Length: {len(body)}\r\n\r\n"
        self._transport.write(head.encode() + body)

    def _log_end(self, result: str) -> None:
        if self._request_id:
            self._write_log(event="end", how=result, at=time.monotonic())
            self._request_id = ""

    def _write_log(self, **fields: object) -> None:
        self._log.write(json.dumps({"id": self._request_id, **fields}) + "\n")
        self._log.flush()


async def main(port: int, seed: int, log_path: str) -> None:
    """Serve on the port until the process is killed."""
    behaviour = Behaviour(seed)
    with open(log_path, "a") as log:
        server = await asyncio.get_running_loop().create_server(
            lambda: Connection(behaviour, log), "127.0.0.1", port
        )
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3]))
