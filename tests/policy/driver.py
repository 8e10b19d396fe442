"""A driver that feeds one balancer with events in simulated time."""

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
    """Feeds a balancer with events, fires its timers when due, and records its actions.

    Times are microseconds.  ``servers``: number of servers, if ``entries`` does not list them;
    ``options``: settings of the balancer.
    """

    def __init__(self, servers: int = 4, seed: int = 1, entries=None, **options) -> None:
        options.setdefault("classes", (READ, PAY))
        self.balancer = Balancer(Settings(**options), seed)
        self.now, self.timers, self.actions, self.id = 0, [], [], 0
        self.feed(EndpointListReceived(entries or [Endpoint(f"s{i}") for i in range(servers)]))

    def feed(self, event):
        """Pass an event to the balancer now; return its actions."""
        actions = self.balancer.handle(self.now, event)
        self.timers += [
            (self.now + action.delay, action.token)
            for action in actions
            if isinstance(action, SetTimer)
        ]
        self.actions += [(self.now, action) for action in actions]
        return actions

    def run_to(self, when):
        """Move the time forward, firing the timers that are due on the way."""
        while self.timers and min(self.timers)[0] <= when:
            first = min(self.timers)
            self.timers.remove(first)
            self.now = first[0]
            self.feed(TimerFired(first[1]))
        self.now = when

    def send_request(self, klass="read", left=4_000_000, tenant=""):
        """Pass in a request that has ``left`` microseconds; return the actions."""
        self.id += 1
        return self.feed(RequestReceived(self.id, klass, left, tenant))

    def end_attempt(self, send, result, number=0, latency=20_000):
        """Report the result of an attempt, given its ``SendAttempt``; return the actions."""
        is_finished = result == AttemptResult.OK
        return self.feed(
            AttemptEnded(send.request_id, number, send.server, result, latency, is_finished)
        )

    def actions_of(self, kind):
        """Return all recorded actions of a type."""
        return [action for _, action in self.actions if isinstance(action, kind)]

    def serve(self, count, latency=20_000, gap=25_000, fails=(), klass="read"):
        """Send requests one after another and let their attempts end; return the servers used.

        ``gap``: time from a result to the next request; ``fails``: servers that return errors.
        """
        used = []
        for _ in range(count):
            self.run_to(self.now + gap)
            for send in [
                action for action in self.send_request(klass) if isinstance(action, SendAttempt)
            ]:
                used.append(send.server)
                self.now += latency
                self.end_attempt(
                    send,
                    AttemptResult.ERROR if send.server in fails else AttemptResult.OK,
                    0,
                    latency,
                )
        return used


def overload(driver, count, gap, klass="read", tenant=""):
    """Send requests at intervals of ``gap`` without ending any attempt."""
    for _ in range(count):
        driver.run_to(driver.now + gap)
        driver.send_request(klass, tenant=tenant)
