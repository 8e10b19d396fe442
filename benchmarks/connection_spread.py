"""How evenly connections fall on workers: by the kernel (SO_REUSEPORT) and by the supervisor (fewest first).

python benchmarks/connection_spread.py [--workers 4] [--rounds 200]

A round opens so many connections and looks how many the fullest worker has, as a multiple of an even part; the table
has the mean over the rounds, and the worst.  No node runs: the kernel's choice and the project's own rule are all.
"""

from __future__ import annotations

import argparse
import selectors
import socket
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from oakbridge.workers.connection_balancer import ConnectionBalancer


def by_kernel(workers: int, connections: int) -> Counter[int]:
    """Connections of each listener on one port."""
    listeners = []
    port = 0
    for _ in range(workers):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listener.bind(("127.0.0.1", port))
        port = listener.getsockname()[1]
        listener.listen(1024)
        listener.setblocking(False)
        listeners.append(listener)
    clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(connections)]
    counts: Counter[int] = Counter()
    with selectors.DefaultSelector() as selector:
        for number, listener in enumerate(listeners):
            selector.register(listener, selectors.EVENT_READ, number)
        while counts.total() < connections:
            for key, _ in selector.select(1):
                try:
                    key.fileobj.accept()[0].close()  # type: ignore[union-attr]
                except BlockingIOError:
                    continue
                counts[key.data] += 1
    for sock in (*clients, *listeners):
        sock.close()
    return counts


def by_supervisor(workers: int, connections: int) -> Counter[int]:
    """Connections of each worker by the project's rule, a load report coming after each connection."""
    balancer = ConnectionBalancer()
    counts = Counter[int]()
    for worker in range(workers):
        balancer.add(worker, 10**6)
    for _ in range(connections):
        worker = balancer.choose()
        assert worker is not None
        counts[worker] += 1
        balancer.report(worker, counts[worker], counts[worker])
    return counts


def main() -> None:
    """Measure, and print a table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--rounds", type=int, default=200)
    given = parser.parse_args()
    print(f"{'connections':>12}{'kernel, mean':>14}{'worst':>8}{'supervisor':>14}{'worst':>8}")
    for connections in (4, 8, 16, 64, 256):
        row = []
        for way in (by_kernel, by_supervisor):
            even = connections / given.workers
            fullest = [
                max(way(given.workers, connections).values()) / even for _ in range(given.rounds)
            ]
            row += [sum(fullest) / len(fullest), max(fullest)]
        print(f"{connections:12}{row[0]:14.2f}{row[1]:8.2f}{row[2]:14.2f}{row[3]:8.2f}")


if __name__ == "__main__":
    main()
