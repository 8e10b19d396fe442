"""Every order of what can happen to three members, to a depth, by explicit-state model checking.

A state is the members, the messages in flight, and the time.  From each state every transition is
taken that is possible: one message arrives (and may arrive again), one member's next timer fires
(the others' are late from then on, as those of a frozen process are), one member crashes, starts
again, leaves.  A message that never arrives is lost.  States are told apart by all that they hold,
random generators included, so that none is left out for looking like another.

Invariants: what a member holds of another never goes back, nor does its own incarnation; whoever
has heard that one left never calls it anything else; and from a state, once messages arrive again
and timers keep their time, the members that are up come to hold exactly each other for alive.

Source of the method: G. Holzmann, "The Model Checker SPIN", 1997; no reduction is used but that
equal states are visited once.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from oakbridge.peers.initial_states import initial_states, run_without_choice
from oakbridge.peers.member import Member
from oakbridge.peers.messages import MemberState
from oakbridge.peers.system_state import (
    NAMES,
    InFlight,
    SystemState,
    after_step,
    new_member,
    thaw,
)

SECOND_US = 1_000_000
CONVERGENCE_US = 30 * SECOND_US  # in which members that hear each other must agree
MAX_PATH_LENGTH = 2000  # characters


class Transition(NamedTuple):
    """One thing that can happen."""

    label: str
    state: SystemState
    violation: str = ""


@dataclass(slots=True)
class ExplorationReport:
    """What a search has found."""

    transitions: int = 0
    states: set[bytes] = field(default_factory=set)
    convergence_checks: int = 0  # states from which convergence was checked
    violations: list[str] = field(default_factory=list)

    def add(self, other: ExplorationReport) -> None:
        """Add another search's findings."""
        self.transitions += other.transitions
        self.states |= other.states
        self.convergence_checks += other.convergence_checks
        self.violations += other.violations


# ---- invariants


def _violation(before: Member, after: Member) -> str:
    """Return which invariant a step broke, "" if none."""
    own_before = before.record
    own_after = after.record
    is_same_process = own_after.process_key == own_before.process_key
    if is_same_process and own_after.precedence < own_before.precedence:
        return f"{own_after.name}'s own incarnation went back: {own_before.precedence} to {own_after.precedence}"
    for name, known in before.members.items():
        now = after.members.get(name)
        if now is None:
            continue
        old = known.record
        new = now.record
        is_same_incarnation = new.precedence[:3] == old.precedence[:3]
        has_returned = old.state == MemberState.LEFT and new.state != MemberState.LEFT
        if has_returned and is_same_incarnation:
            return f"{own_after.name} calls {name} {new.state.label}, which left"
        if new.precedence < old.precedence:
            return f"{own_after.name} went back on {name}: {old.precedence} to {new.precedence}"
    return ""


def check_convergence(state: SystemState) -> str:
    """Return "" if members that hear each other again come to hold each other for alive."""
    members = run_without_choice(state, CONVERGENCE_US)
    up = {name for name, member in members.items() if not member.has_left}
    for name in sorted(up):
        held = {*members[name].live_names(), name}
        if held != up:
            return (
                f"after {CONVERGENCE_US // SECOND_US} s of calm {name} holds {sorted(held)} "
                f"for alive, and {sorted(up)} are"
            )
    return ""


# ---- transitions


def transitions(state: SystemState) -> Iterator[Transition]:
    """Yield everything that can happen next."""
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
    member = thaw(data)
    now_us = max(state.now_us, member.next_due_us())
    actions = member.tick(now_us)
    after = after_step(state, index, member, actions, now_us=now_us)
    yield Transition(f"{name}'s timer", after, _violation(thaw(data), member))
    if state.leaves_left and not member.has_left:
        member = thaw(data)
        actions = member.leave(state.now_us)
        leaves_left = state.leaves_left - 1
        after = after_step(state, index, member, actions, leaves_left=leaves_left)
        yield Transition(f"{name} leaves", after)
    if state.crashes_left:
        crashes_left = state.crashes_left - 1
        after = after_step(state, index, None, [], crashes_left=crashes_left)
        yield Transition(f"{name} crashes", after)


def _start(state: SystemState, index: int) -> Transition:
    """Start a process where there is none; its clock tells more than that of the last one."""
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
    sender = thaw(sender_data)
    if recipient_data is None:
        actions = sender.push_pull_failed()
        after = after_step(state, sender_index, sender, actions, in_flight=rest)
        yield Transition("an exchange fails", after)
        return
    recipient = thaw(recipient_data)
    own = sender.push_pull_state()
    other = recipient.push_pull_state()
    actions = recipient.push_pull_completed(state.now_us, own, initiated=False)
    after = after_step(state, recipient_index, recipient, actions, in_flight=rest)
    actions = sender.push_pull_completed(state.now_us, other, initiated=True)
    after = after_step(after, sender_index, sender, actions)
    violation = _violation(thaw(recipient_data), recipient) or _violation(thaw(sender_data), sender)
    yield Transition(f"{item.sender} and {item.recipient} exchange", after, violation)


def _deliver(
    state: SystemState, item: InFlight, rest: tuple[InFlight, ...]
) -> Iterator[Transition]:
    """Yield the arrival of a message, and the arrival after which it may arrive once more."""
    index = NAMES.index(item.recipient)
    data = state.members[index]
    if data is None:
        return
    kind = item.datagram().kind
    label = f"{item.sender}'s message of kind {kind} comes to {item.recipient}"
    for is_kept in (False,) if item.is_duplicate else (False, True):
        member = thaw(data)
        actions = member.receive(state.now_us, item.sender, item.datagram())
        in_flight = (*rest, replace(item, is_duplicate=True)) if is_kept else rest
        after = after_step(state, index, member, actions, in_flight=in_flight)
        yield Transition(label, after, _violation(thaw(data), member))


# ---- the search


def explore(state: SystemState, depth: int, convergence_sample: int = 50) -> ExplorationReport:
    """Visit all states that so many transitions lead to.

    From one in ``convergence_sample`` of the last ones convergence is checked.
    """
    report = ExplorationReport(states={state.digest()})
    level = [(state, "")]
    for number in range(depth):
        is_last = number + 1 == depth
        next_level: list[tuple[SystemState, str]] = []
        for one, path in level:
            for label, after, violation in transitions(one):
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
    """Return the states that so many transitions lead to from every beginning.

    They divide a search among several processes.
    """
    found: list[tuple[str, SystemState]] = []
    for name, beginning in initial_states().items():
        level = [beginning]
        visited = {beginning.digest()}
        for _ in range(depth):
            next_level = []
            for one in level:
                for transition in transitions(one):
                    digest = transition.state.digest()
                    if digest not in visited:
                        visited.add(digest)
                        next_level.append(transition.state)
            level = next_level
        found += [(name, one) for one in level]
    return found
