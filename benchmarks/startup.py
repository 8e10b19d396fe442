"""Measures a node's start-up time (ms until it listens) and its resident MB one second later.

    python benchmarks/startup.py [--module oakbridge] [--folder .] [--rounds 15]

The node is configured by NODE_CONFIG, as on the platform.  ``--folder`` and ``--module`` select
another checkout for comparison.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

SETTINGS = {
    "allowed": {"max-attempts": 4, "cancelling": True},
    "classes": [{"name": "look", "aim": 1_000_000, "deadline": 2_000_000, "idempotency": "pure"}],
    "discovery": "pushed", "instances": 1, "layers": ["only"], "resolution": 1000,
    "invariants": {"cold-from": 0.2, "fall": 3_000_000, "fall-multiple": 2.5, "warm-up": 10_000_000},
}  # fmt: skip


def measure_start(module: str, folder: Path, config: Path) -> tuple[float, float]:
    """Start a node; return the ms until it listens and its resident MB a second later."""
    begin = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, "-m", module],
        cwd=folder,
        stderr=subprocess.PIPE,
        env={**os.environ, "NODE_CONFIG": str(config)},
    )
    assert process.stderr is not None
    while b"node listening" not in process.stderr.readline():
        assert process.poll() is None, "the node exited before it listened"
    start_s = time.monotonic() - begin
    time.sleep(1)
    status = Path(f"/proc/{process.pid}/status").read_text()
    resident_mb = (
        int(next(line for line in status.splitlines() if line.startswith("VmRSS")).split()[1])
        / 1024
    )
    process.kill()
    process.wait()
    process.stderr.close()
    return 1000 * start_s, resident_mb


def main() -> None:
    """Run the measurement and print the medians."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--module", default="oakbridge")
    parser.add_argument("--folder", type=Path, default=Path())
    parser.add_argument("--rounds", type=int, default=15)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "config.json"
        node_config = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "settings": SETTINGS}
        config.write_text(json.dumps(node_config))
        starts = [
            measure_start(arguments.module, arguments.folder, config)
            for _ in range(arguments.rounds)
        ]
    print(f"listens after {statistics.median(start[0] for start in starts):.0f} ms (median of {len(starts)}), "
          f"{statistics.median(start[1] for start in starts):.1f} MB resident a second later")  # fmt: skip


if __name__ == "__main__":
    main()
