"""The channel between two processes: order of messages, ownership of descriptors, disconnects."""

import asyncio
import os
import socket

import pytest
from peers import run, until

from oakbridge.handover.channel import MAX_QUEUED_PACKETS, Channel
from oakbridge.handover.messages import ClientConnection, Decline, Ready
from oakbridge.handover.packets import MAX_TEXT_BYTES


class ChannelPair:
    """Two channels over a pair of sockets, with their received messages and disconnects."""

    def __init__(self) -> None:
        self.received: list[tuple[object, list[int]]] = []
        self.disconnects: list[Channel] = []

    async def __aenter__(self) -> "ChannelPair":
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


def test_descriptor_is_received_with_its_message_and_closed_by_sender():
    async def scenario():
        async with ChannelPair() as pair:
            descriptor = os.open(os.devnull, os.O_RDONLY)
            assert pair.sender.send(Ready())
            assert pair.sender.send(ClientConnection(), [descriptor])
            assert not is_open(descriptor)
            await until(lambda: len(pair.received) == 2)
            assert pair.received[0] == (Ready(), [])
            message, [received] = pair.received[1]
            assert message == ClientConnection()
            assert is_open(received)
            os.close(received)

    run(scenario())


def test_messages_larger_than_socket_buffer_arrive_in_order():
    async def scenario():
        async with ChannelPair() as pair:
            sent = [Decline(f"{number} " + "x" * 3 * MAX_TEXT_BYTES) for number in range(20)]
            for message in sent:
                assert pair.sender.send(message)
            await until(lambda: len(pair.received) == len(sent))
            assert [message for message, _ in pair.received] == sent

    run(scenario())


def test_send_fails_once_too_many_packets_are_unread():
    async def scenario():
        async with ChannelPair() as pair:
            pair.freeze_receiver()
            sent = 0
            while pair.sender.send(Ready()):
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
def test_invalid_packet_closes_connection_and_is_reported_once(packet):
    async def scenario():
        async with ChannelPair() as pair:
            pair.sending_socket.send(packet)
            await until(lambda: pair.receiver in pair.disconnects)
            assert pair.receiver.closed
            await until(lambda: pair.sender in pair.disconnects)
            assert len(pair.disconnects) == 2
            assert pair.received == []
            assert not pair.receiver.send(Ready())

    run(scenario())


def test_unsent_descriptors_are_returned_after_disconnect():
    async def scenario():
        async with ChannelPair() as pair:
            pair.freeze_receiver()
            for _ in range(100):
                pair.sender.send(Decline("x" * MAX_TEXT_BYTES))
            descriptor = os.open(os.devnull, os.O_RDONLY)
            assert pair.sender.send(ClientConnection(), [descriptor])
            pair.receiver.close()
            await until(lambda: pair.sender in pair.disconnects)
            assert pair.sender.take_unsent_descriptors() == [descriptor]
            assert pair.sender.take_unsent_descriptors() == []
            assert is_open(descriptor)
            os.close(descriptor)

    run(scenario())


def test_descriptor_of_failed_send_stays_with_the_caller():
    """Guards against a client's connection that both the channel and the caller own."""

    async def scenario():
        async with ChannelPair() as pair:
            pair.receiving_socket.shutdown(socket.SHUT_RDWR)
            descriptor = os.open(os.devnull, os.O_RDONLY)
            assert not pair.sender.send(ClientConnection(), [descriptor])
            assert is_open(descriptor)
            assert pair.sender.take_unsent_descriptors() == []
            await until(lambda: pair.sender in pair.disconnects)
            os.close(descriptor)

    run(scenario())
