"""Operators' commands on a running node: each over a socket, beside clients and servers."""

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


class Operators:
    """The operators' address of a node in this process, and those who use it."""

    def __init__(self, node) -> None:
        self.node = node

    async def __aenter__(self) -> "Operators":
        executor = NodeCommandExecutor(self.node, is_started=True)
        loop = asyncio.get_running_loop()
        self.listener = OperatorListener(
            loop, ("127.0.0.1", 0), lambda line: respond(line, executor.execute)
        )
        self.listener.start()
        return self

    async def __aexit__(self, *_) -> None:
        self.listener.close()

    async def open(self):
        return await asyncio.open_connection(*self.listener.address)

    async def call(self, line: bytes) -> bytes:
        reader, writer = await self.open()
        writer.write(line)
        answer = await with_timeout(reader.read())
        writer.close()
        return answer


async def status_of_request(caller, **extra) -> int:
    caller.send(**extra)
    return (await caller.read_response())[0]


def test_server_taken_out_gets_nothing_until_it_is_put_back_whatever_lists_say():
    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as a,
            ScriptedServer(lambda _: reply(200)) as b,
            RunningNode(a, b) as node,
            Operators(node.node) as operators,
        ):
            caller = await node.client()
            assert (await operators.call(b"OFFLINE s-9\n")).startswith(b"NO ")
            assert (await operators.call(b"OFFLINE s-0\r\n")).startswith(b"YES ")
            assert (await operators.call(b"offline s-0\n")).startswith(b"YES ")
            again = listing(2, endpoint("s-0", a.port), endpoint("s-1", b.port))
            for known in (
                None,
                again,
                listing(3, endpoint("s-0", a.port, since_ms=5), is_complete=False),
            ):
                if known is not None:
                    node.node.endpoints.on_endpoint_list(parse_endpoint_list(known))
                assert [await status_of_request(caller) for _ in range(10)] == [200] * 10
            assert a.requests.qsize() == 0
            assert (await operators.call(b"ONLINE s-0\n")).startswith(b"YES ")
            while not a.requests.qsize():
                assert await status_of_request(caller) == 200
            assert (await operators.call(b"ONLINE s-0\n")).startswith(b"YES ")
            assert (await operators.call(b"ONLINE s-9\n")).startswith(b"NO ")

    run(scenario())


def test_last_server_may_be_taken_out_and_requests_are_refused_at_once():
    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as a,
            RunningNode(a) as node,
            Operators(node.node) as operators,
        ):
            caller = await node.client()
            assert (await operators.call(b"OFFLINE s-0\n")).startswith(b"YES ")
            assert (await operators.call(b"HEALTH\n")).startswith(b"YES ")
            began = asyncio.get_running_loop().time()
            assert await status_of_request(caller, X_Timeout="2000m") == 503
            assert asyncio.get_running_loop().time() - began < 1
            assert (await operators.call(b"ONLINE s-0\n")).startswith(b"YES ")
            while (
                await status_of_request(caller) != 200
            ):  # it counts as cold: how soon it gets one is the module's
                pass

    run(scenario())


def test_drained_node_serves_who_comes_closes_after_answers_and_joins_again(monkeypatch):
    monkeypatch.setattr(lifecycle, "DRAIN_NOTICE_US", 150_000)

    async def scenario():
        async def held():
            await a.release.wait()
            return reply(200)

        async with (
            ScriptedServer(lambda s: held() if s.url == "/held" else reply(200)) as a,
            RunningNode(a) as node,
            Operators(node.node) as operators,
        ):
            kept, idle, busy = [await node.client() for _ in range(3)]
            assert [await status_of_request(kept), await status_of_request(idle)] == [200, 200]
            busy.send(url="/held")
            assert (await operators.call(b"LEAVE\n")).startswith(b"YES ")
            assert (await operators.call(b"LEAVE\n")).startswith(b"YES ")
            assert await status_of_request(kept, url="/-/ready") == 503
            late = await node.client()
            assert await status_of_request(late) == 200
            assert await idle.read_until_close() == b""
            assert await kept.read_until_close() == b""
            later = await node.client()
            later.send()
            status, headers, _ = await later.read_response()
            assert (status, headers["connection"]) == (200, "close")
            a.release.set()
            status, headers, _ = await busy.read_response()
            assert (status, headers["connection"]) == (200, "close")
            assert (await operators.call(b"HEALTH\n")).startswith(b"YES ")
            assert (await operators.call(b"JOIN\n")).startswith(b"YES ")
            again = await node.client()
            assert await status_of_request(again, url="/-/ready") == 200
            assert await status_of_request(again) == 200
            assert (await operators.call(b"JOIN\n")).startswith(b"YES ")

    run(scenario())


def test_commands_are_answered_beside_connections_that_hold_half_a_line(monkeypatch):
    monkeypatch.setattr(listener, "LINE_TIMEOUT_S", 0.5)

    async def scenario():
        async with (
            ScriptedServer(lambda _: reply(200)) as a,
            RunningNode(a) as node,
            Operators(node.node) as operators,
        ):
            holders = [await operators.open() for _ in range(3 * MAX_CONNECTIONS)]
            for _, writer in holders[::2]:
                writer.write(b"OFFLINE s-")
            assert (await operators.call(b"HEALTH\n")).startswith(b"YES ")
            assert operators.listener.connection_count <= MAX_CONNECTIONS
            for reader, writer in holders:
                with contextlib.suppress(ConnectionError):  # it has made room
                    assert await with_timeout(reader.read()) == b""  # or is closed after its time
                writer.close()
            assert (await operators.call(b"x" * 100_000)).startswith(
                b"NO expected a line of at most"
            )
            assert (await operators.call(b"HEALTH\nHEALTH\n")).startswith(b"NO expected one line")

    run(scenario())


@pytest.mark.parametrize(
    "broken",
    [
        "", "{", json.dumps({"settings": SETTINGS})[:200], json.dumps({}), json.dumps([1]),
        json.dumps({"settings": {k: v for k, v in SETTINGS.items() if k != "allowed"}}),
        json.dumps({"settings": SETTINGS | {"classes": []}}),
        json.dumps({"settings": SETTINGS | {"allowed": SETTINGS["allowed"] | {"max-attempts": 0}}}),
        json.dumps({"settings": SETTINGS | {
            "classes": [*SETTINGS["classes"][:-1], SETTINGS["classes"][-1] | {"deadline": 0}]}}),
        json.dumps({"settings": SETTINGS | {
            "classes": [{k: v for k, v in c.items() if k != "aim"} for c in SETTINGS["classes"]]}}),
    ],
)  # fmt: skip
def test_broken_file_leaves_the_old_settings_whole_and_a_good_one_counts_at_once(tmp_path, broken):
    new_class = SETTINGS["classes"][0] | {"name": "fresh"}
    base = {"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "1"}
    good = base | {"settings": SETTINGS}
    given, path = {"NODE_CONFIG": str(tmp_path / "c.json")}, tmp_path / "c.json"
    path.write_text(json.dumps(good))

    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as a, RunningNode(a) as node:
            node.node.config = load_config(given)
            caller = await node.client()
            assert await status_of_request(caller, priority_class="look") == 200
            path.write_text(broken)
            with pytest.raises(ConfigError) as e:
                node.node.reload(load_config(given, node.node.config))
            assert "\n" not in str(e.value)
            assert await status_of_request(caller, priority_class="look") == 200
            changed = SETTINGS | {"classes": [new_class]}
            path.write_text(json.dumps(base | {"settings": changed}))
            node.node.reload(load_config(given, node.node.config))
            assert await status_of_request(caller, priority_class="fresh") == 200
            assert await status_of_request(caller, priority_class="look") == 400

    run(scenario())
