"""Runs 100,000 SIP transactions over a network that loses, doubles and reorders datagrams.

    python benchmarks/sip_faults.py [--transactions 100000] [--processes 8] [--seed 0]

Time is simulated.  Uses the simulated site of tests/sip/test_site.py (phones, the proxy with the
real module, scripted servers) with 10% loss, 5% duplication and delays up to 300 ms.  Counts the
final responses of each transaction, by number and by status, how often servers started unsafe
requests, once or twice, and the entries left in the proxy's state.  Each seed gives one site of
500 transactions.
"""

from __future__ import annotations

import argparse
import importlib.util
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
TRANSACTIONS_PER_SITE = 500


def run_site(seed: int) -> Counter[str]:
    """Run one simulated site; return its counts."""
    sys.path[:0] = [str(ROOT), str(ROOT / "tests" / "sip")]
    spec = importlib.util.spec_from_file_location(
        "site_tests", ROOT / "tests" / "sip" / "test_site.py"
    )
    assert spec is not None
    assert spec.loader is not None
    site_tests = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(site_tests)
    network = {"loss": 0.1, "duplication": 0.05, "delay_us": (200, 300_000)}
    site, sent = site_tests.run_site(
        seed, TRANSACTIONS_PER_SITE, site_tests.respond_at_random, **network
    )
    counts = Counter(f"{len(request.final_statuses)} final answers" for request in sent)
    counts.update(f"answer {status}" for request in sent for status in request.final_statuses)
    for server in site.servers.values():
        counts["unsafe run"] += sum(1 for key in server.runs if "OPTIONS" not in key[1])
    executions_by_key: Counter[tuple[str, str]] = sum(
        (site_server.runs for site_server in site.servers.values()), start=Counter()
    )
    counts["unsafe run twice"] += sum(
        executions > 1 for key, executions in executions_by_key.items() if "OPTIONS" not in key[1]
    )
    counts["left in the proxy"] += sum(site.proxy_state_sizes())
    return counts


def main() -> None:
    """Run all sites and print the counts."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--transactions", type=int, default=100_000)
    parser.add_argument("--processes", type=int, default=8)
    parser.add_argument("--seed", type=int, default=0)
    arguments = parser.parse_args()
    begin, counts = time.monotonic(), Counter[str]()
    with ProcessPoolExecutor(arguments.processes) as pool:
        seeds = range(
            arguments.seed, arguments.seed + arguments.transactions // TRANSACTIONS_PER_SITE
        )
        for done, site_counts in enumerate(pool.map(run_site, seeds), 1):
            counts.update(site_counts)
            print(
                f"\r{done * TRANSACTIONS_PER_SITE:,} of {arguments.transactions:,}",
                end="",
                file=sys.stderr,
            )
    print(f"\n{time.monotonic() - begin:.0f} s", file=sys.stderr)
    for name, count in sorted(counts.items()):
        print(f"{name:24}{count:>10,}")


if __name__ == "__main__":
    main()
