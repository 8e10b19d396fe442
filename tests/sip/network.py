"""A whole SIP site in simulated time: phones, the proxy with the real module, servers, and a faulty network."""

import heapq
import random

from oakbridge.policy import settings as policy_settings
from oakbridge.policy.actions import SetTimer
from oakbridge.policy.balancer import Balancer
from oakbridge.policy.events import Endpoint, EndpointListReceived, TimerFired
from oakbridge.policy.settings import Idempotency, RequestClass
from oakbridge.sip.proxy import Peer, Post, Proxy, Rule, Settings, Transmit
from oakbridge.sip.standins import Phone, Server

SECOND = 1_000_000
PROXY = Peer("UDP", "10.0.0.1", 5060)
CLASSES = (
    RequestClass("look", SECOND, 8 * SECOND, idempotency=Idempotency.IDEMPOTENT),
    RequestClass("book", 2 * SECOND, 20 * SECOND, idempotency=Idempotency.NOT_IDEMPOTENT),
)
RULES = (Rule("look", frozenset({"OPTIONS"})), Rule("book", frozenset({"INVITE", "MESSAGE"})))


class Site:
    """Drives everything by one clock; the network loses, doubles, delays and so reorders by its seed."""

    def __init__(
        self, seed, phones=4, servers=5, script=None, lost=0.0, doubled=0.0, delay=(200, 2_000), **more
    ):
        self.draw, self.now = random.Random(seed), SECOND
        self.lost, self.doubled, self.delay = lost, doubled, delay
        settings = Settings(PROXY.host, PROXY.port, RULES, {c.name: c.deadline for c in CLASSES}, **more)
        self.proxy = Proxy(settings, seed)
        self.balancer = Balancer(policy_settings.Settings(classes=CLASSES, replica_count=1), seed)
        self.phones = [Phone(Peer("UDP", "10.1.0.1", 6000 + i), PROXY, seed + i) for i in range(phones)]
        self.servers = {
            f"s{i}": Server(f"s{i}", Peer("UDP", f"10.2.0.{i + 1}", 5060), seed, script)
            for i in range(servers)
        }
        self.nodes = {node.peer: node for node in (*self.phones, *self.servers.values())}
        self.frozen, self.events, self.heap, self.count = set(), [], [], 0
        self.proxy.servers = {name: s.peer for name, s in self.servers.items()}
        self.module(EndpointListReceived([Endpoint(name) for name in self.servers]))

    def at(self, when, what):
        self.count += 1
        heapq.heappush(self.heap, (when, self.count, what))

    def module(self, event):
        """The module hears something; what it wants is carried out, and so on until it wants no more."""
        self.events.append(event)
        for action in self.balancer.handle(self.now, event):
            if isinstance(action, SetTimer):
                self.at(self.now + action.delay, lambda t=action.token: self.module(TimerFired(t)))
            else:
                self.act(self.proxy.carry_out(self.now, action))

    def act(self, actions):
        for action in actions:
            if isinstance(action, Post):
                self.module(action.event)
            elif isinstance(action, Transmit):
                self.post(PROXY, action.peer, action.data)

    def post(self, sender, to, data):
        for _ in range(1 + (self.draw.random() < self.doubled)):
            if self.draw.random() >= self.lost:
                self.at(self.now + self.draw.randrange(*self.delay), lambda: self.deliver(sender, to, data))

    def deliver(self, sender, to, data):
        if to == PROXY:
            return self.act(self.proxy.received(self.now, sender, data))
        node = self.nodes.get(to)
        if isinstance(node, Server) and node.name not in self.frozen:
            node.received(self.now, sender, data)
        elif isinstance(node, Phone):
            node.received(self.now, data)
        self.drain(node)

    def drain(self, node):
        if node is not None:
            packets, node.out = node.out, []
            for to, data in packets:
                self.post(node.peer, to, data)

    def run(self, seconds):
        """Go on for so long."""
        end = self.now + int(seconds * SECOND)
        while True:
            wakes = [when for n in self.nodes.values() if (when := n.clock.due()) is not None]
            first = self.heap[0][0] if self.heap else None
            due = [when for when in (first, self.proxy.due(), *wakes) if when is not None]
            if not due or min(due) > end:
                self.now = end
                return
            self.now = max(self.now, min(due))
            if self.heap and self.heap[0][0] <= self.now:
                heapq.heappop(self.heap)[2]()
            if (when := self.proxy.due()) is not None and when <= self.now:
                self.act(self.proxy.tick(self.now))
            for node in self.nodes.values():
                if (when := node.clock.due()) is not None and when <= self.now:
                    node.clock.tick(self.now)
                    self.drain(node)

    def ask(self, phone, method, call_id):
        asked = phone.ask(phone.request(method, "sip:desk@10.0.0.1", call_id), self.now)
        self.drain(phone)
        return asked

    def left(self):
        """What the proxy still holds."""
        return (
            len(self.proxy.calls),
            len(self.proxy.clients),
            len(self.proxy.by_id),
            sum(self.proxy.each.values()),
        )
