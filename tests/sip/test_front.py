"""Tests of the SIP front on real sockets, in a node that serves HTTP and SIP with one balancer."""

import asyncio
import os
import random
import socket
from contextlib import asynccontextmanager, suppress

from network import SECOND_US
from peers import run, until

from oakbridge.config.load import load
from oakbridge.config.node_config import inline_endpoints
from oakbridge.config.sip import sip_options, sip_settings
from oakbridge.node.node import Node
from oakbridge.sip.framing import MessageStream
from oakbridge.sip.front import Front
from oakbridge.sip.parser import parse_message
from oakbridge.sip.peer import Peer
from oakbridge.sip.standins.scripts import respond_normally
from oakbridge.sip.standins.user_agent_client import UserAgentClient
from oakbridge.sip.standins.user_agent_server import UserAgentServer
from oakbridge.sources.inline_source import InlineSource

CONFIG = """
[node]
name = "both"
listen = ["127.0.0.1:0"]
[servers]
inline = [{servers}]
[[class]]
name = "look"
aim = "1s"
deadline = "3s"
repeat = "safe"
[sip]
listen = "127.0.0.1:{port}"
server_port = 0
[[sip.route]]
class = "look"
"""


class UserAgentSocket(asyncio.DatagramProtocol):
    """A stand-in user agent on a real socket, driven by the event loop's clock."""

    def __init__(self, create_agent):
        self._create_agent = create_agent

    def connection_made(self, transport):
        self._transport = transport
        self.agent = self._create_agent(Peer("UDP", *transport.get_extra_info("sockname")[:2]))
        self._task = asyncio.create_task(self._run())

    def datagram_received(self, data, address):
        if isinstance(self.agent, UserAgentServer):
            self.agent.received(now(), Peer("UDP", *address), data)
        else:
            self.agent.received(now(), data)
        self.flush()

    def flush(self):
        outgoing, self.agent.outgoing = self.agent.outgoing, []
        for message in outgoing:
            self._transport.sendto(message.data, (message.peer.host, message.peer.port))

    def send_request(self, method, uri, call_id):
        sent = self.agent.send(self.agent.build_request(method, uri, call_id), now())
        self.flush()
        return sent

    def close(self):
        self._task.cancel()
        self._transport.close()

    async def _run(self):
        while True:
            await asyncio.sleep(0.005)
            self.agent.scheduler.run_due(now())
            self.flush()


@asynccontextmanager
async def user_agent(create_agent):
    """Run a stand-in user agent on a socket of its own."""
    loop = asyncio.get_running_loop()
    _, agent_socket = await loop.create_datagram_endpoint(
        lambda: UserAgentSocket(create_agent), local_addr=("127.0.0.1", 0)
    )
    try:
        yield agent_socket
    finally:
        agent_socket.close()


@asynccontextmanager
async def node_with_front(tmp_path, sip_port, server_ports):
    """Run a node with the front, and endpoints ``s0``, ``s1`` and so on at these ports."""
    endpoints = ", ".join(
        f'{{name = "s{n}", address = "127.0.0.1:{port}"}}' for n, port in enumerate(server_ports)
    )
    path = tmp_path / "both.toml"
    path.write_text(CONFIG.format(servers=endpoints, port=sip_port))
    loaded = load(path)
    node = Node(
        loaded.config,
        asyncio.get_running_loop(),
        lambda _clock: InlineSource(inline_endpoints(loaded.file)),
    )
    async with Front(node, sip_settings(loaded.file), sip_options(loaded.file), 1) as front:
        node.start()
        yield node, front
    node.close()


def now():
    return int(asyncio.get_running_loop().time() * SECOND_US)


def free_port():
    """Return a port that is free for UDP and TCP.

    It is below the ports that the system assigns to outgoing connections of other tests.
    """
    rng = random.Random(os.getpid())
    while True:
        port = rng.randrange(15_000, 32_000)
        with (
            socket.socket(type=socket.SOCK_DGRAM) as datagrams,
            socket.socket(type=socket.SOCK_STREAM) as streams,
            suppress(OSError),
        ):
            datagrams.bind(("127.0.0.1", port))
            streams.bind(("127.0.0.1", port))
            return port


async def check_calls(phone, node, servers, port):
    """Check that all requests succeed although nothing listens on the port of ``s2``."""
    sent = []
    for number in range(40):
        method = ("OPTIONS", "INVITE")[number % 2]
        sent.append(phone.send_request(method, f"sip:d@127.0.0.1:{port}", f"c{number}"))
        await asyncio.sleep(0.01)
    await until(lambda: all(request.final_statuses for request in sent))
    assert [request.final_statuses for request in sent if request.final_statuses != [200]] == []
    refused = node.balancer.endpoints.known["s2"]
    assert refused.score > -2
    assert not refused.in_flight  # its refusals were reported
    assert sum(sum(server.agent.runs.values()) for server in servers) == 40


async def check_stream(proxy):
    """Check that a request over TCP gets its response.

    The request follows a keep-alive, arrives in pieces and is retransmitted.
    """
    reader, writer = await asyncio.open_connection(proxy.host, proxy.port)
    caller = UserAgentClient(Peer("TCP", "127.0.0.1", 9), proxy, 6)
    request = caller.build_request("OPTIONS", "sip:d@x", "tcp").to_bytes()
    writer.write(b"\r\n\r\n" + request[:50])
    await asyncio.sleep(0)
    writer.write(request[50:] * 2)  # the second is a retransmission
    stream = MessageStream()
    responses = []
    while not responses:
        responses += stream.feed((await reader.read(4096)).removeprefix(b"\r\n"))
    assert parse_message(responses[0]).status == 200
    writer.close()


async def check_draining(phone, front):
    """Check that a draining proxy rejects a new request."""
    front.proxy.start_draining()
    rejected = phone.send_request("OPTIONS", "sip:d@x", "late")
    await until(lambda: rejected.final_statuses)
    assert rejected.final_statuses == [503]
    assert rejected.retry_after == "1"


def test_front_serves_udp_and_tcp_despite_a_refusing_server_and_drains(tmp_path):
    async def test():
        port, closed_port = free_port(), 1
        proxy = Peer("UDP", "127.0.0.1", port)

        def create_server(number):
            return lambda peer: UserAgentServer(f"s{number}", peer, number, respond_normally)

        async with (
            user_agent(create_server(0)) as first,
            user_agent(create_server(1)) as second,
            user_agent(lambda peer: UserAgentClient(peer, proxy, 5)) as phone,
        ):
            server_ports = [first.agent.peer.port, second.agent.peer.port, closed_port]
            async with node_with_front(tmp_path, port, server_ports) as (node, front):
                await check_calls(phone, node, (first, second), port)
                await check_stream(proxy)
                await check_draining(phone, front)

    run(test())
