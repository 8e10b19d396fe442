"""What ``[peers]`` means for a member."""

from __future__ import annotations

from pathlib import Path

from oakbridge import __version__
from oakbridge.config.load import BadFile, Loaded
from oakbridge.config.schema import resolved
from oakbridge.peers.member import Options
from oakbridge.peers.messages import MAX_NAME
from oakbridge.peers.shell import PeersOptions
from oakbridge.sources.files import FileOptions
from oakbridge.sources.formats import Problem

LEAST_SECRET, MOST_SECRET = 16, 4096


def peers_options(loaded: Loaded) -> PeersOptions | None:
    """The member's settings, if there are any; its secret is read here.  Raises BadFile."""
    table = loaded.file.peers
    if table is None:
        return None
    tags = {"site": table.site or loaded.file.node.zone[:48], "tier": table.tier, "version": __version__}
    if table.capacity:
        tags["capacity"] = f"{table.capacity:g}"
    member = Options(
        period=table.period, probe_timeout=table.probe_timeout, most=table.most, local_health=table.local_health
    )  # fmt: skip
    name, listen = loaded.member or (loaded.config.name, table.listen)
    if not 1 <= len(name) <= MAX_NAME:  # others would drop all that it says
        text = f"expected a name of 1 to {MAX_NAME} characters among members, got {name!r:.120}"
        raise BadFile([Problem(str(loaded.path), ("node", "name"), text)])
    return PeersOptions(
        name=name,
        listen=listen,
        secret=read_secret(resolved(table.secret_file, loaded.path)),
        advertise=table.advertise,
        seeds=tuple(table.seeds),
        more_seeds=table.seeds_file is not None,
        tags={name: value for name, value in tags.items() if value},
        snapshot=resolved(table.snapshot, loaded.path) if table.snapshot else None,
        member=member,
    )


def read_secret(path: Path) -> bytes:
    """The shared secret, without blanks round it.  Raises BadFile."""
    try:
        with path.open("rb") as file:
            secret = file.read(MOST_SECRET + 1).strip()
    except OSError as e:
        raise BadFile([Problem(str(path), (), f"expected the members' secret: {e.strerror or e}")]) from None
    if not LEAST_SECRET <= len(secret) <= MOST_SECRET:
        text = f"expected a secret of {LEAST_SECRET} to {MOST_SECRET} bytes, got {len(secret)}"
        raise BadFile([Problem(str(path), (), text)])
    return secret


def seeds_file(loaded: Loaded) -> FileOptions | None:
    """How the file of members to join by is watched, if there is one."""
    table = loaded.file.peers
    if table is None or table.seeds_file is None:
        return None
    return FileOptions(resolved(table.seeds_file, loaded.path), most_lost=1.0)
