"""What one decision costs by the number of servers, and what a list costs; the same with another checkout beside it.

    python benchmarks/decisions.py [--against FOLDER] [--repeats 5] [--json]

A decision is a request and its end, five others being out.  Times are medians over repeats, each in a process of its
own; the two programs take turns, so that what else the machine does meets both.
"""

from __future__ import annotations

import argparse
import json
import statistics
import subprocess
import sys
import time
from collections import deque
from pathlib import Path
from typing import Any

COUNTS = (10, 100, 1_000, 10_000)
CASES = (
    "plain",
    "weights 0.001 to 1,000",
    "all but three ejected",
    "all cold",
    "all in another zone",
)


def play(case: str, count: int) -> float:
    """Microseconds for one decision."""
    import random

    from oakbridge.policy.actions import SendAttempt
    from oakbridge.policy.balancer import Balancer
    from oakbridge.policy.events import (
        AttemptEnded,
        AttemptResult,
        Endpoint,
        EndpointListReceived,
        RequestReceived,
    )
    from oakbridge.policy.settings import Idempotency, Prices, RequestClass, Settings, WeightSource

    more: dict[str, Any] = {}
    draw = random.Random(3)
    entries = [Endpoint(f"s{i}", zone="b") for i in range(count)]
    if case.startswith("weights"):
        more["weight_source"] = WeightSource.NOMINAL
        entries = [Endpoint(f"s{i}", weight=10 ** draw.uniform(-3, 3)) for i in range(count)]
    elif case == "all cold":
        more |= {"slow_start_window": 600_000_000, "slow_start_minimum": 0.2}
        entries = [Endpoint(f"s{i}", started_at=1_000_000) for i in range(count)]
    elif case == "all in another zone":
        more |= {"zone": "a", "zones": ("a", "b"), "prices": Prices(cross_zone=1.0)}
    klass = RequestClass("look", 2_500_000, 6_000_000, idempotency=Idempotency.IDEMPOTENT)
    b = Balancer(Settings(classes=(klass,), replica_count=10, **more), 7)
    now, number = 1_000_000, 0
    b.handle(now, EndpointListReceived(entries))
    out: deque[tuple[int, str, int]] = deque()

    def some(requests: int) -> float:
        nonlocal now, number
        first, begin = number, time.perf_counter()
        while number < first + requests and time.perf_counter() - begin < 0.5:
            now, number = now + 200, number + 1
            for action in b.handle(now, RequestReceived(number, "look", time_left=5_000_000)):
                if isinstance(action, SendAttempt):
                    out.append((number, action.server, now))
            if len(out) > 5:
                request, server, sent = out.popleft()
                b.handle(
                    now,
                    AttemptEnded(
                        request, 0, server, AttemptResult.OK, now - sent, request_finished=True
                    ),
                )
        return (time.perf_counter() - begin) / (number - first) * 1e6

    some(300)
    if case == "all but three ejected":
        for s in list(b.servers.values())[3:]:
            s.ejected_until = now + 600_000_000
            if hasattr(b, "members"):
                b.members.update_ejection(s, now)
    return min(some(300) for _ in range(3))


def lists(count: int) -> tuple[float, float, float]:
    """Microseconds for a delta of one server among many; for a whole list, half of it new; for its longest piece."""
    from oakbridge.policy.balancer import Balancer
    from oakbridge.policy.events import (
        Endpoint,
        EndpointListReceived,
        EndpointsAnnounced,
        EndpointState,
    )
    from oakbridge.policy.settings import RequestClass, Settings

    settings = Settings(
        classes=(RequestClass("x", 10, 20),), replica_count=100, pin_endpoint_list=True
    )
    b = Balancer(settings, 3)
    b.handle(1, EndpointListReceived([Endpoint(f"s{i}") for i in range(count)]))
    took = []
    for i in range(50):
        change = [Endpoint(f"new{i}"), Endpoint(f"s{i}", state=EndpointState.REMOVED)]
        begin = time.perf_counter()
        b.handle(2 + i, EndpointListReceived(change, complete=False))
        took.append((time.perf_counter() - begin) * 1e6)
    whole = [Endpoint(f"s{i}") for i in range(count // 2, count + count // 2)]
    for start in range(0, count, 200):  # records are made ahead, as a node does
        b.handle(100, EndpointsAnnounced(whole[start : start + 200]))
    held = []
    for servers, more in in_pieces(whole, b):
        begin = time.perf_counter()
        b.handle(100, EndpointListReceived(servers, **more))
        held.append((time.perf_counter() - begin) * 1e6)
    return statistics.median(took), sum(held), max(held)


def in_pieces(whole: list[Any], b: Any) -> list[tuple[list[Any], dict[str, bool]]]:
    """Return a list as the node applies it: in batches."""
    from oakbridge.node.endpoint_list import EndpointList, ListedEndpoint, split_into_batches

    new = EndpointList(1, True, [ListedEndpoint(s, ("127.0.0.1", 1)) for s in whole])
    parts = split_into_batches(new, b.members.servers)
    return [
        (
            [endpoint.server for endpoint in part.endpoints],
            {"complete": part.complete, "more_follow": part is not parts[-1]},
        )
        for part in parts
    ]


def one(folder: str, words: list[str]) -> Any:
    """One figure, in a process of its own with the program of that folder."""
    command = [sys.executable, str(Path(__file__).absolute()), "--one", *words]
    done = subprocess.run(
        command, capture_output=True, text=True, check=True, env={"PYTHONPATH": folder}
    )
    return json.loads(done.stdout)


def main() -> None:
    """Measure, and print a table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--against", help="a folder with another checkout")
    parser.add_argument("--repeats", type=int, default=5)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--one", nargs=2, help=argparse.SUPPRESS)
    given = parser.parse_args()
    if given.one:
        case, count = given.one[0], int(given.one[1])
        print(json.dumps(lists(count) if case == "lists" else play(case, count)))
        return
    folders = {"now": str(Path(__file__).parents[1])} | (
        {"before": given.against} if given.against else {}
    )
    found: dict[str, dict[str, list[Any]]] = {}
    for _ in range(given.repeats):
        for case in (*CASES, "lists"):
            for count in COUNTS:
                for name, folder in folders.items():
                    figure = one(folder, [case, str(count)])
                    found.setdefault(f"{case}|{count}", {}).setdefault(name, []).append(figure)
    if given.json:
        print(json.dumps(found, indent=1))
        return
    print(f"{'microseconds':24}" + "".join(f"{f'{n} {c:,}':>15}" for c in COUNTS for n in folders))
    for case in CASES:
        row = [
            statistics.median(found[f"{case}|{count}"][name])
            for count in COUNTS
            for name in folders
        ]
        print(f"{case:24}" + "".join(f"{figure:15.1f}" for figure in row))
    for place, what in enumerate(
        ("a delta of one server", "a whole list, half new", "its longest piece")
    ):
        row = [
            statistics.median(figures[place] for figures in found[f"lists|{count}"][name])
            for count in COUNTS for name in folders
        ]  # fmt: skip
        print(f"{what:24}" + "".join(f"{figure:15.1f}" for figure in row))


if __name__ == "__main__":
    main()
