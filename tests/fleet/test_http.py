"""HTTP over mutual TLS: who gets in, what is refused, and that nobody holds the other end up."""

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
def folder(tmp_path_factory):
    """Two fleets: ours with an agent, operators and an expired one; another with an operator."""
    ours, other = tmp_path_factory.mktemp("ours"), tmp_path_factory.mktemp("other")
    pki.create_authority(ours, FLEET)
    pki.create_authority(other, FLEET)  # of the same name: it is the authority that counts
    pki.issue_certificate(ours, Identity(FLEET, IdentityKind.AGENT, "h1", Role.READ), ours / "h1")
    pki.issue_certificate(
        ours, Identity(FLEET, IdentityKind.OPERATOR, "kari", Role.WRITE), ours / "kari"
    )
    pki.issue_certificate(
        ours, Identity(FLEET, IdentityKind.OPERATOR, "late", Role.WRITE), ours / "late", days=-0.001
    )
    pki.issue_certificate(
        other, Identity(FLEET, IdentityKind.OPERATOR, "eve", Role.WRITE), other / "eve"
    )
    pki.issue_certificate(other, Identity(FLEET, IdentityKind.AGENT, "h1", Role.READ), other / "h1")
    return ours, other


class Serving:
    def __init__(self, folder, handle=None) -> None:
        self.handled = []

        async def echo(who, method, path, body):
            self.handled.append(who.name)
            return Response(
                200, {"who": who.name, "method": method, "path": path, "length": len(body)}
            )

        self.server = AgentServer(
            pki.tls_context(folder / "ca.crt", folder / "h1", server=True), FLEET, handle or echo
        )

    async def __aenter__(self) -> "Serving":
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


async def ask(serving, authority, stem, request=STATUS, agent="h1", within=10.0):
    tls = pki.tls_context(authority / "ca.crt", stem, server=False)
    return await call_once(tls, agent, serving.server.address, request, within)


def test_an_operator_of_the_fleet_is_answered(folder):
    ours, _ = folder

    async def scenario():
        async with Serving(ours) as s:
            body = b"x" * 3_000_000
            got = await ask(s, ours, ours / "kari", EncodedRequest("POST", "/v1/x", body))
            assert got == (
                200,
                {"who": "kari", "method": "POST", "path": "/v1/x", "length": len(body)},
            )

    run(scenario())


def test_nobody_else_gets_past_the_handshake(folder):
    """No certificate, another fleet's, an expired one: nothing that they say is read."""
    ours, other = folder

    async def scenario():
        async with Serving(ours) as s:
            for stem in (other / "eve", ours / "late"):
                with pytest.raises(CallError):
                    await ask(s, ours, stem)
            bare = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
            bare.check_hostname = False
            bare.load_verify_locations(ours / "ca.crt")
            with pytest.raises(CallError):
                await call_once(bare, "h1", s.server.address, STATUS, 10)
            reader, writer = await asyncio.open_connection(*s.server.address)
            writer.write(b"GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n")  # no TLS at all
            assert b"HTTP" not in await with_timeout(reader.read())
            assert s.handled == []

    run(scenario())


def test_an_agent_that_is_not_the_one_meant_is_not_asked(folder):
    ours, other = folder

    async def scenario():
        async with Serving(ours) as s:
            with pytest.raises(CallError, match="expected agent h2"):
                await ask(s, ours, ours / "kari", agent="h2")
            assert s.handled == []
        async with Serving(other) as s:
            with pytest.raises(CallError, match=r"(?i)certificate"):
                await ask(s, ours, ours / "kari")

    run(scenario())


def test_a_message_of_a_gigabyte_is_refused_at_its_head(folder):
    ours, _ = folder

    async def scenario():
        async with Serving(ours) as s:
            tls = pki.tls_context(ours / "ca.crt", ours / "kari", server=False)
            reader, writer = await asyncio.open_connection(*s.server.address, ssl=tls)
            writer.write(b"POST /v1/step HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000000\r\n\r\n")
            assert (await with_timeout(reader.read())).startswith(b"HTTP/1.1 413")
            assert s.handled == []
            assert (await ask(s, ours, ours / "kari"))[0] == 200

    run(scenario())


def test_a_message_without_end_is_cut_off(folder):
    ours, _ = folder

    async def scenario():
        async with Serving(ours) as s:
            tls = pki.tls_context(ours / "ca.crt", ours / "kari", server=False)
            reader, writer = await asyncio.open_connection(*s.server.address, ssl=tls)
            writer.write(b"GET / HTTP/1.1\r\nX: " + b"x" * 100_000)
            assert await with_timeout(reader.read()) == b""
            assert (await ask(s, ours, ours / "kari"))[0] == 200

    run(scenario())


def test_those_that_say_nothing_are_cut_off(folder, monkeypatch):
    ours, _ = folder
    monkeypatch.setattr(server, "IO_TIMEOUT_S", 0.2)

    async def scenario():
        async with Serving(ours) as s:
            tls = pki.tls_context(ours / "ca.crt", ours / "kari", server=False)
            reader, writer = await asyncio.open_connection(*s.server.address, ssl=tls)
            writer.write(b"POST /v1/step HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf")
            assert await with_timeout(reader.read()) == b""

    run(scenario())


def test_one_that_never_reads_its_answers_is_cut_off(folder, monkeypatch):
    ours, _ = folder
    monkeypatch.setattr(server, "IO_TIMEOUT_S", 0.3)

    async def much(*_):
        return Response(200, {"much": "x" * 20_000_000})

    async def scenario():
        async with Serving(ours, much) as s:
            tls = pki.tls_context(ours / "ca.crt", ours / "kari", server=False)
            _, writer = await asyncio.open_connection(*s.server.address, ssl=tls, limit=1024)
            writer.write(b"GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n")
            await until(lambda: s.server.connection_count)
            await until(lambda: not s.server.connection_count)
            writer.transport.abort()

    run(scenario())


def test_a_silent_agent_is_given_up_in_time(folder):
    ours, _ = folder

    async def never(*_):
        await asyncio.sleep(3600)

    async def scenario():
        async with Serving(ours, never) as s:
            with pytest.raises(CallError, match=r"no answer within 0\.2 s"):
                await ask(s, ours, ours / "kari", within=0.2)

    run(scenario())


def test_connections_are_bounded(folder, monkeypatch):
    ours, _ = folder
    monkeypatch.setattr(server, "MAX_CONNECTIONS", 3)

    async def scenario():
        async with Serving(ours) as s:
            tls = pki.tls_context(ours / "ca.crt", ours / "kari", server=False)
            held = [await asyncio.open_connection(*s.server.address, ssl=tls) for _ in range(3)]
            await until(lambda: s.server.connection_count == 3)
            with pytest.raises(CallError):
                await ask(s, ours, ours / "kari")
            for _, writer in held:
                writer.transport.abort()
            await until(lambda: not s.server.connection_count)
            assert (await ask(s, ours, ours / "kari"))[0] == 200

    run(scenario())


def test_an_authority_is_made_once_and_keys_are_the_owners(folder):
    ours, _ = folder
    with pytest.raises(PkiError, match="already exists"):
        pki.create_authority(ours, FLEET)
    with pytest.raises(PkiError, match="already exists"):
        pki.issue_certificate(
            ours, Identity(FLEET, IdentityKind.OPERATOR, "kari", Role.WRITE), ours / "kari"
        )
    assert (ours / "ca.key").stat().st_mode & 0o777 == 0o600
    assert pki.certificate_days_left(ours / "kari.crt") > 390
    assert pki.certificate_days_left(ours / "late.crt") < 0


def test_a_fault_is_told_and_ends_nothing(folder):
    ours, _ = folder

    async def faulty(_who, _method, path, _body):
        if path == "/v1/bad":
            raise FleetMessageError("x", "y")
        raise RuntimeError("oh")

    async def scenario():
        async with Serving(ours, faulty) as s:
            assert await ask(s, ours, ours / "kari", EncodedRequest("GET", "/v1/bad", b"")) == (
                400,
                {"error": "x: expected y"},
            )
            assert (await ask(s, ours, ours / "kari"))[0] == 500

    run(scenario())
