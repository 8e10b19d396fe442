"""Requests a second, and how late answers come at half load: the node and its peers side by side in one run.

    python benchmarks/nodes.py [--repeats 3] [--seconds 4] [--peers forwarder,aiohttp,node] [--against FOLDER] [--json]

Each peer runs alone on core 0 (workers: as many cores as workers, the supervisor among them), stand-in servers on two
other cores, the load on two more.  First as many requests as go through (64 connections, one request each at a
time), then half of what the *slowest peer with one core* carried, on a schedule: each latency is from when the request
was *due*, so that a stall shows in all that it delayed.  Peers take turns within a repeat; medians over repeats.

Needs what requirements-bench.txt lists.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import os
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
SERVERS = 4
CONNECTIONS = 64
BODY = b'{"cars":[{"id":"NO-81","at":[60.39,5.32],"wait_s":140}]}'
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n%s" % (
    len(BODY),
    BODY,
)
REQUEST = (
    b"GET /cars?near=60.39,5.32 HTTP/1.1\r\nhost: dispatch\r\naccept: */*\r\nx-request-id: %x\r\n"
    b"x-priority-class: look\r\nx-tenant-id: harbour\r\nx-timeout: 5000m\r\n\r\n"
)
CONFIG = """
[node]
name = "bench"
listen = ["127.0.0.1:{port}"]
[limits]
sockets = {sockets}
[servers]
inline = [{servers}]
[[class]]
name = "look"
aim = "2.5s"
deadline = "6s"
repeat = "safe"
[control]
enabled = false
[log]
level = "error"
"""


def fast(main: Any) -> Any:
    """The load and the servers run on uvloop, so that they need less of the machine than what they measure."""
    import uvloop

    return uvloop.run(main)


def pin(*cores: int) -> None:
    """Only on these cores from now on, if the machine has them."""
    have = os.sched_getaffinity(0)
    os.sched_setaffinity(0, set(cores) & have or have)


# ---- stand-in servers and peers; each is a process of this file


class Server(asyncio.Protocol):
    """Answers at once whatever ends in an empty line."""

    def connection_made(self, transport: Any) -> None:
        """Keep it."""
        self.transport, self.rest = transport, b""

    def data_received(self, data: bytes) -> None:
        """One answer for each request that is whole."""
        *whole, self.rest = (self.rest + data).split(b"\r\n\r\n")
        if whole:
            self.transport.write(ANSWER * len(whole))


async def servers(ports: list[int]) -> None:
    """Stand-in servers on these ports."""
    loop = asyncio.get_running_loop()
    for port in ports:
        await loop.create_server(Server, "127.0.0.1", port, backlog=1024)
    await asyncio.Event().wait()


class Pipe(asyncio.Protocol):
    """One direction of the bare forwarder: bytes in, bytes out, nothing read."""

    def __init__(self, other: Any = None, ports: Any = None) -> None:
        self.other, self.ports, self.early = other, ports, b""

    def connection_made(self, transport: Any) -> None:
        """A caller's connection gets one to a server of its own."""
        self.transport = transport
        if self.ports is not None:
            asyncio.get_running_loop().create_task(self.connect())

    async def connect(self) -> None:
        """Connect to the next server."""
        port = next(self.ports)
        loop = asyncio.get_running_loop()
        self.other, _ = await loop.create_connection(
            lambda: Pipe(self.transport), "127.0.0.1", port
        )
        self.other.write(self.early)

    def data_received(self, data: bytes) -> None:
        """On with it."""
        if self.other is None:
            self.early += data
        else:
            self.other.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Both ends go together."""
        if self.other is not None:
            self.other.close()


async def forwarder(port: int, ports: list[int]) -> None:
    """A bare asyncio byte forwarder: what the socket work alone costs."""
    turn = itertools.cycle(ports)
    await asyncio.get_running_loop().create_server(
        lambda: Pipe(ports=turn), "127.0.0.1", port, backlog=1024
    )
    await asyncio.Event().wait()


async def aiohttp_proxy(port: int, ports: list[int]) -> None:
    """A reverse proxy of a few lines on aiohttp, with kept connections."""
    from aiohttp import ClientSession, TCPConnector, web

    turn = itertools.cycle(ports)
    session = ClientSession(connector=TCPConnector(limit=0), auto_decompress=False)

    async def handle(request: web.Request) -> web.Response:
        url = f"http://127.0.0.1:{next(turn)}{request.rel_url}"
        async with session.request(request.method, url, headers=request.headers) as answer:
            return web.Response(status=answer.status, body=await answer.read())

    app = web.Application()
    app.router.add_route("*", "/{rest:.*}", handle)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port, backlog=1024).start()
    await asyncio.Event().wait()


# ---- the load


class Caller(asyncio.Protocol):
    """One kept connection with one request out at a time."""

    def __init__(self, load: Load) -> None:
        self.load, self.due, self.got, self.out = load, 0.0, b"", False

    def connection_made(self, transport: Any) -> None:
        """It is free."""
        self.transport = transport
        self.load.free.append(self)

    def ask(self, due: float) -> None:
        """Send a request that was due then."""
        self.due, self.out = due, True
        self.transport.write(REQUEST % next(self.load.ids))

    def data_received(self, data: bytes) -> None:
        """Count the answer once it is whole."""
        self.got += data
        if BODY not in self.got and b"content-length: 0" not in self.got.lower():
            return
        status, self.got, self.out = self.got[9:12], b"", False
        self.load.answered(self, status)

    def connection_lost(self, exc: Exception | None) -> None:
        """A connection that is lost with a request out is a failure."""
        self.load.lost(self)


class Load:
    """Sends on schedule (``rate``), or as fast as answers come (0)."""

    def __init__(self, port: int, rate: float, seconds: float, connections: int, seed: int) -> None:
        from hdrh.histogram import HdrHistogram

        self.port, self.rate, self.seconds, self.connections = port, rate, seconds, connections
        self.ids = itertools.count(seed << 40)
        self.free: list[Caller] = []
        self.late: list[float] = []  # due times that no connection was free for
        self.histogram = HdrHistogram(1, 60_000_000, 3)  # microseconds
        self.ok = self.bad = 0
        self.counting = self.over = False

    def answered(self, caller: Caller, status: bytes) -> None:
        """One answer."""
        if self.counting:
            self.ok, self.bad = self.ok + (status == b"200"), self.bad + (status != b"200")
            self.histogram.record_value(max(1, int((time.perf_counter() - caller.due) * 1e6)))
        if not self.rate and not self.over:
            caller.ask(time.perf_counter())
        elif self.late:
            caller.ask(self.late.pop())
        else:
            self.free.append(caller)

    def lost(self, caller: Caller) -> None:
        """One connection less."""
        if caller.out and not self.over:
            self.bad += 1
        if caller in self.free:
            self.free.remove(caller)

    async def run(self) -> dict[str, Any]:
        """A second to warm up, then the figures."""
        loop = asyncio.get_running_loop()
        for _ in range(self.connections):
            await loop.create_connection(lambda: Caller(self), "127.0.0.1", self.port)
        if not self.rate:
            for caller in self.free[:]:
                self.free.remove(caller)
                caller.ask(time.perf_counter())
            await asyncio.sleep(1.0)
            self.counting = True
            begin = time.perf_counter()
            await asyncio.sleep(self.seconds)
        else:
            start = time.perf_counter()
            sent, begin = 0, start + 1.0
            while (now := time.perf_counter()) < start + 1.0 + self.seconds:
                self.counting = self.counting or now >= begin
                while (due := start + sent / self.rate) <= now:
                    sent += 1
                    if self.free:
                        self.free.pop().ask(due)
                    else:
                        self.late.insert(0, due)
                await asyncio.sleep(0.0005)
        took, self.counting, self.over = time.perf_counter() - begin, False, True
        p = self.histogram.get_value_at_percentile
        return {
            "rate": (self.ok + self.bad) / took, "bad": self.bad, "p50": p(50), "p99": p(99), "p999": p(99.9),
            "encoded": self.histogram.encode().decode(),
        }  # fmt: skip


# ---- one run


class Process:
    """One process of this measurement, on its cores; ended by its id."""

    def __init__(self, words: list[str], cores: tuple[int, ...], folder: Path = ROOT) -> None:
        self.process = subprocess.Popen(
            words,
            env={**os.environ, "PYTHONPATH": str(folder)},
            preexec_fn=lambda: pin(*cores),
            cwd=folder,
        )

    def __enter__(self) -> Process:
        """Use it for a while."""
        return self

    def __exit__(self, *_: object) -> None:
        """End it."""
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(5)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


def this(*words: object) -> list[str]:
    """A part of this file."""
    return [sys.executable, str(Path(__file__).resolve()), "--part", *map(str, words)]


def free_port() -> int:
    """A port that nobody has just now."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


def wait_for(port: int) -> None:
    """Until somebody listens."""
    for _ in range(400):
        with socket.socket() as sock:
            if sock.connect_ex(("127.0.0.1", port)) == 0:
                return time.sleep(0.2)
        time.sleep(0.05)
    raise SystemExit(f"nobody listens on port {port}")


def peer(
    name: str, port: int, ports: list[int], folder: Path, scratch: Path
) -> tuple[list[str], tuple[int, ...]]:
    """How a peer is started, and on which cores."""
    if name in ("forwarder", "aiohttp"):
        return this(name, port, *ports), (0,)
    workers = int(name.partition("x")[2] or 1)
    rows = ", ".join(f'{{name = "s{i}", address = "127.0.0.1:{p}"}}' for i, p in enumerate(ports))
    path = scratch / f"{name}-{port}.toml"
    path.write_text(CONFIG.format(port=port, servers=rows, sockets=1024 * workers))
    words = [sys.executable, "-m", "oakbridge.cli", "serve", "--config", str(path)]
    return words + (["--workers", str(workers)] if workers > 1 else []), tuple(range(workers))


def load(port: int, rate: float, seconds: float, processes: int = 2) -> dict[str, float]:
    """Play a load from several processes; returns its figures."""
    from hdrh.histogram import HdrHistogram

    words = [
        this("load", port, rate / processes, seconds, CONNECTIONS // processes, n + 1)
        for n in range(processes)
    ]
    running = [
        subprocess.Popen(w, stdout=subprocess.PIPE, preexec_fn=lambda n=n: pin(6 + n))
        for n, w in enumerate(words)
    ]
    told = [json.loads(r.communicate()[0]) for r in running]
    whole = HdrHistogram(1, 60_000_000, 3)
    for part in told:
        whole.decode_and_add(part["encoded"].encode())
    p = whole.get_value_at_percentile
    return {
        "rate": sum(t["rate"] for t in told), "bad": sum(t["bad"] for t in told),
        "p50_ms": p(50) / 1e3, "p99_ms": p(99) / 1e3, "p999_ms": p(99.9) / 1e3,
    }  # fmt: skip


def measure(given: argparse.Namespace) -> dict[str, dict[str, list[dict[str, float]]]]:
    """All peers, so many times."""
    found: dict[str, dict[str, list[dict[str, float]]]] = {}
    names = given.peers.split(",")
    with tempfile.TemporaryDirectory() as scratch:
        ports = [free_port() for _ in range(SERVERS)]
        halves = [ports[::2], ports[1::2]]
        with Process(this("servers", *halves[0]), (4,)), Process(this("servers", *halves[1]), (5,)):
            for port in ports:
                wait_for(port)
            for repeat in range(given.repeats):
                for kind in ("most", "half"):
                    for name in names:
                        rate = 0.0
                        if kind == "half":
                            rate = (
                                given.rate
                                or min(found[n]["most"][-1]["rate"] for n in names if "x" not in n)
                                / 2
                            )
                        folder = Path(given.against) if name.startswith("before") else ROOT
                        mine = free_port()
                        words, cores = peer(name, mine, ports, folder, Path(scratch))
                        with Process(words, cores, folder):
                            wait_for(mine)
                            time.sleep(1.0 if "x" in name else 0)
                            figures = load(mine, rate, given.seconds)
                        found.setdefault(name, {}).setdefault(kind, []).append(figures)
                        print(
                            f"repeat {repeat + 1}, {name}, {kind}: {figures['rate']:.0f}/s",
                            file=sys.stderr,
                        )
    return found


def table(found: dict[str, dict[str, list[dict[str, float]]]]) -> str:
    """Medians, one peer a line."""
    lines = [
        f"{'':12}{'requests/s':>12}{'p50 ms':>9}{'p99 ms':>9}  | half load {'p50 ms':>9}{'p99 ms':>9}{'bad':>6}"
    ]
    for name, kinds in found.items():
        most, half = (
            {k: statistics.median(f[k] for f in kinds[kind]) for k in kinds[kind][0]}
            for kind in ("most", "half")
        )
        bad = sum(f["bad"] for kind in kinds.values() for f in kind)
        lines.append(
            f"{name:12}{most['rate']:12,.0f}{most['p50_ms']:9.2f}{most['p99_ms']:9.2f}  | {half['rate']:7,.0f}/s "
            f"{half['p50_ms']:9.2f}{half['p99_ms']:9.2f}{bad:6.0f}"
        )
    return "\n".join(lines)


def part(words: list[str]) -> None:
    """One process of the measurement."""
    what, numbers = words[0], words[1:]
    if what == "servers":
        fast(servers(list(map(int, numbers))))
    elif what == "forwarder":
        asyncio.run(forwarder(int(numbers[0]), list(map(int, numbers[1:]))))
    elif what == "aiohttp":
        asyncio.run(aiohttp_proxy(int(numbers[0]), list(map(int, numbers[1:]))))
    else:
        port, rate, seconds, connections, seed = numbers
        one = Load(int(port), float(rate), float(seconds), int(connections), int(seed))
        print(json.dumps(fast(one.run())))


def main() -> None:
    """Measure, and print a table."""
    if sys.argv[1:2] == ["--part"]:
        part(sys.argv[2:])
        return
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--rate", type=float, default=0, help="in place of half of the slowest")
    parser.add_argument("--peers", default="forwarder,aiohttp,node,nodex4")
    parser.add_argument("--against", help="a folder with another checkout, for the peer 'before'")
    parser.add_argument("--json", action="store_true")
    given = parser.parse_args()
    if given.against:
        given.peers += ",before"
    found = measure(given)
    print(json.dumps(found, indent=1) if given.json else table(found))


if __name__ == "__main__":
    main()
