"""Calls that fail for a moment beside those of a node's clients: accepts, logs, snapshots, states."""

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

PASSING = [errno.ENFILE, errno.ENOBUFS, errno.ECONNABORTED]


def fail_at_first(monkeypatch, owner, name: str, error: int, times: int = 3) -> list[int]:
    """Have a call fail a number of times; return a list that has one item for each."""
    failed: list[int] = []
    call = getattr(owner, name)

    def failing(*arguments, **named):
        if len(failed) < times:
            failed.append(error)
            raise OSError(error, os.strerror(error))
        return call(*arguments, **named)

    monkeypatch.setattr(owner, name, failing)
    return failed


@pytest.mark.parametrize("error", PASSING)
def test_operator_who_waits_through_failing_accepts_is_answered(monkeypatch, error):
    async def scenario():
        listener = OperatorListener(
            asyncio.get_running_loop(), ("127.0.0.1", 0), lambda _: b"YES\n"
        )
        listener.start()
        failed = fail_at_first(monkeypatch, socket.socket, "accept", error)
        reader, writer = await asyncio.open_connection(*listener.address)
        writer.write(b"HEALTH\n")
        assert await with_timeout(reader.read()) == b"YES\n"
        assert len(failed) == 3
        writer.close()
        listener.close()

    run(scenario())


@pytest.mark.parametrize("error", PASSING)
def test_connection_that_waits_through_a_supervisors_failing_accepts_is_dispatched(
    monkeypatch, error
):
    async def scenario():
        accepted = []
        acceptor = Acceptor(
            asyncio.get_running_loop(),
            [("127.0.0.1", 0)],
            has_capacity=lambda: True,
            dispatch=accepted.append,
        )
        acceptor.accept_while_capacity()
        failed = fail_at_first(monkeypatch, socket.socket, "accept", error)
        with socket.create_connection(acceptor.addresses[0]):
            await until(lambda: accepted)
        assert len(failed) == 3
        accepted[0].close()
        acceptor.close()

    run(scenario())


@pytest.mark.parametrize("error", PASSING)
def test_successor_that_waits_through_failing_accepts_is_heard(monkeypatch, tmp_path, error):
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as peer, RunningNode(peer) as node:
            predecessor = Predecessor(node.node, lambda *_: None, tmp_path / "node.sock")
            predecessor.listen()
            failed = fail_at_first(monkeypatch, socket.socket, "accept", error)
            successor = connect(tmp_path / "node.sock")
            assert successor is not None
            await until(lambda: len(failed) == 3)
            successor.send(b"no message of a hand-over")
            # It was accepted and read: what makes no sense ends the connection.
            await until(lambda: ended(successor))
            successor.close()
            predecessor.close()

    run(scenario())


def ended(sock: socket.socket) -> bool:
    """Whether the other end of a connection that does not block has closed it."""
    try:
        return sock.recv(100) == b""
    except BlockingIOError:
        return False
    except ConnectionResetError:
        return True


def test_agents_state_is_opened_once_the_disk_can_be_read(monkeypatch, tmp_path):
    monkeypatch.setattr(startup, "RETRY_S", 0.01)
    failed = fail_at_first(monkeypatch, os, "open", errno.EIO)
    store = retry_while_unavailable(lambda: Store(tmp_path / "state"))
    assert len(failed) == 3
    store.close()


def test_node_runs_without_a_log_that_can_not_be_opened(monkeypatch, tmp_path, caplog):
    caplog.set_level(logging.WARNING)
    fail_at_first(monkeypatch, Path, "open", errno.ENOSPC, times=1)
    with node_process._open_log(tmp_path / "n.log") as file:
        file.write(b"nobody reads this")
        assert file.name == os.devnull
    assert "runs without a log" in caplog.text
    with node_process._open_log(tmp_path / "n.log") as file:
        file.write(b"kept")
    assert (tmp_path / "n.log").read_bytes() == b"kept"


def test_members_snapshot_is_written_with_the_next_interval(monkeypatch, tmp_path):
    monkeypatch.setattr(peers_service, "SAVE_INTERVAL_S", 0.02)
    failed = fail_at_first(monkeypatch, snapshot, "save", errno.ENOSPC)
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
