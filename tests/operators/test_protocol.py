"""Every line gets one response line; an invalid command gets a NO that says what was expected."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oakbridge.operators.protocol import (
    MAX_LINE_BYTES,
    CommandRejectedError,
    InvalidCommandError,
    OperatorCommand,
    Verb,
    decode_command,
    respond,
)


def execute(command: OperatorCommand) -> str:
    if command.server_id == "nobody":
        raise CommandRejectedError("no server\nnobody is listed")
    return "done"


@pytest.mark.parametrize(
    ("line", "command"),
    [
        (b"HEALTH", OperatorCommand(Verb.HEALTH)),
        (b"health\r", OperatorCommand(Verb.HEALTH)),
        (b"  Leave \t", OperatorCommand(Verb.LEAVE)),
        (b"JOIN", OperatorCommand(Verb.JOIN)),
        (b"OFFLINE s-1", OperatorCommand(Verb.OFFLINE, "s-1")),
        (b"online \t S-1 \r", OperatorCommand(Verb.ONLINE, "S-1")),
    ],
)
def test_verbs_are_case_insensitive_and_white_space_is_ignored(line, command):
    executed = []

    def record(command):
        executed.append(command)
        return "done"

    assert respond(line, record) == b"YES done\n"
    assert executed == [command]


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        (b"", b"expected one of HEALTH"),
        (b"STATUS", b"expected one of HEALTH"),
        (b"OFFLINE", b"one server's id"),
        (b"OFFLINE a b", b"one server's id"),
        (b"HEALTH now", b"nothing else"),
        (b"\xff\xfe", b"UTF-8"),
        (b"OFF\x00LINE a", b"control characters"),
        (b"OFFLINE " + b"x" * MAX_LINE_BYTES, b"at most"),
        (b"OFFLINE nobody", b"no server nobody is listed"),
    ],
)
def test_rejected_line_gets_one_line_with_reason(line, reason):
    response = respond(line, execute)
    assert response.startswith(b"NO ")
    assert reason in response
    assert response.count(b"\n") == 1


@given(st.binary(max_size=80))
def test_every_line_gets_one_response_line(line):
    response = respond(line, execute)
    assert response.startswith((b"YES ", b"NO "))
    assert response.endswith(b"\n")
    assert response.count(b"\n") == 1
    try:
        command = decode_command(line)
    except InvalidCommandError:
        assert response.startswith(b"NO ")
    else:
        assert bool(command.server_id) == (command.verb in (Verb.OFFLINE, Verb.ONLINE))
