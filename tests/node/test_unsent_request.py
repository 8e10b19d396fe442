"""The bytes of a request that are written to a server, in the order of the request."""

import pytest

from oakbridge.node.memory_account import MemoryAccount
from oakbridge.node.request_body import StreamedBody
from oakbridge.node.request_writer import EncodedRequest
from oakbridge.node.unsent_request import MAX_COPIED_BODY_BYTES, UnsentRequest

HEAD = b"POST / HTTP/1.1\r\n\r\n"


def write_all(unsent: UnsentRequest, step: int) -> bytes:
    """Take all bytes that there are, ``step`` at a time."""
    written = b""
    while part := unsent.next_part():
        written += part[:step]
        unsent.advance(len(part[:step]))
    return written


@pytest.mark.parametrize("size", [0, 1, MAX_COPIED_BODY_BYTES, MAX_COPIED_BODY_BYTES + 1, 300_000])
@pytest.mark.parametrize("step", [7_001, 1_000_000])
@pytest.mark.parametrize("body_type", [bytes, bytearray])
def test_head_and_body_are_written_once_and_not_kept(size, step, body_type):
    unsent, body = UnsentRequest(), body_type(b"b" * size)
    assert not unsent.is_written()
    unsent.start(EncodedRequest(HEAD, body), None)
    assert not unsent.is_written()
    assert write_all(unsent, step) == HEAD + body
    assert unsent.is_written()
    assert unsent.held_bytes() == 0
    unsent.release()
    assert unsent.is_written()
    if body_type is bytearray:  # one of which a view is left could not be resized
        body += b"x"


def test_request_counts_as_written_after_the_end_of_its_streamed_body():
    stream = StreamedBody(None, MemoryAccount(), lambda: None)
    unsent = UnsentRequest()
    unsent.start(EncodedRequest(HEAD), stream)
    assert write_all(unsent, 10) == HEAD
    assert unsent.is_streaming()
    stream.feed(b"abc")
    assert write_all(unsent, 10) == b"3\r\nabc\r\n"
    assert not unsent.is_written()
    stream.finish()
    assert write_all(unsent, 10) == b"0\r\n\r\n"
    assert unsent.is_written()


def test_released_request_that_was_not_written_counts_as_not_written():
    unsent = UnsentRequest()
    unsent.start(EncodedRequest(HEAD, bytearray(100_000)), None)
    unsent.advance(len(unsent.next_part()))  # the head
    unsent.next_part()
    unsent.release()
    assert not unsent.is_written()
    assert unsent.held_bytes() == 0
