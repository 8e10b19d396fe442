"""What a rollout changes: from the files that an instance runs by to those that it should run by.  Pure.

An instance's files are its whole truth; a mark among them (``drained``) says that its node should not run.  Every
kind of change is a function of the files before it, so that one change fits instances that run different things, and
so that a step that is sent again after a crash of the tool brings the same files under the same digest.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field
from typing import Any, ClassVar

import tomlkit
from tomlkit.exceptions import TOMLKitError

CONFIG_FILE = "oakbridge.toml"
DRAIN_MARKER = "drained"  # the name of the mark: a file of a generation
Files = dict[str, str]


class ChangeError(ValueError):
    """A change that can't be made; the text names the place and what was expected."""


@dataclass(frozen=True, slots=True)
class ReplaceFiles:
    """All files anew; an instance that is drained stays so."""

    kind: ClassVar[str] = "files"
    files: Files = field(repr=False)

    def apply(self, before: Files) -> Files:
        """The files after the change."""
        mark = {DRAIN_MARKER: before[DRAIN_MARKER]} if DRAIN_MARKER in before else {}
        return {**self.files, **mark}

    def describe(self) -> str:
        """In a few words."""
        return f"{len(self.files)} files"


@dataclass(frozen=True, slots=True)
class ReplaceServerFile:
    """Another server file, under the name that the configuration has for it."""

    kind: ClassVar[str] = "servers"
    text: str = field(repr=False)

    def apply(self, before: Files) -> Files:
        """The files after the change.  Raises :class:`ChangeError` where the configuration names no file."""
        try:
            named = tomllib.loads(before.get(CONFIG_FILE, "")).get("servers", {}).get("file")
        except tomllib.TOMLDecodeError as e:
            raise ChangeError(f"{CONFIG_FILE}: expected TOML: {e}") from None
        if not isinstance(named, str) or named not in before:
            raise ChangeError(
                f"{CONFIG_FILE}: servers.file: expected the name of a file beside it, got {named!r:.60}"
            )
        return {**before, named: self.text}

    def describe(self) -> str:
        """In a few words."""
        return "the server file"


@dataclass(frozen=True, slots=True)
class SetValues:
    """Single settings: ``limits.max_open`` or, for a class by its name, ``class.car-nearby.aim``; the rest stays."""

    kind: ClassVar[str] = "set"
    values: Mapping[str, Any]

    def apply(self, before: Files) -> Files:
        """The files after the change, comments and order kept.  Raises :class:`ChangeError`."""
        try:
            document = tomlkit.parse(before.get(CONFIG_FILE, ""))
        except TOMLKitError as e:
            raise ChangeError(f"{CONFIG_FILE}: expected TOML: {e}") from None
        for path, value in self.values.items():
            _put(document, path, value)
        return {**before, CONFIG_FILE: tomlkit.dumps(document)}

    def describe(self) -> str:
        """In a few words."""
        return ", ".join(f"{path} = {value}" for path, value in self.values.items())


@dataclass(frozen=True, slots=True)
class Drain:
    """Have the node end what it has and take nothing new, until it is undrained."""

    kind: ClassVar[str] = "drain"
    why: str = ""

    def apply(self, before: Files) -> Files:
        """The files after the change."""
        return {**before, DRAIN_MARKER: before.get(DRAIN_MARKER) or f"{self.why or 'drained'}\n"}

    def describe(self) -> str:
        """In a few words."""
        return "drained"


@dataclass(frozen=True, slots=True)
class Undrain:
    """Have the node run again."""

    kind: ClassVar[str] = "undrain"

    def apply(self, before: Files) -> Files:
        """The files after the change."""
        return {name: text for name, text in before.items() if name != DRAIN_MARKER}

    def describe(self) -> str:
        """In a few words."""
        return "undrained"


@dataclass(frozen=True, slots=True)
class RollBackRollout:
    """What each instance ran before a rollout; the shell hands in those files as ``before``."""

    kind: ClassVar[str] = "back"
    rollout: int

    def apply(self, before: Files) -> Files:
        """The files after the change."""
        return before

    def describe(self) -> str:
        """In a few words."""
        return f"back to before rollout {self.rollout}"


Change = ReplaceFiles | ReplaceServerFile | SetValues | Drain | Undrain | RollBackRollout
KINDS: dict[str, type[Any]] = {
    c.kind: c for c in (ReplaceFiles, ReplaceServerFile, SetValues, Drain, Undrain, RollBackRollout)
}


def encode_change(change: Change) -> dict[str, Any]:
    """A change as the journal has it."""
    return {"": change.kind, **asdict(change)}


def decode_change(raw: dict[str, Any]) -> Change:
    """A change from the journal; a plain object of texts is one of whole files.  Raises :class:`ChangeError`."""
    if "" not in raw:
        return ReplaceFiles(raw)
    fields = {key: value for key, value in raw.items() if key}
    try:
        found: Change = KINDS[raw[""]](**fields)
    except (KeyError, TypeError):
        raise ChangeError(f"expected a change of a known kind, got {raw['']!r:.60}") from None
    return found


def parse_setting(text: str) -> tuple[str, Any]:
    """``PATH=VALUE``: the value as TOML has it, or else a text.  Raises :class:`ChangeError`."""
    path, equals, value = text.partition("=")
    path, value = path.strip(), value.strip()
    if not equals or not value or not all(path.split(".")):
        raise ChangeError(f"--set {text!r:.80}: expected PATH=VALUE, as in class.car-nearby.aim=3s")
    try:
        return path, tomllib.loads(f"v = {value}")["v"]
    except tomllib.TOMLDecodeError:
        return path, value


def _put(document: Any, path: str, value: Any) -> None:
    """Put a value at its place.  A list of tables takes the name of one of them as the next word."""
    place, words = document, path.split(".")
    for i, word in enumerate(words[:-1]):
        if isinstance(place, list):
            place = _named(place, word, ".".join(words[: i + 1]))
        else:
            if word not in place:
                place[word] = tomlkit.table()
            place = place[word]
        if not isinstance(place, dict | list):
            raise ChangeError(f"{path}: expected a table at {'.'.join(words[: i + 1])}, there is a value")
    if isinstance(place, list):
        raise ChangeError(f"{path}: expected a field behind the name, as in class.car-nearby.aim")
    place[words[-1]] = value


def _named(rows: Any, name: str, where: str) -> Any:
    found = next((row for row in rows if isinstance(row, dict) and row.get("name") == name), None)
    if found is None:
        names = ", ".join(str(row.get("name")) for row in rows if isinstance(row, dict))
        raise ChangeError(f"{where}: there is none of that name; expected one of {names:.200}")
    return found
