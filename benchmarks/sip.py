"""Measures SIP transactions per second on one core, beside HTTP and a plain UDP relay; and memory.

    python benchmarks/sip.py [--seconds 4] [--repeats 3] [--open 5000] [--json]

Each peer runs alone on core 0, stand-in servers and the load on other cores.  The relay parses
nothing: it passes datagrams of the load to a server and responses back, at the cost of the socket
work alone.  First OPTIONS are sent without pauses, 64 in flight at a time; then at half the
proxy's rate, with each latency (ms) counted from the time the request was due.  Memory: the
growth of the node's resident KB per INVITE that a server never answers, over ``--open`` INVITEs.
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

MAX_IN_FLIGHT = 64
RESPONSE_TIMEOUT_S = 2.0  # a request without a response is lost then, and another may be sent
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
    """A server that answers OPTIONS at once with 200 and ignores all other requests."""

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, address: Any) -> None:
        """Respond with the headers of the request and a tag in To."""
        if data.startswith(b"OPTIONS"):
            headers = data.partition(b"\r\n")[2].replace(
                b"\r\nTo: <sip:desk@127.0.0.1>", b"\r\nTo: <sip:desk@127.0.0.1>;tag=s"
            )
            self.transport.sendto(b"SIP/2.0 200 OK\r\n" + headers, address)


class Relay(asyncio.DatagramProtocol):
    """Passes datagrams of the load to the servers in turn, and responses back."""

    def __init__(self, server_ports: list[int]) -> None:
        self.server_ports, self.relayed, self.load_address = server_ports, 0, None

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, address: Any) -> None:
        """Pass a datagram on: from a server to the load, else to the next server."""
        if address[1] in self.server_ports:
            self.transport.sendto(data, self.load_address)
        else:
            self.load_address = address
            self.relayed += 1
            self.transport.sendto(
                data, ("127.0.0.1", self.server_ports[self.relayed % len(self.server_ports)])
            )


class Load(asyncio.DatagramProtocol):
    """Sends ``rate`` requests per second, or with rate 0 keeps a number of them in flight."""

    def __init__(self, target_port: int, rate: float, seconds: float) -> None:
        from hdrh.histogram import HdrHistogram

        self.target_port, self.rate, self.seconds = target_port, rate, seconds
        self.in_flight: dict[bytes, float] = {}
        self.number = int(time.time() * 1e6) << 16
        self.histogram = HdrHistogram(1, 60_000_000, 3)
        self.ok = self.bad = self.lost = self.duplicates = 0
        self.is_counting = self.is_over = False

    def connection_made(self, transport: Any) -> None:
        """Keep the transport and its port."""
        self.transport = transport
        self.port = transport.get_extra_info("sockname")[1]

    def send_request(self, due: float) -> None:
        """Send a request whose latency counts from ``due``, in s of the performance counter."""
        self.number += 1
        text = REQUEST.format(
            method="OPTIONS", to=self.target_port, port=self.port, number=self.number
        )
        self.in_flight[b"%x" % self.number] = due
        self.transport.sendto(text.encode(), ("127.0.0.1", self.target_port))

    def datagram_received(self, data: bytes, address: Any) -> None:
        """Record the first final response of a request; count all further ones."""
        branch = data.partition(b"branch=z9hG4bK")[2].split(b";", 1)[0].split(b"\r", 1)[0]
        due = self.in_flight.pop(branch, None)
        if due is None:
            self.duplicates += 1
            return
        if self.is_counting:
            is_ok = data.startswith(b"SIP/2.0 200")
            self.ok, self.bad = self.ok + is_ok, self.bad + (not is_ok)
            self.histogram.record_value(max(1, int((time.perf_counter() - due) * 1e6)))
        if not self.rate and not self.is_over:
            self.send_request(time.perf_counter())

    def count_lost(self) -> None:
        """Count requests without a response in time as lost; at rate 0 send others instead."""
        oldest_due = time.perf_counter() - RESPONSE_TIMEOUT_S
        for branch in [
            branch_waiting for branch_waiting, due in self.in_flight.items() if due < oldest_due
        ]:
            del self.in_flight[branch]
            self.lost += 1
            if not self.rate and not self.is_over:
                self.send_request(time.perf_counter())

    async def run(self) -> dict[str, Any]:
        """Warm up for 1 s, then measure; return the figures (requests per second, ms)."""
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", 0)
        )
        start = time.perf_counter()
        sent, begin, last_count = 0, start + 1.0, start
        if not self.rate:
            for _ in range(MAX_IN_FLIGHT):
                self.send_request(start)
        while (now := time.perf_counter()) < begin + self.seconds:
            self.is_counting = self.is_counting or now >= begin
            while self.rate and (due := start + sent / self.rate) <= now:
                sent += 1
                self.send_request(due)
            if now - last_count > 0.2:
                last_count = now
                self.count_lost()
            await asyncio.sleep(0.0005)
        duration_s, self.is_counting, self.is_over = time.perf_counter() - begin, False, True
        percentile_us = self.histogram.get_value_at_percentile
        return {
            "rate": (self.ok + self.bad) / duration_s, "bad": self.bad, "lost": self.lost, "again": self.duplicates,
            "p50_ms": percentile_us(50) / 1e3, "p99_ms": percentile_us(99) / 1e3,
        }  # fmt: skip


async def run_servers(ports: list[int]) -> None:
    """Run stand-in servers on the given ports."""
    for port in ports:
        await asyncio.get_running_loop().create_datagram_endpoint(
            Echo, local_addr=("127.0.0.1", port)
        )
    await asyncio.Event().wait()


async def run_relay(port: int, ports: list[int]) -> None:
    """Run the plain relay."""
    await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Relay(ports), local_addr=("127.0.0.1", port)
    )
    await asyncio.Event().wait()


def part_command(*words: object) -> list[str]:
    """Return the command that runs one part of this program."""
    return [sys.executable, str(Path(__file__).resolve()), "--part", *map(str, words)]


def free_udp_port() -> int:
    """Return a UDP port that is free now."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe_socket:
        probe_socket.bind(("127.0.0.1", 0))
        return int(probe_socket.getsockname()[1])


def node_command(scratch: Path, sip_port: int, ports: list[int]) -> tuple[list[str], int]:
    """Return the command that starts the node, and its HTTP port; write its configuration."""
    http_port = nodes.free_port()
    rows = ", ".join(
        f'{{name = "s{index}", address = "127.0.0.1:{server_port}"}}'
        for index, server_port in enumerate(ports)
    )
    path = scratch / f"sip-{sip_port}.toml"
    path.write_text(CONFIG.format(port=http_port, servers=rows, sockets=1024, sip=sip_port))
    return [sys.executable, "-m", "oakbridge.cli", "serve", "--config", str(path)], http_port


def run_load(target_port: int, rate: float, seconds: float) -> dict[str, float]:
    """Run one load in a process of its own; return its figures."""
    command = part_command("load", target_port, rate, seconds)
    completed = subprocess.run(
        command, capture_output=True, text=True, check=True, preexec_fn=lambda: nodes.pin(6)
    )
    return json.loads(completed.stdout)  # type: ignore[no-any-return]


def resident_kb(pid: int) -> int:
    """Return the resident kilobytes of a process."""
    text = Path(f"/proc/{pid}/status").read_text()
    return int(text.partition("VmRSS:")[2].split()[0])


def kb_per_open_invite(pid: int, target_port: int, count: int) -> float:
    """Return the KB per INVITE for ``count`` unanswered INVITEs, 1 s after the last of them."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as client_socket:
        client_socket.bind(("127.0.0.1", 0))
        port, kb_before = client_socket.getsockname()[1], resident_kb(pid)
        for number in range(count):
            text = REQUEST.format(
                method="INVITE", to=target_port, port=port, number=(1 << 60) + number
            )
            client_socket.sendto(text.encode(), ("127.0.0.1", target_port))
            if number % 20 == 0:
                time.sleep(0.02)
        time.sleep(1)
        return (resident_kb(pid) - kb_before) / count


def measure(options: argparse.Namespace) -> dict[str, list[dict[str, float]]]:
    """Measure all peers in turn, then the memory of open INVITEs."""
    figures_by_peer: dict[str, list[dict[str, float]]] = {}
    with tempfile.TemporaryDirectory() as folder:
        sip_server_ports, http_ports = (
            [free_udp_port() for _ in range(nodes.SERVERS)],
            [nodes.free_port() for _ in range(nodes.SERVERS)],
        )
        with (
            nodes.Process(part_command("servers", *sip_server_ports), (4,)),
            nodes.Process(nodes.part_command("servers", *http_ports), (5,)),
        ):
            for http_server_port in http_ports:
                nodes.wait_until_listening(http_server_port)
            for _ in range(options.repeats):
                rate = 0.0
                for name, is_half_load in (
                    ("proxy", 0),
                    ("relay", 0),
                    ("http", 0),
                    ("proxy at half", 1),
                    ("relay at half", 1),
                ):
                    sip_port = free_udp_port()
                    command, http_port = node_command(
                        Path(folder), sip_port, http_ports if name == "http" else sip_server_ports
                    )
                    if name.startswith("relay"):
                        command = part_command("relay", sip_port, *sip_server_ports)
                    with nodes.Process(command, (0,)):
                        if name.startswith("relay"):
                            time.sleep(0.5)
                        else:
                            nodes.wait_until_listening(http_port)
                        if name == "http":
                            figures = nodes.run_load(http_port, 0, options.seconds)
                        else:
                            figures = run_load(
                                sip_port, rate / 2 if is_half_load else 0, options.seconds
                            )
                    rate = figures["rate"] if name == "proxy" else rate
                    figures_by_peer.setdefault(name, []).append(figures)
            sip_port = free_udp_port()
            command, http_port = node_command(Path(folder), sip_port, sip_server_ports)
            with nodes.Process(command, (0,)) as node:
                nodes.wait_until_listening(http_port)
                figures_by_peer["open"] = [
                    {"kb": kb_per_open_invite(node.process.pid, sip_port, options.open)}
                ]
    return figures_by_peer


def run_part(arguments: list[str]) -> None:
    """Run one part of the measurement in this process."""
    role, numbers = arguments[0], arguments[1:]
    if role == "servers":
        asyncio.run(run_servers(list(map(int, numbers))))
    elif role == "relay":
        asyncio.run(run_relay(int(numbers[0]), list(map(int, numbers[1:]))))
    else:
        print(
            json.dumps(
                asyncio.run(Load(int(numbers[0]), float(numbers[1]), float(numbers[2])).run())
            )
        )


def main() -> None:
    """Run the measurement and print a table or JSON."""
    if sys.argv[1:2] == ["--part"]:
        run_part(sys.argv[2:])
        return
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--open", type=int, default=5_000)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    figures_by_peer = measure(options)
    if options.json:
        print(json.dumps(figures_by_peer, indent=1))
        return
    print(f"{'':16}{'a second':>12}{'p50 ms':>9}{'p99 ms':>9}{'bad':>7}{'lost':>7}{'again':>7}")
    for name, rows in figures_by_peer.items():
        if name == "open":
            print(f"{'an open INVITE':16}{rows[0]['kb']:>12.1f} KB")
            continue
        medians = {
            key: statistics.median(figures.get(key, 0) for figures in rows)
            for key in ("rate", "p50_ms", "p99_ms", "bad", "lost", "again")
        }
        print(
            f"{name:16}{medians['rate']:12,.0f}{medians['p50_ms']:9.2f}{medians['p99_ms']:9.2f}{medians['bad']:7.0f}{medians['lost']:7.0f}"
            f"{medians['again']:7.0f}"
        )


if __name__ == "__main__":
    main()
