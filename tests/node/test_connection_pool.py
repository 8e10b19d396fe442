"""The servers' side over loopback sockets: bytes to outcomes, what was written, what is kept and closed."""

import asyncio
import contextlib
import socket

import pytest
from peers import Peer, reply, run, silent_listener, soon, until

from oakbridge.node.attempt import Attempt, Reply
from oakbridge.node.clock import Clock
from oakbridge.node.connection_pool import SETTLE, Pool
from oakbridge.node.listing import Entry, Listing
from oakbridge.policy.vocabulary import ListedServer, Result

LONG = 60_000_000
GET = b"GET /api HTTP/1.1\r\nx-request-id: 1\r\n\r\n"


class Bench:
    """A pool with one server, and attempts whose ends can be awaited."""

    def __init__(self, port: int, connect_timeout: int = LONG, idle: int = LONG, most: int = 8) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock = Clock(self.loop)
        self.pool = Pool(self.loop, self.clock, connect_timeout, idle, most)
        self.port = port
        self.list("s")

    def list(self, *names: str, started: int = 0) -> None:
        address = "127.0.0.1", self.port
        entries = [Entry(ListedServer(name, started=started), address) for name in names]
        self.pool.take(Listing(1, True, entries))

    def send(self, data: bytes = GET, timeout: int = LONG) -> tuple[Attempt, "asyncio.Future[Reply]"]:
        end: asyncio.Future[Reply] = self.loop.create_future()
        attempt = Attempt("s", lambda _: data, self.clock.now() + timeout, end.set_result)
        self.pool.send(attempt)
        return attempt, end

    async def result(self, *args, **named) -> Result:
        return (await soon(self.send(*args, **named)[1])).result


@contextlib.contextmanager
def listening():
    """A server by hand, driven without the loop."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(16)
        listener.settimeout(20)
        yield listener


async def accept(listener: socket.socket) -> socket.socket:
    sock, _ = await asyncio.get_running_loop().run_in_executor(None, listener.accept)
    sock.settimeout(20)
    return sock


@pytest.mark.parametrize(
    ("said", "expected"),
    [
        (reply(200, b"car 7"), Result.OK),
        (reply(200), Result.OK),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + reply(200, b"car 7"), Result.OK),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ncar\r\n0\r\n\r\n", Result.OK),
        (reply(500), Result.ERROR),
        (reply(404), Result.ERROR),
        (reply(204), Result.ERROR),
        (reply(503, b"", "X-Not-Processed: 1"), Result.FULL),
        (reply(504, b"", "x-not-processed: 1"), Result.FULL),
        (reply(500, b"", "X-Not-Processed: 1"), Result.ERROR),
        (reply(503), Result.ERROR),
        ("close", Result.RESET),
        (b"SSH-2.0-what\r\n\r\n", Result.RESET),
        (b"HTTP/1.1 200 OK\r\nContent-Length: nine\r\n\r\n", Result.RESET),
        (reply(200, b"x" * (64 * 1024 + 1)), Result.RESET),
        (b"HTTP/1.1 101 Up\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", Result.ERROR),
        (b"HTTP/1.1 200 OK\r\nX-Long: " + b"x" * 200_000, Result.RESET),
    ],
)
def test_bytes_to_outcome(said, expected):
    async def scenario():
        async with Peer(lambda _: said) as peer:
            assert await Bench(peer.port).result() == expected

    run(scenario())


@pytest.mark.parametrize(
    "said",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncar",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ncar\r\n",
        b"HTTP/1.1 200 OK\r\nX-Half",
    ],
)
def test_answer_that_breaks_off_is_a_reset(said):
    async def scenario():
        with listening() as listener:
            _, end = Bench(listener.getsockname()[1]).send()
            with await accept(listener) as sock:
                sock.recv(1000)
                sock.sendall(said)
            assert (await soon(end)).result == Result.RESET

    run(scenario())


def test_silence_times_out_and_closes_the_connection():
    async def scenario():
        async with Peer(lambda _: None) as peer:
            assert await Bench(peer.port).result(timeout=50_000) == Result.TIMEOUT
            assert await soon(peer.left.get()) == 1

    run(scenario())


def test_refused_connection_never_ran():
    async def scenario():
        with listening() as listener:
            port = listener.getsockname()[1]
        assert await Bench(port).result() == Result.CONNECT_FAILED

    run(scenario())


@pytest.mark.parametrize(("connect_timeout", "timeout"), [(50_000, LONG), (LONG, 50_000)])
def test_connection_that_never_comes_up_never_ran(connect_timeout, timeout):
    async def scenario():
        listener, fillers = silent_listener()
        bench = Bench(listener.getsockname()[1], connect_timeout)
        assert await bench.result(timeout=timeout) == Result.CONNECT_FAILED
        assert bench.pool.count == 0
        for sock in [listener, *fillers]:
            sock.close()

    run(scenario())


@pytest.mark.parametrize("breaks", [True, False])
def test_request_whose_last_byte_was_never_written_never_ran(breaks):
    """What the socket did not take stays in our hands, whatever a buffer would have said."""

    async def scenario():
        with listening() as listener:
            _, end = Bench(listener.getsockname()[1]).send(b"x" * 50_000_000, LONG if breaks else 100_000)
            with await accept(listener) as sock:
                sock.recv(1000)
                if not breaks:
                    assert (await soon(end)).result == Result.CONNECT_FAILED
            assert (await soon(end)).result == Result.CONNECT_FAILED

    run(scenario())


def test_connection_is_kept_and_used_again():
    async def scenario():
        async with Peer(lambda _: reply(200)) as peer:
            bench = Bench(peer.port)
            for _ in range(3):
                assert await bench.result() == Result.OK
                await asyncio.sleep(2 * SETTLE / 1e6)
            assert peer.connections == 1

    run(scenario())


@pytest.mark.parametrize("said", [reply(200, b"", "Connection: close"), reply(200) + b"more", reply(200) * 2])
def test_connection_that_can_not_be_trusted_is_not_kept(said):
    async def scenario():
        async with Peer(lambda _: said) as peer:
            bench = Bench(peer.port)
            assert [await bench.result() for _ in range(2)] == [Result.OK] * 2
            assert peer.connections == 2

    run(scenario())


def test_kept_connection_that_the_server_has_just_closed_is_no_reset(monkeypatch):
    """The loop has not read the end yet, but nothing may be written to that connection."""
    monkeypatch.setattr("oakbridge.node.connection_pool.SETTLE", 0)

    async def scenario():
        with listening() as listener:
            bench = Bench(listener.getsockname()[1])
            _, end = bench.send()
            with await accept(listener) as sock:
                sock.recv(1000)
                sock.sendall(reply(200))
                assert (await soon(end)).result == Result.OK
            _, end = bench.send()  # in the same round of the loop as the close
            with await accept(listener) as sock:
                assert sock.recv(1000) == GET
                sock.sendall(reply(200))
                assert (await soon(end)).result == Result.OK

    run(scenario())


def test_cancelled_attempt_has_its_connection_closed_at_once():
    """Not in the loop's next round: the next attempt may be sent before that."""

    async def scenario():
        with listening() as listener:
            bench = Bench(listener.getsockname()[1])
            attempt, end = bench.send()
            with await accept(listener) as sock:
                assert sock.recv(1000) == GET
                bench.pool.cancel(attempt)
                assert sock.recv(1000) == b""  # the loop has not run since
                assert end.result().result == Result.CANCELLED

    run(scenario())


def test_drained_server_gets_nothing_new():
    async def scenario():
        async with Peer(lambda _: reply(200)) as peer:
            bench = Bench(peer.port)
            assert await bench.result() == Result.OK
            bench.list()
            assert await soon(peer.left.get()) == 1  # the kept connection is given back
            assert await bench.result() == Result.CONNECT_FAILED
            assert peer.connections == 1

    run(scenario())


def test_attempt_that_still_connects_ends_with_the_drain():
    async def scenario():
        listener, fillers = silent_listener()
        bench = Bench(listener.getsockname()[1])
        _, connecting = bench.send()
        bench.list()
        assert (await soon(connecting)).result == Result.CONNECT_FAILED
        for sock in [listener, *fillers]:
            sock.close()

    run(scenario())


def test_attempt_that_is_out_outlives_the_drain_but_its_connection_does_not():
    async def scenario():
        async def held():
            await peer.release.wait()
            return reply(200)

        async with Peer(lambda _: held()) as peer:
            bench = Bench(peer.port)
            _, out = bench.send()
            await soon(peer.seen.get())
            bench.list()
            peer.release.set()
            assert (await soon(out)).result == Result.OK
            assert await soon(peer.left.get()) == 1

    run(scenario())


def test_restarted_server_gets_fresh_connections():
    async def scenario():
        async with Peer(lambda _: reply(200)) as peer:
            bench = Bench(peer.port)
            assert await bench.result() == Result.OK
            bench.list("s", started=5)
            assert await bench.result() == Result.OK
            assert [peer.seen.get_nowait().connection for _ in range(2)] == [1, 2]

    run(scenario())


def test_idle_connection_is_closed_before_the_server_would():
    async def scenario():
        async with Peer(lambda _: reply(200)) as peer:
            bench = Bench(peer.port, idle=100_000)
            assert await bench.result() == Result.OK
            assert await soon(peer.left.get()) == 1
            assert bench.pool.count == 0

    run(scenario())


def test_connections_are_bounded():
    """At the bound an idle connection to any server goes first; with none, nothing is sent."""

    async def scenario():
        async with Peer(lambda seen: None if seen.url == "/hold" else reply(200)) as peer:
            bench = Bench(peer.port, most=1)
            bench.list("s", "t")
            assert await bench.result() == Result.OK
            end = bench.loop.create_future()
            hold = b"GET /hold HTTP/1.1\r\n\r\n"
            bench.pool.send(Attempt("t", lambda _: hold, bench.clock.now() + LONG, end.set_result))
            assert await soon(peer.left.get()) == 1
            assert await bench.result() == Result.CONNECT_FAILED
            assert not end.done()
            bench.pool.close()

    run(scenario())


@pytest.mark.parametrize(
    ("said", "expected"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nabc", Result.RESET),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nabc", Result.RESET),
        (b"HTTP/1.1 200 OK\r\nX-Endless: ", Result.RESET),
        (b"HTTP/1.1 200 OK\r\n\r\nabc", Result.RESET),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", Result.RESET),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", Result.RESET),
        (b"HTTP/1.1 103 Early\r\n\r\n" * 5_000, Result.RESET),
        (b"HTTP/1.1 103 Early\r\nContent-Length: 7\r\n\r\n" + reply(200, b"car"), Result.OK),
    ],
)
def test_spoilt_answer_ends_long_before_its_time(said, expected):
    """Guards against waiting to a request's end for an answer that will never be whole."""

    async def scenario():
        async with Peer(lambda _: said) as peer:
            assert await Bench(peer.port).result(timeout=1000 * LONG) == expected

    run(scenario())


def test_answer_before_the_request_is_written_serves_nobody():
    """It is none to this request, which has not run."""

    async def scenario():
        with listening() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            _, end = Bench(listener.getsockname()[1]).send(GET[:-2] + b"\r\n" + b"x" * 8_000_000)
            with await accept(listener) as sock:
                sock.sendall(reply(200, b"early"))
                assert (await soon(end)).result == Result.CONNECT_FAILED

    run(scenario())


def test_second_copy_right_behind_an_answer_serves_nobody(monkeypatch):
    """Guards against a connection that is used again before what comes behind its answer could show."""
    monkeypatch.setattr("oakbridge.node.connection_pool.SETTLE", LONG)

    async def scenario():
        with listening() as listener:
            bench = Bench(listener.getsockname()[1])
            _, first = bench.send()
            with await accept(listener) as one:
                assert one.recv(1000) == GET
                one.sendall(reply(200, b"first"))
                assert (await soon(first)).body == b"first"
                _, second = bench.send()
                one.sendall(reply(200, b"first"))
                with await accept(listener) as two:
                    assert two.recv(1000) == GET
                    two.sendall(reply(200, b"second"))
                    assert (await soon(second)).body == b"second"

    run(scenario())


def test_a_connection_on_which_nothing_was_served_is_not_kept():
    """Guards against one that the server took above its limit: it turns away all that comes on it."""

    async def main() -> None:
        full = reply(503, b"", "X-Not-Processed: 1")
        script = iter([full, full, reply(200), full, full])
        async with Peer(lambda _: next(script)) as server:
            bench = Bench(server.port)
            results = []
            for _ in range(5):
                results.append(await bench.result())
                await asyncio.sleep(2 * SETTLE / 1e6)
            assert results == [Result.FULL, Result.FULL, Result.OK, Result.FULL, Result.FULL]
            assert server.connections == 3
            assert bench.pool.count == 1  # the one that has served, and turned two away since
            bench.pool.close()

    run(main())


@contextlib.asynccontextmanager
async def late_listener():
    """A port at which connections come up only once they are taken, which the second value begins to do."""
    listener, fillers = silent_listener()
    listener.setblocking(False)
    held, tasks = [listener, *fillers], []

    async def take():
        while True:
            held.append((await asyncio.get_running_loop().sock_accept(listener))[0])

    try:
        yield listener.getsockname()[1], lambda: tasks.append(asyncio.create_task(take()))
    finally:
        for task in tasks:
            task.cancel()
        for sock in held:
            sock.close()


def test_what_is_told_of_the_time_left_counts_a_slow_dial():
    async def scenario():
        async with late_listener() as (port, take):
            bench = Bench(port)
            told, due = [], bench.clock.now() + LONG
            attempt = Attempt("s", lambda left: told.append(left) or GET, due, lambda reply: None)
            bench.pool.send(attempt)
            await asyncio.sleep(0.1)
            assert not told
            least = bench.clock.now()
            take()
            await until(lambda: told)
            assert due - bench.clock.now() <= told[0] <= due - least
            bench.pool.cancel(attempt)

    run(scenario())


def test_repeat_whose_dial_comes_up_too_late_is_not_begun():
    """Servers may have forgotten the first attempt by then, and would run it twice."""

    async def scenario():
        async with late_listener() as (port, take):
            bench = Bench(port)
            told, end = [], bench.loop.create_future()
            now = bench.clock.now()
            attempt = Attempt(
                "s", lambda left: told.append(left) or GET, now + LONG, end.set_result, begin_by=now + 50_000
            )
            bench.pool.send(attempt)
            await asyncio.sleep(0.1)
            take()
            assert (await soon(end)).result == Result.CONNECT_FAILED
            assert not told and bench.pool.count == 0

    run(scenario())
