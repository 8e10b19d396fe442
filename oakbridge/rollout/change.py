"""The kinds of changes that a rollout makes to the files of an instance.  Pure.

The files of an instance are its whole configuration.  If the marker file ``drained`` is among
them, the node of the instance does not run.  Every kind of change computes the new files from the
old ones, so that one change applies to instances that run different files, and a step that is
sent again after a crash of the tool has the same files and digest.

The operator's journal stores a change as a JSON object: :func:`encode_change` and
:func:`decode_change` convert it.
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
DRAIN_MARKER = "drained"  # the node of a generation with this file does not run
Files = dict[str, str]  # texts by file name


class ChangeKind(Enum):
    """The kind of a change; the values are stored in the journal and shown to operators."""

    FILES = "files"
    SERVERS = "servers"
    SETTINGS = "set"
    DRAIN = "drain"
    UNDRAIN = "undrain"
    ROLLBACK = "back"


@dataclass(frozen=True, slots=True)
class ReplaceFiles:
    """Replace all files; a drained instance stays drained."""

    kind: ClassVar[ChangeKind] = ChangeKind.FILES
    files: Files = field(repr=False)

    def apply(self, old_files: Files) -> Files:
        """Return the files after the change."""
        marker = {DRAIN_MARKER: old_files[DRAIN_MARKER]} if DRAIN_MARKER in old_files else {}
        return {**self.files, **marker}

    def describe(self) -> str:
        """Return a short description for operators."""
        return f"{len(self.files)} files"


@dataclass(frozen=True, slots=True)
class ReplaceServerFile:
    """Replace the server file, whose name is the setting ``servers.file`` of the configuration."""

    kind: ClassVar[ChangeKind] = ChangeKind.SERVERS
    text: str = field(repr=False)

    def apply(self, old_files: Files) -> Files:
        """Return the files after the change.

        Raise :class:`ChangeError` if the configuration names no server file or is not TOML.
        """
        try:
            config = tomllib.loads(old_files.get(CONFIG_FILE, ""))
        except tomllib.TOMLDecodeError as error:
            raise ChangeError(f"expected TOML: {error}", CONFIG_FILE) from None
        name = config.get("servers", {}).get("file")
        if not isinstance(name, str) or name not in old_files:
            raise ChangeError(
                f"expected the name of a file beside it, got {name!r:.60}",
                f"{CONFIG_FILE}: servers.file",
            )
        return {**old_files, name: self.text}

    def describe(self) -> str:
        """Return a short description for operators."""
        return "the server file"


@dataclass(frozen=True, slots=True)
class SetValues:
    """Set single settings by path, for example ``class.car-nearby.aim``; the others stay."""

    kind: ClassVar[ChangeKind] = ChangeKind.SETTINGS
    values: Mapping[str, Any]

    def apply(self, old_files: Files) -> Files:
        """Return the files after the change, with the comments of the configuration.

        Raise :class:`ChangeError` if the configuration is not TOML or a path cannot be set.
        """
        try:
            document = tomlkit.parse(old_files.get(CONFIG_FILE, ""))
        except TOMLKitError as error:
            raise ChangeError(f"expected TOML: {error}", CONFIG_FILE) from None
        for path, value in self.values.items():
            put_setting(document, path, value)
        return {**old_files, CONFIG_FILE: tomlkit.dumps(document)}

    def describe(self) -> str:
        """Return a short description for operators."""
        return ", ".join(f"{path} = {value}" for path, value in self.values.items())


@dataclass(frozen=True, slots=True)
class Drain:
    """Have the node finish its requests and accept no new ones until it is undrained."""

    kind: ClassVar[ChangeKind] = ChangeKind.DRAIN
    why: str = ""

    def apply(self, old_files: Files) -> Files:
        """Return the files after the change."""
        return {
            **old_files,
            DRAIN_MARKER: old_files.get(DRAIN_MARKER) or f"{self.why or 'drained'}\n",
        }

    def describe(self) -> str:
        """Return a short description for operators."""
        return "drained"


@dataclass(frozen=True, slots=True)
class Undrain:
    """Have the node run again."""

    kind: ClassVar[ChangeKind] = ChangeKind.UNDRAIN

    def apply(self, old_files: Files) -> Files:
        """Return the files after the change."""
        return {name: text for name, text in old_files.items() if name != DRAIN_MARKER}

    def describe(self) -> str:
        """Return a short description for operators."""
        return "undrained"


@dataclass(frozen=True, slots=True)
class RollBackRollout:
    """Return each instance to the files that it ran before a rollout.

    The step sender passes those files as ``old_files``.
    """

    kind: ClassVar[ChangeKind] = ChangeKind.ROLLBACK
    rollout: int

    def apply(self, old_files: Files) -> Files:
        """Return the files after the change."""
        return old_files

    def describe(self) -> str:
        """Return a short description for operators."""
        return f"back to before rollout {self.rollout}"


Change = ReplaceFiles | ReplaceServerFile | SetValues | Drain | Undrain | RollBackRollout


def encode_change(change: Change) -> dict[str, Any]:
    """Return the JSON object that the journal stores; the kind is under the key ""."""
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
    """Return the change of a stored JSON object.  Raise :class:`ChangeError` if it is invalid.

    An object without a kind was written by an older release, which could only replace files: it
    has the texts by file name.
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
