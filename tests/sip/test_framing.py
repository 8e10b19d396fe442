"""Tests of the framing of messages on a stream."""

import random

import pytest
from sip_messages import REQUEST, altered

from oakbridge.sip.errors import SipMessageError
from oakbridge.sip.framing import MessageStream


def request_with_body(length_header, length):
    head = altered(("\r\n\r\n", f"\r\n{length_header} : {length}\r\n\r\n"))
    return head + b"x" * length


@pytest.mark.parametrize("seed", range(10))
def test_stream_in_pieces_of_any_size_returns_complete_messages(seed):
    rng = random.Random(seed)
    length_headers = ("l", "Content-Length")
    messages = [request_with_body(rng.choice(length_headers), length) for length in (0, 3, 900)]
    data = b"\r\n\r\n" + b"".join(messages) + b"\r\n\r\n" + messages[1]
    stream = MessageStream()
    received = []
    while data:
        piece_length = rng.randint(1, 700)
        received += stream.feed(data[:piece_length])
        data = data[piece_length:]
    assert received == [*messages, messages[1]]
    assert len(stream) == 0
    assert stream.pending_pongs == 2


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(REQUEST.encode(), id="no Content-Length"),
        pytest.param(b"x" * 20_000, id="headers too long"),
        pytest.param(altered(("\r\n\r\n", "\r\nl: 1\r\nl: 2\r\n\r\n")), id="two lengths"),
        pytest.param(altered(("\r\n\r\n", "\r\nl: 99999\r\n\r\n")), id="body too long"),
    ],
)
def test_stream_that_cannot_be_framed_is_an_error(data):
    with pytest.raises(SipMessageError):
        MessageStream().feed(data)
