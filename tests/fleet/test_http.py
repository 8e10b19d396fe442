"""HTTP over mutual TLS: authentication, refused messages, timeouts and limits."""

import asyncio
import ssl

import pytest
from peers import run, until, with_timeout

from oakbridge.fleet import pki, server
from oakbridge.fleet.connection import AgentConnection
from oakbridge.fleet.errors import CallError, FleetMessageError, PkiError
from oakbridge.fleet.identity import Identity, IdentityKind, Role
from oakbridge.fleet.messages import EncodedRequest, Response
from oakbridge.fleet.server import AgentServer

FLEET = "bergen"
STATUS = EncodedRequest("GET", "/v1/status", b"")


@pytest.fixture(scope="module")
def folders(tmp_path_factory):
    """Two fleets of the same name, with authorities, agents and operators of their own.

    The operator ``late`` has an expired certificate.
    """
    own_fleet, other_fleet = tmp_path_factory.mktemp("ours"), tmp_path_factory.mktemp("other")
    pki.create_authority(own_fleet, FLEET)
    pki.create_authority(other_fleet, FLEET)  # the authority decides, not the name
    pki.issue_certificate(
        own_fleet, Identity(FLEET, IdentityKind.AGENT, "h1", Role.READ), own_fleet / "h1"
    )
    pki.issue_certificate(
        own_fleet, Identity(FLEET, IdentityKind.OPERATOR, "kari", Role.WRITE), own_fleet / "kari"
    )
    pki.issue_certificate(
        own_fleet,
        Identity(FLEET, IdentityKind.OPERATOR, "late", Role.WRITE),
        own_fleet / "late",
        days=-0.001,
    )
    pki.issue_certificate(
        other_fleet, Identity(FLEET, IdentityKind.OPERATOR, "eve", Role.WRITE), other_fleet / "eve"
    )
    pki.issue_certificate(
        other_fleet, Identity(FLEET, IdentityKind.AGENT, "h1", Role.READ), other_fleet / "h1"
    )
    return own_fleet, other_fleet


class RunningServer:
    """An agent's server; by default it responds with the request, and keeps the sender's name."""

    def __init__(self, folder, handler=None) -> None:
        self.handled = []

        async def echo(identity, method, path, body):
            self.handled.append(identity.name)
            return Response(
                200, {"who": identity.name, "method": method, "path": path, "length": len(body)}
            )

        self.server = AgentServer(
            pki.tls_context(folder / "ca.crt", folder / "h1", server=True), FLEET, handler or echo
        )

    async def __aenter__(self) -> "RunningServer":
        await self.server.start(("127.0.0.1", 0))
        return self

    async def __aexit__(self, *_) -> None:
        self.server.close()


async def call_once(context, agent, address, request, timeout_s):
    connection = AgentConnection(context, FLEET, agent, address)
    try:
        return await connection.call(request, timeout_s)
    finally:
        connection.close()


async def call(running, fleet, stem, request=STATUS, agent="h1", timeout_s=10.0):
    tls = pki.tls_context(fleet / "ca.crt", stem, server=False)
    return await call_once(tls, agent, running.server.address, request, timeout_s)


def test_operator_of_the_fleet_gets_a_response(folders):
    own_fleet, _ = folders

    async def scenario():
        async with RunningServer(own_fleet) as running:
            body = b"x" * 3_000_000
            response = await call(
                running, own_fleet, own_fleet / "kari", EncodedRequest("POST", "/v1/x", body)
            )
            assert response == (
                200,
                {"who": "kari", "method": "POST", "path": "/v1/x", "length": len(body)},
            )

    run(scenario())


def test_handshake_fails_without_a_valid_certificate_of_the_fleet(folders):
    """No certificate, one of another fleet, an expired one: no request is read."""
    own_fleet, other_fleet = folders

    async def scenario():
        async with RunningServer(own_fleet) as running:
            for stem in (other_fleet / "eve", own_fleet / "late"):
                with pytest.raises(CallError):
                    await call(running, own_fleet, stem)
            without_certificate = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
            without_certificate.check_hostname = False
            without_certificate.load_verify_locations(own_fleet / "ca.crt")
            with pytest.raises(CallError):
                await call_once(without_certificate, "h1", running.server.address, STATUS, 10)
            reader, writer = await asyncio.open_connection(*running.server.address)
            writer.write(b"GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n")  # without TLS
            assert b"HTTP" not in await with_timeout(reader.read())
            assert running.handled == []

    run(scenario())


def test_no_request_is_sent_to_an_agent_with_another_identity(folders):
    own_fleet, other_fleet = folders

    async def scenario():
        async with RunningServer(own_fleet) as running:
            with pytest.raises(CallError, match="expected agent h2"):
                await call(running, own_fleet, own_fleet / "kari", agent="h2")
            assert running.handled == []
        async with RunningServer(other_fleet) as running:
            with pytest.raises(CallError, match=r"(?i)certificate"):
                await call(running, own_fleet, own_fleet / "kari")

    run(scenario())


def test_message_that_is_too_long_is_refused_by_its_content_length(folders):
    own_fleet, _ = folders

    async def scenario():
        async with RunningServer(own_fleet) as running:
            tls = pki.tls_context(own_fleet / "ca.crt", own_fleet / "kari", server=False)
            reader, writer = await asyncio.open_connection(*running.server.address, ssl=tls)
            writer.write(b"POST /v1/step HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000000\r\n\r\n")
            assert (await with_timeout(reader.read())).startswith(b"HTTP/1.1 413")
            assert running.handled == []
            assert (await call(running, own_fleet, own_fleet / "kari"))[0] == 200

    run(scenario())


def test_connection_is_closed_if_a_head_is_too_long(folders):
    own_fleet, _ = folders

    async def scenario():
        async with RunningServer(own_fleet) as running:
            tls = pki.tls_context(own_fleet / "ca.crt", own_fleet / "kari", server=False)
            reader, writer = await asyncio.open_connection(*running.server.address, ssl=tls)
            writer.write(b"GET / HTTP/1.1\r\nX: " + b"x" * 100_000)
            assert await with_timeout(reader.read()) == b""
            assert (await call(running, own_fleet, own_fleet / "kari"))[0] == 200

    run(scenario())


def test_connection_is_closed_if_a_request_does_not_arrive_in_time(folders, monkeypatch):
    own_fleet, _ = folders
    monkeypatch.setattr(server, "IO_TIMEOUT_S", 0.2)

    async def scenario():
        async with RunningServer(own_fleet) as running:
            tls = pki.tls_context(own_fleet / "ca.crt", own_fleet / "kari", server=False)
            reader, writer = await asyncio.open_connection(*running.server.address, ssl=tls)
            writer.write(b"POST /v1/step HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf")
            assert await with_timeout(reader.read()) == b""

    run(scenario())


def test_connection_is_closed_if_a_response_is_not_read_in_time(folders, monkeypatch):
    own_fleet, _ = folders
    monkeypatch.setattr(server, "IO_TIMEOUT_S", 0.3)

    async def respond_at_length(*_):
        return Response(200, {"much": "x" * 20_000_000})

    async def scenario():
        async with RunningServer(own_fleet, respond_at_length) as running:
            tls = pki.tls_context(own_fleet / "ca.crt", own_fleet / "kari", server=False)
            _, writer = await asyncio.open_connection(*running.server.address, ssl=tls, limit=1024)
            writer.write(b"GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n")
            await until(lambda: running.server.connection_count)
            await until(lambda: not running.server.connection_count)
            writer.transport.abort()

    run(scenario())


def test_call_fails_if_the_agent_does_not_respond_in_time(folders):
    own_fleet, _ = folders

    async def never_respond(*_):
        await asyncio.sleep(3600)

    async def scenario():
        async with RunningServer(own_fleet, never_respond) as running:
            with pytest.raises(CallError, match=r"no answer within 0\.2 s"):
                await call(running, own_fleet, own_fleet / "kari", timeout_s=0.2)

    run(scenario())


def test_number_of_connections_is_limited(folders, monkeypatch):
    own_fleet, _ = folders
    monkeypatch.setattr(server, "MAX_CONNECTIONS", 3)

    async def scenario():
        async with RunningServer(own_fleet) as running:
            tls = pki.tls_context(own_fleet / "ca.crt", own_fleet / "kari", server=False)
            connections = [
                await asyncio.open_connection(*running.server.address, ssl=tls) for _ in range(3)
            ]
            await until(lambda: running.server.connection_count == 3)
            with pytest.raises(CallError):
                await call(running, own_fleet, own_fleet / "kari")
            for _, writer in connections:
                writer.transport.abort()
            await until(lambda: not running.server.connection_count)
            assert (await call(running, own_fleet, own_fleet / "kari"))[0] == 200

    run(scenario())


def test_authority_and_certificates_are_not_overwritten_and_keys_are_private(folders):
    own_fleet, _ = folders
    with pytest.raises(PkiError, match=r"ca\.key: already exists"):
        pki.create_authority(own_fleet, FLEET)
    with pytest.raises(PkiError, match=r"kari\.key: already exists"):
        pki.issue_certificate(
            own_fleet,
            Identity(FLEET, IdentityKind.OPERATOR, "kari", Role.WRITE),
            own_fleet / "kari",
        )
    assert (own_fleet / "ca.key").stat().st_mode & 0o777 == 0o600
    assert pki.certificate_days_left(own_fleet / "kari.crt") > 390
    assert pki.certificate_days_left(own_fleet / "late.crt") < 0


def test_handler_that_raises_causes_an_error_response(folders):
    own_fleet, _ = folders

    async def failing_handler(_identity, _method, path, _body):
        if path == "/v1/bad":
            raise FleetMessageError("x", "y")
        raise RuntimeError("oh")

    async def scenario():
        async with RunningServer(own_fleet, failing_handler) as running:
            assert await call(
                running, own_fleet, own_fleet / "kari", EncodedRequest("GET", "/v1/bad", b"")
            ) == (
                400,
                {"error": "x: expected y"},
            )
            assert (await call(running, own_fleet, own_fleet / "kari"))[0] == 500

    run(scenario())
