"""Read ``oakbridge.toml``: every mistake at once, with line, field and what was expected."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from pathlib import Path

from oakbridge.config import schema
from oakbridge.config.node_config import node_config
from oakbridge.config.toml_file import parse_tables, read_bounded
from oakbridge.control.paths import default_socket_path
from oakbridge.node.address import Address
from oakbridge.node.config import Config


@dataclass(frozen=True, slots=True)
class LoadedConfig:
    """A checked file, and what it means for a node."""

    path: Path
    file: schema.File
    config: Config
    control_path: Path | None  # of the control socket; None: there is none
    digest: str  # SHA-256 of the file's bytes
    # Name and address among the members; None: those of the file.
    member_override: tuple[str, Address] | None = None


def load(path: Path) -> LoadedConfig:
    """Read and check a file.  Raises ConfigFileError."""
    data = read_bounded(path)
    file = check(data, str(path))
    return LoadedConfig(
        path=path,
        file=file,
        config=node_config(file),
        control_path=control_socket_path(file),
        digest=hashlib.sha256(data).hexdigest(),
    )


def check(data: bytes, name: str) -> schema.File:
    """Check a file's bytes; ``name`` is the file's in messages.  Raises ConfigFileError."""
    return parse_tables(data, name, schema.File)


def control_socket_path(file: schema.File) -> Path | None:
    """Return the control socket's path by the file or the user's runtime directory, if enabled."""
    if not file.control.enabled:
        return None
    if file.control.socket is not None:
        return Path(file.control.socket).expanduser().absolute()
    return default_socket_path(file.node.name)
