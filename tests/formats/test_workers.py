"""The packets between a supervisor and its workers, and the merged status, held by fixtures."""

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
TO_WORKER = [
    SupervisorCommand.SERVE_CONNECTION,
    SupervisorCommand.SHUT_DOWN,
    SupervisorCommand.RELOAD,
]
FROM_WORKER = [
    WorkerReady(max_connections=900),
    LoadReport(open_connections=12, received_connections=4096),
]


def test_packets_to_a_worker_are_read_and_written():
    packets = (FIXTURES / "workers" / "to_worker.txt").read_bytes().splitlines()
    assert [encode_command(command) for command in TO_WORKER] == packets
    assert [decode_command(packet) for packet in packets] == TO_WORKER


def test_packets_from_a_worker_are_read_and_written():
    packets = (FIXTURES / "workers" / "from_worker.txt").read_bytes().splitlines()
    assert [encode_message(message) for message in FROM_WORKER] == packets
    assert [decode_message(packet) for packet in packets] == FROM_WORKER


def merged():
    """Two workers that hold the state of the control socket's fixture, and one that is down."""
    lines = (FIXTURES / "control" / "all.txt").read_bytes().splitlines()
    own = {
        "name": "edge", "pid": 1234, "version": "0.3.0", "uptime_s": 3.5, "listen": ["127.0.0.1:8080"],
        "handed": {1: 7, 2: 8}, "crashes": {1: 0, 2: 0, 3: 4},
    }  # fmt: skip
    status = protocol.decode_response(lines[1].removeprefix(b"< "))
    return merge_status(
        own, {1: status, 2: status, 3: WorkerUnavailable("waiting: no node answers there")}, 1
    )


def test_the_status_of_all_workers_is_the_same_bytes():
    written = (json.dumps(merged(), indent=1) + "\n").encode()
    assert written == (FIXTURES / "workers" / "merged.json").read_bytes()
