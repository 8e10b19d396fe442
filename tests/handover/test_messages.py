"""Messages between the two processes: one that can't be used is named, and ends the connection."""

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
def test_long_messages_go_in_packets_and_come_back_complete(text, times):
    sent = Decline(text * times * 400)
    assembler, packets = PacketAssembler(), split_into_packets(encode(sent))
    assert all(len(packet) <= MAX_PACKET_BYTES for packet in packets)
    *incomplete, received = [assembler.add(packet) for packet in packets]
    assert incomplete == [None] * (len(packets) - 1)
    assert decode(received) == sent


WELCOME_WITH_A_LIST = {"file": {}, "known": [], "outages": {}, "draining": True}


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
        (json.dumps({"v": 1, "kind": "welcome"} | WELCOME_WITH_A_LIST).encode(), "welcome.known"),
    ],
)
def test_what_is_no_message_is_told_what_was_expected(text, expected):
    with pytest.raises(HandoverMessageError, match=expected):
        decode(text)


def test_the_error_has_the_field_and_what_came_instead():
    with pytest.raises(HandoverMessageError) as caught:
        decode(b'{"v": 1, "kind": "call", "word": 5, "server": ""}')
    error = caught.value
    assert (error.field, error.expected, error.received) == ("call.word", "str", "5")
    assert str(error) == "call.word: expected str, got 5"


def error_of(packet: bytes) -> HandoverMessageError | None:
    try:
        text = PacketAssembler().add(packet)
        if text is not None:
            decode(text)
    except HandoverMessageError as error:
        return error
    return None


@given(st.binary(max_size=60))
def test_no_packet_brings_the_reader_down(packet):
    error = error_of(packet)
    assert error is None or "expected" in str(error)


def test_a_message_without_end_is_given_up():
    assembler = PacketAssembler()
    packet = b"+" + b" " * MAX_TEXT_BYTES
    for _ in range(MAX_MESSAGE_BYTES // MAX_TEXT_BYTES):
        assert assembler.add(packet) is None
    with pytest.raises(HandoverMessageError, match="at most"):
        assembler.add(packet)
