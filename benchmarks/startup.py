"""Start-up and memory of the platform's node: until it listens, and its resident memory a second later.

    python benchmarks/startup.py [--module oakbridge] [--folder .] [--rounds 15]

``--folder`` and ``--module`` name another checkout, to compare with.
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


def one(module: str, folder: Path, config: Path) -> tuple[float, float]:
    """Start a node once; returns milliseconds until it listens, and megabytes."""
    begin = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, "-m", module],
        cwd=folder,
        stderr=subprocess.PIPE,
        env={**os.environ, "NODE_CONFIG": str(config)},
    )
    assert process.stderr is not None
    while b"node listening" not in process.stderr.readline():
        assert process.poll() is None, "the node has ended"
    took = time.monotonic() - begin
    time.sleep(1)
    status = Path(f"/proc/{process.pid}/status").read_text()
    resident = (
        int(next(line for line in status.splitlines() if line.startswith("VmRSS")).split()[1])
        / 1024
    )
    process.kill()
    process.wait()
    process.stderr.close()
    return 1000 * took, resident


def main() -> None:
    """Measure, and print medians."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--module", default="oakbridge")
    parser.add_argument("--folder", type=Path, default=Path())
    parser.add_argument("--rounds", type=int, default=15)
    given = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "config.json"
        raw = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "settings": SETTINGS}
        config.write_text(json.dumps(raw))
        found = [one(given.module, given.folder, config) for _ in range(given.rounds)]
    print(f"listens after {statistics.median(f[0] for f in found):.0f} ms (median of {len(found)}), "
          f"{statistics.median(f[1] for f in found):.1f} MB resident a second later")  # fmt: skip


if __name__ == "__main__":
    main()
