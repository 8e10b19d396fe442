"""The packets between the two processes of a node, which may run different releases.

Each fixture is one packet as an earlier release wrote it.  The fixtures never change.
"""

from pathlib import Path
from typing import get_args

import pytest

from oakbridge.handover.messages import (
    ClientConnection,
    Decline,
    EndpointListUpdate,
    Hello,
    Message,
    Ready,
    RelayedCommand,
    RemainingLoad,
    RequestIdUpdate,
    TakeOver,
    Welcome,
    decode,
    encode,
)
from oakbridge.handover.packets import PacketAssembler, split_into_packets

FIXTURES = Path(__file__).parent / "fixtures" / "handover"
CONFIG_FILE = {
    "name": "n3",
    "listen": "127.0.0.1:7000",
    "discovery": "127.0.0.1:7001",
    "limits": {"sockets": 512},
    "settings": {"layers": ["only"]},
}
ENDPOINTS = [
    {
        "name": "s-0",
        "address": "127.0.0.1:8080",
        "zone": "z0",
        "group": 3,
        "status": "ready",
        "weight": 1.5,
        "since_ms": 1700000000.0,
    },
    {
        "name": "s-1",
        "address": "127.0.0.1:8081",
        "zone": "",
        "group": 0,
        "status": "draining",
        "weight": 1.0,
        "since_ms": 0.0,
    },
]
SERVER_STATE = [0, "127.0.0.1:8080", -2.0, 1, 0, 1000000, 2, 3, 0.0, -1, 1.0, 4, 0.0, 0, None, True]
POLICY_STATE = {
    "servers": {"s-0": SERVER_STATE},
    "latency": {"read": [25000.0, 3000.5, 24000.0, 160]},
    "admission": [5.0, 10.0, 6, 0.5, 0.05, 1e-05, 32, 0.9],
    "due": {"gold": 7.0},
    "rate": 0.004,
    "copy": [0.02, 2.0, 9.5],
    "slots": [[53, [20.0, 0.0], {}], [54, [5.0, 17.5], {"gold": 0.2}]],
}
MESSAGES = {
    "hello": Hello(node_name="n3"),
    "welcome": Welcome(
        configuration=CONFIG_FILE,
        endpoint_list={"index": 41, "snapshot": True, "endpoints": ENDPOINTS},
        offline_servers={"s-1": [5000000, 0, 0], "s-2": [6000000, 7000000, 7000000]},
        is_draining=True,
    ),
    "decline": Decline(reason="another process takes over"),
    "ready": Ready(),
    "over": TakeOver(policy_state=POLICY_STATE),
    "list": EndpointListUpdate(
        endpoint_list={"index": 41, "snapshot": True, "endpoints": ENDPOINTS}, list_age_us=250_000
    ),
    "ids": RequestIdUpdate(
        opened=["9b1f03aa"],
        opened_idempotent=["9b1f03ab"],
        closed=["9b1f03ac", "9b1f03ad"],
        remembered={"9b1f03ac": 29_500_000},
    ),
    "call": RelayedCommand(verb="OFFLINE", server_id="s-1"),
    "still": RemainingLoad(attempts=2, connections=9),
    "caller": ClientConnection(),
}


def decode_packets(*packets: bytes) -> Message:
    """Decode a message from its packets, of which only the last one completes it."""
    assembler = PacketAssembler()
    *incomplete, text = [assembler.add(packet) for packet in packets]
    assert incomplete == [None] * (len(packets) - 1)
    assert text is not None
    return decode(text)


def encode_packets(message: Message) -> list[bytes]:
    return split_into_packets(encode(message))


def test_each_kind_of_message_has_fixture():
    assert {path.stem for path in FIXTURES.iterdir()} == set(MESSAGES)
    assert {type(message) for message in MESSAGES.values()} == set(get_args(Message))


@pytest.mark.parametrize("kind", MESSAGES)
def test_message_of_each_kind_is_encoded_and_decoded_as_in_fixture(kind):
    packet = (FIXTURES / f"{kind}.packet").read_bytes()
    assert decode_packets(packet) == MESSAGES[kind]
    assert encode_packets(MESSAGES[kind]) == [packet]


def test_long_message_is_split_as_in_earlier_releases():
    message = Decline("x" * 40_000)
    text = b'{"v": 1, "kind": "decline", "why": "' + b"x" * 40_000 + b'"}'
    packets = [b"+" + text[: 32 * 1024], b"." + text[32 * 1024 :]]
    assert encode_packets(message) == packets
    assert decode_packets(*packets) == message


def test_field_added_by_later_release_is_ignored():
    packet = b'.{"v": 1, "kind": "still", "out": 2, "held": 9, "waiting": 4}'
    assert decode_packets(packet) == RemainingLoad(attempts=2, connections=9)
