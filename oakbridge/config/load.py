"""Read ``oakbridge.toml`` and report all its problems at once, each with its place."""

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
    """A valid configuration file, and the node's configuration made from it."""

    path: Path
    file: schema.ConfigFile
    config: Config
    control_path: Path | None  # path of the control socket; None: the node has none
    digest: str  # SHA-256 of the file's bytes
    # Name and address of this node as a member of the cluster; None: those of the file.
    member_override: tuple[str, Address] | None = None


def load(path: Path) -> LoadedConfig:
    """Read and check a file.  Raises ConfigFileError."""
    data = read_bounded(path)
    file = parse_config(data, str(path))
    return LoadedConfig(
        path=path,
        file=file,
        config=node_config(file),
        control_path=control_socket_path(file),
        digest=hashlib.sha256(data).hexdigest(),
    )


def parse_config(data: bytes, name: str) -> schema.ConfigFile:
    """Parse and check a file's bytes; ``name`` names it in errors.  Raises ConfigFileError."""
    return parse_tables(data, name, schema.ConfigFile)


def control_socket_path(file: schema.ConfigFile) -> Path | None:
    """Return the path of the control socket; None if the file disables it.

    It is the file's or else the default path in the user's runtime directory.
    """
    if not file.control.enabled:
        return None
    if file.control.socket is not None:
        return Path(file.control.socket).expanduser().absolute()
    return default_socket_path(file.node.name)
