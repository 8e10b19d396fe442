"""Conversion of request targets to origin form."""

import pytest

from oakbridge.node.request_parser import origin_form


@pytest.mark.parametrize(
    ("url", "target"),
    [
        (b"/api?x=http://a/b", b"/api?x=http://a/b"), (b"http://h:80/api?x=1", b"/api?x=1"), (b"http://h", b"/"),
        (b"http://h?x=1", b"/?x=1"), (b"HTTP://h/", b"/"), (b"*", b"*"),
    ],
)  # fmt: skip
def test_target_in_absolute_form_is_reduced_to_path_and_query(url, target):
    assert origin_form(url) == target
