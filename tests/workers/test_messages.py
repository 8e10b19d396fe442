"""The packets of the channel between the supervisor and a worker."""

import pytest

from oakbridge.workers.errors import PacketError
from oakbridge.workers.messages import (
    LoadReport,
    SupervisorCommand,
    WorkerReady,
    decode_command,
    decode_message,
    encode_command,
    encode_message,
)


@pytest.mark.parametrize(
    "message",
    [WorkerReady(max_connections=7), LoadReport(open_connections=3, received_connections=9)],
)
def test_decoding_a_message_returns_what_was_encoded(message):
    assert decode_message(encode_message(message)) == message


@pytest.mark.parametrize("command", SupervisorCommand)
def test_decoding_a_command_returns_what_was_encoded(command):
    assert decode_command(encode_command(command)) is command


INVALID_PACKETS = [
    b"",
    b"{",
    b"[]",
    b"7",
    b"[" * 4000,
    b'{"do":"ready"}',
    b'{"do":"ready","most":-1}',
    b'{"do":"x","most":1}',
    b'{"do":"ready","most":true}',
    b'{"do":"account","had":1}',
    b'{"do":"ready","most":1,"more":2}',
    b"\xff\xfe",
]


@pytest.mark.parametrize("packet", INVALID_PACKETS)
def test_invalid_messages_are_rejected(packet):
    with pytest.raises(PacketError, match="expected") as rejected:
        decode_message(packet)
    assert rejected.value.packet == packet


@pytest.mark.parametrize("packet", [*INVALID_PACKETS, b'{"do": "leave"}', b'{"do":"leave"} '])
def test_invalid_commands_are_rejected(packet):
    with pytest.raises(PacketError, match="expected a supervisor's command") as rejected:
        decode_command(packet)
    assert rejected.value.packet == packet
