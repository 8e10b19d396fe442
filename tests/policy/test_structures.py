"""Tests of the generic data structures, and that they are independent of servers and requests."""

import ast
import math
import tomllib
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import pytest

from oakbridge.policy.group_index import GroupIndex
from oakbridge.policy.quota import BURST_US, Quotas
from oakbridge.policy.sliding_window import SlidingWindow
from oakbridge.policy.throughput import MovingMean, Rate, ResultWindow, decayed
from oakbridge.policy.timers import (
    MAX_STALE_CALLBACKS,
    MAX_STALE_EXPIRIES,
    SECOND_US,
    DueQueue,
    Timers,
)
from oakbridge.policy.waiting_queues import WaitingQueues

ROOT = Path(__file__).parents[2]
STRUCTURES = (
    "group_index",
    "latency",
    "quota",
    "sliding_window",
    "throughput",
    "timers",
    "waiting_queues",
    "weighted_pool",
)
WITHOUT_DECISIONS = ("__init__", "records", "state", "view", "settings", "events", "actions")


def imported(module: str) -> set[str]:
    """Return the modules of this project that a module of the policy imports."""
    tree = ast.parse((ROOT / f"oakbridge/policy/{module}.py").read_text())
    names = {node.module or "" for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)}
    names |= {a.name for node in ast.walk(tree) if isinstance(node, ast.Import) for a in node.names}
    return {name for name in names if name.startswith("oakbridge")}


@pytest.mark.parametrize("module", STRUCTURES)
def test_a_structure_imports_structures_only(module):
    assert imported(module) <= {f"oakbridge.policy.{other}" for other in STRUCTURES}


def test_modules_with_decisions_are_deployed_as_policy_and_the_others_as_node():
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    modules = {f"oakbridge/policy/{p.name}" for p in (ROOT / "oakbridge/policy").glob("*.py")}
    others = {f"oakbridge/policy/{name}.py" for name in (*STRUCTURES, *WITHOUT_DECISIONS)}
    assert set(deploy["policy"]) == modules - others
    assert {f"oakbridge/policy/{name}.py" for name in (*STRUCTURES, "records", "state")} <= set(
        deploy["node"]
    )


def test_due_items_are_ordered_by_time_and_then_by_insertion():
    queue: DueQueue[str] = DueQueue()
    assert queue.next_due == math.inf
    for when, name in ((5, "b"), (3, "a"), (5, "c"), (3, "d")):
        queue.push(when, name)
    assert queue.next_due == 3
    assert [queue.pop() for _ in range(4)] == ["a", "d", "b", "c"]
    assert queue.next_due == math.inf


class Recorder:
    """A ``Timers`` and the timers that it set and the items that it expired."""

    def __init__(self, min_delay: int = 10) -> None:
        self.live: dict[int, str] = {}
        self.set: list[tuple[int, int]] = []
        self.expired: list[str] = []
        self.queue = Timers(
            min_delay, self.live, lambda *timer: self.set.append(timer), self.expired.append
        )


def test_there_is_one_timer_for_the_earliest_callback_and_a_replaced_timer_is_ignored():
    timers, called = Recorder(), []
    timers.queue.call_later(0, 500, called.append)
    timers.queue.call_later(0, 100, called.append)
    timers.queue.call_later(0, 900, called.append)
    assert timers.set == [(500, 1), (100, 2)]
    timers.queue.fire(100, 1)
    assert not called
    timers.queue.fire(100, 2)
    assert called == [100]
    assert timers.set[-1] == (400, 3)
    timers.queue.call_later(100, 0, called.append)
    assert timers.set[-1] == (10, 4)  # the shortest delay


def test_only_live_items_expire_and_others_are_not_kept():
    timers = Recorder()
    for key in range(3 * MAX_STALE_EXPIRIES):
        timers.live[key] = f"item {key}"
        timers.queue.expire_at(0, 1000 + key, key)
        if key != 7:
            del timers.live[key]
    timers.queue.expire_at(0, 5000, 7)
    assert len(timers.queue._expiries) <= MAX_STALE_EXPIRIES + 2
    timers.queue.fire(1007, timers.queue.token)
    assert timers.expired == ["item 7"]


@dataclass
class Item:
    name: str
    is_queued: bool = False


def test_items_are_withdrawn_at_any_position_and_queues_end_with_queued_items():
    queues: WaitingQueues[Item] = WaitingQueues()
    items = [Item(name) for name in "abcde"]
    for item in items[:4]:
        queues.push("key", item, front=False)
    queues.push("key", items[4], front=True)
    queues.push("other", Item("f"), front=False)
    for item in (items[4], items[1], items[3]):
        queues.withdraw(item)
        queues.withdraw(item)
    assert queues.count == 3
    first, second = queues.queues()
    assert [first[0].name, first[-1].name, second[0].name] == ["a", "c", "f"]
    assert queues.pop(first, newest=True).name == "c"
    assert queues.pop(first, newest=False).name == "a"
    assert queues.pop(second, newest=True).name == "f"
    assert queues.count == 0
    assert queues.queues() == []


def test_empty_groups_are_removed_and_the_others_keep_their_order():
    index = GroupIndex()
    for name, key in (("a", 1), ("b", 2), ("c", 3), ("d", 2)):
        index.move(name, name.upper(), None, key)
    index.move("a", "A", 1, 2)
    index.move("c", "C", 3, None)
    index.move("b", "B", 2, 2)
    assert index == {2: {"b": "B", "d": "D", "a": "A"}}


def test_a_quota_is_a_rate_with_a_burst_and_other_names_are_unlimited():
    quotas = Quotas()
    quotas.configure({"a": SECOND_US / 10})
    now = 100 * SECOND_US
    within = sum(quotas.take("a", now) for _ in range(100))
    assert within == BURST_US // (SECOND_US // 10) + 1
    assert not quotas.take("a", now)
    assert quotas.take("a", now + SECOND_US // 10)
    assert all(quotas.take("b", now) for _ in range(100))


def test_counts_leave_the_window_after_its_length():
    window = SlidingWindow(3)
    for second, name in ((0, "a"), (1, "a"), (2, "b")):
        window.add_first(second * SECOND_US)
        window.add_further(second * SECOND_US, 0.5, name)
    window.add_further(2 * SECOND_US, 2.0)
    assert (window.first, window.further) == (3, 3.5)
    window.advance(4 * SECOND_US)
    assert (window.first, window.further, window.further_by_name) == (1, 2.5, {"a": 0, "b": 0.5})
    copy = SlidingWindow(3)
    copy.restore(list(window.slots))
    assert (copy.first, copy.further) == (1, 2.5)
    assert Counter(copy.further_by_name) == {"b": 0.5}


def test_rates_decay_moving_means_and_result_windows():
    rate = Rate()
    for second in range(1, 30):
        rate.update(100 * second, 2.0, SECOND_US, 1.0)
    assert rate.mean == pytest.approx(50, rel=0.01)
    assert rate.peak == pytest.approx(50, rel=0.01)
    rate.update(2900, 2.0, 60 * SECOND_US, 1.0)
    assert rate.peak == pytest.approx(50, rel=0.02)  # the mean does not change without events
    assert decayed(5.0, 1.0, 0, 10) == 5.0
    assert decayed(5.0, 1.0, 10_000, 10) == pytest.approx(1.0)
    values = MovingMean()
    assert [values.relative(4.0), values.relative(4.0)] == [1.0, 1.0]
    assert values.relative(8.0) > 1.9
    window = ResultWindow()
    for now in (50, 100, 150):
        window.add(now, in_flight=now // 50)
        window.served_us += 100.0
    assert (window.started_at, window.results, window.peak_in_flight) == (50, 3, 3)
    assert window.concurrency(150) == 3.0


# Guards against memory that requests keep after their responses, until their latest time to be sent.
def test_timers_drop_callbacks_of_keys_that_are_no_longer_live():
    live, called = {1: "one"}, []
    timers = Timers(1, live, lambda delay, token: None, called.append)
    timers.call_later_for(0, 50, 1, lambda item, now: called.append((item, now)))
    for key in range(2, 5_000):
        timers.call_later_for(0, 1_000 + key, key, lambda item, now: called.append((item, now)))
    assert len(timers.callbacks) <= 2 * MAX_STALE_CALLBACKS
    timers.fire(10_000, timers.token)
    assert called == [("one", 10_000)]
