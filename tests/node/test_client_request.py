"""Parsing of X-Timeout."""

import pytest

from oakbridge.node.client_request import parse_timeout


@pytest.mark.parametrize(
    ("text", "expected"),
    [(b"480m", 480_000), (b"480u", 480), (b"480", None), (b"-1m", None), (b"", None)],
)
def test_timeout_is_parsed_to_microseconds(text, expected):
    assert parse_timeout(text) == expected
