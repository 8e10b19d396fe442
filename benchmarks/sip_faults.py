"""A hundred thousand SIP transactions through a network that loses, doubles and reorders, in simulated time, by seed.

    python benchmarks/sip_faults.py [--transactions 100000] [--processes 8] [--seed 0]

The tests' own site (phones, the proxy with the real module, servers by script): 10% lost, 5% doubled, delays up to
300 ms.  Counted: final answers of each transaction, and how often a server began to work on what is unsafe.
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
EACH = 500  # transactions of one site


def play(seed: int) -> Counter[str]:
    """One site's counts."""
    sys.path[:0] = [str(ROOT), str(ROOT / "tests" / "sip")]
    spec = importlib.util.spec_from_file_location(
        "site_tests", ROOT / "tests" / "sip" / "test_site.py"
    )
    assert spec is not None
    assert spec.loader is not None
    tests = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(tests)
    network = {"loss": 0.1, "duplication": 0.05, "delay_us": (200, 300_000)}
    site, sent = tests.run_site(seed, EACH, tests.respond_at_random, **network)
    told = Counter(f"{len(request.final_statuses)} final answers" for request in sent)
    told.update(f"answer {status}" for request in sent for status in request.final_statuses)
    for server in site.servers.values():
        told["unsafe run"] += sum(1 for key in server.runs if "OPTIONS" not in key[1])
    ran: Counter[tuple[str, str]] = sum((s.runs for s in site.servers.values()), start=Counter())
    told["unsafe run twice"] += sum(n > 1 for key, n in ran.items() if "OPTIONS" not in key[1])
    told["left in the proxy"] += sum(site.proxy_state_sizes())
    return told


def main() -> None:
    """Play, and print the counts."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--transactions", type=int, default=100_000)
    parser.add_argument("--processes", type=int, default=8)
    parser.add_argument("--seed", type=int, default=0)
    given = parser.parse_args()
    begin, told = time.monotonic(), Counter[str]()
    with ProcessPoolExecutor(given.processes) as pool:
        seeds = range(given.seed, given.seed + given.transactions // EACH)
        for done, one in enumerate(pool.map(play, seeds), 1):
            told.update(one)
            print(f"\r{done * EACH:,} of {given.transactions:,}", end="", file=sys.stderr)
    print(f"\n{time.monotonic() - begin:.0f} s", file=sys.stderr)
    for what, count in sorted(told.items()):
        print(f"{what:24}{count:>10,}")


if __name__ == "__main__":
    main()
