"""Random scenarios of a few members, determined by a seed, and the invariants to hold in each.

The precedence of a record never decreases in a member's view.  A member that is known to have left
gets no other state in the same incarnation.  Once faults have ended, the views of all live members
agree.  The tests (tests/members) show that each invariant detects a planted fault.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from oakbridge.peers.member import Member
from oakbridge.peers.messages import MemberState
from oakbridge.peers.protocol_options import ProtocolOptions
from oakbridge.peers.simulation import (
    SimulatedCluster,
    SimulatedNetwork,
    SimulatedProcess,
    nothing_blocked,
)

SECOND_US = 1_000_000
MAX_FAULT_INTERVAL_US = 800_000
MIN_FAULT_INTERVAL_US = 50_000
MAX_CONVERGENCE_S = 40  # after the last fault; views must be correct by then
REQUIRED_AGREEING_CHECKS = 6  # consecutive ones, half a second apart
SEED_MEMBERS = 2
OPTIONS = ProtocolOptions(
    probe_interval_us=200_000,
    probe_timeout_us=80_000,
    gossip_interval_us=60_000,
    reconnect_interval_us=800_000,
    push_pull_interval_us=4_000_000,
)
FAULTS = ("kill", "freeze", "thaw", "leave", "cut", "heal", "", "")

Precedence = tuple[int, int, int, int]


@dataclass(slots=True)
class ScenarioResult:
    """The result of one scenario."""

    seed: int
    events: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    checks: int = 0


class RandomScenario:
    """Members start, crash, freeze, leave, return and are cut off, on a random network."""

    def __init__(self, seed: int, members: int = 4, duration_s: int = 20) -> None:
        self.result = ScenarioResult(seed)
        self.cluster = SimulatedCluster(seed, options=OPTIONS, count_bytes=False)
        self.random = self.cluster.random
        self.names = [f"m{i}" for i in range(members)]
        self.generations = dict.fromkeys(self.names, 0)
        self.duration_s = duration_s
        # By token of the observer and name of the subject.
        self.last_precedence: dict[tuple[int, str], Precedence] = {}
        self.network = SimulatedNetwork(
            loss=self.random.choice((0, 0.1, 0.3)),
            duplication=self.random.choice((0, 0.2)),
            max_delay_us=self.random.choice((2_000, 300_000)),
        )

    def run(self) -> ScenarioResult:
        """Run the scenario to its end."""
        cluster = self.cluster
        cluster.network = self.network
        for name in self.names:
            cluster.call_later(self.random.randrange(SECOND_US), lambda n=name: self.start(n))  # type: ignore[misc]
        while cluster.now_us < self.duration_s * SECOND_US:
            interval_us = self.random.randrange(MIN_FAULT_INTERVAL_US, MAX_FAULT_INTERVAL_US)
            cluster.run_until(cluster.now_us + interval_us)
            self.inject_fault()
            self.check_invariants()
        self._clear_faults()
        self._wait_for_agreement()
        self.result.violations += self.disagreements()
        return self.result

    def start(self, name: str) -> None:
        """Start a process of this name; its generation may be below that of the last one."""
        drift = self.random.choice((-1, 0, 1, 2))
        generation = self.generations[name] = max(1, self.generations[name] + drift)
        self.cluster.start(name, self._seeds(), generation=generation)
        self._log(f"start {name} in generation {generation}")

    def _seeds(self) -> list[str]:
        return self.names[:SEED_MEMBERS]

    def _log(self, event: str) -> None:
        self.result.events.append(f"{self.cluster.now_us} {event}")

    # ---- faults

    def inject_fault(self) -> None:
        """Inject a random fault into a random member, or none; a stopped member is started."""
        name = self.random.choice(self.names)
        process = self.cluster.processes.get(name)
        fault = self.random.choice(FAULTS)
        if process is None:
            return
        if not process.is_up:
            self.start(name)
            return
        self._inject(fault, name, process)
        if fault:
            self._log(f"{fault} {name}")

    def _inject(self, fault: str, name: str, process: SimulatedProcess) -> None:
        cluster = self.cluster
        match fault:
            case "kill":
                cluster.kill(name)
            case "freeze" if not process.is_frozen:
                cluster.freeze(name)
            case "thaw" if process.is_frozen:
                cluster.thaw(name)
            case "leave" if not process.is_frozen:
                member = process.member
                cluster.perform(process, member.leave(cluster.now_us))
                cluster.call_later(SECOND_US, lambda: self._end_process(name, member))
            case "cut":
                self._cut_off(self.random.choice(self.names), both_ways=self.random.random() < 0.5)
            case "heal":
                cluster.is_blocked = nothing_blocked

    def _cut_off(self, address: str, *, both_ways: bool) -> None:
        self.cluster.is_blocked = lambda source, destination: (
            source == address or (both_ways and destination == address)
        )

    def _end_process(self, name: str, member: Member) -> None:
        """Kill a process that has left, unless another one has been started under its name."""
        if self.cluster.processes[name].member is member:
            self.cluster.kill(name)

    def _clear_faults(self) -> None:
        cluster = self.cluster
        cluster.is_blocked = nothing_blocked
        cluster.network = SimulatedNetwork()
        for name in self.names:
            if name in cluster.processes and cluster.processes[name].is_frozen:
                cluster.thaw(name)
        for name in self._seeds():  # without seeds or a snapshot members can't find each other
            process = cluster.processes.get(name)
            if process is None or not process.is_up or process.member.has_left:
                self.start(name)

    def _wait_for_agreement(self) -> None:
        agreeing_checks = 0
        for _ in range(MAX_CONVERGENCE_S * 2):
            self.cluster.run_until(self.cluster.now_us + SECOND_US // 2)
            self.check_invariants()
            agreeing_checks = 0 if self.disagreements() else agreeing_checks + 1
            if agreeing_checks == REQUIRED_AGREEING_CHECKS:
                break

    # ---- invariants

    def check_invariants(self) -> None:
        """Check the invariants that hold at every point in time."""
        self.result.checks += 1
        for observer, process in self.cluster.processes.items():
            token = process.member.record.token
            for subject, known in process.member.members.items():
                now = known.record.precedence
                before = self.last_precedence.get((token, subject))
                if before is not None:
                    self._check_change(observer, subject, before, now)
                self.last_precedence[token, subject] = now

    def _check_change(
        self, observer: str, subject: str, before: Precedence, now: Precedence
    ) -> None:
        if now < before:
            self.result.violations.append(
                f"{observer}: record of {subject} went backwards: {before} to {now}"
            )
        *incarnation_before, state_before = before
        *incarnation_now, state_now = now
        has_returned = state_before == MemberState.LEFT and state_now != MemberState.LEFT
        if has_returned and incarnation_now == incarnation_before:
            label = MemberState(state_now).label
            self.result.violations.append(f"{observer} considers {subject} {label} after it left")

    def disagreements(self) -> list[str]:
        """Return the errors in the members' views; there must be none once faults have ended."""
        found: list[str] = []
        processes = self.cluster.processes
        running = {name for name, process in processes.items() if _is_member(process)}
        for observer in sorted(running):
            considered_alive = {*processes[observer].member.live_names(), observer}
            if considered_alive != running:
                found.append(
                    f"{observer} considers {sorted(considered_alive)} alive, "
                    f"but {sorted(running)} are running"
                )
            found += [
                f"{observer} has the record of an older process of {subject}"
                for subject in sorted(running - {observer})
                if self._has_older_process(observer, subject)
            ]
        found += [
            f"{name} gave up its name, and no other process uses it"
            for name, process in processes.items()
            if process.is_up and process.member.replaced_by is not None
        ]
        return found

    def _has_older_process(self, observer: str, subject: str) -> bool:
        record = self.cluster.record_in_view(observer, subject)
        actual = self.cluster.processes[subject].member.record
        return (
            record is not None
            and record.state == MemberState.ALIVE
            and record.process_key != actual.process_key
        )


def _is_member(process: SimulatedProcess) -> bool:
    member = process.member
    return process.is_up and not member.has_left and member.replaced_by is None
