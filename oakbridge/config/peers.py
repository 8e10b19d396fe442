"""Map the table ``[peers]`` to the options of a member."""

from __future__ import annotations

from pathlib import Path

from oakbridge import __version__
from oakbridge.config.errors import ConfigFileError
from oakbridge.config.load import LoadedConfig
from oakbridge.config.schema import resolve_path
from oakbridge.peers.messages import MAX_NAME_LENGTH
from oakbridge.peers.protocol_options import ProtocolOptions
from oakbridge.peers.service import ServiceOptions
from oakbridge.sources.file_source import FileOptions
from oakbridge.sources.problem import Problem

MIN_SECRET_BYTES = 16
MAX_SECRET_BYTES = 4096


def peers_options(loaded: LoadedConfig) -> ServiceOptions | None:
    """Return the member's options with the secret it reads; None without ``[peers]``.

    Raises ConfigFileError.
    """
    table = loaded.file.peers
    if table is None:
        return None
    tags = {
        "site": table.site or loaded.file.node.zone[:48],
        "tier": table.tier,
        "version": __version__,
    }
    if table.capacity:
        tags["capacity"] = f"{table.capacity:g}"
    protocol = ProtocolOptions(
        probe_interval_us=table.period,
        probe_timeout_us=table.probe_timeout,
        max_members=table.most,
        local_health=table.local_health,
    )
    name, listen = loaded.member_override or (loaded.config.name, table.listen)
    if not 1 <= len(name) <= MAX_NAME_LENGTH:  # other members would drop its messages
        text = (
            f"expected a name of 1 to {MAX_NAME_LENGTH} characters among members, got {name!r:.120}"
        )
        raise ConfigFileError([Problem(str(loaded.path), ("node", "name"), text)])
    return ServiceOptions(
        name=name,
        listen=listen,
        secret=read_secret(resolve_path(table.secret_file, loaded.path)),
        advertise=table.advertise,
        seeds=tuple(table.seeds),
        expects_more_seeds=table.seeds_file is not None,
        tags={name: value for name, value in tags.items() if value},
        snapshot_path=resolve_path(table.snapshot, loaded.path) if table.snapshot else None,
        protocol=protocol,
    )


def read_secret(path: Path) -> bytes:
    """Return the members' shared secret without surrounding blanks.  Raises ConfigFileError."""
    try:
        with path.open("rb") as file:
            secret = file.read(MAX_SECRET_BYTES + 1).strip()
    except OSError as error:
        raise ConfigFileError(
            [Problem(str(path), (), f"expected the members' secret: {error.strerror or error}")]
        ) from None
    if not MIN_SECRET_BYTES <= len(secret) <= MAX_SECRET_BYTES:
        text = f"expected a secret of {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES} bytes, got {len(secret)}"
        raise ConfigFileError([Problem(str(path), (), text)])
    return secret


def seeds_file_options(loaded: LoadedConfig) -> FileOptions | None:
    """Return how to watch the file of seeds; None without such a file."""
    table = loaded.file.peers
    if table is None or table.seeds_file is None:
        return None
    return FileOptions(resolve_path(table.seeds_file, loaded.path), max_lost_fraction=1.0)
