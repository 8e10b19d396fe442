"""Decode the bytes of a JSON or TOML server file; no I/O."""

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
    """One file's name and its bytes as they were read."""

    name: str
    data: bytes

    @property
    def kind(self) -> FileKind:
        """The syntax, by the name's suffix."""
        return FileKind.TOML if self.name.endswith(".toml") else FileKind.JSON

    def content(self) -> bytes:
        """Return the bytes without byte order mark and checksum line."""
        return split_checksum(self.data.removeprefix(BYTE_ORDER_MARK))[0]


def decode(file: SourceFile) -> Any:
    """Return the file's value.  Raises DecodeError."""
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
    """Return the text.  Raises DecodeError."""
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
    """Refuse NaN and Infinity, which Python's reader would let in."""
    raise ValueError(f"{name} is no JSON number")


def decode_toml(text: str) -> dict[str, Any]:
    """Return the tables of a TOML text.  Raises DecodeError."""
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        # The line stands in the message alone; without it the text stopped too early.
        place = re.search(r"\(at line (\d+)", str(error))
        line = int(place[1]) if place else text.count("\n") + 1
        message = re.sub(r" [(]at .*", "", str(error))
        raise DecodeError(f"expected TOML: {message}", line) from None
