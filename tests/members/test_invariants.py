"""Invariants in random scenarios and in all interleavings; each must detect a planted fault."""

import pytest

from oakbridge.peers.initial_states import initial_states
from oakbridge.peers.interleavings import explore
from oakbridge.peers.member_table import KnownMember
from oakbridge.peers.messages import MemberRecord, MemberState
from oakbridge.peers.random_scenarios import RandomScenario
from oakbridge.peers.refutation import Refutation


def test_random_scenarios_violate_no_invariant():
    for seed in range(30):
        result = RandomScenario(seed, members=3 + seed % 3).run()
        assert result.violations == [], (seed, result.events)


def apply_older_records(monkeypatch):
    monkeypatch.setattr(MemberRecord, "supersedes", lambda *_: True)


def never_refute(monkeypatch):
    monkeypatch.setattr(Refutation, "respond", lambda *_: None)


def count_left_members_as_live(monkeypatch):
    monkeypatch.setattr(
        KnownMember, "is_live", property(lambda self: self.record.state != MemberState.FAILED)
    )


@pytest.mark.parametrize(
    ("fault", "violation"),
    [
        (apply_older_records, "went backwards"),
        (never_refute, "alive, but"),
        (count_left_members_as_live, "after it left"),
    ],
)
def test_random_scenarios_detect_a_planted_fault(monkeypatch, fault, violation):
    fault(monkeypatch)
    found = [line for seed in range(4) for line in RandomScenario(seed).run().violations]
    assert any(violation in line for line in found)


@pytest.mark.parametrize("initial_state", sorted(initial_states()))
def test_interleavings_of_three_members_violate_no_invariant(initial_state):
    report = explore(initial_states()[initial_state], 3, convergence_sample=20)
    assert report.violations == []
    assert len(report.states) > 50
    assert report.convergence_checks > 0


@pytest.mark.parametrize(
    ("fault", "initial_state", "violation"),
    [
        (apply_older_records, "one unreachable for 1 s", "went backwards"),
        (never_refute, "one declared failed while running", "without faults"),
        (count_left_members_as_live, "one left and its process still runs", "after it left"),
    ],
)
def test_interleavings_detect_a_planted_fault(monkeypatch, fault, initial_state, violation):
    convergence_sample = 20 if violation == "without faults" else 10**9
    states = [initial_states()[initial_state]]
    fault(monkeypatch)
    states.append(initial_states()[initial_state])  # a fault may also change the initial state
    found = [line for state in states for line in explore(state, 4, convergence_sample).violations]
    assert any(violation in line for line in found)
