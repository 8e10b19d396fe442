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

import pickle
import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from hashlib import blake2b
from typing import Any, NamedTuple

import msgspec

from oakbridge.peers.actions import Action, SendDatagram, StartPushPull
from oakbridge.peers.member import Member
from oakbridge.peers.messages import Datagram, MemberState
from oakbridge.peers.protocol_options import ProtocolOptions
from oakbridge.peers.simulation import nothing_blocked

MS_US = 1_000
SECOND_US = 1_000_000
OPTIONS = ProtocolOptions(
    probe_interval_us=200 * MS_US,
    probe_timeout_us=80 * MS_US,
    gossip_interval_us=100 * MS_US,
    reconnect_interval_us=800 * MS_US,
    push_pull_interval_us=4_000 * MS_US,
    indirect_probes=1,
    gossip_fanout=1,
)
NAMES = ("a", "b", "c")
MAX_IN_FLIGHT = 4  # beyond it the oldest message is lost
CONVERGENCE_US = 30 * SECOND_US  # in which members that hear each other must agree
DELIVERY_US = 2 * MS_US  # that a message takes then
MAX_PATH_LENGTH = 2000  # characters

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Datagram).decode


class SmallGenerator(random.Random):
    """A generator of 64 bits, so that a state is small.

    Source: Knuth's MMIX constants, and xorshift of the top.
    """

    def __init__(self, state: int = 1) -> None:
        """Begin with this state, which is all that it holds."""
        super().__init__(0)
        self.state = state

    def random(self) -> float:
        """Draw from [0, 1)."""
        return self.getrandbits(53) / (1 << 53)

    def getrandbits(self, k: int) -> int:
        """Draw so many bits, at most 64."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        x = self.state
        return ((x ^ x >> 32) * 0x9E3779B97F4A7C15 % (1 << 64)) >> (64 - k)

    def __reduce__(self) -> tuple[Any, ...]:
        """Return its form for pickle."""
        return SmallGenerator, (self.state,)


@dataclass(frozen=True, slots=True)
class InFlight:
    """One message, or a push-pull exchange that was asked for."""

    recipient: str
    sender: str
    message: bytes  # empty for an exchange
    is_duplicate: bool = False  # it has arrived once

    @property
    def is_push_pull(self) -> bool:
        """Return whether this is an exchange."""
        return not self.message


@dataclass(frozen=True, slots=True)
class SystemState:
    """All there is: members as bytes (None: there is no such process), messages, time."""

    now_us: int
    members: tuple[bytes | None, ...]
    in_flight: tuple[InFlight, ...]
    crashes_left: int = 1
    leaves_left: int = 1
    last_generation: int = 1  # of the last process that was started

    def digest(self) -> bytes:
        """Return what tells states apart."""
        content = (
            self.now_us,
            self.members,
            self.in_flight,
            self.crashes_left,
            self.leaves_left,
            self.last_generation,
        )
        return blake2b(pickle.dumps(content), digest_size=8).digest()


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
    converged: int = 0  # states from which convergence was checked
    violations: list[str] = field(default_factory=list)

    def add(self, other: ExplorationReport) -> None:
        """Add another search's findings."""
        self.transitions += other.transitions
        self.states |= other.states
        self.converged += other.converged
        self.violations += other.violations


def freeze(member: Member) -> bytes:
    """Return a member as bytes, without what decides nothing."""
    member.counts.clear()
    for known in member.members.values():
        known.history = ()
    return pickle.dumps(member)


def thaw(data: bytes) -> Member:
    """Return the member again."""
    member = pickle.loads(data)  # our own bytes, of this process
    assert isinstance(member, Member)
    return member


def _new_member(name: str, generation: int, now_us: int) -> Member:
    index = NAMES.index(name)
    member = Member(name, name, generation, {}, generation * 31 + index, now_us, OPTIONS)
    member.use_generator(SmallGenerator(generation * 1009 + index * 101 + 7))
    return member


def _after_step(
    state: SystemState, index: int, member: Member | None, actions: list[Action], **changes: Any
) -> SystemState:
    """Return the state after a member's step."""
    members = list(state.members)
    members[index] = None if member is None else freeze(member)
    in_flight = (*changes.pop("in_flight", state.in_flight), *_sent(NAMES[index], actions))
    distinct = tuple(dict.fromkeys(in_flight))
    return replace(state, members=tuple(members), in_flight=distinct[-MAX_IN_FLIGHT:], **changes)


def _sent(sender: str, actions: list[Action]) -> Iterator[InFlight]:
    """Yield what a member's step sets in flight."""
    for action in actions:
        if isinstance(action, SendDatagram):
            yield InFlight(action.address, sender, _encode(action.message))
        elif isinstance(action, StartPushPull):
            yield InFlight(action.address, sender, message=b"")


# ---- invariants


def _violation(before: Member, after: Member) -> str:
    """Return which invariant a step broke, "" if none."""
    own_before = before.record
    own_after = after.record
    is_same_process = own_after.process_key == own_before.process_key
    if is_same_process and own_after.precedence < own_before.precedence:
        return (
            f"{own_after.name}'s own incarnation went back: {own_before.precedence} to {own_after.precedence}"
        )
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
    members = _run_without_choice(state, CONVERGENCE_US)
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
    after = _after_step(state, index, member, actions, now_us=now_us)
    yield Transition(f"{name}'s timer", after, _violation(thaw(data), member))
    if state.leaves_left and not member.has_left:
        member = thaw(data)
        actions = member.leave(state.now_us)
        leaves_left = state.leaves_left - 1
        after = _after_step(state, index, member, actions, leaves_left=leaves_left)
        yield Transition(f"{name} leaves", after)
    if state.crashes_left:
        crashes_left = state.crashes_left - 1
        after = _after_step(state, index, None, [], crashes_left=crashes_left)
        yield Transition(f"{name} crashes", after)


def _start(state: SystemState, index: int) -> Transition:
    """Start a process where there is none; its clock tells more than that of the last one."""
    generation = state.last_generation + 1
    member = _new_member(NAMES[index], generation, state.now_us)
    actions = member.join(state.now_us, NAMES)
    after = _after_step(state, index, member, actions, last_generation=generation)
    return Transition(f"{NAMES[index]} starts", after)


def _push_pull(state: SystemState, item: InFlight, rest: tuple[InFlight, ...]) -> Iterator[Transition]:
    sender_index = NAMES.index(item.sender)
    recipient_index = NAMES.index(item.recipient)
    sender_data = state.members[sender_index]
    recipient_data = state.members[recipient_index]
    if sender_data is None:
        return
    sender = thaw(sender_data)
    if recipient_data is None:
        actions = sender.push_pull_failed()
        after = _after_step(state, sender_index, sender, actions, in_flight=rest)
        yield Transition("an exchange fails", after)
        return
    recipient = thaw(recipient_data)
    own = sender.push_pull_state()
    other = recipient.push_pull_state()
    actions = recipient.push_pull_completed(state.now_us, own, initiated=False)
    after = _after_step(state, recipient_index, recipient, actions, in_flight=rest)
    actions = sender.push_pull_completed(state.now_us, other, initiated=True)
    after = _after_step(after, sender_index, sender, actions)
    violation = _violation(thaw(recipient_data), recipient) or _violation(thaw(sender_data), sender)
    yield Transition(f"{item.sender} and {item.recipient} exchange", after, violation)


def _deliver(state: SystemState, item: InFlight, rest: tuple[InFlight, ...]) -> Iterator[Transition]:
    """Yield the arrival of a message, and the arrival after which it may arrive once more."""
    index = NAMES.index(item.recipient)
    data = state.members[index]
    if data is None:
        return
    message = _decode(item.message)
    label = f"{item.sender}'s message of kind {message.kind} comes to {item.recipient}"
    for is_kept in (False,) if item.is_duplicate else (False, True):
        member = thaw(data)
        actions = member.receive(state.now_us, item.sender, _decode(item.message))
        in_flight = (*rest, replace(item, is_duplicate=True)) if is_kept else rest
        after = _after_step(state, index, member, actions, in_flight=in_flight)
        yield Transition(label, after, _violation(thaw(data), member))


# ---- runs without a choice


def _run_without_choice(
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
        in_flight.extend((now_us + DELIVERY_US, item) for item in _sent(name, actions))

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


def _arrive(members: dict[str, Member], item: InFlight, now_us: int) -> Iterator[tuple[str, list[Action]]]:
    """Yield what each member that an arrival concerns does then."""
    sender = members.get(item.sender)
    recipient = members.get(item.recipient)
    if not item.is_push_pull:
        if recipient is not None:
            message = _decode(item.message)
            yield item.recipient, recipient.receive(now_us, item.sender, message)
    elif sender is not None and recipient is not None:
        own = sender.push_pull_state()
        other = recipient.push_pull_state()
        yield item.recipient, recipient.push_pull_completed(now_us, own, initiated=False)
        yield item.sender, sender.push_pull_completed(now_us, other, initiated=True)
    elif sender is not None:
        yield item.sender, sender.push_pull_failed()


# ---- where searches begin


def state_at_rest() -> SystemState:
    """Return three members that know each other, at rest."""
    members = [_new_member(name, 1, 0) for name in NAMES]
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
    members = _run_without_choice(state, duration_us, is_blocked)
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
    leaving = _after_step(rest, 2, leaver, leaver.leave(rest.now_us), leaves_left=0)
    return {
        "at rest": rest,
        "one of them is silent for a second": _state_after(rest, 1_000 * MS_US, _involves_c),
        "one is called failed, and lives": _state_after(rest, 6_000 * MS_US, _involves_c),
        "one hears nobody, and is heard": _state_after(rest, 2_500 * MS_US, _is_to_c),
        "one has left, and is still there": _state_after(leaving, 200 * MS_US),
        "one has crashed, and is called failed": _state_after(lost, 6_000 * MS_US),
    }


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
                    report.converged += 1
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
