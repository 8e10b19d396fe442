"""Decode the bytes of a JSON or TOML server file.  No I/O."""

from __future__ import annotations

import json
import re
import tomllib
from dataclasses import dataclass
from enum import Enum
from typing import Any, NoReturn

from oakbridge.sources.checksum import checksum_matches, split_checksum
from oakbridge.sources.errors import DecodeError

MAX_FILE_BYTES = 16 * 1024 * 1024
BYTE_ORDER_MARK = b"\xef\xbb\xbf"


class FileKind(Enum):
    """The syntax of a file."""

    JSON = "JSON"
    TOML = "TOML"


FILE_SUFFIXES = (".json", ".toml")


@dataclass(frozen=True, slots=True)
class SourceFile:
    """A file's name and its bytes as read from the disk."""

    name: str
    data: bytes

    @property
    def kind(self) -> FileKind:
        """The syntax, by the suffix of the name."""
        return FileKind.TOML if self.name.endswith(".toml") else FileKind.JSON

    def content(self) -> bytes:
        """Return the bytes without the byte order mark and the checksum line."""
        return split_checksum(self.data.removeprefix(BYTE_ORDER_MARK))[0]


def decode(file: SourceFile) -> Any:
    """Return the value that the file encodes.  Raises DecodeError."""
    if len(file.data) > MAX_FILE_BYTES:
        raise DecodeError(f"expected at most {MAX_FILE_BYTES} bytes, got {len(file.data)}")
    if checksum_matches(file.data) is False:
        raise DecodeError("the content is not what its checksum line says: changed or cut")
    text = decode_utf8(file.content())
    if not text.strip():
        raise DecodeError("expected a list of servers, got an empty file")
    try:
        return decode_toml(text) if file.kind is FileKind.TOML else _decode_json(text)
    except (ValueError, RecursionError) as error:
        raise DecodeError(f"expected {file.kind.value}: {error}") from None


def decode_utf8(content: bytes) -> str:
    """Return UTF-8 bytes as text.  Raises DecodeError with the line of the first invalid byte."""
    try:
        return content.decode("utf-8")
    except UnicodeDecodeError as error:
        line = content[: error.start].count(b"\n") + 1
        expected = f"expected UTF-8, got the byte 0x{content[error.start]:02x}"
        raise DecodeError(expected, line) from None


def _decode_json(text: str) -> Any:
    try:
        return json.loads(text, parse_constant=_reject_constant)
    except json.JSONDecodeError as error:
        expected = f"expected JSON: {error.msg}, column {error.colno}"
        raise DecodeError(expected, error.lineno) from None


def _reject_constant(name: str) -> NoReturn:
    """Reject NaN and Infinity, which ``json.loads`` would accept."""
    raise ValueError(f"{name} is no JSON number")


def decode_toml(text: str) -> dict[str, Any]:
    """Return the tables of a TOML text.  Raises DecodeError."""
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        # tomllib gives the line only in its message; a message without one is about the text's end.
        line_match = re.search(r"\(at line (\d+)", str(error))
        line = int(line_match[1]) if line_match else text.count("\n") + 1
        message = re.sub(r" [(]at .*", "", str(error))
        raise DecodeError(f"expected TOML: {message}", line) from None
