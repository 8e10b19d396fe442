"""A stand-in server of the fault soak: one process that logs when each request began and came whole.

Called with ``PORT SEED LOG``.  Its latencies, errors, resets and silences are drawn from the seed.
Times in the log are seconds of CLOCK_MONOTONIC, which all processes of a machine share.
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

LAST_DATA_RECEIVED = struct.Struct("52xI")  # tcpi_last_data_recv in TCP_INFO: milliseconds ago
BODY_REPEATS = (0, 1, 20, 2000)  # of the id in an answer's body
LONG_REPEATS = 30_000  # of one that a node passes on as it comes
LONG_SHARE = 0.03
HANG_S = 60.0


def arrived_at(transport: asyncio.BaseTransport) -> float:
    """Return when the kernel received the last bytes on a connection, however late they are read."""
    sock = transport.get_extra_info("socket")
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size)
    return time.monotonic() - LAST_DATA_RECEIVED.unpack(info)[0] / 1000


class Behaviour:
    """What becomes of each request."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def next(self) -> tuple[str, float]:
        """Return what to do, and after how many seconds."""
        draw, latency_s = self._random.random(), self._random.uniform(0.002, 0.06)
        if draw < 0.02:
            return "error", latency_s
        if draw < 0.04:
            return "not processed", latency_s
        if draw < 0.06:
            return "reset", latency_s
        if draw < 0.07:
            return "silence", HANG_S
        if draw < 0.10:
            return "answer", self._random.uniform(0.2, 0.8)
        if draw < 0.12:
            return "answer and close", latency_s
        return "answer", latency_s

    def body(self, request_id: str) -> bytes:
        """Return a body that only this request's answer has."""
        is_long = self._random.random() < LONG_SHARE
        return body_of(request_id, LONG_REPEATS if is_long else self._random.choice(BODY_REPEATS))


def body_of(request_id: str, repeats: int) -> bytes:
    """Return the body of an answer."""
    return f"{request_id}:{repeats}:".encode() + request_id.encode() * repeats


class Connection(asyncio.Protocol):
    """One connection from a node: one request at a time."""

    def __init__(self, behaviour: Behaviour, log: TextIO) -> None:
        self._behaviour = behaviour
        self._log = log
        self._received = bytearray()
        self._began_at = 0.0
        self._request_id = ""  # the one that is being served
        self._timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Serve a request once it is whole."""
        if not self._received:
            self._began_at = self._arrived_at()
        self._received += data
        head, end, body = bytes(self._received).partition(b"\r\n\r\n")
        if not end:
            return
        lines = head.decode("latin-1").split("\r\n")
        headers = {k.lower(): v.strip() for k, v in (line.split(":", 1) for line in lines[1:])}
        if len(body) < int(headers.get("content-length", "0")):
            return
        self._received.clear()
        self._serve(headers)

    def connection_lost(self, exc: Exception | None) -> None:
        """Log the end of what was being served."""
        if self._timer is not None:
            self._timer.cancel()
        self._end("closed by the node")

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
        what, after_s = self._behaviour.next()
        self._timer = asyncio.get_running_loop().call_later(after_s, self._answer, what)

    def _answer(self, what: str) -> None:
        assert self._transport is not None
        request_id = self._request_id
        self._end(what)
        if what == "reset":
            self._transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            self._transport.abort()
        elif what == "error":
            self._write(500, b"", "")
        elif what == "not processed":
            self._write(503, b"", "X-Not-Processed: 1\r\n")
        else:
            self._write(200, self._behaviour.body(request_id), "")
            if what == "answer and close":
                self._transport.close()

    def _write(self, status: int, body: bytes, more: str) -> None:
        assert self._transport is not None
        head = f"HTTP/1.1 {status} Whatever\r\n{more}Content-Length: {len(body)}\r\n\r\n"
        self._transport.write(head.encode() + body)

    def _end(self, how: str) -> None:
        if self._request_id:
            self._write_log(event="end", how=how, at=time.monotonic())
            self._request_id = ""

    def _write_log(self, **fields: object) -> None:
        self._log.write(json.dumps({"id": self._request_id, **fields}) + "\n")
        self._log.flush()


async def main(port: int, seed: int, log_path: str) -> None:
    """Serve until killed."""
    behaviour = Behaviour(seed)
    with open(log_path, "a") as log:
        server = await asyncio.get_running_loop().create_server(
            lambda: Connection(behaviour, log), "127.0.0.1", port
        )
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3]))
