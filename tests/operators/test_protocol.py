"""Every line gets one answer; a line that is no command gets a NO that says what was expected."""

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
def test_commands_are_read_in_any_case_and_spacing(line, command):
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
def test_a_rejected_line_gets_one_line_that_says_why(line, reason):
    answer = respond(line, execute)
    assert answer.startswith(b"NO ")
    assert reason in answer
    assert answer.count(b"\n") == 1


@given(st.binary(max_size=80))
def test_every_line_gets_one_answer(line):
    answer = respond(line, execute)
    assert answer.startswith((b"YES ", b"NO "))
    assert answer.endswith(b"\n")
    assert answer.count(b"\n") == 1
    try:
        command = decode_command(line)
    except InvalidCommandError:
        assert answer.startswith(b"NO ")
    else:
        assert bool(command.server_id) == (command.verb in (Verb.OFFLINE, Verb.ONLINE))
