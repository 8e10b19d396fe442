"""The control socket: its wire, who may use it, and what is left of a node that died."""

import asyncio
import os
import socket
import stat
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from peers import run, soon

from oakbridge.control import protocol
from oakbridge.control.client import ControlClient, NodeUnreachableError
from oakbridge.control.server import MAX_CONNECTIONS, ControlServer, SocketInUseError


@given(st.binary(max_size=400), st.lists(st.integers(1, 50)))
@settings(derandomize=True)
def test_lines_come_out_however_the_bytes_come_in(data, sizes):
    lines, got, rest = protocol.LineSplitter(1000), [], data
    for size in [*sizes, len(data)]:
        got += lines.feed(rest[:size])
        rest = rest[size:]
    assert got == (data + rest).split(b"\n")[:-1]


def test_a_line_without_end_is_refused():
    lines = protocol.LineSplitter(10)
    lines.feed(b"12345")
    with pytest.raises(protocol.ProtocolError, match="at most 10"):
        lines.feed(b"678901")


@pytest.mark.parametrize(
    ("line", "says"),
    [
        (b"", "JSON object"), (b"[]", "JSON object"), (b'{"v": 2}', "v: expected 1"), (b"[" * 9999, "JSON object"),
        (b'{"v": 1}', "do: expected one of"), (b'{"v": 1, "do": ["x"]}', "do: expected one of"),
    ],
)  # fmt: skip
def test_a_request_that_is_none_is_named(line, says):
    with pytest.raises(protocol.ProtocolError, match=says):
        protocol.decode_request(line)


def test_requests_and_answers_go_round():
    request = protocol.decode_request(protocol.encode_request("status", {"rows": 3}).strip())
    assert (request.do, request.arguments) == ("status", {"rows": 3})
    assert protocol.decode_response(protocol.encode_response({"a": 1}).strip()) == {"a": 1}
    with pytest.raises(protocol.RequestRejectedError, match="no"):
        protocol.decode_response(protocol.encode_error("no").strip())


class Serving:
    def __init__(self, path: Path, handle=lambda request: request.arguments) -> None:
        self.server = ControlServer(path, handle)

    async def __aenter__(self) -> ControlServer:
        await self.server.start()
        return self.server

    async def __aexit__(self, *_) -> None:
        self.server.close()


async def ask(path: Path, do: str = "status", **arguments):
    def blocking():
        with ControlClient(path) as client:
            return client.ask(do, **arguments)

    return await asyncio.to_thread(blocking)


def test_only_the_owner_may_use_it(tmp_path):
    path = tmp_path / "run" / "n.sock"

    async def scenario():
        async with Serving(path):
            assert stat.S_IMODE(path.stat().st_mode) == 0o600
            assert stat.S_IMODE(path.parent.stat().st_mode) == 0o700
            assert await ask(path, a=1) == {"a": 1}
        assert not path.exists()

    run(scenario())


def test_a_dead_nodes_socket_is_taken_over_and_a_living_ones_is_not(tmp_path):
    path = tmp_path / "n.sock"
    with socket.socket(socket.AF_UNIX) as dead:
        dead.bind(str(path))

    async def scenario():
        async with Serving(path):
            with pytest.raises(SocketInUseError, match="another node"):
                await ControlServer(path, lambda _: None).start()
            assert await ask(path) == {}

    run(scenario())


def test_something_else_in_the_sockets_place_is_left_alone(tmp_path):
    path = tmp_path / "n.sock"
    path.write_text("precious")

    async def scenario():
        with pytest.raises(SocketInUseError, match="something else"):
            await ControlServer(path, lambda _: None).start()

    run(scenario())
    assert path.read_text() == "precious"


def test_a_fault_is_told_to_who_asked_and_ends_nothing(tmp_path):
    path = tmp_path / "n.sock"

    def handle(request):
        if request.arguments:
            raise RuntimeError("x")
        return "fine"

    async def scenario():
        async with Serving(path, handle):
            with pytest.raises(protocol.RequestRejectedError, match="RuntimeError"):
                await ask(path, a=1)
            assert await ask(path) == "fine"

    run(scenario())


def test_garbage_ends_its_connection_alone(tmp_path):
    path = tmp_path / "n.sock"

    async def scenario():
        async with Serving(path):
            for garbage in (b"x" * 100_000 + b"\n", b"\xff\xfe\n"):
                reader, writer = await asyncio.open_unix_connection(str(path))
                writer.write(garbage)
                assert b'"ok":false' in await soon(reader.readline())
                writer.close()
            assert await ask(path) == {}

    run(scenario())


def test_connections_are_bounded(tmp_path):
    path = tmp_path / "n.sock"

    async def scenario():
        async with Serving(path) as server:
            held = [await asyncio.open_unix_connection(str(path)) for _ in range(MAX_CONNECTIONS)]
            while len(server._open) < MAX_CONNECTIONS:
                await asyncio.sleep(0.01)
            reader, _ = await asyncio.open_unix_connection(str(path))
            assert await soon(reader.read()) == b""
            for _, writer in held:
                writer.close()
            while server._open:
                await asyncio.sleep(0.01)
            assert await ask(path) == {}

    run(scenario())


def test_nobody_there_is_one_line(tmp_path):
    with pytest.raises(NodeUnreachableError, match="no node answers there"):
        ControlClient(tmp_path / "nothing.sock")
    assert os.listdir(tmp_path) == []
