"""The membership views of nodes: detection times of failures, and the correctness of verdicts."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from oakbridge.lab.checks.check import NEVER_S
from oakbridge.lab.history import History, MemberChange
from oakbridge.lab.schedule import Span, StepKind

SECOND_US = 1_000_000
MIN_OUTAGE_US = 20 * SECOND_US  # a shorter outage need not be detected
CUT_AFTER_END_US = 10 * SECOND_US  # assumed length of an unfinished cut beyond the run's end
# After a node has returned, views have it as failed a little longer and spread that verdict.
VERDICT_GRACE_US = 5 * SECOND_US

FAILED = "failed"
PRESENT_STATES = ("alive", "suspect")


@dataclass(frozen=True, slots=True)
class Partition:
    """A cut between two groups of nodes, in both directions."""

    span: Span
    one_side: frozenset[str]
    other_side: frozenset[str]

    def separates(self, node: str, other: str) -> bool:
        """Return whether the cut is between these two nodes."""
        return (node in self.one_side and other in self.other_side) or (
            node in self.other_side and other in self.one_side
        )


def longest_until_first_learns(history: History) -> float | None:
    """Return the longest time, in seconds, from an outage until the first node has it as failed."""
    return max((first_s for first_s, _ in _learning_times(history)), default=None)


def longest_until_last_learns(history: History) -> float | None:
    """Return the longest time, in seconds, until all nodes without an outage have one as failed."""
    return max((last_s for _, last_s in _learning_times(history)), default=None)


def _learning_times(history: History) -> list[tuple[float, float]]:
    """Return the detection times, in seconds, of the first and the last observer of each outage.

    Outages shorter than 20 s are left out.
    """
    outages, verdicts = history.outages(), _failed_verdicts(history)
    observers = {node.name for node in history.fleet.nodes} - set(outages)
    if not observers:
        return []
    times = []
    for name, spans in outages.items():
        for span in spans:
            if min(span.end_us, history.duration_us) - span.begin_us < MIN_OUTAGE_US:
                continue
            delays_us: dict[str, int] = {}
            for change in verdicts.get(name, ()):
                is_in_span = span.begin_us <= change.at_us <= span.end_us
                if is_in_span and change.observer in observers:
                    delays_us.setdefault(change.observer, change.at_us - span.begin_us)
            first_s = min(delays_us.values()) / 1e6 if delays_us else NEVER_S
            all_know = len(delays_us) == len(observers)
            last_s = max(delays_us.values()) / 1e6 if all_know else NEVER_S
            times.append((first_s, last_s))
    return times


def _failed_verdicts(history: History) -> dict[str, list[MemberChange]]:
    """Return the changes to failed by member, in the order of time."""
    found: dict[str, list[MemberChange]] = defaultdict(list)
    for change in _in_order(history):
        if change.after == FAILED:
            found[change.member].append(change)
    return found


def _in_order(history: History) -> list[MemberChange]:
    return sorted(history.member_changes, key=lambda change: change.at_us)


def _partitions(history: History) -> list[Partition]:
    nodes = {node.name for node in history.fleet.nodes}
    steps = history.schedule.steps
    found = []
    for step in steps:
        rule = step.rule
        if (
            step.kind is not StepKind.LINK
            or rule is None
            or not (rule.is_cut and rule.both_directions)
        ):
            continue
        ends_us = [
            later.at_us for later in steps if later.kind is StepKind.UNLINK and later.rule == rule
        ]
        end_us = min(ends_us, default=history.duration_us + CUT_AFTER_END_US)
        found.append(
            Partition(Span(step.at_us, end_us), rule.sources & nodes, rule.targets & nodes)
        )
    return found


def convergence_time(history: History) -> float | None:
    """Return the seconds from the last fault or end of a fault until all views stayed correct.

    A view is correct if it has exactly those members as present that are running at the run's end
    and not cut off from the observer at that time.
    """
    if not history.plan.peers or not history.member_changes:
        return None
    faults_us = (step.at_us for step in history.performed_steps if step.kind is not StepKind.BEGIN)
    last_fault_us = max(faults_us, default=0)
    views = _Views(history)
    converged_us = last_fault_us
    for change in _in_order(history):
        if views.apply(change) and change.at_us > last_fault_us:
            converged_us = max(converged_us, change.at_us)
    return NEVER_S if views.any_wrong() else (converged_us - last_fault_us) / 1e6


class _Views:
    """All nodes' views; each entry is compared with the true state at the run's end."""

    def __init__(self, history: History) -> None:
        end_us = history.duration_us
        self._names = {node.name for node in history.fleet.nodes}
        down = {
            name
            for name, spans in history.outages().items()
            if any(span.begin_us <= end_us <= span.end_us for span in spans)
        }
        self._up = self._names - down
        self._partitions = [
            partition
            for partition in _partitions(history)
            if partition.span.begin_us <= end_us < partition.span.end_us
        ]
        self._states: dict[tuple[str, str], str] = {}  # by observer and member
        self._wrong: set[tuple[str, str]] = set()

    def apply(self, change: MemberChange) -> bool:
        """Apply a change; return whether it has made an entry correct or wrong."""
        if change.observer == change.member:
            return False
        self._states[change.observer, change.member] = change.after
        if change.observer not in self._up:
            return False
        wrong_before = len(self._wrong)
        self._judge(change.observer, change.member)
        return len(self._wrong) != wrong_before

    def any_wrong(self) -> bool:
        """Return whether any entry is wrong, including entries that never changed."""
        for observer in self._up:
            for member in self._names - {observer}:
                self._judge(observer, member)
        return bool(self._wrong)

    def _judge(self, observer: str, member: str) -> None:
        is_cut = any(partition.separates(observer, member) for partition in self._partitions)
        is_expected = member in self._up and not is_cut
        is_present = self._states.get((observer, member), "") in PRESENT_STATES
        if is_present == is_expected:
            self._wrong.discard((observer, member))
        else:
            self._wrong.add((observer, member))


def false_failure_verdicts(history: History) -> float | None:
    """Count verdicts of failure about nodes that were running and reachable by the observer.

    A verdict is excused from the start of an outage of either node, or of a cut between them, until
    5 s after its end.
    """
    if not history.plan.peers:
        return None
    outages, partitions = history.outages(), _partitions(history)
    count = 0
    for change in history.member_changes:
        if change.after != FAILED or change.at_us < 0:
            continue
        cuts = [
            partition.span
            for partition in partitions
            if partition.separates(change.observer, change.member)
        ]
        excuses = (
            *outages.get(change.member, ()),
            *outages.get(change.observer, ()),
            *cuts,
        )
        count += not _is_excused(change.at_us, excuses)
    return float(count)


def _is_excused(at_us: int, spans: Iterable[Span]) -> bool:
    return any(span.begin_us <= at_us <= span.end_us + VERDICT_GRACE_US for span in spans)


def max_changes_per_fault(history: History) -> float | None:
    """Return the most changes to or from failed of one member in one view, per fault edge.

    Fault edges are the starts and the ends of faults.
    """
    if not history.plan.peers:
        return None
    counts: Counter[tuple[str, str]] = Counter()
    for change in history.member_changes:
        is_failure = FAILED in (change.before, change.after)
        if change.at_us >= 0 and is_failure and change.before:
            counts[change.observer, change.member] += 1
    if not counts:
        return 0.0
    fault_edges = sum(
        2 if span.end_us < history.duration_us else 1 for span in history.schedule.fault_spans
    )
    return max(counts.values()) / max(1, fault_edges)
