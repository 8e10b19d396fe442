"""Encode and decode the protocol's messages: HTTP paths and validated JSON bodies.  No I/O.

Only this module has the names of the JSON fields; all others use the names of ``messages``.
"""

from __future__ import annotations

import json
import math

from oakbridge.fleet.errors import FleetMessageError
from oakbridge.fleet.messages import (
    EncodedRequest,
    FilesRequest,
    JsonObject,
    LeaseRequest,
    ReleaseRequest,
    Request,
    StatusRequest,
    StepRequest,
)

VERSION = "v1"
MAX_BODY_BYTES = 34 * 1024 * 1024
MAX_HEAD_BYTES = 16 * 1024
MAX_INTEGER = 2**62
MAX_GENERATION_DIGITS = 18
MAX_TEXT_LENGTH = 200  # characters
MAX_DURATION_S = 600  # of a lease and of a watch
US_PER_S = 1e6


def encode_request(request: Request) -> EncodedRequest:
    """Return a request's method, path and body."""
    match request:
        case StatusRequest():
            return EncodedRequest("GET", f"/{VERSION}/status", b"")
        case FilesRequest(instance, generation):
            return EncodedRequest("GET", f"/{VERSION}/generation/{instance}/{generation}", b"")
        case LeaseRequest(token, duration_us, renew):
            path = "lease/renew" if renew else "lease/acquire"
            return _post(path, {"token": token, "length_s": duration_us / US_PER_S})
        case ReleaseRequest(token):
            return _post("lease/release", {"token": token})
        case StepRequest():
            return _post("step", _encode_step(request))


def _post(path: str, body: JsonObject) -> EncodedRequest:
    return EncodedRequest("POST", f"/{VERSION}/{path}", json.dumps(body).encode())


def _encode_step(request: StepRequest) -> JsonObject:
    return {
        "token": request.token,
        "id": request.step_id,
        "instance": request.instance,
        "generation": request.generation,
        "base": request.base_generation,
        "watch_s": request.watch_us / US_PER_S,
        "files": request.files,
    }


def decode_request(method: str, path: str, body: bytes) -> Request | None:
    """Return the request that an operator sent; None if there is no such path.

    Raises:
        FleetMessageError: if the path has another version, or a field is missing or invalid.
    """
    version, *segments = path.split("?", 1)[0].strip("/").split("/")
    if version != VERSION:
        raise FleetMessageError("path", f"/{VERSION}/..., got {path!r:.60}")
    if method == "GET":
        return _decode_get(segments)
    if method == "POST":
        return _decode_post(segments, body)
    return None


def _decode_get(segments: list[str]) -> Request | None:
    match segments:
        case ["status"]:
            return StatusRequest()
        case ["generation", instance, number]:
            if not number.isascii() or not number.isdigit() or len(number) > MAX_GENERATION_DIGITS:
                raise FleetMessageError("path", f"a generation's number, got {number!r:.60}")
            return FilesRequest(instance, int(number))
    return None


def _decode_post(segments: list[str], body: bytes) -> Request | None:
    fields = _decode_object(body)
    match segments:
        case ["lease", "acquire" | "renew" as verb]:
            return LeaseRequest(
                token=_integer(fields, "token", minimum=1),
                duration_us=_duration_us(fields, "length_s"),
                renew=verb == "renew",
            )
        case ["lease", "release"]:
            return ReleaseRequest(_integer(fields, "token", minimum=1))
        case ["step"]:
            return StepRequest(
                token=_integer(fields, "token", minimum=1),
                step_id=_text(fields, "id"),
                instance=_text(fields, "instance"),
                generation=_integer(fields, "generation", minimum=1),
                base_generation=_integer(fields, "base"),
                watch_us=_duration_us(fields, "watch_s"),
                files=_files(fields),
            )
    return None


def decode_response(body: bytes) -> JsonObject:
    """Return the JSON object in the body of an agent's response.

    Raises:
        FleetMessageError: if the body is not a JSON object.
    """
    return _decode_object(body)


def _decode_object(body: bytes) -> JsonObject:
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        raise FleetMessageError("body", "a JSON object") from None
    if not isinstance(value, dict):
        raise FleetMessageError("body", "a JSON object")
    return value


def _integer(fields: JsonObject, key: str, minimum: int = 0) -> int:
    value = fields.get(key)
    if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= MAX_INTEGER:
        raise FleetMessageError(
            key, f"a whole number from {minimum} to {MAX_INTEGER}, got {value!r:.60}"
        )
    return value


def _duration_us(fields: JsonObject, key: str) -> int:
    value = fields.get(key)
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise FleetMessageError(key, f"a number of seconds, got {value!r:.60}")
    if not 0 < value <= MAX_DURATION_S:
        raise FleetMessageError(
            key, f"seconds above 0, up to {MAX_DURATION_S:g}, got {value!r:.60}"
        )
    return int(value * US_PER_S)


def _text(fields: JsonObject, key: str) -> str:
    value = fields.get(key)
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_LENGTH:
        raise FleetMessageError(
            key, f"a text of 1 to {MAX_TEXT_LENGTH} characters, got {value!r:.60}"
        )
    return value


def _files(fields: JsonObject) -> dict[str, str]:
    files = fields.get("files")
    if not isinstance(files, dict) or not all(isinstance(text, str) for text in files.values()):
        raise FleetMessageError("files", "an object of texts by name")
    return files
