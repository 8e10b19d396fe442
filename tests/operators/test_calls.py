"""Every line gets one answer; what is no call gets a NO that says what was expected."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oakbridge.operators.calls import LINE_MOST, Refused, answer, parse


class Desk:
    def __init__(self) -> None:
        self.asked: list[tuple[str, str]] = []

    def _do(self, word: str, server: str = "") -> str:
        self.asked.append((word, server))
        if server == "nobody":
            raise Refused("no server\nnobody is listed")
        return "done"

    def health(self) -> str:
        return self._do("HEALTH")

    def offline(self, server: str) -> str:
        return self._do("OFFLINE", server)

    def online(self, server: str) -> str:
        return self._do("ONLINE", server)

    def drain(self) -> str:
        return self._do("LEAVE")

    def join(self) -> str:
        return self._do("JOIN")


@pytest.mark.parametrize(
    ("line", "call"),
    [
        (b"HEALTH", ("HEALTH", "")), (b"health\r", ("HEALTH", "")), (b"  Leave \t", ("LEAVE", "")),
        (b"JOIN", ("JOIN", "")), (b"OFFLINE s-1", ("OFFLINE", "s-1")), (b"online \t S-1 \r", ("ONLINE", "S-1")),
    ],
)  # fmt: skip
def test_calls_are_read_in_any_case_and_spacing(line, call):
    desk = Desk()
    assert answer(desk, line) == b"YES done\n"
    assert desk.asked == [call]


@pytest.mark.parametrize(
    ("line", "why"),
    [
        (b"", b"expected one of HEALTH"), (b"STATUS", b"expected one of HEALTH"), (b"OFFLINE", b"one server's id"),
        (b"OFFLINE a b", b"one server's id"), (b"HEALTH now", b"nothing else"), (b"\xff\xfe", b"UTF-8"),
        (b"OFF\x00LINE a", b"control characters"), (b"OFFLINE " + b"x" * LINE_MOST, b"at most"),
        (b"OFFLINE nobody", b"no server nobody is listed"),
    ],
)  # fmt: skip
def test_what_is_no_call_is_told_what_was_expected(line, why):
    said = answer(Desk(), line)
    assert said.startswith(b"NO ")
    assert why in said
    assert said.count(b"\n") == 1


@given(st.binary(max_size=80))
def test_every_line_has_one_answer(line):
    said = answer(Desk(), line)
    assert said.startswith((b"YES ", b"NO "))
    assert said.endswith(b"\n")
    assert said.count(b"\n") == 1
    try:
        word, server = parse(line)
    except Refused:
        assert said.startswith(b"NO ")
    else:
        assert bool(server) == (word in ("OFFLINE", "ONLINE"))
