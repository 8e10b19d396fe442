"""A driver of one balancer, without a bench."""

from oakbridge.policy.actions import (
    SendAttempt,
    SetTimer,
)
from oakbridge.policy.balancer import Balancer
from oakbridge.policy.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointListReceived,
    RequestReceived,
    TimerFired,
)
from oakbridge.policy.settings import (
    Idempotency,
    RequestClass,
    Settings,
)

READ = RequestClass("read", 1_000_000, 4_000_000, 1, 0.5, Idempotency.IDEMPOTENT)


PAY = RequestClass("pay", 1_000_000, 4_000_000, 5, 0.5, Idempotency.NOT_IDEMPOTENT)


class Driver:
    """Feeds a balancer, fires its timers when due, and keeps what it sent."""

    def __init__(self, servers: int = 4, seed: int = 1, entries=None, **options) -> None:
        options.setdefault("classes", (READ, PAY))
        self.balancer = Balancer(Settings(**options), seed)
        self.now, self.timers, self.actions, self.id = 0, [], [], 0
        self.feed(EndpointListReceived(entries or [Endpoint(f"s{i}") for i in range(servers)]))

    def feed(self, event):
        got = self.balancer.handle(self.now, event)
        self.timers += [(self.now + a.delay, a.token) for a in got if isinstance(a, SetTimer)]
        self.actions += [(self.now, a) for a in got]
        return got

    def run_to(self, when):
        while self.timers and min(self.timers)[0] <= when:
            first = min(self.timers)
            self.timers.remove(first)
            self.now = first[0]
            self.feed(TimerFired(first[1]))
        self.now = when

    def send_request(self, klass="read", left=4_000_000, tenant=""):
        self.id += 1
        return self.feed(RequestReceived(self.id, klass, left, tenant))

    def end_attempt(self, send, result, number=0, latency=20_000):
        done = result == AttemptResult.OK
        return self.feed(AttemptEnded(send.request_id, number, send.server, result, latency, done))

    def actions_of(self, kind):
        return [a for _, a in self.actions if isinstance(a, kind)]

    def serve(self, count, latency=20_000, gap=25_000, fails=(), klass="read"):
        """Have requests answered one after another, OK unless by ``fails``; returns the servers."""
        used = []
        for _ in range(count):
            self.run_to(self.now + gap)
            for send in [a for a in self.send_request(klass) if isinstance(a, SendAttempt)]:
                used.append(send.server)
                self.now += latency
                self.end_attempt(
                    send,
                    AttemptResult.ERROR if send.server in fails else AttemptResult.OK,
                    0,
                    latency,
                )
        return used


def overload(d, count, gap, klass="read", tenant=""):
    for _ in range(count):
        d.run_to(d.now + gap)
        d.send_request(klass, tenant=tenant)
