"""The saved state of the decision module: one process writes it, the next one reads it by position.

The fixtures were written by the program before its code was renamed; they never change.
"""

import json
from collections import Counter
from pathlib import Path

from driver import Driver

from oakbridge.policy import state
from oakbridge.policy.actions import SendAttempt
from oakbridge.policy.events import AttemptEnded, AttemptResult, Endpoint, RequestReceived
from oakbridge.policy.settings import Idempotency, ReportSource, RequestClass, Tenant

FIXTURES = Path(__file__).parent / "fixtures" / "policy_state"
LISTED_AT_US = 50_000_000
SETTINGS = {
    "classes": (
        RequestClass("read", 1_000_000, 4_000_000, 1, 0.5, Idempotency.IDEMPOTENT),
        RequestClass("pay", 1_000_000, 4_000_000, 5, 0.5, Idempotency.NOT_IDEMPOTENT),
    ),
    "tenants": (Tenant("gold", 20.0, 0.5), Tenant("tin", 5.0, 0.1)),
    "replica_count": 10,
    "slow_start_minimum": 0.2,
    "slow_start_window": 20_000_000,
    "report_source": ReportSource.RESPONSES,
    "report_names": ("queued", "in_flight"),
}
STARTED_AT_US = {"s6": LISTED_AT_US}  # by server; the others have run since 0
SERVERS = [
    Endpoint(
        f"s{i}",
        zone=f"z{i % 2}",
        weight=1.0 + i % 2,
        started_at=STARTED_AT_US.get(f"s{i}", 0),
        address=f"10.0.0.{i}:80",
    )
    for i in range(10)
]
# The results of attempts by server; the others answer OK.
ANSWERS = {"s1": AttemptResult.ERROR, "s2": AttemptResult.REJECTED, "s3": AttemptResult.TIMEOUT}


def copy_of_a_node(seed: int) -> Driver:
    """Make a decision module that knows ten servers, one of which has just started."""
    driver = Driver(seed=seed, entries=SERVERS, **SETTINGS)
    driver.run_to(LISTED_AT_US)
    return driver


def one_that_has_served() -> Driver:
    """Make one that has met an ejection, a full server, retries of two tenants and load reports."""
    driver = copy_of_a_node(seed=1)
    attempts = Counter[int]()
    for number in range(1, 121):
        driver.run_to(driver.now + 25_000)
        klass, tenant = ("pay" if number % 3 == 0 else "read"), ("gold", "tin", "")[number % 5 % 3]
        driver.feed(RequestReceived(number, klass, 4_000_000, tenant))
        while sends := driver.actions_of(SendAttempt)[attempts.total() :]:
            for send in sends:
                answer_to(driver, send, attempts[send.request_id])
                attempts[send.request_id] += 1
    return driver


def answer_to(driver: Driver, send: SendAttempt, attempt: int) -> None:
    """End an attempt, as its server does with every second of them."""
    latency = 20_000 + 1_000 * int(send.server[1:])
    driver.run_to(driver.now + latency)
    result = ANSWERS.get(send.server, AttemptResult.OK) if send.request_id % 2 else AttemptResult.OK
    finished = result == AttemptResult.OK
    report = {"queued": float(send.request_id % 3), "in_flight": 1.0}
    driver.feed(
        AttemptEnded(send.request_id, attempt, send.server, result, latency, finished, report)
    )


def written(saved: object) -> str:
    """Write one top-level entry a line, and one server a line, so that a person can read it."""
    text = json.dumps(saved)
    for key in ('"latency": ', '"admission": ', '"due": ', '"rate": ', '"copy": ', '"slots": '):
        text = text.replace(", " + key, ",\n" + key)
    return text.replace('"s0": ', '\n"s0": ').replace('], "', '],\n"') + "\n"


def test_a_seeded_run_is_saved_as_before():
    driver = one_that_has_served()
    fixture = (FIXTURES / "saved.json").read_text()
    assert written(state.save(driver.balancer, driver.now)) == fixture


def test_a_saved_state_is_read_and_written_as_before():
    driver = copy_of_a_node(seed=9)
    driver.run_to(one_that_has_served().now)
    state.restore(driver.balancer, json.loads((FIXTURES / "saved.json").read_text()), driver.now)
    fixture = (FIXTURES / "saved_after_restore.json").read_text()
    assert written(state.save(driver.balancer, driver.now)) == fixture
