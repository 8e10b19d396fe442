"""Operators' calls on a running node: each over a socket, beside callers and servers."""

import asyncio
import contextlib
import json

import pytest
from peers import SETTINGS, Peer, Running, endpoint, listing, reply, run, soon

from oakbridge.node import lifecycle
from oakbridge.node.config import load_config
from oakbridge.node.listing import ConfigError, parse
from oakbridge.operators import listener as listening
from oakbridge.operators.calls import answer
from oakbridge.operators.desk import NodeDesk
from oakbridge.operators.listener import PLACES, Listener


class Desk:
    """The operators' address of a node in this process."""

    def __init__(self, node) -> None:
        self.node = node

    async def __aenter__(self) -> "Desk":
        desk = NodeDesk(self.node, started=True)
        loop = asyncio.get_running_loop()
        self.listener = Listener(loop, ("127.0.0.1", 0), lambda line: answer(desk, line))
        self.listener.start()
        return self

    async def __aexit__(self, *_) -> None:
        self.listener.close()

    async def open(self):
        return await asyncio.open_connection(*self.listener.address)

    async def call(self, line: bytes) -> bytes:
        reader, writer = await self.open()
        writer.write(line)
        said = await soon(reader.read())
        writer.close()
        return said


async def asked(caller, **extra) -> int:
    caller.send(**extra)
    return (await caller.answer())[0]


def test_server_taken_out_gets_nothing_until_it_is_put_back_whatever_lists_say():
    async def scenario():
        async with Peer(lambda _: reply(200)) as a, Peer(lambda _: reply(200)) as b, Running(a, b) as node:  # noqa: SIM117
            async with Desk(node.node) as desk:
                caller = await node.caller()
                assert (await desk.call(b"OFFLINE s-9\n")).startswith(b"NO ")
                assert (await desk.call(b"OFFLINE s-0\r\n")).startswith(b"YES ")
                assert (await desk.call(b"offline s-0\n")).startswith(b"YES ")
                again = listing(2, endpoint("s-0", a.port), endpoint("s-1", b.port))
                for known in (None, again, listing(3, endpoint("s-0", a.port, since_ms=5), whole=False)):
                    if known is not None:
                        node.node.listed(parse(known))
                    assert [await asked(caller) for _ in range(10)] == [200] * 10
                assert a.seen.qsize() == 0
                assert (await desk.call(b"ONLINE s-0\n")).startswith(b"YES ")
                while not a.seen.qsize():
                    assert await asked(caller) == 200
                assert (await desk.call(b"ONLINE s-0\n")).startswith(b"YES ")
                assert (await desk.call(b"ONLINE s-9\n")).startswith(b"NO ")

    run(scenario())


def test_last_server_may_be_taken_out_and_requests_are_refused_at_once():
    async def scenario():
        async with Peer(lambda _: reply(200)) as a, Running(a) as node, Desk(node.node) as desk:
            caller = await node.caller()
            assert (await desk.call(b"OFFLINE s-0\n")).startswith(b"YES ")
            assert (await desk.call(b"HEALTH\n")).startswith(b"YES ")
            began = asyncio.get_running_loop().time()
            assert await asked(caller, X_Timeout="2000m") == 503
            assert asyncio.get_running_loop().time() - began < 1
            assert (await desk.call(b"ONLINE s-0\n")).startswith(b"YES ")
            while await asked(caller) != 200:  # it counts as cold: how soon it gets one is the module's
                pass

    run(scenario())


def test_drained_node_serves_who_comes_closes_after_answers_and_joins_again(monkeypatch):
    monkeypatch.setattr(lifecycle, "DRAIN_NOTICE_US", 150_000)

    async def scenario():
        async def held():
            await a.release.wait()
            return reply(200)

        async with Peer(lambda s: held() if s.url == "/held" else reply(200)) as a, Running(a) as node:  # noqa: SIM117
            async with Desk(node.node) as desk:
                kept, idle, busy = [await node.caller() for _ in range(3)]
                assert [await asked(kept), await asked(idle)] == [200, 200]
                busy.send(url="/held")
                assert (await desk.call(b"LEAVE\n")).startswith(b"YES ")
                assert (await desk.call(b"LEAVE\n")).startswith(b"YES ")
                assert await asked(kept, url="/-/ready") == 503
                late = await node.caller()
                assert await asked(late) == 200
                assert await idle.ended() == b""
                assert await kept.ended() == b""
                later = await node.caller()
                later.send()
                status, headers, _ = await later.answer()
                assert (status, headers["connection"]) == (200, "close")
                a.release.set()
                status, headers, _ = await busy.answer()
                assert (status, headers["connection"]) == (200, "close")
                assert (await desk.call(b"HEALTH\n")).startswith(b"YES ")
                assert (await desk.call(b"JOIN\n")).startswith(b"YES ")
                again = await node.caller()
                assert await asked(again, url="/-/ready") == 200
                assert await asked(again) == 200
                assert (await desk.call(b"JOIN\n")).startswith(b"YES ")

    run(scenario())


def test_calls_are_answered_beside_those_who_hold_connections_with_no_whole_line(monkeypatch):
    monkeypatch.setattr(listening, "PATIENCE_S", 0.5)

    async def scenario():
        async with Peer(lambda _: reply(200)) as a, Running(a) as node, Desk(node.node) as desk:
            holders = [await desk.open() for _ in range(3 * PLACES)]
            for _, writer in holders[::2]:
                writer.write(b"OFFLINE s-")
            assert (await desk.call(b"HEALTH\n")).startswith(b"YES ")
            assert len(desk.listener._calls) <= PLACES
            for reader, writer in holders:
                with contextlib.suppress(ConnectionError):  # it has made room
                    assert await soon(reader.read()) == b""  # or is closed after its time
                writer.close()
            assert (await desk.call(b"x" * 100_000)).startswith(b"NO expected a line of at most")
            assert (await desk.call(b"HEALTH\nHEALTH\n")).startswith(b"NO expected one line")

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
        async with Peer(lambda _: reply(200)) as a, Running(a) as node:
            node.node.config = load_config(given)
            caller = await node.caller()
            assert await asked(caller, klass="look") == 200
            path.write_text(broken)
            with pytest.raises(ConfigError) as e:
                node.node.reload(load_config(given, node.node.config))
            assert "\n" not in str(e.value)
            assert await asked(caller, klass="look") == 200
            changed = SETTINGS | {"classes": [new_class]}
            path.write_text(json.dumps(base | {"settings": changed}))
            node.node.reload(load_config(given, node.node.config))
            assert await asked(caller, klass="fresh") == 200
            assert await asked(caller, klass="look") == 400

    run(scenario())
