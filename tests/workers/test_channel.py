"""A worker's end of the channel, with a node that is played."""

import asyncio
import contextlib
import os
import signal
import socket

import pytest
from peers import run, until

from oakbridge.workers.channel import WorkerChannel
from oakbridge.workers.messages import (
    MAX_PACKET_BYTES,
    LoadReport,
    SupervisorCommand,
    WorkerReady,
    decode_message,
    encode_command,
)


class Limits:
    max_connections = 900
    on_change = None


class PlayedNode:
    """A node that only counts the connections that it is given."""

    def __init__(self):
        self.server = self
        self.limits = Limits()
        self.admitted = []

    def admit(self, connection):
        self.admitted.append(connection)

    def connection_count(self):
        return len(self.admitted)


@pytest.fixture
def signals(monkeypatch):
    """The signals that the worker sends to itself."""
    sent = []

    def record(pid, number):
        assert pid == os.getpid()
        sent.append(number)

    monkeypatch.setattr(os, "kill", record)
    return sent


@contextlib.contextmanager
def attached_channel():
    """A played node with its channel, and the supervisor's end."""
    supervisor, worker = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    supervisor.setblocking(False)
    node = PlayedNode()
    with supervisor, WorkerChannel(worker).attached(node):
        yield supervisor, node
    for connection in node.admitted:
        connection.close()


async def receive(supervisor):
    loop = asyncio.get_running_loop()
    return decode_message(await loop.sock_recv(supervisor, MAX_PACKET_BYTES))


def send_connection(supervisor, connection):
    packet = encode_command(SupervisorCommand.SERVE_CONNECTION)
    socket.send_fds(supervisor, [packet], [connection.fileno()])


def test_a_connection_is_acknowledged_and_then_served():
    async def scenario():
        with attached_channel() as (supervisor, node), socket.socket() as connection:
            assert await receive(supervisor) == WorkerReady(max_connections=900)
            send_connection(supervisor, connection)
            assert await receive(supervisor) == LoadReport(
                open_connections=1, received_connections=1
            )
            await until(lambda: len(node.admitted) == 1)
            node.admitted.pop().close()
            node.limits.on_change()
            node.limits.on_change()  # within the delay: one report
            assert await receive(supervisor) == LoadReport(
                open_connections=0, received_connections=1
            )
            with pytest.raises(BlockingIOError):
                supervisor.recv(MAX_PACKET_BYTES)

    run(scenario())


@pytest.mark.parametrize(
    ("command", "number"),
    [(SupervisorCommand.SHUT_DOWN, signal.SIGTERM), (SupervisorCommand.RELOAD, signal.SIGHUP)],
)
def test_commands_become_signals(signals, command, number):
    async def scenario():
        with attached_channel() as (supervisor, _):
            supervisor.send(encode_command(command))
            await until(lambda: signals == [number])

    run(scenario())


def test_a_worker_without_supervisor_shuts_down(signals):
    async def scenario():
        with attached_channel() as (supervisor, _):
            supervisor.close()
            await until(lambda: signals == [signal.SIGTERM])

    run(scenario())


@pytest.mark.parametrize(
    "packet", [b"{", b'{"do":"ready","most":1}', encode_command(SupervisorCommand.SERVE_CONNECTION)]
)
def test_an_invalid_packet_is_logged_and_dropped(signals, caplog, packet):
    """A connection without a descriptor is one of them; the channel serves on."""

    async def scenario():
        with attached_channel() as (supervisor, node), socket.socket() as connection:
            supervisor.send(packet)
            await until(lambda: "invalid packet from the supervisor" in caplog.text)
            send_connection(supervisor, connection)
            await until(lambda: len(node.admitted) == 1)

    run(scenario())
    assert signals == []


def test_the_descriptor_beside_an_invalid_packet_is_closed(caplog):
    async def scenario():
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        with attached_channel() as (supervisor, _), ours:
            with theirs:
                socket.send_fds(supervisor, [b"{"], [theirs.fileno()])
            await until(lambda: "invalid packet from the supervisor" in caplog.text)
            # All copies of the other end are closed.
            assert await asyncio.get_running_loop().sock_recv(ours, 1) == b""

    run(scenario())
