"""Operators' commands over a socket to a node that serves clients' requests."""

import asyncio
import contextlib
import json

import pytest
from peers import SETTINGS, RunningNode, ScriptedServer, endpoint, listing, reply, run, with_timeout

from oakbridge.node import lifecycle
from oakbridge.node.config import load_config
from oakbridge.node.endpoint_list_json import parse_endpoint_list
from oakbridge.node.errors import ConfigError
from oakbridge.operators import listener
from oakbridge.operators.executor import NodeCommandExecutor
from oakbridge.operators.listener import MAX_CONNECTIONS, OperatorListener
from oakbridge.operators.protocol import respond


class OperatorAddress:
    """A listener for operators' commands on a node in this process, and connections to it."""

    def __init__(self, node) -> None:
        self.node = node

    async def __aenter__(self) -> "OperatorAddress":
        executor = NodeCommandExecutor(self.node, is_started=True)
        loop = asyncio.get_running_loop()
        self.listener = OperatorListener(
            loop, ("127.0.0.1", 0), lambda line: respond(line, executor.execute)
        )
        self.listener.start()
        return self

    async def __aexit__(self, *_) -> None:
        self.listener.close()

    async def connect(self):
        return await asyncio.open_connection(*self.listener.address)

    async def send_command(self, line: bytes) -> bytes:
        reader, writer = await self.connect()
        writer.write(line)
        response = await with_timeout(reader.read())
        writer.close()
        return response


async def status_of_request(client, **extra) -> int:
    client.send(**extra)
    return (await client.read_response())[0]


def test_offline_server_gets_no_request_until_online_whatever_endpoint_lists_contain():
    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as first,
            ScriptedServer(lambda _: reply(200)) as second,
            RunningNode(first, second) as node,
            OperatorAddress(node.node) as operators,
        ):
            client = await node.client()
            assert (await operators.send_command(b"OFFLINE s-9\n")).startswith(b"NO ")
            assert (await operators.send_command(b"OFFLINE s-0\r\n")).startswith(b"YES ")
            assert (await operators.send_command(b"offline s-0\n")).startswith(b"YES ")
            same_list = listing(2, endpoint("s-0", first.port), endpoint("s-1", second.port))
            for endpoint_list in (
                None,
                same_list,
                listing(3, endpoint("s-0", first.port, since_ms=5), is_complete=False),
            ):
                if endpoint_list is not None:
                    node.node.endpoints.on_endpoint_list(parse_endpoint_list(endpoint_list))
                assert [await status_of_request(client) for _ in range(10)] == [200] * 10
            assert first.requests.qsize() == 0
            assert (await operators.send_command(b"ONLINE s-0\n")).startswith(b"YES ")
            while not first.requests.qsize():
                assert await status_of_request(client) == 200
            assert (await operators.send_command(b"ONLINE s-0\n")).startswith(b"YES ")
            assert (await operators.send_command(b"ONLINE s-9\n")).startswith(b"NO ")

    run(scenario())


def test_last_server_can_be_taken_offline_and_requests_are_rejected_immediately():
    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as server,
            RunningNode(server) as node,
            OperatorAddress(node.node) as operators,
        ):
            client = await node.client()
            assert (await operators.send_command(b"OFFLINE s-0\n")).startswith(b"YES ")
            assert (await operators.send_command(b"HEALTH\n")).startswith(b"YES ")
            started_at = asyncio.get_running_loop().time()
            assert await status_of_request(client, X_Timeout="2000m") == 503
            assert asyncio.get_running_loop().time() - started_at < 1
            assert (await operators.send_command(b"ONLINE s-0\n")).startswith(b"YES ")
            # The server counts as cold, and the policy decides how soon it gets a request.
            while await status_of_request(client) != 200:
                pass

    run(scenario())


def test_draining_node_serves_requests_closes_connections_and_can_be_undrained(monkeypatch):
    monkeypatch.setattr(lifecycle, "DRAIN_NOTICE_US", 150_000)

    async def scenario():
        async def respond_when_released():
            await server.release.wait()
            return reply(200)

        async with (
            ScriptedServer(
                lambda request: respond_when_released() if request.url == "/held" else reply(200)
            ) as server,
            RunningNode(server) as node,
            OperatorAddress(node.node) as operators,
        ):
            active, idle, busy = [await node.client() for _ in range(3)]
            assert [await status_of_request(active), await status_of_request(idle)] == [200, 200]
            busy.send(url="/held")
            assert (await operators.send_command(b"LEAVE\n")).startswith(b"YES ")
            assert (await operators.send_command(b"LEAVE\n")).startswith(b"YES ")
            assert await status_of_request(active, url="/-/ready") == 503
            late = await node.client()
            assert await status_of_request(late) == 200
            assert await idle.read_until_close() == b""
            assert await active.read_until_close() == b""
            later = await node.client()
            later.send()
            status, headers, _ = await later.read_response()
            assert (status, headers["connection"]) == (200, "close")
            server.release.set()
            status, headers, _ = await busy.read_response()
            assert (status, headers["connection"]) == (200, "close")
            assert (await operators.send_command(b"HEALTH\n")).startswith(b"YES ")
            assert (await operators.send_command(b"JOIN\n")).startswith(b"YES ")
            after_drain = await node.client()
            assert await status_of_request(after_drain, url="/-/ready") == 200
            assert await status_of_request(after_drain) == 200
            assert (await operators.send_command(b"JOIN\n")).startswith(b"YES ")

    run(scenario())


def test_connections_with_incomplete_commands_do_not_delay_other_commands(monkeypatch):
    monkeypatch.setattr(listener, "LINE_TIMEOUT_S", 0.5)

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as server,
            RunningNode(server) as node,
            OperatorAddress(node.node) as operators,
        ):
            stalled = [await operators.connect() for _ in range(3 * MAX_CONNECTIONS)]
            for _, writer in stalled[::2]:
                writer.write(b"OFFLINE s-")
            assert (await operators.send_command(b"HEALTH\n")).startswith(b"YES ")
            assert operators.listener.connection_count <= MAX_CONNECTIONS
            for reader, writer in stalled:
                with contextlib.suppress(ConnectionError):  # closed above the limit
                    assert await with_timeout(reader.read()) == b""  # closed after the timeout
                writer.close()
            assert (await operators.send_command(b"x" * 100_000)).startswith(
                b"NO expected a line of at most"
            )
            assert (await operators.send_command(b"HEALTH\nHEALTH\n")).startswith(
                b"NO expected one line"
            )

    run(scenario())


@pytest.mark.parametrize(
    "broken",
    [
        "",
        "{",
        json.dumps({"settings": SETTINGS})[:200],
        json.dumps({}),
        json.dumps([1]),
        json.dumps(
            {"settings": {key: value for key, value in SETTINGS.items() if key != "allowed"}}
        ),
        json.dumps({"settings": SETTINGS | {"classes": []}}),
        json.dumps({"settings": SETTINGS | {"allowed": SETTINGS["allowed"] | {"max-attempts": 0}}}),
        json.dumps(
            {
                "settings": SETTINGS
                | {
                    "classes": [
                        *SETTINGS["classes"][:-1],
                        SETTINGS["classes"][-1] | {"deadline": 0},
                    ]
                }
            }
        ),
        json.dumps(
            {
                "settings": SETTINGS
                | {
                    "classes": [
                        {key: value for key, value in class_.items() if key != "aim"}
                        for class_ in SETTINGS["classes"]
                    ]
                }
            }
        ),
    ],
)
def test_reload_keeps_settings_for_invalid_file_and_applies_valid_file_immediately(
    tmp_path, broken
):
    new_class = SETTINGS["classes"][0] | {"name": "fresh"}
    base = {"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "1"}
    good = base | {"settings": SETTINGS}
    environment, path = {"NODE_CONFIG": str(tmp_path / "c.json")}, tmp_path / "c.json"
    path.write_text(json.dumps(good))

    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as server, RunningNode(server) as node:
            node.node.config = load_config(environment)
            client = await node.client()
            assert await status_of_request(client, priority_class="look") == 200
            path.write_text(broken)
            with pytest.raises(ConfigError) as raised:
                node.node.reload(load_config(environment, node.node.config))
            assert "\n" not in str(raised.value)
            assert await status_of_request(client, priority_class="look") == 200
            changed = SETTINGS | {"classes": [new_class]}
            path.write_text(json.dumps(base | {"settings": changed}))
            node.node.reload(load_config(environment, node.node.config))
            assert await status_of_request(client, priority_class="fresh") == 200
            assert await status_of_request(client, priority_class="look") == 400

    run(scenario())
