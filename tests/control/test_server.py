"""The control socket's server and client: access, invalid input, limits, and stale sockets."""

import asyncio
import socket
import stat
from pathlib import Path

import pytest
from peers import run, until, with_timeout

from oakbridge.control.client import ControlClient
from oakbridge.control.errors import NodeUnreachableError, RequestRejectedError, SocketInUseError
from oakbridge.control.protocol import ControlCommand
from oakbridge.control.server import MAX_CONNECTIONS, ControlServer


@pytest.fixture
def path(tmp_path):
    return tmp_path / "n.sock"


def echo_arguments(request):
    return request.arguments


def echo_server(path: Path) -> ControlServer:
    return ControlServer(path, echo_arguments)


async def send_request(path: Path, **arguments):
    """Send a request from a thread and return its result."""

    def send_and_wait():
        with ControlClient(path) as client:
            return client.request(ControlCommand.STATUS, **arguments)

    return await asyncio.to_thread(send_and_wait)


def test_only_the_owner_may_use_the_socket(tmp_path):
    path = tmp_path / "run" / "n.sock"

    async def scenario():
        async with echo_server(path):
            assert stat.S_IMODE(path.stat().st_mode) == 0o600
            assert stat.S_IMODE(path.parent.stat().st_mode) == 0o700
            assert await send_request(path, a=1) == {"a": 1}
        assert not path.exists()

    run(scenario())


def test_stale_socket_is_replaced_and_socket_of_a_running_node_is_not(path):
    with socket.socket(socket.AF_UNIX) as stale:
        stale.bind(str(path))

    async def scenario():
        async with echo_server(path):
            with pytest.raises(SocketInUseError, match="another node listens on this socket"):
                await echo_server(path).start()
            assert await send_request(path) == {}

    run(scenario())


def test_another_kind_of_file_at_the_path_is_kept(path):
    path.write_text("precious")

    async def scenario():
        with pytest.raises(SocketInUseError, match="got another kind of file"):
            await echo_server(path).start()

    run(scenario())
    assert path.read_text() == "precious"


def test_exception_in_the_handler_is_reported_and_the_server_continues(path):
    def fail_on_arguments(request):
        if request.arguments:
            raise RuntimeError("x")
        return "fine"

    async def scenario():
        async with ControlServer(path, fail_on_arguments):
            with pytest.raises(RequestRejectedError, match="RuntimeError"):
                await send_request(path, a=1)
            assert await send_request(path) == "fine"

    run(scenario())


def test_invalid_input_gets_an_error_and_the_server_continues(path):
    async def scenario():
        async with echo_server(path):
            for invalid_line in (b"x" * 100_000 + b"\n", b"\xff\xfe\n"):
                reader, writer = await asyncio.open_unix_connection(str(path))
                writer.write(invalid_line)
                assert b'"ok":false' in await with_timeout(reader.readline())
                writer.close()
            assert await send_request(path) == {}

    run(scenario())


def test_the_number_of_connections_is_limited(path):
    async def scenario():
        async with echo_server(path) as server:
            connections = [
                await asyncio.open_unix_connection(str(path)) for _ in range(MAX_CONNECTIONS)
            ]
            await until(lambda: server.connection_count == MAX_CONNECTIONS)
            reader, _ = await asyncio.open_unix_connection(str(path))
            assert await with_timeout(reader.read()) == b""
            for _, writer in connections:
                writer.close()
            await until(lambda: server.connection_count == 0)
            assert await send_request(path) == {}

    run(scenario())


def test_missing_node_is_an_error_and_no_file_is_created(tmp_path, path):
    with pytest.raises(NodeUnreachableError, match="no node answers there"):
        ControlClient(path)
    assert list(tmp_path.iterdir()) == []
