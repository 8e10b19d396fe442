"""What is left of closed connections in the node's memory."""

import asyncio
import gc

import pytest
from peers import RunningNode, ScriptedServer, reply, run, until, with_timeout
from raw_server import head

from oakbridge.node.client_connection import ClientConnection
from oakbridge.node.request_parser import RequestParser
from oakbridge.node.response_parser import ResponseParser
from oakbridge.node.server_connection import ServerConnection


@pytest.fixture
def _no_collection():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def connection_objects() -> int:
    kinds = (ClientConnection, ServerConnection, RequestParser, ResponseParser)
    return sum(isinstance(item, kinds) for item in gc.get_objects())


# Guards against memory that closed connections keep until reference cycles are collected.
@pytest.mark.usefixtures("_no_collection")
@pytest.mark.parametrize("raw", [head("GET", priority_class="look"), head("GET")[:-2], b"x y\r\n"])
def test_closed_connection_is_released_without_a_collection_of_cycles(raw):
    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200, b"", "Connection: close")) as server,
            RunningNode(server) as node,
        ):
            client = await node.client()
            client.writer.write(raw)
            await until(lambda: node.node.server.limits.connections)
            if raw.endswith(b"\r\n\r\n"):
                await with_timeout(server.requests.get())
                assert (await client.read_response())[0] == 200
            assert connection_objects() > 0
            client.close()
            await until(lambda: not node.node.server.limits.connections)
            await until(lambda: not node.node.pool.connection_count)
            await asyncio.sleep(0.1)  # callbacks of the event loop that end then
            assert connection_objects() == 0

    run(scenario())
