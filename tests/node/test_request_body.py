"""Streamed bodies against a plain model: order, and when they are full."""

from hypothesis import given
from hypothesis import strategies as st

from oakbridge.node.request_body import STREAM_WINDOW_BYTES, StreamedBody


@given(st.lists(st.one_of(st.binary(min_size=1, max_size=90_000), st.just(None)), max_size=40))
def test_a_streamed_body_gives_what_it_took_in_order_and_tells_when_it_is_full(course):
    changes, given_, taken = [], b"", b""
    upload = StreamedBody(None, lambda: changes.append(upload.full))
    for data in course:
        if data is None:
            taken += upload.take()
        else:
            given_ += data
            upload.feed(data)
        waiting = len(given_) - len(taken)
        assert upload.full <= (waiting > STREAM_WINDOW_BYTES // 2)
        assert (waiting > STREAM_WINDOW_BYTES) <= upload.full
    while data := upload.take():
        taken += data
    assert taken == given_
    assert not upload.full
    assert all(a != b for a, b in zip(changes, changes[1:], strict=False))
    upload.discard()
    upload.feed(b"x")
    assert upload.take() == b""
