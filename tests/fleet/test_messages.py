"""The protocol's messages: decoding reverses encoding, and invalid messages are refused."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oakbridge.fleet.codec import decode_request, encode_request
from oakbridge.fleet.errors import FleetMessageError
from oakbridge.fleet.identity import Identity, IdentityKind, Role
from oakbridge.fleet.messages import (
    FilesRequest,
    LeaseRequest,
    ReleaseRequest,
    StatusRequest,
    StepRequest,
    required_role,
)

STEP = StepRequest(3, "s-1", "n1", 3, 2, 5_000_000, {"oakbridge.toml": "é"})


@pytest.mark.parametrize(
    ("request_", "role"),
    [
        (StatusRequest(), Role.READ),
        (FilesRequest("n1", 7), Role.READ),
        (LeaseRequest(4, 60_000_000), Role.WRITE),
        (LeaseRequest(4, 60_000_000, renew=True), Role.WRITE),
        (ReleaseRequest(4), Role.WRITE),
        (STEP, Role.WRITE),
    ],
)
def test_decoding_reverses_encoding(request_, role):
    assert decode_request(*encode_request(request_)) == request_
    assert required_role(request_) == role


def step_body(**changes) -> bytes:
    return json.dumps({**json.loads(encode_request(STEP).body), **changes}).encode()


@pytest.mark.parametrize(
    ("path", "body", "message"),
    [
        ("/v2/status", b"", "expected /v1/"),
        ("/v1/step", b"[]", "body: expected a JSON object"),
        ("/v1/step", b"[" * 100_000, "body: expected a JSON object"),
        ("/v1/step", b"\xff", "body: expected a JSON object"),
        ("/v1/step", step_body(token=0), "token: expected a whole number from 1"),
        ("/v1/step", step_body(token=True), "token: expected a whole number"),
        ("/v1/step", step_body(token=10**30), "token: expected a whole number"),
        ("/v1/step", step_body(watch_s=-1), "watch_s: expected seconds above 0"),
        ("/v1/step", step_body(watch_s=float("nan")), "watch_s: expected a number of seconds"),
        ("/v1/step", step_body(id=""), "id: expected a text"),
        ("/v1/step", step_body(id="x" * 201), "id: expected a text"),
        ("/v1/step", step_body(files={"a": 1}), "files: expected an object of texts"),
        ("/v1/step", step_body(files=None), "files: expected an object of texts"),
        (
            "/v1/lease/acquire",
            b'{"token": 1, "length_s": 601}',
            "length_s: expected seconds above 0, up to 600",
        ),
    ],
)
def test_invalid_message_is_refused_with_its_field(path, body, message):
    with pytest.raises(FleetMessageError, match=message):
        decode_request("POST", path, body)


@pytest.mark.parametrize(
    ("method", "path"),
    [("GET", "/v1/step"), ("POST", "/v1/x"), ("PUT", "/v1/step"), ("GET", "/v1")],
)
def test_unknown_path_has_no_request(method, path):
    assert decode_request(method, path, b"{}") is None


def decode_problem(method: str, path: str, body: bytes) -> str:
    try:
        decode_request(method, path, body)
    except FleetMessageError as error:
        return str(error)
    return ""


@given(st.sampled_from(["GET", "POST"]), st.text(max_size=30), st.binary(max_size=100))
@settings(derandomize=True, max_examples=300)
def test_decoding_arbitrary_bytes_raises_no_other_error(method, path, body):
    for prefix in ("", "/v1/", "/v1/generation/", "/v1/lease/acquire", "/v1/step"):
        assert "\n" not in decode_problem(method, prefix + path, body)


def test_identity_is_read_from_its_uri_and_invalid_uris_are_refused():
    identity = Identity("bergen", IdentityKind.OPERATOR, "kari", Role.WRITE)
    assert Identity.from_uri(identity.uri) == identity
    for uri in (
        "",
        "oakbridge:a/b/c/d",
        "other:bergen/agent/a/read",
        "oakbridge:a/agent/b",
        "oakbridge:a/agent//read",
    ):
        with pytest.raises(FleetMessageError):
            Identity.from_uri(uri)
