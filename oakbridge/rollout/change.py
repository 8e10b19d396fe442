"""What a rollout changes: from the files that an instance runs by to others.  Pure.

The files of an instance are its whole configuration; the marker file ``drained`` among them says
that its node should not run.  Every kind of change is a function of the files before it, so that
one change fits instances that run different files, and so that a step that is sent again after a
crash of the tool has the same files and digest.

The operator's journal stores a change as a JSON object: :func:`encode_change` and
:func:`decode_change` map it.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, ClassVar

import tomlkit
from tomlkit.exceptions import TOMLKitError

from oakbridge.rollout.change_error import ChangeError
from oakbridge.rollout.setting_path import put_setting

CONFIG_FILE = "oakbridge.toml"
DRAIN_MARKER = "drained"  # the name of the marker file in a generation
Files = dict[str, str]


class ChangeKind(Enum):
    """The kind of a change; the values are stored and shown to operators."""

    FILES = "files"
    SERVERS = "servers"
    SETTINGS = "set"
    DRAIN = "drain"
    UNDRAIN = "undrain"
    ROLLBACK = "back"


@dataclass(frozen=True, slots=True)
class ReplaceFiles:
    """Replace all files; an instance that is drained stays drained."""

    kind: ClassVar[ChangeKind] = ChangeKind.FILES
    files: Files = field(repr=False)

    def apply(self, before: Files) -> Files:
        """Return the files after the change."""
        marker = {DRAIN_MARKER: before[DRAIN_MARKER]} if DRAIN_MARKER in before else {}
        return {**self.files, **marker}

    def describe(self) -> str:
        """Return a few words for operators."""
        return f"{len(self.files)} files"


@dataclass(frozen=True, slots=True)
class ReplaceServerFile:
    """Replace the server file, under the name that the configuration has for it."""

    kind: ClassVar[ChangeKind] = ChangeKind.SERVERS
    text: str = field(repr=False)

    def apply(self, before: Files) -> Files:
        """Return the files after the change.  Raise :class:`ChangeError` if none is configured."""
        try:
            config = tomllib.loads(before.get(CONFIG_FILE, ""))
        except tomllib.TOMLDecodeError as error:
            raise ChangeError(f"expected TOML: {error}", CONFIG_FILE) from None
        name = config.get("servers", {}).get("file")
        if not isinstance(name, str) or name not in before:
            raise ChangeError(
                f"expected the name of a file beside it, got {name!r:.60}",
                f"{CONFIG_FILE}: servers.file",
            )
        return {**before, name: self.text}

    def describe(self) -> str:
        """Return a few words for operators."""
        return "the server file"


@dataclass(frozen=True, slots=True)
class SetValues:
    """Set single settings and leave the rest, for example ``class.car-nearby.aim``."""

    kind: ClassVar[ChangeKind] = ChangeKind.SETTINGS
    values: Mapping[str, Any]

    def apply(self, before: Files) -> Files:
        """Return the files after the change, comments kept.  Raise :class:`ChangeError`."""
        try:
            document = tomlkit.parse(before.get(CONFIG_FILE, ""))
        except TOMLKitError as error:
            raise ChangeError(f"expected TOML: {error}", CONFIG_FILE) from None
        for path, value in self.values.items():
            put_setting(document, path, value)
        return {**before, CONFIG_FILE: tomlkit.dumps(document)}

    def describe(self) -> str:
        """Return a few words for operators."""
        return ", ".join(f"{path} = {value}" for path, value in self.values.items())


@dataclass(frozen=True, slots=True)
class Drain:
    """Have the node finish its requests and accept no new ones, until it is undrained."""

    kind: ClassVar[ChangeKind] = ChangeKind.DRAIN
    why: str = ""

    def apply(self, before: Files) -> Files:
        """Return the files after the change."""
        return {**before, DRAIN_MARKER: before.get(DRAIN_MARKER) or f"{self.why or 'drained'}\n"}

    def describe(self) -> str:
        """Return a few words for operators."""
        return "drained"


@dataclass(frozen=True, slots=True)
class Undrain:
    """Have the node run again."""

    kind: ClassVar[ChangeKind] = ChangeKind.UNDRAIN

    def apply(self, before: Files) -> Files:
        """Return the files after the change."""
        return {name: text for name, text in before.items() if name != DRAIN_MARKER}

    def describe(self) -> str:
        """Return a few words for operators."""
        return "undrained"


@dataclass(frozen=True, slots=True)
class RollBackRollout:
    """Return each instance to the files that it ran before a rollout.

    The sender passes those files as ``before``.
    """

    kind: ClassVar[ChangeKind] = ChangeKind.ROLLBACK
    rollout: int

    def apply(self, before: Files) -> Files:
        """Return the files after the change."""
        return before

    def describe(self) -> str:
        """Return a few words for operators."""
        return f"back to before rollout {self.rollout}"


Change = ReplaceFiles | ReplaceServerFile | SetValues | Drain | Undrain | RollBackRollout


def encode_change(change: Change) -> dict[str, Any]:
    """Return the JSON object that the journal stores; its kind is under the empty key."""
    kind: dict[str, Any] = {"": change.kind.value}
    match change:
        case ReplaceFiles():
            return kind | {"files": change.files}
        case ReplaceServerFile():
            return kind | {"text": change.text}
        case SetValues():
            return kind | {"values": dict(change.values)}
        case Drain():
            return kind | {"why": change.why}
        case Undrain():
            return kind
        case RollBackRollout():
            return kind | {"rollout": change.rollout}


def decode_change(raw: dict[str, Any]) -> Change:
    """Return the change of a stored JSON object.  Raise :class:`ChangeError` if it is not one.

    An object without a kind is older than the kinds: it holds the files by name.
    """
    if "" not in raw:
        return ReplaceFiles(raw)
    match raw:
        case {"": ChangeKind.FILES.value, "files": files, **rest} if not rest:
            return ReplaceFiles(files)
        case {"": ChangeKind.SERVERS.value, "text": text, **rest} if not rest:
            return ReplaceServerFile(text)
        case {"": ChangeKind.SETTINGS.value, "values": values, **rest} if not rest:
            return SetValues(values)
        case {"": ChangeKind.DRAIN.value, **rest} if rest.keys() <= {"why"}:
            return Drain(**rest)
        case {"": ChangeKind.UNDRAIN.value, **rest} if not rest:
            return Undrain()
        case {"": ChangeKind.ROLLBACK.value, "rollout": rollout, **rest} if not rest:
            return RollBackRollout(rollout)
    raise ChangeError(f"expected a change of a known kind, got {raw['']!r:.60}")
