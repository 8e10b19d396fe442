"""The dispatcher between a scripted balancer and loopback sockets."""

import asyncio
import time

import pytest
from peers import RunningNode, ScriptedServer, reply, run, with_timeout

from oakbridge.policy.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SetTimer,
)
from oakbridge.policy.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    Event,
    RequestReceived,
    TimerFired,
)


class ScriptedBalancer:
    """A balancer with scripted actions for each request, to test the node against a faulty one."""

    def __init__(self, *results) -> None:
        self.results, self.events = list(results), []

    def handle(self, _: int, event: Event) -> list[Action]:
        self.events.append(event)
        result = self.results.pop(0) if self.results and isinstance(event, RequestReceived) else []
        if isinstance(result, Exception):
            raise result
        return result


def test_exception_of_the_balancer_fails_one_request():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as server, RunningNode(server) as node:
            usual_balancer, node.node.dispatcher.balancer = (
                node.node.dispatcher.balancer,
                ScriptedBalancer(ValueError("boom")),
            )
            client = await node.client()
            client.send()
            assert (await client.read_response())[0] == 500
            node.node.dispatcher.balancer = usual_balancer
            client.send()
            assert (await client.read_response())[0] == 200

    run(scenario())


def test_a_timer_counts_from_its_event_if_the_process_is_paused_before_it_is_set():
    """Guards against a request that finishes too late by as long as the process was paused."""

    class PausingBalancer(ScriptedBalancer):
        received_at = 0

        def handle(self, now: int, event: Event) -> list[Action]:
            if event == TimerFired(77):
                self.fired.set_result(now - self.received_at)
            elif isinstance(event, RequestReceived):
                self.received_at = now
                time.sleep(0.2)
                return [SetTimer(100_000, 77), FailRequest(1)]
            return []

    async def scenario():
        async with RunningNode() as node:
            node.node.dispatcher.balancer = balancer = PausingBalancer()
            balancer.fired = asyncio.get_running_loop().create_future()
            client = await node.client()
            client.send()
            assert 200_000 <= await with_timeout(balancer.fired) < 280_000

    run(scenario())


def test_time_left_counts_from_its_measurement_if_the_process_is_paused_before_the_event():
    async def scenario():
        async with RunningNode() as node:
            forwarder, node.node.dispatcher.balancer = (
                node.node.forwarder,
                ScriptedBalancer([FailRequest(1)]),
            )
            post = forwarder._post

            def post_later(event, *as_of):
                time.sleep(0.2)
                post(event, *as_of)

            forwarder._post = post_later
            client = await node.client()
            client.send(X_Timeout="900m")
            assert (await client.read_response())[0] == 502
            [received] = [
                event
                for event in node.node.dispatcher.balancer.events
                if isinstance(event, RequestReceived)
            ]
            assert received.time_left <= 700_000

    run(scenario())


def test_the_deadline_for_an_attempts_start_counts_from_its_event_if_the_process_is_paused():
    """Guards against a retry that starts after a server has forgotten the first attempt.

    Also guards against an attempt that times out before the balancer finishes its request: the
    server would count as timed out.
    """

    class PausingBalancer(ScriptedBalancer):
        def handle(self, now: int, event: Event) -> list[Action]:
            if isinstance(event, RequestReceived):
                self.decided_at = now
                time.sleep(0.1)
                return [SendAttempt(1, "s-0", 5_000_000, 3_000_000)]
            return []

    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as server, RunningNode(server) as node:
            node.node.dispatcher.balancer = balancer = PausingBalancer()
            sent = []
            send = node.node.pool.send
            node.node.pool.send = lambda attempt: (sent.append(attempt), send(attempt))
            client = await node.client()
            client.send()
            assert (await client.read_response())[0] == 200
            [attempt] = sent
            assert attempt.deadline > balancer.decided_at + 5_000_000
            assert attempt.start_by == balancer.decided_at + 3_000_000

    run(scenario())


def test_request_that_the_balancer_forgets_is_failed_at_its_deadline():
    async def scenario():
        async with ScriptedServer(lambda _: None) as server, RunningNode(server) as node:
            node.node.dispatcher.balancer = balancer = ScriptedBalancer(
                [SendAttempt(1, "s-0", 50_000_000)]
            )
            client = await node.client()
            client.send(X_Timeout="200m")
            assert (await client.read_response())[0] == 500
            assert await with_timeout(server.closed_connections.get()) == 1
            assert ClientDisconnected(1) in balancer.events

    run(scenario())


def test_two_attempts_are_never_in_flight_at_once_and_none_is_sent_after_the_response():
    async def scenario():
        async with ScriptedServer(lambda _: None) as server, RunningNode(server) as node:
            send = SendAttempt(1, "s-0", 20_000_000)
            balancer = ScriptedBalancer([send], [send, FailRequest(1), CancelAttempt(1, 0), send])
            node.node.dispatcher.balancer = balancer
            client, other = await node.client(), await node.client()
            client.send()
            await with_timeout(server.requests.get())
            other.send()  # at this event, the balancer returns invalid actions
            assert (await client.read_response())[0] == 502
            assert await with_timeout(server.closed_connections.get()) == 1
            assert server.requests.empty()
            ends = [
                (event.result, event.request_finished)
                for event in balancer.events
                if isinstance(event, AttemptEnded)
            ]
            assert sorted(ends) == [
                (AttemptResult.CANCELLED, True),
                (AttemptResult.NOT_SENT, False),
                (AttemptResult.NOT_SENT, True),
            ]

    run(scenario())


@pytest.mark.parametrize(("retry_after_us", "expected"), [(0, None), (250_000, "0.250")])
def test_rejection_has_the_balancers_retry_after(retry_after_us, expected):
    async def scenario():
        async with ScriptedServer(lambda _: None) as server, RunningNode(server) as node:
            node.node.dispatcher.balancer = ScriptedBalancer([RejectRequest(1, retry_after_us)])
            client = await node.client()
            client.send()
            status, headers, _ = await client.read_response()
            assert (status, headers.get("retry-after")) == (503, expected)

    run(scenario())
