"""Measures how evenly the kernel (SO_REUSEPORT) and the supervisor spread connections over workers.

python benchmarks/connection_spread.py [--workers 4] [--rounds 200]

Each round opens a number of connections and counts those of the worker with the most, as a
multiple of an even share (connections / workers).  The table shows the mean and the worst of all
rounds.  No node runs: the program compares only the kernel's choice with the rule of
`ConnectionBalancer` (fewest connections first).
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


def distribute_by_kernel(workers: int, connections: int) -> Counter[int]:
    """Return the connections accepted by each of several SO_REUSEPORT listeners on one port."""
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
    for open_socket in (*clients, *listeners):
        open_socket.close()
    return counts


def distribute_by_supervisor(workers: int, connections: int) -> Counter[int]:
    """Return the connections of each worker by `ConnectionBalancer`, a load report after each."""
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
    """Run the measurement and print a table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--rounds", type=int, default=200)
    arguments = parser.parse_args()
    print(f"{'connections':>12}{'kernel, mean':>14}{'worst':>8}{'supervisor':>14}{'worst':>8}")
    for connections in (4, 8, 16, 64, 256):
        row = []
        for distribute in (distribute_by_kernel, distribute_by_supervisor):
            even_share = connections / arguments.workers
            largest_shares = [
                max(distribute(arguments.workers, connections).values()) / even_share
                for _ in range(arguments.rounds)
            ]
            row += [sum(largest_shares) / len(largest_shares), max(largest_shares)]
        print(f"{connections:12}{row[0]:14.2f}{row[1]:8.2f}{row[2]:14.2f}{row[3]:8.2f}")


if __name__ == "__main__":
    main()
