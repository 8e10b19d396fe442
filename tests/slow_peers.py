"""Servers and clients that read, write or respond slowly, for a node in a process of its own."""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from memory_load import head

# A small receive buffer and short segments, as on a network: otherwise the kernel of the node's
# machine takes megabytes of a request that its server does not read.
RECEIVE_BUFFER_BYTES = 16 * 1024
SEGMENT_BYTES = 1400
PAUSE_S = 0.05  # between two reads or writes of a slow peer


@dataclass(frozen=True)
class ResponsePlan:
    """How a server responds: after a delay, at a rate, with a length or in chunks."""

    size: int = 2
    delay_s: float = 0.0
    bytes_per_s: int = 10_000_000
    chunked: bool = False

    def parts(self) -> Iterator[bytes]:
        """Return the head, and the parts that are written in intervals of PAUSE_S."""
        framing = "Transfer-Encoding: chunked" if self.chunked else f"Content-Length: {self.size}"
        yield f"HTTP/1.1 200 OK\r\n{framing}\r\n\r\n".encode()
        part_bytes = max(1, int(self.bytes_per_s * PAUSE_S))
        for start in range(0, self.size, part_bytes):
            part = b"y" * min(part_bytes, self.size - start)
            yield b"%x\r\n%b\r\n" % (len(part), part) if self.chunked else part
        if self.chunked:
            yield b"0\r\n\r\n"


@dataclass
class SlowServer:
    """Reads requests slowly, or stops after some bytes; responds as planned."""

    read_bytes_per_s: int = 10_000_000
    stops_after_bytes: int | None = None
    response: ResponsePlan = field(default_factory=ResponsePlan)
    completed_requests: int = 0
    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    @contextlib.asynccontextmanager
    async def listening(self):
        """Listen; gives an :class:`asyncio.Server`."""
        listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        server = await asyncio.start_server(self._serve, sock=listener, limit=4096)
        try:
            yield server
        finally:
            server.close()
            for writer in self.writers:
                writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await self._read_request(reader)
                self.completed_requests += 1
                await asyncio.sleep(self.response.delay_s)
                for part in self.response.parts():
                    writer.write(part)
                    await writer.drain()
                    if self.response.size > 2:
                        await asyncio.sleep(PAUSE_S)

    async def _read_request(self, reader: asyncio.StreamReader) -> None:
        request_head = (await reader.readuntil(b"\r\n\r\n")).lower()
        received, tail = 0, b""
        size = None
        if b"content-length: " in request_head:
            size = int(request_head.split(b"content-length: ")[1].split(b"\r\n")[0])
        elif b"transfer-encoding: chunked" not in request_head:
            return
        while tail != b"\r\n0\r\n\r\n" and received != size:
            if self.stops_after_bytes is not None and received >= self.stops_after_bytes:
                await asyncio.Event().wait()
            data = await reader.read(int(self.read_bytes_per_s * PAUSE_S))
            if not data:
                raise asyncio.IncompleteReadError(b"", size)
            received += len(data)
            tail = (tail + data)[-7:]
            await asyncio.sleep(PAUSE_S)


@dataclass
class Answer:
    """What a client got, with times in seconds since its first byte was written."""

    status: int = 0  # 0: none
    sent_s: float = 0.0  # when the last byte was passed to the socket's buffers
    first_byte_s: float = 0.0
    last_byte_s: float = 0.0
    body_bytes: int = 0
    is_complete: bool = False


def body_parts(size: int, *, chunked: bool) -> Iterator[bytes]:
    """Return a request's body in parts of 10,000 bytes."""
    for start in range(0, size, 10_000):
        part = b"x" * min(10_000, size - start)
        yield b"%x\r\n%b\r\n" % (len(part), part) if chunked else part
    if chunked:
        yield b"0\r\n\r\n"


async def post(
    port: int,
    size: int,
    timeout_s: float,
    *,
    chunked: bool = False,
    bytes_per_s: int | None = None,
    give_up_s: float = 30.0,
) -> Answer:
    """Send an unsafe request with a body, as fast as the node takes it or at a rate."""
    framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {size}"
    raw = head("POST", "/", framing, f"X-Timeout: {int(timeout_s * 1000)}m")
    return await _exchange(port, [raw, *body_parts(size, chunked=chunked)], bytes_per_s, give_up_s)


async def get(port: int, timeout_s: float, *, give_up_s: float = 30.0) -> Answer:
    """Send a safe request without a body."""
    return await _exchange(
        port, [head("GET", "/", f"X-Timeout: {int(timeout_s * 1000)}m")], None, give_up_s
    )


async def _exchange(
    port: int, parts: list[bytes], bytes_per_s: int | None, give_up_s: float
) -> Answer:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    loop = asyncio.get_running_loop()
    began = loop.time()
    answer = Answer()

    async def send() -> None:
        with contextlib.suppress(ConnectionError):
            for part in parts:
                writer.write(part)
                await writer.drain()
                if bytes_per_s:
                    await asyncio.sleep(len(part) / bytes_per_s)
            answer.sent_s = loop.time() - began

    sending = loop.create_task(send())
    with contextlib.suppress(TimeoutError, ConnectionError, asyncio.IncompleteReadError):
        async with asyncio.timeout(give_up_s):
            await _read_answer(reader, answer, lambda: loop.time() - began)
    answer.last_byte_s = loop.time() - began
    sending.cancel()
    writer.transport.abort()
    return answer


async def _read_answer(
    reader: asyncio.StreamReader, answer: Answer, elapsed_s: Callable[[], float]
) -> None:
    response_head = (await reader.readuntil(b"\r\n\r\n")).lower()
    answer.first_byte_s = elapsed_s()
    answer.status = int(response_head.split(b" ")[1])
    if b"transfer-encoding: chunked" in response_head:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            await reader.readexactly(size + 2)
            answer.body_bytes += size
        await reader.readexactly(2)
    else:
        left = int(response_head.split(b"content-length: ")[1].split(b"\r\n")[0])
        while left:
            data = await reader.read(min(left, 65_536))
            if not data:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(data)
            answer.body_bytes += len(data)
    answer.is_complete = True
