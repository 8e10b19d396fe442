"""The messages between operators and agents; ``codec`` has their form on the wire.

    GET  /v1/status                     read    StatusRequest
    GET  /v1/generation/INSTANCE/N      read    FilesRequest
    POST /v1/lease/acquire              write   LeaseRequest
    POST /v1/lease/renew                write   LeaseRequest, with ``renew``
    POST /v1/lease/release              write   ReleaseRequest
    POST /v1/step                       write   StepRequest

Every request is idempotent.  A response with status 409 is a refusal with its reason and, for
leases, the holder who is in the way; 403 a role that may not ask this; 400 a malformed message,
with the field and what was expected.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from oakbridge.fleet.identity import Role

JsonObject = dict[str, Any]


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """Ask for all that the agent knows."""


@dataclass(frozen=True, slots=True)
class FilesRequest:
    """Ask for the files of a generation."""

    instance: str
    generation: int


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Ask for the lease or, with ``renew``, for more time."""

    token: int
    duration_us: int
    renew: bool = False


@dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """Give the lease back."""

    token: int


@dataclass(frozen=True, slots=True)
class StepRequest:
    """Have an instance that runs ``base_generation`` run ``generation``."""

    token: int
    step_id: str
    instance: str
    generation: int
    base_generation: int
    watch_us: int
    files: dict[str, str] = field(repr=False)


Request = StatusRequest | FilesRequest | LeaseRequest | ReleaseRequest | StepRequest


class EncodedRequest(NamedTuple):
    """A request in the form of HTTP."""

    method: str
    path: str
    body: bytes


class Response(NamedTuple):
    """An agent's answer to one request."""

    status: int
    body: JsonObject


def required_role(request: Request) -> Role:
    """Return the role that an operator needs for this request."""
    return Role.READ if isinstance(request, StatusRequest | FilesRequest) else Role.WRITE
