"""The operators' line protocol: each command line gets a line that begins with YES or NO.  No I/O.

A command is a verb and, for OFFLINE and ONLINE, the id of one server.  Verbs are case-insensitive,
white space around the words is ignored, and a line may end in CR LF.  Any other line gets a NO that
says what was expected.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

MAX_LINE_BYTES = 1024  # without the line end
FIRST_PRINTABLE = " "
DELETE = "\x7f"


class Verb(Enum):
    """The commands' verbs; the value is the word on the wire."""

    HEALTH = "HEALTH"
    OFFLINE = "OFFLINE"  # take a server offline
    ONLINE = "ONLINE"  # bring a server back online
    LEAVE = "LEAVE"  # drain the node
    JOIN = "JOIN"  # undrain the node


VERBS_WITH_SERVER = frozenset({Verb.OFFLINE, Verb.ONLINE})


@dataclass(frozen=True, slots=True)
class OperatorCommand:
    """A command line, decoded."""

    verb: Verb
    server_id: str = ""  # the server of OFFLINE and ONLINE; empty for other verbs


class CommandRejectedError(ValueError):
    """A command can't be carried out; the response is a NO with ``reason``."""

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(reason)


class InvalidCommandError(CommandRejectedError):
    """A line is not a valid command; the reason says what was expected."""

    def __init__(self, expected: str) -> None:
        self.expected = expected
        super().__init__(f"expected {expected}")


# Carries out a command and returns the resulting state as text; raises CommandRejectedError.
Execute = Callable[[OperatorCommand], str]


def respond(line: bytes, execute: Execute) -> bytes:
    """Have a line's command carried out by ``execute``, and return the response line."""
    try:
        return encode_acceptance(execute(decode_command(line)))
    except CommandRejectedError as error:
        return encode_rejection(error.reason)


def decode_command(line: bytes) -> OperatorCommand:
    """Decode a command from its line, without the line end.  Raises InvalidCommandError."""
    name, *server_ids = _decode_printable(line).split() or [""]
    try:
        verb = Verb(name.upper())
    except ValueError:
        raise InvalidCommandError(f"one of {', '.join(known.value for known in Verb)}") from None
    if verb in VERBS_WITH_SERVER:
        if len(server_ids) != 1:
            raise InvalidCommandError(f"{verb.value} and one server's id, got {len(server_ids)}")
        return OperatorCommand(verb, server_ids[0])
    if server_ids:
        raise InvalidCommandError(f"{verb.value} and nothing else")
    return OperatorCommand(verb)


def encode_acceptance(result: str) -> bytes:
    """Return a YES line."""
    return b"YES " + result.encode() + b"\n"


def encode_rejection(reason: str) -> bytes:
    """Return a NO line; white space in the reason, such as line ends, becomes single spaces."""
    return b"NO " + " ".join(reason.split()).encode("utf-8", "replace") + b"\n"


def line_too_long() -> InvalidCommandError:
    """Return the error for a line of more than ``MAX_LINE_BYTES``."""
    return InvalidCommandError(f"a line of at most {MAX_LINE_BYTES} bytes")


def _decode_printable(line: bytes) -> str:
    """Return a line's text.  Raises InvalidCommandError if it is too long or not printable."""
    if len(line) > MAX_LINE_BYTES:
        raise line_too_long()
    try:
        text = line.decode("utf-8").strip(" \t\r")
    except UnicodeDecodeError:
        raise InvalidCommandError("text in UTF-8") from None
    if any(_is_control(character) for character in text):
        raise InvalidCommandError("no control characters")
    return text


def _is_control(character: str) -> bool:
    return (character < FIRST_PRINTABLE and character != "\t") or character == DELETE
