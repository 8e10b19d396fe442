"""The control socket's bytes must equal those in fixtures, written by an earlier version.

Names in the code can change without a change of the bytes.  Each fixture is a conversation with one
node: the test sends a line that begins with ``> `` and expects the line after it, which begins with
``< ``.
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

# The command line's requests, in the order of the fixture ``asked.txt``.
COMMAND_LINE_REQUESTS = [
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


class FakePeers:
    def describe(self):
        return {"name": "edge-1", "members": [{"name": "edge-2", "state": "alive"}]}

    def state_history(self, name):
        return {"edge-2": [{"ago_s": 1.5, "before": "", "after": "alive"}]}[name]


class FakeSites:
    def describe(self):
        return {"name": "edge-1", "home": "north", "sites": []}

    def state_history(self, name):
        return {"north": [{"ago_s": 2.5, "before": "well", "after": "lost"}]}[name]

    def drain_or_return(self, site, drain, operator):
        return {"site": site, "out": drain, "stamp": 1_700_000_000_000, "by": operator}


class FakeSpread:
    def describe(self):
        return {"name": "edge-1", "rings": 2, "servers": []}


def fake_node(source, *, ready):
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


def handler_with_all_services():
    saved_path = FIXTURES / "sources" / "saved.list"
    source = FileSource(
        FileOptions(Path("/srv/servers.json"), saved_path=saved_path),
        now=lambda: 1_700_000_000_000_000,
    )
    return NodeControlHandler(
        fake_node(source, ready=True), "c0ffee", FakePeers(), FakeSites(), FakeSpread()
    )


def handler_without_services():
    return NodeControlHandler(fake_node(InlineSource([]), ready=False))


@pytest.fixture
def fixed_environment(monkeypatch):
    """A fixed time, pid and version, and ``VIEW`` as the balancer's view."""
    monkeypatch.setattr(time, "time", lambda: 1_700_000_000.0)
    monkeypatch.setattr(os, "getpid", lambda: 4321)
    monkeypatch.setattr(handler, "__version__", "0.3.0")
    monkeypatch.setattr(handler, "balancer_view", lambda balancer, now, rows: VIEW)


def conversation(name):
    """Return the requests and responses in a fixture, without their prefixes."""
    lines = (FIXTURES / "control" / name).read_bytes().splitlines(keepends=True)
    return [
        (request[2:], response[2:])
        for request, response in zip(lines[::2], lines[1::2], strict=True)
    ]


@pytest.mark.parametrize(
    ("name", "make_handler"),
    [("all.txt", handler_with_all_services), ("alone.txt", handler_without_services)],
)
def test_each_request_gets_the_same_bytes(tmp_path, fixed_environment, name, make_handler):
    async def scenario():
        server = ControlServer(tmp_path / "n.sock", make_handler().handle)
        await server.start()
        try:
            reader, writer = await asyncio.open_unix_connection(str(tmp_path / "n.sock"))
            for request, response in conversation(name):
                writer.write(request)
                assert await with_timeout(reader.readline()) == response
            writer.close()
        finally:
            server.close()

    run(scenario())


def test_the_command_lines_requests_are_the_same_bytes():
    lines = (FIXTURES / "control" / "asked.txt").read_bytes().splitlines(keepends=True)
    assert [
        protocol.encode_request(ControlCommand(command), arguments)
        for command, arguments in COMMAND_LINE_REQUESTS
    ] == lines
    for (command, arguments), line in zip(COMMAND_LINE_REQUESTS, lines, strict=True):
        request = protocol.decode_request(line.strip())
        assert (request.command, request.arguments) == (command, arguments)


def test_responses_in_a_fixture_are_decoded():
    responses = dict(conversation("alone.txt"))
    status = protocol.decode_response(responses[b'{"v":1,"do":"status"}\n'])
    assert (status["name"], status["rows"][1]["cap"], status["source"]) == (
        "edge-1",
        7.5,
        {"kind": "inline"},
    )
    with pytest.raises(
        RequestRejectedError, match=r"^this node divides no servers: .* no \[spread\]$"
    ):
        protocol.decode_response(responses[b'{"v":1,"do":"spread"}\n'])
