"""The control socket's bytes, held by fixtures that the program wrote before its names were changed.

Each fixture is a conversation with one node: a line after ``> `` is sent, the line after ``< `` must come back.
"""

import asyncio
import os
import time
from pathlib import Path
from types import SimpleNamespace

import pytest
from peers import run, with_timeout

from oakbridge.control import handler, protocol
from oakbridge.control.errors import RequestRejectedError
from oakbridge.control.handler import NodeControlHandler
from oakbridge.control.protocol import ControlCommand
from oakbridge.control.server import ControlServer
from oakbridge.policy.view import BalancerView, ServerView
from oakbridge.sources.file_source import FileOptions, FileSource
from oakbridge.sources.inline_source import InlineSource

FIXTURES = Path(__file__).parent / "fixtures"

# What the command line asks, in the order of the fixture ``asked.txt``.
ASKED = [
    ("status", {"rows": 40}),
    ("status", {}),
    ("servers.accept", {"digest": "4b2f"}),
    ("servers.look", {}),
    ("peers", {}),
    ("peers.why", {"name": "edge-2"}),
    ("sites", {}),
    ("sites.why", {"site": "north"}),
    ("sites.operate", {"site": "north", "out": True, "by": "kim"}),
    ("spread", {}),
]

VIEW = BalancerView(
    list_version=12,
    servers=3,
    subset_size=2,
    ejected=1,
    in_flight=4,
    limit=32.5,
    waiting=1,
    open_requests=6,
    retries_left=10.25,
    attempts_per_s=81.3,
    failure_rate=0.0125,
    rows=[
        ServerView(
            name="s1",
            state="up",
            zone="a",
            address="10.0.0.1:9000",
            is_in_subset=True,
            in_flight=3,
            ejected_for_s=0.0,
            capacity_share=1.0,
            slowness=0.75,
            max_in_flight=None,
            since_version=1,
        ),
        ServerView(
            name="s2",
            state="ejected",
            zone="b",
            address="10.0.0.2:9000",
            is_in_subset=False,
            in_flight=1,
            ejected_for_s=2.5,
            capacity_share=0.25,
            slowness=1.5,
            max_in_flight=7.5,
            since_version=12,
        ),
    ],
)


class HeldMembers:
    def describe(self):
        return {"name": "edge-1", "members": [{"name": "edge-2", "state": "alive"}]}

    def state_history(self, name):
        return {"edge-2": [{"ago_s": 1.5, "before": "", "after": "alive"}]}[name]


class HeldSites:
    def describe(self):
        return {"name": "edge-1", "home": "north", "sites": []}

    def state_history(self, name):
        return {"north": [{"ago_s": 2.5, "before": "well", "after": "lost"}]}[name]

    def drain_or_return(self, site, drain, operator):
        return {"site": site, "out": drain, "stamp": 1_700_000_000_000, "by": operator}


class HeldSpread:
    def describe(self):
        return {"name": "edge-1", "rings": 2, "servers": []}


def node(source, *, ready):
    return SimpleNamespace(
        balancer=None,
        clock=SimpleNamespace(now=lambda: 7_000_000),
        source=source,
        config=SimpleNamespace(name="edge-1"),
        server=SimpleNamespace(
            addresses=[("127.0.0.1", 8080), ("127.0.0.1", 8081)],
            shutting_down=not ready,
            connection_count=lambda: 5,
        ),
        pool=SimpleNamespace(connection_count=9),
        served=1000,
        rejected=20,
        failed=3,
        has_usable_server=lambda: True,
    )


def node_with_all():
    saved = FIXTURES / "sources" / "saved.list"
    source = FileSource(
        FileOptions(Path("/srv/servers.json"), saved_path=saved), now=lambda: 1_700_000_000_000_000
    )
    return NodeControlHandler(
        node(source, ready=True), "c0ffee", HeldMembers(), HeldSites(), HeldSpread()
    )


def node_alone():
    return NodeControlHandler(node(InlineSource([]), ready=False))


@pytest.fixture
def stopped_clock(monkeypatch):
    """A moment that stands still, in one process with one version, that holds ``VIEW``."""
    monkeypatch.setattr(time, "time", lambda: 1_700_000_000.0)
    monkeypatch.setattr(os, "getpid", lambda: 4321)
    monkeypatch.setattr(handler, "__version__", "0.3.0")
    monkeypatch.setattr(handler, "balancer_view", lambda balancer, now, rows: VIEW)


def conversation(name):
    lines = (FIXTURES / "control" / name).read_bytes().splitlines(keepends=True)
    return [(sent[2:], answer[2:]) for sent, answer in zip(lines[::2], lines[1::2], strict=True)]


@pytest.mark.parametrize(("name", "make"), [("all.txt", node_with_all), ("alone.txt", node_alone)])
def test_each_request_gets_the_same_bytes(tmp_path, stopped_clock, name, make):
    async def scenario():
        server = ControlServer(tmp_path / "n.sock", make().handle)
        await server.start()
        try:
            reader, writer = await asyncio.open_unix_connection(str(tmp_path / "n.sock"))
            for sent, answer in conversation(name):
                writer.write(sent)
                assert await with_timeout(reader.readline()) == answer
            writer.close()
        finally:
            server.close()

    run(scenario())


def test_the_command_lines_requests_are_the_same_bytes():
    lines = (FIXTURES / "control" / "asked.txt").read_bytes().splitlines(keepends=True)
    assert [
        protocol.encode_request(ControlCommand(do), arguments) for do, arguments in ASKED
    ] == lines
    for (do, arguments), line in zip(ASKED, lines, strict=True):
        read = protocol.decode_request(line.strip())
        assert (read.command, read.arguments) == (do, arguments)


def test_answers_are_read():
    answers = dict(conversation("alone.txt"))
    told = protocol.decode_response(answers[b'{"v":1,"do":"status"}\n'])
    assert (told["name"], told["rows"][1]["cap"], told["source"]) == (
        "edge-1",
        7.5,
        {"kind": "inline"},
    )
    with pytest.raises(
        RequestRejectedError, match=r"^this node divides no servers: .* no \[spread\]$"
    ):
        protocol.decode_response(answers[b'{"v":1,"do":"spread"}\n'])
