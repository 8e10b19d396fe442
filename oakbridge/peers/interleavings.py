"""Every order of what can happen to three members, to a depth: loss, doubling, reordering, a crash, a restart, a leave.

A state is the members, what is on its way between them, and the time.  From each state every step is taken that is
possible: one message arrives (and may arrive again), one member's next timer fires (the others' are late from then on,
as those of a frozen process are), one crashes, starts again, leaves.  What is on its way and never arrives is lost.
States are told apart by all of what they hold, draws included, so that none is left out for looking like another.

Invariants: what a member holds of another never goes back, nor does its own incarnation; whoever has heard that one
left never calls it anything else; and from a state, once messages arrive again and timers keep their time, the members
that are up come to hold exactly each other for alive.  Source of the method: explicit-state model checking, as in
G. Holzmann, "The Model Checker SPIN", 1997; no reduction is used but that equal states are met once.
"""

from __future__ import annotations

import pickle
import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from hashlib import blake2b
from typing import Any

import msgspec

from oakbridge.peers.member import Action, Exchange, Member, Options, Send
from oakbridge.peers.messages import Datagram, MemberState

MS = 1_000
OPTIONS = Options(
    period=200 * MS,
    probe_timeout=80 * MS,
    gossip=100 * MS,
    reach=800 * MS,
    exchange=4_000 * MS,
    indirect=1,
    fanout=1,
)
NAMES = ("a", "b", "c")
ON_ITS_WAY = 4  # beyond it the oldest message is lost
_write = msgspec.msgpack.Encoder().encode
_read = msgspec.msgpack.Decoder(Datagram).decode
CALM = 30_000 * MS  # in which members that hear each other must agree
STEP = 2 * MS  # what a message takes then


class Draws(random.Random):
    """A generator of 64 bits, so that a state is small.  Source: Knuth's MMIX constants, and xorshift of the top."""

    def __init__(self, state: int = 1) -> None:
        """``state`` is all that it holds."""
        super().__init__(0)
        self.state = state

    def random(self) -> float:
        """In [0, 1)."""
        return self.getrandbits(53) / (1 << 53)

    def getrandbits(self, k: int) -> int:
        """So many bits, at most 64."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        x = self.state
        return ((x ^ x >> 32) * 0x9E3779B97F4A7C15 % (1 << 64)) >> (64 - k)

    def __reduce__(self) -> tuple[Any, ...]:
        """For pickle."""
        return Draws, (self.state,)


@dataclass(frozen=True, slots=True)
class Flying:
    """One message, or an exchange that was asked for."""

    to: str
    sender: str
    message: bytes  # as it is sent; none: an exchange
    again: bool = False  # it has arrived once


@dataclass(frozen=True, slots=True)
class State:
    """All there is.  A member is kept as bytes; None: there is no such process."""

    now: int
    members: tuple[bytes | None, ...]
    flying: tuple[Flying, ...]
    crashes: int = 1  # that may still happen
    leaves: int = 1
    life: int = 1  # of the last process that was started

    def digest(self) -> bytes:
        """Tells states apart."""
        return blake2b(
            pickle.dumps((self.now, self.members, self.flying, self.crashes, self.leaves, self.life)),
            digest_size=8,
        ).digest()


def freeze(member: Member) -> bytes:
    """As bytes, without what decides nothing."""
    member.counts.clear()
    for known in member.known.values():
        known.history = ()
    return pickle.dumps(member)


def thaw(data: bytes) -> Member:
    """The member again."""
    member = pickle.loads(data)  # noqa: S301  # our own bytes, of this process
    assert isinstance(member, Member)
    return member


@dataclass(slots=True)
class Report:
    """What a search has found."""

    steps: int = 0
    states: set[bytes] = field(default_factory=set)
    settled: int = 0  # states from which the calm was played
    broken: list[str] = field(default_factory=list)

    def add(self, other: Report) -> None:
        """Put two together."""
        self.steps += other.steps
        self.states |= other.states
        self.settled += other.settled
        self.broken += other.broken


def _begin(name: str, life: int, now: int) -> Member:
    member = Member(name, name, life, {}, life * 31 + NAMES.index(name), now, OPTIONS)
    member._random = Draws(life * 1009 + NAMES.index(name) * 101 + 7)
    return member


def _with(state: State, number: int, member: Member | None, actions: list[Action], **more: Any) -> State:
    """The state after a member's step."""
    members = list(state.members)
    members[number] = None if member is None else freeze(member)
    flying = (*more.pop("flying", state.flying), *_sent(NAMES[number], actions))
    return replace(state, members=tuple(members), flying=tuple(dict.fromkeys(flying))[-ON_ITS_WAY:], **more)


def _sent(name: str, actions: list[Action]) -> Iterator[Flying]:
    """What a member's step sets on its way."""
    for action in actions:
        if isinstance(action, Send):
            yield Flying(action.address, name, _write(action.message))
        elif isinstance(action, Exchange):
            yield Flying(action.address, name, b"")


def _check(before: Member, after: Member) -> str:
    """What a step may not do to what a member holds; "" if it did none of it."""
    if (
        after.me.token == before.me.token
        and after.me.precedence[2:] < before.me.precedence[2:]
        and after.me.generation == before.me.generation
    ):
        return f"{after.me.name}'s own incarnation went back: {before.me.precedence} to {after.me.precedence}"
    for name, known in before.known.items():
        now = after.known.get(name)
        if (
            now is not None
            and known.record.state == MemberState.LEFT
            and now.record.state != MemberState.LEFT
            and now.record.precedence[:3] == known.record.precedence[:3]
        ):
            return f"{after.me.name} calls {name} {now.record.state.label}, which left"
        if now is not None and now.record.precedence < known.record.precedence:
            return (
                f"{after.me.name} went back on {name}: {known.record.precedence} to {now.record.precedence}"
            )
    return ""


def steps(state: State) -> Iterator[tuple[str, State, str]]:
    """Everything that can happen next: what, the state then, and what it broke."""
    for number, data in enumerate(state.members):
        name = NAMES[number]
        if data is None:
            yield _started(state, number)
            continue
        member = thaw(data)
        now = max(state.now, member.due())
        actions = member.tick(now)
        yield f"{name}'s timer", _with(state, number, member, actions, now=now), _check(thaw(data), member)
        if state.leaves and not member.left:
            member = thaw(data)
            actions = member.leave(state.now)
            yield f"{name} leaves", _with(state, number, member, actions, leaves=state.leaves - 1), ""
        if state.crashes:
            yield f"{name} crashes", _with(state, number, None, [], crashes=state.crashes - 1), ""
    for index, item in enumerate(state.flying):
        rest = state.flying[:index] + state.flying[index + 1 :]
        yield from _arrives(state, item, rest)


def _started(state: State, number: int) -> tuple[str, State, str]:
    """A process where there is none; its clock tells more than that of the last one."""
    member = _begin(NAMES[number], state.life + 1, state.now)
    actions = member.join(state.now, NAMES)
    return f"{NAMES[number]} starts", _with(state, number, member, actions, life=state.life + 1), ""


def _arrives(state: State, item: Flying, rest: tuple[Flying, ...]) -> Iterator[tuple[str, State, str]]:
    number, sender = NAMES.index(item.to), NAMES.index(item.sender)
    there, from_there = state.members[number], state.members[sender]
    if not item.message:
        if from_there is None:
            return
        one = thaw(from_there)
        if there is None:
            yield (
                "an exchange fails",
                _with(state, sender, one, one.exchange_failed(state.now, item.to), flying=rest),
                "",
            )
            return
        other = thaw(there)
        mine, theirs = one.state(), other.state()
        after = _with(state, number, other, other.exchanged(state.now, mine, asked=False), flying=rest)
        after = _with(after, sender, one, one.exchanged(state.now, theirs, asked=True))
        broken = _check(thaw(there), other) or _check(thaw(from_there), one)
        yield f"{item.sender} and {item.to} exchange", after, broken
    elif there is not None:
        for kept in (False,) if item.again else (False, True):
            member = thaw(there)
            message = _read(item.message)
            actions = member.receive(state.now, item.sender, message)
            flying = (*rest, Flying(item.to, item.sender, item.message, True)) if kept else rest
            word = f"{item.sender}'s message of kind {message.kind} comes to {item.to}"
            yield word, _with(state, number, member, actions, flying=flying), _check(thaw(there), member)


def _play(state: State, time: int, cut: Callable[[str, str], bool] = lambda a, b: False) -> dict[str, Member]:
    """The members after so long, in which timers keep their time and only what is cut from one to another is lost."""
    members = {NAMES[n]: thaw(data) for n, data in enumerate(state.members) if data is not None}
    flying = deque((state.now, item) for item in state.flying)  # by when it arrives: all take as long
    end, now = state.now + time, state.now

    def carry(name: str, actions: list[Action]) -> None:
        flying.extend((now + STEP, item) for item in _sent(name, actions))

    while members:
        due, name = min((m.due(), n) for n, m in members.items())
        arrives = flying[0][0] if flying else end + 1
        now = max(now, min(due, arrives))
        if now > end:
            break
        if due < arrives:
            carry(name, members[name].tick(now))
            continue
        _, item = flying.popleft()
        to, sender = members.get(item.to), members.get(item.sender)
        if cut(item.sender, item.to):
            continue
        if item.message and to is not None:
            carry(item.to, to.receive(now, item.sender, _read(item.message)))
        elif not item.message and sender is not None and to is not None:
            mine, theirs = sender.state(), to.state()
            carry(item.to, to.exchanged(now, mine, asked=False))
            carry(item.sender, sender.exchanged(now, theirs, asked=True))
        elif not item.message and sender is not None:
            carry(item.sender, sender.exchange_failed(now, item.to))
    return members


def calm(state: State) -> str:
    """Let messages arrive and timers keep their time; "" if those that are up then hold each other for alive."""
    members = _play(state, CALM)
    up = {n for n, m in members.items() if not m.left}
    for name in sorted(up):
        held = set(members[name].alive()) | {name}
        if held != up:
            return f"after {CALM // 1_000_000} s of calm {name} holds {sorted(held)} for alive, and {sorted(up)} are"
    return ""


# ---- where searches begin


def settled() -> State:
    """Three that know each other, at rest."""
    members = [_begin(name, 1, 0) for name in NAMES]
    for member in members:
        member.join(0, NAMES)
    for member in members:
        for other in members:
            member.exchanged(0, other.state(), asked=True)
    state = State(0, tuple(map(freeze, members)), ())
    return _after(state, 300 * MS)


def _after(state: State, time: int, cut: Callable[[str, str], bool] = lambda a, b: False) -> State:
    """The state after so long; what is on its way then is lost."""
    members = _play(state, time, cut)
    kept = tuple(freeze(members[name]) if name in members else None for name in NAMES)
    return replace(state, now=state.now + time, members=kept, flying=())


def scenes() -> dict[str, State]:
    """Beginnings: what a search of this depth would not come to from rest is a beginning of its own."""
    rest = settled()
    lost = replace(rest, members=(*rest.members[:2], None), crashes=0)
    assert rest.members[2] is not None
    leaver = thaw(rest.members[2])
    leaving = _with(rest, 2, leaver, leaver.leave(rest.now), leaves=0)
    return {
        "at rest": rest,
        "one of them is silent for a second": _after(rest, 1_000 * MS, lambda a, b: "c" in (a, b)),
        "one is called failed, and lives": _after(rest, 6_000 * MS, lambda a, b: "c" in (a, b)),
        "one hears nobody, and is heard": _after(rest, 2_500 * MS, lambda a, b: b == "c"),
        "one has left, and is still there": _after(leaving, 200 * MS),
        "one has crashed, and is called failed": _after(lost, 6_000 * MS),
    }


def search(state: State, depth: int, every: int = 50) -> Report:
    """All states that so many steps lead to; from one in ``every`` of the last ones calm is played."""
    report, level = Report(), [(state, "")]
    report.states.add(state.digest())
    for number in range(depth):
        after: list[tuple[State, str]] = []
        for one, path in level:
            for what, then, broken in steps(one):
                report.steps += 1
                if broken:
                    report.broken.append(f"{broken}: {path}{what}")
                digest = then.digest()
                if digest not in report.states:
                    report.states.add(digest)
                    after.append((then, f"{path}{what}; " if len(path) < 2000 else path))
                    if number + 1 == depth and digest[0] * 256 + digest[1] < 65536 // every:
                        report.settled += 1
                        if word := calm(then):
                            report.broken.append(f"{word}: {path}{what}")
        level = after
    return report


def parts(depth: int) -> list[tuple[str, State]]:
    """The states that this many steps lead to from every beginning, to search from in several processes."""
    found: list[tuple[str, State]] = []
    for name, scene in scenes().items():
        level, met = [scene], {scene.digest()}
        for _ in range(depth):
            after = []
            for one in level:
                for _, then, _ in steps(one):
                    if then.digest() not in met:
                        met.add(then.digest())
                        after.append(then)
            level = after
        found += [(name, one) for one in level]
    return found
