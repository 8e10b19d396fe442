"""The front on real sockets: a node with HTTP and SIP, one module."""

import asyncio
import os
import random
import socket
from contextlib import suppress

from network import SECOND
from peers import run, until

from oakbridge.config.load import load
from oakbridge.config.node_config import inline_endpoints
from oakbridge.config.sip import sip_options, sip_settings
from oakbridge.node.node import Node
from oakbridge.sip.framing import Stream
from oakbridge.sip.front import Front
from oakbridge.sip.parser import parse_message
from oakbridge.sip.proxy import Peer
from oakbridge.sip.standins import Phone, Server
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


class Datagrams(asyncio.DatagramProtocol):
    """A stand-in on a real socket, driven by the loop's clock."""

    def __init__(self, make):
        self.make, self.told = make, asyncio.Event()

    def connection_made(self, transport):
        self.transport = transport
        self.node = self.make(Peer("UDP", *transport.get_extra_info("sockname")[:2]))
        self.task = asyncio.create_task(self.wake())

    async def wake(self):
        while True:
            await asyncio.sleep(0.005)
            self.node.clock.tick(now())
            self.flush()

    def datagram_received(self, data, address):
        if isinstance(self.node, Server):
            self.node.received(now(), Peer("UDP", *address), data)
        else:
            self.node.received(now(), data)
        self.flush()
        self.told.set()

    def flush(self):
        packets, self.node.out = self.node.out, []
        for peer, data in packets:
            self.transport.sendto(data, (peer.host, peer.port))


def now():
    return int(asyncio.get_running_loop().time() * SECOND)


def free_port():
    """For datagrams and streams, below those that outgoing connections of other tests are given."""
    draw = random.Random(os.getpid())
    while True:
        port = draw.randrange(15_000, 32_000)
        kinds = socket.SOCK_DGRAM, socket.SOCK_STREAM
        with socket.socket(type=kinds[0]) as one, socket.socket(type=kinds[1]) as other, suppress(OSError):
            one.bind(("127.0.0.1", port))
            other.bind(("127.0.0.1", port))
            return port


def test_both_fronts_on_one_module_a_refused_server_and_streams(tmp_path):
    """Calls over UDP and TCP; nobody listens at one of three servers, which is known at once and costs no answer."""

    async def test():
        loop, port, dead = asyncio.get_running_loop(), free_port(), 1
        servers = [
            (await loop.create_datagram_endpoint(lambda i=i: Datagrams(lambda p: Server(f"s{i}", p, i)),
                                                 local_addr=("127.0.0.1", 0)))[1] for i in range(2)
        ]  # fmt: skip
        ports = [s.node.peer.port for s in servers] + [dead]
        rows = ", ".join(f'{{name = "s{i}", address = "127.0.0.1:{p}"}}' for i, p in enumerate(ports))
        path = tmp_path / "both.toml"
        path.write_text(CONFIG.format(servers=rows, port=port))
        loaded = load(path)
        node = Node(loaded.config, loop, lambda clock: InlineSource(inline_endpoints(loaded.file)))
        async with Front(node, sip_settings(loaded.file), sip_options(loaded.file), 1) as front:
            node.start()
            proxy = Peer("UDP", "127.0.0.1", port)
            _, phone = await loop.create_datagram_endpoint(
                lambda: Datagrams(lambda p: Phone(p, proxy, 5)), local_addr=("127.0.0.1", 0)
            )
            asked = []
            for number in range(40):
                method = ("OPTIONS", "INVITE")[number % 2]
                asked.append(
                    phone.node.ask(phone.node.request(method, f"sip:d@127.0.0.1:{port}", f"c{number}"), now())
                )
                phone.flush()
                await asyncio.sleep(0.01)
            await until(lambda: all(a.finals for a in asked))
            assert [a.finals for a in asked if a.finals != [200]] == []
            refused = node.balancer.endpoints.known["s2"]
            assert refused.score > -2 and not refused.in_flight  # its refusals were heard of
            ran = sum(sum(s.node.ran.values()) for s in servers)
            assert ran == 40
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            stream, got = Stream(), []
            one = Phone(Peer("TCP", "127.0.0.1", 9), proxy, 6).request("OPTIONS", "sip:d@x", "tcp").to_bytes()
            writer.write(b"\r\n\r\n" + one[:50])
            await asyncio.sleep(0)
            writer.write(one[50:] * 2)  # the second is a retransmission: absorbed, or answered with the same
            while not got:
                got += stream.feed((await reader.read(4096)).removeprefix(b"\r\n"))
            assert parse_message(got[0]).status == 200
            front.proxy.leaving = True
            late = phone.node.ask(phone.node.request("OPTIONS", "sip:d@x", "late"), now())
            phone.flush()
            await until(lambda: late.finals)
            assert late.finals == [503] and late.retry_after == "1"
            for each in (*servers, phone):
                each.task.cancel()
                each.transport.close()
            writer.close()
        node.close()

    run(test())
