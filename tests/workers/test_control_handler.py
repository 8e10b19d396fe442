"""The control socket of a node of several workers, with fake workers' sockets."""

import contextlib
import json
from pathlib import Path

import pytest
from peers import run

from oakbridge.control.arguments import StatusArguments
from oakbridge.control.errors import RequestRejectedError
from oakbridge.control.paths import worker_socket_path
from oakbridge.control.protocol import ControlCommand, Request, decode_response
from oakbridge.control.server import ControlServer
from oakbridge.workers.connection_balancer import ConnectionBalancer
from oakbridge.workers.control_handler import WorkersControlHandler
from oakbridge.workers.pool import WorkerPool

FIXTURES = Path(__file__).parents[1] / "formats" / "fixtures"


def node_status():
    """Return the status in the control socket's fixture."""
    lines = (FIXTURES / "control" / "all.txt").read_bytes().splitlines()
    return decode_response(lines[1].removeprefix(b"< "))


def handle_as_worker(request):
    match request.command:
        case ControlCommand.STATUS:
            StatusArguments.decode(request.arguments)
            return node_status()
        case ControlCommand.FETCH_SERVER_LIST:
            return {"source": {"kind": "file"}}
        case _:
            raise RequestRejectedError("no version is held")


async def handle(tmp_path, request, *, responding=(1, 2)):
    """Handle a request for two workers, of which those in ``responding`` have a socket."""
    path = tmp_path / "n.sock"
    handler = WorkersControlHandler(
        "n", [("127.0.0.1", 80)], path, WorkerPool(2), ConnectionBalancer(), None, started_at_s=0.0
    )
    async with contextlib.AsyncExitStack() as stack:
        for worker in responding:
            server = ControlServer(worker_socket_path(path, worker), handle_as_worker)
            await stack.enter_async_context(server)
        return await handler.handle(request)


def execute(tmp_path, command, *, responding=(1, 2), **arguments):
    return run(handle(tmp_path, Request(command, arguments), responding=responding))


def test_status_covers_all_workers(tmp_path):
    status = execute(tmp_path, ControlCommand.STATUS)
    assert status["name"] == "n"
    assert status["listen"] == ["127.0.0.1:80"]
    assert status["crashes"] == {1: 0, 2: 0}
    assert status["callers"] == 2 * node_status()["callers"]
    assert [worker["worker"] for worker in status["workers"]] == [1, 2]
    json.dumps(status)


def test_status_gives_the_reason_why_a_worker_has_none(tmp_path):
    first, second = execute(tmp_path, ControlCommand.STATUS, responding=(1,))["workers"]
    assert "pid" in first
    assert second["problem"].startswith(f"stopped: {tmp_path / 'n.2.sock'}: no node answers there")


@pytest.mark.parametrize("rows", [-1, "3", 100_001])
def test_status_has_the_error_of_each_worker_that_rejects_the_rows(tmp_path, rows):
    status = execute(tmp_path, ControlCommand.STATUS, rows=rows)
    assert status["rows"] == []
    for worker in status["workers"]:
        assert (
            worker["problem"]
            == f"stopped: rows: expected a whole number from 0 to 100000, got {rows!r}"
        )


def test_rows_that_are_no_number_raise_an_error(tmp_path):
    with pytest.raises(ValueError, match="'x'"):
        execute(tmp_path, ControlCommand.STATUS, rows="x")


def test_command_is_executed_by_every_worker(tmp_path):
    assert execute(tmp_path, ControlCommand.FETCH_SERVER_LIST) == {"source": {"kind": "file"}}


def test_command_is_rejected_if_any_worker_rejects_it_or_does_not_respond(tmp_path):
    with pytest.raises(RequestRejectedError) as rejected:
        execute(tmp_path, ControlCommand.ACCEPT_SERVER_LIST, responding=(1,), digest="")
    first, second = str(rejected.value).split("; ")
    assert first == "worker 1: stopped: no version is held"
    assert second.startswith("worker 2: stopped: ")
    assert "no node answers there" in second


def test_node_without_peers_rejects_a_command_about_peers(tmp_path):
    with pytest.raises(RequestRejectedError, match=r"has no \[peers\]"):
        execute(tmp_path, ControlCommand.PEERS)
