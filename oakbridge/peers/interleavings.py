"""Explicit-state model checker: explores all interleavings of three members' events to a depth.

A state consists of the members, the messages in flight, and the time.  From each state every
possible transition is taken: a message arrives (and may arrive again), a member's next timer fires
(those of the other members are late afterwards, as in a frozen process), a member crashes, restarts
or leaves.  A message that never arrives is lost.  States are compared by all their contents,
including the random generators, so that no distinct state is skipped.

Invariants: the precedence of a member's record never decreases in another member's view, nor does
a member's own; a member that is known to have left gets no other state in the same incarnation; and
from each state, once messages arrive and timers fire on time, all running members consider exactly
each other alive.

Method: G. Holzmann, "The Model Checker SPIN", 1997; the only reduction is that equal states are
visited once.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from oakbridge.peers.initial_states import initial_states, run_deterministically
from oakbridge.peers.member import Member
from oakbridge.peers.messages import MemberState
from oakbridge.peers.system_state import (
    NAMES,
    InFlight,
    SystemState,
    after_step,
    deserialize,
    new_member,
)

SECOND_US = 1_000_000
CONVERGENCE_US = 30 * SECOND_US  # time within which members without faults must agree
MAX_PATH_LENGTH = 2000  # characters; a longer path of labels is not extended


class Transition(NamedTuple):
    """One possible event, the state after it, and the invariant that it violates, if any."""

    label: str
    state: SystemState
    violation: str = ""


@dataclass(slots=True)
class ExplorationReport:
    """The results of a search."""

    transitions: int = 0
    states: set[bytes] = field(default_factory=set)
    convergence_checks: int = 0  # states from which convergence was checked
    violations: list[str] = field(default_factory=list)

    def add(self, other: ExplorationReport) -> None:
        """Add the results of another search."""
        self.transitions += other.transitions
        self.states |= other.states
        self.convergence_checks += other.convergence_checks
        self.violations += other.violations


# ---- invariants


def _find_violation(before: Member, after: Member) -> str:
    """Return the invariant that a transition violates, "" if none."""
    own_before = before.record
    own_after = after.record
    is_same_process = own_after.process_key == own_before.process_key
    if is_same_process and own_after.precedence < own_before.precedence:
        return (
            f"{own_after.name}'s own record went backwards: "
            f"{own_before.precedence} to {own_after.precedence}"
        )
    for name, known in before.members.items():
        known_after = after.members.get(name)
        if known_after is None:
            continue
        old = known.record
        new = known_after.record
        is_same_incarnation = new.precedence[:3] == old.precedence[:3]
        has_returned = old.state == MemberState.LEFT and new.state != MemberState.LEFT
        if has_returned and is_same_incarnation:
            return f"{own_after.name} considers {name} {new.state.label} after it left"
        if new.precedence < old.precedence:
            return (
                f"{own_after.name}: record of {name} went backwards: "
                f"{old.precedence} to {new.precedence}"
            )
    return ""


def check_convergence(state: SystemState) -> str:
    """Return "" if the members, once without faults, come to consider each other alive."""
    members = run_deterministically(state, CONVERGENCE_US)
    running = {name for name, member in members.items() if not member.has_left}
    for name in sorted(running):
        considered_alive = {*members[name].live_names(), name}
        if considered_alive != running:
            return (
                f"after {CONVERGENCE_US // SECOND_US} s without faults {name} considers "
                f"{sorted(considered_alive)} alive, but {sorted(running)} are running"
            )
    return ""


# ---- transitions


def transitions(state: SystemState) -> Iterator[Transition]:
    """Yield all possible transitions from a state."""
    for index, data in enumerate(state.members):
        if data is None:
            yield _start(state, index)
        else:
            yield from _member_transitions(state, index, data)
    for position, item in enumerate(state.in_flight):
        rest = state.in_flight[:position] + state.in_flight[position + 1 :]
        if item.is_push_pull:
            yield from _push_pull(state, item, rest)
        else:
            yield from _deliver(state, item, rest)


def _member_transitions(state: SystemState, index: int, data: bytes) -> Iterator[Transition]:
    name = NAMES[index]
    member = deserialize(data)
    now_us = max(state.now_us, member.next_due_us())
    actions = member.tick(now_us)
    after = after_step(state, index, member, actions, now_us=now_us)
    yield Transition(f"{name}'s timer", after, _find_violation(deserialize(data), member))
    if state.remaining_leaves and not member.has_left:
        member = deserialize(data)
        actions = member.leave(state.now_us)
        remaining_leaves = state.remaining_leaves - 1
        after = after_step(state, index, member, actions, remaining_leaves=remaining_leaves)
        yield Transition(f"{name} leaves", after)
    if state.remaining_crashes:
        remaining_crashes = state.remaining_crashes - 1
        after = after_step(state, index, None, [], remaining_crashes=remaining_crashes)
        yield Transition(f"{name} crashes", after)


def _start(state: SystemState, index: int) -> Transition:
    """Start a process that is down; its generation is above those of all earlier processes."""
    generation = state.last_generation + 1
    member = new_member(NAMES[index], generation, state.now_us)
    actions = member.join(state.now_us, NAMES)
    after = after_step(state, index, member, actions, last_generation=generation)
    return Transition(f"{NAMES[index]} starts", after)


def _push_pull(
    state: SystemState, item: InFlight, rest: tuple[InFlight, ...]
) -> Iterator[Transition]:
    sender_index = NAMES.index(item.sender)
    recipient_index = NAMES.index(item.recipient)
    sender_data = state.members[sender_index]
    recipient_data = state.members[recipient_index]
    if sender_data is None:
        return
    sender = deserialize(sender_data)
    if recipient_data is None:
        actions = sender.push_pull_failed()
        after = after_step(state, sender_index, sender, actions, in_flight=rest)
        yield Transition("a push-pull exchange fails", after)
        return
    recipient = deserialize(recipient_data)
    own = sender.push_pull_state()
    other = recipient.push_pull_state()
    actions = recipient.push_pull_completed(state.now_us, own, initiated=False)
    after = after_step(state, recipient_index, recipient, actions, in_flight=rest)
    actions = sender.push_pull_completed(state.now_us, other, initiated=True)
    after = after_step(after, sender_index, sender, actions)
    violation = _find_violation(deserialize(recipient_data), recipient) or _find_violation(
        deserialize(sender_data), sender
    )
    yield Transition(
        f"{item.sender} and {item.recipient} complete a push-pull exchange", after, violation
    )


def _deliver(
    state: SystemState, item: InFlight, rest: tuple[InFlight, ...]
) -> Iterator[Transition]:
    """Yield the arrival of a message, once without and once with a duplicate still in flight."""
    index = NAMES.index(item.recipient)
    data = state.members[index]
    if data is None:
        return
    kind = item.datagram().kind
    label = f"{item.sender}'s message of kind {kind} arrives at {item.recipient}"
    for is_duplicated in (False,) if item.is_duplicate else (False, True):
        member = deserialize(data)
        actions = member.receive(state.now_us, item.sender, item.datagram())
        in_flight = (*rest, replace(item, is_duplicate=True)) if is_duplicated else rest
        after = after_step(state, index, member, actions, in_flight=in_flight)
        yield Transition(label, after, _find_violation(deserialize(data), member))


# ---- search


def explore(state: SystemState, depth: int, convergence_sample: int = 50) -> ExplorationReport:
    """Visit all states within ``depth`` transitions of a state.

    Convergence is checked from one in ``convergence_sample`` states of the last level.
    """
    report = ExplorationReport(states={state.digest()})
    level = [(state, "")]
    for level_number in range(depth):
        is_last = level_number + 1 == depth
        next_level: list[tuple[SystemState, str]] = []
        for current, path in level:
            for label, after, violation in transitions(current):
                report.transitions += 1
                if violation:
                    report.violations.append(f"{violation}: {path}{label}")
                digest = after.digest()
                if digest in report.states:
                    continue
                report.states.add(digest)
                next_path = f"{path}{label}; " if len(path) < MAX_PATH_LENGTH else path
                next_level.append((after, next_path))
                if is_last and _is_sampled(digest, convergence_sample):
                    report.convergence_checks += 1
                    if problem := check_convergence(after):
                        report.violations.append(f"{problem}: {path}{label}")
        level = next_level
    return report


def _is_sampled(digest: bytes, one_in: int) -> bool:
    return int.from_bytes(digest[:2], "big") < 65536 // one_in


def starting_points(depth: int) -> list[tuple[str, SystemState]]:
    """Return the states at exactly ``depth`` transitions from each initial state, with its name.

    Several processes can share a search by exploring from different ones of these states.
    """
    found: list[tuple[str, SystemState]] = []
    for name, initial in initial_states().items():
        level = [initial]
        visited = {initial.digest()}
        for _ in range(depth):
            next_level = []
            for current in level:
                for transition in transitions(current):
                    digest = transition.state.digest()
                    if digest not in visited:
                        visited.add(digest)
                        next_level.append(transition.state)
            level = next_level
        found += [(name, current) for current in level]
    return found
