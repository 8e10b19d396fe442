"""The connection between two processes: what arrives, who closes descriptors, how it ends."""

import asyncio
import os
import socket

import pytest
from peers import run, until

from oakbridge.handover.channel import MAX_QUEUED_PACKETS, Channel
from oakbridge.handover.messages import ClientConnection, Decline, Ready
from oakbridge.handover.packets import MAX_TEXT_BYTES


class Ends:
    """Two channels over a pair of sockets, and what the second one has received."""

    def __init__(self) -> None:
        self.received: list[tuple[object, list[int]]] = []
        self.disconnects: list[Channel] = []

    async def __aenter__(self) -> "Ends":
        loop = asyncio.get_running_loop()
        first, second = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        for sock in (first, second):
            sock.setblocking(False)
        self.sending_socket, self.receiving_socket = first, second
        self.sender = Channel(loop, first, self.on_message, self.disconnects.append)
        self.receiver = Channel(loop, second, self.on_message, self.disconnects.append)
        return self

    async def __aexit__(self, *_) -> None:
        self.sender.close()
        self.receiver.close()

    def freeze_receiver(self) -> None:
        asyncio.get_running_loop().remove_reader(self.receiving_socket)

    def on_message(self, _channel: Channel, message: object, descriptors: list[int]) -> None:
        self.received.append((message, descriptors))


def is_open(descriptor: int) -> bool:
    try:
        os.fstat(descriptor)
    except OSError:
        return False
    return True


def test_a_descriptor_comes_with_its_own_message_and_is_closed_where_it_was():
    async def scenario():
        async with Ends() as ends:
            descriptor = os.open(os.devnull, os.O_RDONLY)
            assert ends.sender.send(Ready())
            assert ends.sender.send(ClientConnection(), [descriptor])
            assert not is_open(descriptor)
            await until(lambda: len(ends.received) == 2)
            assert ends.received[0] == (Ready(), [])
            message, [received] = ends.received[1]
            assert message == ClientConnection()
            assert is_open(received)
            os.close(received)

    run(scenario())


def test_messages_that_fill_the_socket_arrive_in_order():
    async def scenario():
        async with Ends() as ends:
            sent = [Decline(f"{number} " + "x" * 3 * MAX_TEXT_BYTES) for number in range(20)]
            for message in sent:
                assert ends.sender.send(message)
            await until(lambda: len(ends.received) == len(sent))
            assert [message for message, _ in ends.received] == sent

    run(scenario())


def test_a_process_that_reads_nothing_counts_as_gone():
    async def scenario():
        async with Ends() as ends:
            ends.freeze_receiver()
            sent = 0
            while ends.sender.send(Ready()):
                sent += 1
            assert MAX_QUEUED_PACKETS < sent < 2 * MAX_QUEUED_PACKETS

    run(scenario())


@pytest.mark.parametrize(
    "packet",
    [
        b"?",
        b'.{"v": 9, "kind": "ready"}',
        b"." + b" " * 2 * MAX_TEXT_BYTES,
    ],
    ids=["no mark", "another version", "too long"],
)
def test_a_packet_that_is_no_message_ends_the_connection_once(packet):
    async def scenario():
        async with Ends() as ends:
            ends.sending_socket.send(packet)
            await until(lambda: ends.receiver in ends.disconnects)
            assert ends.receiver.closed
            await until(lambda: ends.sender in ends.disconnects)
            assert len(ends.disconnects) == 2
            assert ends.received == []
            assert not ends.receiver.send(Ready())

    run(scenario())


def test_descriptors_that_were_not_sent_are_given_back_when_the_other_process_goes():
    async def scenario():
        async with Ends() as ends:
            ends.freeze_receiver()
            for _ in range(100):
                ends.sender.send(Decline("x" * MAX_TEXT_BYTES))
            descriptor = os.open(os.devnull, os.O_RDONLY)
            assert ends.sender.send(ClientConnection(), [descriptor])
            ends.receiver.close()
            await until(lambda: ends.sender in ends.disconnects)
            assert ends.sender.take_unsent_descriptors() == [descriptor]
            assert ends.sender.take_unsent_descriptors() == []
            assert is_open(descriptor)
            os.close(descriptor)

    run(scenario())


def test_descriptor_that_could_not_be_sent_is_the_senders_alone():
    """Guards against a client's connection that two parts of one process own."""

    async def scenario():
        async with Ends() as ends:
            ends.receiving_socket.shutdown(socket.SHUT_RDWR)
            descriptor = os.open(os.devnull, os.O_RDONLY)
            assert not ends.sender.send(ClientConnection(), [descriptor])
            assert is_open(descriptor)
            assert ends.sender.take_unsent_descriptors() == []
            await until(lambda: ends.sender in ends.disconnects)
            os.close(descriptor)

    run(scenario())
