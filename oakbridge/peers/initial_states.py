"""Runs of three members without loss, crash or choice, and the states in which searches begin."""

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
    freeze,
    new_member,
    sent_by,
    thaw,
)

DELIVERY_US = 2 * MS_US  # that each message takes


def run_without_choice(
    state: SystemState,
    duration_us: int,
    is_blocked: Callable[[str, str], bool] = nothing_blocked,
) -> dict[str, Member]:
    """Return the members after so long.

    Timers keep their time, and only what is blocked from one member to another is lost.
    """
    members = {NAMES[i]: thaw(data) for i, data in enumerate(state.members) if data is not None}
    # By when it arrives, as all messages take as long.
    in_flight = deque((state.now_us, item) for item in state.in_flight)
    now_us = state.now_us
    end_us = now_us + duration_us

    def perform(name: str, actions: list[Action]) -> None:
        in_flight.extend((now_us + DELIVERY_US, item) for item in sent_by(name, actions))

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
            for recipient, actions in _arrive(members, item, now_us):
                perform(recipient, actions)
    return members


def _arrive(
    members: dict[str, Member], item: InFlight, now_us: int
) -> Iterator[tuple[str, list[Action]]]:
    """Yield what each member that an arrival concerns does then."""
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


def state_at_rest() -> SystemState:
    """Return three members that know each other, at rest."""
    members = [new_member(name, 1, 0) for name in NAMES]
    for member in members:
        member.join(0, NAMES)
    for member in members:
        for other in members:
            member.push_pull_completed(0, other.push_pull_state(), initiated=True)
    state = SystemState(0, tuple(map(freeze, members)), ())
    return _state_after(state, 300 * MS_US)


def _state_after(
    state: SystemState,
    duration_us: int,
    is_blocked: Callable[[str, str], bool] = nothing_blocked,
) -> SystemState:
    """Return the state after so long; what is in flight then is lost."""
    members = run_without_choice(state, duration_us, is_blocked)
    kept = tuple(freeze(members[name]) if name in members else None for name in NAMES)
    return replace(state, now_us=state.now_us + duration_us, members=kept, in_flight=())


def _involves_c(source: str, destination: str) -> bool:
    return "c" in (source, destination)


def _is_to_c(_source: str, destination: str) -> bool:
    return destination == "c"


def initial_states() -> dict[str, SystemState]:
    """Return beginnings: what a search would not come to from rest is a beginning of its own."""
    rest = state_at_rest()
    lost = replace(rest, members=(*rest.members[:2], None), crashes_left=0)
    assert rest.members[2] is not None
    leaver = thaw(rest.members[2])
    leaving = after_step(rest, 2, leaver, leaver.leave(rest.now_us), leaves_left=0)
    return {
        "at rest": rest,
        "one of them is silent for a second": _state_after(rest, 1_000 * MS_US, _involves_c),
        "one is called failed, and lives": _state_after(rest, 6_000 * MS_US, _involves_c),
        "one hears nobody, and is heard": _state_after(rest, 2_500 * MS_US, _is_to_c),
        "one has left, and is still there": _state_after(leaving, 200 * MS_US),
        "one has crashed, and is called failed": _state_after(lost, 6_000 * MS_US),
    }
