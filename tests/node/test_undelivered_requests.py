"""Requests that the socket has taken, and that their server does not have yet."""

import asyncio
import contextlib
import socket

import pytest
from peers import SETTINGS, RunningNode, ScriptedServer, reply, run, until, with_timeout
from pool_harness import LONG_US, PoolHarness, accept, listening_socket

from oakbridge.node.attempt import Attempt
from oakbridge.node.connection_pool import MIN_IDLE_US
from oakbridge.node.request_writer import EncodedRequest
from oakbridge.policy.events import AttemptResult

RECEIVE_BUFFER_BYTES = 4096
BODY_BYTES = 150_000  # more than a receive buffer, and less than a send buffer, holds
REQUEST = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES + b"x" * BODY_BYTES


@contextlib.asynccontextmanager
async def request_in_the_kernel(timeout_us: int = LONG_US, deliver_within_us: int | None = None):
    """Give a pool, an attempt whose last byte its socket has taken, its end, and its server's socket."""
    with listening_socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        harness = PoolHarness(listener.getsockname()[1])
        end, now = harness.loop.create_future(), harness.clock.now()
        attempt = Attempt(
            "s",
            lambda _: EncodedRequest(REQUEST),
            now + timeout_us,
            end.set_result,
            deliver_by=None if deliver_within_us is None else now + deliver_within_us,
        )
        harness.pool.send(attempt)
        with await accept(listener) as sock:
            await until(lambda: attempt.connection and attempt.connection.request_written())
            yield harness, attempt, end, sock


def received_bytes(sock: socket.socket) -> int:
    """Return how many bytes a server gets until the connection ends."""
    received = 0
    with contextlib.suppress(ConnectionResetError):
        while data := sock.recv(65_536):
            received += len(data)
    return received


# Guards against a request that runs after it was given up, as the kernel goes on sending it.
@pytest.mark.parametrize(
    ("given_up_by", "expected"),
    [
        ("cancel", AttemptResult.CANCELLED),
        ("timeout", AttemptResult.CONNECT_FAILED),
        ("delivery", AttemptResult.CONNECT_FAILED),
    ],
)
def test_request_that_is_given_up_does_not_reach_its_server_later(given_up_by, expected):
    timeout_us = 200_000 if given_up_by == "timeout" else LONG_US
    deliver_within_us = 200_000 if given_up_by == "delivery" else None

    async def scenario():
        async with request_in_the_kernel(timeout_us, deliver_within_us) as sent:
            harness, attempt, end, sock = sent
            if given_up_by == "cancel":
                harness.pool.cancel(attempt)
                assert end.done()
            assert (await with_timeout(end)).result == expected
            assert received_bytes(sock) < len(REQUEST)

    run(scenario())


# Guards against a request that is broken off although its server has it and works on it.
def test_request_that_its_server_has_in_time_may_take_longer_to_be_answered():
    async def scenario():
        async with request_in_the_kernel(deliver_within_us=400_000) as (harness, _, end, sock):
            received = 0
            while received < len(REQUEST):
                received += len(await harness.loop.run_in_executor(None, sock.recv, 65_536))
            await asyncio.sleep(0.6)
            sock.sendall(reply(200))
            assert (await with_timeout(end)).result == AttemptResult.OK

    run(scenario())


# Guards against a next request that waits behind the rest of the one before.
def test_connection_is_not_reused_while_its_request_is_in_the_kernel():
    async def scenario():
        async with request_in_the_kernel() as (harness, _, end, sock):
            sock.sendall(reply(200, b"early"))
            assert (await with_timeout(end)).result == AttemptResult.OK
            await asyncio.sleep(2 * MIN_IDLE_US / 1e6)
            assert harness.pool.connection_count == 0

    run(scenario())


# Guards against an attempt that begins after its client has gone.
def test_request_in_the_kernel_is_withdrawn_when_its_client_disconnects():
    async def scenario():
        with listening_socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            server = ScriptedServer(lambda _: None)
            server.port = listener.getsockname()[1]
            settings = SETTINGS | {"allowed": SETTINGS["allowed"] | {"cancelling": False}}
            async with RunningNode(server, settings=settings) as node:
                client = await node.client()
                client.send("book", "POST", body=b"x" * BODY_BYTES)
                with await accept(listener) as sock:
                    [pooled] = node.node.pool.servers.values()
                    await until(lambda: [c for c in pooled.busy if c.request_written()])
                    client.close()
                    await until(lambda: not node.node.pool.connection_count)
                    assert received_bytes(sock) < BODY_BYTES

    run(scenario())


KEYED = {
    "name": "keyed",
    "aim": 10_000_000,
    "deadline": 20_000_000,
    "idempotency": "token",
    "group": "all",
    "repeat-window": 2_000_000,
}


# Guards against a repeat that runs once more, as servers forget its key while they read its body.
@pytest.mark.parametrize(("body_bytes", "runs"), [(1_000, 2), (BODY_BYTES, 1)])
def test_request_is_not_sent_again_if_servers_may_forget_its_key_meanwhile(body_bytes, runs):
    statuses = iter([500])

    async def scenario():
        settings = SETTINGS | {"classes": [*SETTINGS["classes"], KEYED]}
        async with (
            ScriptedServer(lambda _: reply(next(statuses, 200))) as server,
            RunningNode(server, settings=settings) as node,
        ):
            client = await node.client()
            client.send("keyed", "POST", body=b"x" * body_bytes, Idempotency_Key="k-1")
            status, _, _ = await client.read_response()
            assert (status == 200, server.requests.qsize()) == (runs == 2, runs)

    run(scenario())
