"""What a hand-over does where a system call fails for a moment."""

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


class FailsAtFirst:
    """A call that fails a number of times before it does what it should."""

    def __init__(self, call, error: int, times: int) -> None:
        self._call, self._error, self.left = call, error, times

    def __call__(self, *arguments):
        if self.left:
            self.left -= 1
            raise OSError(self._error, os.strerror(self._error))
        return self._call(*arguments)


def test_a_message_that_could_not_be_read_for_a_moment_arrives(monkeypatch):
    async def scenario():
        received, disconnects = [], []
        first, second = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        for sock in (first, second):
            sock.setblocking(False)
        loop = asyncio.get_running_loop()
        sender = Channel(loop, first, lambda *_: None, disconnects.append)
        receiver = Channel(loop, second, lambda _, m, __: received.append(m), disconnects.append)
        failing = FailsAtFirst(socket.recv_fds, errno.ENOMEM, 3)
        monkeypatch.setattr(socket, "recv_fds", failing)
        sender.send(Ready())
        await until(lambda: received)
        assert (received, disconnects, failing.left) == ([Ready()], [], 0)
        sender.close()
        receiver.close()

    run(scenario())


def test_a_predecessor_listens_once_it_can(monkeypatch, tmp_path):
    monkeypatch.setattr(predecessor_module, "LISTEN_RETRY_S", 0.01)
    monkeypatch.setattr(
        predecessor_module, "UnixListener", FailsAtFirst(UnixListener, errno.ENOBUFS, 3)
    )

    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as peer, RunningNode(peer) as node:
            path = tmp_path / "node.sock"
            one = Predecessor(node.node, lambda *_: None, path)
            one.listen()
            assert not path.exists()
            await until(path.exists)
            one.close()

    run(scenario())


def test_a_predecessor_that_is_closed_meanwhile_does_not_listen(monkeypatch, tmp_path):
    monkeypatch.setattr(predecessor_module, "LISTEN_RETRY_S", 0.01)
    failing = FailsAtFirst(UnixListener, errno.ENOBUFS, 1)
    monkeypatch.setattr(predecessor_module, "UnixListener", failing)

    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as peer, RunningNode(peer) as node:
            one = Predecessor(node.node, lambda *_: None, tmp_path / "node.sock")
            one.listen()
            one.close()
            await asyncio.sleep(0.05)
            assert not (tmp_path / "node.sock").exists()

    run(scenario())


@pytest.mark.parametrize(
    ("error", "times", "connects"),
    [
        (errno.ENOMEM, 3, True),
        (errno.EAGAIN, 3, True),
        (errno.ECONNREFUSED, 1, False),
        (errno.ENOMEM, 10_000, False),
    ],
)
def test_a_predecessor_is_found_though_a_connect_fails_for_a_moment(
    monkeypatch, tmp_path, error, times, connects
):
    monkeypatch.setattr(unix_socket, "CONNECT_TIMEOUT_S", 0.3)
    monkeypatch.setattr(unix_socket, "_connect", FailsAtFirst(unix_socket._connect, error, times))
    listener = UnixListener(tmp_path / "node.sock")
    sock = connect(tmp_path / "node.sock")
    assert (sock is not None) == connects
    if sock is not None:
        sock.close()
    listener.close()
