"""The control socket's encoding: lines, requests and responses."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oakbridge.control.errors import ProtocolError, RequestRejectedError
from oakbridge.control.protocol import (
    ControlCommand,
    LineSplitter,
    decode_request,
    decode_response,
    encode_error,
    encode_request,
    encode_response,
)


@given(st.binary(max_size=400), st.lists(st.integers(1, 50)))
@settings(derandomize=True)
def test_lines_do_not_depend_on_how_the_stream_is_split(data, chunk_sizes):
    splitter = LineSplitter(1000)
    lines = []
    unread = data
    for size in [*chunk_sizes, len(data)]:
        lines += splitter.feed(unread[:size])
        unread = unread[size:]
    assert lines == (data + unread).split(b"\n")[:-1]


def test_line_that_is_too_long_is_rejected_before_it_is_complete():
    splitter = LineSplitter(10)
    splitter.feed(b"12345")
    with pytest.raises(ProtocolError, match="at most 10"):
        splitter.feed(b"678901")


@pytest.mark.parametrize(
    ("line", "error_text"),
    [
        (b"", "JSON object"),
        (b"[]", "JSON object"),
        (b'{"v": 2}', "v: expected 1"),
        (b"[" * 9999, "JSON object"),
        (b'{"v": 1}', "do: expected one of"),
        (b'{"v": 1, "do": ["x"]}', "do: expected one of"),
    ],
)
def test_error_for_an_invalid_request_names_what_was_expected(line, error_text):
    with pytest.raises(ProtocolError, match=error_text):
        decode_request(line)


def test_decoding_returns_what_was_encoded():
    request = decode_request(encode_request(ControlCommand.STATUS, {"rows": 3}).strip())
    assert (request.command, request.arguments) == (ControlCommand.STATUS, {"rows": 3})
    assert decode_response(encode_response({"a": 1}).strip()) == {"a": 1}
    with pytest.raises(RequestRejectedError, match="no"):
        decode_response(encode_error("no").strip())
