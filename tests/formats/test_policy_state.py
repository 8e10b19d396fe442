"""Tests of the saved state of the policy, which a successor process reads by position.

The fixtures were written before the code was renamed; they never change.
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
STARTED_AT_US = {"s6": LISTED_AT_US}  # by server; the others started at 0
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
# The results of attempts with odd request ids by server; all others are OK.
RESULTS = {"s1": AttemptResult.ERROR, "s2": AttemptResult.REJECTED, "s3": AttemptResult.TIMEOUT}


def new_driver(seed: int) -> Driver:
    """Return a driver of a balancer with ten servers, one of which has just started."""
    driver = Driver(seed=seed, entries=SERVERS, **SETTINGS)
    driver.run_to(LISTED_AT_US)
    return driver


def driver_that_has_served() -> Driver:
    """Return one with an ejection, a full server, retries of two tenants and load reports."""
    driver = new_driver(seed=1)
    attempts = Counter[int]()
    for number in range(1, 121):
        driver.run_to(driver.now + 25_000)
        klass, tenant = ("pay" if number % 3 == 0 else "read"), ("gold", "tin", "")[number % 5 % 3]
        driver.feed(RequestReceived(number, klass, 4_000_000, tenant))
        while sends := driver.actions_of(SendAttempt)[attempts.total() :]:
            for send in sends:
                end_attempt(driver, send, attempts[send.request_id])
                attempts[send.request_id] += 1
    return driver


def end_attempt(driver: Driver, send: SendAttempt, attempt: int) -> None:
    """End an attempt with the result and the load report of its server."""
    latency = 20_000 + 1_000 * int(send.server[1:])
    driver.run_to(driver.now + latency)
    result = RESULTS.get(send.server, AttemptResult.OK) if send.request_id % 2 else AttemptResult.OK
    is_finished = result == AttemptResult.OK
    report = {"queued": float(send.request_id % 3), "in_flight": 1.0}
    driver.feed(
        AttemptEnded(send.request_id, attempt, send.server, result, latency, is_finished, report)
    )


def formatted(saved: object) -> str:
    """Return JSON with each top-level entry and each server in a line of its own."""
    text = json.dumps(saved)
    for key in ('"latency": ', '"admission": ', '"due": ', '"rate": ', '"copy": ', '"slots": '):
        text = text.replace(", " + key, ",\n" + key)
    return text.replace('"s0": ', '\n"s0": ').replace('], "', '],\n"') + "\n"


def test_a_seeded_run_is_saved_as_in_the_fixture():
    driver = driver_that_has_served()
    fixture = (FIXTURES / "saved.json").read_text()
    assert formatted(state.save(driver.balancer, driver.now)) == fixture


def test_a_restored_state_is_saved_as_in_the_fixture():
    driver = new_driver(seed=9)
    driver.run_to(driver_that_has_served().now)
    state.restore(driver.balancer, json.loads((FIXTURES / "saved.json").read_text()), driver.now)
    fixture = (FIXTURES / "saved_after_restore.json").read_text()
    assert formatted(state.save(driver.balancer, driver.now)) == fixture
