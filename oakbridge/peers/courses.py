"""Random courses of a few members, by seed, and what must hold in each.

Invariants: in one view nobody's record ever goes back; whoever has heard that one left on purpose never calls it
failed; once all is quiet no two live members disagree.  Each is shown to fail on a planted fault (tests/members).
"""

from __future__ import annotations

from dataclasses import dataclass, field

from oakbridge.peers.member import Options
from oakbridge.peers.messages import MemberState
from oakbridge.peers.simulated import Fleet, Network

S = 1_000_000
QUIET = 40 * S  # in which views must become the truth
AGREED = 6  # half seconds in which they have to stay it
OPTIONS = Options(period=200_000, probe_timeout=80_000, gossip=60_000, reach=800_000, exchange=4_000_000)


@dataclass(slots=True)
class Found:
    """What one course came to."""

    seed: int
    events: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    steps: int = 0


class Course:
    """One course: members start, die, freeze, leave, come back and are cut off, on a network as bad as drawn."""

    def __init__(self, seed: int, members: int = 4, seconds: int = 20) -> None:
        self.found = Found(seed)
        self.fleet = Fleet(seed, options=OPTIONS, measure=False)
        self.rng = self.fleet.random
        self.names = [f"m{i}" for i in range(members)]
        self.lives = dict.fromkeys(self.names, 0)
        self.seconds = seconds
        self.keys: dict[tuple[int, str], tuple[int, int, int, int]] = {}  # by view (its process) and name
        self.left: set[str] = set()
        self.network = Network(
            self.rng.choice((0, 0.1, 0.3)), self.rng.choice((0, 0.2)), 200, self.rng.choice((2_000, 300_000))
        )

    def play(self) -> Found:
        """Play it to its end."""
        fleet = self.fleet
        fleet.network = self.network
        for name in self.names:
            fleet.later(self.rng.randrange(S), lambda n=name: self.start(n))  # type: ignore[misc]
        while fleet.now < self.seconds * S:
            fleet.run(fleet.now + self.rng.randrange(50_000, 800_000))
            self.trouble()
            self.look()
        fleet.cut, fleet.network = (lambda a, b: False), Network(0.0, 0.0, 200, 2_000)
        for name in self.names:
            if name in fleet.hosts and fleet.hosts[name].frozen:
                fleet.thaw(name)
        for name in self.names[:2]:  # the seeds: without them and a snapshot nobody can find anybody
            if name not in fleet.hosts or not fleet.hosts[name].up or fleet.hosts[name].member.left:
                self.start(name)
        agreed = 0
        for _ in range(QUIET // S * 2):
            fleet.run(fleet.now + S // 2)
            self.look()
            agreed = 0 if self.apart() else agreed + 1
            if agreed == AGREED:
                break
        self.found.broken += self.apart()
        return self.found

    def start(self, name: str) -> None:
        """A process of this name; its clock may tell less than the last one's."""
        self.lives[name] = max(1, self.lives[name] + self.rng.choice((-1, 0, 1, 2)))
        self.fleet.start(name, self.names[:2], generation=self.lives[name])
        self.left.discard(name)
        self.found.events.append(f"{self.fleet.now} start {name} in life {self.lives[name]}")

    def trouble(self) -> None:
        """Something happens, or nothing."""
        fleet, name = self.fleet, self.rng.choice(self.names)
        host = fleet.hosts.get(name)
        what = self.rng.choice(("kill", "freeze", "thaw", "leave", "cut", "heal", "", ""))
        if host is None:
            return
        if not host.up:
            return self.start(name)
        match what:
            case "kill":
                fleet.kill(name)
            case "freeze" if not host.frozen:
                fleet.freeze(name)
            case "thaw" if host.frozen:
                fleet.thaw(name)
            case "leave" if not host.frozen:
                fleet.carry(host, host.member.leave(fleet.now))
                self.left.add(name)
                fleet.later(S, lambda: self.gone(name, host.member))
            case "cut":
                one, way = self.rng.choice(self.names), self.rng.random() < 0.5
                fleet.cut = lambda a, b: a == one or (way and b == one)
            case "heal":
                fleet.cut = lambda a, b: False
        if what:
            self.found.events.append(f"{fleet.now} {what} {name}")

    def gone(self, name: str, member: object) -> None:
        """One that left has ended."""
        if self.fleet.hosts[name].member is member:
            self.fleet.kill(name)

    def look(self) -> None:
        """What must hold at every moment."""
        self.found.steps += 1
        for who, host in self.fleet.hosts.items():
            for about, known in host.member.known.items():
                before, key = self.keys.get((host.member.me.token, about)), known.record.precedence
                if before is not None and key < before:
                    self.found.broken.append(f"{who} went back on {about}: {before} to {key}")
                if (
                    before is not None
                    and before[3] == MemberState.LEFT
                    and key[:3] == before[:3]
                    and known.record.state != MemberState.LEFT
                ):
                    self.found.broken.append(f"{who} calls {about} {known.record.state.label}, which left")
                self.keys[host.member.me.token, about] = key

    def apart(self) -> list[str]:
        """Where views are not the truth, as they must be once all has been quiet for long."""
        found: list[str] = []
        up = {
            n for n, h in self.fleet.hosts.items() if h.up and not h.member.left and h.member.replaced is None
        }
        for who in sorted(up):
            member = self.fleet.hosts[who].member
            held = set(member.alive()) | {who}
            if held != up:
                found.append(f"{who} holds {sorted(held)} for alive, and {sorted(up)} are")
            for about in sorted(up - {who}):
                record, truth = self.fleet.record(who, about), self.fleet.hosts[about].member.me
                if (
                    record is not None
                    and record.state == MemberState.ALIVE
                    and record.process_key != truth.process_key
                ):
                    found.append(f"{who} holds an older life of {about}")
        for name, host in self.fleet.hosts.items():
            if host.up and host.member.replaced is not None:
                found.append(f"{name} gave its name up, and nobody else has it")
        return found
