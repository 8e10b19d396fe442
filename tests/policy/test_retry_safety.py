"""Which attempts are safe, and until when."""

import pytest
from driver import Driver

from oakbridge.policy.actions import (
    SendAttempt,
)
from oakbridge.policy.events import (
    AttemptResult,
    Endpoint,
)
from oakbridge.policy.settings import (
    Idempotency,
    RequestClass,
)


def test_a_keyed_repeat_says_until_when_it_may_begin_and_a_first_attempt_does_not():
    keyed = RequestClass(
        "keyed", 1_000_000, 4_000_000, 1, 0.5, Idempotency.IDEMPOTENT_WITH_KEY, "all", 500_000
    )
    d = Driver(classes=(keyed,))
    d.serve(40, klass="keyed")
    sent = next(a for a in d.send_request("keyed") if isinstance(a, SendAttempt))
    assert sent.start_within == 0
    d.now += 20_000
    d.end_attempt(sent, AttemptResult.NOT_SENT)
    d.run_to(d.now + 50_000)
    again = d.actions_of(SendAttempt)[-1]
    assert (again.request_id, again.start_within) == (sent.request_id, 0)  # the first one never ran
    first = next(t for t, a in d.actions if a is again)
    d.end_attempt(again, AttemptResult.RESET, number=1)
    d.run_to(d.now + 200_000)
    at, last = next((t, a) for t, a in d.actions if a is d.actions_of(SendAttempt)[-1])
    assert last.request_id == sent.request_id
    assert last is not again
    assert first + 400_000 < at + last.start_within < first + 500_000


def test_keyed_repeats_stay_in_their_group_and_window():
    keyed = RequestClass(
        "keyed", 1_000_000, 4_000_000, 1, 0.5, Idempotency.IDEMPOTENT_WITH_KEY, "zone", 500_000
    )
    entries = [Endpoint("a", zone="x"), Endpoint("b", zone="y"), Endpoint("c", zone="x")]
    for seed in range(10):
        d = Driver(seed=seed, entries=entries, classes=(keyed,))
        d.serve(40, klass="keyed")
        send = next(a for a in d.send_request("keyed") if isinstance(a, SendAttempt))
        d.end_attempt(send, AttemptResult.RESET)
        d.run_to(d.now + 100_000)
        again = [a for a in d.actions_of(SendAttempt) if a.request_id == send.request_id][1:]
        assert all({send.server, a.server} <= {"a", "c"} or a.server == send.server for a in again)


@pytest.mark.parametrize(("copies", "allowed"), [(True, True), (False, False)])
def test_a_second_copy_needs_the_sites_leave(copies, allowed):
    d = Driver(hedging_allowed=copies)
    d.send_request()
    [call] = d.balancer.requests.values()
    assert d.balancer.safety.allows_attempt(call, None, d.now) is allowed
