"""The arguments of each command: their types, bounds and defaults."""

from __future__ import annotations

from dataclasses import dataclass

from oakbridge.control.errors import InvalidArgumentError, RequestRejectedError
from oakbridge.control.protocol import JsonObject

DEFAULT_STATUS_ROWS = 200
MAX_STATUS_ROWS = 100_000


@dataclass(frozen=True, slots=True)
class StatusArguments:
    """``status``: the maximum number of servers to report."""

    max_rows: int

    @classmethod
    def decode(cls, arguments: JsonObject) -> StatusArguments:
        """Check a request's arguments.  Raises InvalidArgumentError."""
        rows = arguments.get("rows", DEFAULT_STATUS_ROWS)
        if isinstance(rows, bool) or not isinstance(rows, int) or not 0 <= rows <= MAX_STATUS_ROWS:
            raise InvalidArgumentError(
                "rows", f"a whole number from 0 to {MAX_STATUS_ROWS}, got {rows!r:.40}"
            )
        return cls(rows)


@dataclass(frozen=True, slots=True)
class AcceptServerListArguments:
    """``servers.accept``: the digest of the version that waits for approval, or a prefix of it.

    An empty digest accepts whichever version waits.
    """

    digest: str

    @classmethod
    def decode(cls, arguments: JsonObject) -> AcceptServerListArguments:
        """Check a request's arguments.  Raises InvalidArgumentError."""
        return cls(_text(arguments, "digest", default=""))


@dataclass(frozen=True, slots=True)
class PeerHistoryArguments:
    """``peers.why``: the name of a peer."""

    name: str

    @classmethod
    def decode(cls, arguments: JsonObject) -> PeerHistoryArguments:
        """Check a request's arguments.  Raises InvalidArgumentError."""
        return cls(_text(arguments, "name"))


@dataclass(frozen=True, slots=True)
class SiteHistoryArguments:
    """``sites.why``: the name of a site."""

    site: str

    @classmethod
    def decode(cls, arguments: JsonObject) -> SiteHistoryArguments:
        """Check a request's arguments.  Raises InvalidArgumentError."""
        return cls(_text(arguments, "site"))


@dataclass(frozen=True, slots=True)
class DrainOrReturnSiteArguments:
    """``sites.operate``: a site, whether to drain or return it, and the operator's name."""

    site: str
    drain: bool
    operator: str

    @classmethod
    def decode(cls, arguments: JsonObject) -> DrainOrReturnSiteArguments:
        """Check a request's arguments.  Raises RequestRejectedError."""
        site = _text(arguments, "site")
        drain = arguments.get("out")
        operator = arguments.get("by", "")
        if not isinstance(drain, bool) or not isinstance(operator, str):
            raise RequestRejectedError("out: expected true or false; by: expected a text")
        return cls(site, drain, operator)


def _text(arguments: JsonObject, field: str, *, default: str | None = None) -> str:
    value = arguments.get(field, default)
    if not isinstance(value, str):
        raise InvalidArgumentError(field, "a text")
    return value
