"""The default paths of control sockets."""

from __future__ import annotations

import os
import re
from pathlib import Path


def runtime_directory() -> Path:
    """Return the user's directory for control sockets: under XDG_RUNTIME_DIR, or else in /tmp."""
    user_directory = os.environ.get("XDG_RUNTIME_DIR")
    if user_directory:
        return Path(user_directory) / "oakbridge"
    return Path(f"/tmp/oakbridge-{os.getuid()}")


def default_socket_path(node_name: str) -> Path:
    """Return the path of a node's socket if its configuration sets none."""
    file_name = re.sub(r"[^A-Za-z0-9._-]", "_", node_name)
    return runtime_directory() / f"{file_name}.sock"


def worker_socket_path(node_socket: Path, worker: int) -> Path:
    """Return the path of a worker's socket, in the directory of its node's socket."""
    return node_socket.with_name(f"{node_socket.stem}.{worker}{node_socket.suffix}")
