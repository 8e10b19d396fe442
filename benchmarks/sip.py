"""SIP transactions a second on one core, beside the HTTP front and a plain UDP relay in one run; memory of open ones.

    python benchmarks/sip.py [--seconds 4] [--repeats 3] [--open 5000] [--json]

Each peer runs alone on core 0, stand-in servers on others, the load on two more.  The relay reads nothing: datagrams
from the load go to a server, answers go back; it is what the socket work alone costs.  First as many OPTIONS as go
through (64 out at a time), then half of what the proxy carried, each latency from when the request was due.  Memory: so
many INVITEs that a server never answers, resident memory before and after, by transaction.
Needs what requirements-bench.txt lists.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent))

import nodes

OUT = 64
PATIENCE_S = 2.0  # then a request counts as lost, and its place is free
REQUEST = (
    "{method} sip:desk@127.0.0.1:{to} SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:{port};branch=z9hG4bK{number:x};rport\r\n"
    "Max-Forwards: 70\r\nFrom: <sip:car@127.0.0.1>;tag=f\r\nTo: <sip:desk@127.0.0.1>\r\nCall-ID: c{number:x}\r\n"
    "CSeq: 1 {method}\r\nContact: <sip:car@127.0.0.1:{port}>\r\nContent-Length: 0\r\n\r\n"
)
CONFIG = (
    nodes.CONFIG
    + """
[sip]
listen = "127.0.0.1:{sip}"
server_port = 0
transactions = 100000
transactions_each = 100000
[[sip.route]]
class = "look"
"""
)


class Echo(asyncio.DatagramProtocol):
    """A server that answers OPTIONS at once with 200, and nothing else."""

    def connection_made(self, transport: Any) -> None:
        """Keep it."""
        self.transport = transport

    def datagram_received(self, data: bytes, address: Any) -> None:
        """All headers come back."""
        if data.startswith(b"OPTIONS"):
            head = data.partition(b"\r\n")[2].replace(
                b"\r\nTo: <sip:desk@127.0.0.1>", b"\r\nTo: <sip:desk@127.0.0.1>;tag=s"
            )
            self.transport.sendto(b"SIP/2.0 200 OK\r\n" + head, address)


class Relay(asyncio.DatagramProtocol):
    """Datagrams of the load to one server after the other, and back."""

    def __init__(self, servers: list[int]) -> None:
        self.servers, self.turn, self.load = servers, 0, None

    def connection_made(self, transport: Any) -> None:
        """Keep it."""
        self.transport = transport

    def datagram_received(self, data: bytes, address: Any) -> None:
        """On with it."""
        if address[1] in self.servers:
            self.transport.sendto(data, self.load)
        else:
            self.load = address
            self.turn += 1
            self.transport.sendto(data, ("127.0.0.1", self.servers[self.turn % len(self.servers)]))


class Load(asyncio.DatagramProtocol):
    """So many requests out at a time, or on schedule."""

    def __init__(self, to: int, rate: float, seconds: float) -> None:
        from hdrh.histogram import HdrHistogram

        self.to, self.rate, self.seconds = to, rate, seconds
        self.out: dict[bytes, float] = {}
        self.number = int(time.time() * 1e6) << 16
        self.histogram = HdrHistogram(1, 60_000_000, 3)
        self.ok = self.bad = self.lost = self.again = 0
        self.counting = self.over = False

    def connection_made(self, transport: Any) -> None:
        """Keep it."""
        self.transport = transport
        self.port = transport.get_extra_info("sockname")[1]

    def ask(self, due: float) -> None:
        """Send a request that was due then."""
        self.number += 1
        text = REQUEST.format(method="OPTIONS", to=self.to, port=self.port, number=self.number)
        self.out[b"%x" % self.number] = due
        self.transport.sendto(text.encode(), ("127.0.0.1", self.to))

    def datagram_received(self, data: bytes, address: Any) -> None:
        """A final answer, once."""
        branch = data.partition(b"branch=z9hG4bK")[2].split(b";", 1)[0].split(b"\r", 1)[0]
        due = self.out.pop(branch, None)
        if due is None:
            self.again += 1
            return
        if self.counting:
            good = data.startswith(b"SIP/2.0 200")
            self.ok, self.bad = self.ok + good, self.bad + (not good)
            self.histogram.record_value(max(1, int((time.perf_counter() - due) * 1e6)))
        if not self.rate and not self.over:
            self.ask(time.perf_counter())

    def sweep(self) -> None:
        """What got no answer for long: lost."""
        old = time.perf_counter() - PATIENCE_S
        for branch in [b for b, due in self.out.items() if due < old]:
            del self.out[branch]
            self.lost += 1
            if not self.rate and not self.over:
                self.ask(time.perf_counter())

    async def run(self) -> dict[str, Any]:
        """A second to warm up, then the figures."""
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", 0)
        )
        start = time.perf_counter()
        sent, begin, swept = 0, start + 1.0, start
        if not self.rate:
            for _ in range(OUT):
                self.ask(start)
        while (now := time.perf_counter()) < begin + self.seconds:
            self.counting = self.counting or now >= begin
            while self.rate and (due := start + sent / self.rate) <= now:
                sent += 1
                self.ask(due)
            if now - swept > 0.2:
                swept = now
                self.sweep()
            await asyncio.sleep(0.0005)
        took, self.counting, self.over = time.perf_counter() - begin, False, True
        p = self.histogram.get_value_at_percentile
        return {
            "rate": (self.ok + self.bad) / took, "bad": self.bad, "lost": self.lost, "again": self.again,
            "p50_ms": p(50) / 1e3, "p99_ms": p(99) / 1e3,
        }  # fmt: skip


async def servers(ports: list[int]) -> None:
    """Stand-in servers."""
    for port in ports:
        await asyncio.get_running_loop().create_datagram_endpoint(
            Echo, local_addr=("127.0.0.1", port)
        )
    await asyncio.Event().wait()


async def relay(port: int, ports: list[int]) -> None:
    """The plain relay."""
    await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Relay(ports), local_addr=("127.0.0.1", port)
    )
    await asyncio.Event().wait()


def this(*words: object) -> list[str]:
    """A part of this file."""
    return [sys.executable, str(Path(__file__).resolve()), "--part", *map(str, words)]


def udp_port() -> int:
    """A port that nobody has just now."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def proxy(scratch: Path, sip: int, ports: list[int]) -> tuple[list[str], int]:
    """How the node is started, and its HTTP port."""
    http = nodes.free_port()
    rows = ", ".join(f'{{name = "s{i}", address = "127.0.0.1:{p}"}}' for i, p in enumerate(ports))
    path = scratch / f"sip-{sip}.toml"
    path.write_text(CONFIG.format(port=http, servers=rows, sockets=1024, sip=sip))
    return [sys.executable, "-m", "oakbridge.cli", "serve", "--config", str(path)], http


def play(to: int, rate: float, seconds: float) -> dict[str, float]:
    """One load, in a process of its own."""
    words = this("load", to, rate, seconds)
    done = subprocess.run(
        words, capture_output=True, text=True, check=True, preexec_fn=lambda: nodes.pin(6)
    )
    return json.loads(done.stdout)  # type: ignore[no-any-return]


def memory(pid: int) -> int:
    """Resident kilobytes."""
    text = Path(f"/proc/{pid}/status").read_text()
    return int(text.partition("VmRSS:")[2].split()[0])


def hold(pid: int, to: int, count: int) -> float:
    """Kilobytes for each of so many INVITEs that nobody answers, a second after the last of them."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        port, before = sock.getsockname()[1], memory(pid)
        for number in range(count):
            text = REQUEST.format(method="INVITE", to=to, port=port, number=(1 << 60) + number)
            sock.sendto(text.encode(), ("127.0.0.1", to))
            if number % 20 == 0:
                time.sleep(0.02)
        time.sleep(1)
        return (memory(pid) - before) / count


def measure(given: argparse.Namespace) -> dict[str, list[dict[str, float]]]:
    """All peers in turn."""
    found: dict[str, list[dict[str, float]]] = {}
    with tempfile.TemporaryDirectory() as folder:
        ports, web = (
            [udp_port() for _ in range(nodes.SERVERS)],
            [nodes.free_port() for _ in range(nodes.SERVERS)],
        )
        with (
            nodes.Process(this("servers", *ports), (4,)),
            nodes.Process(nodes.this("servers", *web), (5,)),
        ):
            for number in web:
                nodes.wait_for(number)
            for _ in range(given.repeats):
                rate = 0.0
                for name, load in (
                    ("proxy", 0),
                    ("relay", 0),
                    ("http", 0),
                    ("proxy at half", 1),
                    ("relay at half", 1),
                ):
                    sip = udp_port()
                    words, http = proxy(Path(folder), sip, web if name == "http" else ports)
                    if name.startswith("relay"):
                        words = this("relay", sip, *ports)
                    with nodes.Process(words, (0,)):
                        if name.startswith("relay"):
                            time.sleep(0.5)
                        else:
                            nodes.wait_for(http)
                        if name == "http":
                            figures = nodes.load(http, 0, given.seconds)
                        else:
                            figures = play(sip, rate / 2 if load else 0, given.seconds)
                    rate = figures["rate"] if name == "proxy" else rate
                    found.setdefault(name, []).append(figures)
            sip = udp_port()
            words, http = proxy(Path(folder), sip, ports)
            with nodes.Process(words, (0,)) as node:
                nodes.wait_for(http)
                found["open"] = [{"kb": hold(node.process.pid, sip, given.open)}]
    return found


def part(words: list[str]) -> None:
    """One process of the measurement."""
    what, numbers = words[0], words[1:]
    if what == "servers":
        asyncio.run(servers(list(map(int, numbers))))
    elif what == "relay":
        asyncio.run(relay(int(numbers[0]), list(map(int, numbers[1:]))))
    else:
        print(
            json.dumps(
                asyncio.run(Load(int(numbers[0]), float(numbers[1]), float(numbers[2])).run())
            )
        )


def main() -> None:
    """Measure, and print a table."""
    if sys.argv[1:2] == ["--part"]:
        part(sys.argv[2:])
        return
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--open", type=int, default=5_000)
    parser.add_argument("--json", action="store_true")
    given = parser.parse_args()
    found = measure(given)
    if given.json:
        print(json.dumps(found, indent=1))
        return
    print(f"{'':16}{'a second':>12}{'p50 ms':>9}{'p99 ms':>9}{'bad':>7}{'lost':>7}{'again':>7}")
    for name, rows in found.items():
        if name == "open":
            print(f"{'an open INVITE':16}{rows[0]['kb']:>12.1f} KB")
            continue
        row = {
            k: statistics.median(r.get(k, 0) for r in rows)
            for k in ("rate", "p50_ms", "p99_ms", "bad", "lost", "again")
        }
        print(
            f"{name:16}{row['rate']:12,.0f}{row['p50_ms']:9.2f}{row['p99_ms']:9.2f}{row['bad']:7.0f}{row['lost']:7.0f}"
            f"{row['again']:7.0f}"
        )


if __name__ == "__main__":
    main()
