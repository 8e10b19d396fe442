"""Messages between the two processes: any that can't be used is named, and ends the connection."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oakbridge.handover import messages as m
from oakbridge.handover.messages import BadMessage, Message, Reader, pack, parse


@given(st.text(max_size=200), st.integers(1, 4))
def test_long_messages_go_in_packets_and_come_back_whole(text, times):
    said = Message(m.DECLINE, {"why": text * times * 400})
    reader, packets = Reader(), pack(said)
    assert all(len(packet) <= m.PACKET + 1 for packet in packets)
    assert [reader.take(packet) for packet in packets] == [None] * (len(packets) - 1) + [said]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (b"{", "JSON"), (b"[]", "an object"), (b'{"kind": "hello", "name": "n"}', "version 1"),
        (b'{"v": 2, "kind": "hello", "name": "n"}', "version 1"), (b'{"v": 1, "kind": "bye"}', "a kind"),
        (b'{"v": 1, "kind": "hello"}', "hello.name"), (b'{"v": 1, "kind": "call", "word": 5}', "call.word"),
        (json.dumps({"v": 1, "kind": "welcome", "file": {}, "known": [], "outages": {}, "draining": True}).encode(),
         "welcome.known"),
    ],
)  # fmt: skip
def test_what_is_no_message_is_told_what_was_expected(text, expected):
    with pytest.raises(BadMessage, match=expected):
        parse(text)


@given(st.binary(max_size=60))
def test_no_packet_brings_the_reader_down(packet):
    reader = Reader()
    try:
        reader.take(packet)
    except BadMessage as e:
        assert "expected" in str(e)


def test_a_message_without_end_is_given_up():
    reader = Reader()
    with pytest.raises(BadMessage, match="at most"):
        for _ in range(m.MOST // m.PACKET + 2):
            reader.take(b"+" + b" " * m.PACKET)
