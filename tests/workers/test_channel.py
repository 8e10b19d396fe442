"""A worker's end of the channel to its supervisor, with a fake node."""

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


class FakeLimits:
    max_connections = 900
    on_change = None


class FakeNode:
    """A node that only keeps the connections that it admits."""

    def __init__(self):
        self.server = self
        self.limits = FakeLimits()
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
    """A channel that is attached to a fake node; yields the supervisor's end and the node."""
    supervisor, worker = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    supervisor.setblocking(False)
    node = FakeNode()
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


def test_connection_is_acknowledged_and_then_served():
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
            node.limits.on_change()  # within the report delay, so one report covers both changes
            assert await receive(supervisor) == LoadReport(
                open_connections=0, received_connections=1
            )
            with pytest.raises(BlockingIOError):
                supervisor.recv(MAX_PACKET_BYTES)

    run(scenario())


@pytest.mark.parametrize(
    ("command", "signal_number"),
    [(SupervisorCommand.SHUT_DOWN, signal.SIGTERM), (SupervisorCommand.RELOAD, signal.SIGHUP)],
)
def test_worker_sends_itself_the_signal_for_a_command(signals, command, signal_number):
    async def scenario():
        with attached_channel() as (supervisor, _):
            supervisor.send(encode_command(command))
            await until(lambda: signals == [signal_number])

    run(scenario())


def test_worker_shuts_down_when_the_supervisor_closes_the_channel(signals):
    async def scenario():
        with attached_channel() as (supervisor, _):
            supervisor.close()
            await until(lambda: signals == [signal.SIGTERM])

    run(scenario())


@pytest.mark.parametrize(
    "packet", [b"{", b'{"do":"ready","most":1}', encode_command(SupervisorCommand.SERVE_CONNECTION)]
)
def test_invalid_packet_is_logged_and_the_channel_continues(signals, caplog, packet):
    """A command to serve a connection is invalid without a descriptor."""

    async def scenario():
        with attached_channel() as (supervisor, node), socket.socket() as connection:
            supervisor.send(packet)
            await until(lambda: "packet from the supervisor is invalid: error=" in caplog.text)
            send_connection(supervisor, connection)
            await until(lambda: len(node.admitted) == 1)

    run(scenario())
    assert signals == []


def test_descriptor_sent_with_an_invalid_packet_is_closed(caplog):
    async def scenario():
        kept_end, sent_end = socket.socketpair()
        kept_end.setblocking(False)
        with attached_channel() as (supervisor, _), kept_end:
            with sent_end:
                socket.send_fds(supervisor, [b"{"], [sent_end.fileno()])
            await until(lambda: "packet from the supervisor is invalid: error=" in caplog.text)
            # End of file: the worker's descriptor of the sent end is closed too.
            assert await asyncio.get_running_loop().sock_recv(kept_end, 1) == b""

    run(scenario())
