"""Measures the µs of a decision and of applying an endpoint list, by the number of servers.

    python benchmarks/decisions.py [--against FOLDER] [--repeats 5] [--json]

A decision is the arrival of one request and the result of one attempt, with five other requests
in flight.  Times are medians over repeats, each repeat in a process of its own.  With
``--against`` another checkout is measured too: the two checkouts take turns, so that other load
on the machine affects both.
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


def measure_decision(case: str, count: int) -> float:
    """Return the microseconds of one decision: the least of three means over up to 300 requests."""
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

    more_settings: dict[str, Any] = {}
    rng = random.Random(3)
    endpoints = [Endpoint(f"s{i}", zone="b") for i in range(count)]
    if case.startswith("weights"):
        more_settings["weight_source"] = WeightSource.NOMINAL
        endpoints = [Endpoint(f"s{i}", weight=10 ** rng.uniform(-3, 3)) for i in range(count)]
    elif case == "all cold":
        more_settings |= {"slow_start_window": 600_000_000, "slow_start_minimum": 0.2}
        endpoints = [Endpoint(f"s{i}", started_at=1_000_000) for i in range(count)]
    elif case == "all in another zone":
        more_settings |= {"zone": "a", "zones": ("a", "b"), "prices": Prices(cross_zone=1.0)}
    request_class = RequestClass("look", 2_500_000, 6_000_000, idempotency=Idempotency.IDEMPOTENT)
    balancer = Balancer(Settings(classes=(request_class,), replica_count=10, **more_settings), 7)
    now, number = 1_000_000, 0
    balancer.handle(now, EndpointListReceived(endpoints))
    in_flight: deque[tuple[int, str, int]] = deque()

    def run_requests(requests: int) -> float:
        nonlocal now, number
        first, begin_s = number, time.perf_counter()
        while number < first + requests and time.perf_counter() - begin_s < 0.5:
            now, number = now + 200, number + 1
            for action in balancer.handle(
                now, RequestReceived(number, "look", time_left=5_000_000)
            ):
                if isinstance(action, SendAttempt):
                    in_flight.append((number, action.server, now))
            if len(in_flight) > 5:
                request, server, sent = in_flight.popleft()
                balancer.handle(
                    now,
                    AttemptEnded(
                        request, 0, server, AttemptResult.OK, now - sent, request_finished=True
                    ),
                )
        return (time.perf_counter() - begin_s) / (number - first) * 1e6

    run_requests(300)
    if case == "all but three ejected":
        for server in list(balancer.servers.values())[3:]:
            server.ejected_until = now + 600_000_000
            if hasattr(balancer, "members"):
                balancer.members.update_ejection(server, now)
    return min(run_requests(300) for _ in range(3))


def measure_list_updates(count: int) -> tuple[float, float, float]:
    """Return the microseconds of three list updates among ``count`` servers.

    These are the median of a delta that replaces one server, a complete list with half of its
    servers new, and the longest batch of this complete list.
    """
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
    balancer = Balancer(settings, 3)
    balancer.handle(1, EndpointListReceived([Endpoint(f"s{i}") for i in range(count)]))
    delta_times_us = []
    for i in range(50):
        change = [Endpoint(f"new{i}"), Endpoint(f"s{i}", state=EndpointState.REMOVED)]
        begin_s = time.perf_counter()
        balancer.handle(2 + i, EndpointListReceived(change, complete=False))
        delta_times_us.append((time.perf_counter() - begin_s) * 1e6)
    complete_list = [Endpoint(f"s{i}") for i in range(count // 2, count + count // 2)]
    for start in range(0, count, 200):  # creates the records ahead of the list, as a node does
        balancer.handle(100, EndpointsAnnounced(complete_list[start : start + 200]))
    batch_times_us = []
    for servers, list_flags in split_list(complete_list, balancer):
        begin_s = time.perf_counter()
        balancer.handle(100, EndpointListReceived(servers, **list_flags))
        batch_times_us.append((time.perf_counter() - begin_s) * 1e6)
    return statistics.median(delta_times_us), sum(batch_times_us), max(batch_times_us)


def split_list(complete_list: list[Any], balancer: Any) -> list[tuple[list[Any], dict[str, bool]]]:
    """Split a list into batches, as the node applies it."""
    from oakbridge.node.endpoint_list import EndpointList, ListedEndpoint, split_into_batches

    endpoint_list = EndpointList(
        1,
        True,
        [ListedEndpoint(server, ("127.0.0.1", 1)) for server in complete_list],
    )
    batches = split_into_batches(endpoint_list, balancer.members.servers)
    return [
        (
            [endpoint.server for endpoint in batch.endpoints],
            {"complete": batch.complete, "more_follow": batch is not batches[-1]},
        )
        for batch in batches
    ]


def measure_in_subprocess(folder: str, arguments: list[str]) -> Any:
    """Measure one figure in a process of its own that imports oakbridge from ``folder``."""
    command = [sys.executable, str(Path(__file__).absolute()), "--one", *arguments]
    completed = subprocess.run(
        command, capture_output=True, text=True, check=True, env={"PYTHONPATH": folder}
    )
    return json.loads(completed.stdout)


def main() -> None:
    """Run the measurement and print a table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--against", help="folder of another checkout to compare with")
    parser.add_argument("--repeats", type=int, default=5)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--one", nargs=2, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.one:
        case, count = options.one[0], int(options.one[1])
        print(
            json.dumps(
                measure_list_updates(count) if case == "lists" else measure_decision(case, count)
            )
        )
        return
    folders = {"now": str(Path(__file__).parents[1])} | (
        {"before": options.against} if options.against else {}
    )
    figures_by_case: dict[str, dict[str, list[Any]]] = {}
    for _ in range(options.repeats):
        for case in (*CASES, "lists"):
            for count in COUNTS:
                for name, folder in folders.items():
                    figure = measure_in_subprocess(folder, [case, str(count)])
                    figures_by_case.setdefault(f"{case}|{count}", {}).setdefault(name, []).append(
                        figure
                    )
    if options.json:
        print(json.dumps(figures_by_case, indent=1))
        return
    print(
        f"{'microseconds':24}"
        + "".join(f"{f'{checkout} {size:,}':>15}" for size in COUNTS for checkout in folders)
    )
    for case in CASES:
        row = [
            statistics.median(figures_by_case[f"{case}|{count}"][name])
            for count in COUNTS
            for name in folders
        ]
        print(f"{case:24}" + "".join(f"{figure:15.1f}" for figure in row))
    for index, label in enumerate(
        ("a delta of one server", "a whole list, half new", "its longest piece")
    ):
        row = [
            statistics.median(figures[index] for figures in figures_by_case[f"lists|{count}"][name])
            for count in COUNTS for name in folders
        ]  # fmt: skip
        print(f"{label:24}" + "".join(f"{figure:15.1f}" for figure in row))


if __name__ == "__main__":
    main()
