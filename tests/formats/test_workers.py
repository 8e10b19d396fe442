"""The packets between a supervisor and its workers, and the merged account, held by fixtures."""

import json
from pathlib import Path

from oakbridge.control import protocol
from oakbridge.workers import messages
from oakbridge.workers.status import merge_status

FIXTURES = Path(__file__).parent / "fixtures"
TO_WORKER = [messages.CONNECTION, messages.LEAVE, messages.RELOAD]
FROM_WORKER = [messages.Ready(900), messages.LoadReport(12, 4096)]


def test_packets_to_a_worker_are_the_same_bytes():
    assert (FIXTURES / "workers" / "to_worker.txt").read_bytes().splitlines() == TO_WORKER


def test_packets_from_a_worker_are_read_and_written():
    packets = (FIXTURES / "workers" / "from_worker.txt").read_bytes().splitlines()
    assert [messages.encode(message) for message in FROM_WORKER] == packets
    assert [messages.decode(packet) for packet in packets] == FROM_WORKER


def merged():
    """Two workers that hold the state of the control socket's fixture, and one that is down."""
    lines = (FIXTURES / "control" / "all.txt").read_bytes().splitlines()
    own = {
        "name": "edge", "pid": 1234, "version": "0.3.0", "uptime_s": 3.5, "listen": ["127.0.0.1:8080"],
        "handed": {1: 7, 2: 8}, "crashes": {1: 0, 2: 0, 3: 4},
    }  # fmt: skip
    account = protocol.decode_response(lines[1].removeprefix(b"< "))
    return merge_status(own, {1: account, 2: account, 3: "waiting: no node answers there"}, 1)


def test_the_account_of_all_workers_is_the_same_bytes():
    written = (json.dumps(merged(), indent=1) + "\n").encode()
    assert written == (FIXTURES / "workers" / "merged.json").read_bytes()
