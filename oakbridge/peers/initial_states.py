"""Deterministic runs of three members, and the initial states of the model checker's searches."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import replace

from oakbridge.peers.actions import Action
from oakbridge.peers.member import Member
from oakbridge.peers.simulation import nothing_blocked
from oakbridge.peers.system_state import (
    MS_US,
    NAMES,
    InFlight,
    SystemState,
    after_step,
    deserialize,
    in_flight_from,
    new_member,
    serialize,
)

DELIVERY_DELAY_US = 2 * MS_US  # of each message


def run_deterministically(
    state: SystemState,
    duration_us: int,
    is_blocked: Callable[[str, str], bool] = nothing_blocked,
) -> dict[str, Member]:
    """Return the members after ``duration_us``, without crashes or a choice of the next event.

    Timers fire on time, and no messages are lost but those that ``is_blocked`` selects.
    """
    members = {
        NAMES[i]: deserialize(data) for i, data in enumerate(state.members) if data is not None
    }
    # Ordered by arrival time, as all messages have the same delay.
    in_flight = deque((state.now_us, item) for item in state.in_flight)
    now_us = state.now_us
    end_us = now_us + duration_us

    def perform(name: str, actions: list[Action]) -> None:
        in_flight.extend(
            (now_us + DELIVERY_DELAY_US, item) for item in in_flight_from(name, actions)
        )

    while members:
        due_us, name = min((member.next_due_us(), name) for name, member in members.items())
        arrival_us = in_flight[0][0] if in_flight else end_us + 1
        now_us = max(now_us, min(due_us, arrival_us))
        if now_us > end_us:
            break
        if due_us < arrival_us:
            perform(name, members[name].tick(now_us))
            continue
        _, item = in_flight.popleft()
        if not is_blocked(item.sender, item.recipient):
            for recipient, actions in _deliver(members, item, now_us):
                perform(recipient, actions)
    return members


def _deliver(
    members: dict[str, Member], item: InFlight, now_us: int
) -> Iterator[tuple[str, list[Action]]]:
    """Deliver a message or an exchange; yield the actions of each member involved."""
    sender = members.get(item.sender)
    recipient = members.get(item.recipient)
    if not item.is_push_pull:
        if recipient is not None:
            yield item.recipient, recipient.receive(now_us, item.sender, item.datagram())
    elif sender is not None and recipient is not None:
        own = sender.push_pull_state()
        other = recipient.push_pull_state()
        yield item.recipient, recipient.push_pull_completed(now_us, own, initiated=False)
        yield item.sender, sender.push_pull_completed(now_us, other, initiated=True)
    elif sender is not None:
        yield item.sender, sender.push_pull_failed()


def converged_state() -> SystemState:
    """Return three members that know each other, with nothing in flight."""
    members = [new_member(name, 1, 0) for name in NAMES]
    for member in members:
        member.join(0, NAMES)
    for member in members:
        for other in members:
            member.push_pull_completed(0, other.push_pull_state(), initiated=True)
    state = SystemState(0, tuple(map(serialize, members)), ())
    return _state_after(state, 300 * MS_US)


def _state_after(
    state: SystemState,
    duration_us: int,
    is_blocked: Callable[[str, str], bool] = nothing_blocked,
) -> SystemState:
    """Return the state after ``duration_us``; messages in flight at its end are lost."""
    members = run_deterministically(state, duration_us, is_blocked)
    kept = tuple(serialize(members[name]) if name in members else None for name in NAMES)
    return replace(state, now_us=state.now_us + duration_us, members=kept, in_flight=())


def _involves_c(source: str, destination: str) -> bool:
    return "c" in (source, destination)


def _is_to_c(_source: str, destination: str) -> bool:
    return destination == "c"


def initial_states() -> dict[str, SystemState]:
    """Return named initial states, among them those that a search from "all alive" can't reach."""
    all_alive = converged_state()
    crashed = replace(all_alive, members=(*all_alive.members[:2], None), remaining_crashes=0)
    assert all_alive.members[2] is not None
    leaver = deserialize(all_alive.members[2])
    leaving = after_step(all_alive, 2, leaver, leaver.leave(all_alive.now_us), remaining_leaves=0)
    return {
        "all alive": all_alive,
        "one unreachable for 1 s": _state_after(all_alive, 1_000 * MS_US, _involves_c),
        "one declared failed while running": _state_after(all_alive, 6_000 * MS_US, _involves_c),
        "one sends but receives nothing": _state_after(all_alive, 2_500 * MS_US, _is_to_c),
        "one left and its process still runs": _state_after(leaving, 200 * MS_US),
        "one crashed and was declared failed": _state_after(crashed, 6_000 * MS_US),
    }
