"""Conversion of request targets to origin form, and limits on heads."""

import pytest
from raw_server import head

from oakbridge.node.memory_account import MemoryAccount
from oakbridge.node.request_parser import MAX_HEADERS, RequestParser, origin_form


@pytest.mark.parametrize(
    ("url", "target"),
    [
        (b"/api?x=http://a/b", b"/api?x=http://a/b"), (b"http://h:80/api?x=1", b"/api?x=1"), (b"http://h", b"/"),
        (b"http://h?x=1", b"/?x=1"), (b"HTTP://h/", b"/"), (b"*", b"*"),
    ],
)  # fmt: skip
def test_target_in_absolute_form_is_reduced_to_path_and_query(url, target):
    assert origin_form(url) == target


# Guards against clients that take the node's processor time with heads of very many short fields.
@pytest.mark.parametrize("complete", [True, False])
def test_head_is_parsed_no_further_than_its_limit(complete):
    parsed = []

    class CountingParser(RequestParser):
        def on_header(self, name, value):
            parsed.append(name)
            super().on_header(name, value)

    parser = CountingParser(connection=None, memory=MemoryAccount())
    raw = head("GET")[:-2] + b"a:\r\n" * 10_000 + b"\r\n" * complete
    assert not parser.feed(memoryview(raw))
    assert parser.error_status == 431
    assert len(parsed) == MAX_HEADERS + 1


# Guards against unfinished heads of many short fields that take several times their bytes.
def test_incomplete_head_is_held_as_its_bytes():
    parser = RequestParser(connection=None, memory=MemoryAccount())
    raw = head("GET")[:-2] + b"".join(b"h%d: v\r\n" % i for i in range(MAX_HEADERS - 10))
    for start in range(0, len(raw), 1000):
        assert not parser.feed(memoryview(raw[start : start + 1000]))
    assert parser.in_progress()
    assert not parser._headers
    assert len(raw) <= parser.held_bytes() <= 1.25 * len(raw)
