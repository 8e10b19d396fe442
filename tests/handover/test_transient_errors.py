"""Hand-overs during which system calls fail with transient errors."""

import asyncio
import errno
import os
import socket

import pytest
from peers import RunningNode, ScriptedServer, reply, run, until

from oakbridge.handover import predecessor as predecessor_module
from oakbridge.handover import unix_socket
from oakbridge.handover.channel import Channel
from oakbridge.handover.messages import Ready
from oakbridge.handover.predecessor import Predecessor
from oakbridge.handover.unix_socket import UnixListener, connect


class TransientFailure:
    """A function that raises an OSError a number of times before it calls the real one."""

    def __init__(self, call, error: int, times: int) -> None:
        self._call, self._error, self.failures_left = call, error, times

    def __call__(self, *arguments):
        if self.failures_left:
            self.failures_left -= 1
            raise OSError(self._error, os.strerror(self._error))
        return self._call(*arguments)


def test_message_arrives_after_transient_read_errors(monkeypatch):
    async def scenario():
        received, disconnects = [], []
        first, second = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        for sock in (first, second):
            sock.setblocking(False)
        loop = asyncio.get_running_loop()
        sender = Channel(loop, first, lambda *_: None, disconnects.append)
        receiver = Channel(
            loop, second, lambda _, message, __: received.append(message), disconnects.append
        )
        failing = TransientFailure(socket.recv_fds, errno.ENOMEM, 3)
        monkeypatch.setattr(socket, "recv_fds", failing)
        sender.send(Ready())
        await until(lambda: received)
        assert (received, disconnects, failing.failures_left) == ([Ready()], [], 0)
        sender.close()
        receiver.close()

    run(scenario())


def test_predecessor_listens_after_transient_errors(monkeypatch, tmp_path):
    monkeypatch.setattr(predecessor_module, "LISTEN_RETRY_S", 0.01)
    monkeypatch.setattr(
        predecessor_module, "UnixListener", TransientFailure(UnixListener, errno.ENOBUFS, 3)
    )

    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as server, RunningNode(server) as node:
            path = tmp_path / "node.sock"
            predecessor = Predecessor(node.node, lambda *_: None, path)
            predecessor.listen()
            assert not path.exists()
            await until(path.exists)
            predecessor.close()

    run(scenario())


def test_predecessor_that_is_closed_does_not_retry_to_listen(monkeypatch, tmp_path):
    monkeypatch.setattr(predecessor_module, "LISTEN_RETRY_S", 0.01)
    failing = TransientFailure(UnixListener, errno.ENOBUFS, 1)
    monkeypatch.setattr(predecessor_module, "UnixListener", failing)

    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as server, RunningNode(server) as node:
            predecessor = Predecessor(node.node, lambda *_: None, tmp_path / "node.sock")
            predecessor.listen()
            predecessor.close()
            await asyncio.sleep(0.05)
            assert not (tmp_path / "node.sock").exists()

    run(scenario())


@pytest.mark.parametrize(
    ("error", "times", "is_connected"),
    [
        (errno.ENOMEM, 3, True),
        (errno.EAGAIN, 3, True),
        (errno.ECONNREFUSED, 1, False),
        (errno.ENOMEM, 10_000, False),
    ],
)
def test_connect_is_retried_only_after_transient_errors_and_for_limited_time(
    monkeypatch, tmp_path, error, times, is_connected
):
    monkeypatch.setattr(unix_socket, "CONNECT_TIMEOUT_S", 0.3)
    monkeypatch.setattr(
        unix_socket, "_connect", TransientFailure(unix_socket._connect, error, times)
    )
    listener = UnixListener(tmp_path / "node.sock")
    sock = connect(tmp_path / "node.sock")
    assert (sock is not None) == is_connected
    if sock is not None:
        sock.close()
    listener.close()
