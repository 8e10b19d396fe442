"""Where a node's control socket is, if nobody says otherwise."""

from __future__ import annotations

import os
import re
from pathlib import Path


def runtime_directory() -> Path:
    """The user's folder for sockets."""
    runtime = os.environ.get("XDG_RUNTIME_DIR")
    return Path(runtime) / "oakbridge" if runtime else Path(f"/tmp/oakbridge-{os.getuid()}")


def default_socket_path(name: str) -> Path:
    """The socket of a node by its name."""
    return runtime_directory() / f"{re.sub(r'[^A-Za-z0-9._-]', '_', name)}.sock"


def worker_socket_path(control: Path, worker: int) -> Path:
    """The socket of one of a node's workers, beside the node's own."""
    return control.with_name(f"{control.stem}.{worker}{control.suffix}")
