"""The messages between operators and agents; ``codec`` has their form on the wire.

    GET  /v1/status                     read    StatusRequest
    GET  /v1/generation/INSTANCE/N      read    FilesRequest
    POST /v1/lease/acquire              write   LeaseRequest
    POST /v1/lease/renew                write   LeaseRequest, with ``renew``
    POST /v1/lease/release              write   ReleaseRequest
    POST /v1/step                       write   StepRequest

The second column is the role that a request needs.  Every request is idempotent.  A response has
status 409 for a refused request, with the reason and, for leases, the holder of the active lease;
403 for a role without permission; 400 for a malformed message, with the field and what was
expected; 503 if a retry may succeed.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from oakbridge.fleet.identity import Role

JsonObject = dict[str, Any]


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """Request the status of the agent and its instances."""


@dataclass(frozen=True, slots=True)
class FilesRequest:
    """Request the files of a generation."""

    instance: str
    generation: int


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Acquire the lease or, with ``renew``, extend it."""

    token: int
    duration_us: int
    renew: bool = False


@dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """Release the lease."""

    token: int


@dataclass(frozen=True, slots=True)
class StepRequest:
    """Change an instance from ``base_generation`` to ``generation``.

    The node must stay healthy for ``watch_us`` microseconds, or the step is rolled back.
    """

    token: int
    step_id: str
    instance: str
    generation: int
    base_generation: int
    watch_us: int
    files: dict[str, str] = field(repr=False)


Request = StatusRequest | FilesRequest | LeaseRequest | ReleaseRequest | StepRequest


class EncodedRequest(NamedTuple):
    """A request as HTTP method, path and body."""

    method: str
    path: str
    body: bytes


class Response(NamedTuple):
    """An agent's response to one request; ``status`` is the HTTP status."""

    status: int
    body: JsonObject


def required_role(request: Request) -> Role:
    """Return the role that an operator needs for this request."""
    return Role.READ if isinstance(request, StatusRequest | FilesRequest) else Role.WRITE
