"""The packets between a supervisor and its workers, and the merged status, must equal fixtures."""

import json
from pathlib import Path

from oakbridge.control import protocol
from oakbridge.workers.messages import (
    LoadReport,
    SupervisorCommand,
    WorkerReady,
    decode_command,
    decode_message,
    encode_command,
    encode_message,
)
from oakbridge.workers.status import WorkerUnavailable, merge_status

FIXTURES = Path(__file__).parent / "fixtures"
COMMANDS = [
    SupervisorCommand.SERVE_CONNECTION,
    SupervisorCommand.SHUT_DOWN,
    SupervisorCommand.RELOAD,
]
MESSAGES = [
    WorkerReady(max_connections=900),
    LoadReport(open_connections=12, received_connections=4096),
]


def test_commands_to_a_worker_are_encoded_and_decoded():
    packets = (FIXTURES / "workers" / "to_worker.txt").read_bytes().splitlines()
    assert [encode_command(command) for command in COMMANDS] == packets
    assert [decode_command(packet) for packet in packets] == COMMANDS


def test_messages_from_a_worker_are_encoded_and_decoded():
    packets = (FIXTURES / "workers" / "from_worker.txt").read_bytes().splitlines()
    assert [encode_message(message) for message in MESSAGES] == packets
    assert [decode_message(packet) for packet in packets] == MESSAGES


def merged_status():
    """Merge two workers with the status in the control socket's fixture and one that is down."""
    lines = (FIXTURES / "control" / "all.txt").read_bytes().splitlines()
    supervisor_fields = {
        "name": "edge", "pid": 1234, "version": "0.3.0", "uptime_s": 3.5, "listen": ["127.0.0.1:8080"],
        "handed": {1: 7, 2: 8}, "crashes": {1: 0, 2: 0, 3: 4},
    }  # fmt: skip
    status = protocol.decode_response(lines[1].removeprefix(b"< "))
    return merge_status(
        supervisor_fields,
        {1: status, 2: status, 3: WorkerUnavailable("waiting: no node answers there")},
        1,
    )


def test_merged_status_is_the_same_bytes():
    encoded = (json.dumps(merged_status(), indent=1) + "\n").encode()
    assert encoded == (FIXTURES / "workers" / "merged.json").read_bytes()
