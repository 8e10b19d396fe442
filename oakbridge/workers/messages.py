"""Encode and decode the packets of the channel between the supervisor and a worker.  No I/O.

    to a worker:   {"do":"connection"}, with the connection's descriptor
                   {"do":"leave"}
                   {"do":"reload"}
    from a worker: {"do": "ready", "most": 900}
                   {"do": "account", "had": 12, "seen": 4096}

Each packet is one JSON object.  The channel (SOCK_SEQPACKET) keeps packets whole and in order, so
that ``leave`` arrives after every connection that was sent before it.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum
from typing import Any, assert_never

from oakbridge.workers.errors import PacketError

MAX_PACKET_BYTES = 4096


class SupervisorCommand(Enum):
    """The supervisor's commands to a worker; the value is the packet."""

    SERVE_CONNECTION = b'{"do":"connection"}'  # sent with the connection's descriptor
    SHUT_DOWN = b'{"do":"leave"}'  # gracefully: serve the open connections, then exit
    RELOAD = b'{"do":"reload"}'  # read the configuration again


@dataclass(frozen=True, slots=True)
class WorkerReady:
    """The worker is ready to serve connections."""

    max_connections: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load of a worker, which also acknowledges the connections that it has received."""

    open_connections: int
    received_connections: int  # from the supervisor, since the worker's start


WorkerMessage = WorkerReady | LoadReport


def encode_command(command: SupervisorCommand) -> bytes:
    """Return the packet of a command to a worker."""
    return command.value


def decode_command(packet: bytes) -> SupervisorCommand:
    """Return the command in a packet from the supervisor.  Raises PacketError."""
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
    """Return the message in a packet from a worker.  Raises PacketError."""
    kind, numbers = _decode_fields(packet)
    if kind == "ready" and numbers.keys() == {"most"}:
        return WorkerReady(max_connections=numbers["most"])
    if kind == "account" and numbers.keys() == {"had", "seen"}:
        return LoadReport(open_connections=numbers["had"], received_connections=numbers["seen"])
    raise PacketError("ready or account", packet)


def _decode_fields(packet: bytes) -> tuple[Any, dict[str, int]]:
    """Return the kind of a worker's packet and its numeric fields.  Raises PacketError."""
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
