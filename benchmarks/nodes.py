"""Measures requests per second and, at half load, latencies (ms) of the node and of other proxies.

    python benchmarks/nodes.py [--repeats 3] [--seconds 4] [--peers forwarder,aiohttp,node] [--against FOLDER] [--json]

A peer is a program under test: the node, the node with workers (nodex4), a bare byte forwarder or
a proxy on aiohttp.  Each peer runs alone on core 0; a node with workers gets as many cores as
workers, and its supervisor shares them.  Stand-in servers run on two other cores, the load on two
more.  First 64 connections send without pauses, one request at a time each.  Then requests follow
a schedule at half the rate of the *slowest peer with one core*.  Their latency counts from the
time the request was *due*, so that a stall shows in every request that it delays.  Peers take
turns within a repeat; figures are medians over repeats.  ``--against`` adds the peer ``before``,
the node of another checkout.

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
RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n%s" % (
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


def run_on_uvloop(main: Any) -> Any:
    """Run a coroutine on uvloop: load and servers then need less CPU time than the peer."""
    import uvloop

    return uvloop.run(main)


def pin(*cores: int) -> None:
    """Restrict this process to those of the given cores that it may use, if there are any."""
    have = os.sched_getaffinity(0)
    os.sched_setaffinity(0, set(cores) & have or have)


# ---- stand-in servers and peers; each is a process of this file


class Server(asyncio.Protocol):
    """Responds at once to each head that ends in an empty line."""

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport, self.buffer = transport, b""

    def data_received(self, data: bytes) -> None:
        """Send one response for each whole request."""
        *requests, self.buffer = (self.buffer + data).split(b"\r\n\r\n")
        if requests:
            self.transport.write(RESPONSE * len(requests))


async def run_servers(ports: list[int]) -> None:
    """Run stand-in servers on the given ports."""
    loop = asyncio.get_running_loop()
    for port in ports:
        await loop.create_server(Server, "127.0.0.1", port, backlog=1024)
    await asyncio.Event().wait()


class ForwardingConnection(asyncio.Protocol):
    """One connection of the bare forwarder: it copies bytes to another one without parsing them."""

    def __init__(self, other_transport: Any = None, ports: Any = None) -> None:
        self.other_transport, self.ports, self.pending = other_transport, ports, b""

    def connection_made(self, transport: Any) -> None:
        """Keep the transport; open a server connection for a client connection."""
        self.transport = transport
        if self.ports is not None:
            asyncio.get_running_loop().create_task(self.connect())

    async def connect(self) -> None:
        """Connect to the next server and send the bytes received so far."""
        server_port = next(self.ports)
        loop = asyncio.get_running_loop()
        self.other_transport, _ = await loop.create_connection(
            lambda: ForwardingConnection(self.transport), "127.0.0.1", server_port
        )
        self.other_transport.write(self.pending)

    def data_received(self, data: bytes) -> None:
        """Forward the bytes, or keep them until the server connection is open."""
        if self.other_transport is None:
            self.pending += data
        else:
            self.other_transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other connection too."""
        if self.other_transport is not None:
            self.other_transport.close()


async def run_forwarder(port: int, ports: list[int]) -> None:
    """Run a bare asyncio byte forwarder; its cost is that of the socket work alone."""
    server_ports = itertools.cycle(ports)
    await asyncio.get_running_loop().create_server(
        lambda: ForwardingConnection(ports=server_ports), "127.0.0.1", port, backlog=1024
    )
    await asyncio.Event().wait()


async def run_aiohttp_proxy(port: int, ports: list[int]) -> None:
    """Run a minimal reverse proxy on aiohttp, with persistent connections."""
    from aiohttp import ClientSession, TCPConnector, web

    server_ports = itertools.cycle(ports)
    session = ClientSession(connector=TCPConnector(limit=0), auto_decompress=False)

    async def handle(request: web.Request) -> web.Response:
        url = f"http://127.0.0.1:{next(server_ports)}{request.rel_url}"
        async with session.request(request.method, url, headers=request.headers) as response:
            return web.Response(status=response.status, body=await response.read())

    app = web.Application()
    app.router.add_route("*", "/{rest:.*}", handle)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port, backlog=1024).start()
    await asyncio.Event().wait()


# ---- the load


class ClientConnection(asyncio.Protocol):
    """One persistent connection with one request in flight at a time."""

    def __init__(self, load: Load) -> None:
        self.load, self.due, self.received, self.is_request_in_flight = load, 0.0, b"", False

    def connection_made(self, transport: Any) -> None:
        """Keep the transport; the connection is idle."""
        self.transport = transport
        self.load.idle_connections.append(self)

    def send_request(self, due: float) -> None:
        """Send a request whose latency counts from ``due``, in s of the performance counter."""
        self.due, self.is_request_in_flight = due, True
        self.transport.write(REQUEST % next(self.load.request_ids))

    def data_received(self, data: bytes) -> None:
        """Record the response once it is whole."""
        self.received += data
        if BODY not in self.received and b"content-length: 0" not in self.received.lower():
            return
        status, self.received, self.is_request_in_flight = self.received[9:12], b"", False
        self.load.record_response(self, status)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the close; with a request in flight it counts as a failure."""
        self.load.record_close(self)


class Load:
    """Sends ``rate`` requests per second, or with rate 0 the next one after each response."""

    def __init__(self, port: int, rate: float, seconds: float, connections: int, seed: int) -> None:
        from hdrh.histogram import HdrHistogram

        self.port, self.rate, self.seconds, self.connections = port, rate, seconds, connections
        self.request_ids = itertools.count(seed << 40)
        self.idle_connections: list[ClientConnection] = []
        # Due times of requests that wait for an idle connection, latest first.
        self.waiting_due_times: list[float] = []
        self.histogram = HdrHistogram(1, 60_000_000, 3)  # microseconds
        self.ok = self.bad = 0
        self.is_counting = self.is_over = False

    def record_response(self, connection: ClientConnection, status: bytes) -> None:
        """Record a response and use its connection for the next request, if one is due."""
        if self.is_counting:
            self.ok, self.bad = self.ok + (status == b"200"), self.bad + (status != b"200")
            self.histogram.record_value(max(1, int((time.perf_counter() - connection.due) * 1e6)))
        if not self.rate and not self.is_over:
            connection.send_request(time.perf_counter())
        elif self.waiting_due_times:
            connection.send_request(self.waiting_due_times.pop())
        else:
            self.idle_connections.append(connection)

    def record_close(self, connection: ClientConnection) -> None:
        """Remove a closed connection; count its request in flight as failed."""
        if connection.is_request_in_flight and not self.is_over:
            self.bad += 1
        if connection in self.idle_connections:
            self.idle_connections.remove(connection)

    async def run(self) -> dict[str, Any]:
        """Warm up for 1 s, then measure; percentiles are in µs, the rate is per second."""
        loop = asyncio.get_running_loop()
        for _ in range(self.connections):
            await loop.create_connection(lambda: ClientConnection(self), "127.0.0.1", self.port)
        if not self.rate:
            for connection in self.idle_connections[:]:
                self.idle_connections.remove(connection)
                connection.send_request(time.perf_counter())
            await asyncio.sleep(1.0)
            self.is_counting = True
            begin = time.perf_counter()
            await asyncio.sleep(self.seconds)
        else:
            start = time.perf_counter()
            sent, begin = 0, start + 1.0
            while (now := time.perf_counter()) < start + 1.0 + self.seconds:
                self.is_counting = self.is_counting or now >= begin
                while (due := start + sent / self.rate) <= now:
                    sent += 1
                    if self.idle_connections:
                        self.idle_connections.pop().send_request(due)
                    else:
                        self.waiting_due_times.insert(0, due)
                await asyncio.sleep(0.0005)
        duration_s, self.is_counting, self.is_over = time.perf_counter() - begin, False, True
        percentile_us = self.histogram.get_value_at_percentile
        return {
            "rate": (self.ok + self.bad) / duration_s, "bad": self.bad,
            "p50": percentile_us(50), "p99": percentile_us(99), "p999": percentile_us(99.9),
            "encoded": self.histogram.encode().decode(),
        }  # fmt: skip


# ---- one run


class Process:
    """A process of this measurement on the given cores; terminated by its id."""

    def __init__(self, words: list[str], cores: tuple[int, ...], folder: Path = ROOT) -> None:
        self.process = subprocess.Popen(
            words,
            env={**os.environ, "PYTHONPATH": str(folder)},
            preexec_fn=lambda: pin(*cores),
            cwd=folder,
        )

    def __enter__(self) -> Process:
        """Return the process, which runs already."""
        return self

    def __exit__(self, *_: object) -> None:
        """Terminate the process; kill it if it does not exit within 5 s."""
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(5)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


def part_command(*words: object) -> list[str]:
    """Return the command that runs one part of this program."""
    return [sys.executable, str(Path(__file__).resolve()), "--part", *map(str, words)]


def free_port() -> int:
    """Return a TCP port that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


def wait_until_listening(port: int) -> None:
    """Wait until a process listens on the port; raises SystemExit after 20 s."""
    for _ in range(400):
        with socket.socket() as sock:
            if sock.connect_ex(("127.0.0.1", port)) == 0:
                return time.sleep(0.2)
        time.sleep(0.05)
    raise SystemExit(f"port {port}: expected a listener within 20 s, got none")


def peer_command(
    name: str, port: int, ports: list[int], folder: Path, scratch: Path
) -> tuple[list[str], tuple[int, ...]]:
    """Return the command that starts a peer, and its cores; write the node's configuration."""
    if name in ("forwarder", "aiohttp"):
        return part_command(name, port, *ports), (0,)
    workers = int(name.partition("x")[2] or 1)
    rows = ", ".join(
        f'{{name = "s{index}", address = "127.0.0.1:{server_port}"}}'
        for index, server_port in enumerate(ports)
    )
    path = scratch / f"{name}-{port}.toml"
    path.write_text(CONFIG.format(port=port, servers=rows, sockets=1024 * workers))
    command = [sys.executable, "-m", "oakbridge.cli", "serve", "--config", str(path)]
    return command + (["--workers", str(workers)] if workers > 1 else []), tuple(range(workers))


def run_load(port: int, rate: float, seconds: float, processes: int = 2) -> dict[str, float]:
    """Run a load from several processes; return its figures (requests per second, ms)."""
    from hdrh.histogram import HdrHistogram

    commands = [
        part_command("load", port, rate / processes, seconds, CONNECTIONS // processes, index + 1)
        for index in range(processes)
    ]
    processes_running = [
        subprocess.Popen(
            command, stdout=subprocess.PIPE, preexec_fn=lambda index=index: pin(6 + index)
        )
        for index, command in enumerate(commands)
    ]
    results = [json.loads(process.communicate()[0]) for process in processes_running]
    histogram = HdrHistogram(1, 60_000_000, 3)
    for process_result in results:
        histogram.decode_and_add(process_result["encoded"].encode())
    percentile_us = histogram.get_value_at_percentile
    return {
        "rate": sum(result["rate"] for result in results), "bad": sum(result["bad"] for result in results),
        "p50_ms": percentile_us(50) / 1e3, "p99_ms": percentile_us(99) / 1e3, "p999_ms": percentile_us(99.9) / 1e3,
    }  # fmt: skip


def measure(options: argparse.Namespace) -> dict[str, dict[str, list[dict[str, float]]]]:
    """Measure all peers in turn, in each repeat; return the figures by peer and kind of load."""
    figures_by_peer: dict[str, dict[str, list[dict[str, float]]]] = {}
    names = options.peers.split(",")
    with tempfile.TemporaryDirectory() as scratch:
        ports = [free_port() for _ in range(SERVERS)]
        port_halves = [ports[::2], ports[1::2]]
        with (
            Process(part_command("servers", *port_halves[0]), (4,)),
            Process(part_command("servers", *port_halves[1]), (5,)),
        ):
            for port in ports:
                wait_until_listening(port)
            for repeat in range(options.repeats):
                for kind in ("most", "half"):
                    for name in names:
                        rate = 0.0
                        if kind == "half":
                            rate = (
                                options.rate
                                or min(
                                    figures_by_peer[peer]["most"][-1]["rate"]
                                    for peer in names
                                    if "x" not in peer
                                )
                                / 2
                            )
                        folder = Path(options.against) if name.startswith("before") else ROOT
                        peer_port = free_port()
                        command, cores = peer_command(name, peer_port, ports, folder, Path(scratch))
                        with Process(command, cores, folder):
                            wait_until_listening(peer_port)
                            time.sleep(1.0 if "x" in name else 0)
                            figures = run_load(peer_port, rate, options.seconds)
                        figures_by_peer.setdefault(name, {}).setdefault(kind, []).append(figures)
                        print(
                            f"repeat {repeat + 1}, {name}, {kind}: {figures['rate']:.0f}/s",
                            file=sys.stderr,
                        )
    return figures_by_peer


def format_table(figures_by_peer: dict[str, dict[str, list[dict[str, float]]]]) -> str:
    """Return the table of medians, one line per peer."""
    lines = [
        f"{'':12}{'requests/s':>12}{'p50 ms':>9}{'p99 ms':>9}  | half load {'p50 ms':>9}{'p99 ms':>9}{'bad':>6}"
    ]
    for name, kinds in figures_by_peer.items():
        full, half = (
            {
                key: statistics.median(figures[key] for figures in kinds[kind])
                for key in kinds[kind][0]
            }
            for kind in ("most", "half")
        )
        failed = sum(figures["bad"] for kind in kinds.values() for figures in kind)
        lines.append(
            f"{name:12}{full['rate']:12,.0f}{full['p50_ms']:9.2f}{full['p99_ms']:9.2f}  | {half['rate']:7,.0f}/s "
            f"{half['p50_ms']:9.2f}{half['p99_ms']:9.2f}{failed:6.0f}"
        )
    return "\n".join(lines)


def run_part(arguments: list[str]) -> None:
    """Run one part of the measurement in this process."""
    role, numbers = arguments[0], arguments[1:]
    if role == "servers":
        run_on_uvloop(run_servers(list(map(int, numbers))))
    elif role == "forwarder":
        asyncio.run(run_forwarder(int(numbers[0]), list(map(int, numbers[1:]))))
    elif role == "aiohttp":
        asyncio.run(run_aiohttp_proxy(int(numbers[0]), list(map(int, numbers[1:]))))
    else:
        port, rate, seconds, connections, seed = numbers
        load = Load(int(port), float(rate), float(seconds), int(connections), int(seed))
        print(json.dumps(run_on_uvloop(load.run())))


def main() -> None:
    """Run the measurement and print a table or JSON."""
    if sys.argv[1:2] == ["--part"]:
        run_part(sys.argv[2:])
        return
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument(
        "--rate",
        type=float,
        default=0,
        help="requests per second instead of half of the slowest peer's",
    )
    parser.add_argument("--peers", default="forwarder,aiohttp,node,nodex4")
    parser.add_argument("--against", help="folder of another checkout, for the peer 'before'")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    if options.against:
        options.peers += ",before"
    figures_by_peer = measure(options)
    print(json.dumps(figures_by_peer, indent=1) if options.json else format_table(figures_by_peer))


if __name__ == "__main__":
    main()
