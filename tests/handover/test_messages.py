"""Encode and decode the messages between the two processes of a node, also invalid ones."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oakbridge.handover.errors import HandoverMessageError
from oakbridge.handover.messages import Decline, decode, encode
from oakbridge.handover.packets import (
    MAX_MESSAGE_BYTES,
    MAX_PACKET_BYTES,
    MAX_TEXT_BYTES,
    PacketAssembler,
    split_into_packets,
)


@given(st.text(max_size=200), st.integers(1, 4))
def test_long_message_is_split_into_packets_and_reassembled(text, times):
    sent = Decline(text * times * 400)
    assembler, packets = PacketAssembler(), split_into_packets(encode(sent))
    assert all(len(packet) <= MAX_PACKET_BYTES for packet in packets)
    *incomplete, received = [assembler.add(packet) for packet in packets]
    assert incomplete == [None] * (len(packets) - 1)
    assert decode(received) == sent


WELCOME_WITH_INVALID_LIST = {"file": {}, "known": [], "outages": {}, "draining": True}


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (b"{", "JSON"),
        (b"[]", "an object"),
        (b'{"kind": "hello", "name": "n"}', "version 1"),
        (b'{"v": 2, "kind": "hello", "name": "n"}', "version 1"),
        (b'{"v": 1, "kind": "bye"}', "a known kind of message"),
        (b'{"v": 1, "kind": ["hello"]}', "a known kind of message"),
        (b'{"v": 1, "kind": "hello"}', "hello.name"),
        (b'{"v": 1, "kind": "call", "word": 5}', "call.word"),
        (
            json.dumps({"v": 1, "kind": "welcome"} | WELCOME_WITH_INVALID_LIST).encode(),
            "welcome.known",
        ),
    ],
)
def test_error_for_invalid_message_says_what_was_expected(text, expected):
    with pytest.raises(HandoverMessageError, match=expected):
        decode(text)


def test_error_has_field_and_received_value():
    with pytest.raises(HandoverMessageError) as raised:
        decode(b'{"v": 1, "kind": "call", "word": 5, "server": ""}')
    error = raised.value
    assert (error.field, error.expected, error.received) == ("call.word", "str", "5")
    assert str(error) == "call.word: expected str, got 5"


def error_for(packet: bytes) -> HandoverMessageError | None:
    try:
        text = PacketAssembler().add(packet)
        if text is not None:
            decode(text)
    except HandoverMessageError as error:
        return error
    return None


@given(st.binary(max_size=60))
def test_packet_with_random_bytes_raises_only_message_errors(packet):
    error = error_for(packet)
    assert error is None or "expected" in str(error)


def test_message_without_last_packet_is_rejected_above_size_limit():
    assembler = PacketAssembler()
    packet = b"+" + b" " * MAX_TEXT_BYTES
    for _ in range(MAX_MESSAGE_BYTES // MAX_TEXT_BYTES):
        assert assembler.add(packet) is None
    with pytest.raises(HandoverMessageError, match="at most"):
        assembler.add(packet)
