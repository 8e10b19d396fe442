"""Write and read the saved copy of the version in use.

The first line is a JSON object of ``format``, ``number`` and ``digest``.  Each further line is an
array for one server: name, state, zone, group, weight, start time in microseconds of Unix time,
host, port.  The last line is a checksum line.
"""

from __future__ import annotations

import json
import logging
import os
from pathlib import Path
from typing import Any

from oakbridge.node.endpoint_list import ListedEndpoint
from oakbridge.policy.events import Endpoint
from oakbridge.sources.atomic_file import Write, write_atomically
from oakbridge.sources.checksum import checksum_line, checksum_matches, split_checksum
from oakbridge.sources.errors import ReadError
from oakbridge.sources.list_version import ListVersion
from oakbridge.sources.pacing import BATCH_SIZE, let_event_loop_run
from oakbridge.sources.reading import read_regular_file

FORMAT_VERSION = 1

logger = logging.getLogger(__name__)


def save_version(path: Path, version: ListVersion, write: Write = os.write) -> None:
    """Save a copy atomically.  Blocks.  Raises OSError; the previous copy is then unchanged."""
    write_atomically(path, _encode(version), write)


def load_saved_version(path: Path) -> ListVersion | None:
    """Return the saved version; None if there is no copy that can be read."""
    try:
        data = read_regular_file(path)
    except ReadError:
        return None
    try:
        return _decode(data)
    except (ValueError, KeyError, TypeError) as error:
        logger.warning("saved copy of the list not used: path=%s error=%s", path, error)
        return None


def _encode(version: ListVersion) -> bytes:
    header = {"format": FORMAT_VERSION, "number": version.number, "digest": version.digest}
    lines = [json.dumps(header)]
    for count, entry in enumerate(version.servers.values()):
        if count % BATCH_SIZE == 0:
            let_event_loop_run()
        lines.append(json.dumps(_encode_entry(entry)))
    content = "\n".join(lines).encode() + b"\n"
    return content + checksum_line(content)


def _encode_entry(entry: ListedEndpoint) -> list[Any]:
    server = entry.server
    host, port = entry.address
    return [
        server.id,
        server.state,
        server.zone,
        server.cell,
        server.weight,
        server.started_at,
        host,
        port,
    ]


def _decode(data: bytes) -> ListVersion:
    """Decode a saved copy.  Raises ValueError, KeyError or TypeError for other data."""
    if not checksum_matches(data):
        raise ValueError("expected a matching checksum line")
    lines = split_checksum(data)[0].decode().splitlines()
    header, *rows = [json.loads(line) for line in lines]
    if header["format"] != FORMAT_VERSION:
        raise ValueError(f"expected format {FORMAT_VERSION}, got {header['format']!r}")
    entries = [_decode_entry(row) for row in rows]
    servers = {entry.server.id: entry for entry in entries}
    return ListVersion(header["number"], header["digest"], servers)


def _decode_entry(row: list[Any]) -> ListedEndpoint:
    name, state, zone, group, weight, started_at_us, host, port = row
    server = Endpoint(name, state, zone, group, weight, started_at_us, f"{host}:{port}")
    return ListedEndpoint(server, (host, port))
