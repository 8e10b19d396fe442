"""A SIP site in simulated time: phones, the proxy, the balancer, servers and a faulty network."""

import heapq
import random

from oakbridge.policy import settings as policy_settings
from oakbridge.policy.actions import SetTimer
from oakbridge.policy.balancer import Balancer
from oakbridge.policy.events import Endpoint, EndpointListReceived, TimerFired
from oakbridge.policy.settings import Idempotency, RequestClass
from oakbridge.sip.outbox import PostEvent
from oakbridge.sip.peer import Peer
from oakbridge.sip.proxy import Proxy
from oakbridge.sip.settings import ClassRule, ProxySettings
from oakbridge.sip.standins.scripts import respond_normally
from oakbridge.sip.standins.user_agent_client import UserAgentClient
from oakbridge.sip.standins.user_agent_server import UserAgentServer

SECOND_US = 1_000_000
PROXY = Peer("UDP", "10.0.0.1", 5060)
CLASSES = (
    RequestClass("look", SECOND_US, 8 * SECOND_US, idempotency=Idempotency.IDEMPOTENT),
    RequestClass("book", 2 * SECOND_US, 20 * SECOND_US, idempotency=Idempotency.NOT_IDEMPOTENT),
)
RULES = (
    ClassRule("look", frozenset({"OPTIONS"})),
    ClassRule("book", frozenset({"INVITE", "MESSAGE"})),
)


def proxy_settings(**limits):
    deadlines_us = {request_class.name: request_class.deadline for request_class in CLASSES}
    return ProxySettings(PROXY.host, PROXY.port, RULES, deadlines_us, **limits)


class Site:
    """Drives all participants by one clock in microseconds, ``now``.

    The network loses, duplicates and delays messages at random, as drawn from ``seed``.
    """

    def __init__(
        self,
        seed,
        phones=4,
        servers=5,
        script=respond_normally,
        loss=0.0,
        duplication=0.0,
        delay_us=(200, 2_000),
        **limits,
    ):
        self.rng = random.Random(seed)
        self.now = SECOND_US
        self.loss = loss
        self.duplication = duplication
        self.delay_us = delay_us
        self.proxy = Proxy(proxy_settings(**limits), seed)
        self.balancer = Balancer(policy_settings.Settings(classes=CLASSES, replica_count=1), seed)
        self.phones = [
            UserAgentClient(Peer("UDP", "10.1.0.1", 6000 + number), PROXY, seed + number)
            for number in range(phones)
        ]
        self.servers = {
            f"s{i}": UserAgentServer(f"s{i}", Peer("UDP", f"10.2.0.{i + 1}", 5060), seed, script)
            for i in range(servers)
        }
        self.user_agents = {agent.peer: agent for agent in (*self.phones, *self.servers.values())}
        self.frozen_servers = set()  # names of servers that receive nothing
        self._schedule = []
        self._schedule_entries = 0
        self.proxy.servers.update({name: server.peer for name, server in self.servers.items()})
        self.handle_event(EndpointListReceived([Endpoint(name) for name in self.servers]))

    def call_at(self, when, callback):
        self._schedule_entries += 1
        heapq.heappush(self._schedule, (when, self._schedule_entries, callback))

    def handle_event(self, event):
        """Pass an event to the balancer, and carry out its actions and the actions they cause."""
        for action in self.balancer.handle(self.now, event):
            if isinstance(action, SetTimer):
                fired = TimerFired(action.token)
                self.call_at(self.now + action.delay, lambda fired=fired: self.handle_event(fired))
            else:
                self.carry_out(self.proxy.carry_out(self.now, action))

    def carry_out(self, actions):
        for action in actions:
            if isinstance(action, PostEvent):
                self.handle_event(action.event)
            else:
                self.transmit(PROXY, action.peer, action.data)

    def transmit(self, source, destination, data):
        for _ in range(1 + (self.rng.random() < self.duplication)):
            if self.rng.random() >= self.loss:
                self.call_at(
                    self.now + self.rng.randrange(*self.delay_us),
                    lambda: self.deliver(source, destination, data),
                )

    def deliver(self, source, destination, data):
        if destination == PROXY:
            self.carry_out(self.proxy.message_received(self.now, source, data))
            return
        agent = self.user_agents.get(destination)
        if isinstance(agent, UserAgentServer) and agent.name not in self.frozen_servers:
            agent.received(self.now, source, data)
        elif isinstance(agent, UserAgentClient):
            agent.received(self.now, data)
        self.flush(agent)

    def flush(self, agent):
        """Transmit the outgoing messages of a user agent."""
        if agent is not None:
            outgoing, agent.outgoing = agent.outgoing, []
            for message in outgoing:
                self.transmit(agent.peer, message.peer, message.data)

    def run(self, seconds):
        """Advance the simulated time by ``seconds``."""
        end = self.now + int(seconds * SECOND_US)
        while True:
            due = self._next_due()
            if due is None or due > end:
                self.now = end
                return
            self.now = max(self.now, due)
            self._run_due()

    def _next_due(self):
        times = [agent.scheduler.due() for agent in self.user_agents.values()]
        times.append(self.proxy.next_timer())
        times.append(self._schedule[0][0] if self._schedule else None)
        return min((when for when in times if when is not None), default=None)

    def _run_due(self):
        if self._schedule and self._schedule[0][0] <= self.now:
            heapq.heappop(self._schedule)[2]()
        if (when := self.proxy.next_timer()) is not None and when <= self.now:
            self.carry_out(self.proxy.fire_timers(self.now))
        for agent in self.user_agents.values():
            if (when := agent.scheduler.due()) is not None and when <= self.now:
                agent.scheduler.run_due(self.now)
                self.flush(agent)

    def send_request(self, phone, method, call_id):
        request = phone.build_request(method, "sip:desk@10.0.0.1", call_id)
        sent = phone.send(request, self.now)
        self.flush(phone)
        return sent

    def proxy_state_sizes(self):
        """Numbers of contexts, branches, open requests and counted contexts that the proxy holds."""
        store = self.proxy.store
        return (
            len(store.contexts),
            len(store.branches),
            len(store.contexts_by_request_id),
            sum(store.contexts_per_host.values()),
        )
