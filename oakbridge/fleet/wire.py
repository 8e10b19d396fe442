"""What operators ask of agents: HTTP paths and JSON bodies, checked in full; roles; no I/O.

    GET  /v1/status                     read   all that the agent knows
    GET  /v1/generation/INSTANCE/N      read   a generation's files
    POST /v1/lease/acquire              write  {"token", "length_s"}
    POST /v1/lease/renew                write  {"token", "length_s"}
    POST /v1/lease/release              write  {"token"}
    POST /v1/step                       write  {"token", "id", "instance", "generation", "base", "watch_s", "files"}

Every request may be sent again, and has the same answer.  409 is a refusal with its reason and, for leases, who is
in the way; 403 a role that may not; 400 a message that is none, with the field and what was expected.
"""

from __future__ import annotations

import json
import math
from dataclasses import dataclass, field
from typing import Any

VERSION = "v1"
MAX_BODY = 34 * 1024 * 1024
MAX_HEAD = 16 * 1024
READ, WRITE = "read", "write"

Raw = dict[str, Any]


class BadMessage(ValueError):
    """A message that the protocol does not allow; the text names the field and what was expected."""


@dataclass(frozen=True, slots=True)
class Identity:
    """Whom a certificate speaks for, as its URI says: ``oakbridge:FLEET/KIND/NAME/ROLE``."""

    fleet: str
    kind: str  # agent or operator
    name: str
    role: str  # read or write; an agent's is read

    def uri(self) -> str:
        """The certificate's URI."""
        return f"oakbridge:{self.fleet}/{self.kind}/{self.name}/{self.role}"

    @classmethod
    def parse(cls, uri: str) -> Identity:
        """From a certificate's URI.  Raises :class:`BadMessage`."""
        scheme, _, rest = uri.partition(":")
        parts = rest.split("/")
        if scheme != "oakbridge" or len(parts) != 4 or not all(parts):
            raise BadMessage(f"certificate: expected a URI oakbridge:FLEET/KIND/NAME/ROLE, got {uri!r:.120}")
        if parts[1] not in ("agent", "operator") or parts[3] not in (READ, WRITE):
            raise BadMessage(
                f"certificate: expected an agent or an operator that may read or write, got {uri!r:.120}"
            )
        return cls(*parts)


@dataclass(frozen=True, slots=True)
class Status:
    """Ask for all that the agent knows."""


@dataclass(frozen=True, slots=True)
class Fetch:
    """Ask for a generation's files."""

    instance: str
    number: int


@dataclass(frozen=True, slots=True)
class Acquire:
    """Ask for the lease, or (``renew``) for more time."""

    token: int
    length: int  # microseconds
    renew: bool = False


@dataclass(frozen=True, slots=True)
class Release:
    """Give the lease back."""

    token: int


@dataclass(frozen=True, slots=True)
class StepOrder:
    """Have an instance run a generation."""

    token: int
    id: str
    instance: str
    generation: int
    base: int
    watch: int  # microseconds
    files: dict[str, str] = field(repr=False)


Request = Status | Fetch | Acquire | Release | StepOrder


def _whole(raw: Raw, key: str, least: int = 0, most: int = 2**62) -> int:
    value = raw.get(key)
    if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
        raise BadMessage(f"{key}: expected a whole number from {least} to {most}, got {value!r:.60}")
    return value


def _seconds(raw: Raw, key: str, most: float) -> int:
    value = raw.get(key)
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise BadMessage(f"{key}: expected a number of seconds, got {value!r:.60}")
    if not 0 < value <= most:
        raise BadMessage(f"{key}: expected seconds above 0, up to {most:g}, got {value!r:.60}")
    return int(value * 1e6)


def _text(raw: Raw, key: str) -> str:
    value = raw.get(key)
    if not isinstance(value, str) or not 0 < len(value) <= 200:
        raise BadMessage(f"{key}: expected a text of 1 to 200 characters, got {value!r:.60}")
    return value


def _files(raw: Raw) -> dict[str, str]:
    files = raw.get("files")
    if not isinstance(files, dict) or not all(isinstance(text, str) for text in files.values()):
        raise BadMessage("files: expected an object of texts by name")
    return files


def read(method: str, path: str, body: bytes) -> Request | None:
    """A request; None if there is no such path.  Raises :class:`BadMessage`."""
    parts = path.split("?", 1)[0].strip("/").split("/")
    if parts[0] != VERSION:
        raise BadMessage(f"path: expected /{VERSION}/..., got {path!r:.60}")
    if method == "GET" and parts[1:] == ["status"]:
        return Status()
    if method == "GET" and parts[1:2] == ["generation"] and len(parts) == 4:
        if not parts[3].isascii() or not parts[3].isdigit() or len(parts[3]) > 18:
            raise BadMessage(f"path: expected a generation's number, got {parts[3]!r:.60}")
        return Fetch(parts[2], int(parts[3]))
    if method != "POST":
        return None
    raw = _object(body)
    if parts[1:] in (["lease", "acquire"], ["lease", "renew"]):
        return Acquire(_whole(raw, "token", 1), _seconds(raw, "length_s", 600), parts[2] == "renew")
    if parts[1:] == ["lease", "release"]:
        return Release(_whole(raw, "token", 1))
    if parts[1:] == ["step"]:
        return StepOrder(
            _whole(raw, "token", 1), _text(raw, "id"), _text(raw, "instance"), _whole(raw, "generation", 1),
            _whole(raw, "base"), _seconds(raw, "watch_s", 600), _files(raw),
        )  # fmt: skip
    return None


def needed_role(request: Request) -> str:
    """What a caller must be allowed to ask this."""
    return READ if isinstance(request, Status | Fetch) else WRITE


def write(request: Request) -> tuple[str, str, bytes]:
    """A request's method, path and body."""
    if isinstance(request, Status):
        return "GET", f"/{VERSION}/status", b""
    if isinstance(request, Fetch):
        return "GET", f"/{VERSION}/generation/{request.instance}/{request.number}", b""
    raw: Raw
    if isinstance(request, Acquire):
        path, raw = f"lease/{'renew' if request.renew else 'acquire'}", {
            "token": request.token, "length_s": request.length / 1e6,
        }  # fmt: skip
    elif isinstance(request, Release):
        path, raw = "lease/release", {"token": request.token}
    else:
        path, raw = "step", {
            "token": request.token, "id": request.id, "instance": request.instance, "generation": request.generation,
            "base": request.base, "watch_s": request.watch / 1e6, "files": request.files,
        }  # fmt: skip
    return "POST", f"/{VERSION}/{path}", json.dumps(raw).encode()


def _object(body: bytes) -> Raw:
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError):
        raise BadMessage("body: expected a JSON object") from None
    if not isinstance(raw, dict):
        raise BadMessage("body: expected a JSON object")
    return raw


def read_answer(body: bytes) -> Raw:
    """An answer's object.  Raises :class:`BadMessage`."""
    return _object(body)
