"""Streamed bodies compared with a model: the order of bytes, and when a body is full."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from oakbridge.node.memory_account import MemoryAccount
from oakbridge.node.request_body import STREAM_WINDOW_BYTES, StreamedBody


@given(st.lists(st.one_of(st.binary(min_size=1, max_size=90_000), st.just(None)), max_size=40))
def test_streamed_body_keeps_the_order_of_bytes_and_notifies_when_full(steps):
    changes, fed, taken = [], b"", b""
    body = StreamedBody(None, MemoryAccount(), lambda: changes.append(body.full))
    for data in steps:  # None: take
        if data is None:
            taken += body.take()
        else:
            fed += data
            body.feed(data)
        buffered = len(fed) - len(taken)
        assert body.full <= (buffered > STREAM_WINDOW_BYTES // 2)
        assert (buffered > STREAM_WINDOW_BYTES) <= body.full
    while data := body.take():
        taken += data
    assert taken == fed
    assert not body.full
    assert all(a != b for a, b in itertools.pairwise(changes))
    body.discard()
    body.feed(b"x")
    assert body.take() == b""
