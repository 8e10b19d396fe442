"""Events to a balancer by script, and its actions over loopback sockets."""

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


class Script:
    """A module by script, one answer for each request: the node's guards are held against one that errs."""

    def __init__(self, *answers) -> None:
        self.answers, self.events = list(answers), []

    def handle(self, _: int, event: Event) -> list[Action]:
        self.events.append(event)
        answer = self.answers.pop(0) if self.answers and isinstance(event, RequestReceived) else []
        if isinstance(answer, Exception):
            raise answer
        return answer


def test_module_that_fails_costs_one_request():
    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as peer, RunningNode(peer) as node:
            module, node.node.dispatcher.balancer = (
                node.node.dispatcher.balancer,
                Script(ValueError("boom")),
            )
            caller = await node.client()
            caller.send()
            assert (await caller.read_response())[0] == 500
            node.node.dispatcher.balancer = module
            caller.send()
            assert (await caller.read_response())[0] == 200

    run(scenario())


def test_a_timer_counts_from_its_event_though_the_process_is_held_up_before_it_is_set():
    """Guards against an end that comes too late by as long as the process stood still."""

    class HeldUp(Script):
        began = 0

        def handle(self, now: int, event: Event) -> list[Action]:
            if event == TimerFired(77):
                self.fired.set_result(now - self.began)
            elif isinstance(event, RequestReceived):
                self.began = now
                time.sleep(0.2)
                return [SetTimer(100_000, 77), FailRequest(1)]
            return []

    async def scenario():
        async with RunningNode() as node:
            node.node.dispatcher.balancer = script = HeldUp()
            script.fired = asyncio.get_running_loop().create_future()
            caller = await node.client()
            caller.send()
            assert 200_000 <= await with_timeout(script.fired) < 280_000

    run(scenario())


def test_time_left_counts_from_when_it_was_read_though_the_process_is_held_up_before_its_event():
    async def scenario():
        async with RunningNode() as node:
            forwarder, node.node.dispatcher.balancer = node.node.forwarder, Script([FailRequest(1)])
            post = forwarder._post

            def held_up(event, *as_of):
                time.sleep(0.2)
                post(event, *as_of)

            forwarder._post = held_up
            caller = await node.client()
            caller.send(X_Timeout="900m")
            assert (await caller.read_response())[0] == 502
            [received] = [
                event
                for event in node.node.dispatcher.balancer.events
                if isinstance(event, RequestReceived)
            ]
            assert received.time_left <= 700_000

    run(scenario())


def test_an_attempts_latest_begin_counts_from_its_event_though_the_process_is_held_up():
    """Guards against a repeat that begins after a server has forgotten the first.

    And against a deadline that ends an attempt before the balancer ends its request: the server
    would count as one that times out.
    """

    class HeldUp(Script):
        def handle(self, now: int, event: Event) -> list[Action]:
            if isinstance(event, RequestReceived):
                self.decided_at = now
                time.sleep(0.1)
                return [SendAttempt(1, "s-0", 5_000_000, 3_000_000)]
            return []

    async def scenario():
        async with ScriptedServer(lambda _: reply(200)) as peer, RunningNode(peer) as node:
            node.node.dispatcher.balancer = script = HeldUp()
            sent = []
            send = node.node.pool.send
            node.node.pool.send = lambda attempt: (sent.append(attempt), send(attempt))
            caller = await node.client()
            caller.send()
            assert (await caller.read_response())[0] == 200
            [attempt] = sent
            assert attempt.deadline > script.decided_at + 5_000_000
            assert attempt.start_by == script.decided_at + 3_000_000

    run(scenario())


def test_request_that_the_module_forgets_is_failed_when_its_time_is_up():
    async def scenario():
        async with ScriptedServer(lambda _: None) as peer, RunningNode(peer) as node:
            node.node.dispatcher.balancer = script = Script([SendAttempt(1, "s-0", 50_000_000)])
            caller = await node.client()
            caller.send(X_Timeout="200m")
            assert (await caller.read_response())[0] == 500
            assert await with_timeout(peer.closed_connections.get()) == 1
            assert ClientDisconnected(1) in script.events

    run(scenario())


def test_two_attempts_are_never_out_at_once_and_none_is_sent_after_the_answer():
    async def scenario():
        async with ScriptedServer(lambda _: None) as peer, RunningNode(peer) as node:
            send = SendAttempt(1, "s-0", 20_000_000)
            script = Script([send], [send, FailRequest(1), CancelAttempt(1, 0), send])
            node.node.dispatcher.balancer = script
            caller, other = await node.client(), await node.client()
            caller.send()
            await with_timeout(peer.requests.get())
            other.send()  # the event at which the module errs
            assert (await caller.read_response())[0] == 502
            assert await with_timeout(peer.closed_connections.get()) == 1
            assert peer.requests.empty()
            ended = [
                (e.result, e.request_finished) for e in script.events if isinstance(e, AttemptEnded)
            ]
            sent_not = AttemptResult.NOT_SENT
            assert sorted(ended) == [
                (AttemptResult.CANCELLED, True),
                (sent_not, False),
                (sent_not, True),
            ]

    run(scenario())


@pytest.mark.parametrize(("advice", "expected"), [(0, None), (250_000, "0.250")])
def test_refusal_carries_the_modules_advice(advice, expected):
    async def scenario():
        async with ScriptedServer(lambda _: None) as peer, RunningNode(peer) as node:
            node.node.dispatcher.balancer = Script([RejectRequest(1, advice)])
            caller = await node.client()
            caller.send()
            status, headers, _ = await caller.read_response()
            assert (status, headers.get("retry-after")) == (503, expected)

    run(scenario())
