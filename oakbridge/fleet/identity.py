"""The identity of a certificate's holder, in its URI ``oakbridge:FLEET/KIND/NAME/ROLE``."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from oakbridge.fleet.errors import FleetMessageError

SCHEME = "oakbridge"


class IdentityKind(StrEnum):
    """The two kinds of certificate holders."""

    AGENT = "agent"
    OPERATOR = "operator"


class Role(StrEnum):
    """What an operator may do; an agent's certificate has ``READ``."""

    READ = "read"
    WRITE = "write"


@dataclass(frozen=True, slots=True)
class Identity:
    """The holder of a certificate."""

    fleet: str
    kind: IdentityKind
    name: str
    role: Role

    @property
    def uri(self) -> str:
        """The URI in the holder's certificate."""
        return f"{SCHEME}:{self.fleet}/{self.kind}/{self.name}/{self.role}"

    @classmethod
    def from_uri(cls, uri: str) -> Identity:
        """Return the identity in a certificate's URI.

        Raises:
            FleetMessageError: if the URI has another form, kind or role.
        """
        scheme, _, rest = uri.partition(":")
        parts = rest.split("/")
        if scheme != SCHEME or len(parts) != 4 or not all(parts):
            raise FleetMessageError(
                "certificate", f"a URI {SCHEME}:FLEET/KIND/NAME/ROLE, got {uri!r:.120}"
            )
        fleet, kind, name, role = parts
        try:
            return cls(fleet, IdentityKind(kind), name, Role(role))
        except ValueError:
            raise FleetMessageError(
                "certificate", f"an agent or an operator that may read or write, got {uri!r:.120}"
            ) from None
