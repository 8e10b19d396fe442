"""Transient errors of accept() for operators and hot restarts, and of opening or saving files."""

import asyncio
import errno
import logging
import os
import socket
from pathlib import Path

import pytest
from peers import RunningNode, ScriptedServer, reply, run, until, with_timeout

from oakbridge.agent import node_process, startup
from oakbridge.agent.startup import retry_while_unavailable
from oakbridge.agent.store import Store
from oakbridge.handover.predecessor import Predecessor
from oakbridge.handover.unix_socket import connect
from oakbridge.operators.listener import OperatorListener
from oakbridge.peers import service as peers_service
from oakbridge.peers import snapshot
from oakbridge.peers.service import MembershipService, ServiceOptions
from oakbridge.workers.acceptor import Acceptor

TRANSIENT_ACCEPT_ERRORS = [errno.ENFILE, errno.ENOBUFS, errno.ECONNABORTED]


def fail_first_calls(monkeypatch, owner, name: str, error: int, times: int = 3) -> list[int]:
    """Make the first calls of a function fail; return a list with one item for each failed call."""
    failed: list[int] = []
    call = getattr(owner, name)

    def failing(*arguments, **named):
        if len(failed) < times:
            failed.append(error)
            raise OSError(error, os.strerror(error))
        return call(*arguments, **named)

    monkeypatch.setattr(owner, name, failing)
    return failed


@pytest.mark.parametrize("error", TRANSIENT_ACCEPT_ERRORS)
def test_operators_command_is_answered_after_failed_accepts(monkeypatch, error):
    async def scenario():
        listener = OperatorListener(
            asyncio.get_running_loop(), ("127.0.0.1", 0), lambda _: b"YES\n"
        )
        listener.start()
        failed = fail_first_calls(monkeypatch, socket.socket, "accept", error)
        reader, writer = await asyncio.open_connection(*listener.address)
        writer.write(b"HEALTH\n")
        assert await with_timeout(reader.read()) == b"YES\n"
        assert len(failed) == 3
        writer.close()
        listener.close()

    run(scenario())


@pytest.mark.parametrize("error", TRANSIENT_ACCEPT_ERRORS)
def test_supervisor_dispatches_a_connection_after_failed_accepts(monkeypatch, error):
    async def scenario():
        accepted = []
        acceptor = Acceptor(
            asyncio.get_running_loop(),
            [("127.0.0.1", 0)],
            has_capacity=lambda: True,
            dispatch=accepted.append,
        )
        acceptor.accept_while_capacity()
        failed = fail_first_calls(monkeypatch, socket.socket, "accept", error)
        with socket.create_connection(acceptor.addresses[0]):
            await until(lambda: accepted)
        assert len(failed) == 3
        accepted[0].close()
        acceptor.close()

    run(scenario())


@pytest.mark.parametrize("error", TRANSIENT_ACCEPT_ERRORS)
def test_predecessor_accepts_its_successor_after_failed_accepts(monkeypatch, tmp_path, error):
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as server, RunningNode(server) as node:
            predecessor = Predecessor(node.node, lambda *_: None, tmp_path / "node.sock")
            predecessor.listen()
            failed = fail_first_calls(monkeypatch, socket.socket, "accept", error)
            successor = connect(tmp_path / "node.sock")
            assert successor is not None
            await until(lambda: len(failed) == 3)
            successor.send(b"no message of a hand-over")
            # The connection was accepted and read: an invalid message closes it.
            await until(lambda: is_closed_by_peer(successor))
            successor.close()
            predecessor.close()

    run(scenario())


def is_closed_by_peer(sock: socket.socket) -> bool:
    """Return whether the peer has closed a non-blocking connection."""
    try:
        return sock.recv(100) == b""
    except BlockingIOError:
        return False
    except ConnectionResetError:
        return True


def test_agents_state_is_opened_once_the_disk_is_readable(monkeypatch, tmp_path):
    monkeypatch.setattr(startup, "RETRY_INTERVAL_S", 0.01)
    failed = fail_first_calls(monkeypatch, os, "open", errno.EIO)
    store = retry_while_unavailable(lambda: Store(tmp_path / "state"))
    assert len(failed) == 3
    store.close()


def test_node_runs_without_a_log_file_that_can_not_be_opened(monkeypatch, tmp_path, caplog):
    caplog.set_level(logging.WARNING)
    fail_first_calls(monkeypatch, Path, "open", errno.ENOSPC, times=1)
    with node_process._open_log(tmp_path / "n.log") as file:
        file.write(b"nobody reads this")
        assert file.name == os.devnull
    assert "runs without a log" in caplog.text
    with node_process._open_log(tmp_path / "n.log") as file:
        file.write(b"kept")
    assert (tmp_path / "n.log").read_bytes() == b"kept"


def test_snapshot_of_members_is_written_after_failures_at_a_later_interval(monkeypatch, tmp_path):
    monkeypatch.setattr(peers_service, "SAVE_INTERVAL_S", 0.02)
    failed = fail_first_calls(monkeypatch, snapshot, "save", errno.ENOSPC)
    path = tmp_path / "members"

    async def scenario():
        options = ServiceOptions("n1", ("127.0.77.9", 0), b"s" * 16, snapshot_path=path)
        service = MembershipService(options, lambda: None)
        await service.start()
        await until(path.exists)
        await service.stop()

    run(scenario())
    assert len(failed) == 3
    assert snapshot.load(path).generation > 0
