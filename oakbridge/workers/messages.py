"""Encode and decode the packets of the channel between the supervisor and a worker.  No I/O.

    to a worker:   {"do":"connection"}, with the connection's descriptor
                   {"do":"leave"}
                   {"do":"reload"}
    from a worker: {"do": "ready", "most": 900}
                   {"do": "account", "had": 12, "seen": 4096}

One JSON object a packet.  The channel keeps packets whole and in order (SOCK_SEQPACKET), so that
``leave`` arrives after every connection that was sent before it.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum
from typing import Any, assert_never

from oakbridge.workers.errors import PacketError

MAX_PACKET_BYTES = 4096


class SupervisorCommand(Enum):
    """What the supervisor has a worker do; the value is the packet."""

    SERVE_CONNECTION = b'{"do":"connection"}'  # with the connection's descriptor beside it
    SHUT_DOWN = b'{"do":"leave"}'  # gracefully: serve the connections that are open, then end
    RELOAD = b'{"do":"reload"}'


@dataclass(frozen=True, slots=True)
class WorkerReady:
    """The worker serves."""

    max_connections: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The worker's open connections, and all that it has received from the supervisor until now."""

    open_connections: int
    received_connections: int


WorkerMessage = WorkerReady | LoadReport


def encode_command(command: SupervisorCommand) -> bytes:
    """Return the packet of a command to a worker."""
    return command.value


def decode_command(packet: bytes) -> SupervisorCommand:
    """Read a packet from the supervisor.  Raises PacketError."""
    try:
        return SupervisorCommand(packet)
    except ValueError:
        raise PacketError("a supervisor's command", packet) from None


def encode_message(message: WorkerMessage) -> bytes:
    """Return the packet of a worker's message."""
    match message:
        case WorkerReady():
            fields = {"do": "ready", "most": message.max_connections}
        case LoadReport():
            fields = {
                "do": "account",
                "had": message.open_connections,
                "seen": message.received_connections,
            }
        case _:
            assert_never(message)
    return json.dumps(fields).encode()


def decode_message(packet: bytes) -> WorkerMessage:
    """Read a packet from a worker.  Raises PacketError."""
    kind, numbers = _decode_fields(packet)
    if kind == "ready" and numbers.keys() == {"most"}:
        return WorkerReady(max_connections=numbers["most"])
    if kind == "account" and numbers.keys() == {"had", "seen"}:
        return LoadReport(open_connections=numbers["had"], received_connections=numbers["seen"])
    raise PacketError("ready or account", packet)


def _decode_fields(packet: bytes) -> tuple[Any, dict[str, int]]:
    """Return the kind of a worker's packet and its numbers.  Raises PacketError."""
    try:
        fields = json.loads(packet)
    except (ValueError, RecursionError):
        raise PacketError("a worker's packet", packet) from None
    if not isinstance(fields, dict) or "do" not in fields:
        raise PacketError("a worker's packet", packet)
    kind = fields.pop("do")
    if not all(_is_whole_number(value) for value in fields.values()):
        raise PacketError("whole numbers", packet)
    return kind, fields


def _is_whole_number(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0
